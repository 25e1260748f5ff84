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
	"gentianpond/internal/guard/quarantiner"
	"gentianpond/internal/protocol/messenger"
	"gentianpond/internal/route/allotter"
	"gentianpond/internal/route/pacer"
	"gentianpond/internal/value/packer"
)

const (
	// The leader may hold a watch request for holdPerHost times the number of entry
	// hosts, between minHold and maxHold, so that its load from watches does not grow
	// with that number. With 284 entry hosts and a hold of 0.7 s, a control host with
	// a quarter of a core had no time for other work. The loss of a leader is detected
	// after the hold and replyAllowance.
	minHold     = 700 * time.Millisecond
	holdPerHost = 7 * time.Millisecond
	maxHold     = 2 * time.Second
	// replyAllowance is the time for a reply in addition to the hold.
	replyAllowance = 300 * time.Millisecond
	// seekHold is how long a control host that knows no leader may hold a seek
	// request until it knows one.
	seekHold = 500 * time.Millisecond
	// minSeekPause and maxSeekPause bound the pause between two seek requests to one
	// host. Half of it is random, because all entry hosts look for a new leader at the
	// same time.
	minSeekPause = 60 * time.Millisecond
	maxSeekPause = 500 * time.Millisecond
	// seekRoundDuration is how long the same hosts are asked for the leader.
	seekRoundDuration = 5 * time.Second
	// maxSeekTargets is the number of hosts that are asked in parallel.
	maxSeekTargets = 5
	// firstWatchTimeout limits the first watch request to a new leader, whose reply may
	// contain the whole routing document and registry. A host with a link of 14 Mbit/s
	// may need a second for it.
	firstWatchTimeout = 3 * time.Second
	// minWatchPause is the pause after each watch request.
	minWatchPause = 20 * time.Millisecond
)

// holdDuration returns how long the leader may hold a watch request when there are
// this many entry hosts.
func holdDuration(hosts int) time.Duration {
	return min(max(minHold, time.Duration(hosts)*holdPerHost), maxHold)
}

// RoutingState is the routing document and the registry of backend servers as an
// entry host has received them. It must not be modified.
type RoutingState struct {
	// Version of the routing document. It never goes back.
	Version uint64
	// Document is the routing document, decompressed, and nil while there is none.
	Document []byte
	// Servers are the registered backend servers, sorted by name, without those in
	// state registrar.Gone.
	Servers []registrar.Server
	// EntryHosts is the number of entry hosts, 0 while it is unknown.
	EntryHosts int
	// HostRank is the place of this host among them, from 0 to EntryHosts-1.
	HostRank int
	// Peers are some of the other entry hosts, which may take requests over.
	Peers []Peer
	// Evacuations are the last orders about availability zones.
	Evacuations []registrar.Evacuation
	// LastReply is the time of the leader's last reply.
	LastReply time.Time
	// ContactAt is a time at which the leader knew of this host, close to LastReply and
	// never after the leader sent that reply.
	ContactAt time.Time
	// Lending tells which hosts grant the requests of client accounts. Callers are the
	// addresses of the hosts that may ask this one for it.
	Lending allotter.Lending
	Callers []netip.Addr

	// registryIndex is the index of the newest registry change in Servers.
	registryIndex uint64
	// evacuation is the number of the newest change in Evacuations.
	evacuation uint64
	// peersFingerprint identifies Peers to the leader, and lendingFingerprint Lending and
	// Callers.
	peersFingerprint   uint64
	lendingFingerprint uint64
}

// Peer is another entry host: the address at which it serves this one, and its zone.
type Peer struct {
	Address netip.AddrPort
	Zone    string
}

