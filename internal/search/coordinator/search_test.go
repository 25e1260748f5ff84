package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"gentianpond/internal/backend/connector"
	"gentianpond/internal/fleet/assigner"
	"gentianpond/internal/fleet/tracker"
	"gentianpond/internal/protocol/messenger"
	"gentianpond/internal/search/caller"
	"gentianpond/internal/search/selector"
	"gentianpond/internal/settings/checker"
	"gentianpond/test/seeder"
)

// TestMain fixes the seed and the number of checks of the property test.
func TestMain(m *testing.M) {
	seeder.SetDefaults(seeder.Defaults{Seed: 1, Checks: 5000})
	os.Exit(m.Run())
}

// shardCounts maps each snapshot to its number of shards.
var shardCounts = map[string]int{"1": 5, "2": 3}

// faultySender is a Sender whose owners answer, refuse, lose, delay, repeat and
// mix up replies, at random from a seed.
type faultySender struct {
	seed uint64
	// withdrawnAt is when the owners stop serving snapshot 1.
	withdrawnAt time.Time

	mu sync.Mutex
	// answered holds the shards of each snapshot that got a correct answer.
	answered map[string]map[uint32]bool
	// started is true once any server may have started a sub-request.
	started bool
	// startedAtEnd is the value of started when the search returned.
	startedAtEnd bool
	// received counts the sub-requests.
	received int
}

type body struct {
	Query    string `json:"query"`
	Snapshot string `json:"snapshot"`
	Shard    uint32 `json:"shard"`
}

func (fs *faultySender) Scan(ctx context.Context, _ assigner.Member, r *messenger.ScanRequest, onReply func(*messenger.ScanReply)) error {
	for _, s := range r.GetSubrequests() {
		fs.mu.Lock()
		fs.received++
		random := rand.New(rand.NewPCG(fs.seed, uint64(fs.received)))
		fs.mu.Unlock()
		select {
		case <-time.After(time.Duration(random.IntN(60)) * time.Millisecond):
		case <-ctx.Done():
			fs.withLock(func() { fs.started = true })
			return ctx.Err()
		}
		if random.IntN(20) == 0 {
			fs.withLock(func() { fs.started = true })
			return errors.New("stream broke")
		}
		fs.reply(r, s, random, onReply)
	}
	return nil
}

// withLock calls f with the lock held.
func (fs *faultySender) withLock(f func()) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	f()
}

// reply sends the reply to one sub-request: correct, repeated, failed, or with
// the wrong snapshot, shard or attempt.
func (fs *faultySender) reply(r *messenger.ScanRequest, s *messenger.Subrequest, random *rand.Rand, onReply func(*messenger.ScanReply)) {
	text, _ := json.Marshal([]body{{Query: r.GetQuery(), Snapshot: r.GetSnapshot(), Shard: s.GetShard()}})
	m := &messenger.ScanReply{Attempt: s.GetAttempt(), Shard: s.GetShard(), Snapshot: r.GetSnapshot(), Status: uint32(caller.Answered), Body: text}
	if r.GetSnapshot() == "1" && !time.Now().Before(fs.withdrawnAt) {
		m.Status = uint32(caller.Missing)
		onReply(m)
		return
	}
	switch random.IntN(10) {
	case 0:
		statuses := []caller.Status{caller.Shed, caller.Missing, caller.Unsent, caller.Refused, caller.Broken, caller.TimedOut, caller.Failed, caller.Crossed}
		status := statuses[random.IntN(len(statuses))]
		m.Status, m.Body = uint32(status), nil
		if !status.NotStarted() {
			fs.withLock(func() { fs.started = true })
		}
	case 1:
		m.Snapshot = "other"
		fs.withLock(func() { fs.started = true })
	case 2:
		m.Shard++
		fs.withLock(func() { fs.started = true })
	case 3:
		m.Attempt += 1000
		fs.withLock(func() { fs.started = true })
	case 4:
		fs.recordAnswered(m)
		onReply(m)
	default:
		fs.recordAnswered(m)
	}
	onReply(m)
}

func (fs *faultySender) recordAnswered(m *messenger.ScanReply) {
	fs.withLock(func() {
		fs.started = true
		fs.answered[m.GetSnapshot()][m.GetShard()] = true
	})
}

// directoryOf returns a directory of 10 servers, each serving one shard of each
// of the snapshots.
func directoryOf(self assigner.Member, snapshots ...string) *Directory {
	var usable []tracker.Server
	for i := range 10 {
		a := tracker.Announcement{ServerName: fmt.Sprint("searcher-", i), Zone: "zone-1", Incarnation: 1, Slots: 3}
		for _, v := range snapshots {
			a.Served = append(a.Served, tracker.ServedSnapshot{Archive: "albums", Snapshot: v, ShardCount: shardCounts[v], Shards: []int{i % shardCounts[v]}})
		}
		usable = append(usable, tracker.Server{Announcement: a})
	}
	document := checker.Document{Sections: []checker.Section{{Team: "counter", Archives: []checker.ArchiveSettings{checker.DefaultArchive("albums")}}}}
	return NewDirectory(usable, assigner.View{Number: 1, Members: []assigner.Member{self}}, document)
}

