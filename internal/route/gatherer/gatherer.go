// Package gatherer decides when a fan-out is answered: with all parts, with
// those in hand, or not at all. It does no I/O and reads no clock.
//
// It answers the load pattern of pausing and slow backend servers: with many
// shards, one of them is late in most requests. Until the objective every
// further part makes the answer more complete at no cost; at the objective a
// nearly complete answer in time serves a waiting caller better than a complete
// one that is late; once the objective has passed, completeness is worth a
// bounded wait.
package gatherer

import "time"

// latePatience is how many objectives after the start an answer that missed its
// objective waits for further parts.
const latePatience = 3

//go:generate go run golang.org/x/tools/cmd/stringer@v0.49.0 -type=Verdict -linecomment -output=verdict_string.go

// Verdict is what to do with a fan-out.
type Verdict uint8

// Verdicts.
const (
	// Wait for further parts until the time that comes with it.
	Wait Verdict = iota // wait
	// Reply with the parts in hand.
	Reply // reply
	// Fail because too few parts can come.
	Fail // fail
)

// Plan is what is known of a fan-out from its start. The zero value of a time
// means that it does not bound anything.
type Plan struct {
	Start time.Time
	// Aim is when an answer has to leave to meet the objective.
	Aim time.Time
	// Limit is when the final answer has to leave.
	Limit time.Time
	// Objective is the latency objective of the route.
	Objective time.Duration
	// Shards is the number of shards, Need the least number of parts.
	Shards int
	Need   int
}

// Decide returns what to do at the time now with parts in hand and open shards
// of which a part may still come. With Wait comes the time of the next decision
// if nothing happens before.
func (p Plan) Decide(now time.Time, parts, open int) (Verdict, time.Time) {
	switch {
	case parts >= p.Shards:
		return Reply, now
	case open == 0 || !now.Before(p.Limit):
		return p.end(parts), now
	case parts+open < p.Need:
		return Fail, now
	}
	if parts < p.Need {
		return Wait, p.Limit
	}
	if now.Before(p.Aim) {
		return Wait, p.Aim
	}
	if p.missed(now) {
		late := earlier(p.Start.Add(latePatience*p.Objective), p.Limit)
		if now.Before(late) {
			return Wait, late
		}
	}
	return Reply, now
}

// missed reports whether the objective can no longer be met.
func (p Plan) missed(now time.Time) bool { return now.After(p.Start.Add(p.Objective)) }

func (p Plan) end(parts int) Verdict {
	if parts >= p.Need {
		return Reply
	}
	return Fail
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
