package subscriber

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"gentianpond/internal/protocol/messenger"
	"gentianpond/internal/route/pacer"
)

// addLimits adds to a watch request the rate limits that the leader does not have.
func (w *Watcher) addLimits(r *messenger.WatchRequest) {
	if w.config.Limits == nil {
		return
	}
	r.Limits = w.limits
	for _, o := range w.config.Limits.UnreportedLimits() {
		r.Observed = append(r.Observed, &messenger.RateLimit{
			Server: o.Server, Incarnation: o.Incarnation, Rate: o.Rate, Age: durationpb.New(time.Since(o.At)),
		})
	}
}

// learnLimits passes on the rate limits in a reply, which arrived at now.
func (w *Watcher) learnLimits(reply *messenger.WatchReply, now time.Time) {
	if w.config.Limits == nil {
		return
	}
	w.limits = reply.GetLimits()
	if len(reply.GetChanged()) == 0 {
		return
	}
	list := make([]pacer.Observation, 0, len(reply.GetChanged()))
	for _, m := range reply.GetChanged() {
		list = append(list, pacer.Observation{
			Server: m.GetServer(), Incarnation: m.GetIncarnation(), Rate: m.GetRate(), At: now.Add(-m.GetAge().AsDuration()),
		})
	}
	w.config.Limits.LearnLimits(list)
}

// resetChanges prepares for a new leader, which numbers the changes of rate limits and of
// suspicions anew, and knows no limits.
func (w *Watcher) resetChanges() {
	w.limits, w.suspects = 0, 0
	if w.config.Limits != nil {
		w.config.Limits.ForgetSharedLimits()
	}
}
