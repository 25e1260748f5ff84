// Package coordinator runs one query: it pins a snapshot, sends a sub-request
// for each shard through the owners of the chosen replicas, hedges stragglers,
// retries within the budget and merges what matches.
package coordinator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"

	"gentianpond/internal/fleet/assigner"
	"gentianpond/internal/protocol/messenger"
	"gentianpond/internal/search/caller"
	"gentianpond/internal/search/hedger"
	"gentianpond/internal/search/merger"
	"gentianpond/internal/search/selector"
	"gentianpond/internal/settings/checker"
)

// The reasons why a search did not run.
var (
	// ErrArchive means that no team has configured the archive.
	ErrArchive = errors.New("unknown archive")
	// ErrNoSnapshot means that no backend server offers a snapshot.
	ErrNoSnapshot = errors.New("no snapshot of the archive can be searched")
	// ErrNotStarted means that no backend server started any sub-request.
	ErrNotStarted = errors.New("no backend server started the search")
	// ErrNoAnswer means that sub-requests were sent and none was answered.
	ErrNoAnswer = errors.New("no backend server answered in time")
)

// Sender carries sub-requests to an owner and passes each reply on. It returns
// an error that is ErrUnsent when nothing left for the owner.
type Sender interface {
	Scan(ctx context.Context, owner assigner.Member, r *messenger.ScanRequest, each func(*messenger.ScanReply)) error
}

// ErrUnsent means that a request did not leave for the owner.
var ErrUnsent = errors.New("the owner can't be reached")

// Request is one search.
type Request struct {
	Archive     string
	Lane        string
	Body        []byte
	Deadline    time.Time
	Fingerprint uint64
	// Alone asks for servers with no other request in flight, one shard
	// first; Canary only for one shard first.
	Alone  bool
	Canary bool
}

// Answer is the result of a search that ran.
type Answer struct {
	Snapshot string
	Coverage merger.Coverage
	Bodies   [][]byte
	// Crashed is true when a backend server's connection broke on the way.
	Crashed bool
}

// Coordinator runs queries on one entry host. Use New.
type Coordinator struct {
	self      assigner.Member
	sender    Sender
	directory atomic.Pointer[Directory]
	queries   atomic.Uint64
	attempts  atomic.Uint64
	metrics   metrics

	mu       sync.Mutex
	rand     *rand.Rand
	selector *selector.Selector
	hedgers  map[laneKey]laneHedger
	known    map[string]bool
}

type metrics struct {
	first, hedges, retries, reroutes, restarts, dropped tally.Counter
}

// New returns a coordinator for the entry host self.
func New(self assigner.Member, sender Sender, scope tally.Scope) *Coordinator {
	return &Coordinator{
		self:     self,
		sender:   sender,
		rand:     rand.New(rand.NewPCG(self.Incarnation, uint64(len(self.Name)))),
		selector: selector.New(self.Zone),
		hedgers:  map[laneKey]laneHedger{},
		known:    map[string]bool{},
		metrics: metrics{
			first:    scope.Counter("subrequests_first"),
			hedges:   scope.Counter("subrequests_hedged"),
			retries:  scope.Counter("subrequests_retried"),
			reroutes: scope.Counter("subrequests_rerouted"),
			restarts: scope.Counter("search_restarts"),
			dropped:  scope.Counter("answers_dropped"),
		},
	}
}

// pick returns a random number below n.
func (c *Coordinator) pick(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rand.IntN(n)
}

// Directory returns the current directory.
func (c *Coordinator) Directory() *Directory { return c.directory.Load() }

// Update replaces the directory.
func (c *Coordinator) Update(now time.Time, d *Directory) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range d.backends {
		c.selector.Update(selector.Server{
			Name: b.Name, Zone: b.Zone, OwnerZone: b.Owner.Zone, Incarnation: b.Incarnation, Started: b.Started, Slots: b.Slots,
		})
		c.selector.Observed(now, b.Name, b.Load)
		c.known[b.Name] = true
	}
	for name := range c.known {
		if _, ok := d.backends[name]; !ok {
			c.selector.Remove(name)
			delete(c.known, name)
		}
	}
	c.directory.Store(d)
}

// laneKey names a lane of an archive.
type laneKey struct {
	archive string
	lane    string
}

// laneHedger is a hedger and the settings that it was made from.
type laneHedger struct {
	*hedger.Hedger
	config hedger.Config
}

// hedgerOf returns the hedger of a lane of an archive; a change of the settings
// starts a new one. Each lane has its own: the time that bulk work waits in
// queues would raise the hedge delay of interactive work. The caller holds the
// lock.
func (c *Coordinator) hedgerOf(a checker.Archive, lane string) *hedger.Hedger {
	config := hedger.Config{Quantile: a.Quantile, Hedge: ratio(a.Hedge), Retry: ratio(a.Retry)}
	key := laneKey{archive: a.Name, lane: lane}
	if old, ok := c.hedgers[key]; ok && old.config == config {
		return old.Hedger
	}
	h := hedger.New(config)
	c.hedgers[key] = laneHedger{Hedger: h, config: config}
	return h
}

// ratio maps a configured 0, which switches a budget off, to the hedger's
// negative value; the hedger takes 0 for its default.
func ratio(r float64) float64 {
	if r == 0 {
		return -1
	}
	return r
}

// Observed takes the load that a backend server reported.
func (c *Coordinator) Observed(at time.Time, server string, load float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.selector.Observed(at, server, load)
}

// Choose returns a usable replica of the shard that key falls to, for a
// request that goes to one backend server only.
func (c *Coordinator) Choose(archive, key string) (Backend, string, uint32, error) {
	d := c.directory.Load()
	if d == nil {
		return Backend{}, "", 0, ErrArchive
	}
	a, ok := d.archives[archive]
	if !ok {
		return Backend{}, "", 0, ErrArchive
	}
	snapshot, ok := a.snapshot.Pick()
	if !ok {
		return Backend{}, "", 0, ErrNoSnapshot
	}
	shard := uint32(xxhash.Sum64String(key) % uint64(snapshot.Count()))
	c.mu.Lock()
	defer c.mu.Unlock()
	name, ok := c.selector.Choose(time.Now(), c.rand, snapshot.Candidates(shard), nil)
	if !ok {
		return Backend{}, "", 0, errors.Wrapf(ErrNoSnapshot, "shard %d has no usable replica", shard)
	}
	b, ok := d.Backend(name)
	if !ok {
		return Backend{}, "", 0, ErrNoSnapshot
	}
	return b, snapshot.Version(), shard, nil
}

// Search runs one query. It returns one of the sentinel errors when there is
// no answer.
func (c *Coordinator) Search(ctx context.Context, r Request) (Answer, error) {
	d := c.directory.Load()
	if d == nil {
		return Answer{}, ErrArchive
	}
	a, ok := d.archives[r.Archive]
	if !ok {
		return Answer{}, ErrArchive
	}
	snapshot, ok := a.snapshot.Pick()
	if !ok {
		return Answer{}, ErrNoSnapshot
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	q := &query{
		coordinator: c, request: r, settings: a.settings, id: c.nextID(), directory: d,
		replies: make(chan reply, snapshot.Count()),
	}
	return q.run(ctx, snapshot)
}

// nextID returns a query id that no other process has used.
func (c *Coordinator) nextID() string {
	return fmt.Sprintf("%s-%x-%x", c.self.Name, c.self.Incarnation, c.queries.Add(1))
}

// reply is what became of one attempt.
type reply struct {
	attempt  uint64
	shard    uint32
	status   caller.Status
	body     []byte
	snapshot string
}
