package subscriber

import (
	"time"

	"gentianpond/internal/fleet/registrar"
	"gentianpond/internal/protocol/messenger"
)

// learnEvacuations puts the evacuations of a reply, which arrived at now, into the state
// and reports whether they are newer. Their number is replicated, so that it also orders
// the replies of different leaders. Control hosts of the release before evacuations send
// none; the state then stays as it is.
func (w *Watcher) learnEvacuations(next *RoutingState, reply *messenger.WatchReply, now time.Time) bool {
	if reply.GetEvacuation() <= next.evacuation {
		return false
	}
	next.evacuation = reply.GetEvacuation()
	next.Evacuations = nil
	var evacuated []string
	for _, m := range reply.GetEvacuations() {
		next.Evacuations = append(next.Evacuations, registrar.Evacuation{
			Zone: m.GetZone(), Withdrawn: m.GetWithdrawn(), At: now.Add(-m.GetAge().AsDuration()),
		})
		if !m.GetWithdrawn() {
			evacuated = append(evacuated, m.GetZone())
		}
	}
	w.config.Log.Info("evacuated zones changed", "evacuated", evacuated, "number", next.evacuation)
	return true
}
