// Package router holds the routing table: which requests go to which services of
// backend servers, how often they may be sent and how soon they are wanted. It
// is made from the routing document that the operator publishes. A Table never
// changes after New.
package router

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// ErrInvalid is the sentinel for a table that breaks a rule.
var ErrInvalid = errors.New("invalid routing table")

//go:generate go run golang.org/x/tools/cmd/stringer@v0.49.0 -type=Kind -linecomment -output=kind_string.go

// Kind says what may be repeated.
type Kind uint8

// Kinds of requests. The zero value is the one that forbids more.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota // unsafe
	// Safe requests may run more than once.
	Safe // safe
)

// Target is one service of a split with its weight.
type Target struct {
	Service string
	Weight  float64
}

// Route says what happens to the requests of one host under one path prefix.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time until the final answer, Objective the time
	// within which an answer is worth most.
	Timeout   time.Duration
	Objective time.Duration
	// Priority is the rank of the requests; 0 is the highest.
	Priority int
	// Attempts is the most backend servers that one request may be sent to; for
	// a fan-out it holds for each shard.
	Attempts int
	// Targets are the services of which one gets the request. They are empty
	// for a fan-out.
	Targets []Target
	// Shards are the services that each get the request and answer with a part.
	Shards []string
	// Top is the number of records in the answer of a fan-out.
	Top int
	// Coverage is the least share of shards in the answer of a fan-out.
	Coverage float64

	turn *atomic.Uint64
}

// Fanout reports whether requests go to every shard.
func (r *Route) Fanout() bool { return len(r.Shards) > 0 }

// Need returns the least number of parts that make an answer.
func (r *Route) Need() int {
	// The margin keeps a share such as 0.9 of 10 from being rounded up to 10.
	return max(1, int(math.Ceil(r.Coverage*float64(len(r.Shards))-1e-9)))
}

// Service is what a routing document says of a group of backend servers.
type Service struct {
	Name string
	// Connections is the number of connections that each of its servers takes
	// from all hosts together.
	Connections int
}

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is a checked routing table. Use New.
type Table struct {
	Version  uint64
	Limits   Limits
	routes   []Route
	services map[string]Service
	hosts    map[string][]*Route
	ranks    int
}

// New checks a table. The error lists all faults and is an ErrInvalid.
func New(version uint64, routes []Route, services []Service, limits Limits) (*Table, error) {
	t := &Table{
		Version:  version,
		Limits:   limits,
		routes:   slices.Clone(routes),
		services: map[string]Service{},
		hosts:    map[string][]*Route{},
	}
	for _, s := range services {
		t.services[s.Name] = s
	}
	if faults := t.check(); len(faults) > 0 {
		return nil, errors.Wrap(ErrInvalid, strings.Join(faults, "; "))
	}
	for i := range t.routes {
		r := &t.routes[i]
		r.Attempts = max(r.Attempts, 1)
		t.ranks = max(t.ranks, r.Priority+1)
		r.turn = &atomic.Uint64{}
		r.turn.Store(rand.Uint64())
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, list := range t.hosts {
		slices.SortFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t, nil
}

// check returns all faults of the table.
func (t *Table) check() []string {
	var faults []string
	fail := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	type place struct{ host, prefix string }
	seen := map[place]string{}
	for i := range t.routes {
		r := &t.routes[i]
		p := place{r.Host, r.Prefix}
		if other, ok := seen[p]; ok {
			fail("routes %q and %q share host %q and prefix %q", other, r.Name, r.Host, r.Prefix)
		}
		seen[p] = r.Name
		if r.Timeout <= 0 {
			fail("route %q has timeout %s", r.Name, r.Timeout)
		}
		if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			fail("route %q has prefix %q, which does not begin and end with a slash", r.Name, r.Prefix)
		}
		faults = append(faults, t.checkServices(r)...)
	}
	return faults
}

func (t *Table) checkServices(r *Route) []string {
	var faults []string
	names := slices.Clone(r.Shards)
	sum := 0.0
	for _, target := range r.Targets {
		names = append(names, target.Service)
		if target.Weight < 0 {
			faults = append(faults, fmt.Sprintf("route %q gives service %q the weight %v", r.Name, target.Service, target.Weight))
		}
		sum += max(target.Weight, 0)
	}
	if len(r.Targets) > 0 && sum <= 0 {
		faults = append(faults, fmt.Sprintf("the weights of route %q add up to 0", r.Name))
	}
	if len(names) == 0 {
		faults = append(faults, fmt.Sprintf("route %q names no service", r.Name))
	}
	for _, name := range names {
		if _, ok := t.services[name]; !ok {
			faults = append(faults, fmt.Sprintf("route %q names service %q, which is not listed", r.Name, name))
		}
	}
	return faults
}

// Match returns the route of the host with the longest prefix of the path. Host
// is without a port.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Ranks returns the number of priorities, 0 being the highest.
func (t *Table) Ranks() int { return t.ranks }

// Routes returns all routes in the order of the document.
func (t *Table) Routes() []Route { return t.routes }

// Service returns the service of a name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// goldenStep is 2^64 divided by the golden ratio. Multiples of it are spread
// evenly over the range, so that few requests already come close to the weights
// of a split, which independent draws do not.
const goldenStep = 0x9e3779b97f4a7c15

// Pick returns the service for the next request of a route that is no fan-out.
func (r *Route) Pick() string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	sum := 0.0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	at := float64(r.turn.Add(goldenStep)>>11) / (1 << 53) * sum
	last := ""
	for _, t := range r.Targets {
		if t.Weight <= 0 {
			continue
		}
		last = t.Service
		if at < t.Weight {
			return last
		}
		at -= t.Weight
	}
	return last
}
