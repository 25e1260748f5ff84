package recorder

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gentianpond/test/seeder"
)

func TestMain(m *testing.M) {
	seeder.SetDefaults(seeder.Defaults{Seed: 1, Checks: 1000})
	os.Exit(m.Run())
}

var start = time.Unix(1_800_000_000, 0).UTC()

func keyAt(created time.Time, text string) string {
	return fmt.Sprintf("%d-%s", created.Unix(), text)
}

// Guards against a reservation that gets another verdict than the design page
// names for its situation.
func TestVerdicts(t *testing.T) {
	deadline := start.Add(time.Second)
	key := keyAt(start, "a")
	cases := []struct {
		name    string
		prepare func(*Ledger)
		now     time.Time
		key     string
		attempt string
		body    uint64
		want    Verdict
	}{
		{name: "first", want: VerdictGranted},
		{name: "no dash", key: "1800000000", want: VerdictInvalid},
		{name: "no text", key: "1800000000-", want: VerdictInvalid},
		{name: "sign", key: "+1800000000-a", want: VerdictInvalid},
		{name: "no attempt", attempt: "none", want: VerdictInvalid},
		{name: "six minutes ahead", key: keyAt(start.Add(6*time.Minute), "a"), want: VerdictFuture},
		{name: "five minutes ahead", key: keyAt(start.Add(5*time.Minute), "a"), want: VerdictGranted},
		{name: "a day old", key: keyAt(start.Add(-24*time.Hour), "a"), want: VerdictExpired},
		{name: "almost a day old", key: keyAt(start.Add(-24*time.Hour+time.Second), "a"), want: VerdictGranted},
		{name: "same attempt", prepare: reserve(key, "one"), want: VerdictGranted},
		{name: "other attempt", prepare: reserve(key, "two"), want: VerdictInProgress},
		{name: "other body", prepare: reserve(key, "one"), body: 8, want: VerdictConflict},
		{name: "within grace", prepare: reserve(key, "two"), now: deadline.Add(Grace), want: VerdictInProgress},
		{name: "after grace", prepare: reserve(key, "two"), now: deadline.Add(Grace + 1), want: VerdictUnknown},
		{name: "own attempt after grace", prepare: reserve(key, "one"), now: deadline.Add(Grace + 1), want: VerdictUnknown},
		{name: "ran", prepare: finish(key, "two", OutcomeRan), want: VerdictStored},
		{name: "not run", prepare: finish(key, "two", OutcomeNotRun), want: VerdictStored},
		{name: "reported unknown", prepare: finish(key, "two", OutcomeUnknown), want: VerdictUnknown},
		{name: "full", prepare: reserve(keyAt(start, "b"), "b", keyAt(start, "c"), "c"), want: VerdictFull},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := New(Limits{Records: 2})
			if c.prepare != nil {
				c.prepare(l)
			}
			now, k, attempt, body := start, key, "one", uint64(7)
			if !c.now.IsZero() {
				now = c.now
			}
			if c.key != "" {
				k = c.key
			}
			if c.attempt == "none" {
				attempt = ""
			}
			if c.body != 0 {
				body = c.body
			}
			got, _ := l.Reserve(now, k, attempt, body, deadline, 0)
			require.Equal(t, c.want.String(), got.String())
		})
	}
}

// reserve takes pairs of a key and an attempt.
func reserve(pairs ...string) func(*Ledger) {
	return func(l *Ledger) {
		for i := 0; i < len(pairs); i += 2 {
			l.Reserve(start, pairs[i], pairs[i+1], 7, start.Add(time.Second), 0)
		}
	}
}

func finish(key, attempt string, o Outcome) func(*Ledger) {
	return func(l *Ledger) {
		reserve(key, attempt)(l)
		l.Complete(start, key, attempt, o, "", nil)
	}
}

// Guards against a purged key being granted again when the retention window
// of its archive is raised later.
func TestLongerRetentionAfterPurge(t *testing.T) {
	l := New(Limits{})
	key := keyAt(start, "a")
	v, _ := l.Reserve(start, key, "one", 7, start, time.Hour)
	require.Equal(t, VerdictGranted, v)
	v, _ = l.Reserve(start.Add(2*time.Hour), key, "two", 7, start, 24*time.Hour)
	require.Equal(t, VerdictExpired, v)
	require.Zero(t, l.Len())
	require.Zero(t, l.Bytes())
}

