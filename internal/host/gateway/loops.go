package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"gentianpond/internal/fleet/assigner"
	"gentianpond/internal/protocol/messenger"
	"gentianpond/internal/search/coordinator"
)

// The intervals of the entry host's duties.
const (
	// refreshInterval bounds how long a lost or draining backend server stays
	// in the directory after its lease ended.
	refreshInterval = 20 * time.Millisecond
	// tickInterval bounds how late a queued request that has expired is refused;
	// its root gives it up by itself in time.
	tickInterval  = 20 * time.Millisecond
	shareInterval = 250 * time.Millisecond
	shareTimeout  = time.Second
)

// built tells what the current directory was built from.
type built struct {
	version  uint64
	view     uint64
	revision uint64
	set      bool
}

func (g *Gateway) refreshLoop(ctx context.Context) error {
	return every(ctx, refreshInterval, func() { g.refresh(time.Now()) })
}

func (g *Gateway) tickLoop(ctx context.Context) error {
	return every(ctx, tickInterval, func() { g.dispatcher.Tick(ctx, time.Now()) })
}

func every(ctx context.Context, interval time.Duration, f func()) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// refresh rebuilds the directory when the fleet, the view or the
// configuration has changed.
func (g *Gateway) refresh(now time.Time) {
	config := g.configured.Load()
	if config == nil {
		return
	}
	g.refreshMu.Lock()
	defer g.refreshMu.Unlock()
	view := g.dispatcher.AdoptedView()
	g.fleetMu.Lock()
	lost := g.fleet.Expire(now)
	next := built{version: g.fleet.Version(), view: view.Number, revision: config.revision, set: true}
	if next == g.built {
		g.fleetMu.Unlock()
		return
	}
	usable := g.fleet.Usable(now)
	next.version = g.fleet.Version()
	g.fleetMu.Unlock()
	for _, name := range lost {
		g.log.Warn("backend server is silent", "server", name)
	}
	g.built = next
	g.dispatcher.UpdateServers(now, usable)
	g.coordinator.Update(now, coordinator.NewDirectory(usable, view, config.document))
}

// shareLoop pulls announcements from the other entry hosts.
func (g *Gateway) shareLoop(ctx context.Context) error {
	known := map[string]*peerShare{}
	return every(ctx, shareInterval, func() {
		for _, m := range g.dispatcher.AdoptedView().Members {
			if m.Name == g.self.Name {
				continue
			}
			p, ok := known[m.Name]
			if !ok || p.member != m {
				p = &peerShare{member: m}
				known[m.Name] = p
			}
			if p.busy.CompareAndSwap(false, true) {
				go g.pull(ctx, p)
			}
		}
	})
}

// peerShare is how far this host has followed one peer's announcements.
type peerShare struct {
	member      assigner.Member
	busy        atomic.Bool
	incarnation uint64
	last        uint64
}

func (g *Gateway) pull(ctx context.Context, p *peerShare) {
	defer p.busy.Store(false)
	client, err := g.peers.client(p.member)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	now := time.Now()
	since := p.last
	g.fleetMu.Lock()
	if g.fleet.NeedsRepair(now) {
		since = 0
	}
	g.fleetMu.Unlock()
	r, err := client.Share(ctx, &messenger.ShareRequest{Host: g.self.Name, Incarnation: p.incarnation, Since: since})
	if err != nil {
		g.scope.Counter("share_failures").Inc(1)
		return
	}
	p.incarnation, p.last = r.GetIncarnation(), r.GetLast()
	g.fleetMu.Lock()
	err = g.fleet.Merge(now, r.GetShared()...)
	g.fleetMu.Unlock()
	if err != nil {
		g.log.Warn("a peer shared something invalid", "peer", p.member.Name, "err", err)
	}
}
