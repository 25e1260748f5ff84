package lender

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/grpc/connectivity"

	"gentianpond/internal/protocol/messenger"
	"gentianpond/internal/route/allotter"
)

// Run gives back requests and keeps the connections to lenders until ctx ends.
func (l *Lender) Run(ctx context.Context) error {
	defer l.conns.Close()
	ticker, pings := time.NewTicker(checkInterval), time.NewTicker(allotter.PingInterval)
	defer ticker.Stop()
	defer pings.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.giving:
			l.giveBack(ctx)
		case <-ticker.C:
			l.check()
		case <-pings.C:
			l.ping(ctx)
		}
	}
}

// ping tells the lenders of this host while it is out of touch with the control hosts, so
// that they do not leave a part of the allowances to it.
func (l *Lender) ping(ctx context.Context) {
	if !l.HasLimits() || !l.isApart() {
		return
	}
	l.mu.Lock()
	lenders := slices.Clone(l.lenders)
	l.mu.Unlock()
	for _, o := range lenders {
		if o.Address == l.config.Address {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, giveTime)
			defer cancel()
			if _, err := l.ask(ctx, allotter.Step{Address: o.Address}, "", false); err == nil {
				l.recordAnswer(o.Address)
			}
		}()
	}
}

// giveBack sends what there is to give back. What cannot be delivered is lost: the account
// is then refused slightly early.
func (l *Lender) giveBack(ctx context.Context) {
	l.mu.Lock()
	gifts := l.gifts
	l.gifts = map[gift]int{}
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, giveTime)
	defer cancel()
	for g, count := range gifts {
		conn, err := l.conns.Get(g.address)
		if err == nil {
			_, err = messenger.NewRelayClient(conn).Give(ctx, &messenger.GiveRequest{Account: g.account, Count: uint32(count), Backup: g.backup})
		}
		if err != nil {
			l.config.Scope.Counter("return_failures").Inc(int64(count))
			l.config.Log.Debug("could not return requests of an account", "host", g.address, "account", g.account, "count", count, "err", err)
		}
	}
}

// check records the contact with the control hosts, and opens and closes connections.
func (l *Lender) check() {
	now, contactAt := time.Now(), l.config.ContactAt()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.allotter.Contact(now, contactAt)
	if !l.hasLimits {
		return
	}
	if mode := l.allotter.Mode(now); mode != l.mode {
		l.config.Log.Info("mode of allowances changed", "mode", mode, "before", l.mode, "silence", now.Sub(contactAt))
		l.mode = mode
	}
	listed := func(a netip.AddrPort) bool {
		return slices.ContainsFunc(l.lenders, func(o allotter.Lender) bool { return o.Address == a })
	}
	for a := range l.connected {
		if !listed(a) || l.isBroken(a) {
			delete(l.connected, a)
			l.conns.Drop(a)
		}
	}
	opened := 0
	for _, i := range rand.Perm(len(l.lenders)) {
		a := l.lenders[i].Address
		if _, ok := l.connected[a]; ok || a == l.config.Address || opened >= connectsPerCheck {
			continue
		}
		if _, err := l.conns.Get(a); err == nil {
			l.connected[a] = struct{}{}
			opened++
		}
	}
}

// isBroken reports whether a connection failed, so that a new one must not wait for its
// backoff.
func (l *Lender) isBroken(a netip.AddrPort) bool {
	conn, err := l.conns.Get(a)
	if err != nil {
		return true
	}
	state := conn.GetState()
	if state == connectivity.Idle {
		conn.Connect()
	}
	return state == connectivity.TransientFailure
}
