package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gentianpond/test/standin"
)

// shortLength is the time with faults for each seed in a plain test run.
const shortLength = 4 * time.Second

// build builds the program into a new folder.
func build(t *testing.T) (binary, root string) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	require.NoError(t, standin.TrackSources(filepath.Join("..", "..")))
	root = t.TempDir()
	binary, err := standin.Build(root)
	require.NoError(t, err)
	return binary, root
}

// TestSeeds guards against the return of faults that the soak found. Each line of
// testdata/seeds is a seed that failed once, with its cause, or a seed that is
// part of every CI run.
func TestSeeds(t *testing.T) {
	binary, root := build(t)
	f, err := os.Open("testdata/seeds")
	require.NoError(t, err)
	defer func() { require.NoError(t, f.Close()) }()
	for s := bufio.NewScanner(f); s.Scan(); {
		text, _, _ := strings.Cut(s.Text(), "#")
		if text = strings.TrimSpace(text); text == "" {
			continue
		}
		seed, err := strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
		r, err := runSeed(binary, seedFolder(root, seed), seed, shortLength)
		require.NoError(t, err)
		require.Empty(t, r.failures, "seed %d", seed)
		require.Positive(t, r.served, "seed %d", seed)
	}
}

// TestRolling guards against planned stops that cut requests off. Relays are
// stopped and restarted in turn while clients with kept-alive connections send
// to the relays that report ready.
func TestRolling(t *testing.T) {
	binary, root := build(t)
	s, err := startSoak(binary, seedFolder(root, 90), 90)
	require.NoError(t, err)
	defer s.close()
	stop := make(chan struct{})
	var group sync.WaitGroup
	for n := range clients {
		group.Go(func() { s.searchReadyRelays(t, n, stop) })
	}
	for _, p := range s.system.Relays {
		require.NoError(t, p.Signal(syscall.SIGTERM))
		require.True(t, p.Wait(stopLimit), "%s did not end by itself", p.Name)
		require.NoError(t, p.Restart())
		require.True(t, s.system.WaitReady(readyLimit))
	}
	close(stop)
	group.Wait()
	require.Empty(t, s.failures)
	require.Positive(t, s.served.Load())
}

// TestMetricsPage guards against metrics that the operators' page does not
// explain, and against names on the page that no process exports. Metrics
// marked * on the page are exported only after their first event.
func TestMetricsPage(t *testing.T) {
	binary, root := build(t)
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	require.NoError(t, err)
	_, table, ok := strings.Cut(string(page), "## Metrics of relays and members")
	require.True(t, ok)
	// expected holds the names on the page; the value is true for metrics that
	// are exported from the start.
	expected := map[string]bool{}
	for _, row := range regexp.MustCompile("(?m)^\\| ((?:`[a-z_]+`(?: \\*)?(?:, )?)+) \\|").FindAllStringSubmatch(table, -1) {
		for _, name := range regexp.MustCompile("`([a-z_]+)`( \\*)?").FindAllStringSubmatch(row[1], -1) {
			expected["gentianpond_"+name[1]] = name[2] == ""
		}
	}
	require.NotEmpty(t, expected)

	s, err := startSoak(binary, seedFolder(root, 91), 91)
	require.NoError(t, err)
	defer s.close()
	for i, host := range s.relayClients() {
		for n := range 20 {
			host.Search(fmt.Sprintf("metrics-%d-%d", i, n), "x")
		}
	}
	// Metrics reach the page once a second.
	time.Sleep(1500 * time.Millisecond)
	seen := map[string]bool{}
	for _, address := range s.system.MetricsAddresses {
		res, err := http.Get("http://" + address + "/metrics")
		require.NoError(t, err)
		text, err := io.ReadAll(res.Body)
		require.NoError(t, errors.Join(err, res.Body.Close()))
		for _, m := range regexp.MustCompile(`(?m)^# TYPE (gentianpond_[a-z_]+)`).FindAllStringSubmatch(string(text), -1) {
			seen[m[1]] = true
			if _, ok := expected[m[1]]; !ok {
				t.Errorf("docs/OPERATIONS.md does not explain %s", m[1])
			}
		}
	}
	for name, always := range expected {
		if always && !seen[name] {
			t.Errorf("no process has %s", name)
		}
	}
}

// searchReadyRelays sends searches to relays that report ready until stop is
// closed. Every search that was sent has to be served.
func (s *soak) searchReadyRelays(t *testing.T, number int, stop chan struct{}) {
	targets := s.relayClients()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		relay := n % len(targets)
		if !s.system.IsReady(relay) {
			continue
		}
		id := fmt.Sprintf("roll-%d-%d", number, n)
		o := targets[relay].Search(id, "x")
		if !o.Served && !o.Unsent {
			t.Errorf("request %s: status %d %s", id, o.Status, o.Failure)
		}
		s.served.Add(1)
	}
}
