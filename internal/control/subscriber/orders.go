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

// Intent asks for the grant to run an order.
type Intent struct {
	Key string
	// Attempt names this run and no other, on any host and at any time.
	Attempt     string
	Fingerprint uint64
	// Deadline of the request on the wall clock.
	Deadline time.Time
	// Retention is the window of the archive.
	Retention time.Duration
}

// Completion is the outcome of an attempt.
type Completion struct {
	Key     string
	Attempt string
	Outcome recorder.Outcome
	Code    string
	Answer  []byte
}

// OrderAnswer is the ledger's answer. Outcome, Code and Answer are those
// stored, where the verdict says that there are any.
type OrderAnswer struct {
	Verdict recorder.Verdict
	Outcome recorder.Outcome
	Code    string
	Answer  []byte
	// Omitted is true when the answer was too large to be stored.
	Omitted bool
}

// Reserve asks for a grant until the leader answers or ctx ends. After
// ErrUnavailable nothing may be dispatched; the intent may be recorded all the
// same, and a resend of the key may then be told "in progress" or "unknown".
func (s *Subscriber) Reserve(ctx context.Context, i Intent) (OrderAnswer, error) {
	request := &messenger.ReserveRequest{
		Key:         i.Key,
		Attempt:     i.Attempt,
		Fingerprint: i.Fingerprint,
		Deadline:    timestamppb.New(i.Deadline),
		Retention:   durationpb.New(i.Retention),
	}
	return s.order(ctx, "reserve order", func(ctx context.Context, c messenger.ControlClient) (*messenger.OrderReply, error) {
		return c.Reserve(ctx, request)
	})
}

// Complete records an outcome; it repeats the request until the leader answers
// or ctx ends.
func (s *Subscriber) Complete(ctx context.Context, d Completion) (OrderAnswer, error) {
	request := &messenger.CompleteRequest{
		Key:     d.Key,
		Attempt: d.Attempt,
		Outcome: uint32(d.Outcome),
		Code:    d.Code,
		Answer:  d.Answer,
	}
	return s.order(ctx, "complete order", func(ctx context.Context, c messenger.ControlClient) (*messenger.OrderReply, error) {
		return c.Complete(ctx, request)
	})
}

func (s *Subscriber) order(ctx context.Context, what string, call func(context.Context, messenger.ControlClient) (*messenger.OrderReply, error)) (OrderAnswer, error) {
	reply, err := ask(ctx, s.locator, call, func(r *messenger.OrderReply) bool {
		return recorder.Verdict(r.GetVerdict()) != recorder.VerdictNone
	})
	if err != nil {
		return OrderAnswer{}, errors.Wrap(err, what)
	}
	return OrderAnswer{
		Verdict: recorder.Verdict(reply.Verdict),
		Outcome: recorder.Outcome(reply.Outcome),
		Code:    reply.Code,
		Answer:  reply.Answer,
		Omitted: reply.Omitted,
	}, nil
}
