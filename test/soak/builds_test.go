package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gentianpond/test/standin"
)

const (
	// mixedLimit is the rate limit in requests a second that one server names while builds
	// are replaced.
	mixedLimit = 20
	// mixedServed is the least share of searches that has to be served meanwhile. The request
	// that ends servers goes to another service, all of whose servers end as long as relays
	// of the old build take it.
	mixedServed = 0.95
)

// buildLanded builds the program of the last landing, which testdata/landed names.
func buildLanded(t *testing.T, root string) string {
	commit, err := os.ReadFile("testdata/landed")
	require.NoError(t, err)
	return buildCommit(t, root, strings.TrimSpace(string(commit)))
}

// buildCommit builds the program of a commit from the history of the repository.
func buildCommit(t *testing.T, root, commit string) string {
	sources := filepath.Join(root, "landed")
	require.NoError(t, os.MkdirAll(sources, 0o700))
	script := `git -C ../.. archive "$0" cmd internal platform test go.mod go.sum | tar -x -C "$1" && cd "$1" && go build -buildvcs=false -o gentianpond ./cmd/gentianpond`
	out, err := exec.Command("sh", "-c", script, commit, sources).CombinedOutput()
	require.NoError(t, err, "%s", out)
	return filepath.Join(sources, "gentianpond")
}

// TestMixedBuilds guards against a build that cannot run beside the one of the last landing:
// processes are replaced one after the other, relays first and members first, and back
// again, with a document at each step, while clients send, an operator publishes, a server
// names a limit, and a request ends servers.
func TestMixedBuilds(t *testing.T) {
	binary, root := build(t)
	landed := buildLanded(t, root)
	for i, c := range []struct {
		name        string
		relaysFirst bool
	}{{"relays first", true}, {"members first", false}} {
		t.Run(c.name, func(t *testing.T) {
			seed := uint64(95 + i)
			s, err := startSoak(landed, seedFolder(root, seed), seed)
			require.NoError(t, err)
			defer s.close()
			order := [][]*standin.Process{s.system.Members, s.system.Relays}
			if c.relaysFirst {
				order[0], order[1] = order[1], order[0]
			}
			stop := make(chan struct{})
			var group sync.WaitGroup
			for n := range clients {
				group.Go(func() { s.runClient(n, stop) })
			}
			group.Go(func() { s.runOperator(stop) })
			group.Go(func() { s.runCrashingClient(stop) })
			// The first server of a shard; the service of the crashing request needs its own.
			s.backends[replicas].SetBehavior(standin.Behavior{Latency: 3 * time.Millisecond, Limit: mixedLimit})

			s.replaceAll(t, order, binary)
			ended := s.endedServers()
			time.Sleep(crashSettle)
			settled := s.endedServers()
			time.Sleep(crashSettle)
			require.LessOrEqual(t, s.endedServers()-settled, crashSlack, "servers that end although all processes are new")
			t.Logf("%d servers ended until all processes were new, %d in the first %s after that", ended, settled-ended, crashSettle)
			s.replaceAll(t, order, landed)
			close(stop)
			group.Wait()
			s.checkRecovery()
			s.checkRuns()
			require.Empty(t, s.failures)
			searches, served := s.searches.Load(), s.servedSearches.Load()
			t.Logf("%d of %d searches served, %d of all %d requests, documents up to %d", served, searches, s.served.Load(), s.requests.Load(), s.lastVersion.Load())
			require.GreaterOrEqual(t, float64(served), mixedServed*float64(searches))
		})
	}
}

// replaceAll stops the processes in a planned way and starts them again with another build,
// one after the other.
func (s *soak) replaceAll(t *testing.T, groups [][]*standin.Process, binary string) {
	for _, group := range groups {
		for _, p := range group {
			require.NoError(t, p.Signal(syscall.SIGTERM))
			require.True(t, p.Wait(stopLimit), "%s did not end by itself", p.Name)
			p.SetBinary(binary)
			require.NoError(t, p.Restart())
			require.True(t, s.system.WaitReady(readyLimit), "after %s", p.Name)
			s.publishDocument(0)
		}
	}
}

// runCrashingClient sends a request that ends each server which runs it until stop is
// closed.
func (s *soak) runCrashingClient(stop chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(crashPause):
		}
		c := &standin.Client{Address: s.system.EntryAddresses[s.randomInt(relays)], ServiceOf: s.serviceOf}
		id := fmt.Sprintf("%d-%s-%d", s.seed, standin.CrashText, n)
		if o := c.Fetch(id, standin.CrashText); o.Served {
			s.failf("request %s was served", id)
		}
	}
}

// endedServers returns the number of servers that ended under a request.
func (s *soak) endedServers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.crashes)
}
