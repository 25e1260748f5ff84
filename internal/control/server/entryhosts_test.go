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
	seeder.SetDefaults(seeder.Defaults{Seed: 1, Checks: 2000})
	code := m.Run()
	if err := goleak.Find(); code == 0 && err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

// hostAddress is the address of every host, because the keeper rejects members without
// one.
const hostAddress = "127.0.0.1:9080"

// processModel is one process of an entry host in the property test of entryTracker.
type processModel struct {
	member       *messenger.Member
	leaseEnd     time.Duration // of a lease by any leader
	lastSync     time.Duration // received by the present leader; negative is never
	releasedView uint64        // as reported to the present leader
	left         bool
}

func newProcessModel(name string, incarnation uint64) *processModel {
	return &processModel{member: &messenger.Member{Name: name, Address: hostAddress, Incarnation: incarnation}, lastSync: -1}
}

// trackerModel drives an entryTracker and a keeper and knows what they may decide.
type trackerModel struct {
	t              *rapid.T
	now            time.Duration
	listeningSince time.Duration
	tracker        *entryTracker
	keeper         *keeper.Keeper
	index          uint64
	// settledView is the last view known to be settled.
	settledView uint64
	// hosts holds the processes of each host, the oldest first. All of them may run
	// until they leave.
	hosts [][]*processModel
}

