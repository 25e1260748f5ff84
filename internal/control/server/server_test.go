package server

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"gentianpond/internal/control/journaler"
	"gentianpond/internal/control/repairer"
	"gentianpond/internal/protocol/messenger"
)

// waitTimeout bounds every wait for something that must happen.
const waitTimeout = 20 * time.Second

// hostGroup is a set of control hosts on loopback.
type hostGroup struct {
	t             testing.TB
	root          string
	hosts         []repairer.Host
	running       map[string]*runningHost
	snapshotEvery uint64

	mutex    sync.Mutex
	isolated map[string]bool
}

// runningHost is one running control host.
type runningHost struct {
	cancel context.CancelFunc
	done   chan error
}

func newHostGroup(t testing.TB, names ...string) *hostGroup {
	g := &hostGroup{t: t, root: t.TempDir(), running: map[string]*runningHost{}, isolated: map[string]bool{}}
	for _, name := range names {
		g.hosts = append(g.hosts, repairer.Host{Name: name, Zone: "zone-" + name, Address: freeAddress(t)})
	}
	t.Cleanup(func() {
		for name := range g.running {
			require.NoError(t, g.stop(name))
		}
	})
	return g
}

// nextPort counts up from a port that differs between test processes. It stays below
// the range from which the system takes the ports of outgoing connections: one of
// those could take the port of a host that is restarting.
var nextPort atomic.Int64

func init() { nextPort.Store(10000 + int64(os.Getpid()%700)*30) }

func freeAddress(t testing.TB) netip.AddrPort {
	for {
		addr := fmt.Sprintf("127.0.0.1:%d", nextPort.Add(1))
		if l, err := net.Listen("tcp", addr); err == nil {
			require.NoError(t, l.Close())
			return netip.MustParseAddrPort(addr)
		}
	}
}

func (g *hostGroup) settings(name string) Settings {
	s := Settings{Name: name, Zone: "zone-" + name, Data: filepath.Join(g.root, name), Hosts: g.hosts, SnapshotEvery: g.snapshotEvery}
	h, _ := s.hostByName(name)
	s.Inner = h.Address
	s.DialOptions = []grpc.DialOption{grpc.WithUnaryInterceptor(g.failWhenIsolated(name))}
	return s
}

// failWhenIsolated returns an interceptor that fails the messages of the replicated
// log from and to isolated hosts.
func (g *hostGroup) failWhenIsolated(from string) grpc.UnaryClientInterceptor {
	return func(ctx context.Context, method string, request, reply any, conn *grpc.ClientConn, invoke grpc.UnaryInvoker, options ...grpc.CallOption) error {
		if r, ok := request.(*messenger.ExchangeRequest); ok {
			g.mutex.Lock()
			isolated := g.isolated[from] || g.isolated[r.GetTo()]
			g.mutex.Unlock()
			if isolated {
				return status.Error(codes.Unavailable, "cut off")
			}
		}
		return invoke(ctx, method, request, reply, conn, options...)
	}
}

func (g *hostGroup) setIsolated(name string, isolated bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.isolated[name] = isolated
}

func (g *hostGroup) form(name string) {
	require.NoError(g.t, Form(g.t.Context(), g.settings(name), FormOptions{}, testLogger()))
}

// testLogger discards log lines unless the tests run with -v.
func testLogger() *log.Logger {
	if testing.Verbose() {
		return log.New(os.Stderr)
	}
	return log.New(io.Discard)
}

func (g *hostGroup) start(names ...string) {
	for _, name := range names {
		s, err := New(g.settings(name), testLogger().With("at", name), tally.NoopScope)
		require.NoError(g.t, err)
		g.run(name, s)
	}
}

func (g *hostGroup) run(name string, s *Server) {
	ctx, cancel := context.WithCancel(context.Background())
	n := &runningHost{cancel: cancel, done: make(chan error, 1)}
	go func() { n.done <- s.Run(ctx) }()
	g.running[name] = n
}

func (g *hostGroup) stop(name string) error {
	n := g.running[name]
	delete(g.running, name)
	n.cancel()
	return <-n.done
}

