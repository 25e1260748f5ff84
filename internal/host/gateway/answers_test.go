package gateway

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

// TestSearchAnswer guards against hits that are lost, or that make the answer no JSON. Each line
// of the script is what one shard answered.
func TestSearchAnswer(t *testing.T) {
	datadriven.RunTest(t, "testdata/answers", func(t *testing.T, d *datadriven.TestData) string {
		var bodies [][]byte
		for line := range strings.Lines(d.Input) {
			bodies = append(bodies, []byte(line))
		}
		w := httptest.NewRecorder()
		a := SearchAnswer{ID: `"hits":[]}`, Outcome: OutcomeRan, Coverage: Coverage{Shards: uint32(len(bodies)), Missing: []uint32{}}}
		writeSearchAnswer(w, http.StatusOK, a, bodies)
		var decoded SearchAnswer
		require.NoError(t, json.Unmarshal(w.Body.Bytes(), &decoded))
		require.NotNil(t, decoded.Hits)
		require.Equal(t, a.ID, decoded.ID)
		require.Equal(t, a.Coverage, decoded.Coverage)
		return w.Body.String()
	})
}
