package keeper

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"gentianpond/internal/protocol/messenger"
)

// TestOddSnapshot guards against a control host that cannot start or follow because of a
// registration in a snapshot that this version takes for invalid.
func TestOddSnapshot(t *testing.T) {
	data, err := proto.Marshal(&messenger.KeeperState{Index: 5, Registrations: []*messenger.Registration{
		{Server: "a", Service: "s", Address: "10.0.0.1:99999", Zone: "z", Slots: 1, Incarnation: 1, Sequence: 1, Changed: 3},
		{Server: "b", State: 99, Changed: 4},
		{Server: "c", Service: "s", Address: "10.0.0.2:80", Zone: "z", Slots: 1, Incarnation: 1, Sequence: 1, Changed: 5},
	}})
	require.NoError(t, err)
	k := New(nil)
	require.NoError(t, k.Restore(data))
	require.Equal(t, 2, k.SkippedRegistrations())
	require.Len(t, k.Registry().Records(), 1)
	_, ok := k.Registry().Get("c")
	require.True(t, ok)
}
