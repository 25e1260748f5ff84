// Package coordinator runs search queries on an entry host. It pins each query
// to a snapshot, sends a sub-request for each shard through the owners of the
// chosen replicas, hedges stragglers, retries within a budget and merges the
// answers that match their sub-requests.
//
// A snapshot is one version of an archive's data, divided into shards. A replica is a
// backend server that serves a shard of a snapshot; its owner is the entry host that
// sends all requests to it. An attempt is one sub-request to one replica; a shard may
// have several. The lane of a request, interactive or bulk, is its priority class.
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

	"gentianpond/internal/backend/connector"
	"gentianpond/internal/fleet/assigner"
	"gentianpond/internal/protocol/messenger"
	"gentianpond/internal/search/caller"
	"gentianpond/internal/search/hedger"
	"gentianpond/internal/search/merger"
	"gentianpond/internal/search/selector"
	"gentianpond/internal/settings/checker"
)

// The errors of Search and ChooseReplica.
var (
	// ErrUnknownArchive means that no team has configured the archive.
	ErrUnknownArchive = errors.New("unknown archive")
	// ErrNoSnapshot means that no backend server offers a snapshot.
	ErrNoSnapshot = errors.New("no snapshot of the archive can be searched")
	// ErrNotStarted means that no backend server started any sub-request.
	ErrNotStarted = errors.New("no backend server started the search")
	// ErrNoAnswer means that sub-requests were sent and none was answered.
	ErrNoAnswer = errors.New("no backend server answered in time")
)

// Sender sends sub-requests to the owner of their backend servers, an entry
// host, and calls onReply for each reply, one at a time. Its error is ErrUnsent
// when nothing was sent to the owner.
type Sender interface {
	Scan(ctx context.Context, owner assigner.Member, r *messenger.ScanRequest, onReply func(*messenger.ScanReply)) error
}

// ErrUnsent means that a request was not sent to the owner.
var ErrUnsent = errors.New("the owner can't be reached")

// Request is one search.
type Request struct {
	Archive string
	// Lane is the name of the lane.
	Lane string
	// Body is the query that each backend server gets.
	Body []byte
	// Deadline is when the search stops waiting for answers.
	Deadline time.Time
	// Fingerprint identifies the archive and the body where requests that
	// crash backend servers are tracked.
	Fingerprint uint64
	// Alone does what Canary does, and runs the first shard on a server with no
	// other request in flight.
	Alone bool
	// Canary sends one shard first and the others once it is answered.
	Canary bool
	// Answers is the memory that the answers of the shards may hold. Nil means no limit.
	Answers *connector.Allowance
}

// Answer is the result of a search that ran.
type Answer struct {
	// Snapshot is the version of the snapshot that was searched.
	Snapshot string
	// Coverage says which shards of that snapshot the answers come from.
	Coverage merger.Coverage
	// Bodies holds the answers of the shards, in shard order.
	Bodies [][]byte
	// Crashed is true when a connection to a backend server broke and no
	// sub-request that ran alone has been answered since.
	Crashed bool
}

// Coordinator runs queries on one entry host. Use New.
type Coordinator struct {
	// self is the entry host.
	self assigner.Member
	// sender sends the sub-requests to the owners of the backend servers.
	sender Sender
	// directory is nil until the first Update.
	directory atomic.Pointer[Directory]
	// queryCount and attemptCount are the numbers of queries and attempts so far. The
	// next query or attempt gets the next number.
	queryCount   atomic.Uint64
	attemptCount atomic.Uint64
	metrics      metrics

	// mu guards the fields below.
	mu sync.Mutex
	// rand is the source of randomness for the choice of replicas and of the canary
	// shard.
	rand *rand.Rand
	// selector chooses replicas by what it knows of their servers.
	selector *selector.Selector
	// hedgers holds the hedgers of the lanes that have been searched.
	hedgers map[laneKey]laneHedger
	// knownServers holds the names of the servers in the selector.
	knownServers map[string]bool
}

// metrics counts the sub-requests by kind, the restarts of queries, and as
// droppedAnswers the replies to unknown attempts and the answers that do not
// match their attempt.
type metrics struct {
	firstAttempts, hedges, retries, reroutes, restarts, droppedAnswers, uncountedAnswers tally.Counter
}

// New returns a coordinator for the entry host self.
func New(self assigner.Member, sender Sender, scope tally.Scope) *Coordinator {
	return &Coordinator{
		self:         self,
		sender:       sender,
		rand:         rand.New(rand.NewPCG(self.Incarnation, uint64(len(self.Name)))),
		selector:     selector.New(self.Zone),
		hedgers:      map[laneKey]laneHedger{},
		knownServers: map[string]bool{},
		metrics: metrics{
			firstAttempts:  scope.Counter("subrequests_first"),
			hedges:         scope.Counter("subrequests_hedged"),
			retries:        scope.Counter("subrequests_retried"),
			reroutes:       scope.Counter("subrequests_rerouted"),
			restarts:       scope.Counter("search_restarts"),
			droppedAnswers: scope.Counter("answers_dropped"), uncountedAnswers: scope.Counter("answers_without_memory"),
		},
	}
}

