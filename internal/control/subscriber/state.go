package subscriber

import (
	"time"

	"gentianpond/internal/fleet/assigner"
	"gentianpond/internal/guard/quarantiner"
	"gentianpond/internal/protocol/messenger"
)

// State is the control state that an entry host has received. It must not be
// modified.
type State struct {
	// ConfigRevision is the revision of the configuration in force. It never goes back.
	ConfigRevision uint64
	// ConfigDocument is a JSON object with a section per team.
	ConfigDocument []byte
	// View is the newest view of the entry hosts.
	View assigner.View
	// Settled is true if all members have released the servers that View assigns to
	// other members.
	Settled bool
	// Quarantine is the quarantine list in force, with times of the local clock.
	Quarantine quarantiner.List
	// QuarantineRevision never goes back.
	QuarantineRevision uint64
	// LeaseEnd is the end of the lease, with a monotonic clock reading.
	LeaseEnd time.Time
}

// LeaseCovers reports whether the lease is valid at a time of this process's clock.
func (s State) LeaseCovers(at time.Time) bool { return at.Before(s.LeaseEnd) }

// equalExceptLease compares the revisions, the view number and Settled of two
// states; equal revisions and numbers mean equal contents.
func (s State) equalExceptLease(other State) bool {
	return s.ConfigRevision == other.ConfigRevision &&
		s.View.Number == other.View.Number &&
		s.Settled == other.Settled &&
		s.QuarantineRevision == other.QuarantineRevision
}

// newQuarantineList returns the quarantine list of a reply. It converts the leader's
// times to the local clock by the difference of the clocks when the reply arrived.
func newQuarantineList(reply *messenger.SyncReply, received time.Time) quarantiner.List {
	var clockOffset time.Duration
	if reply.Time.IsValid() {
		clockOffset = received.Sub(reply.Time.AsTime())
	}
	var suspicions []quarantiner.Suspicion
	for _, s := range reply.Suspects {
		suspicions = append(suspicions, quarantiner.Suspicion{
			Fingerprint: s.Fingerprint,
			Archive:     s.Archive,
			State:       quarantiner.State(s.State),
			Crashes:     int(s.Crashes),
			Expiry:      s.Expiry.AsTime().Add(clockOffset),
			Server:      s.Server,
			Incarnation: s.Incarnation,
		})
	}
	var alerts []quarantiner.Alert
	for _, a := range reply.Alerts {
		alerts = append(alerts, quarantiner.Alert{Archive: a.Archive, LastCrash: a.Crash.AsTime().Add(clockOffset)})
	}
	return quarantiner.NewList(suspicions, alerts)
}
