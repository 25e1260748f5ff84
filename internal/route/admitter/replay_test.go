package admitter

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gentianpond/internal/route/gatherer"
)

// The replays run the decisions of many hosts against simulated servers and callers,
// without a network. Sizes and loads are those of the customers in docs/accounts.md.
const (
	replayHosts  = 54
	shopHosts    = 135
	replayShards = 36
	replayLength = 20 * time.Second
	// faultStart is when the replayed fault begins.
	faultStart = 6 * time.Second
	// warmUp is how long accounts are seen at their usual rates before the replay.
	warmUp  = 40 * time.Second
	hop     = 900 * time.Microsecond
	transit = 3 * time.Millisecond
	// serverRoom is the number of requests that wait at a server before it sheds, unless
	// the load says otherwise.
	serverRoom = 24
)

// kind is a kind of request.
type kind struct {
	name             string
	rate             float64
	work             time.Duration
	minParts         int
	objective, limit time.Duration
	priority         int
}

// replayKinds returns the fan-outs of customer A, or B.
func replayKinds(shop bool) []kind {
	if shop {
		return []kind{
			{"page", 79.2, 15 * time.Millisecond, 35, 150 * time.Millisecond, 2 * time.Second, 1},
			{"suggestion", 26.4, 5 * time.Millisecond, 31, 60 * time.Millisecond, time.Second, 2},
		}
	}
	return []kind{
		{"urgent", 36.4, 5 * time.Millisecond, 31, 50 * time.Millisecond, 300 * time.Millisecond, 0},
		{"search", 63.1, 15 * time.Millisecond, 35, 150 * time.Millisecond, 800 * time.Millisecond, 1},
	}
}

// load is what a replay runs.
type load struct {
	name string
	// lost is the number of shards with one replica of three. slowShare of all servers take
	// slowFactor times as long for slowFor from faultStart on.
	lost       int
	slowShare  float64
	slowFactor float64
	slowFor    time.Duration
	// burst multiplies the rate of searches, hot that of the largest account, for 6 s, or
	// to the end if lasting is set.
	burst, hot float64
	lasting    bool
	// unfair decides without regard to accounts. ranked gives every second account a lower
	// priority.
	unfair, ranked bool
	// shop takes the hosts and requests of customer B, which has no accounts.
	shop bool
	// room replaces serverRoom.
	room int
}

// tally counts outcomes of first tries, by their second.
type tally struct {
	total, served, timely, value float64
}

func (t tally) String() string {
	n := max(t.total, 1)
	return fmt.Sprintf("served %.3f timely %.3f value %.3f", t.served/n, t.timely/n, t.value/n)
}

type replayServer struct {
	phase   time.Duration
	factor  float64
	slowEnd time.Duration
	running int
	queue   []*replaySend
}

type replaySend struct {
	query  *replayQuery
	shard  int
	server *replayServer
	sentAt time.Duration
	ended  bool
}

type replayQuery struct {
	kind        *kind
	account     int
	first       time.Duration
	deadline    time.Duration
	host        *replayHost
	plan        gatherer.Plan
	parts, open int
	got         [replayShards]bool
	inFlight    [replayShards][]*replaySend
	done        bool
}

type replayHost struct {
	throttles [replayShards]Throttle
	tokens    [replayShards]float64
	demand    Demand
	latency   map[*replayServer]float64
	inFlight  map[*replayServer]int
	loads     map[*replayServer]replayLoad
}

type replayLoad struct {
	running, waiting int
	at               time.Duration
}

type event struct {
	at time.Duration
	n  int
	do func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].n < e[j].n
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

type replay struct {
	load load
	r    *rand.Rand
	// arrivalRand draws the arrivals, so that all policies get the same ones.
	arrivalRand *rand.Rand
	now         time.Duration
	n           int
	events      events
	hosts       []*replayHost
	shards      [replayShards][]*replayServer
	rates       []float64
	refusals    int
	// lost counts refused requests that do not return, by kind.
	lost     map[string]int
	fault    tally
	after    tally
	bySecond map[int]*tally
	byKind   map[string]*tally
	byGroup  map[string]*tally
	// inFaultByGroup counts the groups of accounts during the fault only.
	inFaultByGroup map[string]*tally
}

// accountRates returns the usual rates of the accounts, in requests a second.
func accountRates() []float64 {
	var rates []float64
	for _, limit := range []float64{60, 28, 17, 12, 10, 8, 7, 6} {
		rates = append(rates, limit/1.6)
	}
	for range 63 {
		rates = append(rates, 0.5)
	}
	return rates
}

