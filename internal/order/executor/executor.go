// Package executor runs one order on an entry host: it has the intent written
// by the control hosts, dispatches the order once, and has the outcome
// written. The intent comes first, so that no other host can dispatch the same
// key, whatever fails afterwards.
package executor

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"gentianpond/internal/order/recorder"
	"gentianpond/internal/search/caller"
)

// completeTimeout is how long an outcome is offered to the control hosts. An
// outcome that never arrives leaves the key unknown, which is true.
const completeTimeout = 30 * time.Second

// rerouteDelay is the pause before an order that did not leave is sent through
// another owner. A change of owners takes a few sync intervals.
const rerouteDelay = 20 * time.Millisecond

// Reservation is the ledger's answer.
type Reservation struct {
	Verdict recorder.Verdict
	Outcome recorder.Outcome
	Code    string
	Answer  []byte
	// Omitted is true when the order ran and its answer was too large to keep.
	Omitted bool
}

// Ledger is the order ledger of the control hosts.
type Ledger interface {
	Reserve(ctx context.Context, o Order, attempt string) (Reservation, error)
	Complete(ctx context.Context, key, attempt string, outcome recorder.Outcome, code string, answer []byte) error
}

// Target is the backend server chosen for an order.
type Target struct {
	Server      string
	Incarnation uint64
	Snapshot    string
	Shard       uint32
}

// Dispatcher chooses a backend server and sends one order to it, once.
type Dispatcher interface {
	Choose(archive, key string) (Target, error)
	Run(ctx context.Context, t Target, o Order, attempt string) caller.Result
}

// Order is one non-idempotent request.
type Order struct {
	Archive     string
	Key         string
	Body        json.RawMessage
	Deadline    time.Time
	Fingerprint uint64
	Alone       bool
	Retention   time.Duration
}

// Answer is what the caller is told.
type Answer struct {
	Outcome recorder.Outcome
	Code    string
	Reason  string
	Repeat  bool
	Body    json.RawMessage
}

// The codes of answers that carry no result.
const (
	CodeControlUnavailable = "control"
	CodeInProgress         = "progress"
	CodeUnknown            = "unknown"
	CodeKeyConflict        = "conflict"
	CodeExpiredKey         = "expired"
	CodeInvalidKey         = "key"
	CodeLedgerFull         = "full"
	CodeUnavailable        = "unavailable"
	CodeDeadlinePassed     = "deadline"
	CodeOverloaded         = "overloaded"
	CodeBackendFailed      = "backend"
)

// Executor runs orders. Host and Incarnation identify this process; no other
// process has the same pair.
type Executor struct {
	Host        string
	Incarnation uint64
	Ledger      Ledger
	Dispatcher  Dispatcher
	// Background runs a function that outlives its request; a stopping
	// process waits for it.
	Background func(func())

	attempts atomic.Uint64
	granted  seen
}

// WasGranted reports whether this process was granted the key before. Then the order
// may have run, and no refusal may say that it did not.
func (e *Executor) WasGranted(key string) bool { return e.granted.has(key) }

// Run runs an order and returns what is known of it. The order goes on when
// ctx is cancelled because the caller's connection broke: its outcome is still
// wanted for the resend.
func (e *Executor) Run(ctx context.Context, o Order) Answer {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), o.Deadline)
	defer cancel()
	attempt := fmt.Sprintf("%s-%x-%x", e.Host, e.Incarnation, e.attempts.Add(1))
	target, err := e.Dispatcher.Choose(o.Archive, o.Key+attempt)
	if err != nil {
		return e.withoutTarget(ctx, o, attempt, err)
	}
	if o.Key == "" {
		return describe(e.send(ctx, o, target, attempt))
	}
	if a, granted := e.reserve(ctx, o, attempt); !granted {
		return a
	}
	return e.dispatch(ctx, o, target, attempt)
}

// reserve has the intent written. It returns the answer for the caller unless
// the intent was granted to attempt.
func (e *Executor) reserve(ctx context.Context, o Order, attempt string) (Answer, bool) {
	stored, err := e.Ledger.Reserve(ctx, o, attempt)
	if err != nil && e.WasGranted(o.Key) {
		return Answer{Outcome: recorder.OutcomeUnknown, Code: CodeControlUnavailable, Reason: "an earlier sending may have run: " + err.Error()}, false
	}
	if err != nil {
		return notRun(CodeControlUnavailable, errors.Wrap(err, "write the intent")), false
	}
	if stored.Verdict != recorder.VerdictGranted {
		return repeat(stored), false
	}
	e.granted.add(o.Key)
	return Answer{}, true
}

