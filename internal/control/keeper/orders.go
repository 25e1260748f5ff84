package keeper

import (
	"gentianpond/internal/order/recorder"
	"gentianpond/internal/protocol/messenger"
)

func (k *Keeper) reserve(r *messenger.ReserveRequest) *messenger.OrderReply {
	verdict, record := k.ledger.Reserve(k.now, r.Key, r.Attempt, r.Fingerprint,
		r.GetDeadline().AsTime(), r.GetRetention().AsDuration())
	return orderReply(verdict, record)
}

func (k *Keeper) complete(r *messenger.CompleteRequest) *messenger.OrderReply {
	// A value that does not fit recorder.Outcome must not wrap around to one
	// that does.
	outcome := recorder.Outcome(min(r.Outcome, uint32(recorder.OutcomeNotRun)+1))
	verdict, record := k.ledger.Complete(k.now, r.Key, r.Attempt, outcome, r.Code, r.Answer)
	return orderReply(verdict, record)
}

func orderReply(verdict recorder.Verdict, r recorder.Record) *messenger.OrderReply {
	return &messenger.OrderReply{
		Verdict: uint32(verdict),
		Outcome: uint32(r.Outcome),
		Code:    r.Code,
		Answer:  r.Answer,
		Omitted: r.Omitted,
	}
}

// Order returns the record of an idempotency key.
func (k *Keeper) Order(key string) (recorder.Record, bool) { return k.ledger.Find(key) }

// Orders returns the number of records in the ledger and their space in bytes.
func (k *Keeper) Orders() (records, bytes int) { return k.ledger.Len(), k.ledger.Bytes() }
