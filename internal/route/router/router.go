// Package router holds the routing table. It determines which service of backend
// servers gets a request, how often the request may be sent, and its time limit and
// latency objective. The table is built from the routing document that the operator
// publishes.
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

// ErrInvalid is wrapped by the error for a routing table or document that breaks a rule.
var ErrInvalid = errors.New("invalid routing table")

//go:generate go run golang.org/x/tools/cmd/stringer@v0.49.0 -type=Kind -linecomment -output=kind_string.go

// Kind tells whether a request may run more than once.
type Kind uint8

// The kinds of requests. The zero value is the stricter one.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota // unsafe
	// Safe requests may run more than once.
	Safe // safe
)

// Target is one of the services among which the requests of a route are split. Its
// share of the requests is its weight divided by the sum of all weights.
type Target struct {
	Service string
	Weight  float64
}

// Route is the rule for the requests to one host under one path prefix.
type Route struct {
	// Name identifies the route in log lines and in the faults of a table.
	Name string
	// Host is the requested host, without a port.
	Host string
	// Prefix is the path prefix, which begins and ends with a slash.
	Prefix string
	// Kind tells whether a request of this route may run more than once.
	Kind Kind
	// Timeout is the longest time until the final answer. Objective is the latency
	// objective.
	Timeout   time.Duration
	Objective time.Duration
	// Priority is the priority of the requests; 0 is the highest.
	Priority int
	// MaxAttempts is the most backend servers that one request may be sent to. For a
	// fan-out it applies to each shard.
	MaxAttempts int
	// Targets are the services of which one gets the request. They are empty for a
	// fan-out.
	Targets []Target
	// Shards are the services of a fan-out, each of which gets the request and answers
	// with a part.
	Shards []string
	// TopK is the number of records in the answer of a fan-out.
	TopK int
	// MinCoverage is the least fraction of shards in the answer of a fan-out.
	MinCoverage float64
	// Public means that requests need no key of a client account.
	Public bool
	// Regions are the regions in which the requests may be processed; empty means all.
	Regions []string

	// splitPosition determines the target of the next request. See goldenRatioStep.
	splitPosition *atomic.Uint64
}

// Fanout reports whether requests go to every shard.
func (r *Route) Fanout() bool { return len(r.Shards) > 0 }

// MinParts returns the least number of parts in the answer of a fan-out.
func (r *Route) MinParts() int {
	// The margin keeps floating-point errors from raising the result by one, such as
	// from 9 to 10 for a coverage of 0.9 of 10 shards.
	return max(1, int(math.Ceil(r.MinCoverage*float64(len(r.Shards))-1e-9)))
}

// Services returns the names of the shards, or of the services that the route is split
// among.
func (r *Route) Services() []string {
	if r.Fanout() {
		return r.Shards
	}
	names := make([]string, len(r.Targets))
	for i, t := range r.Targets {
		names[i] = t.Service
	}
	return names
}

// Service is a group of backend servers in the routing document.
type Service struct {
	Name string
	// ConnectionLimit is the number of connections that each of its servers accepts from
	// all hosts together.
	ConnectionLimit int
	// ColdRate is the number of requests a second that a cold server of the service takes
	// from all hosts together, 0 for no limit. ColdTime is how long a server is cold after
	// its start.
	ColdRate float64
	ColdTime time.Duration
}

