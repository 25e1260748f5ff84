package delegator

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"gentianpond/internal/fleet/registrar"
	"gentianpond/internal/route/pacer"
	"gentianpond/internal/route/relayer"
	"gentianpond/internal/route/router"
)

// fleetCodec implements relayer.Codec with one header for each value.
type fleetCodec struct{}

func (fleetCodec) Encode(h http.Header, id string, _ time.Duration, _ string) { h.Set("Id", id) }
func (fleetCodec) Key(http.Header) string                                     { return "" }
func (fleetCodec) SetAccount(http.Header, string)                             {}
func (fleetCodec) RequestID(h http.Header) string                             { return h.Get("Id") }
func (c fleetCodec) Decode(_ int, h http.Header) relayer.AnswerMetadata {
	return relayer.AnswerMetadata{RequestID: c.RequestID(h), Stamp: h.Get("Stamp")}
}

// cutForm is how the links of a host fail.
type cutForm int32

const (
	noCut cutForm = iota
	// hangingCut: open connections carry nothing, new ones time out.
	hangingCut
	// resetCut: open connections are reset, new ones are refused.
	resetCut
	// refusingCut: open connections live on, new ones are refused.
	refusingCut
	cutForms
)

// fleetHost is an entry host whose links to the backend servers can be cut.
type fleetHost struct {
	*testHost
	relay *relayer.Relayer
	form  atomic.Int32
	// changedAt is when the last cut began or ended, in Unix nanoseconds.
	changedAt atomic.Int64

	mu    sync.Mutex
	conns []*cutConn
}

// cutConn is a connection to a backend server over the links of a host.
type cutConn struct {
	net.Conn
	host *fleetHost
}

// Read implements net.Conn. During a hanging cut nothing arrives.
func (c *cutConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for cutForm(c.host.form.Load()) == hangingCut {
		time.Sleep(time.Millisecond)
	}
	return n, err
}

// dial opens a connection to a backend server, unless the links are cut.
func (h *fleetHost) dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	switch cutForm(h.form.Load()) {
	case hangingCut:
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(250 * time.Millisecond):
			return nil, os.ErrDeadlineExceeded
		}
	case resetCut, refusingCut:
		return nil, syscall.ECONNREFUSED
	}
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp4", address.String())
	if err != nil {
		return nil, err
	}
	c := &cutConn{Conn: raw, host: h}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.conns = append(h.conns, c)
	return c, nil
}

