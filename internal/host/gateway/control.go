package gateway

import (
	"context"
	"fmt"
	"time"

	"gentianpond/internal/control/subscriber"
	"gentianpond/internal/guard/quarantiner"
	"gentianpond/internal/order/executor"
	"gentianpond/internal/order/recorder"
	"gentianpond/internal/search/dispatcher"
	"gentianpond/internal/settings/checker"
)

func (g *Gateway) newSubscriber() *subscriber.Subscriber {
	return subscriber.New(subscriber.Config{
		Member:    g.self,
		Addresses: g.settings.Control,
		Progress: func() subscriber.Progress {
			adopted, released := g.dispatcher.ViewNumbers()
			return subscriber.Progress{Adopted: adopted, Released: released}
		},
		Changed: g.adopt,
		Expired: func() {
			g.scope.Counter("lease_ends").Inc(1)
			g.dispatcher.Tick(context.Background(), time.Now())
		},
		Log: g.log,
	})
}

// adopt puts a new state in force. The lease is renewed only after it returns,
// so a host never takes a request under a lease and an older configuration.
func (g *Gateway) adopt(s subscriber.State) {
	g.dispatcher.Adopt(s.View, s.Settled)
	if c := g.configured.Load(); c == nil || c.revision != s.Revision {
		g.configure(s.Revision, s.Document)
	}
	g.refresh(time.Now())
}

func (g *Gateway) configure(revision uint64, text []byte) {
	document, err := checker.ParseDocument("configuration", text)
	if err != nil {
		// The control hosts check with the same code before they accept, so
		// this is a host that runs another version of the program.
		g.log.Error("configuration can't be read, this host needs the leader's version", "revision", revision, "err", err)
	}
	g.configured.Store(&configuration{revision: revision, document: document})
	g.log.Info("configuration in force", "revision", revision)
}

// observe reports what a dispatch told about a request that crashes servers.
func (g *Gateway) observe(o dispatcher.Observation) {
	if o.Crashed {
		g.log.Warn("connection to a backend server broke", "server", o.Server, "fingerprint", fmt.Sprintf("%016x", o.Fingerprint), "alone", o.Alone)
		g.scope.Counter("broken_connections").Inc(1)
	}
	if g.suspicions.observe(time.Now(), o) {
		g.warn(o)
	}
	g.control.Suspect(quarantiner.Observation{
		ID:          fmt.Sprintf("%s-%x-%s", g.self.Name, g.self.Incarnation, o.Attempt),
		Fingerprint: o.Fingerprint, Archive: o.Archive, Server: o.Server, Incarnation: o.Incarnation, Crashed: o.Crashed, Alone: o.Alone,
	})
}

// ledger is the order ledger of the control hosts.
type ledger struct{ *Gateway }

// Reserve asks for the grant to dispatch an order.
func (l ledger) Reserve(ctx context.Context, o executor.Order, attempt string) (executor.Reservation, error) {
	a, err := l.control.Reserve(ctx, subscriber.Intent{
		Key: o.Key, Attempt: attempt, Fingerprint: o.Fingerprint, Deadline: o.Deadline, Retention: o.Retention,
	})
	return executor.Reservation{Verdict: a.Verdict, Outcome: a.Outcome, Code: a.Code, Answer: a.Answer, Omitted: a.Omitted}, err
}

// Complete records the outcome of an attempt.
func (l ledger) Complete(ctx context.Context, key, attempt string, outcome recorder.Outcome, code string, answer []byte) error {
	_, err := l.control.Complete(ctx, subscriber.Completion{Key: key, Attempt: attempt, Outcome: outcome, Code: code, Answer: answer})
	return err
}
