package forwarder

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"gentianpond/internal/control/subscriber"
	"gentianpond/internal/fleet/registrar"
	"gentianpond/internal/host/runner"
	"gentianpond/internal/route/router"
	"gentianpond/internal/settings/loader"
)

func freeAddress(t *testing.T) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, l.Close()) }()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// TestPlannedStop guards against a process that exits while requests are in flight.
// It happened when closing the listener ended the whole run group.
func TestPlannedStop(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	s := loader.RelaySettings{Name: "entry", Zone: "z", Listen: freeAddress(t), Ready: freeAddress(t), Seeds: []netip.AddrPort{freeAddress(t)}, Grace: 2 * time.Second}
	f, err := New(s, Adapter{
		DecodeDocument: func([]byte) (*router.Table, error) { return nil, router.ErrInvalid },
		NewEntryHandler: func(RequestRelayer) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				close(started)
				<-finish
				_, _ = io.WriteString(w, "whole")
			})
		},
		NewReadinessHandler: func(func() bool) http.Handler { return http.NotFoundHandler() },
	}, log.New(io.Discard), tally.NoopScope)
	require.NoError(t, err)
	var group runner.Group
	f.AddTo(&group)
	stop := make(chan struct{})
	group.Add(func(ctx context.Context) error {
		<-stop
		f.Drain(ctx)
		return runner.ErrStopped
	})
	done := make(chan error, 1)
	go func() { done <- group.Run() }()

	answer := make(chan string, 1)
	go func() {
		res, err := http.Get("http://" + s.Listen.String())
		if err != nil {
			answer <- err.Error()
			return
		}
		body, _ := io.ReadAll(res.Body)
		_ = res.Body.Close()
		answer <- string(body)
	}()
	<-started
	close(stop)
	require.Eventually(t, func() bool { return !f.Ready() }, time.Second, time.Millisecond)
	// By then the wait for the load balancer is over and the listener is closed.
	time.Sleep(time.Second)
	close(finish)
	require.Equal(t, "whole", <-answer)
	require.NoError(t, <-done)
}

// TestVersionZero guards against a routing document of version 0 that an entry host takes for
// none, and against one that it decodes again with each update.
func TestVersionZero(t *testing.T) {
	decoded := 0
	f, stop := startTestForwarder(t, func(f *Forwarder) {
		f.adapter.DecodeDocument = func(text []byte) (*router.Table, error) {
			decoded++
			return router.New(uint64(len(text)-len("document")), nil, nil, router.Limits{})
		}
	})
	defer func() { require.NoError(t, stop()) }()
	require.Eventually(t, func() bool { return f.runContext.Load() != nil }, time.Second, time.Millisecond)
	f.applyUpdate(subscriber.RoutingState{EntryHosts: 1})
	require.Nil(t, f.relayer.Table(), "without a document")
	for range 2 {
		f.applyUpdate(subscriber.RoutingState{Document: []byte("document"), EntryHosts: 1})
		require.NotNil(t, f.relayer.Table())
		require.Zero(t, f.relayer.Table().Version)
	}
	f.applyUpdate(subscriber.RoutingState{Version: 1, Document: []byte("document1"), EntryHosts: 1})
	require.EqualValues(t, 1, f.relayer.Table().Version)
	require.Equal(t, 2, decoded)
}

// TestReady guards against a host that is given clients' requests although it knows no
// backend server yet, and against one that stays out of service because a service has
// none.
func TestReady(t *testing.T) {
	table, err := router.New(1, []router.Route{{
		Name: "r", Host: "h", Prefix: "/", Timeout: time.Second, Objective: time.Second, MaxAttempts: 1, Shards: []string{"a", "b", "c"}, TopK: 1, MinCoverage: 0.6,
	}}, []router.Service{{Name: "a"}, {Name: "b"}, {Name: "c"}}, router.Limits{})
	require.NoError(t, err)
	f, stop := startTestForwarder(t, func(f *Forwarder) {
		f.adapter.DecodeDocument = func([]byte) (*router.Table, error) { return table, nil }
	})
	defer func() { require.NoError(t, stop()) }()
	require.Eventually(t, func() bool { return f.runContext.Load() != nil }, time.Second, time.Millisecond)
	require.False(t, f.Ready(), "without a routing table")
	state := subscriber.RoutingState{Version: 1, Document: []byte("1")}
	for i, service := range []string{"a", "b"} {
		f.applyUpdate(state)
		require.False(t, f.Ready(), "with servers for %d of 3 shards, 2 are needed", i)
		state.Servers = append(state.Servers, registrar.Server{Name: service, Service: service, Address: freeAddress(t)})
	}
	f.applyUpdate(state)
	require.True(t, f.Ready())
	f.applyUpdate(subscriber.RoutingState{Version: 1, Document: []byte("1")})
	require.True(t, f.Ready(), "servers that are lost later do not take the host out of service")

	f.canServe.Store(false)
	require.False(t, f.Ready())
	before := time.Now().Add(-maxServerWait)
	f.tableReceivedAt.Store(&before)
	require.True(t, f.Ready(), "a service without servers does not take the host out of service for good")
}
