package server

import (
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"gentianpond/internal/control/replicator"
	"gentianpond/internal/control/subscriber"
	"gentianpond/internal/protocol/messenger"
)

// readBack retries until each running host returns the document with the version and the
// text.
func (g *openGroup) readBack(version uint64, text string) {
	for a, n := range g.running {
		require.Eventually(g.t, func() bool {
			v, data, err := n.server.Read(g.t.Context())
			return err == nil && v == version && string(data) == text
		}, waitTimeout, 20*time.Millisecond, "version %d at %s", version, a)
	}
}

// documentOf returns the text of the document that a watcher has received.
func documentOf(w *subscriber.Watcher) string { return string(w.State().Document) }

// TestVersionZero guards against a first routing document of version 0 that is acknowledged
// and lost: not stored, or forgotten by a restart, a lost leader, a lost disk or a snapshot.
func TestVersionZero(t *testing.T) {
	g := newOpenGroup(t)
	for _, a := range g.seeds {
		g.start(a, true)
	}
	leader := g.waitForLeader(g.servers())
	early := g.startWatcher("early", g.seeds)
	g.publish(g.running[g.seeds[0]].server, 0, "zero")
	g.readBack(0, "zero")
	require.Eventually(t, func() bool { return documentOf(early) == "zero" }, waitTimeout, 10*time.Millisecond, "the host had no document")

	// It is sent again, with other content too.
	g.publish(g.running[g.seeds[1]].server, 0, "zero")
	g.publish(g.running[g.seeds[2]].server, 0, "other")
	g.readBack(0, "zero")

	// The leader is lost, and then its disk.
	g.kill(leader)
	g.waitForLeader(g.servers())
	g.readBack(0, "zero")
	g.wipe(leader)
	g.start(leader, false)
	g.waitForVoters(g.running[leader].server, g.seeds...)
	g.readBack(0, "zero")

	// All hosts restart, from the log and from snapshots.
	for range 2 {
		for _, a := range g.seeds {
			g.stop(a)
		}
		for _, a := range g.seeds {
			g.startWith(a, func(s *Settings) { s.SnapshotEvery = 1 })
		}
		g.readBack(0, "zero")
	}
	late := g.startWatcher("late", g.seeds)
	require.Eventually(t, func() bool { return documentOf(late) == "zero" }, waitTimeout, 10*time.Millisecond)

	g.publish(g.running[g.seeds[0]].server, 1, "one")
	g.readBack(1, "one")
	g.publish(g.running[g.seeds[1]].server, 0, "zero")
	g.readBack(1, "one")
	for _, w := range []*subscriber.Watcher{early, late} {
		require.Eventually(t, func() bool { return documentOf(w) == "one" }, waitTimeout, 10*time.Millisecond)
	}
}

// TestVersionZeroRace guards against two first documents of version 0 that are read back in
// turn.
func TestVersionZeroRace(t *testing.T) {
	g := newOpenGroup(t)
	for _, a := range g.seeds {
		g.start(a, true)
	}
	g.waitForLeader(g.servers())
	var group sync.WaitGroup
	for i, s := range g.servers() {
		group.Go(func() { g.publish(s, 0, string(rune('a'+i))) })
	}
	group.Wait()
	var texts []string
	for _, s := range g.servers() {
		_, data, err := s.Read(t.Context())
		require.NoError(t, err)
		texts = append(texts, string(data))
	}
	require.Equal(t, texts[0], texts[1])
	require.Equal(t, texts[0], texts[2])
	require.NotEmpty(t, texts[0])
}

// TestFormats guards against a routing document of version 0 that is stored while a member
// would not keep it, and against one that is refused because of a member that is lost. A line of
// the script is "member format silence", with the format "?" for one that has not been heard of;
// the first is this host.
func TestFormats(t *testing.T) {
	datadriven.RunTest(t, "testdata/formats", func(t *testing.T, d *datadriven.TestData) string {
		f, s := formats{}, replicator.Status{}
		for line := range strings.Lines(d.Input) {
			words := strings.Fields(line)
			id := uint64(len(s.Members) + 1)
			silence, err := time.ParseDuration(words[2])
			require.NoError(t, err)
			s.Members = append(s.Members, replicator.MemberStatus{Member: replicator.Member{ID: id, Name: words[0], Voter: true}, Silence: silence})
			if format, err := strconv.ParseUint(words[1], 10, 32); err == nil {
				f.record(id, uint32(format), s.Members)
			}
		}
		s.ID = 1
		if err := f.check(s); err != nil {
			return status.Code(err).String() + ": " + err.Error() + "\n"
		}
		return "stored\n"
	})
}

