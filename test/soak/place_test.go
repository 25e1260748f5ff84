package main

import (
	"encoding/json"
	"os/exec"
	"testing"

	"github.com/stretchr/testify/require"

	"gentianpond/internal/route/relayer"
	"gentianpond/test/standin"
)

// TestPlaceCommand guards against a command that does not reach the relays, or whose answer
// cannot be read.
func TestPlaceCommand(t *testing.T) {
	binary, root := build(t)
	s, err := startSoak(binary, seedFolder(root, 93), 93)
	require.NoError(t, err)
	defer s.close()
	// Members come first in the list of metrics pages.
	relay := s.system.MetricsAddresses[len(s.system.Members)]
	out, err := exec.Command(binary, "place", "--relay", relay, standin.SearchHost, "/s/x?q=1").CombinedOutput()
	require.NoError(t, err, string(out))
	require.Contains(t, string(out), "would be sent\n")
	for _, service := range standin.ShardServices {
		require.Contains(t, string(out), "service "+service+": available")
	}
	out, err = exec.Command(binary, "place", "--relay", relay, "--json", "other.example", "/s/x").CombinedOutput()
	require.NoError(t, err, string(out))
	var p relayer.Placement
	require.NoError(t, json.Unmarshal(out, &p))
	require.Equal(t, relayer.NoRoute.String(), p.Refusal)
}
