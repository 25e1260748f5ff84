package relayer

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"gentianpond/internal/backend/connector"
	"gentianpond/internal/fleet/registrar"
	"gentianpond/internal/route/router"
	"gentianpond/internal/search/selector"
)

// routingState is a routing table together with the known servers of each service. It
// is not modified after Update has installed it; only the fields of its servers are.
type routingState struct {
	// table is nil until the first routing table arrives.
	table *router.Table
	// servers holds the backend servers by name.
	servers map[string]*server
	// services holds the servers of each service by the service's name.
	services map[string]serviceServers
}

// serviceServers holds the names of those servers of a service to which requests may
// be sent.
type serviceServers struct {
	// ready holds the servers in the registry's state Ready.
	ready []string
	// silent holds those in the state Silent, which have not checked in for a while.
	// They are used only when no ready one is left.
	silent []string
	// evacuated is the number of servers that are in one of these states in an evacuated
	// zone.
	evacuated int
}

// newRoutingState returns a routing state without servers; see addServer.
func newRoutingState(table *router.Table) *routingState {
	return &routingState{table: table, servers: map[string]*server{}, services: map[string]serviceServers{}}
}

// server is one incarnation of a backend server as one state of the registry describes
// it. Its fields do not change; later states have other values with the same endpoint.
type server struct {
	registrar.Server
	*endpoint
	// evacuated is true if the server's availability zone is evacuated.
	evacuated bool
}

// endpoint holds this host's connections to one incarnation of a backend server and what
// the host has observed of it.
type endpoint struct {
	// pool holds this host's connections to the server.
	pool *connector.Pool
	// misdirected is set once another server has answered at the address.
	misdirected atomic.Bool
	// down is set from a failure to open a connection until one is opened.
	down atomic.Bool
	// load is the latest load that the server reported.
	load atomic.Pointer[reportedLoad]
	// leaving is set once the server has said that it is about to stop.
	leaving atomic.Bool
	// pausedUntil is until when the server wants no requests, nil if it never said so.
	pausedUntil atomic.Pointer[time.Time]
}

// reachable reports whether requests may be sent to the server.
func (s *server) reachable() bool {
	return !s.misdirected.Load() && !s.down.Load() && !s.leaving.Load()
}

// isInUse reports whether requests may be sent to a server in its state of the registry.
func (s *server) isInUse() bool {
	return !s.evacuated && (s.State == registrar.Ready || s.State == registrar.Silent)
}

// reportedLoad is a load with the time at which this host received it.
type reportedLoad struct {
	Load
	receivedAt time.Time
}

// maxLoadAge is how long a reported load is used. Every host gets answers from a
// server several times a second.
const maxLoadAge = time.Second

// othersCongested reports whether all other ready servers of a service that can be
// reached, and whose rate limits have room, had at least as many requests waiting as
// slots when they last reported their load. As long as one had not, requests are better
// sent there than refused. The caller holds the lock.
func (r *Relayer) othersCongested(now time.Time, state *routingState, except *server) bool {
	for _, name := range state.services[except.Service].ready {
		s := state.servers[name]
		if s.endpoint == except.endpoint || !s.reachable() || !r.hasRoom(now, s) {
			continue
		}
		l := s.load.Load()
		if l == nil || now.Sub(l.receivedAt) > maxLoadAge || l.Waiting < l.Slots {
			return false
		}
	}
	return true
}

// canServe reports whether every route has servers for enough of its shards.
func (state *routingState) canServe() bool {
	if state.table == nil {
		return false
	}
	for _, route := range state.table.Routes() {
		if state.servedShards(&route) < route.MinParts() {
			return false
		}
	}
	return true
}

// servedShards returns the number of the route's shards, or of the services that it is
// split among, for which a server is known, in evacuated zones too: the host need not wait
// for others. A route to a single service has one.
func (state *routingState) servedShards(route *router.Route) int {
	n := 0
	for _, name := range route.Services() {
		if s := state.services[name]; len(s.ready)+len(s.silent)+s.evacuated > 0 {
			n++
		}
	}
	return n
}

