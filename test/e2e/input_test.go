package e2e_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"gentianpond/internal/host/gateway"
)

// TestBadInput guards against a bad request that is dispatched, or refused
// without a stable code.
func TestBadInput(t *testing.T) {
	y := newSystem(t, systemShape{control: 1, entries: 1, shards: 1, replicas: 1, section: deadlineSection})
	before := y.requireStats(0).Searches
	tests := []struct {
		name, body, code string
		status           int
	}{
		{"no JSON", `{"archive":`, gateway.CodeMalformed, http.StatusBadRequest},
		{"unknown field", `{"archive":"albums","query":1,"colour":2}`, gateway.CodeMalformed, http.StatusBadRequest},
		{"two values", `{"archive":"albums","query":1} {}`, gateway.CodeMalformed, http.StatusBadRequest},
		{"no query", `{"archive":"albums"}`, gateway.CodeMalformed, http.StatusBadRequest},
		{"unknown archive", `{"archive":"nothing","query":1}`, gateway.CodeUnknownArchive, http.StatusNotFound},
		{"unknown lane", `{"archive":"albums","query":1,"lane":"fast"}`, gateway.CodeUnknownLane, http.StatusBadRequest},
		{"deadline past", `{"archive":"albums","query":1,"deadline":"-1ms"}`, gateway.CodeInvalidDeadline, http.StatusBadRequest},
		{"deadline without unit", `{"archive":"albums","query":1,"deadline":"160"}`, gateway.CodeInvalidDeadline, http.StatusBadRequest},
		{"deadline above the ceiling", `{"archive":"albums","query":1,"deadline":"1h"}`, gateway.CodeInvalidDeadline, http.StatusBadRequest},
		{"oversized", `{"archive":"albums","query":"` + strings.Repeat("x", 1<<20) + `"}`, gateway.CodeOversized, http.StatusRequestEntityTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			res, err := client.Post("http://"+y.entryAddrs[0].String()+"/v1/search", "application/json", bytes.NewBufferString(tt.body))
			require.NoError(t, err)
			defer func() { _ = res.Body.Close() }()
			var a gateway.SearchAnswer
			require.NoError(t, json.NewDecoder(res.Body).Decode(&a))
			require.Equal(t, tt.code, a.Code, a.Reason)
			require.Equal(t, gateway.OutcomeNotRun, a.Outcome)
			require.NotEmpty(t, a.Reason)
			require.Equal(t, tt.status, res.StatusCode)
		})
	}
	require.Equal(t, before, y.requireStats(0).Searches, "a bad request was dispatched")
}
