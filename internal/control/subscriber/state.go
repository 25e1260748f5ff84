package subscriber

import (
	"time"

	"gentianpond/internal/fleet/assigner"
	"gentianpond/internal/guard/quarantiner"
	"gentianpond/internal/protocol/messenger"
)

// State is what an entry host knows from control at one time. It must not be
// modified.
type State struct {
	// Revision of the configuration document in force. It never goes back.
	Revision uint64
	// Document is JSON, an object with a section per team.
	Document []byte
	View     assigner.View
	// Settled is true when all members have released what View took from them.
	Settled bool
	// Quarantine is the list in force, with times of the local clock.
	Quarantine quarantiner.List
	// QuarantineRevision never goes back.
	QuarantineRevision uint64
	// Lease is the end of the lease, on the monotonic clock.
	Lease time.Time
}

// Holds reports whether the lease covers a time of this process's clock.
func (s State) Holds(at time.Time) bool { return at.Before(s.Lease) }

// sameAs reports whether two states differ in the lease only.
func (s State) sameAs(other State) bool {
	return s.Revision == other.Revision &&
		s.View.Number == other.View.Number &&
		s.Settled == other.Settled &&
		s.QuarantineRevision == other.QuarantineRevision
}

// quarantineOf turns the times of the leader's clock into those of the local
// one, by the difference at the time of the reply.
func quarantineOf(reply *messenger.SyncReply, received time.Time) quarantiner.List {
	var ahead time.Duration
	if reply.Time.IsValid() {
		ahead = received.Sub(reply.Time.AsTime())
	}
	var suspicions []quarantiner.Suspicion
	for _, s := range reply.Suspects {
		suspicions = append(suspicions, quarantiner.Suspicion{
			Fingerprint: s.Fingerprint,
			Archive:     s.Archive,
			State:       quarantiner.State(s.State),
			Crashes:     int(s.Crashes),
			Expiry:      s.Expiry.AsTime().Add(ahead),
			Server:      s.Server,
			Incarnation: s.Incarnation,
		})
	}
	var alerts []quarantiner.Alert
	for _, a := range reply.Alerts {
		alerts = append(alerts, quarantiner.Alert{Archive: a.Archive, LastCrash: a.Crash.AsTime().Add(ahead)})
	}
	return quarantiner.NewList(suspicions, alerts)
}
