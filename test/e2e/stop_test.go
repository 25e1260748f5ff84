package e2e_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gentianpond/internal/host/gateway"
	"gentianpond/test/fakes/searcher"
)

// exitTimeout bounds the wait for a planned stop. It is far above what a stop
// takes, so that a slow machine does not fail the test.
const exitTimeout = 30 * time.Second

// TestPlannedStop guards against a planned stop that drops a request in flight.
// Callers send to the stopping host for as long as it reports that it is ready.
func TestPlannedStop(t *testing.T) {
	y := newSystem(t, systemShape{control: 3, entries: 3, shards: 4, replicas: 2, section: fourShardSection, behavior: searcher.Behavior{Delay: 20 * time.Millisecond}})
	var sent, failed atomic.Int64
	stopped := make(chan struct{})
	workers := startParallel(4, func(w int) {
		for i := 0; ; i++ {
			select {
			case <-stopped:
				return
			default:
			}
			if !isReady(y.entryAddrs[1].String()) {
				return
			}
			sent.Add(1)
			a, err := y.search(y.entryAddrs[1], fmt.Sprintf(`"stop %d %d"`, w, i), gateway.LaneInteractive)
			if err != nil {
				failed.Add(1)
				continue
			}
			checkSearch(t, a)
			assert.Equal(t, gateway.OutcomeRan, a.Outcome, a.Reason)
		}
	})
	time.Sleep(300 * time.Millisecond)
	y.entries[1].signal(syscall.SIGTERM)
	require.Zero(t, y.entries[1].awaitExit(exitTimeout))
	close(stopped)
	workers.Wait()
	require.NotZero(t, sent.Load())
	require.Zero(t, failed.Load(), "requests whose connection broke")
	y.await("a view without the stopped host", func() bool {
		out, _ := y.runProgram("status", "--control", y.controlFlag())
		return !contains(out, "entry host entry-2")
	})
}

// isReady reports whether an entry host answers the readiness check.
func isReady(addr string) bool {
	res, err := http.Get("http://" + addr + "/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// TestDrainingServer guards against new work for a backend server that has
// announced that it is leaving, 3 s and later after the announcement.
func TestDrainingServer(t *testing.T) {
	y := newSystem(t, systemShape{control: 3, entries: 3, shards: 4, replicas: 2, section: fourShardSection})
	defer startLoad(3, func(w, i int) {
		_, _ = y.search(y.entryAddrs[w], fmt.Sprintf(`"drain %d %d"`, w, i), gateway.LaneInteractive)
	})()
	y.await("work for the server", func() bool { return y.requireStats(0).Searches > 0 })
	y.setBehavior(0, searcher.Behavior{Draining: true})
	time.Sleep(3 * time.Second)
	before := y.requireStats(0).Searches
	time.Sleep(time.Second)
	require.Equal(t, before, y.requireStats(0).Searches, "the server got new work 3 s after it announced that it is leaving")
}
