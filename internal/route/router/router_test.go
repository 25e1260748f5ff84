package router

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// parseTable reads a table: "service NAME", "route NAME HOST PREFIX TIMEOUT
// SERVICE[=WEIGHT]..." and "fanout NAME HOST PREFIX TIMEOUT SHARD...".
func parseTable(t *testing.T, text string) (*Table, error) {
	var routes []Route
	var services []Service
	for line := range strings.Lines(text) {
		f := strings.Fields(line)
		if f[0] == "service" {
			services = append(services, Service{Name: f[1]})
			continue
		}
		timeout, err := time.ParseDuration(f[4])
		require.NoError(t, err)
		r := Route{Name: f[1], Host: f[2], Prefix: f[3], Timeout: timeout}
		for _, name := range f[5:] {
			if f[0] == "fanout" {
				r.Shards = append(r.Shards, name)
				continue
			}
			name, weight, _ := strings.Cut(name, "=")
			w := 1.0
			if weight != "" {
				w, err = strconv.ParseFloat(weight, 64)
				require.NoError(t, err)
			}
			r.Targets = append(r.Targets, Target{Service: name, Weight: w})
		}
		routes = append(routes, r)
	}
	return New(1, routes, services, Limits{})
}

// TestTables guards against accepting invalid tables, against reporting only the first
// fault of a table, and against matching a request to the wrong route.
func TestTables(t *testing.T) {
	var table *Table
	datadriven.RunTest(t, "testdata/tables", func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "match" {
			var out strings.Builder
			for line := range strings.Lines(d.Input) {
				f := strings.Fields(line)
				name := "none"
				if r, ok := table.Match(f[0], f[1]); ok {
					name = r.Name
				}
				fmt.Fprintln(&out, name)
			}
			return out.String()
		}
		parsed, err := parseTable(t, d.Input)
		if err != nil {
			require.ErrorIs(t, err, ErrInvalid)
			return strings.ReplaceAll(err.Error(), "; ", "\n") + "\n"
		}
		table = parsed
		return "ok\n"
	})
}

// TestRank guards against an account whose priority is ignored, or that goes behind a less
// urgent one because of the route, and against ranks that change where no account has a
// priority.
func TestRank(t *testing.T) {
	routes := []Route{
		{Name: "urgent", Host: "h", Prefix: "/a/", Timeout: time.Second, Targets: []Target{{Service: "s", Weight: 1}}},
		{Name: "usual", Host: "h", Prefix: "/b/", Timeout: time.Second, Priority: 1, Targets: []Target{{Service: "s", Weight: 1}}},
	}
	accounts := []Account{{Name: "high", Ranked: true}, {Name: "low", Ranked: true, Priority: 1}, {Name: "none"}}
	ranks := func(accounts []Account) string {
		table, err := NewWithAccounts(1, routes, []Service{{Name: "s"}}, Limits{}, accounts)
		require.NoError(t, err)
		var out strings.Builder
		for i := range table.Accounts() {
			for j := range table.Routes() {
				fmt.Fprintf(&out, "%d ", table.Rank(&table.Routes()[j], &table.Accounts()[i]))
			}
		}
		return fmt.Sprintf("%sof %d", out.String(), table.RankCount())
	}
	require.Equal(t, "0 1 2 3 0 3 of 4", ranks(accounts))
	require.Equal(t, "0 1 of 2", ranks(accounts[2:]))
	require.Equal(t, "0 1 of 2", ranks(accounts[:1])[:4]+ranks(accounts[2:])[4:])
	table, err := New(1, routes, []Service{{Name: "s"}}, Limits{})
	require.NoError(t, err)
	require.Equal(t, 1, table.Rank(&table.Routes()[1], nil))
	require.Equal(t, 2, table.RankCount())
}

// TestPick guards against a split that deviates from the weights over as few as 300
// requests.
func TestPick(t *testing.T) {
	const requests, maxDeviation = 300, 0.03
	rapid.Check(t, func(t *rapid.T) {
		r := Route{Name: "r", Host: "h", Prefix: "/", Timeout: time.Second}
		var services []Service
		sum := 0.0
		for i, w := range rapid.SliceOfN(rapid.IntRange(0, 9), 2, 4).Draw(t, "weights") {
			name := strconv.Itoa(i)
			services = append(services, Service{Name: name})
			r.Targets = append(r.Targets, Target{Service: name, Weight: float64(w)})
			sum += float64(w)
		}
		table, err := New(1, []Route{r}, services, Limits{})
		if sum == 0 {
			require.ErrorIs(t, err, ErrInvalid)
			return
		}
		require.NoError(t, err)
		route := &table.Routes()[0]
		count := map[string]int{}
		for range requests {
			count[route.PickService()]++
		}
		for _, target := range r.Targets {
			require.InDelta(t, target.Weight/sum, float64(count[target.Service])/requests, maxDeviation)
		}
	})
}

// TestNeed guards against a least number of parts that is off by one.
func TestNeed(t *testing.T) {
	for _, c := range []struct {
		shards      int
		minCoverage float64
		need        int
	}{{10, 0.9, 9}, {10, 0.89, 9}, {10, 0.75, 8}, {36, 0.95, 35}, {36, 0.85, 31}, {10, 0, 1}, {1, 1, 1}} {
		r := Route{Shards: make([]string, c.shards), MinCoverage: c.minCoverage}
		require.Equal(t, c.need, r.MinParts(), "%v of %d", c.minCoverage, c.shards)
	}
}
