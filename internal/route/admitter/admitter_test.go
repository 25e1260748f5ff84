package admitter

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1000, 0)

// fakeServer simulates a backend server with slots and a bounded FIFO queue.
type fakeServer struct {
	slots           int
	queueLimit      int
	meanServiceTime time.Duration
	// freeAt is when each slot becomes free.
	freeAt []time.Duration
}

func newFakeServer(slots, room int, service time.Duration) *fakeServer {
	return &fakeServer{slots: slots, queueLimit: room, meanServiceTime: service, freeAt: make([]time.Duration, slots)}
}

// arrive adds a request. It returns when the request is answered, the number of
// requests waiting before it, and false if it is shed.
func (q *fakeServer) arrive(now time.Duration, r *rand.Rand) (time.Duration, int, bool) {
	slot := 0
	for i, at := range q.freeAt {
		if at < q.freeAt[slot] {
			slot = i
		}
	}
	start := max(now, q.freeAt[slot])
	waiting := int((start - now) * time.Duration(q.slots) / q.meanServiceTime)
	if waiting > q.queueLimit {
		return 0, waiting, false
	}
	took := time.Duration(float64(q.meanServiceTime) * (0.5 + r.Float64()))
	q.freeAt[slot] = start + took
	return start + took, waiting, true
}

// observation is an answer that the host receives later.
type observation struct {
	sent, receivedAt time.Duration
	congested        bool
}

// simulate sends rate requests per second for length and returns the share of them that
// were answered within the objective. All requests are sent if throttle is nil.
func simulate(q *fakeServer, rate float64, length, objective time.Duration, throttle *Throttle, seed uint64) float64 {
	r := rand.New(rand.NewPCG(seed, 1))
	var pending []observation
	total, inTime := 0, 0
	for now := time.Duration(0); now < length; now += time.Duration(r.ExpFloat64() / rate * float64(time.Second)) {
		for len(pending) > 0 && pending[0].receivedAt <= now {
			if throttle != nil {
				throttle.Observe(epoch.Add(pending[0].receivedAt), epoch.Add(pending[0].sent), pending[0].congested)
			}
			pending = pending[1:]
		}
		total++
		if throttle != nil && r.Float64() >= throttle.SentShare(epoch.Add(now), 0, 1) {
			continue
		}
		at, waiting, ok := q.arrive(now, r)
		late := !ok || at-now > objective
		if !late {
			inTime++
		}
		s := LoadSignal{Shed: !ok, Known: true, Running: q.slots, Waiting: waiting, Slots: q.slots, Late: late}
		pending = append(pending, observation{sent: now, receivedAt: min(max(at, now), now+objective), congested: s.Congested()})
	}
	return float64(inTime) / float64(total)
}

// TestOverloadedShard guards against congestive collapse: a shard with one of three
// replicas left, at 1.2 times the capacity of that replica, answers almost nothing in
// time if every request is sent.
func TestOverloadedShard(t *testing.T) {
	const (
		objective = 45 * time.Millisecond
		seeds     = 20
	)
	without, with := 0.0, 0.0
	for seed := range uint64(seeds) {
		q := func() *fakeServer { return newFakeServer(3, 18, 15*time.Millisecond) }
		without += simulate(q(), 240, 20*time.Second, objective, nil, seed) / seeds
		with += simulate(q(), 240, 20*time.Second, objective, &Throttle{}, seed) / seeds
	}
	require.Less(t, without, 0.35)
	require.Greater(t, with, 0.5)
}

// TestNormalLoad guards against dropping requests without congestion.
func TestNormalLoad(t *testing.T) {
	for seed := range uint64(5) {
		throttle := &Throttle{}
		simulate(newFakeServer(9, 54, 15*time.Millisecond), 240, 20*time.Second, 100*time.Millisecond, throttle, seed)
		require.InDelta(t, 1, throttle.SentShare(epoch.Add(20*time.Second), 0, 1), 0.001, "seed %d", seed)
	}
}

// TestFailingServer guards against treating a server that refuses requests at random as
// congested: dropping requests would not help it.
func TestFailingServer(t *testing.T) {
	require.False(t, LoadSignal{Shed: true, Known: true, Running: 0, Slots: 3, Late: true}.Congested())
	require.False(t, LoadSignal{Known: true, Running: 3, Slots: 3, Late: true}.Congested())
	require.True(t, LoadSignal{Shed: true, Known: true, Running: 3, Waiting: 18, Slots: 3}.Congested())
}

// TestOrder guards against a larger sent share for a lower priority, and against a share
// outside of its bounds.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		throttle := &Throttle{}
		for _, congested := range rapid.SliceOf(rapid.Bool()).Draw(t, "answers") {
			throttle.Observe(epoch, epoch, congested)
		}
		priorityCount := rapid.IntRange(1, 5).Draw(t, "ranks")
		last := 1.0
		for priority := range priorityCount {
			share := throttle.SentShare(epoch, priority, priorityCount)
			require.LessOrEqual(t, share, last)
			require.Greater(t, share, 0.0)
			last = share
		}
	})
}
