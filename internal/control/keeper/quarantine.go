package keeper

import (
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	"gentianpond/internal/guard/quarantiner"
	"gentianpond/internal/protocol/messenger"
)

// applyObservations adds crash reports to the quarantine lists and returns how many
// of them changed one.
func (k *Keeper) applyObservations(r *messenger.SuspectRequest) int {
	changes := 0
	for _, o := range r.Observations {
		if k.quarantine.Observe(k.latestTime, quarantiner.ObservationFromMessage(o)) {
			changes++
		}
	}
	for _, o := range r.Routes {
		if k.routes.Observe(k.latestTime, quarantiner.ObservationFromMessage(o)) {
			changes++
		}
	}
	return changes
}

// applyRelease clears or pins a suspicion for an operator and reports whether that
// took effect.
func (k *Keeper) applyRelease(r *messenger.ReleaseRequest) bool {
	switch r.Action {
	case "clear":
		cleared := k.quarantine.Clear(k.latestTime, r.Fingerprint)
		return k.routes.Clear(k.latestTime, r.Fingerprint) || cleared
	case "pinroute":
		return k.routes.Pin(k.latestTime, r.Fingerprint, r.Archive)
	case "pin":
		return k.quarantine.Pin(k.latestTime, r.Fingerprint, r.Archive)
	default:
		return false
	}
}

// QuarantineRevision returns the revision of the quarantine list, that is of
// suspicions and alerts.
func (k *Keeper) QuarantineRevision() uint64 { return k.quarantine.Revision() }

// QuarantineVerdict returns whether a request with this fingerprint may run, must
// run alone or is refused.
func (k *Keeper) QuarantineVerdict(fingerprint uint64, now time.Time) quarantiner.Verdict {
	return k.quarantine.Verdict(fingerprint, now)
}

// Suspicions returns all suspicions against requests to archives, sorted by fingerprint.
func (k *Keeper) Suspicions() []*messenger.Suspicion { return suspicionMessages(k.quarantine) }

// RouteSuspicions returns all suspicions against requests on routes, sorted by fingerprint.
func (k *Keeper) RouteSuspicions() []*messenger.Suspicion {
	list := suspicionMessages(k.routes)
	for _, m := range list {
		m.Route = true
	}
	return list
}

// RouteRevision returns the revision of RouteSuspicions.
func (k *Keeper) RouteRevision() uint64 { return k.routes.Revision() }

// suspicionMessages returns the suspicions of a table as messages of the inner protocol.
func suspicionMessages(table *quarantiner.Table) []*messenger.Suspicion {
	var list []*messenger.Suspicion
	for _, s := range table.Suspicions() {
		list = append(list, s.Message())
	}
	return list
}

// Alerts returns the archives on alert with the time of their last crash, sorted by
// name.
func (k *Keeper) Alerts() []*messenger.Alert { return alertMessages(k.quarantine) }

func alertMessages(table *quarantiner.Table) []*messenger.Alert {
	var list []*messenger.Alert
	for _, a := range table.Alerts() {
		list = append(list, &messenger.Alert{Archive: a.Archive, Crash: timestamppb.New(a.LastCrash)})
	}
	return list
}
