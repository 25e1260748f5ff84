package replicator

import (
	"cmp"
	"encoding/json"
	"net/netip"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// Member is one member of the group. ID is the identity of its data folder; a
// host that lost its disk returns under a new ID.
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
	AddLearner   ChangeKind = iota + 1 // add learner
	MakeVoter                          // make voter
	RemoveMember                       // remove
)

// Change is one change of the membership. All fields of Member count for
// AddLearner, only ID for the other kinds.
type Change struct {
	Kind   ChangeKind
	Member Member
}

// memberSet is the membership from index on, ordered by id.
type memberSet struct {
	index   uint64
	members []Member
}

func (s memberSet) find(id uint64) (Member, bool) {
	for _, m := range s.members {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

func (s memberSet) voters() int {
	n := 0
	for _, m := range s.members {
		if m.Voter {
			n++
		}
	}
	return n
}

// with returns a copy of the members after ch, which must be valid.
func (s memberSet) with(ch Change) []Member {
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
	return sorted(members)
}

func sorted(members []Member) []Member {
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return members
}

// history holds the membership at the snapshot and each one after it. The
// newest is in force as soon as it is in the log, committed or not.
type history struct {
	sets []memberSet
}

func (h *history) latest() memberSet { return h.sets[len(h.sets)-1] }

func (h *history) reset(index uint64, members []Member) {
	h.sets = []memberSet{{index: index, members: sorted(slices.Clone(members))}}
}

func (h *history) add(s memberSet) { h.sets = append(h.sets, s) }

// truncate drops the memberships from index on, whose entries are overwritten.
// The first set is that of a snapshot and stays.
func (h *history) truncate(index uint64) {
	for len(h.sets) > 1 && h.latest().index >= index {
		h.sets = h.sets[:len(h.sets)-1]
	}
}

// at returns the membership in force at index.
func (h *history) at(index uint64) memberSet {
	for i := len(h.sets) - 1; i > 0; i-- {
		if h.sets[i].index <= index {
			return h.sets[i]
		}
	}
	return h.sets[0]
}

// compact drops the memberships replaced at or before index.
func (h *history) compact(index uint64) {
	for len(h.sets) > 1 && h.sets[1].index <= index {
		h.sets = h.sets[1:]
	}
}

// encodeMembers cannot fail: every field of Member has a JSON form.
func encodeMembers(members []Member) []byte {
	data, err := json.Marshal(members)
	if err != nil {
		panic(err)
	}
	return data
}

func decodeMembers(data []byte) ([]Member, error) {
	var members []Member
	if err := json.Unmarshal(data, &members); err != nil {
		return nil, errors.Wrap(err, "decode membership")
	}
	return sorted(members), nil
}

// memberEntries decodes the memberships among entries.
func memberEntries(entries []Entry) ([]memberSet, error) {
	var sets []memberSet
	for _, e := range entries {
		if e.Kind != EntryMembers {
			continue
		}
		members, err := decodeMembers(e.Data)
		if err != nil {
			return nil, errors.Wrapf(err, "entry %d", e.Index)
		}
		sets = append(sets, memberSet{index: e.Index, members: members})
	}
	return sets, nil
}

// ProposeChange appends one membership change. It is in force at once and
// done when its entry is committed. It returns ErrNotLeader, ErrNotReady,
// ErrPendingChange, ErrMemberExists, ErrUnknownMember, ErrNotCaughtUp or
// ErrRemoveLeader.
func (c *Core) ProposeChange(now time.Duration, ch Change) error {
	c.setTime(now)
	if c.role != RoleLeader {
		return ErrNotLeader
	}
	// Without a committed entry of its own term a new leader could replace an
	// uncommitted change of an older leader that still counts elsewhere.
	if c.commit < c.start {
		return ErrNoCommitInTerm
	}
	if c.members.latest().index > c.commit {
		return ErrPendingChange
	}
	if err := c.checkChange(ch); err != nil {
		return err
	}
	next := memberSet{index: c.log.last() + 1, members: c.members.latest().with(ch)}
	c.appendOwn(EntryMembers, encodeMembers(next.members), next)
	c.syncProgress()
	return nil
}

func (c *Core) checkChange(ch Change) error {
	id := ch.Member.ID
	m, ok := c.members.latest().find(id)
	switch ch.Kind {
	case AddLearner:
		if ok || id == 0 {
			return errors.Wrapf(ErrMemberExists, "add %d", id)
		}
		return nil
	case MakeVoter:
		if !ok {
			return errors.Wrapf(ErrUnknownMember, "make %d a voter", id)
		}
		if m.Voter {
			return errors.Wrapf(ErrMemberExists, "make %d a voter", id)
		}
		if c.progress[id].match < c.commit {
			return errors.Wrapf(ErrNotCaughtUp, "member %d holds %d of %d", id, c.progress[id].match, c.commit)
		}
		return nil
	case RemoveMember:
		if !ok {
			return errors.Wrapf(ErrUnknownMember, "remove %d", id)
		}
		if id == c.id {
			return ErrRemoveLeader
		}
		return nil
	}
	return errors.Wrapf(ErrConfig, "unknown change %d", ch.Kind)
}
