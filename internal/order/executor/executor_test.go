package executor_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gentianpond/internal/order/executor"
	"gentianpond/internal/order/recorder"
	"gentianpond/internal/search/caller"
	"gentianpond/test/seeder"
)

// TestMain fixes the seed and the number of schedules unless they are given.
func TestMain(m *testing.M) {
	seeder.SetDefaults(seeder.Defaults{Seed: 1, Checks: 2000})
	os.Exit(m.Run())
}

var errLost = errors.New("lost")

// world is a ledger, a backend server and the faults between them.
type world struct {
	t      *rapid.T
	now    time.Time
	ledger *recorder.Ledger
	// runs counts executions by order body, which names the key.
	runs map[string]int
	late []func()
}

func (w *world) chance(label string) bool { return rapid.IntRange(0, 3).Draw(w.t, label) == 0 }

// Reserve loses the request or the answer now and then; a lost answer leaves
// the intent written.
func (w *world) Reserve(_ context.Context, o executor.Order, attempt string) (executor.Reservation, error) {
	if w.chance("reserve lost") {
		return executor.Reservation{}, errLost
	}
	v, r := w.ledger.Reserve(w.now, o.Key, attempt, o.Fingerprint, o.Deadline, o.Retention)
	if w.chance("reserve answer lost") {
		return executor.Reservation{}, errLost
	}
	return executor.Reservation{Verdict: v, Outcome: r.Outcome, Code: r.Code, Answer: r.Answer}, nil
}

// Complete is lost, late or done at once.
func (w *world) Complete(_ context.Context, key, attempt string, outcome recorder.Outcome, code string, answer []byte) error {
	do := func() { w.ledger.Complete(w.now, key, attempt, outcome, code, answer) }
	switch rapid.IntRange(0, 3).Draw(w.t, "complete") {
	case 0:
		return errLost
	case 1:
		w.late = append(w.late, do)
	default:
		do()
	}
	return nil
}

func (w *world) Choose(_, _ string) (executor.Target, error) {
	if w.chance("no server") {
		return executor.Target{}, errors.New("no server")
	}
	return executor.Target{Server: "s1"}, nil
}

// crash is the panic that stands for the end of a process in the middle of an
// order.
type crash struct{}

// Run executes the order, or not, and returns a status that is true.
func (w *world) Run(_ context.Context, _ executor.Target, o executor.Order, _ string) caller.Result {
	if w.chance("crash before dispatch") {
		panic(crash{})
	}
	status := rapid.SampledFrom([]caller.Status{
		caller.Answered, caller.Shed, caller.Missing, caller.Unsent, caller.Refused, caller.Broken, caller.TimedOut, caller.Failed,
	}).Draw(w.t, "status")
	ran := status == caller.Answered || !status.NotStarted() && w.chance("ran")
	if ran {
		w.runs[string(o.Body)]++
	}
	if w.chance("crash after dispatch") {
		panic(crash{})
	}
	return caller.Result{Status: status, Body: json.RawMessage(`1`)}
}

// send runs one sending of an order; it is false when the process ended.
func (w *world) send(e *executor.Executor, o executor.Order) (a executor.Answer, answered bool) {
	defer func() {
		if r := recover(); r != nil {
			if _, ok := r.(crash); !ok {
				panic(r)
			}
		}
	}()
	return e.Run(context.Background(), o), true
}

func (w *world) host(name string, incarnation uint64) *executor.Executor {
	return &executor.Executor{Host: name, Incarnation: incarnation, Ledger: w, Dispatcher: w, Background: func(f func()) { f() }}
}

