package detector

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

// TestScripts guards against a host that takes servers that crash for lost links, or lost
// links for servers that are down. Each line is an event with the time since the start.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			detector := &Detector{}
			for line := range strings.Lines(d.Input) {
				fields := strings.Fields(line)
				after, err := time.ParseDuration(fields[0])
				require.NoError(t, err)
				now := time.Unix(1000, 0).Add(after)
				switch fields[1] {
				case "servers":
					names := fields[2:]
					detector.SetServers(len(names), func(name string) bool { return slices.Contains(names, name) })
				case "failed":
					for _, name := range fields[2:] {
						detector.Failed(now, name)
					}
				case "reached":
					e, ended := detector.Reached(now)
					fmt.Fprintf(&out, "%s reached, ended %t after %s\n", fields[0], ended, e.CutOff)
				case "check":
					e, cutOff, begun := detector.Check(now)
					fmt.Fprintf(&out, "%s cut off %t, begun %t: %d of %d failed, silence %s\n", fields[0], cutOff, begun, e.Failed, e.Known, e.Silence)
				default:
					t.Fatalf("unknown event %q", line)
				}
			}
			return out.String()
		})
	})
}
