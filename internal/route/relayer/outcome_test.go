package relayer

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"gentianpond/internal/route/router"
)

// scriptedReply writes the reply that a word of testdata/outcomes describes.
func scriptedReply(w http.ResponseWriter, word string) {
	status, options, _ := strings.Cut(word, "+")
	list := strings.Split(options, "+")
	if status == "lost" {
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	if !slices.Contains(list, "unsigned") {
		h.Set("Stamp", "stamp")
	}
	if slices.Contains(list, "stated") {
		h.Set("Refused", "1")
	}
	if slices.Contains(list, "pause") {
		h.Set("Pause", "1m")
		h.Set("Retry-After", "60")
	}
	code, _ := strconv.Atoi(status)
	if slices.Contains(list, "short") {
		h.Set("Content-Length", "10")
		w.WriteHeader(code)
		_, _ = w.Write([]byte("part"))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(code)
	if code == http.StatusOK {
		_, _ = w.Write([]byte("0123456789abcdef"))
	}
}

// hostDelegator is a Delegator that hands requests to the relayer of another host.
type hostDelegator struct{ relayer *Relayer }

func (d hostDelegator) Delegate(ctx context.Context, r Request) (Answer, error) {
	r.Delegated = true
	return d.relayer.Do(ctx, r), nil
}

// oldDelegator is a Delegator to a host of an earlier version, which passes on the status of
// a server whatever it promises.
type oldDelegator struct{ status int }

func (d oldDelegator) Delegate(context.Context, Request) (Answer, error) {
	return Answer{Reason: Served, Status: d.status, Header: http.Header{"Stamp": {"stamp"}}}, nil
}

// outcomeEnv returns an environment for a kind of route in testdata/outcomes, and the host
// that asks the servers.
func outcomeEnv(t *testing.T, kind, first string) (env, asking *testEnv) {
	route := singleRoute(router.Unsafe)
	switch kind {
	case "safe":
		route.Kind = router.Safe
	case "gathered":
		route.Kind, route.Targets, route.Shards, route.TopK, route.MinCoverage = router.Safe, nil, []string{"s"}, 1, 1
	}
	// The objective is long, so that no send is hedged.
	route.Timeout, route.Objective = 5*time.Second, 4*time.Second
	env = newTestEnv(t, []router.Route{route}, map[string][]string{"s": {"a", "b"}})
	asking = env
	switch kind {
	case "handed":
		asking = env.sharedEnv(t)
		env.relayer.config.Delegator = hostDelegator{relayer: asking.relayer}
	case "handed-old":
		status, _, _ := strings.Cut(first, "+")
		code, err := strconv.Atoi(status)
		require.NoError(t, err)
		env.relayer.config.Delegator = oldDelegator{status: code}
	default:
		return env, asking
	}
	cutLinks(env).Store(true)
	env.reincarnate()
	return env, asking
}

// describeOutcome returns what the client is told.
func describeOutcome(a Answer) string {
	var out strings.Builder
	out.WriteString(a.Reason.String())
	if a.Reason.NotRun() {
		out.WriteString(" (not run)")
	}
	if a.Reason == Served {
		fmt.Fprintf(&out, " %d", a.Status)
		if a.Header.Get("Stamp") != "" || a.Stamps != nil {
			out.WriteString(" signed")
		}
	} else if len(a.Header) > 0 {
		out.WriteString(" with a server's header")
	}
	return out.String()
}

// TestOutcomes guards against a server's 503, 429 or 408 that reaches the client as a promise
// that the request has not run, although the server does not state that and may have run it.
// Each line of the script holds the replies to successive sends.
func TestOutcomes(t *testing.T) {
	datadriven.RunTest(t, "testdata/outcomes", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		for line := range strings.Lines(d.Input) {
			words := strings.Fields(line)
			env, asking := outcomeEnv(t, d.Cmd, words[0])
			var sends atomic.Int64
			for _, s := range env.servers {
				s.setHandler(func(w http.ResponseWriter, _ *http.Request) {
					word := "200"
					if n := int(sends.Add(1)); n <= len(words) {
						word = words[n-1]
					}
					scriptedReply(w, word)
				})
			}
			a := env.get(t, "/x")
			fmt.Fprintf(&out, "%-22s %s, %d sent", strings.Join(words, " "), describeOutcome(a), sends.Load())
			paused := 0
			for _, s := range asking.relayer.routing.Load().servers {
				if s.pause(time.Now()) > 0 {
					paused++
				}
			}
			if paused > 0 {
				fmt.Fprintf(&out, ", %d paused", paused)
			}
			out.WriteByte('\n')
		}
		return out.String()
	})
}
