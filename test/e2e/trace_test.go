package e2e_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"gentianpond/internal/host/gateway"
)

// span holds the fields of a span in the trace file that the tests read.
type span struct {
	Name        string
	SpanContext struct{ TraceID string }
}

// readSpans returns the spans in the trace file of an entry host that has stopped.
func (y *system) readSpans(host string) []span {
	y.t.Helper()
	data, err := os.ReadFile(filepath.Join(y.dir, host+".spans"))
	require.NoError(y.t, err)
	var spans []span
	d := json.NewDecoder(bytes.NewReader(data))
	for {
		var s span
		err := d.Decode(&s)
		if errors.Is(err, io.EOF) {
			return spans
		}
		require.NoError(y.t, err)
		spans = append(spans, s)
	}
}

// TestTrace guards against a trace that ends at the first host. The search on the
// entry host that was called, the call to the owner and the request to the backend
// server have to belong to one trace.
func TestTrace(t *testing.T) {
	y := newSystem(t, systemShape{control: 1, entries: 2, shards: 4, replicas: 2, section: deadlineSection})
	for range 5 {
		_, err := y.search(y.entryAddrs[0], `"trace"`, gateway.LaneInteractive)
		require.NoError(t, err)
	}
	for _, p := range y.entries {
		p.signal(syscall.SIGTERM)
		require.Zero(t, p.awaitExit(exitTimeout))
	}
	names := map[string]map[string]bool{}
	for _, host := range []string{"entry-1", "entry-2"} {
		for _, s := range y.readSpans(host) {
			if names[s.SpanContext.TraceID] == nil {
				names[s.SpanContext.TraceID] = map[string]bool{}
			}
			names[s.SpanContext.TraceID][host+" "+s.Name] = true
		}
	}
	completeTraces := 0
	for _, n := range names {
		if n["entry-1 search"] && n["entry-1 messenger.Entry/Scan"] && n["entry-2 messenger.Entry/Scan"] && n["entry-2 backend/search"] {
			completeTraces++
		}
	}
	require.NotZero(t, completeTraces, "traces that reach the backend servers of the other host")
}
