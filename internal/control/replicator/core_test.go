package replicator

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	_ "pgregory.net/rapid"
)

// TestMain makes plain runs repeatable: rapid otherwise draws a new seed.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20260112", "rapid.checks": "300"} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func testMember(id uint64, voter bool) Member {
	return Member{ID: id, Name: string(rune('a' + id)), Zone: "z1", Voter: voter}
}

func testCore(t *testing.T, id uint64, snap Snapshot) *Core {
	t.Helper()
	c, err := New(Config{ID: id, Snapshot: snap, Rand: rand.New(rand.NewPCG(id, 1))})
	require.NoError(t, err)
	return c
}

// drain handles Readys and delivers messages until nothing is left to do. It
// returns the data of the entries applied by each member.
func drain(t *testing.T, now time.Duration, cores map[uint64]*Core, applied map[uint64][]string) {
	t.Helper()
	for busy := true; busy; {
		busy = false
		for _, c := range cores {
			r := c.Ready()
			if r.Empty() {
				continue
			}
			busy = true
			for _, e := range r.Committed {
				if e.Kind == EntryNormal {
					applied[c.id] = append(applied[c.id], string(e.Data))
				}
			}
			c.Advance(r)
			for _, m := range r.Messages {
				wire, err := FromWire(m.From, m.To, ToWire(m))
				require.NoError(t, err)
				if to, ok := cores[m.To]; ok {
					require.NoError(t, to.Step(now, wire))
				}
			}
		}
	}
}

// Guards against a core that cannot elect, replicate, grow or compact at all.
func TestBasic(t *testing.T) {
	first := testCore(t, 1, Bootstrap(testMember(1, true), []byte("state")))
	cores := map[uint64]*Core{1: first}
	applied := map[uint64][]string{}
	now := 2 * defaultElectionTimeout
	first.Tick(now)
	drain(t, now, cores, applied)
	require.Equal(t, RoleLeader, first.Status().Role)

	for id := uint64(2); id <= 3; id++ {
		cores[id] = testCore(t, id, Snapshot{})
		require.NoError(t, first.ProposeMembers(now, Change{Kind: AddLearner, Member: testMember(id, false)}))
		drain(t, now, cores, applied)
		require.NoError(t, first.ProposeMembers(now, Change{Kind: MakeVoter, Member: Member{ID: id}}))
		drain(t, now, cores, applied)
	}
	for _, data := range []string{"x", "y"} {
		_, _, err := first.Propose(now, []byte(data))
		require.NoError(t, err)
	}
	drain(t, now, cores, applied)
	now += defaultHeartbeat
	first.Tick(now)
	drain(t, now, cores, applied)
	for id, c := range cores {
		require.Equal(t, []string{"x", "y"}, applied[id])
		require.Equal(t, first.Status().Commit, c.Status().Commit)
		require.Len(t, c.Status().Members, 3)
	}
}
