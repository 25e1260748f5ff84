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
	step = 50 * time.Millisecond
	// late is the longest delay of an announcement that is not a replay; the
	// sender gives up after one period.
	late = 500 * time.Millisecond
	// bound is the time within which every host stops using a server that
	// drains or goes silent.
	bound = 3 * time.Second
)

var epoch = time.Date(2025, 6, 1, 12, 0, 0, 0, time.UTC)

// fakeServer is a backend server that follows the announcement protocol.
type fakeServer struct {
	Announcement
	silent bool
	// goneAt is when the server began to drain or went silent, zero if it is
	// available.
	goneAt time.Time
	// heardAt is when an announcement last reached any host.
	heardAt time.Time
	// phase is the step within the period at which it announces itself.
	phase int
}

// letter is an announcement on its way to a host.
type letter struct {
	at   time.Time
	host int
	a    Announcement
}

// reply is an answer to a Share request on its way back.
type reply struct {
	at, sentAt time.Time
	to, from   int
	last       uint64
	shared     []*messenger.Shared
}

// sight is what a host last knew of a server while the server was usable.
type sight struct {
	usable                bool
	incarnation, sequence uint64
}

// world runs several tables that share with each other over links that lose,
// delay and are cut.
type world struct {
	t       *rapid.T
	now     time.Time
	steps   int
	tables  []*Table
	since   [][]uint64
	cut     []bool
	servers []*fakeServer
	letters []letter
	sent    []Announcement
	replies []reply
	sights  []map[string]sight
	calm    bool
	// least is the number of draining servers that make a zone summary.
	least int
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: epoch, least: rapid.IntRange(1, 3).Draw(t, "summary")}
	hosts := rapid.IntRange(2, 4).Draw(t, "hosts")
	for range hosts {
		w.tables = append(w.tables, &Table{summaryLeast: w.least})
		w.since = append(w.since, make([]uint64, hosts))
		w.cut = append(w.cut, false)
		w.sights = append(w.sights, map[string]sight{})
	}
	for i := range rapid.IntRange(1, 3).Draw(t, "servers") {
		s := &fakeServer{Announcement: example(fmt.Sprintf("server-%d", i)), phase: i}
		s.Sequence = 0
		w.servers = append(w.servers, s)
	}
	return w
}

func example(name string) Announcement {
	return Announcement{
		Server:      name,
		Address:     netip.MustParseAddrPort("127.0.0.1:7001"),
		Zone:        "north",
		Incarnation: 1,
		Sequence:    1,
		Slots:       3,
		Connections: 30,
		Load:        0.25,
		Uptime:      time.Minute,
		Served:      []Served{{Archive: "counter", Snapshot: "v1", Count: 10, Shards: []int{1}}},
	}
}

// run advances the world by d.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.steps++ {
		w.now = w.now.Add(step)
		if !w.calm {
			w.event()
		}
		w.announce()
		w.pull()
		w.deliver()
		w.check()
	}
}

// event draws one disturbance.
func (w *world) event() {
	s := rapid.SampledFrom(w.servers).Draw(w.t, "server")
	host := rapid.IntRange(0, len(w.tables)-1).Draw(w.t, "host")
	switch rapid.IntRange(0, 40).Draw(w.t, "event") {
	case 0:
		if !s.Draining && !s.silent {
			s.Draining = true
			s.goneAt = w.now
		}
	case 1:
		if !s.silent && s.goneAt.IsZero() {
			s.goneAt = w.now
		}
		s.silent = true
	case 2:
		s.Incarnation++
		s.Sequence = 0
		s.Draining, s.silent = false, false
		s.goneAt = time.Time{}
	case 3:
		served := s.Served[0]
		served.Snapshot = "v" + fmt.Sprint(rapid.IntRange(1, 3).Draw(w.t, "snapshot"))
		s.Served = []Served{served}
	case 4, 5:
		w.cut[host] = true
	case 6, 7:
		w.cut[host] = false
	case 8, 9, 10, 11:
		w.replay(host)
	case 12:
		w.restart(host)
	}
}

// restart replaces the process of a host, which loses its table and every
// reply from and to it; its peers start again from 0.
func (w *world) restart(host int) {
	w.tables[host] = &Table{summaryLeast: w.least}
	w.sights[host] = map[string]sight{}
	for peer := range w.tables {
		w.since[host][peer] = 0
		w.since[peer][host] = 0
	}
	w.replies = slices.DeleteFunc(w.replies, func(r reply) bool { return r.to == host || r.from == host })
}

// later states the order of announcements apart from the code under test.
func later(a Announcement, incarnation, sequence uint64) bool {
	return a.Incarnation > incarnation || (a.Incarnation == incarnation && a.Sequence > sequence)
}

// replay sends an old announcement to a host that knows of it or of a later
// one, which must change nothing there.
func (w *world) replay(host int) {
	if len(w.sent) == 0 {
		return
	}
	a := rapid.SampledFrom(w.sent).Draw(w.t, "replayed")
	r, ok := w.tables[host].records[a.Server]
	if !ok || later(a, r.Incarnation, r.Sequence) {
		return
	}
	before, version, number := r.Server, w.tables[host].version, w.tables[host].number
	err := w.tables[host].Announce(w.now, a)
	after := r.Server
	if err == nil || before.LeaseEnd != after.LeaseEnd || before.Sequence != after.Sequence ||
		before.Incarnation != after.Incarnation || before.Draining != after.Draining ||
		version != w.tables[host].version || number != w.tables[host].number {
		w.t.Fatalf("replay of %s %d/%d changed host %d: %v", a.Server, a.Incarnation, a.Sequence, host, err)
	}
}