func (g *hostGroup) client(name string) messenger.ControlClient {
	h, ok := (&Settings{Hosts: g.hosts}).hostByName(name)
	require.True(g.t, ok)
	conn, err := messenger.Dial(h.Address)
	require.NoError(g.t, err)
	g.t.Cleanup(func() { _ = conn.Close() })
	return messenger.NewControlClient(conn)
}

func (g *hostGroup) status(name string) *messenger.StatusReply {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	reply, err := g.client(name).Status(ctx, &messenger.StatusRequest{})
	if err != nil {
		return nil
	}
	return reply
}

// waitForLeader waits until a host leads exactly this number of voters.
func (g *hostGroup) waitForLeader(voters int) (leader string) {
	g.waitFor(fmt.Sprintf("a leader of %d voters", voters), func() bool {
		for name := range g.running {
			s := g.status(name)
			n := 0
			for _, v := range s.GetVoters() {
				if v.GetVoter() {
					n++
				}
			}
			if s.GetRole() == "leader" && n == voters && len(s.GetVoters()) == voters {
				leader = name
				return true
			}
		}
		return false
	})
	return leader
}

func (g *hostGroup) waitFor(what string, ok func() bool) {
	deadline := time.Now().Add(waitTimeout)
	for !ok() {
		require.True(g.t, time.Now().Before(deadline), "timed out waiting for %s", what)
		time.Sleep(20 * time.Millisecond)
	}
}

// changeSection replaces the section of a team at the leader.
func (g *hostGroup) changeSection(leader, id, team string, version uint64) *messenger.ChangeReply {
	reply, err := g.client(leader).Change(g.t.Context(), changeRequest(id, team, version))
	require.NoError(g.t, err)
	return reply
}

func changeRequest(id, team string, version uint64) *messenger.ChangeRequest {
	return &messenger.ChangeRequest{Id: id, Team: team, Version: version, Section: []byte("{} // " + id + "\n"), Author: "test"}
}

func (g *hostGroup) show(name string) *messenger.ShowReply {
	reply, err := g.client(name).Show(g.t.Context(), &messenger.ShowRequest{})
	require.NoError(g.t, err)
	return reply
}

// startGroup starts a group of three hosts and returns it with its leader.
func startGroup(t testing.TB) (*hostGroup, string) {
	g := newHostGroup(t, "a", "b", "c")
	g.start("b", "c")
	g.waitFor("the waiting hosts", func() bool { return g.status("b") != nil && g.status("c") != nil })
	g.form("a")
	g.start("a")
	return g, g.waitForLeader(3)
}

// Guards against losing an accepted change with its leader, and against another host
// that replies as if it were the leader.
func TestChangeSurvivesLeader(t *testing.T) {
	t.Parallel()
	g, leader := startGroup(t)
	require.Equal(t, "accepted", g.changeSection(leader, "one", "team", 0).GetCode())
	for name := range g.running {
		reply := g.show(name)
		require.Equal(t, name == leader, reply.GetGranted())
		if name != leader {
			h, _ := (&Settings{Hosts: g.hosts}).hostByName(leader)
			require.Equal(t, h.Address.String(), reply.GetLeader())
		}
	}
	require.NoError(t, g.stop(leader))
	var next string
	g.waitFor("another leader", func() bool {
		for name := range g.running {
			if s := g.status(name); s.GetRole() == "leader" {
				next = name
			}
		}
		return next != ""
	})
	require.Equal(t, uint64(1), g.show(next).GetRevision())
	require.True(t, g.changeSection(next, "one", "team", 0).GetRepeat())
	require.Equal(t, "conflict", g.changeSection(next, "two", "team", 0).GetCode())
	require.Equal(t, "accepted", g.changeSection(next, "three", "team", 1).GetCode())
}

