// Package merger collects the shard answers of one query. It accepts only
// answers that match an expected attempt in every respect and reports the true
// coverage of what it accepted.
package merger

//go:generate stringer -type=Outcome -linecomment

// Outcome says whether an answer was accepted, and if not, why.
type Outcome uint8

const (
	// Accepted means that the answer is part of the result.
	Accepted Outcome = iota // accepted
	// Duplicate means that the shard already has an accepted answer.
	Duplicate // duplicate
	// Late means that the attempt had failed or that the result was taken
	// before.
	Late // late
	// OtherQuery means that the answer belongs to another query.
	OtherQuery // other query
	// UnknownAttempt means that no such attempt was expected.
	UnknownAttempt // unknown attempt
	// OtherIncarnation means that another process of the server answered than
	// the one that was asked.
	OtherIncarnation // other incarnation
	// OtherSnapshot means that the answer comes from another snapshot.
	OtherSnapshot // other snapshot
	// OtherShard means that the answer is for another shard than the one asked.
	OtherShard // other shard
)

// Answer is one shard answer with the fields that a backend server repeats
// from the sub-request.
type Answer[B any] struct {
	// Query is the ID of the query.
	Query string
	// Attempt is the number of the attempt.
	Attempt uint64
	// Incarnation is that of the server process that answered.
	Incarnation uint64
	// Snapshot is the version of the snapshot.
	Snapshot string
	// Shard is the number of the shard that was searched.
	Shard uint32
	Body  B
}

// Coverage says which shards of a snapshot an answer covers.
type Coverage struct {
	// Shards is the snapshot's own shard count.
	Shards uint32
	// Answered is the number of shards with an accepted answer.
	Answered uint32
	// Missing holds the other shards, sorted.
	Missing []uint32
}

// Complete reports whether no shard is missing.
func (c Coverage) Complete() bool { return c.Answered == c.Shards }

// Result is the merged answer of a query.
type Result[B any] struct {
	// Snapshot is the version of the snapshot that the query is pinned to.
	Snapshot string
	// Coverage says which shards have an accepted answer.
	Coverage Coverage
	// Bodies holds the accepted bodies in shard order.
	Bodies []B
}

// attempt is a sub-request that Expect registered.
type attempt struct {
	// incarnation identifies the server process that has to answer.
	incarnation uint64
	// shard is the number of the shard that was asked for.
	shard uint32
	// ended is true once the attempt was answered or failed.
	ended bool
}

// shardState is the state of one shard of the snapshot.
type shardState[B any] struct {
	// body is the accepted answer; it counts only if answered is true.
	body B
	// answered is true once an answer for the shard was accepted.
	answered bool
	// openAttempts is the number of attempts that may still answer.
	openAttempts uint32
}

// Merger collects the answers of one query pinned to one snapshot. It is not
// safe for concurrent use.
type Merger[B any] struct {
	// query is the ID of the query, snapshot the version of its snapshot.
	query    string
	snapshot string
	// shards is indexed by shard.
	shards []shardState[B]
	// attempts holds all attempts by number, also those that ended.
	attempts map[uint64]attempt
	// answeredShards is the number of shards with an accepted answer.
	answeredShards uint32
	// pendingShards is the number of unanswered shards with an open attempt.
	pendingShards uint32
	// resultTaken is true once Result was called.
	resultTaken bool
}

// New returns a merger for a query pinned to a snapshot of count shards. A
// restart on another snapshot takes a new merger and new attempts.
func New[B any](query, snapshot string, count uint32) *Merger[B] {
	return &Merger[B]{
		query:    query,
		snapshot: snapshot,
		shards:   make([]shardState[B], count),
		attempts: make(map[uint64]attempt, count),
	}
}

// Expect registers an attempt at a shard, sent to the server process with the
// given incarnation, before it is sent. It returns false, and the attempt must
// not be sent, when the attempt's number was used before, the shard is not part
// of the snapshot or already answered, or the result was taken.
func (m *Merger[B]) Expect(shard uint32, number, incarnation uint64) bool {
	if m.resultTaken || shard >= uint32(len(m.shards)) {
		return false
	}
	if _, used := m.attempts[number]; used {
		return false
	}
	s := &m.shards[shard]
	if s.answered {
		return false
	}
	m.attempts[number] = attempt{incarnation: incarnation, shard: shard}
	s.openAttempts++
	if s.openAttempts == 1 {
		m.pendingShards++
	}
	return true
}

// Add adds an answer to the result if it matches an open attempt. Any outcome
// but Accepted leaves the result unchanged.
func (m *Merger[B]) Add(a Answer[B]) Outcome {
	if a.Query != m.query {
		return OtherQuery
	}
	t, known := m.attempts[a.Attempt]
	switch {
	case !known:
		return UnknownAttempt
	case a.Incarnation != t.incarnation:
		return OtherIncarnation
	case a.Snapshot != m.snapshot:
		return OtherSnapshot
	case a.Shard != t.shard:
		return OtherShard
	}
	s := &m.shards[t.shard]
	switch {
	case m.resultTaken:
		return Late
	case s.answered:
		return Duplicate
	case t.ended:
		return Late
	}
	s.body = a.Body
	s.answered = true
	m.answeredShards++
	m.pendingShards--
	t.ended = true
	m.attempts[a.Attempt] = t
	return Accepted
}

// FailAttempt ends an attempt that failed, was refused or timed out. A later
// answer to it is Late. It returns the attempt's shard, and true when that shard
// now has neither an answer nor another open attempt.
func (m *Merger[B]) FailAttempt(number uint64) (uint32, bool) {
	t, known := m.attempts[number]
	if !known || t.ended {
		return t.shard, false
	}
	t.ended = true
	m.attempts[number] = t
	s := &m.shards[t.shard]
	s.openAttempts--
	if s.answered || s.openAttempts > 0 {
		return t.shard, false
	}
	m.pendingShards--
	return t.shard, true
}

// Answered reports whether the shard has an accepted answer.
func (m *Merger[B]) Answered(shard uint32) bool {
	return shard < uint32(len(m.shards)) && m.shards[shard].answered
}

// Done reports whether no open attempt can still add to the result. It is also
// true before the first Expect.
func (m *Merger[B]) Done() bool { return m.pendingShards == 0 }

// Result returns the accepted answers and ends the collection: every answer
// after it is Late, so a result that was returned never changes.
func (m *Merger[B]) Result() Result[B] {
	m.resultTaken = true
	r := Result[B]{
		Snapshot: m.snapshot,
		Coverage: Coverage{Shards: uint32(len(m.shards)), Answered: m.answeredShards},
		Bodies:   make([]B, 0, m.answeredShards),
	}
	for i := range m.shards {
		if m.shards[i].answered {
			r.Bodies = append(r.Bodies, m.shards[i].body)
			continue
		}
		r.Coverage.Missing = append(r.Coverage.Missing, uint32(i))
	}
	return r
}
