// Package delegator hands requests over to other entry hosts while this host cannot reach
// the backend servers, and serves requests that others hand over.
//
// A request is handed over whole and at most once: the host that takes it chooses the
// servers by its own rules and never hands it on. Hosts ask only those that the control
// hosts listed, and serve only those.
package delegator

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"gentianpond/internal/control/subscriber"
	"gentianpond/internal/host/acceptor"
	"gentianpond/internal/protocol/messenger"
	"gentianpond/internal/route/relayer"
)

const (
	// connectTimeout bounds the time to connect to a host. It is far above the round trip
	// between zones.
	connectTimeout = 100 * time.Millisecond
	// seekTimeout bounds the time in which hosts are asked for one request.
	seekTimeout = 300 * time.Millisecond
	// longRest is how long a host is not asked after it could not be reached or could not
	// reach the backend servers either, shortRest after it was not ready for the request.
	longRest  = 500 * time.Millisecond
	shortRest = 50 * time.Millisecond
	// maxReplyBytes bounds an answer of another host with its headers. It is above what the
	// settings allow the answers to one request.
	maxReplyBytes = 8 << 20
	// idleTimeout is how long a connection to a host is kept without a request.
	idleTimeout = 10 * time.Second
	// sweepInterval is how often idle connections are looked for.
	sweepInterval = time.Second
	// pingInterval and pingTimeout detect a host that has lost power or frozen while it
	// serves a request. grpc also sets TCP_USER_TIMEOUT to pingTimeout.
	pingInterval = 10 * time.Second
	pingTimeout  = time.Second
	// keepAliveInterval and keepAliveCount are those of TCP keep-alive, which detects the
	// same without pings.
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Config holds the settings of a delegator.
type Config struct {
	// Address is where this host serves others. It is also the local address of the
	// connections to them, by which they recognize it.
	Address netip.AddrPort
	// Zone is the availability zone of this host.
	Zone  string
	Log   *log.Logger
	Scope tally.Scope
}

// Delegator hands requests over to other entry hosts. Use New. It is safe for concurrent
// use.
type Delegator struct {
	config Config
	conns  messenger.Conns
	// dial opens the connections to other hosts.
	dial func(ctx context.Context, address string) (net.Conn, error)

	// mu guards the fields below.
	mu sync.Mutex
	// helpers are the hosts that the control hosts listed.
	helpers []*helper
	// lastUsed is when each helper was asked last, for those with a connection.
	lastUsed map[netip.AddrPort]time.Time
}

// New returns a delegator that knows no other host.
func New(c Config) *Delegator {
	d := &Delegator{config: c, lastUsed: map[netip.AddrPort]time.Time{}}
	d.dial = NewDialer(c.Address)
	d.conns.DialOptions = []grpc.DialOption{
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) { return d.dial(ctx, address) }),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingInterval, Timeout: pingTimeout}),
	}
	return d
}

// NewDialer returns a function that opens connections to other entry hosts. They come from
// the local address at which this host serves others, by which they recognize it.
func NewDialer(local netip.AddrPort) func(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: connectTimeout, LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(local.Addr(), 0)),
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount},
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp4", address)
	}
}

// SetPeers replaces the hosts that may be asked.
func (d *Delegator) SetPeers(peers []subscriber.Peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var next []*helper
	for _, p := range peers {
		i := slices.IndexFunc(d.helpers, func(h *helper) bool { return h.address == p.Address })
		if i < 0 {
			next = append(next, &helper{address: p.Address, zone: p.Zone})
			continue
		}
		d.helpers[i].zone = p.Zone
		next = append(next, d.helpers[i])
	}
	d.helpers = next
}

// Run closes connections that are no longer used until ctx ends.
func (d *Delegator) Run(ctx context.Context) error {
	defer d.conns.Close()
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			d.closeIdle(now)
		}
	}
}

// closeIdle closes the connections that have not been used for idleTimeout.
func (d *Delegator) closeIdle(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for address, at := range d.lastUsed {
		busy := slices.ContainsFunc(d.helpers, func(h *helper) bool { return h.address == address && h.inFlight > 0 })
		if !busy && now.Sub(at) >= idleTimeout {
			delete(d.lastUsed, address)
			d.conns.Drop(address)
		}
	}
}

