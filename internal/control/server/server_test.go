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

// patience bounds every wait for something that must happen.
const patience = 20 * time.Second

// group is a set of control hosts on loopback.
type group struct {
	t     testing.TB
	root  string
	hosts []repairer.Host
	nodes map[string]*node
	every uint64

	mutex sync.Mutex
	cut   map[string]bool
}

// node is one running control host.
type node struct {
	cancel context.CancelFunc
	done   chan error
}

func newGroup(t testing.TB, names ...string) *group {
	g := &group{t: t, root: t.TempDir(), nodes: map[string]*node{}, cut: map[string]bool{}}
	for _, name := range names {
		g.hosts = append(g.hosts, repairer.Host{Name: name, Zone: "zone-" + name, Address: freeAddress(t)})
	}
	t.Cleanup(func() {
		for name := range g.nodes {
			require.NoError(t, g.stop(name))
		}
	})
	return g
}

// ports counts up from a port that differs between test processes. It stays
// below the range from which the system takes the ports of outgoing
// connections: one of those could take the port of a host that is restarting.
var ports atomic.Int64

func init() { ports.Store(10000 + int64(os.Getpid()%700)*30) }

func freeAddress(t testing.TB) netip.AddrPort {
	for {
		addr := fmt.Sprintf("127.0.0.1:%d", ports.Add(1))
		if l, err := net.Listen("tcp", addr); err == nil {
			require.NoError(t, l.Close())
			return netip.MustParseAddrPort(addr)
		}
	}
}

func (g *group) settings(name string) Settings {
	s := Settings{Name: name, Zone: "zone-" + name, Data: filepath.Join(g.root, name), Hosts: g.hosts, SnapshotEvery: g.every}
	h, _ := s.host(name)
	s.Inner = h.Address
	s.DialOptions = []grpc.DialOption{grpc.WithUnaryInterceptor(g.partition(name))}
	return s
}

// partition fails the messages of the replicated log from and to cut hosts.
func (g *group) partition(from string) grpc.UnaryClientInterceptor {
	return func(ctx context.Context, method string, request, reply any, conn *grpc.ClientConn, invoke grpc.UnaryInvoker, options ...grpc.CallOption) error {
		if r, ok := request.(*messenger.ExchangeRequest); ok {
			g.mutex.Lock()
			cut := g.cut[from] || g.cut[r.GetTo()]
			g.mutex.Unlock()
			if cut {
				return status.Error(codes.Unavailable, "cut off")
			}
		}
		return invoke(ctx, method, request, reply, conn, options...)
	}
}

func (g *group) cutOff(name string, cut bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.cut[name] = cut
}

func (g *group) form(name string) {
	require.NoError(g.t, Form(g.t.Context(), g.settings(name), FormOptions{}, quiet()))
}

func quiet() *log.Logger {
	if testing.Verbose() {
		return log.New(os.Stderr)
	}
	return log.New(io.Discard)
}

func (g *group) start(names ...string) {
	for _, name := range names {
		s, err := New(g.settings(name), quiet().With("at", name), tally.NoopScope)
		require.NoError(g.t, err)
		g.run(name, s)
	}
}

func (g *group) run(name string, s *Server) {
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{cancel: cancel, done: make(chan error, 1)}
	go func() { n.done <- s.Run(ctx) }()
	g.nodes[name] = n
}

func (g *group) stop(name string) error {
	n := g.nodes[name]
	delete(g.nodes, name)
	n.cancel()
	return <-n.done
}

func (g *group) client(name string) messenger.ControlClient {
	h, ok := (&Settings{Hosts: g.hosts}).host(name)
	require.True(g.t, ok)
	conn, err := messenger.Dial(h.Address)
	require.NoError(g.t, err)
	g.t.Cleanup(func() { _ = conn.Close() })
	return messenger.NewControlClient(conn)
}

func (g *group) status(name string) *messenger.StatusReply {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	reply, err := g.client(name).Status(ctx, &messenger.StatusRequest{})
	if err != nil {
		return nil
	}
	return reply
}