// TestAtMostOnce guards against a second execution of a key and against an
// outcome that is not true, whatever is lost and whoever crashes, when the
// caller sends the same key again through any host.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: time.Now(), ledger: recorder.New(recorder.Limits{}), runs: map[string]int{}}
		hosts := []*executor.Executor{w.host("a", 1), w.host("b", 2), w.host("c", 3)}
		said := map[string]recorder.Outcome{}
		for i := range rapid.IntRange(1, 30).Draw(t, "sends") {
			n := rapid.IntRange(0, 2).Draw(t, "order")
			key := strconv.FormatInt(w.now.Unix()-int64(n), 10) + "-" + strconv.Itoa(n)
			if old, ok := w.keys(n); ok {
				key = old
			}
			body := fmt.Sprintf("%q", key)
			o := executor.Order{Archive: "x", Key: key, Body: json.RawMessage(body), Deadline: time.Now().Add(time.Minute), Fingerprint: uint64(n), Retention: time.Hour}
			h := rapid.IntRange(0, 2).Draw(t, "host")
			a, answered := w.send(hosts[h], o)
			if !answered {
				hosts[h] = w.host(string(rune('a'+h)), uint64(100+i))
			}
			require.LessOrEqual(t, w.runs[body], 1, "second execution of %s", key)
			if answered {
				w.check(key, body, a, said)
			}
			w.pass()
		}
	})
}

// keys returns the key of the n-th order if the ledger knows one.
func (w *world) keys(n int) (string, bool) {
	for _, r := range w.ledger.Snapshot().Records {
		if r.Fingerprint == uint64(n) {
			return r.Key, true
		}
	}
	return "", false
}

func (w *world) check(key, body string, a executor.Answer, said map[string]recorder.Outcome) {
	switch a.Outcome {
	case recorder.OutcomeRan:
		require.Equal(w.t, 1, w.runs[body], "%s was said to have run", key)
	case recorder.OutcomeNotRun:
		// Without the ledger a host answers for its own sending only.
		if a.Code != executor.CodeControlUnavailable {
			require.Zero(w.t, w.runs[body], "%s was said not to have run: %s", key, a.Code)
		}
	}
	if old, ok := said[key]; ok && a.Repeat && a.Outcome != recorder.OutcomeUnknown {
		require.Equal(w.t, old, a.Outcome, "the stored answer changed")
	}
	if a.Repeat && a.Outcome != recorder.OutcomeUnknown {
		said[key] = a.Outcome
	}
}

// pass lets time go on and a late completion arrive.
func (w *world) pass() {
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 40).Draw(w.t, "pass")) * time.Second)
	w.ledger.Advance(w.now)
	if len(w.late) > 0 && w.chance("late completion") {
		w.late[0]()
		w.late = w.late[1:]
	}
}

// plainLedger grants each key and keeps the length of the answers that it is given.
type plainLedger struct{ lengths []int }

func (l *plainLedger) Reserve(context.Context, executor.Order, string) (executor.Reservation, error) {
	return executor.Reservation{Verdict: recorder.VerdictGranted}, nil
}

func (l *plainLedger) Complete(_ context.Context, _, _ string, _ recorder.Outcome, _ string, answer []byte) error {
	l.lengths = append(l.lengths, len(answer))
	return nil
}

// plainDispatcher answers each order with a body of a length.
type plainDispatcher struct{ length int }

func (plainDispatcher) Choose(string, string) (executor.Target, error) { return executor.Target{}, nil }

func (d plainDispatcher) Run(context.Context, executor.Target, executor.Order, string) caller.Result {
	return caller.Result{Status: caller.Answered, Body: make([]byte, d.length)}
}

// TestLongAnswers guards against long answers that are held, and sent to the control hosts, only
// for the ledger to leave them out.
func TestLongAnswers(t *testing.T) {
	for _, c := range []struct{ length, recorded int }{
		{0, 0}, {recorder.MaxAnswer, recorder.MaxAnswer}, {recorder.MaxAnswer + 1, recorder.MaxAnswer + 1}, {8 << 20, recorder.MaxAnswer + 1},
	} {
		ledger := &plainLedger{}
		e := &executor.Executor{Ledger: ledger, Dispatcher: plainDispatcher{c.length}, Background: func(f func()) { f() }}
		a := e.Run(t.Context(), executor.Order{Key: "1-a", Deadline: time.Now().Add(time.Minute)})
		require.Len(t, a.Body, c.length)
		require.Equal(t, []int{c.recorded}, ledger.lengths)
	}
}
