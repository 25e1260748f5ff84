// Package sizer reads a workload file, which states the sizes of one user's
// applications. Benchmarks build their fake searchers, which stand for backend
// servers, from it.
package sizer

import (
	"fmt"
	"os"
	"time"

	"github.com/go-faster/errors"

	"gentianpond/internal/settings/scanner"
)

// ErrInvalid matches, with errors.Is, the error of a workload file with faults.
// That error is a *scanner.Error that lists them all.
var ErrInvalid = scanner.ErrInvalid

// Limits of a workload file.
const (
	maxZones       = 64
	maxInstances   = 100000
	maxSearchers   = 100000
	maxSlots       = 4096
	maxConnections = 65535
	maxDelay       = time.Second
)

// Workload holds the sizes of one user's applications.
type Workload struct {
	// User is the name of the user.
	User string
	// Zones are the names of the zones that the searchers are spread over.
	Zones []string
	// InterZoneDelay is the one-way network delay between two zones.
	InterZoneDelay time.Duration
	// ClientDelay is the one-way network delay between callers and entry hosts.
	ClientDelay  time.Duration
	Applications []Application
}

// Application is one application and the archive of the same name, of which its
// searchers hold the shards.
type Application struct {
	Name string
	// Instances is the number of instances of the application if each of them
	// holds one shard, else 0.
	Instances int
	// Searchers is the number of searchers per instance, or of all searchers if
	// Instances is 0.
	Searchers int
	// Slots is the largest number of requests that one searcher runs at a time.
	Slots int
	// Connections is the largest number of connections to one searcher.
	Connections int
	// Connect is the time that a new connection takes.
	Connect time.Duration
}

// Searcher is one searcher of a workload.
type Searcher struct {
	Name string
	Zone string
	// Archive is the name of the application, which its archive has too.
	Archive string
	// Count is the number of shards of the archive.
	Count int
	// Shards are the shards of the archive that the searcher holds.
	Shards []int
	// Slots is the largest number of requests that the searcher runs at a time.
	Slots int
	// Connections is the largest number of connections to the searcher.
	Connections int
	// Connect is the time that a new connection to the searcher takes.
	Connect time.Duration
}

// ReadWorkload reads and checks a workload file.
func ReadWorkload(path string) (Workload, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Workload{}, errors.Wrap(err, "read workload")
	}
	return ParseWorkload(path, text)
}

// ParseWorkload is ReadWorkload for a text. The name stands for the text in errors.
func ParseWorkload(name string, text []byte) (Workload, error) {
	s, root := scanner.Parse(name, text)
	var w Workload
	if o, ok := root.Object("user", "zones", "between", "clients", "applications"); ok {
		w = parseWorkload(o)
	}
	if err := s.Err(); err != nil {
		return Workload{}, err
	}
	return w, nil
}

// parseWorkload reads the object of a workload file.
func parseWorkload(o scanner.Object) Workload {
	var w Workload
	if n, ok := o.RequiredField("user"); ok {
		w.User, _ = n.Name()
	}
	if n, ok := o.RequiredField("zones"); ok {
		w.Zones = parseZones(n)
	}
	if n, ok := o.RequiredField("between"); ok {
		w.InterZoneDelay, _ = n.Duration(0, maxDelay)
	}
	if n, ok := o.RequiredField("clients"); ok {
		w.ClientDelay, _ = n.Duration(0, maxDelay)
	}
	n, ok := o.RequiredField("applications")
	if !ok {
		return w
	}
	seen := map[string]bool{}
	nodes, ok := n.Array()
	if ok && len(nodes) == 0 {
		n.Fault("no application is listed")
	}
	for _, n := range nodes {
		object, ok := n.Object("name", "instances", "searchers", "slots", "connections", "connect")
		if !ok {
			continue
		}
		a := parseApplication(n, object)
		if seen[a.Name] {
			n.Fault("application %q is listed twice", a.Name)
		}
		seen[a.Name] = true
		w.Applications = append(w.Applications, a)
	}
	return w
}

// parseZones reads a list of 1 to maxZones different names of zones.
func parseZones(n scanner.Node) []string {
	nodes, ok := n.Array()
	if !ok {
		return nil
	}
	if len(nodes) == 0 || len(nodes) > maxZones {
		n.Fault("%d zones are listed, not 1 to %d", len(nodes), maxZones)
	}
	var zones []string
	seen := map[string]bool{}
	for _, n := range nodes {
		zone, ok := n.Name()
		if ok && seen[zone] {
			n.Fault("zone %q is listed twice", zone)
		}
		seen[zone] = true
		zones = append(zones, zone)
	}
	return zones
}

// parseApplication reads one application from the object o, whose node is n.
func parseApplication(n scanner.Node, o scanner.Object) Application {
	var a Application
	if n, ok := o.RequiredField("name"); ok {
		a.Name, _ = n.Name()
	}
	if n, ok := o.Field("instances"); ok {
		a.Instances = positiveInt(n, maxInstances)
	}
	if n, ok := o.RequiredField("searchers"); ok {
		a.Searchers = positiveInt(n, maxSearchers)
	}
	if n, ok := o.RequiredField("slots"); ok {
		a.Slots = positiveInt(n, maxSlots)
	}
	if n, ok := o.RequiredField("connections"); ok {
		a.Connections = positiveInt(n, maxConnections)
	}
	if n, ok := o.RequiredField("connect"); ok {
		a.Connect, _ = n.Duration(0, maxDelay)
	}
	if a.Instances == 0 && a.Searchers == 1 {
		n.Fault("an application without instances needs 2 searchers or more, so that each shard has a replica")
	}
	return a
}

// positiveInt reads a whole number from 1 to highest, and returns 0 for any other
// value.
func positiveInt(n scanner.Node, highest uint64) int {
	v, _ := n.Uint(1, highest)
	return int(v)
}

// ShardCount returns the number of shards of the application's archive: one per
// instance, or one per two searchers, rounded down.
func (a Application) ShardCount() int {
	if a.Instances > 0 {
		return a.Instances
	}
	return a.Searchers / 2
}

// searcherCount returns the number of searchers of the application.
func (a Application) searcherCount() int {
	if a.Instances > 0 {
		return a.Instances * a.Searchers
	}
	return a.Searchers
}

// Searchers returns the searchers of all applications. The replicas of a shard are
// in consecutive zones, and consecutive shards begin with different zones, so that
// replicas and load are spread over the zones.
func (w Workload) Searchers() []Searcher {
	var list []Searcher
	for _, a := range w.Applications {
		shardCount := a.ShardCount()
		for i := range a.searcherCount() {
			shard, replica := i%shardCount, i/shardCount
			list = append(list, Searcher{
				Name:        fmt.Sprintf("%s-%d-%d", a.Name, shard, replica),
				Zone:        w.Zones[(shard+replica)%len(w.Zones)],
				Archive:     a.Name,
				Count:       shardCount,
				Shards:      []int{shard},
				Slots:       a.Slots,
				Connections: a.Connections,
				Connect:     a.Connect,
			})
		}
	}
	return list
}
