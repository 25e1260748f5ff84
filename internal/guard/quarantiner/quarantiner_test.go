package quarantiner

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
	seeder.Fix(seeder.Values{Seed: 1, Checks: 1000})
	os.Exit(m.Run())
}

var start = time.Unix(1_800_000_000, 0).UTC()

func crash(id string, fingerprint uint64, alone bool) Observation {
	return Observation{ID: id, Fingerprint: fingerprint, Archive: "orders", Server: id, Crashed: true, Alone: alone}
}

func completed(id string, fingerprint uint64) Observation {
	return Observation{ID: id, Fingerprint: fingerprint, Archive: "orders", Server: id, Alone: true}
}

// Guards against a wrong transition between the states.
func TestTransitions(t *testing.T) {
	cases := []struct {
		name   string
		script []Observation
		want   Verdict
	}{
		{name: "nothing", want: VerdictRun},
		{name: "crash near others", script: []Observation{crash("1", 7, false)}, want: VerdictAlone},
		{name: "second crash near others", script: []Observation{crash("1", 7, false), crash("2", 7, false)}, want: VerdictAlone},
		{name: "lone crash of a clear one", script: []Observation{crash("1", 7, true)}, want: VerdictAlone},
		{name: "lone crash of a suspect", script: []Observation{crash("1", 7, false), crash("2", 7, true)}, want: VerdictRefuse},
		{name: "repeated lone crash", script: []Observation{crash("1", 7, true), crash("1", 7, true)}, want: VerdictAlone},
		{name: "lone completion", script: []Observation{crash("1", 7, false), completed("2", 7)}, want: VerdictRun},
		{name: "completion after quarantine", script: []Observation{crash("1", 7, false), crash("2", 7, true), completed("3", 7)}, want: VerdictRefuse},
		{name: "other fingerprint", script: []Observation{crash("1", 8, false)}, want: VerdictRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := New(Limits{})
			for _, o := range c.script {
				b.Observe(start, o)
			}
			list := NewList(b.Suspicions(), b.Alerts())
			require.Equal(t, c.want.String(), b.Verdict(7, start).String())
			require.Equal(t, c.want.String(), list.Verdict(7, start).String())
			require.Equal(t, VerdictRun, b.Verdict(7, start.Add(TTL)), "after expiry")
			require.Equal(t, len(c.script) > 0, list.HasAlert("orders", start))
			require.False(t, list.HasAlert("orders", start.Add(TTL)))
		})
	}
}

// Guards against a pin that expires, or that an operator cannot lift.
func TestPin(t *testing.T) {
	b := New(Limits{})
	require.True(t, b.Pin(start, 7, "orders"))
	b.Observe(start, completed("1", 7))
	require.Equal(t, VerdictRefuse, b.Verdict(7, start.Add(24*time.Hour)))
	require.True(t, b.Clear(start.Add(24*time.Hour), 7))
	require.False(t, b.Clear(start.Add(24*time.Hour), 7))
	require.Equal(t, VerdictRun, b.Verdict(7, start.Add(24*time.Hour)))
}

// Guards against a flood of suspects that displaces a quarantined fingerprint
// or grows without bound.
func TestBounds(t *testing.T) {
	b := New(Limits{Suspicions: 3, Reports: 5, Archives: 2})
	b.Observe(start, crash("a", 1, false))
	b.Observe(start, crash("b", 1, true))
	for i := range 20 {
		o := crash(fmt.Sprint(i), uint64(10+i), false)
		o.Archive = fmt.Sprint(i)
		b.Observe(start.Add(time.Duration(i)*time.Second), o)
	}
	c := b.Snapshot()
	require.Len(t, c.Suspicions, 3)
	require.Len(t, c.Reports, 5)
	require.Len(t, c.Alerts, 2)
	require.Equal(t, VerdictRefuse, b.Verdict(1, start))
	require.Equal(t, VerdictAlone, b.Verdict(29, start))
	require.EqualValues(t, 18, b.Dropped())
}

// Guards against innocent requests that are quarantined because they shared a
// server with the one that crashes it, or that stay suspects after a lone run.
func TestInnocentNeighbours(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now, next := New(Limits{}), start, 0
		// guilty holds the fingerprints that crashed a server in a lone run
		// while they were suspects.
		guilty := map[uint64]bool{}
		id := func() string { next++; return fmt.Sprint(next) }
		fingerprint := func(t *rapid.T) uint64 { return rapid.Uint64Range(0, 4).Draw(t, "fingerprint") }
		var last []Observation
		observe := func(o Observation) {
			b.Observe(now, o)
			last = append(last, o)
		}
		t.Repeat(map[string]func(*rapid.T){
			"crash near others": func(t *rapid.T) {
				for _, f := range rapid.SliceOfNDistinct(rapid.Uint64Range(0, 4), 1, 4, rapid.ID).Draw(t, "slots") {
					observe(crash(id(), f, false))
					require.NotEqual(t, VerdictRun, b.Verdict(f, now), "a neighbour of a crash is no suspect")
				}
			},
			"lone crash": func(t *rapid.T) {
				f := fingerprint(t)
				guilty[f] = guilty[f] || b.Verdict(f, now) == VerdictAlone
				observe(crash(id(), f, true))
			},
			"lone completion": func(t *rapid.T) {
				f := fingerprint(t)
				suspect := b.Verdict(f, now) == VerdictAlone
				observe(completed(id(), f))
				if suspect {
					require.Equal(t, VerdictRun, b.Verdict(f, now), "a lone run did not clear a suspect")
				}
			},
			"repeat": func(t *rapid.T) {
				if len(last) == 0 {
					t.Skip()
				}
				before := b.Suspicions()
				b.Observe(now, rapid.SampledFrom(last).Draw(t, "report"))
				require.Equal(t, before, b.Suspicions(), "a repeated report counted twice")
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "seconds")) * time.Second)
				if now.Sub(start) > idWindow {
					last = nil
				}
				b.Advance(now)
			},
			"restore": func(*rapid.T) {
				c := b.Snapshot()
				b = New(Limits{})
				b.Restore(c)
				require.Equal(t, c, b.Snapshot())
			},
			"": func(t *rapid.T) {
				for _, s := range b.Suspicions() {
					if s.State != StateSuspect && !guilty[s.Fingerprint] {
						t.Fatalf("%d is quarantined without a crash in a lone run", s.Fingerprint)
					}
					require.True(t, s.Expiry.After(now), "an expired suspicion is still held")
				}
			},
		})
	})
}

// Guards against hosts that differ in what they forget when the book is full:
// one of the two books is restored from its contents again and again.
func TestFullBooksAgree(t *testing.T) {
	limits := Limits{Suspicions: 4, Reports: 6, Archives: 3}
	rapid.Check(t, func(t *rapid.T) {
		a, b, now := New(limits), New(limits), start
		for range rapid.IntRange(1, 40).Draw(t, "reports") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 0, 1, 120}).Draw(t, "seconds")) * time.Second)
			o := crash(fmt.Sprint(rapid.IntRange(0, 30).Draw(t, "id")), rapid.Uint64Range(0, 9).Draw(t, "fingerprint"), rapid.Bool().Draw(t, "alone"))
			o.Archive = fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "archive"))
			c := b.Snapshot()
			b = New(limits)
			b.Restore(c)
			require.Equal(t, a.Observe(now, o), b.Observe(now, o))
			require.Equal(t, fmt.Sprint(a.Snapshot()), fmt.Sprint(b.Snapshot()))
		}
	})
}
