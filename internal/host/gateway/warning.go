package gateway

import (
	"context"
	"time"

	"gentianpond/internal/fleet/assigner"
	"gentianpond/internal/protocol/messenger"
	"gentianpond/internal/search/dispatcher"
)

// warnTimeout bounds the call that warns one peer. The control hosts' quarantine list
// makes up for a lost warning.
const warnTimeout = 500 * time.Millisecond

// warnPeers reports a crash to the other entry hosts at once. A caller that sends the
// request again reaches another host within milliseconds, long before the control
// hosts' quarantine list does. It is called only when the verdict on a fingerprint
// becomes stricter, so a fan-out that crashes many servers costs one message per host.
func (g *Gateway) warnPeers(o dispatcher.Observation) {
	m := &messenger.Observation{
		Fingerprint: o.Fingerprint, Archive: o.Archive, Server: o.Server, Incarnation: o.Incarnation, Crashed: o.Crashed, Alone: o.Alone,
	}
	// The dispatcher reports observations while it serves a request, which must not
	// wait for other hosts.
	go func() {
		for _, peer := range g.dispatcher.AdoptedView().Members {
			if peer.Name != g.self.Name {
				go g.warnPeer(peer, m)
			}
		}
	}()
}

// warnPeer sends the observation to one peer.
func (g *Gateway) warnPeer(peer assigner.Member, m *messenger.Observation) {
	ctx, cancel := context.WithTimeout(context.Background(), warnTimeout)
	defer cancel()
	client, err := g.peers.client(peer)
	if err == nil {
		_, err = client.Warn(ctx, m)
	}
	if err != nil {
		g.scope.Counter("warn_failures").Inc(1)
	}
}
