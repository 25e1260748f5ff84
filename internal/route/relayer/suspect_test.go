package relayer

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gentianpond/internal/guard/quarantiner"
	"gentianpond/internal/route/router"
)

// suspicionOf returns a suspicion against a GET request of the test environment.
func suspicionOf(path, service string, state quarantiner.State, rounds int) quarantiner.Suspicion {
	r := Request{Method: http.MethodGet, Host: "h", Target: path}
	now := time.Now()
	return quarantiner.Suspicion{
		Fingerprint: r.fingerprint(), Archive: service, State: state, Rounds: rounds, Crashes: rounds + 1,
		LastCrash: now.Add(-time.Second), Expiry: now.Add(time.Minute),
	}
}

// TestTrialOfFanout guards against a suspected search that is sent to all shards before it
// has completed on one, and against one that leaves out the others afterwards.
func TestTrialOfFanout(t *testing.T) {
	env := newTestEnv(t, []router.Route{fanoutRoute(1)}, shardServers(1))
	begun, finish := make(chan struct{}), make(chan struct{})
	env.servers["s2-a"].setHandler(func(w http.ResponseWriter, r *http.Request) {
		close(begun)
		<-finish
		partHandler("s2-a")(w, r)
	})
	env.relayer.LearnSuspicions([]quarantiner.Suspicion{suspicionOf("/x", "s2", quarantiner.StateSuspect, 0)}, false)
	answer := make(chan Answer, 1)
	go func() { answer <- env.get(t, "/x") }()
	<-begun
	time.Sleep(20 * time.Millisecond)
	for name, s := range env.servers {
		if name != "s2-a" {
			require.Zero(t, s.requests.Load(), name)
		}
	}
	close(finish)
	a := <-answer
	require.Equal(t, Served, a.Reason)
	require.Zero(t, a.MissingParts)
	env.servers["s2-a"].setHandler(partHandler("s2-a"))
	require.Equal(t, quarantiner.StateClear, env.relayer.guard.Suspicion(time.Now(), suspicionOf("/x", "", 0, 0).Fingerprint).State)
}

// TestQuarantinedRequest guards against a refusal that is not true or that concerns other
// requests: nothing is sent, and the caller is told when it will be tried again.
func TestQuarantinedRequest(t *testing.T) {
	env := newTestEnv(t, []router.Route{singleRoute(router.Safe)}, map[string][]string{"s": {"a"}})
	env.relayer.LearnSuspicions([]quarantiner.Suspicion{suspicionOf("/x", "s", quarantiner.StateQuarantined, 2)}, false)
	start := time.Now()
	a := env.get(t, "/x")
	require.Equal(t, Quarantined, a.Reason)
	require.True(t, a.Reason.NotRun())
	require.InDelta(t, time.Minute, a.RetryAfter, float64(5*time.Second))
	require.Less(t, time.Since(start), 50*time.Millisecond)
	require.Zero(t, env.servers["a"].requests.Load())
	require.Equal(t, Served, env.get(t, "/y").Reason)
	// An operator's clear ends it.
	cleared := suspicionOf("/x", "s", quarantiner.StateClear, 0)
	env.relayer.LearnSuspicions([]quarantiner.Suspicion{cleared}, false)
	require.Equal(t, Served, env.get(t, "/x").Reason)
}

// TestExpiredQuarantine guards against a request that is refused for good although the
// servers bear it now: after the quarantine it runs once, and a completion clears it.
func TestExpiredQuarantine(t *testing.T) {
	env := newTestEnv(t, []router.Route{singleRoute(router.Safe)}, map[string][]string{"s": {"a"}})
	var reports []quarantiner.Observation
	env.relayer.config.Observe = func(o quarantiner.Observation) bool {
		reports = append(reports, o)
		return true
	}
	s := suspicionOf("/x", "s", quarantiner.StateQuarantined, 2)
	s.Expiry = time.Now().Add(-time.Millisecond)
	env.relayer.LearnSuspicions([]quarantiner.Suspicion{s}, false)
	require.Equal(t, Served, env.get(t, "/x").Reason)
	require.Len(t, reports, 1)
	require.False(t, reports[0].Crashed)
	require.Equal(t, s.Fingerprint, reports[0].Fingerprint)
}

// TestCopiesWaitForTrial guards against a request whose copies run beside its trial, and
// against copies that are refused although it then completes.
func TestCopiesWaitForTrial(t *testing.T) {
	env := newTestEnv(t, []router.Route{singleRoute(router.Unsafe)}, map[string][]string{"s": {"a", "b"}})
	finish := make(chan struct{})
	for _, name := range []string{"a", "b"} {
		env.servers[name].setHandler(func(w http.ResponseWriter, r *http.Request) {
			<-finish
			partHandler(name)(w, r)
		})
	}
	env.relayer.LearnSuspicions([]quarantiner.Suspicion{suspicionOf("/x", "s", quarantiner.StateSuspect, 0)}, false)
	var group sync.WaitGroup
	for range 5 {
		group.Go(func() { require.Equal(t, Served, env.get(t, "/x").Reason) })
	}
	time.Sleep(100 * time.Millisecond)
	require.EqualValues(t, 1, env.servers["a"].requests.Load()+env.servers["b"].requests.Load())
	close(finish)
	group.Wait()
}

// TestInnocentIsNotReported guards against control hosts and other hosts that hear of each
// request that was on a server when that ended: one that completes on another server is
// not the cause.
func TestInnocentIsNotReported(t *testing.T) {
	env := newTestEnv(t, []router.Route{singleRoute(router.Safe)}, map[string][]string{"s": {"a", "b"}})
	var reports atomic.Int64
	env.relayer.config.Observe = func(quarantiner.Observation) bool {
		reports.Add(1)
		return true
	}
	var ended atomic.Bool
	for name, s := range env.servers {
		s.setHandler(func(w http.ResponseWriter, r *http.Request) {
			if ended.CompareAndSwap(false, true) {
				_ = s.listener.Close()
				panic(http.ErrAbortHandler)
			}
			partHandler(name)(w, r)
		})
	}
	require.Equal(t, Served, env.get(t, "/x").Reason)
	require.True(t, ended.Load())
	time.Sleep(2 * reportDelay)
	require.Zero(t, reports.Load())
	require.Equal(t, quarantiner.StateClear, env.relayer.guard.Suspicion(time.Now(), suspicionOf("/x", "", 0, 0).Fingerprint).State)
}

// TestCrashedServer guards against a safe request that is sent to all servers of a service
// one after the other while each ends under it, and against equal requests that follow it.
func TestCrashedServer(t *testing.T) {
	env := newTestEnv(t, []router.Route{singleRoute(router.Safe)}, map[string][]string{"s": {"a", "b", "c"}})
	var reports []quarantiner.Observation
	env.relayer.config.Observe = func(o quarantiner.Observation) bool {
		reports = append(reports, o)
		return true
	}
	for _, s := range env.servers {
		s.setHandler(func(http.ResponseWriter, *http.Request) {
			_ = s.listener.Close()
			panic(http.ErrAbortHandler)
		})
	}
	require.Equal(t, Broken, env.get(t, "/x").Reason)
	require.Len(t, reports, 2)
	require.False(t, reports[0].Alone)
	require.True(t, reports[1].Alone)
	a := env.get(t, "/x")
	require.Equal(t, Quarantined, a.Reason, "the service has one server left")
	require.Len(t, reports, 2)
}
