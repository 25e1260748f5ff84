// Package executor runs one order on an entry host: it has the intent written
// by the control hosts, dispatches the order once, and has the outcome
// written. The intent comes first, so that no other host can dispatch the same
// key, whatever fails afterwards.
//
// An attempt is the handling of one order request by one entry host. An intent
// is the ledger's record of an attempt to run the order under an idempotency
// key. The attempt whose intent is written holds the grant for the key: only it
// may dispatch the order. A resend is a later request with the same key.
package executor

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"gentianpond/internal/backend/connector"
	"gentianpond/internal/order/recorder"
	"gentianpond/internal/search/caller"
)

// completeTimeout is how long an outcome is offered to the control hosts. An
// outcome that never arrives leaves the key unknown, which is true.
const completeTimeout = 30 * time.Second

// rerouteDelay is the pause before an order that did not leave is sent through
// another owner, which is the entry host that sends to the backend server. A
// change of owners takes a few sync intervals.
const rerouteDelay = 20 * time.Millisecond

// Reservation is the ledger's answer to Reserve.
type Reservation struct {
	// Verdict says whether the key was granted, and if not, why.
	Verdict recorder.Verdict
	// Outcome, Code and Answer are those that were recorded for the key. They
	// count only if the verdict is recorder.VerdictStored.
	Outcome recorder.Outcome
	Code    string
	Answer  []byte
	// Omitted is true when the order ran and its answer was too large to keep.
	Omitted bool
}

// Ledger is the order ledger of the control hosts.
type Ledger interface {
	// Reserve has the intent of the attempt to run o written under the key of o.
	Reserve(ctx context.Context, o Order, attempt string) (Reservation, error)
	// Complete has the outcome of the attempt written under key. The code and
	// the answer are returned to resends.
	Complete(ctx context.Context, key, attempt string, outcome recorder.Outcome, code string, answer []byte) error
}

// Target is the backend server chosen for an order.
type Target struct {
	// Server and Incarnation name the server process.
	Server      string
	Incarnation uint64
	// Snapshot is the version of the archive's data that the order runs on, and
	// Shard the shard of it.
	Snapshot string
	Shard    uint32
}

// Dispatcher chooses a backend server and sends one order to it, once.
type Dispatcher interface {
	// Choose returns a backend server of the archive. The hash of key decides the
	// shard; key is the idempotency key with the name of the attempt added.
	Choose(archive, key string) (Target, error)
	// Run sends the order to the target. The attempt is a text that no other
	// sending uses.
	Run(ctx context.Context, t Target, o Order, attempt string) caller.Result
}

// Order is one non-idempotent request.
type Order struct {
	Archive string
	// Key is the idempotency key. If it is empty, the order is sent without an
	// intent and its outcome is not recorded.
	Key string
	// Body is what the backend server gets as the order.
	Body json.RawMessage
	// Deadline is the time after which the order is not sent and its answer is not
	// awaited.
	Deadline time.Time
	// Fingerprint is the hash of the archive and the body. The ledger refuses a
	// key that was used with another fingerprint.
	Fingerprint uint64
	// Alone asks for a server that has no other request in flight.
	Alone bool
	// Retention is how long the outcome is kept for resends.
	Retention time.Duration
	// Answers is the memory that the answer may hold. Nil means no limit.
	Answers *connector.Allowance
}

// Answer is what the caller is told.
type Answer struct {
	// Outcome says whether the order ran, as far as is known.
	Outcome recorder.Outcome
	// Code is empty if the order ran, or else one of the codes below. Reason is
	// a text for people.
	Code   string
	Reason string
	// Repeat is true when the answer is about an earlier request with the same
	// key.
	Repeat bool
	// Body is the backend server's answer.
	Body json.RawMessage
}

// The codes of answers that carry no result.
const (
	// CodeControlUnavailable means that the control hosts did not answer whether
	// the key is granted.
	CodeControlUnavailable = "control"
	// CodeInProgress means that another attempt with the same key is running.
	CodeInProgress = "progress"
	// CodeUnknown means that an earlier attempt with the same key may have run.
	CodeUnknown = "unknown"
	// CodeKeyConflict means that the key was used for another order.
	CodeKeyConflict = "conflict"
	CodeExpiredKey  = "expired"
	CodeInvalidKey  = "key"
	CodeLedgerFull  = "full"
	// CodeUnavailable means that the order did not start on a backend server.
	CodeUnavailable = "unavailable"
	// CodeDeadlinePassed means that the deadline passed before the order was sent.
	CodeDeadlinePassed = "deadline"
	// CodeOverloaded means that a backend server or its owner refused the order.
	CodeOverloaded = "overloaded"
	// CodeBackendFailed means that sending the order failed after it may have run.
	CodeBackendFailed = "backend"
)

// Executor runs orders. Host and Incarnation identify this process; no other
// process has the same pair.
type Executor struct {
	Host string
	// Incarnation tells this process from earlier ones on the host.
	Incarnation uint64
	// Ledger grants idempotency keys and keeps the outcomes of orders.
	Ledger Ledger
	// Dispatcher chooses a backend server for an order and sends the order to it.
	Dispatcher Dispatcher
	// Background runs a function that outlives its request; a stopping
	// process waits for it.
	Background func(func())

	// attempts is the number of attempts so far, from which their names are made.
	attempts atomic.Uint64
	// grantedKeys holds the idempotency keys that were granted to this process.
	grantedKeys grantedKeySet
}