// WatcherConfig configures a Watcher.
type WatcherConfig struct {
	// Host and Incarnation identify the entry process to the control hosts.
	Host string
	// Incarnation is the number of this start of the entry host. It is larger than those
	// of earlier starts.
	Incarnation uint64
	// Peer describes this host to the other entry hosts. Its address is the zero value if
	// it takes over no requests.
	Peer Peer
	// Seeds are the addresses of some control hosts; the leader sends the others.
	Seeds []netip.AddrPort
	// OnChange is called after each change except of LastReply, one call at a time.
	OnChange func(RoutingState)
	// Limits exchanges rate limits with the other entry hosts. It may be nil.
	Limits LimitExchange
	// Suspects learns of requests that crash backend servers. It may be nil.
	Suspects SuspectLearner
	// Lending learns of the lenders of client accounts. It may be nil.
	Lending LendingLearner
	// Connect defaults to gRPC without extra options.
	Connect Connector
	// Log is required.
	Log *log.Logger
}

// LimitExchange holds the rate limits of backend servers that this host knows.
type LimitExchange interface {
	// UnreportedLimits returns those that the control hosts have to be told.
	UnreportedLimits() []pacer.Observation
	// LearnLimits records those that other hosts observed.
	LearnLimits(list []pacer.Observation)
	// ForgetSharedLimits makes UnreportedLimits return all of them again.
	ForgetSharedLimits()
}

// SuspectLearner learns of requests on routes that are suspected of crashing backend
// servers.
type SuspectLearner interface {
	// LearnSuspicions records suspicions, with the times of this host's clock. The state
	// clear means that there is none any more. If complete is set, they are all there are.
	LearnSuspicions(list []quarantiner.Suspicion, complete bool)
}

// Watcher keeps an entry host's routing document and registry up to date without a
// lease: a host without contact to the leader continues with its last state. Use
// NewWatcher.
type Watcher struct {
	config WatcherConfig
	// state is the newest state, which State returns.
	state atomic.Pointer[RoutingState]
	// leader is the connection to the leader, zero while none is known. Only Run uses it;
	// leaderClient is its client, nil while none is known.
	leader       controlConn
	leaderClient atomic.Pointer[messenger.ControlClient]
	// reports holds the observations of crashes for the leader.
	reports *reportQueue
	// limits is the number of the newest change of a rate limit that the leader sent.
	// Only Run uses it.
	limits uint64
	// suspects is the same for the suspicions against requests.
	suspects uint64

	// mu protects seeds and controlHosts.
	mu sync.Mutex
	// seeds are the addresses from WatcherConfig or SetSeeds.
	seeds []netip.AddrPort
	// controlHosts are the addresses that the leader sent.
	controlHosts []netip.AddrPort
}

// NewWatcher returns a Watcher. It connects when Run is called.
func NewWatcher(c WatcherConfig) *Watcher {
	if c.Connect == nil {
		c.Connect = Connect()
	}
	w := &Watcher{config: c, seeds: c.Seeds, reports: newReportQueue()}
	w.state.Store(&RoutingState{})
	return w
}

// State returns the current state.
func (w *Watcher) State() RoutingState { return *w.state.Load() }

// SetSeeds replaces the seed addresses after a change of the settings.
func (w *Watcher) SetSeeds(seeds []netip.AddrPort) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seeds = slices.Clone(seeds)
}

// Run finds the leader and watches it until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	var reports sync.WaitGroup
	defer reports.Wait()
	reports.Go(func() { w.reportLoop(ctx) })
	defer w.dropLeader()
	for ctx.Err() == nil {
		hold := holdDuration(w.State().EntryHosts)
		timeout := hold + replyAllowance
		if w.leader.client == nil {
			if !w.findLeader(ctx) {
				continue
			}
			timeout = firstWatchTimeout
			hold = w.firstHold(hold)
		}
		w.watchLeader(ctx, hold, timeout)
		wait(ctx, minWatchPause)
	}
	return ctx.Err()
}

// dropLeader closes the connection to the leader, so that Run looks for it again.
func (w *Watcher) dropLeader() {
	if w.leader.closer != nil {
		_ = w.leader.closer.Close()
	}
	w.leader = controlConn{}
	w.leaderClient.Store(nil)
}