// Guards against a host that lost its disk and is not added again, or votes under its
// old identity, and against a group that cannot lose a second host after the repair.
func TestLostDiskIsReplaced(t *testing.T) {
	t.Parallel()
	g, leader := startGroup(t)
	require.Equal(t, "accepted", g.changeSection(leader, "one", "team", 0).GetCode())
	lost, other := otherHosts(g, leader)
	old := incarnationOf(g.status(leader), lost)
	require.NoError(t, g.stop(lost))
	require.NoError(t, os.RemoveAll(filepath.Join(g.root, lost)))
	g.start(lost)
	g.waitFor("the new identity to vote", func() bool {
		s := g.status(leader)
		return len(s.GetVoters()) == 3 && incarnationOf(s, lost) != old && isVoter(s, lost)
	})
	require.NoError(t, g.stop(other))
	require.Equal(t, "accepted", g.changeSection(leader, "two", "team", 1).GetCode())
	require.NoError(t, g.stop(leader))
	g.start(other)
	next := g.waitForLeader(3)
	require.Equal(t, uint64(2), g.show(next).GetRevision())
}

func otherHosts(g *hostGroup, leader string) (string, string) {
	var names []string
	for _, h := range g.hosts {
		if h.Name != leader {
			names = append(names, h.Name)
		}
	}
	return names[0], names[1]
}

func incarnationOf(s *messenger.StatusReply, name string) uint64 {
	for _, v := range s.GetVoters() {
		if v.GetName() == name {
			return v.GetIncarnation()
		}
	}
	return 0
}

func isVoter(s *messenger.StatusReply, name string) bool {
	for _, v := range s.GetVoters() {
		if v.GetName() == name {
			return v.GetVoter()
		}
	}
	return false
}

// Guards against changes that are lost in a restart of all hosts after some snapshots,
// and against a slow restart.
func TestRestartAfterManyChanges(t *testing.T) {
	t.Parallel()
	g := newHostGroup(t, "a", "b", "c")
	g.snapshotEvery = 200
	g.start("b", "c")
	g.waitFor("the waiting hosts", func() bool { return g.status("b") != nil && g.status("c") != nil })
	g.form("a")
	g.start("a")
	leader := g.waitForLeader(3)
	var teams errgroup.Group
	for i := range 10 {
		c := g.client(leader)
		teams.Go(func() error {
			for version := range uint64(50) {
				reply, err := c.Change(t.Context(), changeRequest(fmt.Sprint("id-", i, "-", version), fmt.Sprint("team-", i), version))
				if err != nil || reply.GetCode() != "accepted" {
					return fmt.Errorf("change %d of team %d: %v, %w", version, i, reply, err)
				}
			}
			return nil
		})
	}
	require.NoError(t, teams.Wait())
	for _, h := range g.hosts {
		require.NoError(t, g.stop(h.Name))
	}
	begin := time.Now()
	g.start("a", "b", "c")
	t.Logf("opened three folders in %s", time.Since(begin))
	leader = g.waitForLeader(3)
	t.Logf("a leader after %s", time.Since(begin))
	reply := g.show(leader)
	require.Equal(t, uint64(500), reply.GetRevision())
	require.Len(t, reply.GetSections(), 10)
	require.True(t, g.changeSection(leader, "id-9-49", "team-9", 49).GetRepeat())
}

// Guards against a partitioned leader that replies as if its state were current.
func TestIsolatedLeaderAnswersNothing(t *testing.T) {
	t.Parallel()
	g, leader := startGroup(t)
	c := g.client(leader)
	member := &messenger.Member{Name: "entry", Address: "127.0.0.1:1", Incarnation: 1}
	sync := func() *messenger.SyncReply {
		reply, err := c.Sync(t.Context(), &messenger.SyncRequest{Member: member})
		if err != nil {
			t.Error(err)
		}
		return reply
	}
	g.waitFor("a lease", func() bool { return sync().GetGranted() })
	// Both calls are made while the host still considers itself the leader.
	g.setIsolated(leader, true)
	lease := make(chan *messenger.SyncReply, 1)
	go func() { lease <- sync() }()
	require.False(t, g.show(leader).GetGranted(), "an isolated leader showed its configuration as current")
	require.False(t, (<-lease).GetGranted(), "an isolated leader granted a lease")
	g.setIsolated(leader, false)
	g.waitForLeader(3)
}