// withoutTarget answers when no backend server can take the order. A resend
// still gets the stored answer: only the ledger knows whether the key ran.
func (e *Executor) withoutTarget(ctx context.Context, o Order, attempt string, err error) Answer {
	if o.Key == "" {
		return notRun(CodeUnavailable, err)
	}
	if a, granted := e.reserve(ctx, o, attempt); !granted {
		return a
	}
	a := notRun(CodeUnavailable, err)
	e.complete(o, attempt, a)
	return a
}

// dispatch sends an order whose intent is granted to attempt. Only this call
// ever sends it.
func (e *Executor) dispatch(ctx context.Context, o Order, t Target, attempt string) Answer {
	if ctx.Err() != nil || !time.Now().Before(o.Deadline) {
		a := notRun(CodeDeadlinePassed, errors.New("the deadline passed before the order was sent"))
		e.complete(o, attempt, a)
		return a
	}
	a := describe(e.send(ctx, o, t, attempt))
	e.complete(o, attempt, a)
	return a
}

// send sends an order once. While a change of owners goes on, a sending may
// fail with the proof that no byte left for a backend server; only then is
// another one tried, under a number of its own.
func (e *Executor) send(ctx context.Context, o Order, t Target, attempt string) caller.Result {
	for n := 1; ; n++ {
		r := e.Dispatcher.Run(ctx, t, o, fmt.Sprintf("%s-%d", attempt, n))
		if r.Status != caller.Unsent || !pause(ctx, rerouteDelay) {
			return r
		}
		next, err := e.Dispatcher.Choose(o.Archive, fmt.Sprintf("%s%s-%d", o.Key, attempt, n))
		if err != nil {
			return r
		}
		t = next
	}
}

// pause waits for d and reports whether ctx is still alive.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// complete has the outcome written. The caller's answer does not wait for it:
// until it is written a resend is told "in progress" or "unknown".
func (e *Executor) complete(o Order, attempt string, a Answer) {
	e.Background(func() {
		ctx, cancel := context.WithTimeout(context.Background(), completeTimeout)
		defer cancel()
		// A failure leaves the key in progress, then unknown; both are true.
		_ = e.Ledger.Complete(ctx, o.Key, attempt, a.Outcome, a.Code, a.Body)
	})
}

// describe turns the result of a dispatch into an answer.
func describe(r caller.Result) Answer {
	if r.Status == caller.Answered {
		return Answer{Outcome: recorder.OutcomeRan, Body: r.Body}
	}
	err := r.Err
	if err == nil {
		err = errors.New(r.Status.String())
	}
	if !r.Status.NotStarted() {
		return Answer{Outcome: recorder.OutcomeUnknown, Code: CodeBackendFailed, Reason: err.Error()}
	}
	if r.Status == caller.Shed || r.Status == caller.Refused {
		return notRun(CodeOverloaded, err)
	}
	return notRun(CodeUnavailable, err)
}

func notRun(code string, err error) Answer {
	return Answer{Outcome: recorder.OutcomeNotRun, Code: code, Reason: err.Error()}
}

// repeat answers a key that is not granted to this request. This request did
// not run; what the caller wants to know is what became of the key.
func repeat(s Reservation) Answer {
	switch s.Verdict {
	case recorder.VerdictStored:
		return stored(s)
	case recorder.VerdictInProgress:
		return Answer{Outcome: recorder.OutcomeUnknown, Code: CodeInProgress, Reason: "an order with this key is in progress", Repeat: true}
	case recorder.VerdictConflict:
		return notRun(CodeKeyConflict, errors.New("another order was sent with this key"))
	case recorder.VerdictExpired:
		return notRun(CodeExpiredKey, errors.New("the key is older than the retention window"))
	case recorder.VerdictInvalid, recorder.VerdictFuture:
		return notRun(CodeInvalidKey, errors.Errorf("%s: a key is <creation time in Unix seconds>-<text>", s.Verdict))
	case recorder.VerdictFull:
		return notRun(CodeLedgerFull, errors.New("the order ledger is full"))
	default:
		return Answer{Outcome: recorder.OutcomeUnknown, Code: CodeUnknown, Reason: "it is unknown whether the order ran", Repeat: true}
	}
}

func stored(s Reservation) Answer {
	a := Answer{Outcome: s.Outcome, Code: s.Code, Reason: "stored answer", Repeat: true, Body: s.Answer}
	if s.Omitted {
		a.Reason = "the order ran; its answer was too large to keep"
	}
	return a
}
