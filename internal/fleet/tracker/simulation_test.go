package tracker

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gentianpond/internal/protocol/messenger"
)

const (
	stepTime = 50 * time.Millisecond
	// maxAnnouncementDelay is the longest delay of an announcement that is not a
	// replay; the sender gives up after one period.
	maxAnnouncementDelay = 500 * time.Millisecond
	// stopUseLimit is the time within which every host must stop using a server
	// that drains or goes silent.
	stopUseLimit = 3 * time.Second
)

var epoch = time.Date(2025, 6, 1, 12, 0, 0, 0, time.UTC)

// simulatedServer is a backend server that follows the announcement protocol.
type simulatedServer struct {
	Announcement
	silent bool
	// unavailableSince is when the server began to drain or went silent, zero if it
	// is available.
	unavailableSince time.Time
	// lastArrivalAt is when an announcement last reached any host.
	lastArrivalAt time.Time
	// stepOffset is added to the step count, so that the servers announce
	// themselves at different steps.
	stepOffset int
}

// announcementInTransit is an announcement in transit to a host.
type announcementInTransit struct {
	arrivesAt    time.Time
	host         int
	announcement Announcement
}

// shareReply is a reply to a Share request in transit to the requesting host.
type shareReply struct {
	arrivesAt, sentAt time.Time
	to, from          int
	last              uint64
	shared            []*messenger.Shared
}

// lastUsable is what a host knew of a server when the server was last usable.
type lastUsable struct {
	usable                bool
	incarnation, sequence uint64
}

// simulation runs several tables that share with each other over links that lose
// and delay messages and are cut.
type simulation struct {
	t      *rapid.T
	now    time.Time
	steps  int
	tables []*Table
	// lastShared holds, by host and peer, the number for the next Share request.
	lastShared             [][]uint64
	cutOff                 []bool
	servers                []*simulatedServer
	announcementsInTransit []announcementInTransit
	sentAnnouncements      []Announcement
	repliesInTransit       []shareReply
	// usableHistory holds what each host last knew of each usable server.
	usableHistory []map[string]lastUsable
	faultsOff     bool
	// minSummaryServers replaces the constant in all tables.
	minSummaryServers int
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{t: t, now: epoch, minSummaryServers: rapid.IntRange(1, 3).Draw(t, "summary")}
	hosts := rapid.IntRange(2, 4).Draw(t, "hosts")
	for range hosts {
		sim.tables = append(sim.tables, &Table{minSummaryOverride: sim.minSummaryServers})
		sim.lastShared = append(sim.lastShared, make([]uint64, hosts))
		sim.cutOff = append(sim.cutOff, false)
		sim.usableHistory = append(sim.usableHistory, map[string]lastUsable{})
	}
	for i := range rapid.IntRange(1, 3).Draw(t, "servers") {
		s := &simulatedServer{Announcement: testAnnouncement(fmt.Sprintf("server-%d", i)), stepOffset: i}
		s.Sequence = 0
		sim.servers = append(sim.servers, s)
	}
	return sim
}

// testAnnouncement returns a valid first announcement of a server.
func testAnnouncement(name string) Announcement {
	return Announcement{
		ServerName:      name,
		Address:         netip.MustParseAddrPort("127.0.0.1:7001"),
		Zone:            "north",
		Incarnation:     1,
		Sequence:        1,
		Slots:           3,
		ConnectionLimit: 30,
		Load:            0.25,
		Uptime:          time.Minute,
		Served:          []ServedSnapshot{{Archive: "counter", Snapshot: "v1", ShardCount: 10, Shards: []int{1}}},
	}
}

// run advances the simulation by d.
func (sim *simulation) run(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); sim.steps++ {
		sim.now = sim.now.Add(stepTime)
		if !sim.faultsOff {
			sim.injectFault()
		}
		sim.sendAnnouncements()
		sim.requestShares()
		sim.deliver()
		sim.checkHosts()
	}
}

// injectFault draws at most one fault or change of a server or a host.
func (sim *simulation) injectFault() {
	s := rapid.SampledFrom(sim.servers).Draw(sim.t, "server")
	host := rapid.IntRange(0, len(sim.tables)-1).Draw(sim.t, "host")
	switch rapid.IntRange(0, 40).Draw(sim.t, "event") {
	case 0:
		if !s.Draining && !s.silent {
			s.Draining = true
			s.unavailableSince = sim.now
		}
	case 1:
		if !s.silent && s.unavailableSince.IsZero() {
			s.unavailableSince = sim.now
		}
		s.silent = true
	case 2:
		s.Incarnation++
		s.Sequence = 0
		s.Draining, s.silent = false, false
		s.unavailableSince = time.Time{}
	case 3:
		served := s.Served[0]
		served.Snapshot = "v" + fmt.Sprint(rapid.IntRange(1, 3).Draw(sim.t, "snapshot"))
		s.Served = []ServedSnapshot{served}
	case 4, 5:
		sim.cutOff[host] = true
	case 6, 7:
		sim.cutOff[host] = false
	case 8, 9, 10, 11:
		sim.checkReplay(host)
	case 12:
		sim.restartHost(host)
	}
}

