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
	// Incoming is set for the voter that a replacement adds, Outgoing for the one
	// that it removes, until the replacement is complete.
	Incoming bool `json:"incoming,omitempty"`
	Outgoing bool `json:"outgoing,omitempty"`
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
	// ReplaceVoter begins the replacement of a voter by a learner (joint consensus).
	// Until it ends, elections and commits need a majority of the voters with the old
	// one as well as a majority of those with the new one. No other change is possible
	// meanwhile.
	ReplaceVoter // replace voter
	// CompleteReplacement removes the outgoing voter.
	CompleteReplacement // complete replacement
	// UndoReplacement turns the incoming voter into a learner again.
	UndoReplacement // undo replacement
)

// Change is one change of the membership. AddLearner uses all fields of Member,
// CompleteReplacement and UndoReplacement none, the other kinds only its ID.
type Change struct {
	Kind   ChangeKind
	Member Member
	// Replaced is the id of the voter that ReplaceVoter removes.
	Replaced uint64
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

// isReplacing reports whether a replacement has begun and not ended.
func (s membership) isReplacing() bool {
	return slices.ContainsFunc(s.members, func(m Member) bool { return m.Incoming || m.Outgoing })
}

// hasMajority reports whether granted holds for a majority of the voters, during a
// replacement for a majority with each of the two that take turns.
func (s membership) hasMajority(granted func(id uint64) bool) bool {
	for _, excluded := range []func(Member) bool{isIncoming, isOutgoing} {
		voters, votes := 0, 0
		for _, m := range s.members {
			if !m.Voter || excluded(m) {
				continue
			}
			voters++
			if granted(m.ID) {
				votes++
			}
		}
		if votes <= voters/2 {
			return false
		}
	}
	return true
}

func isIncoming(m Member) bool { return m.Incoming }

func isOutgoing(m Member) bool { return m.Outgoing }

// withChange returns a copy of the members with ch applied. ch must be valid.
func (s membership) withChange(ch Change) []Member {
	members := slices.Clone(s.members)
	at := slices.IndexFunc(members, func(m Member) bool { return m.ID == ch.Member.ID })
	switch ch.Kind {
	case AddLearner:
		m := ch.Member
		m.Voter, m.Incoming, m.Outgoing = false, false, false
		members = append(members, m)
	case MakeVoter:
		members[at].Voter = true
	case RemoveMember:
		members = slices.Delete(members, at, at+1)
	case ReplaceVoter:
		members[at].Voter, members[at].Incoming = true, true
		replaced := slices.IndexFunc(members, func(m Member) bool { return m.ID == ch.Replaced })
		members[replaced].Outgoing = true
	case CompleteReplacement:
		members = slices.DeleteFunc(members, isOutgoing)
		endReplacement(members, true)
	case UndoReplacement:
		endReplacement(members, false)
	}
	return sortByID(members)
}

// endReplacement clears the marks of a replacement. The incoming member stays a voter or
// becomes a learner.
func endReplacement(members []Member, voter bool) {
	for i := range members {
		if members[i].Incoming {
			members[i].Voter = voter
		}
		members[i].Incoming, members[i].Outgoing = false, false
	}
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
// ErrNotCaughtUp, ErrRemoveLeader, ErrNoReplacement and ErrConfig.
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
	set := c.memberships.latest()
	m, ok := set.find(id)
	switch ch.Kind {
	case CompleteReplacement, UndoReplacement:
		return c.checkEndOfReplacement(ch.Kind)
	}
	if set.isReplacing() {
		return errors.Wrap(ErrPendingChange, "replacement of a voter")
	}
	switch ch.Kind {
	case AddLearner:
		if ok || id == 0 {
			return errors.Wrapf(ErrMemberExists, "add member %d", id)
		}
		return nil
	case MakeVoter, ReplaceVoter:
		if !ok {
			return errors.Wrapf(ErrUnknownMember, "make member %d a voter", id)
		}
		if m.Voter {
			return errors.Wrapf(ErrMemberExists, "make member %d a voter", id)
		}
		if c.progress[id].matchIndex < c.commitIndex {
			return errors.Wrapf(ErrNotCaughtUp, "make member %d a voter: it holds %d of %d committed entries", id, c.progress[id].matchIndex, c.commitIndex)
		}
		if ch.Kind == ReplaceVoter {
			return c.checkReplaced(ch.Replaced)
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

// checkReplaced returns an error if the member id cannot be replaced as a voter.
func (c *Core) checkReplaced(id uint64) error {
	if m, ok := c.memberships.latest().find(id); !ok || !m.Voter {
		return errors.Wrapf(ErrUnknownMember, "replace voter %d", id)
	}
	if id == c.id {
		return ErrRemoveLeader
	}
	return nil
}

// checkEndOfReplacement returns an error if a replacement cannot end in the given way.
func (c *Core) checkEndOfReplacement(kind ChangeKind) error {
	set := c.memberships.latest()
	if !set.isReplacing() {
		return errors.Wrapf(ErrNoReplacement, "%s", kind)
	}
	if m, ok := set.find(c.id); ok && kind == CompleteReplacement && m.Outgoing {
		return ErrRemoveLeader
	}
	return nil
}