// WasGranted reports whether this process was granted the key before, as far as
// it remembers. Then the order may have run, and no refusal may say that it did
// not.
func (e *Executor) WasGranted(key string) bool { return e.grantedKeys.has(key) }

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
		return resultAnswer(e.send(ctx, o, target, attempt))
	}
	if a, granted := e.reserve(ctx, o, attempt); !granted {
		return a
	}
	return e.dispatch(ctx, o, target, attempt)
}

// reserve has the intent written. It returns true if the key was granted to
// attempt, and else the answer for the caller and false.
func (e *Executor) reserve(ctx context.Context, o Order, attempt string) (Answer, bool) {
	stored, err := e.Ledger.Reserve(ctx, o, attempt)
	if err != nil && e.WasGranted(o.Key) {
		return Answer{Outcome: recorder.OutcomeUnknown, Code: CodeControlUnavailable, Reason: "an earlier sending may have run: " + err.Error()}, false
	}
	if err != nil {
		return notRunAnswer(CodeControlUnavailable, errors.Wrap(err, "write the intent")), false
	}
	if stored.Verdict != recorder.VerdictGranted {
		return reservationAnswer(stored), false
	}
	e.grantedKeys.add(o.Key)
	return Answer{}, true
}

// withoutTarget answers when no backend server can take the order. A resend
// still gets the stored answer: only the ledger knows whether the key ran.
func (e *Executor) withoutTarget(ctx context.Context, o Order, attempt string, err error) Answer {
	if o.Key == "" {
		return notRunAnswer(CodeUnavailable, err)
	}
	if a, granted := e.reserve(ctx, o, attempt); !granted {
		return a
	}
	a := notRunAnswer(CodeUnavailable, err)
	e.recordOutcome(o, attempt, a)
	return a
}

// dispatch sends an order whose key was granted to attempt, unless its deadline
// has passed, and has the outcome written. Only this call ever sends it.
func (e *Executor) dispatch(ctx context.Context, o Order, t Target, attempt string) Answer {
	if ctx.Err() != nil || !time.Now().Before(o.Deadline) {
		a := notRunAnswer(CodeDeadlinePassed, errors.New("the deadline passed before the order was sent"))
		e.recordOutcome(o, attempt, a)
		return a
	}
	a := resultAnswer(e.send(ctx, o, t, attempt))
	e.recordOutcome(o, attempt, a)
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

// recordOutcome has the outcome written. The caller's answer does not wait for it:
// until it is written a resend is told "in progress" or "unknown".
func (e *Executor) recordOutcome(o Order, attempt string, a Answer) {
	body := a.Body
	if len(body) > recorder.MaxAnswer {
		// The ledger keeps no longer answer, and only has to learn that this one is longer.
		body = bytes.Clone(body[:recorder.MaxAnswer+1])
	}
	e.Background(func() {
		ctx, cancel := context.WithTimeout(context.Background(), completeTimeout)
		defer cancel()
		// A failure leaves the key in progress, then unknown; both are true.
		_ = e.Ledger.Complete(ctx, o.Key, attempt, a.Outcome, a.Code, body)
	})
}

// resultAnswer returns the answer for the result of a sending.
func resultAnswer(r caller.Result) Answer {
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
		return notRunAnswer(CodeOverloaded, err)
	}
	return notRunAnswer(CodeUnavailable, err)
}

// notRunAnswer returns the answer that the order did not run because of err.
func notRunAnswer(code string, err error) Answer {
	return Answer{Outcome: recorder.OutcomeNotRun, Code: code, Reason: err.Error()}
}

// reservationAnswer answers a key that is not granted to this request. This request
// did not run; what the caller wants to know is what became of the key.
func reservationAnswer(s Reservation) Answer {
	switch s.Verdict {
	case recorder.VerdictStored:
		return storedAnswer(s)
	case recorder.VerdictInProgress:
		return Answer{Outcome: recorder.OutcomeUnknown, Code: CodeInProgress, Reason: "an order with this key is in progress", Repeat: true}
	case recorder.VerdictConflict:
		return notRunAnswer(CodeKeyConflict, errors.New("another order was sent with this key"))
	case recorder.VerdictExpired:
		return notRunAnswer(CodeExpiredKey, errors.New("the key is older than the retention window"))
	case recorder.VerdictInvalid, recorder.VerdictFuture:
		return notRunAnswer(CodeInvalidKey, errors.Errorf("%s: a key is <creation time in Unix seconds>-<text>", s.Verdict))
	case recorder.VerdictFull:
		return notRunAnswer(CodeLedgerFull, errors.New("the order ledger is full"))
	default:
		return Answer{Outcome: recorder.OutcomeUnknown, Code: CodeUnknown, Reason: "it is unknown whether the order ran", Repeat: true}
	}
}

// storedAnswer returns the answer that was recorded for the key.
func storedAnswer(s Reservation) Answer {
	a := Answer{Outcome: s.Outcome, Code: s.Code, Reason: "stored answer", Repeat: true, Body: s.Answer}
	if s.Omitted {
		a.Reason = "the order ran; its answer was too large to keep"
	}
	return a
}