// leader waits until a host leads this many voters.
func (g *group) leader(voters int) (leader string) {
	g.wait(fmt.Sprintf("a leader of %d voters", voters), func() bool {
		for name := range g.nodes {
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

func (g *group) wait(what string, ok func() bool) {
	deadline := time.Now().Add(patience)
	for !ok() {
		require.True(g.t, time.Now().Before(deadline), "waited in vain for %s", what)
		time.Sleep(20 * time.Millisecond)
	}
}

// change replaces the section of a team at the leader.
func (g *group) change(leader, id, team string, version uint64) *messenger.ChangeReply {
	reply, err := g.client(leader).Change(g.t.Context(), section(id, team, version))
	require.NoError(g.t, err)
	return reply
}

func section(id, team string, version uint64) *messenger.ChangeRequest {
	return &messenger.ChangeRequest{Id: id, Team: team, Version: version, Section: []byte("{} // " + id + "\n"), Author: "test"}
}

func (g *group) show(name string) *messenger.ShowReply {
	reply, err := g.client(name).Show(g.t.Context(), &messenger.ShowRequest{})
	require.NoError(g.t, err)
	return reply
}

func started(t testing.TB) (*group, string) {
	g := newGroup(t, "a", "b", "c")
	g.start("b", "c")
	g.wait("the waiting hosts", func() bool { return g.status("b") != nil && g.status("c") != nil })
	g.form("a")
	g.start("a")
	return g, g.leader(3)
}

// Guards against losing an accepted change with its leader, and against
// another host's answering as if it were the leader.
func TestChangeSurvivesLeader(t *testing.T) {
	t.Parallel()
	g, leader := started(t)
	require.Equal(t, "accepted", g.change(leader, "one", "team", 0).GetCode())
	for name := range g.nodes {
		reply := g.show(name)
		require.Equal(t, name == leader, reply.GetGranted())
		if name != leader {
			h, _ := (&Settings{Hosts: g.hosts}).host(leader)
			require.Equal(t, h.Address.String(), reply.GetLeader())
		}
	}
	require.NoError(t, g.stop(leader))
	var next string
	g.wait("another leader", func() bool {
		for name := range g.nodes {
			if s := g.status(name); s.GetRole() == "leader" {
				next = name
			}
		}
		return next != ""
	})
	require.Equal(t, uint64(1), g.show(next).GetRevision())
	require.True(t, g.change(next, "one", "team", 0).GetRepeat())
	require.Equal(t, "conflict", g.change(next, "two", "team", 0).GetCode())
	require.Equal(t, "accepted", g.change(next, "three", "team", 1).GetCode())
}

// Guards against a host that lost its disk staying out, or voting under its
// old identity, and against a group that cannot lose a second host after the
// repair.
func TestLostDiskIsReplaced(t *testing.T) {
	t.Parallel()
	g, leader := started(t)
	require.Equal(t, "accepted", g.change(leader, "one", "team", 0).GetCode())
	lost, other := others(g, leader)
	old := incarnation(g.status(leader), lost)
	require.NoError(t, g.stop(lost))
	require.NoError(t, os.RemoveAll(filepath.Join(g.root, lost)))
	g.start(lost)
	g.wait("the new identity to vote", func() bool {
		s := g.status(leader)
		return len(s.GetVoters()) == 3 && incarnation(s, lost) != old && isVoter(s, lost)
	})
	require.NoError(t, g.stop(other))
	require.Equal(t, "accepted", g.change(leader, "two", "team", 1).GetCode())
	require.NoError(t, g.stop(leader))
	g.start(other)
	next := g.leader(3)
	require.Equal(t, uint64(2), g.show(next).GetRevision())
}

func others(g *group, leader string) (string, string) {
	var names []string
	for _, h := range g.hosts {
		if h.Name != leader {
			names = append(names, h.Name)
		}
	}
	return names[0], names[1]
}

func incarnation(s *messenger.StatusReply, name string) uint64 {
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

// Guards against changes lost in a restart of all hosts, with snapshots taken
// in between, and against a slow one.
func TestRestartAfterManyChanges(t *testing.T) {
	t.Parallel()
	g := newGroup(t, "a", "b", "c")
	g.every = 200
	g.start("b", "c")
	g.wait("the waiting hosts", func() bool { return g.status("b") != nil && g.status("c") != nil })
	g.form("a")
	g.start("a")
	leader := g.leader(3)
	var teams errgroup.Group
	for i := range 10 {
		c := g.client(leader)
		teams.Go(func() error {
			for version := range uint64(50) {
				reply, err := c.Change(t.Context(), section(fmt.Sprint("id-", i, "-", version), fmt.Sprint("team-", i), version))
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
	leader = g.leader(3)
	t.Logf("a leader after %s", time.Since(begin))
	reply := g.show(leader)
	require.Equal(t, uint64(500), reply.GetRevision())
	require.Len(t, reply.GetSections(), 10)
	require.True(t, g.change(leader, "id-9-49", "team-9", 49).GetRepeat())
}

// Guards against an isolated leader's answering as current.
func TestIsolatedLeaderAnswersNothing(t *testing.T) {
	t.Parallel()
	g, leader := started(t)
	c := g.client(leader)
	member := &messenger.Member{Name: "entry", Address: "127.0.0.1:1", Incarnation: 1}
	sync := func() *messenger.SyncReply {
		reply, err := c.Sync(t.Context(), &messenger.SyncRequest{Member: member})
		if err != nil {
			t.Error(err)
		}
		return reply
	}
	g.wait("a lease", func() bool { return sync().GetGranted() })
	// Both are asked while the host still takes itself for the leader.
	g.cutOff(leader, true)
	lease := make(chan *messenger.SyncReply, 1)
	go func() { lease <- sync() }()
	require.False(t, g.show(leader).GetGranted(), "an isolated leader showed its configuration as current")
	require.False(t, (<-lease).GetGranted(), "an isolated leader granted a lease")
	g.cutOff(leader, false)
	g.leader(3)
}

// Guards against a lease for a host outside the view or under another
// incarnation, and against a view that counts as settled too early.
func TestLeaseFollowsView(t *testing.T) {
	t.Parallel()
	g, leader := started(t)
	c := g.client(leader)
	request := &messenger.SyncRequest{Member: &messenger.Member{Name: "entry", Zone: "z", Address: "127.0.0.1:1", Incarnation: 2}}
	sync := func() *messenger.SyncReply {
		reply, err := c.Sync(t.Context(), request)
		require.NoError(t, err)
		return reply
	}
	var reply *messenger.SyncReply
	g.wait("a lease", func() bool {
		reply = sync()
		require.Equal(t, len(reply.GetView().GetMembers()) == 1, reply.GetGranted(), "a lease needs a place in the view")
		return reply.GetGranted()
	})
	require.Equal(t, lease, reply.GetLease().AsDuration())
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

// Guards against a restarted entry host that gets a lease while the process
// before it may hold one, and against renewing that one.
func TestRestartWaitsForLease(t *testing.T) {
	t.Parallel()
	g, leader := started(t)
	c := g.client(leader)
	sync := func(incarnation uint64) bool {
		member := &messenger.Member{Name: "entry", Address: "127.0.0.1:1", Incarnation: incarnation}
		reply, err := c.Sync(t.Context(), &messenger.SyncRequest{Member: member})
		require.NoError(t, err)
		return reply.GetGranted()
	}
	var sent time.Time
	g.wait("a lease", func() bool {
		sent = time.Now()
		return sync(1)
	})
	g.wait("a lease of the new process", func() bool {
		granted := sync(2)
		require.False(t, sync(1), "lease for the old process after the new one was heard")
		return granted
	})
	require.GreaterOrEqual(t, time.Since(sent), removal)
}

// Guards against a second group beside the first.
func TestFormRefuses(t *testing.T) {
	t.Parallel()
	g, _ := started(t)
	extra := g.settings("a")
	extra.Name, extra.Data = "d", filepath.Join(g.root, "d")
	extra.Hosts = append([]repairer.Host{{Name: "d", Address: netip.MustParseAddrPort("127.0.0.1:1")}}, g.hosts...)
	require.ErrorIs(t, Form(t.Context(), extra, FormOptions{}, quiet()), ErrFormed)
	require.NoError(t, g.stop("b"))
	alone := g.settings("b")
	alone.Hosts = []repairer.Host{g.hosts[1]}
	require.ErrorIs(t, Form(t.Context(), alone, FormOptions{}, quiet()), ErrFormed)
	alone.Data = filepath.Join(g.root, "e")
	alone.Hosts = append(alone.Hosts, repairer.Host{Name: "gone", Address: netip.MustParseAddrPort("127.0.0.1:1")})
	require.ErrorIs(t, Form(t.Context(), alone, FormOptions{}, quiet()), ErrUnreachable)
}

// failingDisk fails syncs once told to.
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

// Guards against going on after a failed sync.
func TestFailedSyncStopsHost(t *testing.T) {
	t.Parallel()
	g := newGroup(t, "a")
	g.form("a")
	fail := false
	settings := g.settings("a")
	settings.disk = failingDisk{fail: &fail}
	fail = true
	s, err := New(settings, quiet(), tally.NoopScope)
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	require.ErrorIs(t, s.Run(ctx), journaler.ErrSyncFailed)
}
