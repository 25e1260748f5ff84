package merger

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	query    = "q1"
	snapshot = "8"
)

// sent is an attempt in the model, with the answer that it expects.
type sent struct {
	answer Answer[string]
	failed bool
}

// model is the reference for the merger: the attempts that were sent, by number,
// and the bodies that must be accepted, by shard.
type model struct {
	t           *rapid.T
	merger      *Merger[string]
	count       uint32
	sent        map[uint64]*sent
	accepted    map[uint32]string
	resultTaken bool
}

func (m *model) expect(t *rapid.T) {
	shard := rapid.Uint32Range(0, m.count).Draw(t, "shard")
	number := rapid.Uint64Range(1, 12).Draw(t, "attempt")
	incarnation := rapid.Uint64Range(1, 2).Draw(t, "incarnation")
	_, used := m.sent[number]
	_, answered := m.accepted[shard]
	want := !m.resultTaken && shard < m.count && !used && !answered
	require.Equal(m.t, want, m.merger.Expect(shard, number, incarnation))
	if !want {
		return
	}
	m.sent[number] = &sent{answer: Answer[string]{
		Query:       query,
		Attempt:     number,
		Incarnation: incarnation,
		Snapshot:    snapshot,
		Shard:       shard,
		Body:        fmt.Sprintf("shard %d attempt %d", shard, number),
	}}
}

// add passes an answer to the merger that may be repeated, late or have wrong
// fields.
func (m *model) add(t *rapid.T) {
	a := Answer[string]{Body: "crossed"}
	a.Attempt = rapid.Uint64Range(1, 13).Draw(t, "attempt")
	if s := m.sent[a.Attempt]; s != nil {
		a = s.answer
	}
	if rapid.IntRange(0, 2).Draw(t, "crossed") == 0 {
		a.Query = rapid.SampledFrom([]string{query, "q2"}).Draw(t, "query")
		a.Incarnation = rapid.Uint64Range(1, 2).Draw(t, "incarnation")
		a.Snapshot = rapid.SampledFrom([]string{snapshot, "7"}).Draw(t, "snapshot")
		a.Shard = rapid.Uint32Range(0, m.count).Draw(t, "shard")
	}
	want := m.wantOutcome(a)
	require.Equal(m.t, want, m.merger.Add(a), "%+v", a)
	if want == Accepted {
		m.accepted[a.Shard] = m.sent[a.Attempt].answer.Body
	}
}

// wantOutcome returns the outcome that the merger must give.
func (m *model) wantOutcome(a Answer[string]) Outcome {
	s := m.sent[a.Attempt]
	switch {
	case a.Query != query:
		return OtherQuery
	case s == nil:
		return UnknownAttempt
	case a.Incarnation != s.answer.Incarnation:
		return OtherIncarnation
	case a.Snapshot != snapshot:
		return OtherSnapshot
	case a.Shard != s.answer.Shard:
		return OtherShard
	case m.resultTaken:
		return Late
	case m.accepted[a.Shard] != "":
		return Duplicate
	case s.failed:
		return Late
	}
	return Accepted
}

func (m *model) fail(t *rapid.T) {
	number := rapid.Uint64Range(1, 13).Draw(t, "attempt")
	s := m.sent[number]
	before := s != nil && m.open(s.answer.Shard)
	if s != nil {
		s.failed = true
	}
	shard, exhausted := m.merger.FailAttempt(number)
	if s != nil {
		require.Equal(m.t, s.answer.Shard, shard)
		require.Equal(m.t, before && !m.open(shard), exhausted)
	}
}

// open reports whether an answer for the shard can still be accepted.
func (m *model) open(shard uint32) bool {
	for _, s := range m.sent {
		if s.answer.Shard == shard && !s.failed && m.accepted[shard] == "" {
			return true
		}
	}
	return false
}

func (m *model) check(*rapid.T) {
	done := true
	for shard := range m.count {
		done = done && !m.open(shard)
		require.Equal(m.t, m.accepted[shard] != "", m.merger.Answered(shard))
	}
	require.Equal(m.t, done, m.merger.Done())
}

func (m *model) result(*rapid.T) {
	m.resultTaken = true
	r := m.merger.Result()
	require.Equal(m.t, snapshot, r.Snapshot)
	require.Equal(m.t, m.count, r.Coverage.Shards, "denominator")
	require.Equal(m.t, len(m.accepted), int(r.Coverage.Answered))
	require.Equal(m.t, len(m.accepted) == int(m.count), r.Coverage.Complete())
	require.True(m.t, slices.IsSorted(r.Coverage.Missing))
	var bodies []string
	var missing []uint32
	for shard := range m.count {
		if body, ok := m.accepted[shard]; ok {
			bodies = append(bodies, body)
			continue
		}
		missing = append(missing, shard)
	}
	require.Equal(m.t, missing, r.Coverage.Missing)
	require.Equal(m.t, bodies, append([]string(nil), r.Bodies...))
}

// TestCoverage guards against answers that are counted though they are late,
// duplicated or another query's, process's, snapshot's or shard's, and against
// a coverage that differs from what was accepted.
func TestCoverage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.Uint32Range(0, 5).Draw(t, "count")
		m := &model{
			t:        t,
			merger:   New[string](query, snapshot, count),
			count:    count,
			sent:     map[uint64]*sent{},
			accepted: map[uint32]string{},
		}
		end := rapid.IntRange(0, 60).Draw(t, "end")
		steps := 0
		t.Repeat(map[string]func(*rapid.T){
			"expect":   m.expect,
			"add":      m.add,
			"add more": m.add,
			"fail":     m.fail,
			"": func(t *rapid.T) {
				m.check(t)
				if steps++; steps == end {
					m.result(t)
				}
			},
		})
		m.result(t)
	})
}

// BenchmarkAdd collects the answers of one query.
func BenchmarkAdd(b *testing.B) {
	for _, width := range []uint32{10, 34, 100, 340} {
		b.Run(fmt.Sprint(width), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				m := New[[]byte](query, snapshot, width)
				for shard := range width {
					m.Expect(shard, uint64(shard), 1)
				}
				for shard := range width {
					m.Add(Answer[[]byte]{Query: query, Attempt: uint64(shard), Incarnation: 1, Snapshot: snapshot, Shard: shard})
				}
				if r := m.Result(); !r.Coverage.Complete() {
					b.Fatal(r.Coverage)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(width), "ns/answer")
		})
	}
}