// TestSearch guards against an answer that mixes snapshots or queries, counts
// a shard twice or one that was not answered, states another denominator than
// its snapshot's, or says "not started" of a search that may have started.
func TestSearch(t *testing.T) {
	restarted := 0
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		withdrawal := rapid.IntRange(0, 200).Draw(r, "withdrawal, ms")
		announced := rapid.IntRange(1, 200).Draw(r, "next snapshot known, ms")
		var fs *faultySender
		var a Answer
		var err error
		synctest.Test(t, func(*testing.T) {
			fs = &faultySender{seed: seed, withdrawnAt: time.Now().Add(time.Duration(withdrawal) * time.Millisecond), answered: map[string]map[uint32]bool{"1": {}, "2": {}}}
			self := assigner.Member{Name: "entry-1", Zone: "zone-1", Incarnation: 1}
			c := New(self, fs, tally.NoopScope)
			c.Update(time.Now(), directoryOf(self, "1"))
			time.AfterFunc(time.Duration(announced)*time.Millisecond, func() { c.Update(time.Now(), directoryOf(self, "1", "2")) })
			a, err = c.Search(context.Background(), Request{Archive: "albums", Body: []byte("1"), Deadline: time.Now().Add(300 * time.Millisecond)})
			fs.withLock(func() { fs.startedAtEnd = fs.started })
			time.Sleep(time.Second)
		})
		fs.check(r, a, err)
		if a.Snapshot == "2" && a.Coverage.Answered > 0 {
			restarted++
		}
	})
	require.NotZero(t, restarted, "no search started again on the next snapshot")
}

// check compares the result of a search with what the owners answered.
func (fs *faultySender) check(t *rapid.T, a Answer, err error) {
	require.Equal(t, shardCounts[a.Snapshot], int(a.Coverage.Shards), "denominator")
	require.Equal(t, a.Coverage.Shards, a.Coverage.Answered+uint32(len(a.Coverage.Missing)))
	require.Len(t, a.Bodies, int(a.Coverage.Answered))
	if errors.Is(err, ErrNotStarted) {
		require.False(t, fs.startedAtEnd, "said not started")
	}
	queries := map[string]bool{}
	shards := map[uint32]bool{}
	for _, raw := range a.Bodies {
		var list []body
		require.NoError(t, json.Unmarshal(raw, &list))
		require.Equal(t, a.Snapshot, list[0].Snapshot, "another snapshot")
		require.False(t, shards[list[0].Shard], "a shard counted twice")
		require.True(t, fs.answered[a.Snapshot][list[0].Shard], "a shard that was not answered")
		shards[list[0].Shard] = true
		queries[list[0].Query] = true
	}
	require.LessOrEqual(t, len(queries), 1, "several queries")
	for _, shard := range a.Coverage.Missing {
		require.False(t, shards[shard], "a missing shard has an answer")
	}
}

// TestAnswersWithoutMemory guards against answers of shards that take the memory of the host, and
// against a server that is blamed for it or a search that is called not started.
func TestAnswersWithoutMemory(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	q := &query{coordinator: New(assigner.Member{Name: "a"}, nil, scope), request: Request{Answers: connector.NewAllowance(10<<10, nil)}}
	small := attemptReply{status: caller.Answered, body: make([]byte, uncountedBytes)}
	long := attemptReply{status: caller.Answered, body: make([]byte, 6<<10)}
	require.Equal(t, long, q.countAnswer(long))
	dropped := q.countAnswer(long)
	require.Equal(t, caller.Cancelled, dropped.status)
	require.Empty(t, dropped.body)
	require.False(t, dropped.status.NotStarted())
	require.Equal(t, selector.Cancelled, selectorStatus(dropped.status))
	for range 100 {
		require.Equal(t, small, q.countAnswer(small))
	}
	require.EqualValues(t, 6<<10, q.request.Answers.Used())
	require.EqualValues(t, 1, scope.Snapshot().Counters()["answers_without_memory+"].Value())
	q.request.Answers = nil
	require.Equal(t, long, q.countAnswer(long), "no limit")
}

// withdrawnSender is a Sender whose servers have withdrawn shard 0 of the first snapshot that is
// searched, run the searches of its other shards without an answer, and refuse all others.
type withdrawnSender struct {
	mu    sync.Mutex
	first string
}

func (w *withdrawnSender) Scan(ctx context.Context, _ assigner.Member, r *messenger.ScanRequest, onReply func(*messenger.ScanReply)) error {
	w.mu.Lock()
	if w.first == "" {
		w.first = r.GetSnapshot()
	}
	first := r.GetSnapshot() == w.first
	w.mu.Unlock()
	waits := false
	for _, s := range r.GetSubrequests() {
		m := &messenger.ScanReply{Attempt: s.GetAttempt(), Shard: s.GetShard(), Snapshot: r.GetSnapshot(), Status: uint32(caller.Shed)}
		if first && s.GetShard() == 0 {
			m.Status = uint32(caller.Missing)
		} else if first {
			waits = true
			continue
		}
		onReply(m)
	}
	if waits {
		<-ctx.Done()
	}
	return nil
}

// TestRestartAfterStart guards against a search that is called not started although servers ran it
// on a snapshot that it gave up.
func TestRestartAfterStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		self := assigner.Member{Name: "entry-1", Zone: "zone-1", Incarnation: 1}
		scope := tally.NewTestScope("", nil)
		c := New(self, &withdrawnSender{}, scope)
		c.Update(time.Now(), directoryOf(self, "1", "2"))
		_, err := c.Search(t.Context(), Request{Archive: "albums", Lane: "interactive", Deadline: time.Now().Add(time.Second)})
		require.EqualValues(t, 1, scope.Snapshot().Counters()["search_restarts+"].Value())
		require.ErrorIs(t, err, ErrNoAnswer)
	})
}
