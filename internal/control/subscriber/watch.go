package subscriber

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/types/known/durationpb"

	"gentianpond/internal/fleet/registrar"
	"gentianpond/internal/protocol/messenger"
	"gentianpond/internal/value/packer"
)

const (
	// holdLeast, holdEach and holdMost bound how long a watch is held: so long for
	// each entry host, so that the leader's work for watches does not grow with
	// their number. With 284 entry hosts and 0.7 s a control host of a quarter of a
	// core had no time left. A lost leader is noticed after the hold and answerTime.
	holdLeast = 700 * time.Millisecond
	holdEach  = 7 * time.Millisecond
	holdMost  = 2 * time.Second
	// answerTime is how long an answer may take besides.
	answerTime = 300 * time.Millisecond
	// askHold is how long a host that knows no leader may hold the question for it.
	askHold = 500 * time.Millisecond
	// askFirst and askMost bound the pause between two questions to one host, half
	// of it random: all entry hosts look for a new leader at the same time.
	askFirst = 60 * time.Millisecond
	askMost  = 500 * time.Millisecond
	// findTime is how long the same hosts are asked for the leader.
	findTime = 5 * time.Second
	// findMost is the number of hosts that are asked at once.
	findMost = 5
	// loadTime bounds the first watch of a leader that was found, whose answer
	// may hold all there is. A host with a link of 14 Mbit/s may need a second.
	loadTime = 3 * time.Second
	// watchPause is the least time between two watches.
	watchPause = 20 * time.Millisecond
)

// holdTime returns how long a watch is held with so many entry hosts.
func holdTime(hosts int) time.Duration {
	return min(max(holdLeast, time.Duration(hosts)*holdEach), holdMost)
}

// Watched is what an entry host knows of the routing document and the registry.
// It must not be modified.
type Watched struct {
	// Version of the routing document, 0 while there is none. It never goes
	// back.
	Version uint64
	Text    []byte
	// Servers are the backend servers that have not gone, ordered by name.
	Servers []registrar.Server
	// Hosts is the number of entry hosts, 0 while it is unknown.
	Hosts int
	// At is when the leader last answered.
	At time.Time

	registry uint64
}

// WatcherConfig says who watches and where.
type WatcherConfig struct {
	Host        string
	Incarnation uint64
	// Seeds are the addresses of some control hosts; the others are learned.
	Seeds []netip.AddrPort
	// Changed is called after each change, one call at a time.
	Changed func(Watched)
	Connect Connector
	Log     *log.Logger
}

// Watcher keeps an entry host up to date without a lease: a host that is out of
// touch goes on with what it knows. Use NewWatcher.
type Watcher struct {
	config WatcherConfig
	state  atomic.Pointer[Watched]
	// leader is the host that answered last, with the connection to it.
	leader peer

	mu      sync.Mutex
	seeds   []netip.AddrPort
	control []netip.AddrPort
}

// NewWatcher returns a watcher that has not connected yet.
func NewWatcher(c WatcherConfig) *Watcher {
	if c.Connect == nil {
		c.Connect = Connect()
	}
	w := &Watcher{config: c, seeds: c.Seeds}
	w.state.Store(&Watched{})
	return w
}

// State returns what is known now.
func (w *Watcher) State() Watched { return *w.state.Load() }

// Seed replaces the seeds, after a change of the settings.
func (w *Watcher) Seed(seeds []netip.AddrPort) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seeds = slices.Clone(seeds)
}

// Run watches until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	defer w.drop()
	for ctx.Err() == nil {
		hold := holdTime(w.State().Hosts)
		timeout := hold + answerTime
		if w.leader.client == nil {
			if !w.find(ctx) {
				continue
			}
			timeout = loadTime
		}
		w.follow(ctx, hold, timeout)
		wait(ctx, watchPause)
	}
	return ctx.Err()
}

// drop forgets the leader.
func (w *Watcher) drop() {
	if w.leader.closer != nil {
		_ = w.leader.closer.Close()
	}
	w.leader = peer{}
}

// follow asks the leader for news.
func (w *Watcher) follow(ctx context.Context, hold, timeout time.Duration) {
	s := w.State()
	reply, err := watch(ctx, w.leader.client, w.request(s.Version, s.registry, hold), timeout)
	if err == nil && reply.GetGranted() {
		w.adopt(reply, time.Now())
		return
	}
	if ctx.Err() == nil {
		w.config.Log.Warn("lost the control leader", "table", w.State().Version, "err", err)
	}
	w.drop()
}

func (w *Watcher) request(version, registry uint64, hold time.Duration) *messenger.WatchRequest {
	return &messenger.WatchRequest{
		Host:        w.config.Host,
		Incarnation: w.config.Incarnation,
		Version:     version,
		Registry:    registry,
		Wait:        durationpb.New(hold),
	}
}

func watch(
	ctx context.Context, c messenger.ControlClient, r *messenger.WatchRequest, timeout time.Duration, options ...grpc.CallOption,
) (*messenger.WatchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.Watch(ctx, r, options...)
}

// found is what one host said: that it leads, with the connection to it, or who
// does.
type found struct {
	peer  peer
	reply *messenger.WatchReply
}