// Guards against a leader whose clock is behind and revives what has ended.
func TestTimeNeverGoesBack(t *testing.T) {
	l := New(Limits{})
	key, old := keyAt(start, "a"), keyAt(start.Add(-24*time.Hour+time.Minute), "b")
	reserve(key, "one")(l)
	l.Advance(start.Add(time.Hour))
	v, _ := l.Reserve(start, key, "one", 7, start, 0)
	require.Equal(t, VerdictUnknown, v)
	v, _ = l.Reserve(start, old, "one", 7, start, 0)
	require.Equal(t, VerdictExpired, v)
}

// Guards against an outcome that is lost because its answer does not fit.
func TestAnswerTooLarge(t *testing.T) {
	l := New(Limits{Bytes: 600})
	key := keyAt(start, "a")
	reserve(key, "one")(l)
	v, r := l.Complete(start, key, "one", OutcomeRan, "", make([]byte, 600))
	require.Equal(t, VerdictStored, v)
	require.True(t, r.Omitted)
	require.LessOrEqual(t, l.Bytes(), 600)
}

// model drives a ledger and remembers what callers were told.
type model struct {
	ledger *Ledger
	now    time.Time
	keys   []string
	holder map[string]string
	final  map[string]Record
}

func (m *model) key(t *rapid.T) string { return rapid.SampledFrom(m.keys).Draw(t, "key") }

func (m *model) attempt(t *rapid.T) string {
	return rapid.SampledFrom([]string{"one", "two", "three"}).Draw(t, "attempt")
}

func (m *model) reserve(t *rapid.T) {
	key, attempt := m.key(t), m.attempt(t)
	body := rapid.Uint64Range(1, 2).Draw(t, "body")
	deadline := m.now.Add(time.Duration(rapid.IntRange(-10, 20).Draw(t, "deadline")) * time.Second)
	retention := rapid.SampledFrom([]time.Duration{time.Minute, 10 * time.Minute, time.Hour}).Draw(t, "retention")
	// Leaders' clocks differ, so a command may carry an older time.
	now := m.now.Add(-time.Duration(rapid.IntRange(0, 30).Draw(t, "skew")) * time.Second)
	verdict, record := m.ledger.Reserve(now, key, attempt, body, deadline, retention)
	switch verdict {
	case VerdictGranted:
		if holder, ok := m.holder[key]; ok && holder != attempt {
			t.Fatalf("key %s is granted to %s and to %s", key, holder, attempt)
		}
		m.holder[key] = attempt
	case VerdictStored:
		m.check(t, key, record)
	}
}

func (m *model) complete(t *rapid.T) {
	key, attempt := m.key(t), m.attempt(t)
	outcome := Outcome(rapid.IntRange(0, 2).Draw(t, "outcome"))
	answer := rapid.SliceOfN(rapid.Byte(), 0, 4).Draw(t, "answer")
	before, had := m.ledger.Find(key)
	verdict, record := m.ledger.Complete(m.now, key, attempt, outcome, "", answer)
	after, _ := m.ledger.Find(key)
	if had && before.Attempt != attempt && m.ledger.Len() > 0 && after.Key != "" {
		require.Equal(t, before, after, "an attempt without the grant changed the record")
	}
	if verdict == VerdictStored {
		m.check(t, key, record)
	}
}

// check compares a stored answer with the one that was told first.
func (m *model) check(t *rapid.T, key string, record Record) {
	first, ok := m.final[key]
	if !ok {
		m.final[key] = record
		return
	}
	require.Equal(t, first, record, "a stored answer changed")
}

// Guards against a second dispatch of a key and against stored answers that
// change, in any sequence of calls, expiries and restores.
func TestAtMostOneGrant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Records: 4, Bytes: 1200}
		m := &model{ledger: New(limits), now: start, holder: map[string]string{}, final: map[string]Record{}}
		for i := range 6 {
			m.keys = append(m.keys, keyAt(start.Add(time.Duration(i-2)*4*time.Minute), "k"))
		}
		t.Repeat(map[string]func(*rapid.T){
			"reserve":  m.reserve,
			"complete": m.complete,
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "seconds")) * time.Second)
			},
			"restore": func(*rapid.T) {
				state := m.ledger.Snapshot()
				m.ledger = New(limits)
				m.ledger.Restore(state)
			},
			"": func(t *rapid.T) {
				require.LessOrEqual(t, m.ledger.Len(), limits.Records)
				require.LessOrEqual(t, m.ledger.Bytes(), limits.Bytes)
			},
		})
	})
}
