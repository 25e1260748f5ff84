package registrar

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

// TestCheck guards against a check-in that a message cannot hold or a host cannot use, and
// against refusing one that is sound.
func TestCheck(t *testing.T) {
	datadriven.RunTest(t, "testdata/check", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		for line := range strings.Lines(d.Input) {
			var s Server
			var address, state string
			_, err := fmt.Sscanf(strings.TrimSpace(line), "%q %q %q %d %q %s", &s.Name, &s.Service, &s.Zone, &s.Slots, &address, &state)
			require.NoError(t, err, line)
			if address != "" {
				s.Address = netip.MustParseAddrPort(address)
			}
			s.State = map[string]State{"ready": Ready, "draining": Draining, "gone": Gone}[state]
			if err := s.Check(); err != nil {
				require.ErrorIs(t, err, ErrInvalid)
				fmt.Fprintln(&out, err)
				continue
			}
			fmt.Fprintln(&out, "sound")
		}
		return out.String()
	})
}