// watchLeader sends one watch request to the leader and applies its reply. It drops
// the leader if the request fails or the host no longer leads.
func (w *Watcher) watchLeader(ctx context.Context, hold, timeout time.Duration) {
	s := w.State()
	request := w.newWatchRequest(s.Version, s.registryIndex, hold)
	request.Holding = messenger.Holding_HOLDING_NONE
	if s.Document != nil {
		request.Holding = messenger.Holding_HOLDING_DOCUMENT
	}
	w.addLimits(request)
	request.Evacuates, request.Evacuation = true, s.evacuation
	request.Guards, request.Suspects = w.config.Suspects != nil, w.suspects
	if w.config.Peer.Address.IsValid() {
		request.Peer, request.Zone, request.Peers = w.config.Peer.Address.String(), w.config.Peer.Zone, s.peersFingerprint
	}
	w.addLending(request)
	sent := time.Now()
	reply, err := callWatch(ctx, w.leader.client, request, timeout)
	if err == nil && reply.GetGranted() {
		w.noteContact(sent, reply)
		w.applyWatchReply(reply, time.Now())
		return
	}
	if ctx.Err() == nil {
		w.config.Log.Warn("lost the control leader", "table", w.State().Version, "err", err)
	}
	w.dropLeader()
}

// newWatchRequest returns a request for what is newer than a version of the routing
// document and than the registry at an index. The receiver may hold it for hold.
func (w *Watcher) newWatchRequest(version, registry uint64, hold time.Duration) *messenger.WatchRequest {
	return &messenger.WatchRequest{
		Host:        w.config.Host,
		Incarnation: w.config.Incarnation,
		Version:     version,
		Registry:    registry,
		Wait:        durationpb.New(hold),
	}
}

// callWatch sends one watch request and waits for the reply until timeout has passed.
func callWatch(
	ctx context.Context, c messenger.ControlClient, r *messenger.WatchRequest, timeout time.Duration, options ...grpc.CallOption,
) (*messenger.WatchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.Watch(ctx, r, options...)
}

// seekAnswer is one host's reply to a seek request, with the connection to the host.
// The reply says that the host leads or names the leader, if the host knows it.
type seekAnswer struct {
	// conn is the open connection to the host. findLeader keeps it if the host leads.
	conn controlConn
	// reply is the answer to a watch request that asks only who leads.
	reply *messenger.WatchReply
}

// findLeader asks several control hosts in parallel and makes the first that leads
// the leader. It returns false if none did within seekRoundDuration; Run then asks
// another random choice of hosts.
//
// The load on the control hosts must stay low when all hosts of a large fleet start
// together or lose the leader. Each entry host therefore keeps one connection to
// each control host that it asks, with one request at a time, which the control host
// holds until it knows a leader. New connections for each round of requests, 16
// rounds a second from 284 entry hosts, prevented the control hosts from electing a
// leader.
func (w *Watcher) findLeader(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, seekRoundDuration)
	defer cancel()
	answers := make(chan seekAnswer)
	sought := map[netip.AddrPort]bool{}
	seek := func(a netip.AddrPort) {
		if !sought[a] {
			sought[a] = true
			go w.seekLeader(ctx, a, answers)
		}
	}
	for _, a := range w.seekTargets() {
		seek(a)
	}
	for {
		select {
		case <-ctx.Done():
			return false
		case answer := <-answers:
			if answer.reply.GetGranted() {
				w.leader = answer.conn
				w.leaderClient.Store(&answer.conn.client)
				w.resetChanges()
				w.config.Log.Info("found the control leader", "table", answer.reply.GetVersion(), "registry", answer.reply.GetRegistry())
				return true
			}
			if a, err := netip.ParseAddrPort(answer.reply.GetLeader()); err == nil {
				seek(a)
			}
		}
	}
}

