package tracker

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestParseJSON guards against an announcement that is accepted with faults,
// and against faults that are reported one at a time.
func TestParseJSON(t *testing.T) {
	datadriven.RunTest(t, "testdata/announce", func(t *testing.T, d *datadriven.TestData) string {
		a, err := ParseJSON([]byte(d.Input))
		if err != nil {
			require.ErrorIs(t, err, ErrInvalid)
			return err.Error() + "\n"
		}
		body, err := json.Marshal(a)
		require.NoError(t, err)
		return string(body) + "\n"
	})
}

// TestBodyLimit guards against a body that takes unbounded memory.
func TestBodyLimit(t *testing.T) {
	_, err := ParseJSON([]byte(strings.Repeat(" ", MaxBodyBytes+1)))
	require.ErrorIs(t, err, ErrInvalid)
	_, err = ParseJSON([]byte(strings.Repeat("[", MaxBodyBytes)))
	require.ErrorIs(t, err, ErrInvalid)
}

// TestRoundTrip guards against a field that the message or the JSON form loses.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := testAnnouncement(rapid.StringMatching(`[a-z0-9]{1,20}`).Draw(t, "server"))
		a.Incarnation = rapid.Uint64Min(1).Draw(t, "incarnation")
		a.Sequence = rapid.Uint64Min(1).Draw(t, "sequence")
		a.Draining = rapid.Bool().Draw(t, "draining")
		a.Load = rapid.Float64Range(0, 1).Draw(t, "load")
		a.Slots = rapid.IntRange(1, maxSlots).Draw(t, "slots")
		a.ConnectionLimit = rapid.IntRange(1, maxConnections).Draw(t, "connections")
		if rapid.Bool().Draw(t, "two") {
			a.Served = append(a.Served, ServedSnapshot{Archive: "counter", Snapshot: "v2", ShardCount: 20,
				Shards: []int{0, 19}, Lanes: []string{LaneBulk}})
		}
		fromMessage, err := FromMessage(a.Message())
		if err != nil {
			t.Fatal(err)
		}
		require.Equal(t, a, fromMessage)
		body, err := json.Marshal(a)
		require.NoError(t, err)
		fromJSON, err := ParseJSON(body)
		require.NoError(t, err)
		require.Equal(t, a, fromJSON)
	})
}
