package e2e_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// hit is one search result of a fake backend server.
type hit struct {
	Shard    uint32 `json:"shard"`
	Snapshot string `json:"snapshot"`
	Query    string `json:"query"`
	Server   string `json:"server"`
}

func decodeHit(t *testing.T, raw json.RawMessage) hit {
	t.Helper()
	var h hit
	require.NoError(t, json.Unmarshal(raw, &h))
	return h
}