// cut changes the form of the cut.
func (h *fleetHost) cut(form cutForm) {
	h.form.Store(int32(form))
	h.changedAt.Store(time.Now().UnixNano())
	if form != resetCut {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.conns {
		_ = c.Conn.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	h.conns = nil
}

// fleet is a set of hosts with backend servers that count the runs of each request.
type fleet struct {
	hosts []*fleetHost

	mu sync.Mutex
	// runs counts the runs of each request at all servers.
	runs     map[string]int
	outcomes []outcome
}

// newFleet starts hosts and the servers of two shards and of one service for unsafe
// requests.
func newFleet(t *testing.T, hosts int) *fleet {
	f := &fleet{runs: map[string]int{}}
	var servers []registrar.Server
	var services []router.Service
	for _, service := range []string{"s1", "s2", "orders"} {
		services = append(services, router.Service{Name: service, ConnectionLimit: 40})
		for i := range 3 {
			s := httptest.NewServer(http.HandlerFunc(f.serveBackend))
			t.Cleanup(s.Close)
			servers = append(servers, registrar.Server{Name: fmt.Sprint(service, "-", i), Service: service, Zone: fmt.Sprint("z", i%2), Slots: 4,
				Address: netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")), Incarnation: 1, Sequence: 1})
		}
	}
	search := router.Route{Name: "search", Host: "h", Prefix: "/search/", Kind: router.Safe, Timeout: 2 * time.Second, Objective: 200 * time.Millisecond,
		MaxAttempts: 2, Shards: []string{"s1", "s2"}, TopK: 3, MinCoverage: 1}
	order := router.Route{Name: "order", Host: "h", Prefix: "/order/", Kind: router.Unsafe, Timeout: 2 * time.Second, Objective: 200 * time.Millisecond,
		MaxAttempts: 2, Targets: []router.Target{{Service: "orders", Weight: 1}}}
	table, err := router.New(1, []router.Route{search, order}, services, router.Limits{})
	require.NoError(t, err)
	var all []*testHost
	for i := range hosts {
		h := &fleetHost{}
		h.testHost = newTestHost(t, byte(100+i), func(ctx context.Context, r relayer.Request) relayer.Answer { return h.relay.Do(ctx, r) })
		h.relay = relayer.New(relayer.Config{
			Zone: fmt.Sprint("z", i%2), Codec: fleetCodec{}, Budget: relayer.Budget{Ratio: 0.2, ExtraPerWindow: 100, Window: 10 * time.Second},
			Dial: h.dial, Delegator: h.delegator, Log: log.New(io.Discard), Scope: tally.NoopScope,
		})
		h.relay.Update(t.Context(), table, servers, pacer.Position{Rank: i, Count: hosts})
		f.hosts, all = append(f.hosts, h), append(all, h.testHost)
	}
	introduce(all...)
	return f
}

func (f *fleet) serveBackend(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Id")
	f.mu.Lock()
	f.runs[id]++
	f.mu.Unlock()
	time.Sleep(2 * time.Millisecond)
	w.Header().Set("Id", id)
	w.Header().Set("Stamp", "stamp-"+id)
	_, _ = io.WriteString(w, "0123456789abcdef")
}

// send sends one request to a host and returns the answer.
func (f *fleet) send(ctx context.Context, h *fleetHost, id string, unsafe bool) relayer.Answer {
	r := relayer.Request{ID: id, Method: http.MethodGet, Path: "/search/x", Host: "h", HostHeader: "h", Header: http.Header{}, Received: time.Now()}
	if unsafe {
		r.Method, r.Path, r.Body = http.MethodPost, "/order/x", []byte("x")
	}
	r.Target = r.Path
	r.Deadline = r.Received.Add(2 * time.Second)
	return h.relay.Do(ctx, r)
}

// noticeTime is the time after a cut from which requests have to be served as well as at
// other hosts, and minServed the share that has to be.
const (
	noticeTime = 500 * time.Millisecond
	minServed  = 0.95
)

// runSchedule cuts the links of hosts at random while clients send to all of them, and
// checks what callers and servers are promised. At least one host keeps its links.
func runSchedule(t *testing.T, seed uint64) {
	f := newFleet(t, 4)
	var served, sent atomic.Int64
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i, h := range f.hosts {
		for n := range 3 {
			group.Go(func() {
				r := rand.New(rand.NewPCG(seed, uint64(10*i+n)))
				for k := 0; ; k++ {
					select {
					case <-stop:
						return
					case <-time.After(time.Duration(5+r.IntN(10)) * time.Millisecond):
					}
					id, unsafe := fmt.Sprintf("%d-%d-%d", i, n, k), r.IntN(2) == 0
					cutAt := h.changedAt.Load()
					settled := time.Since(time.Unix(0, cutAt)) > noticeTime
					a := f.send(t.Context(), h, id, unsafe)
					f.record(outcome{id: id, unsafe: unsafe, reason: a.Reason})
					if settled && h.changedAt.Load() == cutAt {
						sent.Add(1)
						if a.Reason == relayer.Served {
							served.Add(1)
						}
					}
				}
			})
		}
	}
	r := rand.New(rand.NewPCG(seed, 1))
	for range 4 {
		for _, h := range f.hosts[1:] {
			form := noCut
			if r.IntN(3) > 0 {
				form = cutForm(1 + r.IntN(int(cutForms)-1))
			}
			h.cut(form)
		}
		time.Sleep(time.Duration(600+r.IntN(800)) * time.Millisecond)
	}
	for _, h := range f.hosts {
		h.cut(noCut)
	}
	close(stop)
	group.Wait()
	f.checkRuns(t)
	require.Positive(t, sent.Load())
	require.GreaterOrEqual(t, float64(served.Load()), minServed*float64(sent.Load()), "served %d of %d", served.Load(), sent.Load())
}

// outcome is what a client was told about one request.
type outcome struct {
	id     string
	unsafe bool
	reason relayer.Reason
}

// record keeps the outcome of a request for checkRuns.
func (f *fleet) record(o outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outcomes = append(f.outcomes, o)
}

// checkRuns compares what clients were told with the runs of each request. A refused
// request must not run after the refusal either.
func (f *fleet) checkRuns(t *testing.T) {
	time.Sleep(300 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, o := range f.outcomes {
		runs := f.runs[o.id]
		if o.unsafe && runs > 1 {
			t.Errorf("unsafe request %s ran %d times", o.id, runs)
		}
		if o.reason.NotRun() && runs > 0 {
			t.Errorf("request %s was refused (%s) and ran", o.id, o.reason)
		}
		// Two shards, two attempts each.
		if runs > 4 {
			t.Errorf("request %s ran %d times", o.id, runs)
		}
	}
}

// TestCutHosts guards against callers of hosts without links to the backend servers who
// are served worse than others, and against handovers that run a request twice or call one
// not run that has. SEED runs one schedule.
func TestCutHosts(t *testing.T) {
	seeds := []uint64{1, 2, 3}
	if text := os.Getenv("SEED"); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
		seeds = []uint64{seed}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSchedule(t, seed) })
	}
}
