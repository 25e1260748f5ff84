// Package searcher implements a fake backend server for tests and demonstrations.
// It announces itself, answers searches and orders after a configurable delay,
// refuses requests, drains, crashes and closes connections on demand, and counts
// the requests that it ran.
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

// announceInterval is the interval at which backend servers have to announce
// themselves. It is also the timeout of one announcement.
const announceInterval = 500 * time.Millisecond

// Settings holds the settings of a fake backend server.
type Settings struct {
	Name        string         `json:"name"`
	Zone        string         `json:"zone"`
	Listen      netip.AddrPort `json:"listen"`
	Slots       int            `json:"slots"`
	Connections int            `json:"connections"`
	// ConnectDelay is the delay of the first read on a new connection.
	ConnectDelay   time.Duration    `json:"connect"`
	Served         []ServedSnapshot `json:"served"`
	EntryAddresses []netip.AddrPort `json:"entries"`
	Behavior       Behavior         `json:"behavior"`
	// Uptime is added to the announced uptime, because a server that started long
	// ago counts as warm.
	Uptime time.Duration `json:"uptime"`
	// OrderLog is the path of a file to which the server appends the body of each
	// order that it begins to run, so that the count survives a kill. Empty means
	// none.
	OrderLog string `json:"record"`
	// OnCrash is called when a request crashes the server. By default the process
	// exits.
	OnCrash func() `json:"-"`
}

// Stats holds the counts of a fake backend server since its start.
type Stats struct {
	Incarnation uint64 `json:"incarnation"`
	Searches    int    `json:"searches"`
	// Orders counts the executions of orders by attempt, Bodies by body.
	Orders map[string]int `json:"orders"`
	Bodies map[string]int `json:"bodies"`
	// Cancelled counts requests that the caller cancelled while they ran, Shed
	// those that the server refused by its behavior or for lack of a slot.
	Cancelled int `json:"cancelled"`
	Shed      int `json:"shed"`
	// MaxRunning is the highest number of requests at one time. It includes those
	// that count in Shed, so that requests in excess of the slots show.
	MaxRunning int `json:"running"`
	// MaxOpen is the highest number of connections open at one time, Opened the
	// number of all that were opened.
	MaxOpen int `json:"open"`
	Opened  int `json:"opened"`
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
	orderLog    *os.File

	mu              sync.Mutex
	behavior        Behavior
	served          []ServedSnapshot
	stats           Stats
	running         int
	openConnections int
	requests        int
	sequence        uint64
	previousAnswer  *answer
	nextEntry       int
}

// Start starts a server that listens and announces itself until the context ends.
// Stop closes it.
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
	if s.OrderLog != "" {
		f.orderLog, err = os.OpenFile(s.OrderLog, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, errors.Wrap(err, "open record")
		}
	}
	f.stats.Orders = map[string]int{}
	f.stats.Bodies = map[string]int{}
	f.stats.Incarnation = f.incarnation
	f.http = &http.Server{Handler: f.mux(), ConnState: f.connState, ReadHeaderTimeout: time.Minute}
	go func() { _ = f.http.Serve(slowListener{Listener: l, delay: s.ConnectDelay}) }()
	go f.announceLoop(ctx)
	return f, nil
}

// slowListener accepts connections whose first read is delayed.
type slowListener struct {
	net.Listener
	delay time.Duration
}

// Accept returns the next connection, which has no data to read until the delay
// has passed.
func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil || l.delay == 0 {
		return c, err
	}
	return &slowConn{Conn: c, readableAt: time.Now().Add(l.delay)}, nil
}

type slowConn struct {
	net.Conn
	readableAt time.Time
}

// Read waits for the delay of the connection before it reads.
func (c *slowConn) Read(p []byte) (int, error) {
	time.Sleep(time.Until(c.readableAt))
	return c.Conn.Read(p)
}

// Addr returns the address that the server listens on.
func (f *Server) Addr() netip.AddrPort {
	return f.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Stop closes the server at once, as a crash does.
func (f *Server) Stop() { _ = f.http.Close() }

// SetBehavior replaces the behavior of the server.
func (f *Server) SetBehavior(b Behavior) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.behavior = b
}

// SetServed replaces the snapshots and shards that the server holds and announces.
func (f *Server) SetServed(served []ServedSnapshot) {
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

// Incarnation returns the number that identifies this start of the server in its
// announcements.
func (f *Server) Incarnation() uint64 { return f.incarnation }

func (f *Server) connState(_ net.Conn, state http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch state {
	case http.StateNew:
		f.openConnections++
		f.stats.Opened++
		f.stats.MaxOpen = max(f.stats.MaxOpen, f.openConnections)
	case http.StateClosed, http.StateHijacked:
		f.openConnections--
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
// balancer would, or to the first one after it that takes it.
func (f *Server) announce(ctx context.Context) {
	f.mu.Lock()
	if f.behavior.StopAnnouncing || len(f.settings.EntryAddresses) == 0 {
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
	f.nextEntry++
	start := f.nextEntry
	f.mu.Unlock()
	data, err := json.Marshal(body)
	if err != nil {
		return
	}
	for i := range f.settings.EntryAddresses {
		entry := f.settings.EntryAddresses[(start+i)%len(f.settings.EntryAddresses)]
		if f.postAnnouncement(ctx, entry, data) {
			return
		}
	}
}

// postAnnouncement sends an announcement to an entry host and reports whether the
// host answered without a server error.
func (f *Server) postAnnouncement(ctx context.Context, entry netip.AddrPort, data []byte) bool {
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
