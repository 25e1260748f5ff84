//go:build review

package kit

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// searcherCount is the number of searchers of the one service.
const searcherCount = 7

// startOrders starts a small deployment with three entry hosts and the searchers of one service.
func startOrders(r *run, answer func(s *searcher, q request) string) (*system, []*searcher, error) {
	y, err := startSystem(r, 3, 3)
	if err != nil {
		return nil, nil, err
	}
	var list []*searcher
	for i := range searcherCount {
		s, err := startSearcher(r, fmt.Sprintf("i-%d", i), orderService, y.control, answer)
		if err != nil {
			return nil, nil, err
		}
		list = append(list, s)
	}
	if err := y.publish(document(1)); err != nil {
		return nil, nil, err
	}
	return y, list, y.awaitReady()
}

// load sends requests from clients that each keep a connection, until a time, and calls see with
// each answer. Each client waits for pause between two requests.
func load(y *system, clients int, pause time.Duration, end time.Time, method, target string, limit time.Duration, see func(id string, a answer)) int {
	var group sync.WaitGroup
	var sent atomic.Int64
	for i := range clients {
		group.Go(func() {
			c := &client{run: y.run, address: y.entry[i%len(y.entry)]}
			defer c.close()
			for time.Now().Before(end) {
				id := newID()
				sent.Add(1)
				see(id, c.send(method, orderHost, target, id, "", limit))
				time.Sleep(pause)
			}
		})
	}
	group.Wait()
	return int(sent.Load())
}

// totalRuns returns how often a request ran on all searchers.
func totalRuns(list []*searcher, id string) int {
	n := 0
	for _, s := range list {
		n += s.ran(id)
	}
	return n
}
