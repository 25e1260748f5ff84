package e2e_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianpond/internal/host/gateway"
	"gentianpond/test/fakes/searcher"
)

// checkSearch verifies that all hits of an answer are of one snapshot and one query
// and that the coverage of the answer matches the hits.
func checkSearch(t *testing.T, a gateway.SearchAnswer) {
	t.Helper()
	shards := map[string]bool{}
	queries := map[string]bool{}
	for _, raw := range a.Hits {
		h := decodeHit(t, raw)
		assert.Equal(t, a.Snapshot, h.Snapshot, "a hit of another snapshot")
		shards[fmt.Sprint(h.Shard)] = true
		queries[h.Query] = true
	}
	assert.LessOrEqual(t, len(queries), 1, "hits of several queries in one answer")
	assert.Len(t, shards, int(a.Coverage.Answered), "coverage and hits differ")
	assert.Len(t, a.Hits, int(a.Coverage.Answered), "a shard counted twice")
	assert.Equal(t, a.Coverage.Shards, a.Coverage.Answered+uint32(len(a.Coverage.Missing)))
}

// orderOutcomes holds the last outcome that a caller was told of each order, by the
// body of the order.
type orderOutcomes struct {
	mu       sync.Mutex
	outcomes map[string]string
}

func (y *orderOutcomes) record(body, outcome string) {
	y.mu.Lock()
	defer y.mu.Unlock()
	if y.outcomes == nil {
		y.outcomes = map[string]string{}
	}
	y.outcomes[body] = outcome
}

// TestKill guards against answers that mix queries or count a shard twice, and
// against orders that run twice or not as reported, when an entry host and a
// backend server are killed while searches and orders run.
func TestKill(t *testing.T) {
	y := newSystem(t, systemShape{control: 3, entries: 3, shards: 4, replicas: 2, section: fourShardSection, behavior: searcher.Behavior{Delay: 3 * time.Millisecond}})
	var orders orderOutcomes
	workers := startParallel(6, func(w int) {
		for i := range 120 {
			addr := y.entryAddrs[(w+i)%len(y.entryAddrs)]
			if a, err := y.search(addr, fmt.Sprintf(`"search %d %d"`, w, i), gateway.LaneInteractive); err == nil {
				checkSearch(t, a)
			}
			y.placeOrder(&orders, w, i)
			time.Sleep(5 * time.Millisecond)
		}
	})
	time.Sleep(300 * time.Millisecond)
	y.entries[2].kill()
	y.fakes[1].kill()
	workers.Wait()
	y.checkOrders(&orders)
	// The remaining processes cover every shard.
	a, err := y.search(y.entryAddrs[0], `"after"`, gateway.LaneInteractive)
	require.NoError(t, err)
	require.Empty(t, a.Coverage.Missing, "the remaining replica answers")
}

// placeOrder sends an order and records its outcome. If the answer is lost or says
// that the order is in progress, it sends the same order through the next entry
// host, up to three times in all.
func (y *system) placeOrder(orders *orderOutcomes, w, i int) {
	body := fmt.Sprintf(`"order %d %d"`, w, i)
	key := fmt.Sprintf("%d-%d-%d", time.Now().Unix(), w, i)
	for try := range 3 {
		a, err := y.order(y.entryAddrs[(w+i+try)%len(y.entryAddrs)], key, body)
		if err != nil {
			continue
		}
		orders.record(body, a.Outcome)
		if a.Code != "progress" {
			return
		}
	}
}

// checkOrders compares the outcomes that callers were told with the executions of
// the backend servers.
func (y *system) checkOrders(orders *orderOutcomes) {
	y.t.Helper()
	ran := y.executions()
	counts := map[string]int{}
	for body, outcome := range orders.outcomes {
		counts[outcome]++
		assert.LessOrEqual(y.t, ran[body], 1, "%s ran %d times", body, ran[body])
		switch outcome {
		case gateway.OutcomeRan:
			assert.Equal(y.t, 1, ran[body], "%s was said to have run", body)
		case gateway.OutcomeNotRun:
			assert.Zero(y.t, ran[body], "%s was said not to have run", body)
		}
	}
	y.t.Logf("orders by outcome: %v", counts)
	assert.NotZero(y.t, counts[gateway.OutcomeRan])
}
