package estimator

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1000, 0)

// duration returns the argument of a command as a duration, 0 if there is none.
func duration(t *testing.T, d *datadriven.TestData, name string) time.Duration {
	if !d.HasArg(name) {
		return 0
	}
	var text string
	d.ScanArgs(t, name, &text)
	v, err := time.ParseDuration(text)
	require.NoError(t, err)
	return v
}

// request returns the request that the arguments of a command describe.
func request(t *testing.T, d *datadriven.TestData) Request {
	r := Request{Route: "r", Service: "s"}
	for name, field := range map[string]*string{"route": &r.Route, "service": &r.Service, "account": &r.Account} {
		if d.HasArg(name) {
			d.ScanArgs(t, name, field)
		}
	}
	if d.HasArg("fingerprint") {
		d.ScanArgs(t, "fingerprint", &r.Fingerprint)
	}
	return r
}

// script runs the commands of one file.
type script struct {
	estimator *Estimator
	now       time.Time
}

// send sends requests to a server one after the other, each of which takes the same time.
func (s *script) send(t *testing.T, d *datadriven.TestData) {
	server, count := "a", 1
	if d.HasArg("server") {
		d.ScanArgs(t, "server", &server)
	}
	if d.HasArg("n") {
		d.ScanArgs(t, "n", &count)
	}
	elapsed := duration(t, d, "took")
	result := Result{Ending: Answered, Elapsed: elapsed, RoundTrip: duration(t, d, "trip")}
	if d.HasArg("ending") {
		var text string
		d.ScanArgs(t, "ending", &text)
		result.Ending = map[string]Ending{"untold": Untold, "unfinished": Unfinished}[text]
	}
	if d.HasArg("waiting") {
		result.Load.Known = true
		d.ScanArgs(t, "waiting", &result.Load.Waiting)
	}
	for range count {
		x := s.estimator.Begin(s.now, server, 1, request(t, d))
		s.now = s.now.Add(elapsed)
		s.estimator.Finish(s.now, server, 1, request(t, d), x, result)
	}
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "new":
		*s = script{estimator: New(), now: epoch}
		for _, name := range []string{"a", "b", "c"} {
			s.estimator.Update(name, "s", 1, 4)
		}
	case "pass":
		s.now = s.now.Add(duration(t, d, "time"))
	case "send":
		s.send(t, d)
	case "open":
		s.estimator.Begin(s.now, "a", 1, request(t, d))
	case "estimate":
		e, ok := s.estimator.Estimate(s.now, request(t, d))
		if !ok {
			return "unknown\n"
		}
		return fmt.Sprintf("work=%s\n", e.Work.Round(100*time.Microsecond))
	case "servers":
		e, ok := s.estimator.Estimate(s.now, request(t, d))
		var b strings.Builder
		for _, name := range []string{"a", "b", "c"} {
			server, _ := s.estimator.Server(s.now, name)
			fmt.Fprintf(&b, "%s speed=%.2f sends=%d work=%s", name, server.Speed, server.Sends, server.Work.Round(100*time.Microsecond))
			if ok {
				expected, slow, _ := s.estimator.Time(s.now, name, e.Work, 4)
				fmt.Fprintf(&b, " time=%s", expected.Round(100*time.Microsecond))
				if slow {
					b.WriteString(" slow")
				}
			}
			b.WriteString("\n")
		}
		return b.String()
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return ""
}

// TestScripts guards against estimates that follow a slow server, a queue, a pause or a
// cancelled send instead of the work of the requests, and against servers whose speed is
// judged by costly requests.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		s := &script{}
		datadriven.RunTest(t, path, s.run)
	})
}