// find asks several hosts at once and follows the first that leads. It reports
// whether there was one before the hosts to ask were due to be chosen anew.
//
// It answers a common start of all hosts, and the loss of a leader, in a large
// fleet: each host keeps one connection to each control host that it asks, one
// question is open on it, and control hosts hold it until they know a leader.
// Opening connections for each round of questions, 16 rounds a second from 284
// entry hosts, kept the control hosts from electing one.
func (w *Watcher) find(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, findTime)
	defer cancel()
	answers := make(chan found)
	asked := map[netip.AddrPort]bool{}
	ask := func(a netip.AddrPort) {
		if !asked[a] {
			asked[a] = true
			go w.ask(ctx, a, answers)
		}
	}
	for _, a := range w.targets() {
		ask(a)
	}
	for {
		select {
		case <-ctx.Done():
			return false
		case f := <-answers:
			if f.reply.GetGranted() {
				w.leader = f.peer
				w.config.Log.Info("found the control leader", "table", f.reply.GetVersion(), "registry", f.reply.GetRegistry())
				return true
			}
			if a, err := netip.ParseAddrPort(f.reply.GetLeader()); err == nil {
				ask(a)
			}
		}
	}
}

// ask asks one host who leads until ctx ends or that host does. It asks for nothing
// else: several answers with all that there is would fill a narrow link.
func (w *Watcher) ask(ctx context.Context, addr netip.AddrPort, answers chan<- found) {
	client, closer, err := w.config.Connect(addr)
	if err != nil {
		w.config.Log.Error("control host cannot be asked", "host", addr, "err", err)
		return
	}
	request := w.request(0, 0, askHold)
	request.Seek = true
	for pause := askFirst; ; pause = min(2*pause, askMost) {
		// A host that is not up yet is connected to as soon as it is.
		reply, err := watch(ctx, client, request, askHold+answerTime, grpc.WaitForReady(true))
		if err == nil {
			select {
			case answers <- found{peer: peer{client: client, closer: closer}, reply: reply}:
				if reply.GetGranted() {
					return
				}
			case <-ctx.Done():
			}
		}
		if !wait(ctx, pause/2+rand.N(pause/2)) {
			_ = closer.Close()
			return
		}
	}
}

// targets returns some of the known control hosts in random order.
func (w *Watcher) targets() []netip.AddrPort {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := slices.Clone(w.control)
	for _, a := range w.seeds {
		if !slices.Contains(list, a) {
			list = append(list, a)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), findMost)]
}

// adopt takes a reply. What is older than the state changes nothing: a host that
// has just become the leader may not have applied everything yet.
func (w *Watcher) adopt(reply *messenger.WatchReply, now time.Time) {
	old := w.State()
	next := old
	next.At = now
	changed := false
	if reply.GetVersion() > old.Version && len(reply.GetPacked()) > 0 {
		text, err := packer.Unpack(reply.GetPacked(), messenger.MaxDocument)
		if err != nil {
			w.config.Log.Error("routing document dropped", "version", reply.GetVersion(), "err", err)
			return
		}
		next.Version, next.Text = reply.GetVersion(), text
		changed = true
		w.config.Log.Info("routing document received", "version", next.Version, "before", old.Version, "bytes", len(text),
			"packed", len(reply.GetPacked()))
	}
	if reply.GetRegistry() > old.registry {
		next.Servers = w.merge(old.Servers, reply)
		next.registry = reply.GetRegistry()
		changed = true
	}
	if hosts := int(reply.GetHosts()); hosts > 0 && hosts != old.Hosts {
		next.Hosts = hosts
		changed = true
		w.config.Log.Info("number of entry hosts changed", "hosts", hosts, "before", old.Hosts)
	}
	w.learn(reply.GetControl())
	w.state.Store(&next)
	if changed {
		w.config.Changed(next)
	}
}

// merge applies the changes of a reply to the servers.
func (w *Watcher) merge(old []registrar.Server, reply *messenger.WatchReply) []registrar.Server {
	servers := map[string]registrar.Server{}
	if !reply.GetComplete() {
		for _, s := range old {
			servers[s.Name] = s
		}
	}
	for _, m := range reply.GetRegistrations() {
		s, err := registrar.FromMessage(m)
		if err != nil {
			w.config.Log.Error("registration dropped", "err", err)
			continue
		}
		w.config.Log.Debug("backend server changed", "server", s.Name, "service", s.Service, "state", s.State, "index", s.ChangeIndex)
		if s.State == registrar.Gone {
			delete(servers, s.Name)
			continue
		}
		servers[s.Name] = s
	}
	list := make([]registrar.Server, 0, len(servers))
	for _, name := range slices.Sorted(maps.Keys(servers)) {
		list = append(list, servers[name])
	}
	return list
}

// learn takes the control hosts that the leader names.
func (w *Watcher) learn(texts []string) {
	var control []netip.AddrPort
	for _, text := range texts {
		if a, err := netip.ParseAddrPort(text); err == nil {
			control = append(control, a)
		}
	}
	if len(control) == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.control = control
}
