package gateway

import (
	"context"
	"fmt"
	"time"

	"gentianpond/internal/control/subscriber"
	"gentianpond/internal/guard/quarantiner"
	"gentianpond/internal/order/executor"
	"gentianpond/internal/order/recorder"
	"gentianpond/internal/protocol/messenger"
	"gentianpond/internal/search/dispatcher"
	"gentianpond/internal/settings/checker"
)

// newSubscriber returns the client of the control hosts. When the lease ends
// without a renewal, it has the dispatcher cancel the requests in flight.
func (g *Gateway) newSubscriber() *subscriber.Subscriber {
	return subscriber.New(subscriber.Config{
		Member:    g.self,
		Addresses: g.settings.Control,
		Connect:   subscriber.Connect(messenger.FromAddress(g.self.Address.Addr())),
		Progress: func() subscriber.ViewProgress {
			adopted, released := g.dispatcher.ViewNumbers()
			return subscriber.ViewProgress{Adopted: adopted, Released: released}
		},
		OnChange: g.applyState,
		OnLeaseExpired: func() {
			g.scope.Counter("lease_ends").Inc(1)
			g.dispatcher.Tick(context.Background(), time.Now())
		},
		Log: g.log,
	})
}

// applyState adopts the view and the configuration of a new state from the control
// hosts and rebuilds the directory if they differ from the last ones. The lease is
// renewed only after it returns, so a host that holds the renewed lease never accepts
// a request under an older configuration.
func (g *Gateway) applyState(s subscriber.State) {
	g.dispatcher.Adopt(s.View, s.Settled)
	if c := g.currentConfig.Load(); c == nil || c.revision != s.ConfigRevision {
		g.setConfiguration(s.ConfigRevision, s.ConfigDocument)
	}
	g.refresh(time.Now())
}

// setConfiguration decodes a configuration document and makes it the current one.
func (g *Gateway) setConfiguration(revision uint64, text []byte) {
	document, err := checker.ParseDocument("configuration", text)
	if err != nil {
		// The control hosts check documents with the same code before they
		// accept them, so this host runs another version of the program.
		g.log.Error("configuration cannot be decoded, this host needs the leader's version", "revision", revision, "err", err)
		g.currentConfig.Store(&configuration{revision: revision, unusable: true})
		return
	}
	g.currentConfig.Store(&configuration{revision: revision, document: document})
	g.log.Info("configuration in force", "revision", revision)
}

// reportObservation records an observation of the dispatcher in this host's
// suspicions, sends it to the control hosts, and warns the other entry hosts if it
// made the verdict on the request stricter.
func (g *Gateway) reportObservation(o dispatcher.Observation) {
	if o.Crashed {
		g.log.Warn("connection to a backend server broke", "server", o.Server, "fingerprint", fmt.Sprintf("%016x", o.Fingerprint), "alone", o.Alone)
		g.scope.Counter("broken_connections").Inc(1)
	}
	if g.suspicions.record(time.Now(), o) {
		g.warnPeers(o)
	}
	g.control.ReportObservation(quarantiner.Observation{
		ID:          fmt.Sprintf("%s-%x-%s", g.self.Name, g.self.Incarnation, o.Attempt),
		Fingerprint: o.Fingerprint, Archive: o.Archive, Server: o.Server, Incarnation: o.Incarnation, Crashed: o.Crashed, Alone: o.Alone,
	})
}

// ledgerClient is the executor's Ledger. It calls the control hosts, which keep the
// order ledger.
type ledgerClient struct{ *Gateway }

// Reserve asks the control hosts to reserve the key of an order for an attempt. The
// order may be dispatched only if the verdict grants it.
func (l ledgerClient) Reserve(ctx context.Context, o executor.Order, attempt string) (executor.Reservation, error) {
	a, err := l.control.ReserveOrder(ctx, subscriber.OrderIntent{
		Key: o.Key, Attempt: attempt, Fingerprint: o.Fingerprint, Deadline: o.Deadline, Retention: o.Retention,
	})
	return executor.Reservation{Verdict: a.Verdict, Outcome: a.Outcome, Code: a.Code, Answer: a.Answer, Omitted: a.Omitted}, err
}

// Complete records the outcome of an attempt.
func (l ledgerClient) Complete(ctx context.Context, key, attempt string, outcome recorder.Outcome, code string, answer []byte) error {
	_, err := l.control.CompleteOrder(ctx, subscriber.OrderCompletion{Key: key, Attempt: attempt, Outcome: outcome, Code: code, Answer: answer})
	return err
}