// Guards against a lease for a host outside the view or under another incarnation, and
// against a view that counts as settled too early.
func TestLeaseFollowsView(t *testing.T) {
	t.Parallel()
	g, leader := startGroup(t)
	c := g.client(leader)
	request := &messenger.SyncRequest{Member: &messenger.Member{Name: "entry", Zone: "z", Address: "127.0.0.1:1", Incarnation: 2}}
	sync := func() *messenger.SyncReply {
		reply, err := c.Sync(t.Context(), request)
		require.NoError(t, err)
		return reply
	}
	var reply *messenger.SyncReply
	g.waitFor("a lease", func() bool {
		reply = sync()
		require.Equal(t, len(reply.GetView().GetMembers()) == 1, reply.GetGranted(), "a lease needs a place in the view")
		return reply.GetGranted()
	})
	require.Equal(t, leaseDuration, reply.GetLease().AsDuration())
	require.False(t, reply.GetSettled(), "settled before the member released the view")
	request.Adopted, request.Released = reply.GetView().GetNumber(), reply.GetView().GetNumber()
	require.True(t, sync().GetSettled())
	request.Member.Incarnation = 1
	require.False(t, sync().GetGranted(), "lease for an older incarnation")
	request.Member.Incarnation = 2
	request.Leaving = true
	require.Empty(t, sync().GetView().GetMembers())
	request.Leaving = false
	require.False(t, sync().GetGranted(), "lease after leaving")
}

// Guards against a restarted entry host that gets a lease while its previous process
// may hold one, and against renewing the lease of that process.
func TestRestartWaitsForLease(t *testing.T) {
	t.Parallel()
	g, leader := startGroup(t)
	c := g.client(leader)
	sync := func(incarnation uint64) bool {
		member := &messenger.Member{Name: "entry", Address: "127.0.0.1:1", Incarnation: incarnation}
		reply, err := c.Sync(t.Context(), &messenger.SyncRequest{Member: member})
		require.NoError(t, err)
		return reply.GetGranted()
	}
	var sent time.Time
	g.waitFor("a lease", func() bool {
		sent = time.Now()
		return sync(1)
	})
	g.waitFor("a lease of the new process", func() bool {
		granted := sync(2)
		require.False(t, sync(1), "lease for the old process after the new one was heard")
		return granted
	})
	require.GreaterOrEqual(t, time.Since(sent), removeAfter)
}

// Guards against forming a second group beside the first.
func TestFormRefuses(t *testing.T) {
	t.Parallel()
	g, _ := startGroup(t)
	extra := g.settings("a")
	extra.Name, extra.Data = "d", filepath.Join(g.root, "d")
	extra.Hosts = append([]repairer.Host{{Name: "d", Address: netip.MustParseAddrPort("127.0.0.1:1")}}, g.hosts...)
	require.ErrorIs(t, Form(t.Context(), extra, FormOptions{}, testLogger()), ErrAlreadyFormed)
	require.NoError(t, g.stop("b"))
	alone := g.settings("b")
	alone.Hosts = []repairer.Host{g.hosts[1]}
	require.ErrorIs(t, Form(t.Context(), alone, FormOptions{}, testLogger()), ErrAlreadyFormed)
	alone.Data = filepath.Join(g.root, "e")
	alone.Hosts = append(alone.Hosts, repairer.Host{Name: "gone", Address: netip.MustParseAddrPort("127.0.0.1:1")})
	require.ErrorIs(t, Form(t.Context(), alone, FormOptions{}, testLogger()), ErrUnreachable)
}

// failingDisk fails syncs while fail is set.
type failingDisk struct {
	journaler.OSFileSystem
	fail *bool
}

type failingFile struct {
	journaler.File
	fail *bool
}

func (d failingDisk) Open(path string) (journaler.File, error) {
	f, err := d.OSFileSystem.Open(path)
	return failingFile{f, d.fail}, err
}

func (f failingFile) Sync() error {
	if *f.fail {
		return io.ErrUnexpectedEOF
	}
	return f.File.Sync()
}

// Guards against a host that continues after a failed sync.
func TestFailedSyncStopsHost(t *testing.T) {
	t.Parallel()
	g := newHostGroup(t, "a")
	g.form("a")
	fail := false
	settings := g.settings("a")
	settings.fileSystem = failingDisk{fail: &fail}
	fail = true
	s, err := New(settings, testLogger(), tally.NoopScope)
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	require.ErrorIs(t, s.Run(ctx), journaler.ErrSyncFailed)
}
