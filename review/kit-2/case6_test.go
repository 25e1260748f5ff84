//go:build review

package kit

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["6"] = playRefused }

// promises are the statuses that promise that a request has not run and never will.
var promises = []int{408, 421, 429, 503}

// playRefused lets one of seven searchers fail two of five orders for five seconds. Such an order
// has run: the searcher has stored it, and answers 503 because it could not confirm it. The answer
// has the searcher's signature and no statement that the order was not executed.
func playRefused(r *run) (int, error) {
	var failing atomic.Bool
	var count atomic.Int64
	y, list, err := startOrders(r, func(s *searcher, q request) string {
		time.Sleep(20 * time.Millisecond)
		if failing.Load() && s.id == "i-0" && count.Add(1)%5 < 2 {
			return s.sound(q, 503, "stored, not confirmed")
		}
		return ""
	})
	if err != nil {
		return 0, err
	}
	if r.trouble {
		time.AfterFunc(time.Second, func() {
			r.note("searcher i-0 begins to fail")
			failing.Store(true)
		})
		time.AfterFunc(6*time.Second, func() {
			r.note("searcher i-0 stops to fail")
			failing.Store(false)
		})
	}
	var mu sync.Mutex
	breaks, served := 0, 0
	sent := load(y, 6, 100*time.Millisecond, time.Now().Add(10*time.Second), "POST", "/order/album", 6*time.Second, func(id string, a answer) {
		mu.Lock()
		defer mu.Unlock()
		if a.err == nil && a.status == 200 {
			served++
		}
		if runs := totalRuns(list, id); a.err == nil && slices.Contains(promises, a.status) && runs > 0 {
			breaks++
			r.note("BROKEN: order %s was answered %d and has run %d times", id, a.status, runs)
		}
	})
	r.note("%d orders sent, %d served", sent, served)
	return breaks, nil
}
