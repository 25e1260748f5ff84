package keeper

import (
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	"gentianpond/internal/guard/quarantiner"
	"gentianpond/internal/protocol/messenger"
)

func (k *Keeper) suspect(r *messenger.SuspectRequest) int {
	counted := 0
	for _, o := range r.Observations {
		if k.book.Observe(k.now, observation(o)) {
			counted++
		}
	}
	return counted
}

func observation(o *messenger.Observation) quarantiner.Observation {
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

func (k *Keeper) release(r *messenger.ReleaseRequest) bool {
	switch r.Action {
	case "clear":
		return k.book.Clear(k.now, r.Fingerprint)
	case "pin":
		return k.book.Pin(k.now, r.Fingerprint, r.Archive)
	default:
		return false
	}
}

// Quarantine returns the revision of the suspicions and alerts.
func (k *Keeper) Quarantine() uint64 { return k.book.Revision() }

// Verdict says how a request with this fingerprint may run.
func (k *Keeper) Verdict(fingerprint uint64, now time.Time) quarantiner.Verdict {
	return k.book.Verdict(fingerprint, now)
}

// Suspects returns all suspicions, sorted by fingerprint.
func (k *Keeper) Suspects() []*messenger.Suspicion {
	var list []*messenger.Suspicion
	for _, s := range k.book.Suspicions() {
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

// Alerts returns the last crash of each archive on alert, sorted by name.
func (k *Keeper) Alerts() []*messenger.Alert {
	var list []*messenger.Alert
	for _, a := range k.book.Alerts() {
		list = append(list, &messenger.Alert{Archive: a.Archive, Crash: timestamppb.New(a.LastCrash)})
	}
	return list
}
