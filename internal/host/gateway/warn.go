package gateway

import (
	"context"
	"time"

	"gentianpond/internal/fleet/assigner"
	"gentianpond/internal/protocol/messenger"
	"gentianpond/internal/search/dispatcher"
)

// warnTimeout bounds one warning. The control hosts' list follows anyway.
const warnTimeout = 500 * time.Millisecond

// warn tells the other entry hosts of a crash at once. A caller that sends the
// request again reaches another host within milliseconds, long before the
// control hosts' list does. It is called once per fingerprint and stage, so a
// fan-out that crashes many servers costs one message a host.
func (g *Gateway) warn(o dispatcher.Observation) {
	m := &messenger.Observation{
		Fingerprint: o.Fingerprint, Archive: o.Archive, Server: o.Server, Incarnation: o.Incarnation, Crashed: o.Crashed, Alone: o.Alone,
	}
	// The observation arrives under the dispatch of a request, which must not
	// wait for other hosts.
	go func() {
		for _, peer := range g.dispatcher.AdoptedView().Members {
			if peer.Name != g.self.Name {
				go g.warnPeer(peer, m)
			}
		}
	}()
}

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
