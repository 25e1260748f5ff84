package loader

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"gentianpond/internal/settings/scanner"
)

// TestFaults guards against settings that are accepted with faults, and
// against faults that are reported one at a time or at the wrong place.
func TestFaults(t *testing.T) {
	datadriven.RunTest(t, "testdata/settings", func(t *testing.T, d *datadriven.TestData) string {
		var value any
		var warnings []scanner.Fault
		var err error
		switch d.Cmd {
		case "entry":
			value, warnings, err = ParseEntry("file", []byte(d.Input))
		case "relay":
			value, err = ParseRelay("file", []byte(d.Input))
		case "member":
			value, err = ParseMember("file", []byte(d.Input))
		default:
			value, warnings, err = ParseControl("file", []byte(d.Input))
		}
		var out strings.Builder
		if err != nil {
			require.ErrorIs(t, err, ErrInvalid)
			fmt.Fprintln(&out, err)
		} else {
			fmt.Fprintf(&out, "%+v\n", value)
		}
		for _, w := range warnings {
			fmt.Fprintln(&out, "warning", w)
		}
		return out.String()
	})
}

// TestMissingFile guards against a missing file that is reported as a file with
// faults.
func TestMissingFile(t *testing.T) {
	_, _, err := ReadEntry(filepath.Join(t.TempDir(), "none.json"))
	require.Error(t, err)
	require.NotErrorIs(t, err, ErrInvalid)
	_, _, err = ReadControl(filepath.Join(t.TempDir(), "none.json"))
	require.Error(t, err)
	require.NotErrorIs(t, err, ErrInvalid)
}
