package replicator

import (
	"cmp"
	"encoding/json"
	"net/netip"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// Member is one member of the group. ID identifies its data folder: a host that
// lost its disk returns under a new ID. Name, Zone and Address are those of its
// host. Voter is false for a learner.
type Member struct {
	ID      uint64         `json:"id"`
	Name    string         `json:"name"`
	Zone    string         `json:"zone"`
	Address netip.AddrPort `json:"address"`
	Voter   bool           `json:"voter"`
}

// ChangeKind is a kind of membership change.
type ChangeKind uint8

// Kinds of membership changes.
const (
	// AddLearner adds a member that receives the log but has no vote.
	AddLearner ChangeKind = iota + 1 // add learner
	// MakeVoter turns a learner into a voter.
	MakeVoter // make voter
	// RemoveMember removes a voter or a learner.
	RemoveMember // remove
)

// Change is one change of the membership. AddLearner uses all fields of Member,
// the other kinds only its ID.
type Change struct {
	Kind   ChangeKind
	Member Member
}

// membership is the set of members, ordered by id, that the entry or snapshot
// at index puts into force.
type membership struct {
	// index is the log index of that entry or snapshot.
	index   uint64
	members []Member
}

// find returns the member with the given id, and whether there is one.
func (s membership) find(id uint64) (Member, bool) {
	for _, m := range s.members {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// voterCount returns the number of members that are not learners.
func (s membership) voterCount() int {
	n := 0
	for _, m := range s.members {
		if m.Voter {
			n++
		}
	}
	return n
}

// withChange returns a copy of the members with ch applied. ch must be valid.
func (s membership) withChange(ch Change) []Member {
	members := slices.Clone(s.members)
	at := slices.IndexFunc(members, func(m Member) bool { return m.ID == ch.Member.ID })
	switch ch.Kind {
	case AddLearner:
		m := ch.Member
		m.Voter = false
		members = append(members, m)
	case MakeVoter:
		members[at].Voter = true
	case RemoveMember:
		members = slices.Delete(members, at, at+1)
	}
	return sortByID(members)
}

// sortByID sorts members in place and returns them.
func sortByID(members []Member) []Member {
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return members
}

// membershipHistory holds the membership of the snapshot and each later one in
// the log. The newest is in force as soon as its entry is in the log, committed
// or not.
type membershipHistory struct {
	// versions is ordered by index, starts with the membership of the snapshot
	// and is never empty after reset.
	versions []membership
}

// latest returns the newest membership, which is in force.
func (h *membershipHistory) latest() membership { return h.versions[len(h.versions)-1] }

// reset makes members, in force from index on, the only membership.
func (h *membershipHistory) reset(index uint64, members []Member) {
	h.versions = []membership{{index: index, members: sortByID(slices.Clone(members))}}
}

// add records the membership of an entry that was appended to the log.
func (h *membershipHistory) add(s membership) { h.versions = append(h.versions, s) }

// truncate drops the memberships from index on, because their entries are being
// overwritten. The membership of the snapshot always stays.
func (h *membershipHistory) truncate(index uint64) {
	for len(h.versions) > 1 && h.latest().index >= index {
		h.versions = h.versions[:len(h.versions)-1]
	}
}

// at returns the membership that was in force at index.
func (h *membershipHistory) at(index uint64) membership {
	for i := len(h.versions) - 1; i > 0; i-- {
		if h.versions[i].index <= index {
			return h.versions[i]
		}
	}
	return h.versions[0]
}

// compact drops the memberships that were replaced at or before index.
func (h *membershipHistory) compact(index uint64) {
	for len(h.versions) > 1 && h.versions[1].index <= index {
		h.versions = h.versions[1:]
	}
}

// encodeMembers returns the JSON form of members. Encoding cannot fail, because
// every field of Member has a JSON form.
func encodeMembers(members []Member) []byte {
	data, err := json.Marshal(members)
	if err != nil {
		panic(err)
	}
	return data
}

// decodeMembers is the inverse of encodeMembers. It orders the members by id.
func decodeMembers(data []byte) ([]Member, error) {
	var members []Member
	if err := json.Unmarshal(data, &members); err != nil {
		return nil, errors.Wrap(err, "decode membership")
	}
	return sortByID(members), nil
}

// decodeMemberships decodes the memberships that entries hold.
func decodeMemberships(entries []Entry) ([]membership, error) {
	var memberships []membership
	for _, e := range entries {
		if e.Kind != EntryMembers {
			continue
		}
		members, err := decodeMembers(e.Data)
		if err != nil {
			return nil, errors.Wrapf(err, "membership entry %d", e.Index)
		}
		memberships = append(memberships, membership{index: e.Index, members: members})
	}
	return memberships, nil
}

// ProposeChange appends one membership change. It is in force at once and
// complete when its entry is committed. Errors are ErrNotLeader,
// ErrNoCommitInTerm, ErrPendingChange, ErrMemberExists, ErrUnknownMember,
// ErrNotCaughtUp, ErrRemoveLeader and ErrConfig.
func (c *Core) ProposeChange(now time.Duration, ch Change) error {
	c.advanceTime(now)
	if c.role != RoleLeader {
		return ErrNotLeader
	}
	// Before it commits an entry of its own term, a new leader could replace an
	// uncommitted change of an earlier leader that is still in force at other
	// members.
	if c.commitIndex < c.termStartIndex {
		return ErrNoCommitInTerm
	}
	if c.memberships.latest().index > c.commitIndex {
		return ErrPendingChange
	}
	if err := c.checkChange(ch); err != nil {
		return err
	}
	next := membership{index: c.log.lastIndex() + 1, members: c.memberships.latest().withChange(ch)}
	c.appendInTerm(EntryMembers, encodeMembers(next.members), next)
	c.trackMembers()
	return nil
}

// checkChange returns an error if ch does not apply to the newest membership.
func (c *Core) checkChange(ch Change) error {
	id := ch.Member.ID
	m, ok := c.memberships.latest().find(id)
	switch ch.Kind {
	case AddLearner:
		if ok || id == 0 {
			return errors.Wrapf(ErrMemberExists, "add member %d", id)
		}
		return nil
	case MakeVoter:
		if !ok {
			return errors.Wrapf(ErrUnknownMember, "make member %d a voter", id)
		}
		if m.Voter {
			return errors.Wrapf(ErrMemberExists, "make member %d a voter", id)
		}
		if c.progress[id].matchIndex < c.commitIndex {
			return errors.Wrapf(ErrNotCaughtUp, "make member %d a voter: it holds %d of %d committed entries", id, c.progress[id].matchIndex, c.commitIndex)
		}
		return nil
	case RemoveMember:
		if !ok {
			return errors.Wrapf(ErrUnknownMember, "remove member %d", id)
		}
		if id == c.id {
			return ErrRemoveLeader
		}
		return nil
	}
	return errors.Wrapf(ErrConfig, "unknown change kind %d", ch.Kind)
}