func newReplay(l load, seed uint64) *replay {
	s := &replay{load: l, r: rand.New(rand.NewPCG(seed, 7)), arrivalRand: rand.New(rand.NewPCG(seed, 8)), rates: accountRates(),
		lost: map[string]int{}, bySecond: map[int]*tally{}, byKind: map[string]*tally{}, byGroup: map[string]*tally{}, inFaultByGroup: map[string]*tally{}}
	hosts := replayHosts
	if l.shop {
		hosts = shopHosts
	}
	for range hosts {
		h := &replayHost{latency: map[*replayServer]float64{}, inFlight: map[*replayServer]int{}, loads: map[*replayServer]replayLoad{}}
		h.warmUp(s.arrivalRand, s.rates)
		s.hosts = append(s.hosts, h)
	}
	for i := range s.shards {
		for j := range 3 {
			v := &replayServer{phase: time.Duration(s.r.Float64() * float64(3600*time.Millisecond)), factor: 1}
			if s.r.Float64() < l.slowShare {
				v.factor, v.slowEnd = l.slowFactor, faultStart+l.slowFor
			}
			if j == 0 || i >= l.lost {
				s.shards[i] = append(s.shards[i], v)
			}
		}
	}
	return s
}

// warmUp records the requests of the time before the replay.
func (h *replayHost) warmUp(r *rand.Rand, rates []float64) {
	for at := -warmUp; at < 0; at += time.Second {
		for account, rate := range rates {
			for rate /= replayHosts; r.Float64() < rate; rate-- {
				h.demand.Record(moment(at), strconv.Itoa(account))
			}
		}
	}
}

func (s *replay) at(t time.Duration, do func()) {
	s.n++
	heap.Push(&s.events, event{max(t, s.now), s.n, do})
}

