//go:build review

package kit

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["7"] = playInterim }

// playInterim lets four of seven searchers spoil one of twenty answers for six seconds: they send
// the head of an interim answer, 101, that nobody asked for, and no answer.
func playInterim(r *run) (int, error) {
	var faulty atomic.Bool
	var count atomic.Int64
	y, _, err := startOrders(r, func(s *searcher, q request) string {
		time.Sleep(5 * time.Millisecond)
		if faulty.Load() && s.id < "i-4" && count.Add(1)%20 == 0 {
			return fmt.Sprintf("HTTP/1.1 101 Switching Protocols\r\nX-Request-Id: %s\r\nX-Instance-Id: %s\r\n\r\n", q.id, s.id)
		}
		return ""
	})
	if err != nil {
		return 0, err
	}
	if r.trouble {
		time.AfterFunc(time.Second, func() {
			r.note("searchers i-0 to i-3 begin to spoil answers")
			faulty.Store(true)
		})
		time.AfterFunc(7*time.Second, func() {
			r.note("searchers i-0 to i-3 stop to spoil answers")
			faulty.Store(false)
		})
	}
	var mu sync.Mutex
	breaks, served := 0, 0
	sent := load(y, 9, 50*time.Millisecond, time.Now().Add(9*time.Second), "GET", "/fetch/album", 6*time.Second, func(id string, a answer) {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case a.err == nil && a.status == 200:
			served++
		case a.status >= 100 && a.status < 200:
			breaks++
			r.note("BROKEN: request %s, which asks for no other protocol, was answered %d", id, a.status)
		}
	})
	r.note("%d requests sent, %d served", sent, served)
	return breaks, nil
}
