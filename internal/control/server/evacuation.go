package server

import (
	"context"
	"slices"
	"time"
	"unicode/utf8"

	"github.com/go-faster/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"gentianpond/internal/control/keeper"
	"gentianpond/internal/control/replicator"
	"gentianpond/internal/fleet/registrar"
	"gentianpond/internal/protocol/messenger"
)

// maxZoneBytes bounds the name of an availability zone. It is the bound of the registry.
const maxZoneBytes = 256

// Evacuate orders that no request is sent to the backend servers of an availability zone,
// or withdraws that order. It returns when the order is committed. Errors are ErrNoLeader,
// and ErrInvalidRequest for a zone that contains no host or server.
func (s *Server) Evacuate(ctx context.Context, zone string, withdrawn bool) error {
	if zone == "" || len(zone) > maxZoneBytes || !utf8.ValidString(zone) {
		return errors.Wrapf(ErrInvalidRequest, "availability zone %q", zone)
	}
	r := &messenger.EvacuateRequest{Zone: zone, Withdrawn: withdrawn}
	_, _, err := callLeader(ctx, s,
		func(ctx context.Context, c messenger.ControlServer) (*messenger.EvacuateReply, error) {
			return c.Evacuate(ctx, r)
		},
		func(ctx context.Context, c messenger.ControlClient) (*messenger.EvacuateReply, error) {
			return c.Evacuate(ctx, r)
		})
	return err
}

// Evacuate orders or withdraws the evacuation of a zone, or lists the evacuated zones.
func (s *service) Evacuate(ctx context.Context, r *messenger.EvacuateRequest) (*messenger.EvacuateReply, error) {
	return runInLoop(ctx, s.server, func(l *loop, done func(*messenger.EvacuateReply, error)) { l.evacuate(r, done) })
}

// evacuate handles an order about a zone, after read confirmation. One that is in force
// already, and the withdrawal of what was not ordered, are acknowledged without a log entry.
func (l *loop) evacuate(r *messenger.EvacuateRequest, done func(*messenger.EvacuateReply, error)) {
	l.confirmLeadership(func(confirmed bool) {
		zone := r.GetZone()
		switch {
		case !confirmed:
			done(&messenger.EvacuateReply{Leader: l.leaderAddress()}, nil)
		case zone == "" || l.keeper.IsEvacuated(zone) && !r.GetWithdrawn():
			done(l.evacuateReply(), nil)
		case len(zone) > maxZoneBytes || !l.knowsZone(zone):
			done(nil, status.Errorf(codes.InvalidArgument, "availability zone %q contains no host or backend server", zone))
		case !l.keeper.IsEvacuated(zone) && r.GetWithdrawn():
			done(l.evacuateReply(), nil)
		default:
			l.proposeEvacuation(r, done)
		}
	})
}

// proposeEvacuation commits an order about a zone.
func (l *loop) proposeEvacuation(r *messenger.EvacuateRequest, done func(*messenger.EvacuateReply, error)) {
	p := &messenger.PublishRequest{Zone: r.GetZone(), Withdrawn: r.GetWithdrawn()}
	l.propose(&messenger.Command{Action: &messenger.Command_Publish{Publish: p}}, func(result keeper.Result, err error) {
		switch {
		case errors.Is(err, replicator.ErrNotLeader):
			done(&messenger.EvacuateReply{Leader: l.leaderAddress()}, nil)
		case err != nil:
			done(nil, proposalStatus(err))
		default:
			if result.EvacuationChanged {
				l.scope.Counter("evacuations").Inc(1)
				l.log.Info("evacuation changed", "zone", r.GetZone(), "withdrawn", r.GetWithdrawn(), "number", l.keeper.EvacuationNumber(),
					"evacuated", l.keeper.EvacuatedZones())
			}
			done(l.evacuateReply(), nil)
		}
	})
}

// evacuateReply returns the evacuated zones.
func (l *loop) evacuateReply() *messenger.EvacuateReply {
	return &messenger.EvacuateReply{Granted: true, Number: l.keeper.EvacuationNumber(), Evacuated: l.keeper.EvacuatedZones()}
}

// knowsZone reports whether a zone is one of the settings, is evacuated, or contains a
// control host, an entry host that watches, or a registered backend server.
func (l *loop) knowsZone(zone string) bool {
	if _, ok := l.settings.Zones[zone]; ok || zone == l.settings.Zone || l.keeper.IsEvacuated(zone) {
		return true
	}
	for _, h := range l.controlHosts() {
		if h.Zone == zone {
			return true
		}
	}
	if slices.ContainsFunc(l.watchingHosts.order, func(h *watchingHost) bool { return h.peer.GetZone() == zone }) {
		return true
	}
	found := false
	l.keeper.Registry().EachPresent(func(s registrar.Server) { found = found || s.Zone == zone })
	return found
}

// addEvacuations adds the orders about zones to the reply to a host that follows them and
// has an older state.
func (l *loop) addEvacuations(reply *messenger.WatchReply, r *messenger.WatchRequest) {
	if !r.GetEvacuates() {
		return
	}
	reply.Evacuation = l.keeper.EvacuationNumber()
	if r.GetEvacuation() >= reply.Evacuation {
		return
	}
	now := time.Now()
	for _, m := range l.keeper.Evacuations() {
		reply.Evacuations = append(reply.Evacuations, &messenger.Evacuation{
			Zone: m.GetZone(), Withdrawn: m.GetWithdrawn(), Age: durationpb.New(max(0, now.Sub(m.GetTime().AsTime()))),
		})
	}
}