// seekLeader asks one control host for the leader until ctx ends or the host itself
// leads. It requests no other data: several replies with the whole routing document
// and registry would saturate a slow link.
func (w *Watcher) seekLeader(ctx context.Context, addr netip.AddrPort, answers chan<- seekAnswer) {
	client, closer, err := w.config.Connect(addr)
	if err != nil {
		w.config.Log.Error("could not connect to a control host", "host", addr, "err", err)
		return
	}
	request := w.newWatchRequest(0, 0, seekHold)
	request.Seek = true
	for pause := minSeekPause; ; pause = min(2*pause, maxSeekPause) {
		// WaitForReady connects to a host that is still starting as soon as it is up.
		reply, err := callWatch(ctx, client, request, seekHold+replyAllowance, grpc.WaitForReady(true))
		if err == nil {
			select {
			case answers <- seekAnswer{conn: controlConn{client: client, closer: closer}, reply: reply}:
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

// seekTargets returns up to maxSeekTargets of the known control hosts at random.
func (w *Watcher) seekTargets() []netip.AddrPort {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := slices.Clone(w.controlHosts)
	for _, a := range w.seeds {
		if !slices.Contains(list, a) {
			list = append(list, a)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), maxSeekTargets)]
}

// applyWatchReply updates the state from a reply. Data older than the state is
// ignored: a new leader may not have applied all committed commands yet.
func (w *Watcher) applyWatchReply(reply *messenger.WatchReply, now time.Time) {
	old := w.State()
	next := old
	next.LastReply = now
	changed := false
	if len(reply.GetPacked()) > 0 && (old.Document == nil || reply.GetVersion() > old.Version) {
		text, err := packer.Unpack(reply.GetPacked(), messenger.MaxDocumentBytes)
		if err != nil {
			w.config.Log.Error("could not decompress the routing document", "version", reply.GetVersion(), "err", err)
			return
		}
		next.Version, next.Document = reply.GetVersion(), text
		changed = true
		w.config.Log.Info("routing document received", "version", next.Version, "before", old.Version, "bytes", len(text),
			"packed", len(reply.GetPacked()))
	}
	if reply.GetRegistry() > old.registryIndex {
		next.Servers = w.mergeRegistrations(old.Servers, reply)
		next.registryIndex = reply.GetRegistry()
		changed = true
	}
	hosts, rank := int(reply.GetHosts()), int(reply.GetRank())
	if hosts > 0 && (hosts != old.EntryHosts || rank != old.HostRank) {
		next.EntryHosts, next.HostRank = hosts, rank
		changed = true
		w.config.Log.Info("number of entry hosts changed", "hosts", hosts, "before", old.EntryHosts, "rank", rank)
	}
	if f := reply.GetPeers(); f != 0 && f != old.peersFingerprint {
		next.Peers, next.peersFingerprint = decodePeers(reply.GetPeer()), f
		changed = true
	}
	changed = w.learnLending(&next, reply) || changed
	changed = w.learnEvacuations(&next, reply, now) || changed
	w.setControlHosts(reply.GetControl())
	w.state.Store(&next)
	if changed {
		w.config.OnChange(next)
	}
	w.learnLimits(reply, now)
	w.learnSuspects(reply, now)
}

// decodePeers returns the entry hosts of a list. Invalid addresses are left out.
func decodePeers(list []*messenger.Peer) []Peer {
	peers := make([]Peer, 0, len(list))
	for _, m := range list {
		if a, err := netip.ParseAddrPort(m.GetAddress()); err == nil {
			peers = append(peers, Peer{Address: a, Zone: m.GetZone()})
		}
	}
	return peers
}

// mergeRegistrations returns the servers after the changes of a reply, sorted by
// name. A complete reply replaces them all.
func (w *Watcher) mergeRegistrations(old []registrar.Server, reply *messenger.WatchReply) []registrar.Server {
	servers := map[string]registrar.Server{}
	if !reply.GetComplete() {
		for _, s := range old {
			servers[s.Name] = s
		}
	}
	for _, m := range reply.GetRegistrations() {
		s, err := registrar.FromMessage(m)
		if err == nil {
			err = s.Check()
		}
		if err != nil {
			w.config.Log.Error("ignored an invalid registration", "err", err)
			delete(servers, m.GetServer())
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

// setControlHosts stores the addresses of the control hosts that the leader sent. It
// skips invalid addresses and keeps the old list if none is valid.
func (w *Watcher) setControlHosts(texts []string) {
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
	w.controlHosts = control
}
