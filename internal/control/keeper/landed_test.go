package keeper

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"gentianpond/internal/guard/quarantiner"
	"gentianpond/internal/protocol/messenger"
)

// landedFolder holds commands and a snapshot that the program of commit ab18628 wrote.
const landedFolder = "testdata/ab18628"

// TestLandedData guards against commands and snapshots of an earlier version that this one
// reads in another way.
func TestLandedData(t *testing.T) {
	snapshot, err := os.ReadFile(filepath.Join(landedFolder, "snapshot"))
	require.NoError(t, err)
	restored, applied := New(nil), New(nil)
	require.NoError(t, restored.Restore(snapshot))
	for i := range 4 {
		command, err := os.ReadFile(filepath.Join(landedFolder, fmt.Sprint("command-", i)))
		require.NoError(t, err)
		require.NoError(t, applied.Apply(uint64(i+1), command).Err)
	}
	for _, k := range []*Keeper{restored, applied} {
		version, packed, _ := k.RoutingDocument()
		require.EqualValues(t, 7, version)
		require.Equal(t, "packed", string(packed))
		require.Len(t, k.Registry().Records(), 2)
		now := time.Unix(1_800_000_010, 0)
		require.Equal(t, quarantiner.VerdictRefuse, k.QuarantineVerdict(9, now))
		require.Equal(t, quarantiner.VerdictRefuse, k.QuarantineVerdict(11, now))
		// Entry hosts reject a list whose revision is lower than one that they have.
		require.Equal(t, restored.QuarantineRevision(), k.QuarantineRevision())
		require.Empty(t, k.RouteSuspicions())
	}
}

// TestRouteReportsLeaveOldListAlone guards against hosts of two versions whose lists for
// archives differ: earlier versions do not know the reports on routes.
func TestRouteReportsLeaveOldListAlone(t *testing.T) {
	k := New(nil)
	crash := &messenger.Observation{Id: "1", Fingerprint: 9, Archive: "s", Server: "x", Incarnation: 1, Crashed: true}
	for i, action := range []*messenger.Command{
		{Action: &messenger.Command_Suspect{Suspect: &messenger.SuspectRequest{Routes: []*messenger.Observation{crash}}}},
		{Action: &messenger.Command_Release{Release: &messenger.ReleaseRequest{Action: "pinroute", Fingerprint: 10, Archive: "s"}}},
	} {
		action.Time = timestamppb.New(time.Unix(1_800_000_000, 0))
		data, err := EncodeCommand(action)
		require.NoError(t, err)
		require.NoError(t, k.Apply(uint64(i+1), data).Err)
	}
	require.Zero(t, k.QuarantineRevision())
	require.Len(t, k.RouteSuspicions(), 2)
	data, err := k.Snapshot()
	require.NoError(t, err)
	restored := New(nil)
	require.NoError(t, restored.Restore(data))
	for i, s := range k.RouteSuspicions() {
		require.True(t, proto.Equal(s, restored.RouteSuspicions()[i]))
	}
	require.Equal(t, k.RouteRevision(), restored.RouteRevision())
}
