package e2e_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	"gentianpond/internal/host/gateway"
	"gentianpond/internal/order/executor"
	"gentianpond/internal/protocol/messenger"
	"gentianpond/internal/search/caller"
	"gentianpond/test/fakes/searcher"
)

// TestOrderHostKilled guards against a second execution when the entry host is
// killed at different stages of an order and the caller resends the key through
// another host, and against a resend that gets no answer but "in progress".
func TestOrderHostKilled(t *testing.T) {
	const orders = 40
	y := newSystem(t, systemShape{control: 3, entries: 3, shards: 2, replicas: 2, section: deadlineSection, behavior: searcher.Behavior{Delay: 30 * time.Millisecond}})
	victim := y.entries[0]
	keys := make([]string, orders)
	workers := startParallel(orders, func(i int) {
		keys[i] = fmt.Sprintf("%d-kill-%d", time.Now().Unix(), i)
		time.Sleep(time.Duration(i) * 4 * time.Millisecond)
		_, _ = y.order(y.entryAddrs[0], keys[i], fmt.Sprintf(`"kill %d"`, i))
	})
	time.Sleep(100 * time.Millisecond)
	victim.kill()
	workers.Wait()
	counts := map[string]int{}
	for i, key := range keys {
		body := fmt.Sprintf(`"kill %d"`, i)
		var a gateway.OrderAnswer
		y.await("an outcome of "+key, func() bool {
			var err error
			a, err = y.order(y.entryAddrs[1+i%2], key, body)
			return err == nil && a.Code != "progress" && a.Code != "control" && a.Code != gateway.CodeNoLease
		})
		counts[a.Outcome+" "+a.Code]++
		ran := y.executions()[body]
		assert.LessOrEqual(t, ran, 1, "%s ran %d times", body, ran)
		switch a.Outcome {
		case gateway.OutcomeRan:
			assert.Equal(t, 1, ran, "%s was said to have run", body)
		case gateway.OutcomeNotRun:
			assert.Zero(t, ran, "%s was said not to have run: %s", body, a.Code)
		}
	}
	t.Logf("outcomes of the resends: %v", counts)
}

// TestOrderLeaderKilled guards against a second execution and a false "not
// run" when the control leader is killed between the intent and the dispatch.
func TestOrderLeaderKilled(t *testing.T) {
	const orders = 60
	y := newSystem(t, systemShape{control: 3, entries: 3, shards: 2, replicas: 2, section: deadlineSection, behavior: searcher.Behavior{Delay: 5 * time.Millisecond}})
	y.awaitVoters(3)
	leader := y.leader()
	var outcomes orderOutcomes
	workers := startParallel(6, func(w int) {
		for i := range orders / 6 {
			y.placeOrder(&outcomes, w, i)
			time.Sleep(20 * time.Millisecond)
		}
	})
	time.Sleep(60 * time.Millisecond)
	y.control[leader].kill()
	workers.Wait()
	y.checkOrders(&outcomes)
}

// recordLimit bounds the time from the answer to an order until its outcome is
// recorded, which takes one proposal.
const recordLimit = time.Second

// TestOrderKeys guards against an order that runs under a key that is too old,
// malformed or already used for another body, and against a resend that runs the
// order again.
func TestOrderKeys(t *testing.T) {
	y := newSystem(t, systemShape{control: 1, entries: 2, shards: 2, replicas: 1, section: deadlineSection})
	now := time.Now().Unix()
	tests := []struct {
		name, key, body string
		entry           int
		outcome, code   string
		repeat          bool
		runs            int
	}{
		{"first", fmt.Sprintf("%d-a", now), `"one"`, 0, gateway.OutcomeRan, "", false, 1},
		{"resend through another host", fmt.Sprintf("%d-a", now), `"one"`, 1, gateway.OutcomeRan, "", true, 1},
		{"same key, other body", fmt.Sprintf("%d-a", now), `"two"`, 1, gateway.OutcomeNotRun, "conflict", false, 0},
		{"key older than the window", fmt.Sprintf("%d-b", now-90_000), `"three"`, 0, gateway.OutcomeNotRun, "expired", false, 0},
		{"key from the future", fmt.Sprintf("%d-c", now+4000), `"four"`, 0, gateway.OutcomeNotRun, "key", false, 0},
		{"no key in the form", "abc", `"five"`, 0, gateway.OutcomeNotRun, "key", false, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var a gateway.OrderAnswer
			// The outcome is recorded after the caller has been answered. Until then
			// a resend is told that the order is in progress, and does not run it.
			for start := time.Now(); a.Outcome == "" || a.Code == executor.CodeInProgress; time.Sleep(10 * time.Millisecond) {
				require.Less(t, time.Since(start), recordLimit)
				var err error
				a, err = y.order(y.entryAddrs[tt.entry], tt.key, tt.body)
				require.NoError(t, err)
			}
			require.Equal(t, tt.outcome, a.Outcome, a.Reason)
			require.Equal(t, tt.code, a.Code)
			require.Equal(t, tt.repeat, a.Repeat)
			require.Equal(t, tt.runs, y.executions()[tt.body])
		})
	}
}

// TestResentCall guards against an order that runs twice because gRPC resends the
// call to the owner. The owner does not run an attempt that arrives again, and the
// status of its answer does not claim that the order did not start.
func TestResentCall(t *testing.T) {
	y := newSystem(t, systemShape{control: 1, entries: 1, shards: 1, replicas: 1, section: deadlineSection})
	conn, err := messenger.Dial(y.entryInnerAddrs[0])
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	r := &messenger.RunRequest{
		Attempt: "resent", Archive: "albums", Body: []byte(`"resent"`), Server: y.fakeSettings[0].Name, Incarnation: y.requireStats(0).Incarnation,
		Deadline: durationpb.New(time.Second), Snapshot: "1",
	}
	first, err := messenger.NewEntryClient(conn).Run(t.Context(), r)
	require.NoError(t, err)
	require.Equal(t, caller.Answered, caller.Status(first.GetStatus()))
	second, err := messenger.NewEntryClient(conn).Run(t.Context(), r)
	require.NoError(t, err)
	require.Equal(t, caller.Failed, caller.Status(second.GetStatus()))
	require.Equal(t, 1, y.executions()[`"resent"`])
}
