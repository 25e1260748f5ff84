package server

import (
	"slices"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"gentianpond/internal/control/keeper"
	"gentianpond/internal/control/replicator"
	"gentianpond/internal/protocol/messenger"
)

// stateFormat is the newest format of the replicated state that this build stores. Earlier
// builds name no format and store no routing document of version 0.
const stateFormat = 1

// formatWait is how long a leader waits to hear of a member before it stores a document of
// version 0 without it. A member that is lost for good must not keep the document out. One of
// an earlier build that comes back later gets the document when it has been replaced.
const formatWait = 5 * time.Second

// formats holds the format that each control host named last, by the id of its data folder.
type formats map[uint64]uint32

// record records the format that a host named. What is known of others than the members is
// dropped when there is too much of it.
func (f formats) record(id uint64, format uint32, members []replicator.MemberStatus) {
	if len(f) >= maxHellos {
		f.retain(members)
	}
	f[id] = format
}

// retain forgets the hosts that are not members.
func (f formats) retain(members []replicator.MemberStatus) {
	for id := range f {
		if !slices.ContainsFunc(members, func(m replicator.MemberStatus) bool { return m.ID == id }) {
			delete(f, id)
		}
	}
}

// check returns an error unless all members store the newest format. A member that does not
// could lead later, or send a snapshot to others, without what it has not stored. The code
// is FailedPrecondition for a member of an earlier build, and Unavailable for one that has
// not been heard of yet. One that is silent for formatWait is not waited for.
func (f formats) check(s replicator.Status) error {
	for _, m := range s.Members {
		format, known := f[m.ID]
		switch {
		case m.ID == s.ID || format >= stateFormat, !known && m.Silence >= formatWait:
		case known:
			return status.Errorf(codes.FailedPrecondition, "control host %s runs an earlier version", m.Name)
		default:
			return status.Errorf(codes.Unavailable, "the version of control host %s is not known yet", m.Name)
		}
	}
	return nil
}

// recordFormat records the format that the sender of a request stores.
func (l *loop) recordFormat(r *messenger.ExchangeRequest) {
	l.formats.record(r.GetFromIncarnation(), r.GetFormat(), l.status.Members)
	if r.GetFormat() < stateFormat {
		l.zeroRepeated = false
	}
}

// repeatVersionZero proposes a routing document of version 0 that is in force once more when
// this host has been elected, or after a member of an earlier build was replaced by one of
// this build: that member's snapshots do not hold the document. It changes nothing on the
// others.
func (l *loop) repeatVersionZero() {
	version, packed, ok := l.keeper.RoutingDocument()
	if !ok || version > 0 || l.zeroRepeated || l.formats.check(l.status) != nil {
		return
	}
	l.zeroRepeated = true
	p := &messenger.PublishRequest{Packed: packed}
	l.propose(&messenger.Command{Action: &messenger.Command_Publish{Publish: p}}, func(_ keeper.Result, err error) {
		if err != nil {
			l.zeroRepeated = false
		}
	})
}
