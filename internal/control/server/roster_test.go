package server

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"gentianpond/internal/control/keeper"
	"gentianpond/internal/protocol/messenger"
	"gentianpond/test/seeder"
)

func TestMain(m *testing.M) {
	seeder.Fix(seeder.Values{Seed: 1, Checks: 2000})
	code := m.Run()
	if err := goleak.Find(); code == 0 && err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

// hostAddress stands for the address of every host: the keeper takes no member
// without one.
const hostAddress = "127.0.0.1:9080"

// entryModel is one process of an entry host in the roster's property test.
type entryModel struct {
	member   *messenger.Member
	leaseEnd time.Duration // of a lease by any leader
	heard    time.Duration // by the present leader; negative is never
	released uint64        // as told to the present leader
	left     bool
}

func newEntryModel(name string, incarnation uint64) *entryModel {
	return &entryModel{member: &messenger.Member{Name: name, Address: hostAddress, Incarnation: incarnation}, heard: -1}
}

type rosterModel struct {
	t      *rapid.T
	now    time.Duration
	since  time.Duration
	roster *roster
	keeper *keeper.Keeper
	index  uint64
	// done is the last view known to be settled.
	done uint64
	// hosts holds the processes of each host, the oldest first. All of them
	// may run until they leave.
	hosts [][]*entryModel
}

// apply changes the view. A process that it takes out must hold no lease.
func (m *rosterModel) apply(c *messenger.ViewChange) {
	data, err := keeper.Encode(&messenger.Command{Time: timestamp(), Action: &messenger.Command_View{View: c}})
	require.NoError(m.t, err)
	m.index++
	require.NoError(m.t, m.keeper.Apply(m.index, data).Err)
	for _, host := range m.hosts {
		for _, p := range host {
			if m.now >= p.leaseEnd {
				continue
			}
			member, ok := m.keeper.Member(p.member.GetName())
			require.True(m.t, ok && member.GetIncarnation() == p.member.GetIncarnation(),
				"%s/%d holds a lease until %s at %s, the view has %v", p.member.GetName(), p.member.GetIncarnation(), p.leaseEnd, m.now, member)
		}
	}
}

func (m *rosterModel) elect() {
	m.roster, m.since, m.done = newRoster(m.now), m.now, 0
	for _, host := range m.hosts {
		for _, p := range host {
			p.heard, p.released = -1, 0
		}
	}
}

func (m *rosterModel) recent(p *entryModel) bool { return p.heard >= 0 && m.now-p.heard < removal }

// newest returns the newest process that the present leader heard, or nil.
func (m *rosterModel) newest(host []*entryModel) *entryModel {
	for i := len(host) - 1; i >= 0; i-- {
		if host[i].heard >= 0 {
			return host[i]
		}
	}
	return nil
}

// process draws a host and one of its processes, mostly the newest.
func (m *rosterModel) process() (int, *entryModel) {
	i := rapid.IntRange(0, len(m.hosts)-1).Draw(m.t, "host")
	host := m.hosts[i]
	if rapid.IntRange(0, 3).Draw(m.t, "older") > 0 {
		return i, host[len(host)-1]
	}
	return i, rapid.SampledFrom(host).Draw(m.t, "process")
}

func (m *rosterModel) sync() {
	i, p := m.process()
	if p.left {
		return
	}
	if p == m.hosts[i][len(m.hosts[i])-1] && rapid.IntRange(0, 9).Draw(m.t, "restart") == 0 {
		p = newEntryModel(p.member.GetName(), p.member.GetIncarnation()+1)
		m.hosts[i] = append(m.hosts[i], p)
	}
	newest := m.newest(m.hosts[i])
	superseded := newest != nil && newest.member.GetIncarnation() > p.member.GetIncarnation()
	switch {
	case superseded && !m.recent(newest):
		// A host that was silent for longer is forgotten, and with it which
		// incarnations are old.
		return
	case superseded:
		m.roster.note(m.now, &messenger.SyncRequest{Member: p.member, Released: 1000})
	default:
		released := rapid.Uint64Range(0, m.keeper.View().GetNumber()).Draw(m.t, "released")
		p.heard, p.released = m.now, max(p.released, released)
		m.roster.note(m.now, &messenger.SyncRequest{Member: p.member, Released: released})
	}
	if m.roster.grants(m.keeper.View(), p.member) {
		require.False(m.t, superseded, "lease for %s/%d after a newer incarnation was heard", p.member.GetName(), p.member.GetIncarnation())
		p.leaseEnd = m.now + lease
	}
}

// leave takes a process out as the leader does, perhaps followed by a sync
// request that was sent before. The host comes back later under a new
// incarnation.
func (m *rosterModel) leave() {
	i, p := m.process()
	if p.left {
		return
	}
	p.left, p.leaseEnd = true, 0
	m.roster.leave(p.member)
	m.apply(&messenger.ViewChange{Leave: []*messenger.Member{p.member}})
	newest := m.newest(m.hosts[i])
	if p != m.hosts[i][len(m.hosts[i])-1] {
		return
	}
	if rapid.Bool().Draw(m.t, "late") && (newest == nil || newest.member.GetIncarnation() <= p.member.GetIncarnation()) {
		m.roster.note(m.now, &messenger.SyncRequest{Member: p.member})
		p.heard = m.now
	}
	m.hosts[i] = append(m.hosts[i], newEntryModel(p.member.GetName(), p.member.GetIncarnation()+1))
}

// duty applies the change that the roster asks for and checks the view.
func (m *rosterModel) duty() {
	if c := m.roster.change(m.now, m.keeper.View(), m.keeper.ViewChanges); c != nil {
		m.apply(c)
	}
	for _, host := range m.hosts {
		m.checkMember(host)
	}
}

// delayedDuty applies the change that the roster asks for after some syncs and
// leaves, because a change takes a round of the control hosts to commit.
func (m *rosterModel) delayedDuty() {
	c := m.roster.change(m.now, m.keeper.View(), m.keeper.ViewChanges)
	for range rapid.IntRange(1, 4).Draw(m.t, "steps until applied") {
		m.now += time.Duration(rapid.IntRange(0, 1500).Draw(m.t, "milliseconds")) * time.Millisecond
		if rapid.IntRange(0, 4).Draw(m.t, "leave") == 0 {
			m.leave()
		} else {
			m.sync()
		}
		m.checkSettled()
	}
	if c != nil {
		m.apply(c)
	}
}

// checkMember tests that the process that was heard last is in the view, or
// an older one that may hold a lease, and that a silent one is not.
func (m *rosterModel) checkMember(host []*entryModel) {
	member, present := m.keeper.Member(host[0].member.GetName())
	var left uint64
	for _, p := range host {
		if p.left {
			left = p.member.GetIncarnation()
		}
		if present && p.member.GetIncarnation() == member.GetIncarnation() {
			silence := m.now - max(p.heard, m.since)
			require.Less(m.t, silence, removal, "%v is silent for %s", member, silence)
			require.False(m.t, p.left, "%v has left", member)
		}
	}
	newest := m.newest(host)
	if newest != nil && m.recent(newest) && newest.member.GetIncarnation() > left {
		require.True(m.t, present, "%v heard at %s, now %s", newest.member, newest.heard, m.now)
	}
}

func (m *rosterModel) checkSettled() {
	view := m.keeper.View()
	want := true
	if m.done == view.GetNumber() {
		// Settled is final for a view, also when a member restarts.
		require.True(m.t, m.roster.settled(view), "settled view became unsettled")
		return
	}
	for _, r := range view.GetMembers() {
		told := false
		for _, h := range slices.Concat(m.hosts...) {
			told = told || h.member.GetName() == r.GetName() && h.member.GetIncarnation() == r.GetIncarnation() && h.released >= view.GetNumber()
		}
		want = want && told
	}
	require.Equal(m.t, want, m.roster.settled(view), "settled")
	if want {
		m.done = view.GetNumber()
	}
}

// Guards against removing a host whose lease still runs, whichever leader
// granted it, against admitting a newer incarnation while the older one's lease
// runs or renewing that lease, against a lease that is granted while the
// removal of its holder is being committed, against keeping a silent host, and
// against a view that counts as settled before all its members have released
// it.
func TestRosterRespectsLeases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &rosterModel{t: t, keeper: keeper.New(nil)}
		for i := range 3 {
			m.hosts = append(m.hosts, []*entryModel{newEntryModel(fmt.Sprint("host-", i), 1)})
		}
		m.now = time.Hour
		m.elect()
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			m.now += time.Duration(rapid.IntRange(0, 2500).Draw(t, "milliseconds")) * time.Millisecond
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				m.elect()
			case 1, 2:
				m.duty()
			case 3:
				m.delayedDuty()
			case 4:
				m.leave()
			default:
				m.sync()
			}
			m.checkSettled()
		}
	})
}

// Guards against stopping the loop for a large snapshot after few entries, and
// against a log that grows without bound.
func TestSnapshotDue(t *testing.T) {
	for _, c := range []struct {
		mark    snapshotMark
		applied uint64
		due     bool
	}{
		{snapshotMark{index: 5, size: 100, grown: 9000}, 1004, false},
		{snapshotMark{index: 5, size: 100, grown: 10}, 1005, true},
		{snapshotMark{index: 5, size: 14 << 20, grown: 1 << 20}, 1005, false},
		{snapshotMark{index: 5, size: 14 << 20, grown: 14 << 20}, 90000, true},
	} {
		require.Equal(t, c.due, c.mark.due(c.applied, 1000), "%+v at %d", c.mark, c.applied)
	}
}
