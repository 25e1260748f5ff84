package subscriber

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"google.golang.org/protobuf/types/known/durationpb"

	"gentianpond/internal/fleet/registrar"
	"gentianpond/internal/protocol/messenger"
)

// holdTime is how long a watch may be held. With the time for the way it stays
// below tryTimeout, so that a lost leader is noticed within a second.
const holdTime = 700 * time.Millisecond

// watchPause is the least time between two watches.
const watchPause = 20 * time.Millisecond

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
	config  WatcherConfig
	locator *locator
	state   atomic.Pointer[Watched]

	mu    sync.Mutex
	seeds []netip.AddrPort
}

// NewWatcher returns a watcher that has not connected yet.
func NewWatcher(c WatcherConfig) *Watcher {
	if c.Connect == nil {
		c.Connect = Connect()
	}
	w := &Watcher{config: c, locator: newLocator(c.Seeds, c.Connect), seeds: c.Seeds}
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
	w.locator.learn(seeds, nil)
}

// Run watches until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	defer w.locator.close()
	for ctx.Err() == nil {
		w.round(ctx)
		wait(ctx, watchPause)
	}
	return ctx.Err()
}

func (w *Watcher) round(ctx context.Context) {
	reply, err := ask(ctx, w.locator, func(ctx context.Context, c messenger.ControlClient) (*messenger.WatchReply, error) {
		s := w.State()
		return c.Watch(ctx, &messenger.WatchRequest{
			Host:        w.config.Host,
			Incarnation: w.config.Incarnation,
			Version:     s.Version,
			Registry:    s.registry,
			Wait:        durationpb.New(holdTime),
		})
	}, (*messenger.WatchReply).GetGranted)
	if err != nil {
		return
	}
	w.adopt(reply, time.Now())
}

// adopt takes a reply. What is older than the state changes nothing: a host that
// has just become the leader may not have applied everything yet.
func (w *Watcher) adopt(reply *messenger.WatchReply, now time.Time) {
	old := w.State()
	next := old
	next.At = now
	changed := false
	if reply.GetVersion() > old.Version && len(reply.GetText()) > 0 {
		next.Version, next.Text = reply.GetVersion(), reply.GetText()
		changed = true
		w.config.Log.Info("routing document received", "version", next.Version, "before", old.Version, "bytes", len(next.Text))
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
		w.config.Log.Debug("backend server changed", "server", s.Name, "service", s.Service, "state", s.State, "index", s.Changed)
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
	w.locator.learn(w.seeds, control)
}