// addServer adds a server of the registry to the routing state next, which replaces
// old, and updates the selector. It keeps the connections of a server whose
// incarnation and address are unchanged. The caller holds the lock.
func (r *Relayer) addServer(ctx context.Context, old, next *routingState, s registrar.Server) {
	if s.State == registrar.Gone {
		return
	}
	current, ok := old.servers[s.Name]
	limit := r.connectionLimit(next.table, s.Service)
	evacuated := r.evacuatedZones[s.Zone]
	if ok && current.Incarnation == s.Incarnation && current.Address == s.Address {
		current.pool.SetLimit(limit)
		current.pool.SetIdleTimeout(maxIdleTime(limit))
		r.selector.Resize(s.Name, maxConcurrent(s, limit))
		if current.State != s.State || current.Slots != s.Slots || current.Zone != s.Zone || current.evacuated != evacuated {
			current = r.changeServer(ctx, current, s, evacuated)
		}
	} else {
		if ok {
			current.pool.Close()
			if current.Incarnation != s.Incarnation {
				r.limits.Remove(s.Name)
			}
		}
		current = &server{Server: s, endpoint: &endpoint{pool: r.newPool(s.Address, limit)}, evacuated: evacuated}
		current.pool.SetIdleTimeout(maxIdleTime(limit))
		r.selector.Update(selectorServer(s, limit))
		r.warm(ctx, current)
	}
	r.cost.update(current)
	next.servers[s.Name] = current
	m := next.services[s.Service]
	switch {
	case evacuated && s.State != registrar.Draining:
		m.evacuated++
	case s.State == registrar.Ready:
		m.ready = append(m.ready, s.Name)
	case s.State == registrar.Silent:
		m.silent = append(m.silent, s.Name)
	}
	next.services[s.Service] = m
}

// newPool returns the pool of connections to a server.
func (r *Relayer) newPool(address netip.AddrPort, limit int) *connector.Pool {
	pool := connector.New(address, limit)
	if r.config.Dial != nil {
		pool = connector.NewWithDial(address, limit, r.config.Dial)
	}
	if r.config.Descriptors != nil {
		pool.SetDescriptors(r.config.Descriptors)
	}
	return pool
}

// CloseUnused closes the connections to backend servers that were not in use lately.
func (r *Relayer) CloseUnused() {
	before := time.Now().Add(-reclaimAge)
	for _, s := range r.routing.Load().servers {
		s.pool.CloseUnused(before)
	}
}

// selectorServer returns the selector's description of a server to which this host has
// at most limit connections. A cold server counts as warm after the time that it
// announced.
func selectorServer(s registrar.Server, limit int) selector.Server {
	d := selector.Server{Name: s.Name, Zone: s.Zone, Incarnation: s.Incarnation, Slots: maxConcurrent(s, limit)}
	if s.ColdRemaining > 0 {
		d.Started = selector.RampStart(time.Now().Add(s.ColdRemaining))
	}
	return d
}

// maxConcurrent returns the number of requests that this host can send to a server
// before the next one waits. Hosts of a large fleet have a single connection to each
// server: a second request waits for the answer to the first one, no matter how many
// slots are free, and is better sent to another replica.
func maxConcurrent(s registrar.Server, limit int) int { return max(1, min(s.Slots, limit)) }

// How long idle connections are kept where this host may have only one to a server.
const (
	// preferredIdleTime is for the server of each service that was used last. In a fleet
	// of hundreds of hosts each gets less than one request a second, and opening a
	// connection takes a tenth of a short latency objective.
	preferredIdleTime = 10 * time.Second
	// otherIdleTime is for the other servers of the service.
	otherIdleTime = 2 * time.Second
)

// maxIdleTime returns how long an idle connection is kept at most where this host may
// have limit connections to the server; 0 means the default of the pool. Where only
// one is allowed, closeIdle closes most of them earlier.
func maxIdleTime(limit int) time.Duration {
	if limit > 1 {
		return 0
	}
	return preferredIdleTime
}

// closeIdle closes the idle connections that have expired. In a fleet with about as many
// hosts as a server accepts connections it keeps a rarely used connection only to one
// server of each service; those that were opened for the first request wait for it.
// After a power loss of all hosts, servers refuse new connections until they notice that
// the old ones are dead; the rest of their limit is room for the new ones.
func (state *routingState) closeIdle(now time.Time) {
	for _, service := range state.services {
		preferred := state.lastUsed(service.ready)
		if preferred == nil {
			continue
		}
		for _, name := range service.ready {
			s := state.servers[name]
			if s != preferred && s.pool.Limit() == 1 {
				s.pool.CloseUnused(now.Add(-otherIdleTime))
			}
		}
	}
	for _, s := range state.servers {
		if s.evacuated {
			// Requests that were in flight at the time of the order have left theirs.
			s.pool.CloseIdle()
		}
		s.pool.CloseExpired(now)
	}
}

// lastUsed returns the server to which a request was sent last, or nil if there was no
// request to any of them.
func (state *routingState) lastUsed(names []string) *server {
	var last *server
	var at time.Time
	for _, name := range names {
		s := state.servers[name]
		if used := s.pool.LastUsed(); used.After(at) {
			last, at = s, used
		}
	}
	return last
}

// connectionLimit returns this host's share of the connections that each server of a
// service accepts, at least one.
func (r *Relayer) connectionLimit(table *router.Table, service string) int {
	if table == nil {
		return 1
	}
	s, ok := table.Service(service)
	if !ok || s.ConnectionLimit <= 0 {
		return 1
	}
	return max(1, int(connectionFraction*float64(s.ConnectionLimit)/float64(r.hostCount)))
}