// run plays the load and returns the replay with its figures.
func (s *replay) run() *replay {
	kinds := replayKinds(s.load.shop)
	for i := range kinds {
		s.at(0, func() { s.arrivals(&kinds[i]) })
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	return s
}

// inFault reports whether a burst is under way.
func (s *replay) inFault() bool {
	return s.now >= faultStart && (s.load.lasting || s.now < faultStart+6*time.Second)
}

// arrivals creates one request and schedules the next one.
func (s *replay) arrivals(k *kind) {
	if s.now > replayLength {
		return
	}
	total, sum := 0.0, 0.0
	for _, v := range s.rates {
		total += v
	}
	factor := 1.0
	if s.inFault() && s.load.burst > 0 && k.minParts == 35 {
		factor = s.load.burst
	}
	hot := s.rates[0]
	if s.inFault() && s.load.hot > 0 {
		hot *= s.load.hot
	}
	rate := k.rate * factor * (total - s.rates[0] + hot) / total
	pick := s.arrivalRand.Float64() * (total - s.rates[0] + hot)
	account := 0
	for i, v := range s.rates {
		if i == 0 {
			v = hot
		}
		if sum += v; pick < sum {
			account = i
			break
		}
	}
	if s.now > 0 {
		s.arrive(&replayQuery{kind: k, account: account, first: s.now, deadline: s.now + k.limit})
	}
	s.at(s.now+time.Duration(s.arrivalRand.ExpFloat64()/rate*float64(time.Second)), func() { s.arrivals(k) })
}

func moment(d time.Duration) time.Time { return epoch.Add(d) }

// arrive handles a request, new or returned, at one of the hosts.
func (s *replay) arrive(q *replayQuery) {
	h := s.hosts[s.r.IntN(len(s.hosts))]
	q.host = h
	now := s.now + transit
	q.plan = gatherer.Plan{Start: moment(now), SoftDeadline: moment(now + q.kind.objective - 2*transit), HardDeadline: moment(q.deadline - 30*time.Millisecond), Shards: replayShards, MinParts: q.kind.minParts}
	name := strconv.Itoa(q.account)
	h.demand.Record(moment(now), name)
	standing := h.demand.Standing(moment(now), name)
	rank, rankCount := q.kind.priority, 3
	if s.load.ranked {
		rank, rankCount = rank+3*(q.account%2), 6
	}
	shares := make([]float64, replayShards)
	for i := range shares {
		shares[i] = h.throttles[i].AccountShare(moment(now), rank, rankCount, standing)
		if s.load.unfair || s.load.shop {
			shares[i] = h.throttles[i].SentShare(moment(now), rank, rankCount)
		}
	}
	out := LeaveOut(s.r, shares, replayShards-q.kind.minParts)
	left := 0
	for _, o := range out {
		if o {
			left++
		}
	}
	if replayShards-left < q.kind.minParts {
		s.refuse(q)
		return
	}
	q.open = replayShards - left
	for i := range out {
		if !out[i] {
			h.tokens[i] = min(h.tokens[i]+0.18, 2)
			s.send(q, i)
		}
	}
	s.decide(q)
	s.at(now+q.kind.objective-2*transit, func() { s.decide(q) })
}

// refuse refuses a request. The caller returns if it has three times the named time left.
func (s *replay) refuse(q *replayQuery) {
	s.refusals++
	after := RetryAfter(s.r, q.deadline-s.now-2*transit)
	if back := s.now + 2*transit; after <= (q.deadline-back)/3 {
		s.at(back+after, func() { s.arrive(&replayQuery{kind: q.kind, account: q.account, first: q.first, deadline: q.deadline}) })
		return
	}
	s.lost[q.kind.name]++
	s.record(q, false)
}

// send sends a request to the best server of a shard that has not got it.
func (s *replay) send(q *replayQuery, shard int) bool {
	h := q.host
	var best *replayServer
	bestScore := math.Inf(1)
	for _, v := range s.shards[shard] {
		tried := false
		for _, x := range q.inFlight[shard] {
			tried = tried || x.server == v
		}
		score := (cmp.Or(h.latency[v], 12) + 2) * float64(1+h.inFlight[v]) * (1 + 0.1*s.r.Float64())
		if l, ok := h.loads[v]; ok && s.now-l.at < 2*time.Second {
			score *= 1 + min(float64(l.running+l.waiting)/4, 1)
		}
		if !tried && score < bestScore {
			best, bestScore = v, score
		}
	}
	if best == nil {
		return false
	}
	x := &replaySend{query: q, shard: shard, server: best, sentAt: s.now}
	q.inFlight[shard] = append(q.inFlight[shard], x)
	h.inFlight[best]++
	s.at(s.now+hop, func() { s.receive(x) })
	s.at(s.now+time.Duration(0.4*float64(q.kind.objective)), func() {
		if !q.done && !q.got[shard] && !x.ended && h.tokens[shard] >= 1 && s.send(q, shard) {
			h.tokens[shard]--
		}
	})
	return true
}

func (s *replay) receive(x *replaySend) {
	v := x.server
	switch {
	case x.ended:
	case v.running < 4 && len(v.queue) == 0:
		s.start(x)
	case len(v.queue) >= cmp.Or(s.load.room, serverRoom):
		s.answer(x, true)
	default:
		v.queue = append(v.queue, x)
	}
}

// start runs a request. Pauses of 150 ms every 3.6 s extend it.
func (s *replay) start(x *replaySend) {
	v := x.server
	v.running++
	work := time.Duration(float64(x.query.kind.work) * (0.5 + s.r.Float64()))
	if s.now >= faultStart && s.now < v.slowEnd {
		work = time.Duration(float64(work) * v.factor)
	}
	const period, pause = 3600 * time.Millisecond, 150 * time.Millisecond
	end := s.now + work
	for from := (s.now-v.phase)/period*period + v.phase - period; from < end; from += period {
		if until := from + pause; until > s.now {
			end += until - max(from, s.now)
		}
	}
	s.at(end, func() {
		v.running--
		s.answer(x, false)
		for len(v.queue) > 0 && v.running < 4 {
			next := v.queue[0]
			v.queue = v.queue[1:]
			if !next.ended {
				s.start(next)
			}
		}
	})
}

// answer returns the answer of a server to its host, with its load.
func (s *replay) answer(x *replaySend, shed bool) {
	l := replayLoad{running: x.server.running, waiting: len(x.server.queue)}
	s.at(s.now+hop, func() {
		if x.ended {
			return
		}
		l.at = s.now
		x.query.host.loads[x.server] = l
		s.finish(x, l, shed)
		q := x.query
		if shed {
			if q.host.tokens[x.shard] >= 1 && s.send(q, x.shard) {
				q.host.tokens[x.shard]--
			} else if !s.waiting(q, x.shard) {
				q.open--
			}
		} else if !q.got[x.shard] {
			q.got[x.shard] = true
			q.parts++
			q.open--
		}
		s.decide(q)
	})
}

// waiting reports whether a send to a shard is under way.
func (s *replay) waiting(q *replayQuery, shard int) bool {
	for _, x := range q.inFlight[shard] {
		if !x.ended {
			return true
		}
	}
	return false
}

// finish records the end of a send in the state of its host, as relayer.recordResult does.
func (s *replay) finish(x *replaySend, l replayLoad, shed bool) {
	x.ended = true
	h, q := x.query.host, x.query
	h.inFlight[x.server]--
	took := float64(s.now-x.sentAt) / float64(time.Millisecond)
	h.latency[x.server] += 0.2 * (took - cmp.Or(h.latency[x.server], took))
	if h.latency[x.server] == 0 {
		h.latency[x.server] = took
	}
	signal := LoadSignal{Shed: shed, Known: true, Running: l.running, Waiting: l.waiting, Slots: 4, Late: moment(s.now).After(q.plan.SoftDeadline)}
	congested := signal.Congested()
	for _, v := range s.shards[x.shard] {
		o, ok := h.loads[v]
		if v != x.server && (!ok || s.now-o.at > time.Second || o.waiting < 4) {
			congested = false
		}
	}
	h.throttles[x.shard].Observe(moment(s.now), moment(x.sentAt), congested)
}

// decide asks the gatherer and ends the request if it says so.
func (s *replay) decide(q *replayQuery) {
	if q.done {
		return
	}
	verdict, until := q.plan.Decide(moment(s.now), q.parts, q.open)
	if verdict == gatherer.Wait {
		s.at(until.Sub(epoch), func() { s.decide(q) })
		return
	}
	q.done = true
	for i := range q.inFlight {
		for _, x := range q.inFlight[i] {
			if x.ended {
				continue
			}
			l, ok := q.host.loads[x.server]
			if ok && moment(s.now).After(q.plan.SoftDeadline) {
				s.finish(x, l, false)
				continue
			}
			x.ended = true
			q.host.inFlight[x.server]--
		}
	}
	s.record(q, verdict == gatherer.Reply)
}

// record counts the outcome of a caller's request, with its returns.
func (s *replay) record(q *replayQuery, served bool) {
	group := "others"
	if q.account == 0 {
		group = "largest"
	} else if q.account >= 8 {
		group = "small"
	}
	if s.load.ranked {
		group += fmt.Sprintf(" of priority %d", q.account%2)
	}
	second := int(q.first / time.Second)
	list := []*tally{entry(s.bySecond, second), entry(s.byKind, q.kind.name), entry(s.byGroup, group)}
	if second >= 6 && second < 14 {
		list = append(list, &s.fault, entry(s.inFaultByGroup, group))
	}
	if second >= 14 {
		list = append(list, &s.after)
	}
	for _, t := range list {
		t.total++
		if !served {
			continue
		}
		t.served++
		share := float64(q.parts) / replayShards
		if s.now+transit-q.first <= q.kind.objective {
			t.timely++
			t.value += share * share
		} else {
			t.value += 0.2 * share * share
		}
	}
}

func entry[K comparable](m map[K]*tally, key K) *tally {
	if m[key] == nil {
		m[key] = &tally{}
	}
	return m[key]
}

// worst returns the smallest share served, and the smallest value, of any second.
func (s *replay) worst() (served, value float64) {
	served, value = 1, 1
	for second, t := range s.bySecond {
		if second >= 2 {
			served, value = min(served, t.served/t.total), min(value, t.value/t.total)
		}
	}
	return served, value
}

// loadCase is a replayed load with the least shares of requests that have to be served
// during the fault and after it.
type loadCase struct {
	load
	fault, after float64
	// timely is the least share of them that has to be served within the objective after the
	// fault.
	timely float64
}

// slow makes 14% of all servers take 8 times as long for 8 s.
func slow(l load) load {
	l.slowShare, l.slowFactor, l.slowFor = 0.14, 8, 8*time.Second
	return l
}

// play runs a load with several seeds and adds up the figures.
func play(t *testing.T, l load) *replay {
	sum := &replay{lost: map[string]int{}, bySecond: map[int]*tally{}, byKind: map[string]*tally{}, byGroup: map[string]*tally{}, inFaultByGroup: map[string]*tally{}}
	const seeds = 3
	var results [seeds]*replay
	var group sync.WaitGroup
	for i := range results {
		group.Go(func() { results[i] = newReplay(l, uint64(i)).run() })
	}
	group.Wait()
	for _, s := range results {
		sum.refusals += s.refusals
		for kind, n := range s.lost {
			sum.lost[kind] += n
		}
		sum.fault.add(s.fault)
		sum.after.add(s.after)
		addAll(sum.bySecond, s.bySecond)
		addAll(sum.byKind, s.byKind)
		addAll(sum.byGroup, s.byGroup)
		addAll(sum.inFaultByGroup, s.inFaultByGroup)
	}
	served, value := sum.worst()
	t.Logf("%s: fault: %s; after: %s; worst second served %.3f value %.3f; %d refusals, lost %v", l.name, sum.fault, sum.after, served, value, sum.refusals, sum.lost)
	for _, m := range []map[string]*tally{sum.byKind, sum.inFaultByGroup} {
		for _, key := range slices.Sorted(maps.Keys(m)) {
			t.Logf("  %s: %s", key, m[key])
		}
	}
	return sum
}

func (t *tally) add(o tally) {
	t.total += o.total
	t.served += o.served
	t.timely += o.timely
	t.value += o.value
}

func addAll[K comparable](sum, m map[K]*tally) {
	for key, t := range m {
		entry(sum, key).add(*t)
	}
}

// TestRecovery guards against requests that are dropped long after congestion has ended.
func TestRecovery(t *testing.T) {
	for _, c := range []loadCase{
		{slow(load{name: "slow servers, 6 shards with one replica, burst", lost: 6, burst: 2.4}), 0.81, 0.99, 0.95},
		{slow(load{name: "slow servers, 12 shards with one replica", lost: 12}), 0.8, 0.99, 0.95},
		{slow(load{name: "slow servers, one replica of all shards", lost: 36}), 0.69, 0.95, 0.85},
		{load{name: "one replica of all shards, burst", lost: 36, burst: 2.4}, 0.93, 0.99, 0.93},
		{load{name: "one replica of all shards, hot account", lost: 36, hot: 7.5}, 0.81, 0.99, 0.92},
		{load{name: "one replica of all shards, hot account to the end", lost: 36, hot: 7.5, lasting: true}, 0.81, 0.80, 0.6},
		{slow(load{name: "B, slow servers, 12 shards with one replica, burst", lost: 12, burst: 2, shop: true}), 0.49, 0.99, 0.95},
		{load{name: "B, one replica of all shards, burst", lost: 36, burst: 2, shop: true}, 0.93, 0.99, 0.93},
	} {
		s := play(t, c.load)
		require.Greater(t, s.fault.served/s.fault.total, c.fault, c.name)
		require.Greater(t, s.after.served/s.after.total, c.after, c.name)
		require.Greater(t, s.after.timely/s.after.total, c.timely, c.name)
	}
}

// TestFairShare guards against a burst of one account at the expense of the others, against
// accounts that are starved, and against accounts that pay for a burst of all.
func TestFairShare(t *testing.T) {
	timely := func(s *replay, group string) float64 {
		return s.inFaultByGroup[group].timely / s.inFaultByGroup[group].total
	}
	hot := play(t, load{name: "hot account", lost: 36, hot: 7.5})
	require.Greater(t, timely(hot, "others"), timely(hot, "largest")+0.1)
	require.Greater(t, timely(hot, "others"), 0.78)
	ranked := play(t, load{name: "hot account, priorities", lost: 36, hot: 7.5, ranked: true})
	require.Greater(t, timely(ranked, "others of priority 1"), timely(ranked, "largest of priority 0")+0.08)
	burst := play(t, load{name: "burst", lost: 36, burst: 2.4})
	require.Greater(t, timely(burst, "largest"), timely(burst, "others")-0.03)
	for _, s := range []*replay{hot, ranked, burst} {
		for group, g := range s.inFaultByGroup {
			require.Greater(t, g.served/g.total, 0.25*s.fault.served/s.fault.total, group)
		}
	}
}

// TestLateAnswers guards against answers that are late and complete enough but wait for
// further parts, whose servers work on them while other requests wait.
func TestLateAnswers(t *testing.T) {
	s := play(t, load{name: "one replica of all shards, hot account, long queues", lost: 36, hot: 7.5, room: 120})
	require.Greater(t, s.fault.timely/s.fault.total, 0.67)
	require.Greater(t, s.fault.served/s.fault.total, 0.97)
}

// TestUrgentReturns guards against urgent requests whose callers never honour the time after
// which they may return.
func TestUrgentReturns(t *testing.T) {
	s := play(t, load{name: "hot account to the end, priorities, long queues", lost: 36, hot: 7.5, lasting: true, ranked: true, room: 120})
	require.Zero(t, s.lost["urgent"])
}
