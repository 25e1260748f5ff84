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
// killed at different moments of an order and the caller sends the same key
// again through another host, and against a resend that is never told more
// than "in progress".
func TestOrderHostKilled(t *testing.T) {
	const orders = 40
	y := newSystem(t, shape{control: 3, entries: 3, shards: 2, replicas: 2, section: section2, behavior: searcher.Behavior{Delay: 30 * time.Millisecond}})
	victim := y.entries[0]
	keys := make([]string, orders)
	workers := parallel(orders, func(i int) {
		keys[i] = fmt.Sprintf("%d-kill-%d", time.Now().Unix(), i)
		time.Sleep(time.Duration(i) * 4 * time.Millisecond)
		_, _ = y.order(y.callers[0], keys[i], fmt.Sprintf(`"kill %d"`, i))
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
			a, err = y.order(y.callers[1+i%2], key, body)
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
	y := newSystem(t, shape{control: 3, entries: 3, shards: 2, replicas: 2, section: section2, behavior: searcher.Behavior{Delay: 5 * time.Millisecond}})
	y.awaitVoters(3)
	leader := y.leader()
	var told tally
	workers := parallel(6, func(w int) {
		for i := range orders / 6 {
			y.placeOrder(&told, w, i)
			time.Sleep(20 * time.Millisecond)
		}
	})
	time.Sleep(60 * time.Millisecond)
	y.control[leader].kill()
	workers.Wait()
	y.checkOrders(&told)
}

// recordLimit bounds the time until the outcome of an order is written. It takes one
// proposal.
const recordLimit = time.Second

// TestOrderKeys guards against an order that runs under a key that is too old,
// malformed or already used for another body, and against a resend that runs.
func TestOrderKeys(t *testing.T) {
	y := newSystem(t, shape{control: 1, entries: 2, shards: 2, replicas: 1, section: section2})
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
			// The outcome is written after the caller was answered. Until then a
			// resend is told that the order is in progress, and does not run.
			for start := time.Now(); a.Outcome == "" || a.Code == executor.CodeInProgress; time.Sleep(10 * time.Millisecond) {
				require.Less(t, time.Since(start), recordLimit)
				var err error
				a, err = y.order(y.callers[tt.entry], tt.key, tt.body)
				require.NoError(t, err)
			}
			require.Equal(t, tt.outcome, a.Outcome, a.Reason)
			require.Equal(t, tt.code, a.Code)
			require.Equal(t, tt.repeat, a.Repeat)
			require.Equal(t, tt.runs, y.executions()[tt.body])
		})
	}
}

// TestResentCall guards against an order that runs twice because grpc resends
// the call to its owner: the second arrival of an attempt is not run, and its
// status does not claim that the order did not start.
func TestResentCall(t *testing.T) {
	y := newSystem(t, shape{control: 1, entries: 1, shards: 1, replicas: 1, section: section2})
	conn, err := messenger.Dial(y.hosts[0])
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	r := &messenger.RunRequest{
		Attempt: "resent", Archive: "albums", Body: []byte(`"resent"`), Server: y.settings[0].Name, Incarnation: y.stats(0).Incarnation,
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
