package replicator

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"gentianpond/internal/protocol/messenger"
)

func bytesGenerator() *rapid.Generator[[]byte] {
	return rapid.SliceOfN(rapid.Byte(), 1, 20)
}

func entryGenerator() *rapid.Generator[Entry] {
	return rapid.Custom(func(t *rapid.T) Entry {
		return Entry{
			Term:  rapid.Uint64().Draw(t, "term"),
			Index: rapid.Uint64().Draw(t, "index"),
			Kind:  EntryKind(rapid.IntRange(0, int(EntryMembers)).Draw(t, "kind")),
			Data:  bytesGenerator().Draw(t, "data"),
		}
	})
}

// Guards against fields that get lost or mixed up in the wire form.
func TestWire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := Message{
			Kind:    MessageKind(rapid.IntRange(int(MessagePreVote), int(MessageSnapshot)).Draw(t, "kind")),
			From:    rapid.Uint64().Draw(t, "from"),
			To:      rapid.Uint64().Draw(t, "to"),
			Term:    rapid.Uint64().Draw(t, "term"),
			Commit:  rapid.Uint64().Draw(t, "commit"),
			Reject:  rapid.Bool().Draw(t, "reject"),
			Hint:    rapid.Uint64().Draw(t, "hint"),
			Context: rapid.Uint64().Draw(t, "context"),
		}
		if m.Kind == MessageSnapshot {
			member := Member{ID: rapid.Uint64().Draw(t, "id"), Name: "a", Zone: "z", Voter: rapid.Bool().Draw(t, "voter")}
			member.Address = netip.MustParseAddrPort("[::1]:80")
			m.Snapshot = &Snapshot{Index: 1, Term: 2, Members: []Member{member}, Data: bytesGenerator().Draw(t, "data")}
		} else {
			m.Index = rapid.Uint64().Draw(t, "index")
			m.LogTerm = rapid.Uint64().Draw(t, "log term")
			m.Entries = rapid.SliceOfN(entryGenerator(), 1, 3).Draw(t, "entries")
		}
		data, err := proto.Marshal(ToWire(m))
		require.NoError(t, err)
		var wire messenger.LogMessage
		require.NoError(t, proto.Unmarshal(data, &wire))
		got, err := FromWire(m.From, m.To, &wire)
		require.NoError(t, err)
		require.Equal(t, m, got)
	})
}

// Guards against accepting messages of unknown kinds and snapshots without a
// membership.
func TestWireRefusals(t *testing.T) {
	for _, w := range []*messenger.LogMessage{
		{},
		{Kind: uint32(MessageTimeoutNow) + 1},
		{Kind: 256 + uint32(MessageVote)},
		{Kind: uint32(MessageAppend), Entries: []*messenger.LogEntry{{Kind: 256}}},
		{Kind: uint32(MessageSnapshot)},
		{Kind: uint32(MessageSnapshot), Entries: []*messenger.LogEntry{{Kind: uint32(EntryMembers)}}},
	} {
		_, err := FromWire(1, 2, w)
		require.ErrorIs(t, err, ErrMalformed)
	}
}
