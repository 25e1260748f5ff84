package replicator

import (
	"github.com/go-faster/errors"

	"gentianpond/internal/protocol/messenger"
)

// MessageKind is the kind of a message between two members.
type MessageKind uint8

// Message kinds. The comment on each names the fields it uses besides From, To
// and Term.
const (
	// MessagePreVote asks whether an election could be won. Term is the term
	// that the election would have; Index and LogTerm are those of the sender's
	// last entry.
	MessagePreVote MessageKind = iota + 1 // pre-vote
	// MessagePreVoteReply grants the pre-vote unless Reject is set. If granted,
	// Term is the requested term.
	MessagePreVoteReply // pre-vote reply
	// MessageVote asks for a vote. Index and LogTerm are those of the sender's
	// last entry. Context is transferVoteContext if the leader asked for the
	// election.
	MessageVote // vote
	// MessageVoteReply grants the vote unless Reject is set.
	MessageVoteReply // vote reply
	// MessageAppend carries Entries that follow the entry at Index, which has
	// the term LogTerm, and the leader's commit index in Commit.
	MessageAppend // append
	// MessageAppendReply acknowledges all entries up to Index. With Reject it
	// rejects the append after Index; Hint and LogTerm are then the index and
	// the term of the last entry that could match.
	MessageAppendReply // append reply
	// MessageHeartbeat carries the number of the heartbeat round in Context.
	// Commit is the leader's commit index, limited to the entries that the
	// receiver is known to hold.
	MessageHeartbeat // heartbeat
	// MessageHeartbeatReply returns the Context of the heartbeat.
	MessageHeartbeatReply // heartbeat reply
	// MessageSnapshot carries Snapshot, for a member that lacks entries that
	// the leader has dropped.
	MessageSnapshot // snapshot
	// MessageTimeoutNow asks a voter that holds the leader's whole log to start
	// an election at once (leadership transfer).
	MessageTimeoutNow // handover
)

// lastMessageKind is the greatest valid kind. It has to change when a kind is
// added.
const lastMessageKind = MessageTimeoutNow

// Message is one message between two members. Each kind uses the fields that are
// named at its constant. The ids of sender and receiver
// travel in messenger.ExchangeRequest, all other fields in
// messenger.LogMessage.
type Message struct {
	// Kind says what the message asks or answers and decides which fields it uses.
	Kind MessageKind
	// From and To are the ids of the sender and the receiver.
	From uint64
	To   uint64
	// Term is the sender's current term, except in a pre-vote and its grant.
	Term uint64

	// LogTerm is the term of the entry at Index or, in a rejected append reply, of the
	// entry at Hint.
	LogTerm uint64
	// Index is the position in the log of the entry that the message refers to.
	Index uint64
	// Commit is the leader's commit index. In a heartbeat it is limited to the entries
	// that the receiver is known to hold.
	Commit uint64
	// Entries are the log entries that an append carries.
	Entries []Entry
	// Reject is set in a reply that refuses the pre-vote, the vote or the append.
	Reject bool
	// Hint is the index of the last entry that could match, in a rejected append reply.
	Hint uint64
	// Context is the number of a heartbeat round or, in a vote request,
	// transferVoteContext or 0.
	Context uint64
	// Snapshot is set in a MessageSnapshot only.
	Snapshot *Snapshot
}

// ToWire converts m to its wire form. For a snapshot, Index and LogTerm hold
// the snapshot's index and term, and the only entry holds its membership.
func ToWire(m Message) *messenger.LogMessage {
	w := &messenger.LogMessage{
		Kind:    uint32(m.Kind),
		Term:    m.Term,
		LogTerm: m.LogTerm,
		Index:   m.Index,
		Commit:  m.Commit,
		Reject:  m.Reject,
		Hint:    m.Hint,
		Context: m.Context,
	}
	entries := m.Entries
	if s := m.Snapshot; s != nil {
		w.Index = s.Index
		w.LogTerm = s.Term
		w.Snapshot = s.Data
		entries = []Entry{{Term: s.Term, Index: s.Index, Kind: EntryMembers, Data: encodeMembers(s.Members)}}
	}
	for _, e := range entries {
		w.Entries = append(w.Entries, &messenger.LogEntry{
			Term:  e.Term,
			Index: e.Index,
			Kind:  uint32(e.Kind),
			Data:  e.Data,
		})
	}
	return w
}

// FromWire converts a message that member from sent to member to. It returns
// ErrMalformed for unknown kinds and for snapshots that cannot be decoded.
func FromWire(from, to uint64, w *messenger.LogMessage) (Message, error) {
	kind := MessageKind(w.GetKind())
	if uint32(kind) != w.GetKind() || kind < MessagePreVote || kind > lastMessageKind {
		return Message{}, errors.Wrapf(ErrMalformed, "message kind %d", w.GetKind())
	}
	m := Message{
		Kind:    kind,
		From:    from,
		To:      to,
		Term:    w.GetTerm(),
		LogTerm: w.GetLogTerm(),
		Index:   w.GetIndex(),
		Commit:  w.GetCommit(),
		Reject:  w.GetReject(),
		Hint:    w.GetHint(),
		Context: w.GetContext(),
	}
	for _, e := range w.GetEntries() {
		if e.GetKind() > uint32(EntryMembers) {
			return Message{}, errors.Wrapf(ErrMalformed, "entry kind %d", e.GetKind())
		}
		m.Entries = append(m.Entries, Entry{
			Term:  e.GetTerm(),
			Index: e.GetIndex(),
			Kind:  EntryKind(e.GetKind()),
			Data:  e.GetData(),
		})
	}
	if kind != MessageSnapshot {
		return m, nil
	}
	return m.unwrapSnapshot(w.GetSnapshot())
}

// unwrapSnapshot is the inverse of the snapshot encoding of ToWire.
func (m Message) unwrapSnapshot(data []byte) (Message, error) {
	if len(m.Entries) != 1 || m.Entries[0].Kind != EntryMembers {
		return Message{}, errors.Wrap(ErrMalformed, "snapshot without membership")
	}
	members, err := decodeMembers(m.Entries[0].Data)
	if err != nil {
		return Message{}, errors.Wrapf(ErrMalformed, "membership of snapshot: %v", err)
	}
	m.Snapshot = &Snapshot{Index: m.Index, Term: m.LogTerm, Members: members, Data: data}
	m.Index = 0
	m.LogTerm = 0
	m.Entries = nil
	return m, nil
}