// announce lets each server announce itself every 500 ms.
func (w *world) announce() {
	for _, s := range w.servers {
		if s.silent || (w.steps+s.phase)%10 != 0 {
			continue
		}
		s.Sequence++
		s.Uptime += 10 * step
		w.sent = append(w.sent, s.Announcement)
		if len(w.sent) > 64 {
			w.sent = w.sent[1:]
		}
		w.post(s.Announcement)
		if !w.calm && rapid.IntRange(0, 9).Draw(w.t, "duplicate") == 0 {
			w.post(s.Announcement)
		}
	}
}

func (w *world) post(a Announcement) {
	host := rapid.IntRange(0, len(w.tables)-1).Draw(w.t, "receiver")
	l := letter{at: w.now, host: host, a: a}
	if !w.calm {
		switch rapid.IntRange(0, 9).Draw(w.t, "fate") {
		case 0:
			return
		case 1, 2:
			l.at = l.at.Add(time.Duration(rapid.Int64Range(1, int64(late)).Draw(w.t, "delay")))
		}
	}
	w.letters = append(w.letters, l)
}

// pull lets each host ask each peer every 250 ms, and one peer for everything
// when its table wants a repair.
func (w *world) pull() {
	for to, table := range w.tables {
		if w.cut[to] {
			continue
		}
		if (w.steps+to)%5 == 0 {
			for from := range w.tables {
				w.ask(to, from, w.since[to][from])
			}
		}
		if table.Repair(w.now) {
			w.ask(to, (to+1+w.steps%(len(w.tables)-1))%len(w.tables), 0)
		}
	}
}

func (w *world) ask(to, from int, since uint64) {
	if to == from || w.cut[from] {
		return
	}
	r := reply{at: w.now, sentAt: w.now, to: to, from: from}
	if !w.calm {
		switch rapid.IntRange(0, 9).Draw(w.t, "answer") {
		case 0:
			return
		case 1:
			r.at = w.now.Add(time.Duration(rapid.Int64Range(1, int64(6*time.Second)).Draw(w.t, "delay")))
		case 2:
			// The request waited before it was answered.
			r.sentAt = w.now.Add(-time.Duration(rapid.Int64Range(1, int64(3*time.Second)).Draw(w.t, "wait")))
		}
	}
	r.last, r.shared = w.tables[from].Share(w.now, since)
	w.replies = append(w.replies, r)
}

func (w *world) deliver() {
	letters := w.letters
	w.letters = nil
	for _, l := range letters {
		if l.at.After(w.now) {
			w.letters = append(w.letters, l)
			continue
		}
		_ = w.tables[l.host].Announce(w.now, l.a)
		for _, s := range w.servers {
			if s.Server == l.a.Server {
				s.heardAt = w.now
			}
		}
	}
	replies := w.replies
	w.replies = nil
	for _, r := range replies {
		if r.at.After(w.now) {
			w.replies = append(w.replies, r)
			continue
		}
		if err := w.tables[r.to].Merge(r.sentAt, r.shared...); err != nil {
			w.t.Fatalf("host %d merges from %d: %v", r.to, r.from, err)
		}
		w.since[r.to][r.from] = max(w.since[r.to][r.from], r.last)
	}
}

// check tests what must hold at every moment.
func (w *world) check() {
	for host, table := range w.tables {
		usable := map[string]Server{}
		for _, s := range table.Usable(w.now) {
			usable[s.Server] = s
		}
		for _, s := range w.servers {
			known, ok := usable[s.Server]
			w.checkServer(host, s, known, ok)
		}
	}
}

func (w *world) checkServer(host int, s *fakeServer, known Server, usable bool) {
	last := w.sights[host][s.Server]
	if !usable {
		last.usable = false
		w.sights[host][s.Server] = last
		return
	}
	if !last.usable && !later(known.Announcement, last.incarnation, last.sequence) {
		w.t.Fatalf("host %d resurrected %s with %d/%d after %d/%d", host, s.Server,
			known.Incarnation, known.Sequence, last.incarnation, last.sequence)
	}
	w.sights[host][s.Server] = sight{true, known.Incarnation, known.Sequence}
	if end := s.heardAt.Add(Lease); known.LeaseEnd.After(end) {
		w.t.Fatalf("host %d: lease of %s ends %s after the latest possible time", host, s.Server,
			known.LeaseEnd.Sub(end))
	}
	if known.Incarnation == s.Incarnation && !s.goneAt.IsZero() && w.now.Sub(s.goneAt) >= bound {
		w.t.Fatalf("host %d uses %s %s after it left", host, s.Server, w.now.Sub(s.goneAt))
	}
}

// TestTablesAgree guards against a server that old, reordered or replayed
// announcements bring back, against a lease that outlives the server by more
// than 3 s on any host, cut off or not, and against hosts that do not find a
// server again once links work.
func TestTablesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.run(time.Duration(rapid.IntRange(2, 12).Draw(t, "seconds")) * time.Second)
		w.calm = true
		for i := range w.cut {
			w.cut[i] = false
		}
		// Replies may be 6 s late; a restart may hold a server back.
		w.run(9 * time.Second)
		for host, table := range w.tables {
			for _, s := range w.servers {
				known, _ := table.Get(s.Server)
				held := known.HeldUntil.After(w.now)
				want := !s.silent && !s.Draining && !held
				var got *Server
				for _, u := range table.Usable(w.now) {
					if u.Server == s.Server {
						got = &u
					}
				}
				if (got != nil) != want {
					t.Fatalf("host %d: %s usable: %v, want %v", host, s.Server, got != nil, want)
				}
				if want && (got.Incarnation != s.Incarnation || !sameContent(got.Announcement, s.Announcement)) {
					t.Fatalf("host %d knows %+v, the server is %+v", host, got.Announcement, s.Announcement)
				}
			}
		}
	})
}