// apply changes the view. A process that it removes must hold no lease.
func (m *trackerModel) apply(c *messenger.ViewChange) {
	data, err := keeper.EncodeCommand(&messenger.Command{Time: timestamp(), Action: &messenger.Command_View{View: c}})
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

// elect makes a new leader, which has not heard any process.
func (m *trackerModel) elect() {
	m.tracker, m.listeningSince, m.settledView = newEntryTracker(m.now), m.now, 0
	for _, host := range m.hosts {
		for _, p := range host {
			p.lastSync, p.releasedView = -1, 0
		}
	}
}

func (m *trackerModel) heardRecently(p *processModel) bool {
	return p.lastSync >= 0 && m.now-p.lastSync < removeAfter
}

// newestHeard returns the newest process that the present leader heard, or nil.
func (m *trackerModel) newestHeard(host []*processModel) *processModel {
	for i := len(host) - 1; i >= 0; i-- {
		if host[i].lastSync >= 0 {
			return host[i]
		}
	}
	return nil
}

// drawProcess draws a host and one of its processes, mostly the newest.
func (m *trackerModel) drawProcess() (int, *processModel) {
	i := rapid.IntRange(0, len(m.hosts)-1).Draw(m.t, "host")
	host := m.hosts[i]
	if rapid.IntRange(0, 3).Draw(m.t, "older") > 0 {
		return i, host[len(host)-1]
	}
	return i, rapid.SampledFrom(host).Draw(m.t, "process")
}

// sync records a sync request of a process, which may have restarted, and its lease.
func (m *trackerModel) sync() {
	i, p := m.drawProcess()
	if p.left {
		return
	}
	if p == m.hosts[i][len(m.hosts[i])-1] && rapid.IntRange(0, 9).Draw(m.t, "restart") == 0 {
		p = newProcessModel(p.member.GetName(), p.member.GetIncarnation()+1)
		m.hosts[i] = append(m.hosts[i], p)
	}
	newest := m.newestHeard(m.hosts[i])
	superseded := newest != nil && newest.member.GetIncarnation() > p.member.GetIncarnation()
	switch {
	case superseded && !m.heardRecently(newest):
		// A host that was silent for removeAfter is forgotten, and with it which
		// incarnations are old.
		return
	case superseded:
		m.tracker.recordSync(m.now, &messenger.SyncRequest{Member: p.member, Released: 1000})
	default:
		released := rapid.Uint64Range(0, m.keeper.View().GetNumber()).Draw(m.t, "released")
		p.lastSync, p.releasedView = m.now, max(p.releasedView, released)
		m.tracker.recordSync(m.now, &messenger.SyncRequest{Member: p.member, Released: released})
	}
	if m.tracker.mayHoldLease(m.keeper.View(), p.member) {
		require.False(m.t, superseded, "lease for %s/%d after a newer incarnation was heard", p.member.GetName(), p.member.GetIncarnation())
		p.leaseEnd = m.now + leaseDuration
	}
}

// leave makes a process leave, perhaps followed by a sync request that was sent
// earlier. The host comes back later under a new incarnation.
func (m *trackerModel) leave() {
	i, p := m.drawProcess()
	if p.left {
		return
	}
	p.left, p.leaseEnd = true, 0
	m.tracker.markLeaving(p.member)
	m.apply(&messenger.ViewChange{Leave: []*messenger.Member{p.member}})
	newest := m.newestHeard(m.hosts[i])
	if p != m.hosts[i][len(m.hosts[i])-1] {
		return
	}
	if rapid.Bool().Draw(m.t, "late") && (newest == nil || newest.member.GetIncarnation() <= p.member.GetIncarnation()) {
		m.tracker.recordSync(m.now, &messenger.SyncRequest{Member: p.member})
		p.lastSync = m.now
	}
	m.hosts[i] = append(m.hosts[i], newProcessModel(p.member.GetName(), p.member.GetIncarnation()+1))
}

// changeView applies the change that the tracker asks for and checks the view.
func (m *trackerModel) changeView() {
	if c := m.tracker.nextChange(m.now, m.keeper.View(), m.keeper.WouldChangeView); c != nil {
		m.apply(c)
	}
	for _, host := range m.hosts {
		m.checkMember(host)
	}
}

// changeViewLate applies the change that the tracker asks for after some syncs and
// leaves, because a change takes a round of the control hosts to commit.
func (m *trackerModel) changeViewLate() {
	c := m.tracker.nextChange(m.now, m.keeper.View(), m.keeper.WouldChangeView)
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

// checkMember requires that the view holds the process that was heard last, or an
// older one that may hold a lease, and no silent process.
func (m *trackerModel) checkMember(host []*processModel) {
	member, present := m.keeper.Member(host[0].member.GetName())
	var left uint64
	for _, p := range host {
		if p.left {
			left = p.member.GetIncarnation()
		}
		if present && p.member.GetIncarnation() == member.GetIncarnation() {
			silence := m.now - max(p.lastSync, m.listeningSince)
			require.Less(m.t, silence, removeAfter, "%v is silent for %s", member, silence)
			require.False(m.t, p.left, "%v has left", member)
		}
	}
	newest := m.newestHeard(host)
	if newest != nil && m.heardRecently(newest) && newest.member.GetIncarnation() > left {
		require.True(m.t, present, "%v heard at %s, now %s", newest.member, newest.lastSync, m.now)
	}
}

// checkSettled compares the tracker's settled with the releases that the model
// recorded.
func (m *trackerModel) checkSettled() {
	view := m.keeper.View()
	want := true
	if m.settledView == view.GetNumber() {
		// A settled view stays settled, also when a member restarts.
		require.True(m.t, m.tracker.isSettled(view), "settled view became unsettled")
		return
	}
	for _, r := range view.GetMembers() {
		released := false
		for _, h := range slices.Concat(m.hosts...) {
			released = released || h.member.GetName() == r.GetName() && h.member.GetIncarnation() == r.GetIncarnation() && h.releasedView >= view.GetNumber()
		}
		want = want && released
	}
	require.Equal(m.t, want, m.tracker.isSettled(view), "settled")
	if want {
		m.settledView = view.GetNumber()
	}
}

// Guards against removing a host whose lease still runs, whichever leader
// granted it, against admitting a newer incarnation while the older one's lease
// runs or renewing that lease, against a lease that is granted while the
// removal of its holder is being committed, against keeping a silent host, and
// against a view that counts as settled before all its members have released
// it.
func TestEntryTrackerRespectsLeases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &trackerModel{t: t, keeper: keeper.New(nil)}
		for i := range 3 {
			m.hosts = append(m.hosts, []*processModel{newProcessModel(fmt.Sprint("host-", i), 1)})
		}
		m.now = time.Hour
		m.elect()
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			m.now += time.Duration(rapid.IntRange(0, 2500).Draw(t, "milliseconds")) * time.Millisecond
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				m.elect()
			case 1, 2:
				m.changeView()
			case 3:
				m.changeViewLate()
			case 4:
				m.leave()
			default:
				m.sync()
			}
			m.checkSettled()
		}
	})
}

// Guards against blocking the loop for a large snapshot after few entries, and against
// a log that grows without bound.
func TestSnapshotDue(t *testing.T) {
	for _, c := range []struct {
		mark    snapshotProgress
		applied uint64
		due     bool
	}{
		{snapshotProgress{index: 5, snapshotBytes: 100, logBytes: 9000}, 1004, false},
		{snapshotProgress{index: 5, snapshotBytes: 100, logBytes: 10}, 1005, true},
		{snapshotProgress{index: 5, snapshotBytes: 14 << 20, logBytes: 1 << 20}, 1005, false},
		{snapshotProgress{index: 5, snapshotBytes: 14 << 20, logBytes: 14 << 20}, 90000, true},
	} {
		require.Equal(t, c.due, c.mark.due(c.applied, 1000), "%+v at %d", c.mark, c.applied)
	}
}
