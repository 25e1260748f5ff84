package keeper

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"
	"pgregory.net/rapid"

	"gentianpond/internal/protocol/messenger"
)

func evacuateCommand(zone string, withdrawn bool) *messenger.Command {
	return &messenger.Command{Action: &messenger.Command_Publish{Publish: &messenger.PublishRequest{Zone: zone, Withdrawn: withdrawn}}}
}

// restored returns a keeper with the state of a snapshot of d.
func (d *driver) restored(t require.TestingT) *Keeper {
	data, err := d.Snapshot()
	require.NoError(t, err)
	k := New(nil)
	require.NoError(t, k.Restore(data))
	return k
}

// Guards against an order that is lost, undone by a repeated or unrelated command, or
// changed by the way through a snapshot.
func TestEvacuationScripts(t *testing.T) {
	datadriven.RunTest(t, "testdata/evacuations", func(t *testing.T, c *datadriven.TestData) string {
		d := newDriver(nil)
		var out strings.Builder
		for _, line := range strings.Split(c.Input, "\n") {
			words := strings.Fields(line)
			changed := false
			switch words[0] {
			case "order", "withdraw":
				changed = d.apply(evacuateCommand(strings.Join(words[1:], " "), words[0] == "withdraw")).EvacuationChanged
			case "publish":
				d.apply(&messenger.Command{Action: &messenger.Command_Publish{Publish: &messenger.PublishRequest{
					Version: uint64(len(words[1])), Packed: []byte(words[1]), Zone: "a"}}})
			case "wait":
				length, err := time.ParseDuration(words[1])
				require.NoError(t, err)
				d.now = d.now.Add(length)
			case "restore":
				d.Keeper = d.restored(t)
			default:
				t.Fatalf("unknown line %q", line)
			}
			version, _, _ := d.RoutingDocument()
			_, _ = fmt.Fprintf(&out, "%s: changed %t, number %d, evacuated %v, orders %d, document %d\n",
				line, changed, d.EvacuationNumber(), d.EvacuatedZones(), len(d.Evacuations()), version)
		}
		return out.String()
	})
}

// TestEvacuationSnapshots guards against hosts whose states differ because one of them
// restored a snapshot, and against orders in force that differ from the last commands.
func TestEvacuationSnapshots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, want := newDriver(nil), map[string]bool{}
		for range rapid.IntRange(1, 30).Draw(t, "commands") {
			zone := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")
			withdrawn := rapid.Bool().Draw(t, "withdrawn")
			before := d.EvacuationNumber()
			changed := d.apply(evacuateCommand(zone, withdrawn)).EvacuationChanged
			require.Equal(t, changed, d.EvacuationNumber() > before)
			require.Equal(t, changed, want[zone] == withdrawn)
			want[zone] = !withdrawn
			d.now = d.now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "minutes")) * time.Minute)
			k := d.restored(t)
			for zone, evacuated := range want {
				require.Equal(t, evacuated, d.IsEvacuated(zone))
				require.Equal(t, evacuated, k.IsEvacuated(zone))
			}
			require.Equal(t, d.EvacuationNumber(), k.EvacuationNumber())
			if rapid.Bool().Draw(t, "restore") {
				d.Keeper = k
			}
		}
	})
}

// TestLastReleaseIgnoresEvacuation guards against a command by which the control hosts of
// the last release would change their routing document, or which they would refuse and end.
// They decode the command without the new fields and replace their document, which has
// version 0 if there is none, only by one with a higher version. This build must not take
// the command for a document of version 0 either.
func TestLastReleaseIgnoresEvacuation(t *testing.T) {
	for _, withdrawn := range []bool{false, true} {
		c := evacuateCommand("z", withdrawn)
		c.Time = timestamppb.New(start)
		data, err := EncodeCommand(c)
		require.NoError(t, err)
		var decoded messenger.Command
		require.NoError(t, proto.Unmarshal(data, &decoded))
		old := &messenger.PublishRequest{Version: decoded.GetPublish().GetVersion(), Packed: decoded.GetPublish().GetPacked()}
		require.True(t, proto.Equal(&messenger.PublishRequest{}, old))
		for _, before := range []routingDocument{
			{}, {published: true, packed: []byte("packed")}, {published: true, version: 7, packed: []byte("packed")},
		} {
			require.LessOrEqual(t, old.GetVersion(), before.version, "replaced by earlier builds")
			d := newDriver(nil)
			d.routing = before
			require.Equal(t, before.version, d.apply(c).RoutingVersion)
			require.Equal(t, before, d.routing)
		}
	}
}

// TestLandedSnapshotHasNoEvacuation guards against a snapshot of an earlier version that
// cannot be restored, or that evacuates a zone.
func TestLandedSnapshotHasNoEvacuation(t *testing.T) {
	d := newDriver(nil)
	d.apply(evacuateCommand("a", false))
	data, err := proto.Marshal(&messenger.KeeperState{Index: 9, Routing: &messenger.PublishRequest{Version: 3}})
	require.NoError(t, err)
	require.NoError(t, d.Restore(data))
	require.Zero(t, d.EvacuationNumber())
	require.Empty(t, d.EvacuatedZones())
	require.True(t, d.apply(evacuateCommand("a", false)).EvacuationChanged)
}
