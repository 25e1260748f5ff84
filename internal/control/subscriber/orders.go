package subscriber

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"gentianpond/internal/order/recorder"
	"gentianpond/internal/protocol/messenger"
)

// OrderIntent is a request to record the intent to run an order and to be granted its
// execution.
type OrderIntent struct {
	Key string // idempotency key
	// Attempt identifies this execution; it is unique across hosts and time.
	Attempt string
	// Fingerprint identifies the content of the order. The ledger refuses a resend of
	// Key with another one.
	Fingerprint uint64
	// Deadline is the deadline of the client's request, in wall clock time.
	Deadline time.Time
	// Retention is the retention window of the archive.
	Retention time.Duration
}

// OrderCompletion is the outcome of an attempt to run an order.
type OrderCompletion struct {
	// Key and Attempt are those of the OrderIntent that was granted.
	Key     string
	Attempt string
	// Outcome says how the attempt ended.
	Outcome recorder.Outcome
	// Code and Answer are stored with the outcome and returned to resends.
	Code   string
	Answer []byte
}

// OrderAnswer is the order ledger's reply. Outcome, Code and Answer are the stored
// ones, set only if the verdict says that an outcome is stored.
type OrderAnswer struct {
	// Verdict is the ledger's answer to the reservation or the completion.
	Verdict recorder.Verdict
	Outcome recorder.Outcome
	Code    string
	Answer  []byte
	// Omitted is true if the answer was too large to be stored.
	Omitted bool
}

// ReserveOrder asks the leader for a grant until it answers or ctx ends. After
// ErrUnavailable the order must not be dispatched. The intent may nevertheless be
// recorded, so a resend with the same key may get "in progress" or "unknown".
func (s *Subscriber) ReserveOrder(ctx context.Context, i OrderIntent) (OrderAnswer, error) {
	request := &messenger.ReserveRequest{
		Key:         i.Key,
		Attempt:     i.Attempt,
		Fingerprint: i.Fingerprint,
		Deadline:    timestamppb.New(i.Deadline),
		Retention:   durationpb.New(i.Retention),
	}
	return s.callLedger(ctx, "reserve order", func(ctx context.Context, c messenger.ControlClient) (*messenger.OrderReply, error) {
		return c.Reserve(ctx, request)
	})
}

// CompleteOrder records the outcome of an attempt. It repeats the request until the
// leader answers or ctx ends.
func (s *Subscriber) CompleteOrder(ctx context.Context, d OrderCompletion) (OrderAnswer, error) {
	request := &messenger.CompleteRequest{
		Key:     d.Key,
		Attempt: d.Attempt,
		Outcome: uint32(d.Outcome),
		Code:    d.Code,
		Answer:  d.Answer,
	}
	return s.callLedger(ctx, "complete order", func(ctx context.Context, c messenger.ControlClient) (*messenger.OrderReply, error) {
		return c.Complete(ctx, request)
	})
}

// callLedger calls the order ledger at the leader. The operation is the prefix of
// errors.
func (s *Subscriber) callLedger(ctx context.Context, operation string, call func(context.Context, messenger.ControlClient) (*messenger.OrderReply, error)) (OrderAnswer, error) {
	reply, err := askLeader(ctx, s.locator, call, func(r *messenger.OrderReply) bool {
		return recorder.Verdict(r.GetVerdict()) != recorder.VerdictNone
	})
	if err != nil {
		return OrderAnswer{}, errors.Wrap(err, operation)
	}
	return OrderAnswer{
		Verdict: recorder.Verdict(reply.Verdict),
		Outcome: recorder.Outcome(reply.Outcome),
		Code:    reply.Code,
		Answer:  reply.Answer,
		Omitted: reply.Omitted,
	}, nil
}
