package relayer

import (
	"context"
	"sync/atomic"
	"time"

	"gentianpond/internal/backend/connector"
	"gentianpond/internal/fleet/registrar"
	"gentianpond/internal/route/router"
	"gentianpond/internal/search/selector"
)

// fleet is the routing table with the servers of each service. It does not
// change once it is in use.
type fleet struct {
	table    *router.Table
	servers  map[string]*server
	services map[string]members
}

// members are the servers of a service: those to use, and those to use where
// there is no other.
type members struct {
	ready  []string
	silent []string
}

func newFleet(table *router.Table) *fleet {
	return &fleet{table: table, servers: map[string]*server{}, services: map[string]members{}}
}

// server is one incarnation of one backend server.
type server struct {
	registrar.Server
	pool *connector.Pool
	// misdirected is set once another server was found at the address.
	misdirected atomic.Bool
	// down is set after a connection could not be opened, until one can be.
	down atomic.Bool
	// load is the load that the server told last.
	load atomic.Pointer[toldLoad]
}

// toldLoad is a load with the time when it was heard.
type toldLoad struct {
	Load
	at time.Time
}

// loadMemory is how long a reported load counts. Every host hears from a server
// several times a second.
const loadMemory = time.Second

// congested reports whether all other servers of a service had requests waiting
// for every slot when they last told their load. As long as one has not, the
// requests are better sent there.
func (f *fleet) congested(now time.Time, but *server) bool {
	for _, name := range f.services[but.Service].ready {
		s := f.servers[name]
		if s == but || s.misdirected.Load() {
			continue
		}
		l := s.load.Load()
		if l == nil || now.Sub(l.at) > loadMemory || l.Waiting < l.Slots {
			return false
		}
	}
	return true
}

// adopt adds a server of the registry to the next fleet. The lock is held.
func (r *Relayer) adopt(ctx context.Context, old, next *fleet, s registrar.Server) {
	if s.State == registrar.Gone {
		return
	}
	current, ok := old.servers[s.Name]
	limit := r.connections(next.table, s.Service)
	if ok && current.Incarnation == s.Incarnation && current.Address == s.Address {
		current.pool.SetLimit(limit)
		current.pool.SetIdleTimeout(rest(limit))
		r.selector.Resize(s.Name, room(s, limit))
		if current.State != s.State || current.Slots != s.Slots {
			changed := &server{Server: s, pool: current.pool}
			changed.misdirected.Store(current.misdirected.Load())
			if current.down.Load() {
				r.takeDown(ctx, changed)
			}
			changed.load.Store(current.load.Load())
			current = changed
		}
	} else {
		if ok {
			current.pool.Close()
		}
		current = &server{Server: s, pool: connector.New(s.Address, limit)}
		current.pool.SetIdleTimeout(rest(limit))
		r.selector.Update(described(s, limit))
		if s.Zone == r.config.Zone && s.State == registrar.Ready {
			go current.pool.Warm(ctx)
		}
	}
	next.servers[s.Name] = current
	m := next.services[s.Service]
	switch s.State {
	case registrar.Ready:
		m.ready = append(m.ready, s.Name)
	case registrar.Silent:
		m.silent = append(m.silent, s.Name)
	}
	next.services[s.Service] = m
}

// described returns what the selector needs to know of a server to which this
// host has at most limit connections. A cold server is warm once the time that it
// announced is over.
func described(s registrar.Server, limit int) selector.Server {
	d := selector.Server{Name: s.Name, Zone: s.Zone, Incarnation: s.Incarnation, Slots: room(s, limit)}
	if s.Cold > 0 {
		d.Started = selector.WarmAt(time.Now().Add(s.Cold))
	}
	return d
}

// room is how many requests this host can have at a server before the next one
// waits. Hosts of a large fleet have a single connection to each server: the next
// request waits until the answer to the first has come, however many slots are
// free, and is better sent to another replica.
func room(s registrar.Server, limit int) int { return max(1, min(s.Slots, limit)) }

// scarceRest is how long an idle connection is kept where this host may have only
// one. A host sends the server that it prefers a request or two a second.
const scarceRest = 2 * time.Second

// rest returns how long an idle connection is kept at most, 0 meaning the default,
// where this host may have limit connections.
//
// It answers a loss of power of all hosts at once, in a fleet with about as many
// hosts as a server takes connections. The server does not notice that its
// connections are dead and refuses new ones until it has given up the old ones; 17,000
// connections were refused in the 8 s after one such loss. Connections that are used
// now and then only leave room for the new ones.
func rest(limit int) time.Duration {
	if limit > 1 {
		return 0
	}
	return scarceRest
}

// connections is this host's share of the connections that a server takes.
func (r *Relayer) connections(table *router.Table, service string) int {
	if table == nil {
		return 1
	}
	s, ok := table.Service(service)
	if !ok || s.Connections <= 0 {
		return 1
	}
	return max(1, int(connectionShare*float64(s.Connections)/float64(r.hosts)))
}
