package e2e_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/stretchr/testify/require"

	"gentianpond/test/fakes/searcher"
)

func contains(s, part string) bool { return strings.Contains(s, part) }

// requireStats returns the counts of a fake backend server that has to be running.
func (y *system) requireStats(i int) searcher.Stats {
	y.t.Helper()
	s, err := y.fetchStats(i)
	require.NoError(y.t, err)
	return s
}

func (y *system) fetchStats(i int) (searcher.Stats, error) {
	var s searcher.Stats
	res, err := client.Get("http://" + y.fakeAddrs[i].String() + "/stats")
	if err != nil {
		return s, err
	}
	defer func() { _ = res.Body.Close() }()
	return s, json.NewDecoder(res.Body).Decode(&s)
}

// setBehavior replaces the behavior of a fake backend server.
func (y *system) setBehavior(i int, b searcher.Behavior) { y.postToFake(i, "/behavior", b) }

// setServed replaces the snapshots and shards that a fake backend server holds.
func (y *system) setServed(i int, s []searcher.ServedSnapshot) { y.postToFake(i, "/served", s) }

func (y *system) postToFake(i int, path string, v any) {
	y.t.Helper()
	data, err := json.Marshal(v)
	require.NoError(y.t, err)
	res, err := client.Post("http://"+y.fakeAddrs[i].String()+path, "application/json", bytes.NewReader(data))
	require.NoError(y.t, err)
	defer func() { _ = res.Body.Close() }()
	require.Equal(y.t, http.StatusOK, res.StatusCode)
}
