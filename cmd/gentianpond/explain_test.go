package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestExplain guards against printing the lines of other requests, such as one
// whose id starts with the given id, and against lines out of order.
func TestExplain(t *testing.T) {
	name := filepath.Join(t.TempDir(), "log")
	require.NoError(t, os.WriteFile(name, []byte(strings.Join([]string{
		`12.5 host time=2026-01-01T00:00:02Z level=warn msg="request late, incomplete or failed" request=ab reason=broken`,
		`time=2026-01-01T00:00:01Z level=info msg="request sent again" request=ab cause=hedge`,
		`time=2026-01-01T00:00:01Z level=info msg="request sent again" request=abc cause=hedge`,
		`no log line request=ab`,
		`time=2026-01-01T00:00:03Z level=warn msg="backend server ended while it had a request" request=ad fingerprint=00ff`,
		`time=2026-01-01T00:00:04Z level=warn msg="backend server ended while it had a request" request=ae fingerprint=00ffa`,
	}, "\n")), 0o600))
	var out strings.Builder
	require.NoError(t, explain(&out, "ab", []string{name}))
	require.Equal(t, `time=2026-01-01T00:00:01Z level=info msg="request sent again" request=ab cause=hedge
time=2026-01-01T00:00:02Z level=warn msg="request late, incomplete or failed" request=ab reason=broken
`, out.String())
	out.Reset()
	require.NoError(t, explain(&out, "00ff", []string{name}))
	require.Equal(t, "time=2026-01-01T00:00:03Z level=warn msg=\"backend server ended while it had a request\" request=ad fingerprint=00ff\n", out.String())
	require.Error(t, explain(&out, "zz", []string{name}))
	require.ErrorIs(t, explain(&out, "zz", []string{name + "x"}), errUsage)
}