// Limits are the limits on the requests and connections of clients.
type Limits struct {
	// HeaderBytes is the largest size of a request line with its headers, BodyBytes
	// that of a request body; 0 means no limit.
	HeaderBytes int
	BodyBytes   int
	// HeaderTimeout bounds the time to read the headers of a request, and IdleTimeout
	// how long a connection may stay idle; 0 means the defaults of the entry host.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is a validated routing table. It does not change after New.
type Table struct {
	// Version is the version of the routing document.
	Version uint64
	// Limits are the limits of the routing document on clients' requests and
	// connections.
	Limits Limits
	// routes holds all routes in the order of the document.
	routes []Route
	// services holds the services by name.
	services map[string]Service
	// routesByHost holds the routes of each requested host, the longest prefix first.
	routesByHost map[string][]*Route
	// priorityCount is one more than the lowest priority of a route, accountPriorityCount
	// the same for accounts, at least 1.
	priorityCount        int
	accountPriorityCount int
	// accounts holds the client accounts, nil if requests need no key.
	accounts *accountSet
}

// New returns a validated table whose requests need no key. The error wraps ErrInvalid and
// lists all faults.
func New(version uint64, routes []Route, services []Service, limits Limits) (*Table, error) {
	return newTable(version, routes, services, limits, nil)
}

// NewWithAccounts returns a validated table whose requests need the key of one of the
// accounts, except on public routes. The error wraps ErrInvalid and lists all faults.
func NewWithAccounts(version uint64, routes []Route, services []Service, limits Limits, accounts []Account) (*Table, error) {
	return newTable(version, routes, services, limits, newAccountSet(accounts))
}

// newTable returns a validated table.
func newTable(version uint64, routes []Route, services []Service, limits Limits, accounts *accountSet) (*Table, error) {
	t := &Table{
		Version:      version,
		Limits:       limits,
		routes:       slices.Clone(routes),
		services:     map[string]Service{},
		routesByHost: map[string][]*Route{},
		accounts:     accounts,
	}
	for _, s := range services {
		t.services[s.Name] = s
	}
	if faults := append(t.findFaults(), accounts.findFaults()...); len(faults) > 0 {
		return nil, errors.Wrap(ErrInvalid, strings.Join(faults, "; "))
	}
	for i := range t.routes {
		r := &t.routes[i]
		r.MaxAttempts = max(r.MaxAttempts, 1)
		t.priorityCount = max(t.priorityCount, r.Priority+1)
		r.splitPosition = &atomic.Uint64{}
		r.splitPosition.Store(rand.Uint64())
		t.routesByHost[r.Host] = append(t.routesByHost[r.Host], r)
	}
	t.accountPriorityCount = t.countAccountPriorities()
	for _, list := range t.routesByHost {
		slices.SortFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t, nil
}

// findFaults returns all faults of the table.
func (t *Table) findFaults() []string {
	var faults []string
	addFault := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	type hostPrefix struct{ host, prefix string }
	routeNames := map[hostPrefix]string{}
	for i := range t.routes {
		r := &t.routes[i]
		p := hostPrefix{r.Host, r.Prefix}
		if other, ok := routeNames[p]; ok {
			addFault("routes %q and %q share host %q and prefix %q", other, r.Name, r.Host, r.Prefix)
		}
		routeNames[p] = r.Name
		if r.Timeout <= 0 {
			addFault("route %q has timeout %s", r.Name, r.Timeout)
		}
		if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			addFault("route %q has prefix %q, which does not begin and end with a slash", r.Name, r.Prefix)
		}
		faults = append(faults, t.findServiceFaults(r)...)
	}
	return faults
}

// findServiceFaults returns the faults in the services and weights of a route.
func (t *Table) findServiceFaults(r *Route) []string {
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

// Match returns the route of the host that has the longest prefix of the path. The host
// is given without a port.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Routes returns all routes in the order of the document.
func (t *Table) Routes() []Route { return t.routes }

// Service returns the service with the given name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// goldenRatioStep is 2^64 divided by the golden ratio. Its multiples modulo 2^64 are
// evenly distributed, so the split of even a few requests is close to the weights,
// unlike with independent random draws.
const goldenRatioStep = 0x9e3779b97f4a7c15

// PickService returns the service for the next request of a route that is not a
// fan-out, in proportion to the weights.
func (r *Route) PickService() string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	sum := 0.0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	at := float64(r.splitPosition.Add(goldenRatioStep)>>11) / (1 << 53) * sum
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
