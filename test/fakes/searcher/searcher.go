// Package searcher is a fake backend server for tests and demonstrations. It
// announces itself, answers searches and orders after a settable delay, sheds,
// drains, crashes and closes connections on demand, and counts what it ran.
package searcher

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// announceInterval is the interval that the system asks of backend servers.
const announceInterval = 500 * time.Millisecond

// Settings describe a fake backend server.
type Settings struct {
	Name        string         `json:"name"`
	Zone        string         `json:"zone"`
	Listen      netip.AddrPort `json:"listen"`
	Slots       int            `json:"slots"`
	Connections int            `json:"connections"`
	// Connect is the cost of a new connection.
	Connect  time.Duration    `json:"connect"`
	Served   []Served         `json:"served"`
	Entries  []netip.AddrPort `json:"entries"`
	Behavior Behavior         `json:"behavior"`
	// Uptime is added to the announced uptime; a server that is old is warm.
	Uptime time.Duration `json:"uptime"`
	// Record is a file that gets a line for each order that the server begins
	// to run, so that the count survives a kill. Empty means none.
	Record string `json:"record"`
	// OnCrash runs when a request crashes the server; the default panics the
	// process away.
	OnCrash func() `json:"-"`
}

// Stats count what a server was asked and what it ran.
type Stats struct {
	Incarnation uint64         `json:"incarnation"`
	Searches    int            `json:"searches"`
	Orders      map[string]int `json:"orders"`
	Bodies      map[string]int `json:"bodies"`
	Cancelled   int            `json:"cancelled"`
	Shed        int            `json:"shed"`
	MostRunning int            `json:"running"`
	MostOpen    int            `json:"open"`
	Opened      int            `json:"opened"`
	// WhileDraining counts requests that arrived after draining was announced.
	WhileDraining int       `json:"late"`
	LastRequest   time.Time `json:"last"`
}

// Server is a running fake backend server.
type Server struct {
	settings    Settings
	incarnation uint64
	started     time.Time
	listener    net.Listener
	http        *http.Server
	client      *http.Client
	record      *os.File

	mu       sync.Mutex
	behavior Behavior
	served   []Served
	stats    Stats
	running  int
	open     int
	seen     int
	sequence uint64
	previous *answer
	target   int
}

// Start listens and begins to announce. Stop ends it.
func Start(ctx context.Context, s Settings) (*Server, error) {
	l, err := net.Listen("tcp", s.Listen.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	now := time.Now()
	f := &Server{
		settings:    s,
		incarnation: uint64(now.UnixNano()),
		started:     now.Add(-s.Uptime),
		listener:    l,
		client:      &http.Client{Timeout: announceInterval},
		behavior:    s.Behavior,
		served:      s.Served,
	}
	if s.Record != "" {
		f.record, err = os.OpenFile(s.Record, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, errors.Wrap(err, "open record")
		}
	}
	f.stats.Orders = map[string]int{}
	f.stats.Bodies = map[string]int{}
	f.stats.Incarnation = f.incarnation
	f.http = &http.Server{Handler: f.mux(), ConnState: f.connState, ReadHeaderTimeout: time.Minute}
	go func() { _ = f.http.Serve(slowListener{Listener: l, cost: s.Connect}) }()
	go f.announceLoop(ctx)
	return f, nil
}

// slowListener makes a new connection cost time.
type slowListener struct {
	net.Listener
	cost time.Duration
}

// Accept delays the first read of each connection by the cost.
func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil || l.cost == 0 {
		return c, err
	}
	return &slowConn{Conn: c, ready: time.Now().Add(l.cost)}, nil
}

type slowConn struct {
	net.Conn
	ready time.Time
}

// Read waits until the connection has been paid for.
func (c *slowConn) Read(p []byte) (int, error) {
	time.Sleep(time.Until(c.ready))
	return c.Conn.Read(p)
}

// Addr returns the address that the server listens on.
func (f *Server) Addr() netip.AddrPort {
	return f.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Stop closes the server at once, as a crash does.
func (f *Server) Stop() { _ = f.http.Close() }

// Set changes the behavior.
func (f *Server) Set(b Behavior) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.behavior = b
}

// Serve replaces the snapshots and shards that the server holds.
func (f *Server) Serve(served []Served) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.served = served
}

// Stats returns a copy of the counts.
func (f *Server) Stats() Stats {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.stats
	s.Orders = maps.Clone(s.Orders)
	s.Bodies = maps.Clone(s.Bodies)
	return s
}

// Incarnation returns the number that the server announces for this start.
func (f *Server) Incarnation() uint64 { return f.incarnation }

func (f *Server) connState(_ net.Conn, state http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch state {
	case http.StateNew:
		f.open++
		f.stats.Opened++
		f.stats.MostOpen = max(f.stats.MostOpen, f.open)
	case http.StateClosed, http.StateHijacked:
		f.open--
	}
}

func (f *Server) announceLoop(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		f.announce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// announce sends one announcement to the next entry host in turn, as a load
// balancer would.
func (f *Server) announce(ctx context.Context) {
	f.mu.Lock()
	if f.behavior.Silent || len(f.settings.Entries) == 0 {
		f.mu.Unlock()
		return
	}
	f.sequence++
	body := map[string]any{
		"server":      f.settings.Name,
		"address":     f.Addr().String(),
		"zone":        f.settings.Zone,
		"incarnation": f.incarnation,
		"sequence":    f.sequence,
		"draining":    f.behavior.Draining,
		"slots":       f.settings.Slots,
		"connections": f.settings.Connections,
		"load":        f.behavior.Load,
		"started":     time.Since(f.started).Round(time.Millisecond).String(),
		"served":      slices.Clone(f.served),
	}
	f.target++
	start := f.target
	f.mu.Unlock()
	data, err := json.Marshal(body)
	if err != nil {
		return
	}
	for i := range f.settings.Entries {
		entry := f.settings.Entries[(start+i)%len(f.settings.Entries)]
		if f.post(ctx, entry, data) {
			return
		}
	}
}

func (f *Server) post(ctx context.Context, entry netip.AddrPort, data []byte) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.String()+"/v1/announce", bytes.NewReader(data))
	if err != nil {
		return false
	}
	res, err := f.client.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode < http.StatusInternalServerError
}
