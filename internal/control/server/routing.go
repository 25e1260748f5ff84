package server

import (
	"github.com/go-faster/errors"

	"gentianpond/internal/control/keeper"
	"gentianpond/internal/control/replicator"
	"gentianpond/internal/protocol/messenger"
)

// publishRouting handles the request to store a routing document. A version that is not
// higher than the one in force is acknowledged without a log entry, but only after read
// confirmation: the version that superseded it must not be lost.
func (l *loop) publishRouting(r *messenger.PublishRequest, done func(*messenger.PublishReply, error)) {
	if !l.isLeader() {
		done(&messenger.PublishReply{Leader: l.leaderAddress()}, nil)
		return
	}
	if !l.keeper.SupersedesRouting(r.GetVersion()) {
		l.confirmLeadership(func(confirmed bool) {
			if !confirmed {
				done(&messenger.PublishReply{Leader: l.leaderAddress()}, nil)
				return
			}
			version, _, ok := l.keeper.RoutingDocument()
			done(&messenger.PublishReply{Granted: true, Version: version, Document: ok}, nil)
		})
		return
	}
	if r.GetVersion() == 0 {
		if err := l.formats.check(l.status); err != nil {
			l.log.Warn("routing document of version 0 not stored", "err", err)
			done(nil, err)
			return
		}
	}
	l.propose(&messenger.Command{Action: &messenger.Command_Publish{Publish: r}}, func(result keeper.Result, err error) {
		switch {
		case errors.Is(err, replicator.ErrNotLeader):
			done(&messenger.PublishReply{Leader: l.leaderAddress()}, nil)
		case err != nil:
			done(nil, proposalStatus(err))
		default:
			l.log.Info("routing document in force", "version", result.RoutingVersion, "sent", r.GetVersion(), "packed", len(r.GetPacked()))
			done(&messenger.PublishReply{Granted: true, Version: result.RoutingVersion, Document: true}, nil)
		}
	})
}

// readRouting replies with the routing document once this host is known to have led
// after the request arrived.
func (l *loop) readRouting(done func(*messenger.ReadReply, error)) {
	l.confirmLeadership(func(confirmed bool) {
		if !confirmed {
			done(&messenger.ReadReply{Leader: l.leaderAddress()}, nil)
			return
		}
		version, packed, ok := l.keeper.RoutingDocument()
		done(&messenger.ReadReply{Granted: true, Version: version, Packed: packed, Document: ok}, nil)
	})
}
