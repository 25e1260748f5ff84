package server

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"gentianpond/internal/control/keeper"
	"gentianpond/internal/protocol/messenger"
)

func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000", "rapid.nofailfile": "true"} {
		if !given[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	code := m.Run()
	if err := goleak.Find(); code == 0 && err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

// entryModel is one entry host in the roster's property test.
type entryModel struct {
	member   *messenger.Member
	synced   time.Duration // by any leader
	heard    time.Duration // by the present leader; negative is never
	released uint64        // as told to the present leader
}

type rosterModel struct {
	t      *rapid.T
	now    time.Duration
	since  time.Duration
	roster *roster
	keeper *keeper.Keeper
	index  uint64
	hosts  []*entryModel
}

func (m *rosterModel) apply(c *messenger.ViewChange) {
	data, err := keeper.Encode(&messenger.Command{Time: timestamp(), Action: &messenger.Command_View{View: c}})
	require.NoError(m.t, err)
	m.index++
	require.NoError(m.t, m.keeper.Apply(m.index, data).Err)
}

func (m *rosterModel) elect() {
	m.roster, m.since = newRoster(m.now), m.now
	for _, h := range m.hosts {
		h.heard, h.released = -1, 0
	}
}

func (m *rosterModel) sync() {
	h := rapid.SampledFrom(m.hosts).Draw(m.t, "host")
	if h.member.GetIncarnation() > 1 && rapid.IntRange(0, 3).Draw(m.t, "late") == 0 {
		late := &messenger.Member{Name: h.member.GetName(), Incarnation: h.member.GetIncarnation() - 1}
		// A host that was silent for longer is forgotten, and with it which
		// incarnations are old.
		if h.heard >= 0 && m.now-h.heard < removal {
			m.roster.note(m.now, &messenger.SyncRequest{Member: late, Released: 1000})
		}
		return
	}
	if rapid.IntRange(0, 9).Draw(m.t, "restart") == 0 {
		h.member = &messenger.Member{Name: h.member.GetName(), Incarnation: h.member.GetIncarnation() + 1}
		h.released = 0
	}
	released := rapid.Uint64Range(0, m.keeper.View().GetNumber()).Draw(m.t, "released")
	h.synced, h.heard, h.released = m.now, m.now, max(h.released, released)
	m.roster.note(m.now, &messenger.SyncRequest{Member: h.member, Released: released})
}

// duty applies the change that the roster asks for and checks the view.
func (m *rosterModel) duty() {
	c := m.roster.change(m.now, m.keeper.View(), m.keeper.ViewChanges)
	for _, r := range c.GetRemove() {
		for _, h := range m.hosts {
			leased := h.member.GetName() == r.GetName() && h.member.GetIncarnation() == r.GetIncarnation() && m.now < h.synced+lease
			require.False(m.t, leased, "removed %s at %s, which synced at %s", r.GetName(), m.now, h.synced)
		}
	}
	if c != nil {
		m.apply(c)
	}
	for _, h := range m.hosts {
		_, member := m.keeper.Member(h.member.GetName())
		recent := h.heard >= 0 && m.now-h.heard < removal
		if recent || m.now-m.since >= removal {
			require.Equal(m.t, recent, member, "%s heard at %s, now %s", h.member.GetName(), h.heard, m.now)
		}
	}
}

func (m *rosterModel) checkSettled() {
	view := m.keeper.View()
	want := true
	for _, r := range view.GetMembers() {
		told := false
		for _, h := range m.hosts {
			told = told || h.member.GetName() == r.GetName() && h.member.GetIncarnation() == r.GetIncarnation() && h.released >= view.GetNumber()
		}
		want = want && told
	}
	require.Equal(m.t, want, m.roster.settled(view), "settled")
}

// Guards against removing a host whose lease still runs, whichever leader
// granted it, against keeping a silent one, and against a view that counts as
// settled before all its members have released it.
func TestRosterRespectsLeases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &rosterModel{t: t, keeper: keeper.New(nil)}
		for i := range 3 {
			m.hosts = append(m.hosts, &entryModel{member: &messenger.Member{Name: fmt.Sprint("host-", i), Incarnation: 1}})
		}
		m.now = time.Hour
		m.elect()
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			m.now += time.Duration(rapid.IntRange(0, 2500).Draw(t, "milliseconds")) * time.Millisecond
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				m.elect()
			case 1, 2, 3:
				m.duty()
			default:
				m.sync()
			}
			m.checkSettled()
		}
	})
}
