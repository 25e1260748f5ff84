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
	seeder.SetDefaults(seeder.Defaults{Seed: 1, Checks: 1000})
	os.Exit(m.Run())
}

var start = time.Unix(1_800_000_000, 0).UTC()

func crashReport(id string, fingerprint uint64, alone bool) Observation {
	return Observation{ID: id, Fingerprint: fingerprint, Archive: "orders", Server: id, Crashed: true, Alone: alone}
}

func completionReport(id string, fingerprint uint64) Observation {
	return Observation{ID: id, Fingerprint: fingerprint, Archive: "orders", Server: id, Alone: true}
}

// Guards against a wrong transition between the states of a suspicion.
func TestTransitions(t *testing.T) {
	cases := []struct {
		name         string
		observations []Observation
		want         Verdict
	}{
		{name: "nothing", want: VerdictRun},
		{name: "crash near others", observations: []Observation{crashReport("1", 7, false)}, want: VerdictAlone},
		{name: "second crash near others", observations: []Observation{crashReport("1", 7, false), crashReport("2", 7, false)}, want: VerdictAlone},
		{name: "lone crash of a clear one", observations: []Observation{crashReport("1", 7, true)}, want: VerdictAlone},
		{name: "lone crash of a suspect", observations: []Observation{crashReport("1", 7, false), crashReport("2", 7, true)}, want: VerdictRefuse},
		{name: "repeated lone crash", observations: []Observation{crashReport("1", 7, true), crashReport("1", 7, true)}, want: VerdictAlone},
		{name: "lone completion", observations: []Observation{crashReport("1", 7, false), completionReport("2", 7)}, want: VerdictRun},
		{name: "completion after quarantine", observations: []Observation{crashReport("1", 7, false), crashReport("2", 7, true), completionReport("3", 7)}, want: VerdictRefuse},
		{name: "other fingerprint", observations: []Observation{crashReport("1", 8, false)}, want: VerdictRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := New(Limits{})
			for _, o := range c.observations {
				table.Observe(start, o)
			}
			list := NewList(table.Suspicions(), table.Alerts())
			require.Equal(t, c.want.String(), table.Verdict(7, start).String())
			require.Equal(t, c.want.String(), list.Verdict(7, start).String())
			require.Equal(t, VerdictRun, table.Verdict(7, start.Add(TTL)), "after expiry")
			require.Equal(t, len(c.observations) > 0, list.HasAlert("orders", start))
			require.False(t, list.HasAlert("orders", start.Add(TTL)))
		})
	}
}

// Guards against a pinned suspicion that expires, or that an operator can't
// clear.
func TestPin(t *testing.T) {
	table := New(Limits{})
	require.True(t, table.Pin(start, 7, "orders"))
	table.Observe(start, completionReport("1", 7))
	require.Equal(t, VerdictRefuse, table.Verdict(7, start.Add(24*time.Hour)))
	require.True(t, table.Clear(start.Add(24*time.Hour), 7))
	require.False(t, table.Clear(start.Add(24*time.Hour), 7))
	require.Equal(t, VerdictRun, table.Verdict(7, start.Add(24*time.Hour)))
}

// Guards against a flood of suspects that displaces a quarantined fingerprint
// or grows without bound.
func TestBounds(t *testing.T) {
	table := New(Limits{Suspicions: 3, Reports: 5, Alerts: 2})
	table.Observe(start, crashReport("a", 1, false))
	table.Observe(start, crashReport("b", 1, true))
	for i := range 20 {
		o := crashReport(fmt.Sprint(i), uint64(10+i), false)
		o.Archive = fmt.Sprint(i)
		table.Observe(start.Add(time.Duration(i)*time.Second), o)
	}
	snapshot := table.Snapshot()
	require.Len(t, snapshot.Suspicions, 3)
	require.Len(t, snapshot.Reports, 5)
	require.Len(t, snapshot.Alerts, 2)
	require.Equal(t, VerdictRefuse, table.Verdict(1, start))
	require.Equal(t, VerdictAlone, table.Verdict(29, start))
	require.EqualValues(t, 18, table.DroppedSuspicions())
}