// restartHost replaces the process of a host, which loses its table and all replies
// from and to it. The host and its peers request from 0 again.
func (sim *simulation) restartHost(host int) {
	sim.tables[host] = &Table{minSummaryOverride: sim.minSummaryServers}
	sim.usableHistory[host] = map[string]lastUsable{}
	for peer := range sim.tables {
		sim.lastShared[host][peer] = 0
		sim.lastShared[peer][host] = 0
	}
	sim.repliesInTransit = slices.DeleteFunc(sim.repliesInTransit, func(r shareReply) bool { return r.to == host || r.from == host })
}

// isLater compares announcements like Newer, but independently of the code under
// test.
func isLater(a Announcement, incarnation, sequence uint64) bool {
	return a.Incarnation > incarnation || (a.Incarnation == incarnation && a.Sequence > sequence)
}

// checkReplay repeats an old announcement to a host that knows it or a later one,
// which must change nothing there.
func (sim *simulation) checkReplay(host int) {
	if len(sim.sentAnnouncements) == 0 {
		return
	}
	a := rapid.SampledFrom(sim.sentAnnouncements).Draw(sim.t, "replayed")
	r, ok := sim.tables[host].records[a.ServerName]
	if !ok || isLater(a, r.Incarnation, r.Sequence) {
		return
	}
	before, version, number := r.Server, sim.tables[host].usableVersion, sim.tables[host].lastShareNumber
	err := sim.tables[host].ApplyAnnouncement(sim.now, a)
	after := r.Server
	if err == nil || before.LeaseEnd != after.LeaseEnd || before.Sequence != after.Sequence ||
		before.Incarnation != after.Incarnation || before.Draining != after.Draining ||
		version != sim.tables[host].usableVersion || number != sim.tables[host].lastShareNumber {
		sim.t.Fatalf("replay of %s %d/%d changed host %d: %v", a.ServerName, a.Incarnation, a.Sequence, host, err)
	}
}

// sendAnnouncements makes each server announce itself every 500 ms.
func (sim *simulation) sendAnnouncements() {
	for _, s := range sim.servers {
		if s.silent || (sim.steps+s.stepOffset)%10 != 0 {
			continue
		}
		s.Sequence++
		s.Uptime += 10 * stepTime
		sim.sentAnnouncements = append(sim.sentAnnouncements, s.Announcement)
		if len(sim.sentAnnouncements) > 64 {
			sim.sentAnnouncements = sim.sentAnnouncements[1:]
		}
		sim.sendAnnouncement(s.Announcement)
		if !sim.faultsOff && rapid.IntRange(0, 9).Draw(sim.t, "duplicate") == 0 {
			sim.sendAnnouncement(s.Announcement)
		}
	}
}

// sendAnnouncement sends an announcement to one host; it may be lost or delayed.
func (sim *simulation) sendAnnouncement(a Announcement) {
	host := rapid.IntRange(0, len(sim.tables)-1).Draw(sim.t, "receiver")
	m := announcementInTransit{arrivesAt: sim.now, host: host, announcement: a}
	if !sim.faultsOff {
		switch rapid.IntRange(0, 9).Draw(sim.t, "fate") {
		case 0:
			return
		case 1, 2:
			m.arrivesAt = m.arrivesAt.Add(time.Duration(rapid.Int64Range(1, int64(maxAnnouncementDelay)).Draw(sim.t, "delay")))
		}
	}
	sim.announcementsInTransit = append(sim.announcementsInTransit, m)
}

// requestShares makes each host request the changes from each peer every 250 ms,
// and everything from one peer when its table needs a repair.
func (sim *simulation) requestShares() {
	for to, table := range sim.tables {
		if sim.cutOff[to] {
			continue
		}
		if (sim.steps+to)%5 == 0 {
			for from := range sim.tables {
				sim.requestShare(to, from, sim.lastShared[to][from])
			}
		}
		if table.NeedsRepair(sim.now) {
			sim.requestShare(to, (to+1+sim.steps%(len(sim.tables)-1))%len(sim.tables), 0)
		}
	}
}

