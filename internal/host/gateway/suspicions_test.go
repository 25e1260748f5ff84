package gateway

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"gentianpond/internal/guard/quarantiner"
	"gentianpond/internal/search/dispatcher"
)

// TestFullSuspicions guards against warning all peers again on each crash of a request
// that could not be recorded, and against forgetting further crashes of one that was.
func TestFullSuspicions(t *testing.T) {
	var s suspicions
	now := time.Unix(1000, 0)
	for n := range uint64(maxSuspicions) {
		require.True(t, s.record(now, dispatcher.Observation{Fingerprint: n, Crashed: true}))
	}
	extra := dispatcher.Observation{Fingerprint: maxSuspicions, Crashed: true}
	require.False(t, s.record(now, extra))
	require.False(t, s.record(now, extra))
	require.True(t, s.record(now, dispatcher.Observation{Fingerprint: 0, Crashed: true, Alone: true}))
	require.Equal(t, quarantiner.VerdictRefuse, s.verdict(now, 0))
	later := now.Add(suspicionWindow)
	require.True(t, s.record(later, extra))
}

// TestUnusableConfiguration guards against a host that goes on with an empty
// configuration after one that it could not decode.
func TestUnusableConfiguration(t *testing.T) {
	g := &Gateway{log: log.New(io.Discard)}
	g.setConfiguration(1, []byte("{"))
	require.True(t, g.currentConfig.Load().unusable)
	// Nothing is built from it: there is no dispatcher to ask.
	g.refresh(time.Now())
}