// Guards against requests that are quarantined only because they were in flight
// on a server when another request crashed it, or that stay suspects after they
// completed in an isolated run.
func TestNoQuarantineOfNeighbours(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, now, lastID := New(Limits{}), start, 0
		// crashedAlone holds the fingerprints that crashed a server in an
		// isolated run while they were suspects.
		crashedAlone := map[uint64]bool{}
		newID := func() string { lastID++; return fmt.Sprint(lastID) }
		fingerprint := func(t *rapid.T) uint64 { return rapid.Uint64Range(0, 4).Draw(t, "fingerprint") }
		var reported []Observation
		observe := func(o Observation) {
			table.Observe(now, o)
			reported = append(reported, o)
		}
		t.Repeat(map[string]func(*rapid.T){
			"crash near others": func(t *rapid.T) {
				for _, f := range rapid.SliceOfNDistinct(rapid.Uint64Range(0, 4), 1, 4, rapid.ID).Draw(t, "slots") {
					observe(crashReport(newID(), f, false))
					require.NotEqual(t, VerdictRun, table.Verdict(f, now), "a neighbour of a crash is no suspect")
				}
			},
			"lone crash": func(t *rapid.T) {
				f := fingerprint(t)
				crashedAlone[f] = crashedAlone[f] || table.Verdict(f, now) == VerdictAlone
				observe(crashReport(newID(), f, true))
			},
			"lone completion": func(t *rapid.T) {
				f := fingerprint(t)
				suspect := table.Verdict(f, now) == VerdictAlone
				observe(completionReport(newID(), f))
				if suspect {
					require.Equal(t, VerdictRun, table.Verdict(f, now), "a lone run did not clear a suspect")
				}
			},
			"repeat": func(t *rapid.T) {
				if len(reported) == 0 {
					t.Skip()
				}
				before := table.Suspicions()
				table.Observe(now, rapid.SampledFrom(reported).Draw(t, "report"))
				require.Equal(t, before, table.Suspicions(), "a repeated report counted twice")
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "seconds")) * time.Second)
				if now.Sub(start) > reportTTL {
					reported = nil
				}
				table.Advance(now)
			},
			"restore": func(*rapid.T) {
				snapshot := table.Snapshot()
				table = New(Limits{})
				table.Restore(snapshot)
				require.Equal(t, snapshot, table.Snapshot())
			},
			"": func(t *rapid.T) {
				for _, s := range table.Suspicions() {
					if s.State != StateSuspect && !crashedAlone[s.Fingerprint] {
						t.Fatalf("%d is quarantined without a crash in a lone run", s.Fingerprint)
					}
					require.True(t, s.Expiry.After(now), "an expired suspicion is still held")
				}
			},
		})
	})
}

// Guards against hosts that evict different suspicions or alerts from a full
// table. One of the two tables is restored from its snapshot before each report.
func TestEvictionIsDeterministic(t *testing.T) {
	limits := Limits{Suspicions: 4, Reports: 6, Alerts: 3}
	rapid.Check(t, func(t *rapid.T) {
		kept, restored, now := New(limits), New(limits), start
		for range rapid.IntRange(1, 40).Draw(t, "reports") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 0, 1, 120}).Draw(t, "seconds")) * time.Second)
			o := crashReport(fmt.Sprint(rapid.IntRange(0, 30).Draw(t, "id")), rapid.Uint64Range(0, 9).Draw(t, "fingerprint"), rapid.Bool().Draw(t, "alone"))
			o.Archive = fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "archive"))
			snapshot := restored.Snapshot()
			restored = New(limits)
			restored.Restore(snapshot)
			require.Equal(t, kept.Observe(now, o), restored.Observe(now, o))
			require.Equal(t, fmt.Sprint(kept.Snapshot()), fmt.Sprint(restored.Snapshot()))
		}
	})
}
