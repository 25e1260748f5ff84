package e2e_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gentianpond/internal/host/gateway"
	"gentianpond/test/fakes/searcher"
)

// TestCrashingRequest guards against a request that crashes the backend servers
// each time it is sent. After the first fan-out it may crash one more server for
// each entry host, which runs it alone; then it is refused. Other requests are
// still served.
func TestCrashingRequest(t *testing.T) {
	const shards, replicas, entries = 4, 2, 2
	y := newSystem(t, systemShape{control: 3, entries: entries, shards: shards, replicas: replicas, section: fourShardSection, behavior: searcher.Behavior{CrashText: "poison"}})
	stopWatching := make(chan struct{})
	restarts := 0
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stopWatching:
				return
			case <-time.After(20 * time.Millisecond):
			}
			for _, p := range y.fakes {
				select {
				case <-p.exited:
					restarts++
					p.start()
				default:
				}
			}
		}
	}()
	refused := 0
	for i := range 20 {
		a, err := y.search(y.entryAddrs[i%entries], `"poison"`, gateway.LaneInteractive)
		require.NoError(t, err)
		if a.Code == gateway.CodeQuarantined {
			require.Equal(t, gateway.OutcomeNotRun, a.Outcome)
			refused++
		}
		time.Sleep(100 * time.Millisecond)
	}
	y.await("a complete answer to another request", func() bool {
		a, err := y.search(y.entryAddrs[0], fmt.Sprintf("%q", "harmless"), gateway.LaneInteractive)
		return err == nil && a.Outcome == gateway.OutcomeRan && len(a.Coverage.Missing) == 0
	})
	close(stopWatching)
	<-done
	t.Logf("%d backend servers lost to 20 sends of one request, %d sends refused", restarts, refused)
	require.NotZero(t, refused)
	require.LessOrEqual(t, restarts, shards+entries, "backend servers lost to one request")
}