// Delegate implements relayer.Delegator. It asks one host after the other until one
// takes the request.
func (d *Delegator) Delegate(ctx context.Context, r relayer.Request) (relayer.Answer, error) {
	if !fitsMessage(r) {
		d.config.Scope.Counter("not_taken").Inc(1)
		d.config.Log.Info("request cannot be handed over, because it has text that is not UTF-8", "request", r.ID)
		return relayer.Answer{}, relayer.ErrNotTaken
	}
	start := time.Now()
	var asked []*helper
	excluded := d.excludedFor(r)
	for time.Since(start) < seekTimeout && ctx.Err() == nil {
		h := d.take(time.Now(), append(slices.Clone(excluded), asked...))
		if h == nil {
			break
		}
		answer, err := d.ask(ctx, h, r)
		d.release(h, err)
		if !errors.Is(err, relayer.ErrNotTaken) {
			d.report(r, h, answer, err, time.Since(start), len(asked))
			return answer, err
		}
		d.config.Log.Debug("request not taken over", "request", r.ID, "host", h.address, "err", err)
		asked = append(asked, h)
	}
	d.config.Scope.Counter("not_taken").Inc(1)
	d.config.Log.Info("no other host took the request", "request", r.ID, "asked", len(asked), "known", d.known(), "took", time.Since(start))
	return relayer.Answer{}, relayer.ErrNotTaken
}

// excludedFor returns the hosts in zones to which the request must not be handed over.
func (d *Delegator) excludedFor(r relayer.Request) []*helper {
	if r.MayHandOverTo == nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []*helper
	for _, h := range d.helpers {
		if !r.MayHandOverTo(h.zone) {
			list = append(list, h)
		}
	}
	return list
}

// report logs and counts a request that another host took.
func (d *Delegator) report(r relayer.Request, h *helper, a relayer.Answer, err error, took time.Duration, refusals int) {
	d.config.Scope.Counter("handed_over").Inc(1)
	d.config.Log.Info("request handed over", "request", r.ID, "host", h.address, "zone", h.zone, "reason", a.Reason, "took", took,
		"refusals", refusals, "err", err)
}

// known returns the number of hosts that may be asked.
func (d *Delegator) known() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.helpers)
}

// take chooses a helper and counts a request to it.
func (d *Delegator) take(now time.Time, asked []*helper) *helper {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.helpers) == 0 {
		return nil
	}
	h := choose(now, d.helpers, d.config.Zone, asked, rand.IntN(len(d.helpers)))
	if h == nil {
		return nil
	}
	h.inFlight++
	d.lastUsed[h.address] = now
	return h
}

// release counts the end of a request to a helper and lets it rest if it could not help.
func (d *Delegator) release(h *helper, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	h.inFlight--
	if _, ok := d.lastUsed[h.address]; ok {
		d.lastUsed[h.address] = now
	}
	switch {
	case err == nil, status.Code(err) == codes.Internal:
		// An answer that a message cannot hold says nothing about the host.
	case errors.Is(err, errNotReady):
		h.restsUntil = now.Add(shortRest)
	default:
		h.restsUntil = now.Add(longRest)
	}
}

// errNotReady means that a host will be able to take requests soon. It is joined with
// relayer.ErrNotTaken.
var errNotReady = errors.New("not ready for the request")

// ask hands the request to one host. The error wraps relayer.ErrNotTaken if that host
// has not run the request and will not; after any other error it may have run.
func (d *Delegator) ask(ctx context.Context, h *helper, r relayer.Request) (relayer.Answer, error) {
	conn, err := d.connect(ctx, h.address)
	if err != nil {
		return relayer.Answer{}, errors.Join(relayer.ErrNotTaken, err)
	}
	request := encodeRequest(r, time.Now(), rand.Uint64())
	reply, err := messenger.NewRelayClient(conn).Forward(messenger.AnnounceSize(ctx, request), request, grpc.MaxCallRecvMsgSize(maxReplyBytes))
	switch status.Code(err) {
	case codes.OK:
	case codes.PermissionDenied, codes.Unimplemented, status.Code(acceptor.ErrNoCallMemory):
		// The host does not know this one yet, runs an older version, or has no memory for the
		// request.
		return relayer.Answer{}, errors.Join(relayer.ErrNotTaken, errNotReady, err)
	default:
		return relayer.Answer{}, errors.Wrapf(err, "forward to %s", h.address)
	}
	answer := decodeReply(reply)
	switch answer.Reason {
	case relayer.NotReady:
		return relayer.Answer{}, errors.Join(relayer.ErrNotTaken, errNotReady)
	case relayer.NoServer:
		return relayer.Answer{}, errors.Wrap(relayer.ErrNotTaken, "no server can be reached from there")
	}
	return answer, nil
}

// connect returns a connection to a host that is ready. A call on any other one could
// fail without telling whether it was sent.
func (d *Delegator) connect(ctx context.Context, address netip.AddrPort) (*grpc.ClientConn, error) {
	conn, err := d.conns.Get(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	for {
		state := conn.GetState()
		switch state {
		case connectivity.Ready:
			return conn, nil
		case connectivity.TransientFailure, connectivity.Shutdown:
			// The next attempt must not wait for the backoff of this connection.
			d.conns.Drop(address)
			return nil, errors.Errorf("connection to %s: %s", address, state)
		case connectivity.Idle:
			conn.Connect()
		case connectivity.Connecting:
		}
		if !conn.WaitForStateChange(ctx, state) {
			d.conns.Drop(address)
			return nil, errors.Wrapf(ctx.Err(), "connect to %s", address)
		}
	}
}