// randIntN returns a random number from 0 to n-1.
func (c *Coordinator) randIntN(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rand.IntN(n)
}

// Directory returns the current directory.
func (c *Coordinator) Directory() *Directory { return c.directory.Load() }

// Update replaces the directory and updates the selector with its backend
// servers and their load.
func (c *Coordinator) Update(now time.Time, d *Directory) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range d.backends {
		c.selector.Update(selector.Server{
			Name: b.Name, Zone: b.Zone, OwnerZone: b.Owner.Zone, Incarnation: b.Incarnation, Started: b.Started, Slots: b.Slots,
		})
		c.selector.LoadReported(now, b.Name, b.Load)
		c.knownServers[b.Name] = true
	}
	for name := range c.knownServers {
		if _, ok := d.backends[name]; !ok {
			c.selector.Remove(name)
			delete(c.knownServers, name)
		}
	}
	c.directory.Store(d)
}

// laneKey names a lane of an archive.
type laneKey struct {
	archive string
	lane    string
}

// laneHedger is a hedger with the settings that it was created from.
type laneHedger struct {
	*hedger.Hedger
	config hedger.Config
}

// hedgerOf returns the hedger of a lane of an archive; a change of the settings
// creates a new one. Each lane has its own: the time that bulk requests wait in
// queues would raise the hedge delay of interactive ones. The caller holds mu.
func (c *Coordinator) hedgerOf(a checker.ArchiveSettings, lane string) *hedger.Hedger {
	config := hedger.Config{Quantile: a.Quantile, HedgeRatio: budgetRatio(a.Hedge), RetryRatio: budgetRatio(a.Retry)}
	key := laneKey{archive: a.Name, lane: lane}
	if old, ok := c.hedgers[key]; ok && old.config == config {
		return old.Hedger
	}
	h := hedger.New(config)
	c.hedgers[key] = laneHedger{Hedger: h, config: config}
	return h
}

// budgetRatio converts a configured ratio to the hedger's form. A configured 0,
// which switches the budget off, becomes negative, because the hedger takes 0
// for its default.
func budgetRatio(r float64) float64 {
	if r == 0 {
		return -1
	}
	return r
}

// RecordLoad records the load that a backend server reported.
func (c *Coordinator) RecordLoad(at time.Time, server string, load float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.selector.LoadReported(at, server, load)
}

// ChooseReplica returns a usable replica, the version of its snapshot and its
// shard, for a request that goes to one backend server only. The hash of key
// decides the shard.
func (c *Coordinator) ChooseReplica(archive, key string) (Backend, string, uint32, error) {
	d := c.directory.Load()
	if d == nil {
		return Backend{}, "", 0, ErrUnknownArchive
	}
	a, ok := d.archives[archive]
	if !ok {
		return Backend{}, "", 0, ErrUnknownArchive
	}
	snapshot, ok := a.snapshots.Pick()
	if !ok {
		return Backend{}, "", 0, ErrNoSnapshot
	}
	shard := uint32(xxhash.Sum64String(key) % uint64(snapshot.ShardCount()))
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

// Search runs one query. Its error is one of ErrUnknownArchive, ErrNoSnapshot,
// ErrNotStarted and ErrNoAnswer.
func (c *Coordinator) Search(ctx context.Context, r Request) (Answer, error) {
	d := c.directory.Load()
	if d == nil {
		return Answer{}, ErrUnknownArchive
	}
	a, ok := d.archives[r.Archive]
	if !ok {
		return Answer{}, ErrUnknownArchive
	}
	snapshot, ok := a.snapshots.Pick()
	if !ok {
		return Answer{}, ErrNoSnapshot
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	q := &query{
		coordinator: c, request: r, settings: a.settings, id: c.nextQueryID(), directory: d,
		replies: make(chan attemptReply, snapshot.ShardCount()),
	}
	return q.run(ctx, snapshot)
}

// nextQueryID returns a query ID that is unique among all processes of the
// entry hosts.
func (c *Coordinator) nextQueryID() string {
	return fmt.Sprintf("%s-%x-%x", c.self.Name, c.self.Incarnation, c.queryCount.Add(1))
}

// attemptReply is the reply to one attempt, with the shard and the snapshot that
// the owner states.
type attemptReply struct {
	// attempt is the number of the attempt.
	attempt uint64
	// shard is the number of the shard that the owner states.
	shard uint32
	// status says how the attempt ended.
	status caller.Status
	// body is the answer if the status is Answered.
	body []byte
	// snapshot is the version of the snapshot that the owner states.
	snapshot string
}
