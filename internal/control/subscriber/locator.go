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

// maxExtra bounds the connections to control hosts that are not configured
// but were named as leaders.
const maxExtra = 8

// peer is a connection to one control host.
type peer struct {
	client messenger.ControlClient
	closer io.Closer
}

// locator remembers which control host to ask. It is safe for concurrent use.
type locator struct {
	mu        sync.Mutex
	addresses []netip.AddrPort
	connect   Connector
	peers     map[netip.AddrPort]peer
	current   netip.AddrPort
	next      int
	// silent holds until when hosts that gave no answer are avoided.
	silent map[netip.AddrPort]time.Time
	closed bool
}

func newLocator(addresses []netip.AddrPort, connect Connector) *locator {
	l := &locator{addresses: slices.Clone(addresses), connect: connect,
		peers: map[netip.AddrPort]peer{}, silent: map[netip.AddrPort]time.Time{}}
	l.rotate()
	return l
}

// rotate moves on to the next configured address that is not avoided, or to
// the next one if all are.
func (l *locator) rotate() {
	from := l.current
	for range l.addresses {
		l.current = l.addresses[l.next]
		l.next = (l.next + 1) % len(l.addresses)
		if l.current != from && !l.avoided(l.current) {
			return
		}
	}
	if len(l.addresses) > 0 {
		l.current = l.addresses[l.next]
		l.next = (l.next + 1) % len(l.addresses)
	}
}

func (l *locator) avoided(addr netip.AddrPort) bool {
	return time.Now().Before(l.silent[addr])
}

// avoid notes that a host gave no answer.
func (l *locator) avoid(addr netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent[addr] = time.Now().Add(silence)
}

// target returns the control host to ask.
func (l *locator) target() (netip.AddrPort, messenger.ControlClient, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || !l.current.IsValid() {
		return l.current, nil, errors.New("no control host to ask")
	}
	if p, ok := l.peers[l.current]; ok {
		return l.current, p.client, nil
	}
	client, closer, err := l.connect(l.current)
	if err != nil {
		return l.current, nil, err
	}
	l.peers[l.current] = peer{client: client, closer: closer}
	return l.current, client, nil
}

// failed moves on from a host that gave no answer, unless another caller has
// done so already.
func (l *locator) failed(from netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != from {
		return
	}
	l.rotate()
}

// redirect follows the name of a leader that a host gave, and reports whether
// there is another host to ask now. A leader that replaced a control host need
// not be configured.
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
	if l.avoided(to) {
		return false
	}
	_, connected := l.peers[to]
	if !connected && !slices.Contains(l.addresses, to) && len(l.peers) >= len(l.addresses)+maxExtra {
		return false
	}
	l.current = to
	return true
}

// drop closes the connection to a host that gave no answer: a connection can go
// silent for good while new ones work.
func (l *locator) drop(addr netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p, ok := l.peers[addr]; ok {
		delete(l.peers, addr)
		if p.closer != nil {
			_ = p.closer.Close()
		}
	}
}

func (l *locator) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, p := range l.peers {
		if p.closer != nil {
			_ = p.closer.Close()
		}
	}
	clear(l.peers)
}

// backoff is the pause before another of some hosts is asked. The random part
// keeps entry hosts from asking a new leader all at once.
type backoff struct {
	delay time.Duration
}

func (b *backoff) next(hosts int) time.Duration {
	b.delay = min(max(2*b.delay, firstDelay), lastDelay)
	return (b.delay/2 + rand.N(b.delay/2)) / time.Duration(max(hosts, 1))
}

// answer is a reply that may name the leader to ask instead.
type answer interface {
	GetLeader() string
}

// ask calls control hosts until the leader answers or ctx ends. The call may
// reach several hosts, so the request has to be safe to repeat. Final tells
// the leader's answer from that of another host.
func ask[A answer](ctx context.Context, l *locator, call func(context.Context, messenger.ControlClient) (A, error), final func(A) bool) (A, error) {
	var pause backoff
	redirects := 0
	for {
		addr, reply, err := try(ctx, l, call)
		switch {
		case err == nil && final(reply):
			return reply, nil
		case err == nil && redirects < maxRedirects && l.redirect(addr, reply.GetLeader()):
			redirects++
			continue
		case err == nil:
			err = errors.Errorf("%s is not the leader", addr)
		}
		// A caller that has run out of time learned nothing about the host.
		if ctx.Err() == nil {
			l.failed(addr)
		}
		redirects = 0
		if !wait(ctx, pause.next(len(l.addresses))) {
			var none A
			return none, errors.Wrap(ErrUnavailable, err.Error())
		}
	}
}

func try[A answer](ctx context.Context, l *locator, call func(context.Context, messenger.ControlClient) (A, error)) (netip.AddrPort, A, error) {
	addr, client, err := l.target()
	if err != nil {
		var none A
		return addr, none, err
	}
	sent := time.Now()
	limited, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	reply, err := call(limited, client)
	// A much longer time than the timeout means that this process stood still,
	// which says nothing about the host.
	if err != nil && ctx.Err() == nil && limited.Err() != nil && time.Since(sent) < 2*tryTimeout {
		l.avoid(addr)
		l.drop(addr)
	}
	return addr, reply, err
}
