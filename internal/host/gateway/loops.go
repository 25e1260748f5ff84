package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"gentianpond/internal/fleet/assigner"
	"gentianpond/internal/protocol/messenger"
	"gentianpond/internal/search/coordinator"
)

// The intervals of the entry host's loops.
const (
	// refreshInterval bounds how long a lost or draining backend server stays
	// in the directory after its lease ended.
	refreshInterval = 20 * time.Millisecond
	// tickInterval bounds how late a queued request that has expired is refused.
	// The entry host that coordinates the request gives it up in time by itself.
	tickInterval = 20 * time.Millisecond
	// shareInterval is the time between two pulls of a peer's announcements.
	shareInterval = 250 * time.Millisecond
	// shareTimeout bounds one pull.
	shareTimeout = time.Second
)

// directoryInputs identifies what a directory was built from.
type directoryInputs struct {
	// fleetVersion is the version of the fleet table.
	fleetVersion uint64
	// viewNumber is the number of the adopted view.
	viewNumber uint64
	// revision is that of the configuration document.
	revision uint64
	// set is false in the zero value, before the first directory is built.
	set bool
}

// refreshLoop rebuilds the directory until ctx ends.
func (g *Gateway) refreshLoop(ctx context.Context) error {
	return runEvery(ctx, refreshInterval, func() { g.refresh(time.Now()) })
}

// tickLoop calls the dispatcher's Tick until ctx ends.
func (g *Gateway) tickLoop(ctx context.Context) error {
	return runEvery(ctx, tickInterval, func() { g.dispatcher.Tick(ctx, time.Now()) })
}

// runEvery calls f at once and then at each interval, until ctx ends. It returns the
// context's error.
func runEvery(ctx context.Context, interval time.Duration, f func()) error {
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

// refresh rebuilds the directory and updates the dispatcher's servers if the fleet, the
// view or the configuration has changed.
func (g *Gateway) refresh(now time.Time) {
	config := g.currentConfig.Load()
	if config == nil || config.unusable {
		return
	}
	g.refreshMu.Lock()
	defer g.refreshMu.Unlock()
	view := g.dispatcher.AdoptedView()
	g.fleetMu.Lock()
	lost := g.fleet.Expire(now)
	next := directoryInputs{fleetVersion: g.fleet.Version(), viewNumber: view.Number, revision: config.revision, set: true}
	if next == g.builtFrom {
		g.fleetMu.Unlock()
		return
	}
	usable := g.fleet.Usable(now)
	next.fleetVersion = g.fleet.Version()
	g.fleetMu.Unlock()
	for _, name := range lost {
		g.log.Warn("lease of a backend server expired", "server", name)
	}
	g.builtFrom = next
	g.dispatcher.UpdateServers(now, usable)
	g.coordinator.Update(now, coordinator.NewDirectory(usable, view, config.document))
}

// shareLoop pulls announcements from the other entry hosts until ctx ends. A peer
// that has not answered yet is left out.
func (g *Gateway) shareLoop(ctx context.Context) error {
	cursors := map[string]*shareCursor{}
	return runEvery(ctx, shareInterval, func() {
		for _, m := range g.dispatcher.AdoptedView().Members {
			if m.Name == g.self.Name {
				continue
			}
			p, ok := cursors[m.Name]
			if !ok || p.member != m {
				p = &shareCursor{member: m}
				cursors[m.Name] = p
			}
			if p.pulling.CompareAndSwap(false, true) {
				go g.pullAnnouncements(ctx, p)
			}
		}
	})
}

// shareCursor records up to which change this host has pulled a peer's announcements.
type shareCursor struct {
	// member is the peer.
	member assigner.Member
	// pulling is true during a pull, which alone uses the fields below.
	pulling atomic.Bool
	// incarnation is the peer's process that lastNumber belongs to.
	incarnation uint64
	// lastNumber is the number of the last change that was received.
	lastNumber uint64
}

// pullAnnouncements asks a peer for the changes after the cursor, or for all of them
// if the fleet table needs repair, and merges them into the table.
func (g *Gateway) pullAnnouncements(ctx context.Context, p *shareCursor) {
	defer p.pulling.Store(false)
	client, err := g.peers.client(p.member)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	now := time.Now()
	since := p.lastNumber
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
	p.incarnation, p.lastNumber = r.GetIncarnation(), r.GetLast()
	g.fleetMu.Lock()
	err = g.fleet.Merge(now, r.GetShared()...)
	g.fleetMu.Unlock()
	if err != nil {
		g.log.Warn("announcements shared by a peer were rejected", "peer", p.member.Name, "err", err)
	}
}
