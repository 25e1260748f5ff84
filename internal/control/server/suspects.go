package server

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"gentianpond/internal/guard/quarantiner"
	"gentianpond/internal/protocol/messenger"
)

// maxClearedSuspicions bounds the ended suspicions that are kept for entry hosts that have
// not heard of the end. A host that misses one gets the whole list.
const maxClearedSuspicions = 4096

// suspectTracker numbers the changes of the suspicions against requests on routes, so that
// entry hosts are sent only what changed. A leader starts without any; it sends the whole
// list to each host first.
type suspectTracker struct {
	// revision is that of the list when it was compared last.
	revision uint64
	// lastChange is the number of the newest change.
	lastChange uint64
	// current holds the suspicions by fingerprint.
	current map[uint64]trackedSuspicion
	// cleared holds the numbers of the changes that ended a suspicion, the oldest first.
	// forgotten is that of the newest one that was dropped.
	cleared   []clearedSuspicion
	forgotten uint64
}

// trackedSuspicion is a suspicion with the number of the change to it.
type trackedSuspicion struct {
	suspicion *messenger.Suspicion
	change    uint64
}

// clearedSuspicion is the end of a suspicion.
type clearedSuspicion struct {
	fingerprint uint64
	change      uint64
}

// newSuspectTracker returns a tracker that has not seen the list.
func newSuspectTracker() *suspectTracker {
	return &suspectTracker{lastChange: 1, current: map[uint64]trackedSuspicion{}}
}

// update compares the list at a revision with the one before and returns what changed.
func (t *suspectTracker) update(revision uint64, list func() []*messenger.Suspicion) (changed []*messenger.Suspicion) {
	if revision == t.revision {
		return nil
	}
	t.revision = revision
	seen := make(map[uint64]struct{}, len(t.current))
	for _, s := range list() {
		seen[s.GetFingerprint()] = struct{}{}
		if old, ok := t.current[s.GetFingerprint()]; !ok || !proto.Equal(old.suspicion, s) {
			t.lastChange++
			t.current[s.GetFingerprint()] = trackedSuspicion{suspicion: s, change: t.lastChange}
			changed = append(changed, s)
		}
	}
	for fingerprint := range t.current {
		if _, ok := seen[fingerprint]; !ok {
			t.lastChange++
			delete(t.current, fingerprint)
			t.cleared = append(t.cleared, clearedSuspicion{fingerprint: fingerprint, change: t.lastChange})
			changed = append(changed, &messenger.Suspicion{Fingerprint: fingerprint})
		}
	}
	if n := len(t.cleared) - maxClearedSuspicions; n > 0 {
		t.forgotten = t.cleared[n-1].change
		t.cleared = slices.Delete(t.cleared, 0, n)
	}
	return changed
}

// trackSuspects numbers and logs the changes of the suspicions against requests on routes.
func (l *loop) trackSuspects() {
	for _, s := range l.suspects.update(l.keeper.RouteRevision(), l.keeper.RouteSuspicions) {
		l.log.Info("suspicion against a request changed", "fingerprint", fmt.Sprintf("%016x", s.GetFingerprint()), "state", quarantiner.State(s.GetState()),
			"service", s.GetArchive(), "server", s.GetServer(), "crashes", s.GetCrashes(), "rounds", s.GetRounds())
	}
}

// changesSince returns the suspicions that changed after the change with the given number,
// the oldest change first, with times relative to the leader's wall clock. The result is
// true if they are all that there are.
func (t *suspectTracker) changesSince(wall time.Time, change uint64) (list []*messenger.Suspect, whole bool) {
	if change >= t.lastChange {
		return nil, false
	}
	whole = change == 0 || change < t.forgotten
	var changes []trackedSuspicion
	for _, c := range t.current {
		if whole || c.change > change {
			changes = append(changes, c)
		}
	}
	for _, c := range t.cleared {
		if _, again := t.current[c.fingerprint]; !again && !whole && c.change > change {
			s := &messenger.Suspicion{Fingerprint: c.fingerprint, State: uint32(quarantiner.StateClear)}
			changes = append(changes, trackedSuspicion{suspicion: s, change: c.change})
		}
	}
	slices.SortFunc(changes, func(a, b trackedSuspicion) int { return cmp.Compare(a.change, b.change) })
	for _, c := range changes {
		m := &messenger.Suspect{Suspicion: c.suspicion}
		if c.suspicion.GetCrash() != nil {
			m.Age = durationpb.New(wall.Sub(c.suspicion.GetCrash().AsTime()))
		}
		if !c.suspicion.GetPinned() && c.suspicion.GetExpiry() != nil {
			m.Left = durationpb.New(c.suspicion.GetExpiry().AsTime().Sub(wall))
		}
		list = append(list, m)
	}
	return list, whole
}