// requestShare sends a Share request of the host to to the host from; the request
// or its reply may be lost or delayed.
func (sim *simulation) requestShare(to, from int, since uint64) {
	if to == from || sim.cutOff[from] {
		return
	}
	r := shareReply{arrivesAt: sim.now, sentAt: sim.now, to: to, from: from}
	if !sim.faultsOff {
		switch rapid.IntRange(0, 9).Draw(sim.t, "answer") {
		case 0:
			return
		case 1:
			r.arrivesAt = sim.now.Add(time.Duration(rapid.Int64Range(1, int64(6*time.Second)).Draw(sim.t, "delay")))
		case 2:
			// The request waited before it was answered.
			r.sentAt = sim.now.Add(-time.Duration(rapid.Int64Range(1, int64(3*time.Second)).Draw(sim.t, "wait")))
		}
	}
	r.last, r.shared = sim.tables[from].Share(sim.now, since)
	sim.repliesInTransit = append(sim.repliesInTransit, r)
}

// deliver hands the announcements and replies that have arrived to their hosts.
func (sim *simulation) deliver() {
	announcements := sim.announcementsInTransit
	sim.announcementsInTransit = nil
	for _, m := range announcements {
		if m.arrivesAt.After(sim.now) {
			sim.announcementsInTransit = append(sim.announcementsInTransit, m)
			continue
		}
		_ = sim.tables[m.host].ApplyAnnouncement(sim.now, m.announcement)
		for _, s := range sim.servers {
			if s.ServerName == m.announcement.ServerName {
				s.lastArrivalAt = sim.now
			}
		}
	}
	replies := sim.repliesInTransit
	sim.repliesInTransit = nil
	for _, r := range replies {
		if r.arrivesAt.After(sim.now) {
			sim.repliesInTransit = append(sim.repliesInTransit, r)
			continue
		}
		if err := sim.tables[r.to].Merge(r.sentAt, r.shared...); err != nil {
			sim.t.Fatalf("host %d merges from %d: %v", r.to, r.from, err)
		}
		sim.lastShared[r.to][r.from] = max(sim.lastShared[r.to][r.from], r.last)
	}
}

// checkHosts fails the test if a host uses a server that it must not use.
func (sim *simulation) checkHosts() {
	for host, table := range sim.tables {
		usable := map[string]Server{}
		for _, s := range table.Usable(sim.now) {
			usable[s.ServerName] = s
		}
		for _, s := range sim.servers {
			known, ok := usable[s.ServerName]
			sim.checkServer(host, s, known, ok)
		}
	}
}

// checkServer fails the test if a host uses a server again without a newer
// announcement, for longer than its lease or after it left.
func (sim *simulation) checkServer(host int, s *simulatedServer, known Server, usable bool) {
	last := sim.usableHistory[host][s.ServerName]
	if !usable {
		last.usable = false
		sim.usableHistory[host][s.ServerName] = last
		return
	}
	if !last.usable && !isLater(known.Announcement, last.incarnation, last.sequence) {
		sim.t.Fatalf("host %d resurrected %s with %d/%d after %d/%d", host, s.ServerName,
			known.Incarnation, known.Sequence, last.incarnation, last.sequence)
	}
	sim.usableHistory[host][s.ServerName] = lastUsable{true, known.Incarnation, known.Sequence}
	if end := s.lastArrivalAt.Add(LeaseDuration); known.LeaseEnd.After(end) {
		sim.t.Fatalf("host %d: lease of %s ends %s after the latest possible time", host, s.ServerName,
			known.LeaseEnd.Sub(end))
	}
	if known.Incarnation == s.Incarnation && !s.unavailableSince.IsZero() && sim.now.Sub(s.unavailableSince) >= stopUseLimit {
		sim.t.Fatalf("host %d uses %s %s after it left", host, s.ServerName, sim.now.Sub(s.unavailableSince))
	}
}

// TestTablesAgree guards against a server that becomes usable again by old,
// reordered or replayed announcements, against a host, cut off or not, that still
// uses a server 3 s after it left, and against hosts that do not find a server
// again once the links work.
func TestTablesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		sim.run(time.Duration(rapid.IntRange(2, 12).Draw(t, "seconds")) * time.Second)
		sim.faultsOff = true
		for i := range sim.cutOff {
			sim.cutOff[i] = false
		}
		// Replies may be 6 s late; a restart may hold a server back.
		sim.run(9 * time.Second)
		for host, table := range sim.tables {
			for _, s := range sim.servers {
				known, _ := table.Get(s.ServerName)
				held := known.HeldUntil.After(sim.now)
				want := !s.silent && !s.Draining && !held
				var got *Server
				for _, u := range table.Usable(sim.now) {
					if u.ServerName == s.ServerName {
						got = &u
					}
				}
				if (got != nil) != want {
					t.Fatalf("host %d: %s usable: %v, want %v", host, s.ServerName, got != nil, want)
				}
				if want && (got.Incarnation != s.Incarnation || !sameContent(got.Announcement, s.Announcement)) {
					t.Fatalf("host %d knows %+v, the server is %+v", host, got.Announcement, s.Announcement)
				}
			}
		}
	})
}