// TestBounds guards against estimates that become negative, infinite or not a number under
// any input, against more entries than allowed, and against work that stays counted after
// all sends have ended or was never counted.
func TestBounds(t *testing.T) {
	names := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		type open struct {
			name        string
			incarnation uint64
			request     Request
			send        Send
		}
		e, now := New(), epoch
		var sent []open
		incarnations := map[string]uint64{}
		anyDuration := rapid.OneOf(rapid.Int64Range(0, int64(time.Second)), rapid.Int64())
		anyRequest := rapid.Custom(func(t *rapid.T) Request {
			return Request{
				Route: rapid.SampledFrom([]string{"r1", "r2"}).Draw(t, "route"), Service: rapid.SampledFrom([]string{"s1", "s2"}).Draw(t, "service"),
				Account: rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "account"), Fingerprint: rapid.Uint64Range(0, 3).Draw(t, "fingerprint"),
			}
		})
		t.Repeat(map[string]func(*rapid.T){
			"update": func(t *rapid.T) {
				name := rapid.SampledFrom(names).Draw(t, "server")
				incarnations[name] = max(incarnations[name], rapid.Uint64Range(0, 2).Draw(t, "incarnation"))
				e.Update(name, rapid.SampledFrom([]string{"s1", "s2"}).Draw(t, "service"), incarnations[name], rapid.Int().Draw(t, "slots"))
			},
			"remove": func(t *rapid.T) { e.Remove(rapid.SampledFrom(names).Draw(t, "server")) },
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.Int64Range(-int64(time.Second), int64(time.Minute)).Draw(t, "passed")))
			},
			"begin": func(t *rapid.T) {
				name, r := rapid.SampledFrom(names).Draw(t, "server"), anyRequest.Draw(t, "request")
				sent = append(sent, open{name, incarnations[name], r, e.Begin(now, name, incarnations[name], r)})
			},
			"finish": func(t *rapid.T) {
				if len(sent) == 0 {
					t.Skip("nothing sent")
				}
				i := rapid.IntRange(0, len(sent)-1).Draw(t, "send")
				o := sent[i]
				sent = append(sent[:i], sent[i+1:]...)
				e.Finish(now, o.name, o.incarnation, o.request, o.send, Result{
					Ending:  Ending(rapid.IntRange(0, 3).Draw(t, "ending")),
					Elapsed: time.Duration(anyDuration.Draw(t, "elapsed")), RoundTrip: time.Duration(anyDuration.Draw(t, "round trip")),
					Load: Load{Known: rapid.Bool().Draw(t, "known"), Running: rapid.Int().Draw(t, "running"), Waiting: rapid.Int().Draw(t, "waiting")},
				})
			},
			"": func(t *rapid.T) {
				estimate, ok := e.Estimate(now, anyRequest.Draw(t, "estimated"))
				require.True(t, !ok || estimate.Work > 0 && estimate.Work.Seconds() <= maxWork, "work %s", estimate.Work)
				for _, name := range names {
					expected, _, _ := e.Time(now, name, estimate.Work, rapid.Int().Draw(t, "limit"))
					require.GreaterOrEqual(t, expected, time.Duration(0))
					require.LessOrEqual(t, expected.Seconds(), maxWork)
					counted := 0
					for _, o := range sent {
						if o.send.begun && o.name == name && o.incarnation == incarnations[name] {
							counted++
						}
					}
					s, ok := e.Server(now, name)
					require.True(t, counted == 0 || ok)
					require.Equal(t, counted, s.Sends)
					require.GreaterOrEqual(t, s.Work, time.Duration(0))
					require.True(t, counted > 0 || s.Work == 0, "work of %s without sends", s.Work)
					require.False(t, ok && (math.IsNaN(s.Speed) || s.Speed < 1/maxSpeed || s.Speed > maxSpeed), "speed %f", s.Speed)
				}
			},
		})
	})
}

// TestEntries guards against memory that grows with the number of different requests.
func TestEntries(t *testing.T) {
	e := New()
	e.Update("a", "s", 1, 4)
	for i := range 5 * maxEntries {
		r := Request{Route: "r", Service: "s", Account: fmt.Sprint(i % 71), Fingerprint: uint64(i + 1)}
		x := e.Begin(epoch, "a", 1, r)
		e.Finish(epoch.Add(5*time.Millisecond), "a", 1, r, x, Result{Ending: Answered, Elapsed: 5 * time.Millisecond})
	}
	requests, servers := e.Len()
	require.LessOrEqual(t, requests, maxEntries+3)
	require.Equal(t, 1, servers)
	_, ok := e.Estimate(epoch, Request{Route: "r", Service: "s", Account: "1"})
	require.True(t, ok, "the entry of the route was dropped for fingerprints")
}

// BenchmarkEstimate measures the estimate and the expected times for one choice among 3
// servers, which must not allocate memory.
func BenchmarkEstimate(b *testing.B) {
	e := New()
	now := time.Now()
	names := []string{"a", "b", "c"}
	r := Request{Route: "r", Service: "s", Account: "x", Fingerprint: 7}
	for _, name := range names {
		e.Update(name, "s", 1, 4)
		for range 16 {
			e.Finish(now, name, 1, r, e.Begin(now, name, 1, r), Result{Ending: Answered, Elapsed: 5 * time.Millisecond, Load: Load{Known: true, Running: 1}})
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		x, ok := e.Estimate(now, r)
		if !ok {
			b.Fatal("unknown")
		}
		for _, name := range names {
			e.Time(now, name, x.Work, 1)
		}
		send := e.Begin(now, "a", 1, r)
		e.Finish(now, "a", 1, r, send, Result{Ending: Answered, Elapsed: 5 * time.Millisecond})
	}
}