// TestManyFormats guards against memory that grows with the hosts that send a request, and
// against members that are forgotten for them.
func TestManyFormats(t *testing.T) {
	f, s := formats{}, replicator.Status{Members: []replicator.MemberStatus{{Member: replicator.Member{ID: 7}}}}
	f.record(7, stateFormat, s.Members)
	for id := range uint64(10 * maxHellos) {
		f.record(100+id, 0, s.Members)
		require.LessOrEqual(t, len(f), maxHellos+1)
		require.NoError(t, f.check(s))
	}
}

// earlier makes a member of the group one of an earlier build, as far as the others can tell,
// which has dropped a document of version 0 from its state.
func (g *openGroup) earlier(a netip.AddrPort) {
	done := make(chan error)
	g.running[a].server.events <- func(l *loop) {
		data, err := l.keeper.Snapshot()
		var state messenger.KeeperState
		if err == nil {
			err = proto.Unmarshal(data, &state)
		}
		if err == nil {
			state.Routing = nil
			data, err = proto.Marshal(&state)
		}
		if err == nil {
			err = l.keeper.Restore(data)
		}
		done <- err
	}
	require.NoError(g.t, <-done)
}

// TestVersionZeroAfterEarlierBuild guards against a member that runs an earlier build for a
// time and lacks the document of version 0 from then on.
func TestVersionZeroAfterEarlierBuild(t *testing.T) {
	g := newOpenGroup(t)
	for _, a := range g.seeds {
		g.start(a, true)
	}
	leader := g.waitForLeader(g.servers())
	g.publish(g.running[leader].server, 0, "zero")
	for _, a := range g.seeds {
		if a == leader {
			continue
		}
		g.earlier(a)
		g.running[leader].server.events <- func(l *loop) {
			l.recordFormat(&messenger.ExchangeRequest{From: a.Addr().String(), FromIncarnation: l.hellos[a.Addr().String()].id})
		}
	}
	has := func(a netip.AddrPort) bool {
		found := make(chan bool)
		g.running[a].server.events <- func(l *loop) {
			_, packed, ok := l.keeper.RoutingDocument()
			found <- ok && len(packed) > 0
		}
		return <-found
	}
	for _, a := range g.seeds {
		require.Eventually(t, func() bool { return has(a) }, waitTimeout, 20*time.Millisecond)
	}
	g.stop(leader)
	g.waitForLeader(g.servers())
	g.readBack(0, "zero")
}

// TestWatchOfEarlierBuild guards against an entry host of an earlier build that is sent a
// document of version 0 without end, because it counts as one that has none.
func TestWatchOfEarlierBuild(t *testing.T) {
	g := newOpenGroup(t)
	for _, a := range g.seeds {
		g.start(a, true)
	}
	s := g.running[g.waitForLeader(g.servers())].server
	g.publish(s, 0, "zero")
	watch := func(holding messenger.Holding, registry uint64) *messenger.WatchReply {
		reply, err := (&service{server: s}).Watch(t.Context(), &messenger.WatchRequest{
			Host: "h", Incarnation: 1, Holding: holding, Registry: registry, Wait: durationpb.New(50 * time.Millisecond),
		})
		require.NoError(t, err)
		require.True(t, reply.GetGranted())
		return reply
	}
	require.NotEmpty(t, watch(messenger.Holding_HOLDING_NONE, 0).GetPacked())
	require.Empty(t, watch(messenger.Holding_HOLDING_DOCUMENT, 0).GetPacked())
	require.Empty(t, watch(messenger.Holding_HOLDING_UNKNOWN, 0).GetPacked())
	require.Empty(t, watch(messenger.Holding_HOLDING_UNKNOWN, 1).GetPacked())
	g.publish(s, 1, "one")
	for holding := range messenger.Holding_name {
		require.NotEmpty(t, watch(messenger.Holding(holding), 0).GetPacked())
	}
}
