package coordinator

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"gentianpond/internal/fleet/assigner"
	"gentianpond/internal/fleet/tracker"
	"gentianpond/internal/protocol/messenger"
	"gentianpond/internal/search/caller"
	"gentianpond/internal/settings/checker"
)

const (
	fast = 4 * time.Millisecond
	slow = 300 * time.Millisecond
)

// fakeOwner is a Sender that replies to each sub-request after a delay.
type fakeOwner struct {
	// replyDelay returns the delay for attempt n at a shard, counted from 0.
	replyDelay func(shard uint32, n int) time.Duration
	// unsent reports whether attempt n at any shard has the status Unsent. It
	// may be nil.
	unsent   func(n int) bool
	mu       sync.Mutex
	attempts map[uint32]int
}

func (o *fakeOwner) Scan(ctx context.Context, _ assigner.Member, r *messenger.ScanRequest, onReply func(*messenger.ScanReply)) error {
	var group sync.WaitGroup
	var turn sync.Mutex
	for _, s := range r.GetSubrequests() {
		o.mu.Lock()
		delay := o.replyDelay(s.GetShard(), o.attempts[s.GetShard()])
		status := caller.Answered
		if o.unsent != nil && o.unsent(o.attempts[s.GetShard()]) {
			status = caller.Unsent
		}
		o.attempts[s.GetShard()]++
		o.mu.Unlock()
		group.Go(func() {
			select {
			case <-time.After(delay):
				turn.Lock()
				defer turn.Unlock()
				onReply(&messenger.ScanReply{Attempt: s.GetAttempt(), Shard: s.GetShard(), Status: uint32(status), Snapshot: r.GetSnapshot(), Body: []byte("[]")})
			case <-ctx.Done():
			}
		})
	}
	group.Wait()
	return nil
}

// newSearch returns a function that searches 10 shards with 2 replicas each and
// returns the time that the search took; hedge is the ratio of the hedge budget.
func newSearch(t *testing.T, o *fakeOwner, hedge float64) func() time.Duration {
	self := assigner.Member{Name: "entry-1", Zone: "zone-1", Incarnation: 1}
	c := New(self, o, tally.NoopScope)
	var usable []tracker.Server
	for i := range 20 {
		usable = append(usable, tracker.Server{Announcement: tracker.Announcement{
			ServerName: fmt.Sprint("searcher-", i), Zone: "zone-1", Incarnation: 1, Slots: 8,
			Served: []tracker.ServedSnapshot{{Archive: "albums", Snapshot: "1", ShardCount: 10, Shards: []int{i % 10}}},
		}})
	}
	a := checker.DefaultArchive("albums")
	a.Hedge = hedge
	document := checker.Document{Sections: []checker.Section{{Team: "counter", Archives: []checker.ArchiveSettings{a}}}}
	c.Update(time.Now(), NewDirectory(usable, assigner.View{Number: 1, Members: []assigner.Member{self}}, document))
	return func() time.Duration {
		start := time.Now()
		answer, err := c.Search(t.Context(), Request{Archive: "albums", Deadline: start.Add(time.Second), Body: []byte("1")})
		require.NoError(t, err)
		require.True(t, answer.Coverage.Complete())
		return time.Since(start)
	}
}

// Guards against a search that waits for the stragglers that its hedges have
// replaced, against a shard that is never hedged because the budget was empty
// when its hedge was first due, and against a slow hedge that decides the
// latency of the search.
func TestHedgeEndsSearch(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		// stragglers is the number of slow shards, slowAttempts that of slow
		// attempts at each of them.
		stragglers, slowAttempts int
		hedge                    float64
		// warmups is the number of fast searches before, which fill the budget
		// and the latency histogram of the hedger.
		warmups int
	}{
		{"one straggler", 1, 1, 0.05, 40},
		{"the hedge is slow too", 1, 2, 0.05, 40},
		{"an empty budget at first", 1, 1, 0.05, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var stragglers atomic.Int64
				o := &fakeOwner{attempts: map[uint32]int{}, replyDelay: func(shard uint32, n int) time.Duration {
					if int64(shard) < stragglers.Load() && n < c.slowAttempts {
						return slow
					}
					return fast
				}}
				search := newSearch(t, o, c.hedge)
				for range c.warmups {
					require.Equal(t, fast, search())
				}
				stragglers.Store(int64(c.stragglers))
				clear(o.attempts)
				if c.warmups > 0 {
					require.Less(t, search(), slow/2)
					return
				}
				// One search earns half a token; others earn the rest while
				// this one waits.
				var group sync.WaitGroup
				group.Go(func() { require.Less(t, search(), slow) })
				time.Sleep(60 * time.Millisecond)
				stragglers.Store(0)
				require.Equal(t, fast, search())
				group.Wait()
			})
		})
	}
}

// Guards against a straggler that is not hedged again when its first hedge
// went to a server that is down.
func TestFailedHedgeIsReplaced(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		straggler := false
		o := &fakeOwner{attempts: map[uint32]int{}, replyDelay: func(shard uint32, n int) time.Duration {
			if straggler && shard == 0 && n == 0 {
				return slow
			}
			return fast
		}}
		search := newSearch(t, o, 0.05)
		for range 40 {
			require.Equal(t, fast, search())
		}
		straggler = true
		clear(o.attempts)
		o.unsent = func(n int) bool { return n == 1 }
		require.Less(t, search(), slow/2)
	})
}
