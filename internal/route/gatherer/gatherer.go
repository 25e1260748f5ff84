// Package gatherer decides when a fan-out is answered: with all parts, with the parts
// that have arrived, or with a failure. It does no I/O and reads no clock.
//
// It handles backend servers that pause or are slow: with many shards, one of them is
// late in most requests. Until the soft deadline, waiting for another part makes the
// answer more complete at no cost. At the soft deadline, a nearly complete answer in
// time is better for the client than a complete one that is late. An answer that has missed
// the objective for lack of parts is sent as soon as it has enough of them: one further part of 36 adds
// a twentieth to its value, and under overload the wait for it keeps servers busy that other
// requests need.
package gatherer

import "time"

//go:generate go run golang.org/x/tools/cmd/stringer@v0.49.0 -type=Verdict -linecomment -output=verdict_string.go

// Verdict is the decision about a fan-out.
type Verdict uint8

const (
	// Wait means to wait for further parts, at most until the returned time.
	Wait Verdict = iota // wait
	// Reply means to answer with the parts that have arrived.
	Reply // reply
	// Fail means to give up, because too few parts have arrived or can still arrive.
	Fail // fail
)

// Plan holds the times and numbers of a fan-out that are fixed from its start.
type Plan struct {
	// Start is when the request was received.
	Start time.Time
	// SoftDeadline is when an answer has to be sent to meet the objective.
	SoftDeadline time.Time
	// HardDeadline is when the final answer has to be sent.
	HardDeadline time.Time
	// Shards is the number of shards. MinParts is the least number of parts in an answer.
	Shards   int
	MinParts int
}

// Decide returns what to do at the time now. parts is the number of parts that have
// arrived, openShards the number of shards from which one may still come. With Wait it
// returns when to decide again if no part arrives before, otherwise now.
func (p Plan) Decide(now time.Time, parts, openShards int) (Verdict, time.Time) {
	switch {
	case parts >= p.Shards:
		return Reply, now
	case openShards == 0 || !now.Before(p.HardDeadline):
		return p.finalVerdict(parts), now
	case parts+openShards < p.MinParts:
		return Fail, now
	}
	if parts < p.MinParts {
		return Wait, p.HardDeadline
	}
	if now.Before(p.SoftDeadline) {
		return Wait, p.SoftDeadline
	}
	return Reply, now
}

// finalVerdict returns the verdict when no further part is awaited.
func (p Plan) finalVerdict(parts int) Verdict {
	if parts >= p.MinParts {
		return Reply
	}
	return Fail
}
