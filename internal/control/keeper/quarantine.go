package keeper

import (
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	"gentianpond/internal/guard/quarantiner"
	"gentianpond/internal/protocol/messenger"
)

// applyObservations adds crash reports to the quarantine list and returns how many
// of them changed it.
func (k *Keeper) applyObservations(r *messenger.SuspectRequest) int {
	changes := 0
	for _, o := range r.Observations {
		if k.quarantine.Observe(k.latestTime, fromObservation(o)) {
			changes++
		}
	}
	return changes
}

// fromObservation converts a crash report to the form of the quarantine table.
func fromObservation(o *messenger.Observation) quarantiner.Observation {
	return quarantiner.Observation{
		ID:          o.GetId(),
		Fingerprint: o.GetFingerprint(),
		Archive:     o.GetArchive(),
		Server:      o.GetServer(),
		Incarnation: o.GetIncarnation(),
		Crashed:     o.GetCrashed(),
		Alone:       o.GetAlone(),
	}
}

// applyRelease clears or pins a suspicion for an operator and reports whether that
// took effect.
func (k *Keeper) applyRelease(r *messenger.ReleaseRequest) bool {
	switch r.Action {
	case "clear":
		return k.quarantine.Clear(k.latestTime, r.Fingerprint)
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

// Suspicions returns all suspicions, sorted by fingerprint.
func (k *Keeper) Suspicions() []*messenger.Suspicion {
	var list []*messenger.Suspicion
	for _, s := range k.quarantine.Suspicions() {
		list = append(list, &messenger.Suspicion{
			Fingerprint: s.Fingerprint,
			Archive:     s.Archive,
			State:       uint32(s.State),
			Crashes:     uint32(s.Crashes),
			Expiry:      timestamppb.New(s.Expiry),
			Pinned:      s.State == quarantiner.StatePinned,
			Server:      s.Server,
			Incarnation: s.Incarnation,
		})
	}
	return list
}

// Alerts returns the archives on alert with the time of their last crash, sorted by
// name.
func (k *Keeper) Alerts() []*messenger.Alert {
	var list []*messenger.Alert
	for _, a := range k.quarantine.Alerts() {
		list = append(list, &messenger.Alert{Archive: a.Archive, Crash: timestamppb.New(a.LastCrash)})
	}
	return list
}
