package subscriber

import (
	"context"
	"time"

	"gentianpond/internal/guard/quarantiner"
	"gentianpond/internal/protocol/messenger"
)

const (
	// reportTimeout bounds one call with reports.
	reportTimeout = time.Second
	// reportRetryPause is the pause before reports are sent again.
	reportRetryPause = 50 * time.Millisecond
)

// ReportObservation queues an observation of a run of a request on a route. It returns
// false if the queue is full. Observations are sent until a leader has confirmed them or
// Run ends.
func (w *Watcher) ReportObservation(o quarantiner.Observation) bool {
	return w.reports.add(o, w.config.Host, w.config.Incarnation)
}

// ReportLeaving queues the news that a backend server told this host that it is about to
// stop.
func (w *Watcher) ReportLeaving(server string, incarnation uint64) {
	w.reports.addLeaving(server, incarnation)
}

// reportLoop sends the queued observations until ctx ends.
func (w *Watcher) reportLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.reports.nonEmpty:
		}
		for {
			r := &messenger.SuspectRequest{Routes: w.reports.nextBatch(), Leaving: w.reports.takeLeaving()}
			if len(r.GetRoutes())+len(r.GetLeaving()) == 0 {
				break
			}
			if !w.sendReports(ctx, r) {
				return
			}
		}
	}
}

// sendReports sends a request until a leader has confirmed it, and returns false if ctx
// ended first. A report that arrives twice counts once.
func (w *Watcher) sendReports(ctx context.Context, r *messenger.SuspectRequest) bool {
	failed := false
	for {
		if client := w.leaderClient.Load(); client != nil {
			callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
			reply, err := (*client).Suspect(callCtx, r)
			cancel()
			if err == nil && reply.GetGranted() {
				return true
			}
			if !failed && ctx.Err() == nil {
				failed = true
				w.config.Log.Warn("crash reports not delivered, trying again", "count", len(r.GetRoutes()), "err", err)
			}
		}
		if !wait(ctx, reportRetryPause) {
			return false
		}
	}
}

// learnSuspects passes on the suspicions in a reply, which arrived at now.
func (w *Watcher) learnSuspects(reply *messenger.WatchReply, now time.Time) {
	if w.config.Suspects == nil || reply.GetSuspects() == 0 {
		return
	}
	w.suspects = reply.GetSuspects()
	if len(reply.GetSuspect()) == 0 && !reply.GetWhole() {
		return
	}
	list := make([]quarantiner.Suspicion, 0, len(reply.GetSuspect()))
	for _, m := range reply.GetSuspect() {
		s := quarantiner.SuspicionFromMessage(m.GetSuspicion())
		s.LastCrash, s.Expiry = now.Add(-m.GetAge().AsDuration()), now.Add(m.GetLeft().AsDuration())
		list = append(list, s)
	}
	w.config.Suspects.LearnSuspicions(list, reply.GetWhole())
}
