package keeper

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"gentianpond/internal/protocol/messenger"
)

// TestRoutingDocuments guards against a document of version 0 that is taken for none, or for
// an order about a zone, which is a publish message of that version too.
func TestRoutingDocuments(t *testing.T) {
	datadriven.RunTest(t, "testdata/routing", func(t *testing.T, d *datadriven.TestData) string {
		k := newDriver(nil)
		var out strings.Builder
		for line := range strings.Lines(d.Input) {
			words := strings.Fields(line)
			switch words[0] {
			case "publish":
				version, err := strconv.ParseUint(words[1], 10, 64)
				require.NoError(t, err)
				result := k.apply(&messenger.Command{Action: &messenger.Command_Publish{Publish: &messenger.PublishRequest{Version: version, Packed: []byte(words[2])}}})
				require.NoError(t, result.Err)
				require.Equal(t, k.routing.version, result.RoutingVersion)
			case "empty":
				require.NoError(t, k.apply(&messenger.Command{Action: &messenger.Command_Publish{Publish: &messenger.PublishRequest{}}}).Err)
			case "order":
				require.NoError(t, k.apply(evacuateCommand(words[1], false)).Err)
			case "restore":
				k.Keeper = k.restored(t)
			case "earlier":
				// A host of an earlier build writes no document of version 0.
				data, err := k.Snapshot()
				require.NoError(t, err)
				var state messenger.KeeperState
				require.NoError(t, proto.Unmarshal(data, &state))
				if state.GetRouting().GetVersion() == 0 {
					state.Routing = nil
				}
				data, err = proto.Marshal(&state)
				require.NoError(t, err)
				require.NoError(t, k.Restore(data))
			default:
				t.Fatalf("unknown line %q", line)
			}
			version, packed, ok := k.RoutingDocument()
			_, _ = fmt.Fprintf(&out, "%s: %t, version %d, %q, 0 new %t, 1 new %t, evacuated %v\n",
				strings.TrimSpace(line), ok, version, packed, k.SupersedesRouting(0), k.SupersedesRouting(1), k.EvacuatedZones())
		}
		return out.String()
	})
}
