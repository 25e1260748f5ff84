package e2e_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianpond/internal/host/gateway"
	"gentianpond/test/fakes/searcher"
)

// TestRepartition guards against answers that mix snapshots, or state the
// wrong coverage, while backend servers move to a snapshot with another number
// of shards and withdraw the old one.
func TestRepartition(t *testing.T) {
	y := newSystem(t, systemShape{control: 3, entries: 2, shards: 4, replicas: 2, section: deadlineSection, behavior: searcher.Behavior{Delay: 5 * time.Millisecond}})
	var complete, partial, refused atomic.Int64
	stop := startLoad(4, func(w, i int) {
		a, err := y.search(y.entryAddrs[w%2], fmt.Sprintf(`"move %d %d"`, w, i), gateway.LaneInteractive)
		if !assert.NoError(t, err) {
			return
		}
		checkSearch(t, a)
		switch {
		case a.Outcome != gateway.OutcomeRan:
			refused.Add(1)
		case len(a.Coverage.Missing) > 0:
			partial.Add(1)
		default:
			complete.Add(1)
			assert.Equal(t, map[string]uint32{"1": 4, "2": 2}[a.Snapshot], a.Coverage.Shards)
		}
	})
	old := func(i int) searcher.ServedSnapshot {
		return searcher.ServedSnapshot{Archive: "albums", Snapshot: "1", Count: 4, Shards: []uint32{uint32(i / 2)}}
	}
	next := func(i int) searcher.ServedSnapshot {
		return searcher.ServedSnapshot{Archive: "albums", Snapshot: "2", Count: 2, Shards: []uint32{uint32(i / 4)}}
	}
	for i := range y.fakes {
		y.setServed(i, []searcher.ServedSnapshot{old(i), next(i)})
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(1500 * time.Millisecond)
	for i := range y.fakes {
		y.setServed(i, []searcher.ServedSnapshot{next(i)})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	stop()
	t.Logf("%d complete, %d partial, %d without an answer", complete.Load(), partial.Load(), refused.Load())
	require.NotZero(t, complete.Load())
	a, err := y.search(y.entryAddrs[0], `"after"`, gateway.LaneInteractive)
	require.NoError(t, err)
	require.Equal(t, "2", a.Snapshot)
	require.Empty(t, a.Coverage.Missing)
}

// TestSnapshotSwitchWithoutOverlap guards against answers that mix snapshots, or
// state the wrong coverage, when backend servers switch to a new snapshot without
// serving both for a time: the snapshot that a running query uses disappears.
func TestSnapshotSwitchWithoutOverlap(t *testing.T) {
	y := newSystem(t, systemShape{control: 3, entries: 2, shards: 4, replicas: 2, section: deadlineSection, behavior: searcher.Behavior{Delay: 5 * time.Millisecond}})
	stop := startLoad(4, func(w, i int) {
		a, err := y.search(y.entryAddrs[w%2], fmt.Sprintf(`"jump %d %d"`, w, i), gateway.LaneInteractive)
		if !assert.NoError(t, err) {
			return
		}
		checkSearch(t, a)
	})
	for i := range y.fakes {
		y.setServed(i, []searcher.ServedSnapshot{{Archive: "albums", Snapshot: "2", Count: 4, Shards: []uint32{uint32(i / 2)}}})
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(time.Second)
	stop()
	a, err := y.search(y.entryAddrs[0], `"after"`, gateway.LaneInteractive)
	require.NoError(t, err)
	require.Equal(t, "2", a.Snapshot)
	require.Empty(t, a.Coverage.Missing)
}
