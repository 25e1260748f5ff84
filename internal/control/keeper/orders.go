package keeper

import (
	"gentianpond/internal/order/recorder"
	"gentianpond/internal/protocol/messenger"
)

// reserveOrder asks the ledger to grant an attempt to run the order of a key.
func (k *Keeper) reserveOrder(r *messenger.ReserveRequest) *messenger.OrderReply {
	verdict, record := k.ledger.Reserve(k.latestTime, r.Key, r.Attempt, r.Fingerprint,
		r.GetDeadline().AsTime(), r.GetRetention().AsDuration())
	return newOrderReply(verdict, record)
}

// completeOrder records the outcome of an attempt in the ledger.
func (k *Keeper) completeOrder(r *messenger.CompleteRequest) *messenger.OrderReply {
	// An invalid value stays invalid: without the limit, a large one could wrap
	// around to a valid recorder.Outcome.
	outcome := recorder.Outcome(min(r.Outcome, uint32(recorder.OutcomeNotRun)+1))
	verdict, record := k.ledger.Complete(k.latestTime, r.Key, r.Attempt, outcome, r.Code, r.Answer)
	return newOrderReply(verdict, record)
}

// newOrderReply returns the reply with a verdict and the outcome that r holds.
func newOrderReply(verdict recorder.Verdict, r recorder.Record) *messenger.OrderReply {
	return &messenger.OrderReply{
		Verdict: uint32(verdict),
		Outcome: uint32(r.Outcome),
		Code:    r.Code,
		Answer:  r.Answer,
		Omitted: r.Omitted,
	}
}

// OrderRecord returns the record of an idempotency key.
func (k *Keeper) OrderRecord(key string) (recorder.Record, bool) { return k.ledger.Find(key) }

// LedgerSize returns the number of records in the order ledger and their size in bytes.
func (k *Keeper) LedgerSize() (records, bytes int) { return k.ledger.Len(), k.ledger.Bytes() }
