package replicator

import (
	"github.com/go-faster/errors"

	"gentianpond/internal/protocol/messenger"
)

// MessageKind is a kind of message between members.
type MessageKind uint8

// Message kinds. The comment on each names the fields it uses besides From, To
// and Term.
const (
	// MessagePreVote asks whether a campaign could succeed: Term is the term
	// that it would have, Index and LogTerm are those of the last entry.
	MessagePreVote MessageKind = iota + 1 // pre-vote
	// MessagePreVoteReply answers with Reject; Term of a granted one is the
	// term asked for.
	MessagePreVoteReply // pre-vote reply
	// MessageVote asks for a vote: Index and LogTerm of the last entry. Context is
	// handoverVote if the leader asked for the campaign.
	MessageVote // vote
	// MessageVoteReply answers with Reject.
	MessageVoteReply // vote reply
	// MessageAppend carries Entries that follow the entry at Index of term
	// LogTerm, and Commit.
	MessageAppend // append
	// MessageAppendReply acknowledges everything up to Index, or rejects the
	// append after Index; Hint and LogTerm then name the last entry that could
	// match.
	MessageAppendReply // append reply
	// MessageHeartbeat carries Commit, at most what the receiver is known to
	// hold, and the round in Context.
	MessageHeartbeat // heartbeat
	// MessageHeartbeatReply returns Context.
	MessageHeartbeatReply // heartbeat reply
	// MessageSnapshot carries Snapshot.
	MessageSnapshot // snapshot
	// MessageHandover asks a voter that holds the leader's whole log to campaign at
	// once.
	MessageHandover // handover
)

// lastKind is the last kind of message.
const lastKind = MessageHandover

// Message is one message between two members. The sender's and receiver's ids
// travel in messenger.ExchangeRequest, the rest in messenger.LogMessage.
type Message struct {
	Kind     MessageKind
	From     uint64
	To       uint64
	Term     uint64
	LogTerm  uint64
	Index    uint64
	Commit   uint64
	Entries  []Entry
	Reject   bool
	Hint     uint64
	Context  uint64
	Snapshot *Snapshot
}

// ToWire converts m to its wire form. A snapshot's membership travels as its
// only entry, and its index and term as Index and LogTerm.
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
// ErrMalformed for unknown kinds and undecodable snapshots.
func FromWire(from, to uint64, w *messenger.LogMessage) (Message, error) {
	kind := MessageKind(w.GetKind())
	if uint32(kind) != w.GetKind() || kind < MessagePreVote || kind > lastKind {
		return Message{}, errors.Wrapf(ErrMalformed, "kind %d", w.GetKind())
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

func (m Message) unwrapSnapshot(data []byte) (Message, error) {
	if len(m.Entries) != 1 || m.Entries[0].Kind != EntryMembers {
		return Message{}, errors.Wrap(ErrMalformed, "snapshot without membership")
	}
	members, err := decodeMembers(m.Entries[0].Data)
	if err != nil {
		return Message{}, errors.Wrapf(ErrMalformed, "snapshot: %v", err)
	}
	m.Snapshot = &Snapshot{Index: m.Index, Term: m.LogTerm, Members: members, Data: data}
	m.Index = 0
	m.LogTerm = 0
	m.Entries = nil
	return m, nil
}
