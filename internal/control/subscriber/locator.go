package subscriber

import (
	"context"
	"io"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"gentianpond/internal/protocol/messenger"
)

// maxUnconfiguredConns bounds the connections to control hosts that another host
// named as the leader but that are not configured.
const maxUnconfiguredConns = 8

// controlConn is a connection to one control host. closer closes it and may be nil.
type controlConn struct {
	// client makes the calls on the connection.
	client messenger.ControlClient
	closer io.Closer
}

// locator selects the control host to call: the last known leader, or the next
// configured host while the leader is unknown. It is safe for concurrent use.
type locator struct {
	// mu guards the fields that change after newLocator: conns, current, nextIndex,
	// avoidUntil and closed.
	mu sync.Mutex
	// configured holds the addresses of the control hosts from Config.
	configured []netip.AddrPort
	// connect opens a connection to a control host.
	connect Connector
	// conns holds the open connections by the address of the control host.
	conns map[netip.AddrPort]controlConn
	// current is the address of the host to call. nextIndex is the position in
	// configured of the host that selectNext tries first.
	current   netip.AddrPort
	nextIndex int
	// avoidUntil holds the time until which a host that timed out is avoided.
	avoidUntil map[netip.AddrPort]time.Time
	// closed is set by close. No further call is made then.
	closed bool
}

// newLocator returns a locator that first selects the first of the addresses.
func newLocator(addresses []netip.AddrPort, connect Connector) *locator {
	l := &locator{configured: slices.Clone(addresses), connect: connect,
		conns: map[netip.AddrPort]controlConn{}, avoidUntil: map[netip.AddrPort]time.Time{}}
	l.selectNext()
	return l
}

// selectNext makes the next configured host that is not avoided the current one. If
// all are avoided, it takes the next one anyway. The caller holds the mutex.
func (l *locator) selectNext() {
	from := l.current
	for range l.configured {
		l.current = l.configured[l.nextIndex]
		l.nextIndex = (l.nextIndex + 1) % len(l.configured)
		if l.current != from && !l.isAvoided(l.current) {
			return
		}
	}
	if len(l.configured) > 0 {
		l.current = l.configured[l.nextIndex]
		l.nextIndex = (l.nextIndex + 1) % len(l.configured)
	}
}

// isAvoided reports whether a host timed out within avoidDuration. The caller holds
// the mutex.
func (l *locator) isAvoided(addr netip.AddrPort) bool {
	return time.Now().Before(l.avoidUntil[addr])
}

// avoidHost excludes a host that timed out from selection for avoidDuration.
func (l *locator) avoidHost(addr netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.avoidUntil[addr] = time.Now().Add(avoidDuration)
}

// currentHost returns the current control host and a client for it.
func (l *locator) currentHost() (netip.AddrPort, messenger.ControlClient, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || !l.current.IsValid() {
		return l.current, nil, errors.New("no control host to ask")
	}
	if conn, ok := l.conns[l.current]; ok {
		return l.current, conn.client, nil
	}
	client, closer, err := l.connect(l.current)
	if err != nil {
		return l.current, nil, err
	}
	l.conns[l.current] = controlConn{client: client, closer: closer}
	return l.current, client, nil
}

// moveOnFrom selects the next host after a call to from failed or found no leader,
// unless another caller has already selected one.
func (l *locator) moveOnFrom(from netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != from {
		return
	}
	l.selectNext()
}

// redirect makes the leader that the host from named the current host. It reports
// whether the current host is now another one than from. A leader that replaced a
// control host need not be configured.
func (l *locator) redirect(from netip.AddrPort, leader string) bool {
	to, err := netip.ParseAddrPort(leader)
	if err != nil || to == from {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != from {
		return true
	}
	if l.isAvoided(to) {
		return false
	}
	_, connected := l.conns[to]
	if !connected && !slices.Contains(l.configured, to) && len(l.conns) >= len(l.configured)+maxUnconfiguredConns {
		return false
	}
	l.current = to
	return true
}

// closeConn closes the connection to a host that timed out: one connection can stop
// working permanently while new ones to the same host work.
func (l *locator) closeConn(addr netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if conn, ok := l.conns[addr]; ok {
		delete(l.conns, addr)
		if conn.closer != nil {
			_ = conn.closer.Close()
		}
	}
}

// close closes all connections and makes later calls fail.
func (l *locator) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, conn := range l.conns {
		if conn.closer != nil {
			_ = conn.closer.Close()
		}
	}
	clear(l.conns)
}

// backoff computes the pauses between calls while no leader answers. A part of each
// pause is random, so that entry hosts do not all call a new leader at once.
type backoff struct {
	// delay is the duration of one round of calls to all hosts.
	delay time.Duration
}

// nextDelay doubles the duration of a round, within minRoundDelay and maxRoundDelay,
// and returns the pause before the next of so many hosts is called.
func (b *backoff) nextDelay(hosts int) time.Duration {
	b.delay = min(max(2*b.delay, minRoundDelay), maxRoundDelay)
	return (b.delay/2 + rand.N(b.delay/2)) / time.Duration(max(hosts, 1))
}

// leaderReply is a reply that names the leader to call instead if the replying host
// is not the leader and knows it.
type leaderReply interface {
	GetLeader() string
}

// askLeader calls control hosts until the leader answers or ctx ends. The call may
// reach several hosts, so the request must be idempotent. fromLeader reports whether
// a reply is the leader's own.
func askLeader[R leaderReply](ctx context.Context, l *locator, call func(context.Context, messenger.ControlClient) (R, error), fromLeader func(R) bool) (R, error) {
	var pause backoff
	redirects := 0
	for {
		addr, reply, err := askOnce(ctx, l, call)
		switch {
		case err == nil && fromLeader(reply):
			return reply, nil
		case err == nil && redirects < maxRedirects && l.redirect(addr, reply.GetLeader()):
			redirects++
			continue
		case err == nil:
			err = errors.Errorf("%s is not the leader", addr)
		}
		// An error after the end of ctx says nothing about the host.
		if ctx.Err() == nil {
			l.moveOnFrom(addr)
		}
		redirects = 0
		if !wait(ctx, pause.nextDelay(len(l.configured))) {
			var none R
			return none, errors.Wrap(ErrUnavailable, err.Error())
		}
	}
}

// askOnce calls the current control host once, limited to callTimeout, and avoids
// the host if the call timed out.
func askOnce[R leaderReply](ctx context.Context, l *locator, call func(context.Context, messenger.ControlClient) (R, error)) (netip.AddrPort, R, error) {
	addr, client, err := l.currentHost()
	if err != nil {
		var none R
		return addr, none, err
	}
	sent := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := call(callCtx, client)
	// A call that took far longer than its timeout means that this process was
	// suspended, which says nothing about the host.
	if err != nil && ctx.Err() == nil && callCtx.Err() != nil && time.Since(sent) < 2*callTimeout {
		l.avoidHost(addr)
		l.closeConn(addr)
	}
	return addr, reply, err
}
