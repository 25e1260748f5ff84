package keeper

import (
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	"gentianpond/internal/protocol/messenger"
)

// SyncReply returns the part of a sync reply that comes from the replicated state:
// the view, the configuration and the quarantine list, each only if it is newer
// than the request's. A view lists every entry host; if each reply carried it, the
// traffic of each host would grow with the number of hosts. The leader adds the
// lease and whether the view is settled, and replies only after read confirmation.
// The argument now is the leader's time.
func (k *Keeper) SyncReply(r *messenger.SyncRequest, now time.Time) *messenger.SyncReply {
	if now.Before(k.latestTime) {
		now = k.latestTime
	}
	reply := &messenger.SyncReply{
		Revision:   k.config.revision,
		Quarantine: k.quarantine.Revision(),
		Time:       timestamppb.New(now),
	}
	if view := k.View(); r.GetLeaving() || r.GetAdopted() < view.GetNumber() {
		reply.View = view
	}
	if r.GetRevision() < reply.Revision {
		reply.Document = k.config.document.text
	}
	if r.GetQuarantine() < reply.Quarantine {
		reply.Suspects = k.Suspicions()
		reply.SuspectsSet = true
		reply.Alerts = k.Alerts()
	}
	return reply
}
