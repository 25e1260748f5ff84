package selector

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var (
	names = []string{"a", "b", "c", "d"}
	epoch = time.Unix(1_000_000, 0)
)

// serverModel is the expected state of a server.
type serverModel struct {
	Server
	present    bool
	inFlight   int
	backOffEnd time.Time
	sheds      int
}

// model tracks independently of the selector which servers may be chosen.
type model struct {
	t                 *rapid.T
	s                 *Selector
	now               time.Time
	servers           map[string]*serverModel
	newestIncarnation map[string]uint64
	sent              []serverModel
}

func (m *model) update(t *rapid.T) {
	server := Server{
		Name:        rapid.SampledFrom(names).Draw(t, "server"),
		Zone:        rapid.SampledFrom([]string{"z1", "z2"}).Draw(t, "zone"),
		Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
		Draining:    rapid.Bool().Draw(t, "draining"),
		Slots:       rapid.IntRange(0, 3).Draw(t, "slots"),
	}
	if rapid.Bool().Draw(t, "cold") {
		server.Started = m.now.Add(time.Duration(rapid.IntRange(-12, 2).Draw(t, "started")) * time.Second)
	}
	k := m.servers[server.Name]
	if k == nil {
		// Announcements are ordered, so no older incarnation returns after a removal.
		server.Incarnation = max(server.Incarnation, m.newestIncarnation[server.Name])
	}
	m.newestIncarnation[server.Name] = max(server.Incarnation, m.newestIncarnation[server.Name])
	m.s.Update(server)
	if k != nil && server.Incarnation < k.Incarnation {
		return
	}
	if k == nil || server.Incarnation > k.Incarnation {
		k = &serverModel{}
		m.servers[server.Name] = k
	}
	k.Server = server
	k.present = true
}

func (m *model) remove(t *rapid.T) {
	name := rapid.SampledFrom(names).Draw(t, "server")
	m.s.Remove(name)
	if k := m.servers[name]; k != nil {
		k.present = false
		m.forget(name)
	}
}

func (m *model) forget(name string) {
	if k := m.servers[name]; !k.present && k.inFlight == 0 {
		delete(m.servers, name)
	}
}

func (m *model) choose(t *rapid.T) {
	candidates := rapid.SliceOfDistinct(rapid.SampledFrom(names), rapid.ID).Draw(t, "candidates")
	exclude := rapid.SliceOfNDistinct(rapid.SampledFrom(names), 0, 2, rapid.ID).Draw(t, "exclude")
	r := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "random")))
	var eligible, notBackedOff []string
	for _, name := range candidates {
		k := m.servers[name]
		if k == nil || !k.present || k.Draining || slices.Contains(exclude, name) {
			continue
		}
		eligible = append(eligible, name)
		if !m.now.Before(k.backOffEnd) {
			notBackedOff = append(notBackedOff, name)
		}
	}
	retry, ok := m.s.ChooseRetry(m.now, r, candidates, exclude)
	require.Equal(m.t, len(notBackedOff) > 0, ok)
	require.True(m.t, !ok || slices.Contains(notBackedOff, retry), "retry to %s, of %v", retry, notBackedOff)
	name, ok := m.s.Choose(m.now, r, candidates, exclude)
	require.Equal(m.t, len(eligible) > 0, ok)
	if !ok {
		return
	}
	require.Contains(m.t, eligible, name, "draining, unknown, excluded or no candidate")
	require.True(m.t, len(notBackedOff) == 0 || slices.Contains(notBackedOff, name), "%s is backed off, %v are not", name, notBackedOff)
	k := m.servers[name]
	k.inFlight++
	m.s.Started(name, k.Incarnation)
	m.sent = append(m.sent, *k)
}

func (m *model) finish(t *rapid.T) {
	if len(m.sent) == 0 {
		t.Skip("nothing in flight")
	}
	i := rapid.IntRange(0, len(m.sent)-1).Draw(t, "request")
	r := m.sent[i]
	m.sent = slices.Delete(m.sent, i, i+1)
	status := Status(rapid.IntRange(0, int(Cancelled)).Draw(t, "status"))
	m.s.Finished(m.now, r.Name, r.Incarnation, status, time.Duration(rapid.IntRange(0, 100).Draw(t, "latency"))*time.Millisecond)
	k := m.servers[r.Name]
	if k == nil || k.Incarnation != r.Incarnation {
		return
	}
	k.inFlight--
	switch status {
	case Shed:
		k.backOffEnd = m.now.Add(min(initialBackOff<<k.sheds, maxBackOff))
		k.sheds++
	case Completed:
		k.sheds = 0
	}
	m.forget(r.Name)
}

func (m *model) advanceClock(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "passed")) * time.Millisecond)
	m.s.LoadReported(m.now, rapid.SampledFrom(names).Draw(t, "server"), rapid.Float64().Draw(t, "load"))
}

func (m *model) checkInFlight(*rapid.T) {
	for _, name := range names {
		want := 0
		if k := m.servers[name]; k != nil {
			want = k.inFlight
		}
		require.Equal(m.t, want, m.s.InFlight(name))
	}
}

// TestChoose guards against the choice of a server that drains, was removed or
// excluded, or is in back-off; against no choice although there is a server; and
// against in-flight counts that mix incarnations.
func TestChoose(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t, s: New("z1"), now: epoch, servers: map[string]*serverModel{}, newestIncarnation: map[string]uint64{}}
		t.Repeat(map[string]func(*rapid.T){
			"update":      m.update,
			"remove":      m.remove,
			"choose":      m.choose,
			"choose more": m.choose,
			"finish":      m.finish,
			"pass":        m.advanceClock,
			"":            m.checkInFlight,
		})
	})
}

// newTestSelector returns a selector that knows the given servers, all warm and
// with 2 slots.
func newTestSelector(zone string, names ...string) *Selector {
	s := New(zone)
	for _, name := range names {
		s.Update(Server{Name: name, Zone: "zone of " + name, Incarnation: 1, Slots: 2})
	}
	return s
}

// choiceShare returns the share of choices that select the named server.
func choiceShare(s *Selector, now time.Time, name string, candidates ...string) float64 {
	const rounds = 4000
	r := rand.New(rand.NewPCG(1, 2))
	hits := 0
	for range rounds {
		if got, _ := s.Choose(now, r, candidates, nil); got == name {
			hits++
		}
	}
	return float64(hits) / rounds
}

func finishRequests(s *Selector, now time.Time, name string, status Status, latency time.Duration, times int) {
	for range times {
		s.Started(name, 1)
		s.Finished(now, name, 1, status, latency)
	}
}

// TestPreference guards against wrong weights of what is known of a server: what
// the host has observed itself must outweigh what the server reports.
func TestPreference(t *testing.T) {
	fast, slow := 5*time.Millisecond, 50*time.Millisecond
	tests := []struct {
		name     string
		zone     string
		setup    func(*Selector)
		age      time.Duration
		minShare float64
		maxShare float64
	}{
		{"equal servers share", "", func(*Selector) {}, 0, 0.45, 0.55},
		{"slow server", "", func(s *Selector) {
			finishRequests(s, epoch, "a", Completed, slow, 5)
			finishRequests(s, epoch, "b", Completed, fast, 5)
		}, 0, 0, 0},
		{"old latency is unknown", "", func(s *Selector) {
			finishRequests(s, epoch, "a", Completed, slow, 5)
			finishRequests(s, epoch, "b", Completed, fast, 5)
		}, time.Minute, 0.4, 0.6},
		{"fast failures attract nothing", "", func(s *Selector) {
			finishRequests(s, epoch, "a", Failed, 0, 1)
			finishRequests(s, epoch, "b", Completed, slow, 5)
		}, 0, 0, 0},
		{"timeouts", "", func(s *Selector) { finishRequests(s, epoch, "a", TimedOut, slow, 1) }, 0, 0, 0},
		{"straggler that lost to hedges", "", func(s *Selector) {
			finishRequests(s, epoch, "a", Completed, fast, 5)
			finishRequests(s, epoch, "a", Cancelled, slow, 5)
		}, 0, 0, 0},
		{"cancelled early tells nothing", "", func(s *Selector) {
			finishRequests(s, epoch, "a", Completed, slow, 5)
			finishRequests(s, epoch, "b", Completed, fast, 5)
			finishRequests(s, epoch, "a", Cancelled, 0, 50)
		}, 0, 0, 0},
		{"reported load", "", func(s *Selector) { s.LoadReported(epoch, "a", 1) }, 0, 0, 0},
		{"aged load", "", func(s *Selector) { s.LoadReported(epoch, "a", 1) }, loadLifetime, 0.45, 0.55},
		{"old load", "", func(s *Selector) { s.LoadReported(epoch, "a", 1) }, 3 * loadLifetime, 0.45, 0.55},
		{"misleading load", "", func(s *Selector) { s.LoadReported(epoch, "b", 1); s.Started("a", 1); s.Started("a", 1) }, 0, 0, 0},
		{"shed", "", func(s *Selector) { finishRequests(s, epoch, "a", Shed, 0, 1) }, 0, 0, 0},
		{"shed is no failure", "", func(s *Selector) { finishRequests(s, epoch, "a", Shed, 0, 1) }, initialBackOff, 0.45, 0.55},
		{"own zone", "zone of a", func(*Selector) {}, 0, 1, 1},
		{"own zone is full", "zone of a", func(s *Selector) { s.Started("a", 1); s.Started("a", 1) }, 0, 0, 0},
		{"own zone is slow", "zone of a", func(s *Selector) {
			finishRequests(s, epoch, "a", Completed, slow, 5)
			finishRequests(s, epoch, "b", Completed, fast, 5)
		}, 0, 0, 0},
		{"owner in own zone", "here", func(s *Selector) { s.Update(Server{Name: "a", OwnerZone: "here", Incarnation: 1, Slots: 2}) }, 0, 1, 1},
		{"restart cleans the state", "", func(s *Selector) {
			finishRequests(s, epoch, "a", Failed, 0, 9)
			s.Update(Server{Name: "a", Incarnation: 2, Slots: 2})
		}, 0, 0.45, 0.55},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newTestSelector(tt.zone, "a", "b")
			tt.setup(s)
			got := choiceShare(s, epoch.Add(tt.age), "a", "a", "b")
			require.GreaterOrEqual(t, got, tt.minShare)
			require.LessOrEqual(t, got, tt.maxShare)
		})
	}
}

// TestSlowNearServer guards against a host that keeps sending requests to a server
// in its zone that has become slow. All servers answer in 20 ms; then requests to
// the near one are cancelled after 70 ms without an answer, because hedges were
// answered. Two such requests may be a pause, a third one 300 ms later is not.
func TestSlowNearServer(t *testing.T) {
	const usual, slow = 20 * time.Millisecond, 70 * time.Millisecond
	now := time.Unix(1000, 0)
	r := rand.New(rand.NewPCG(1, 1))
	names := []string{"near", "far", "other"}
	for _, history := range []int{0, 20} {
		s := New("z")
		for _, name := range names {
			s.Update(Server{Name: name, Zone: map[bool]string{true: "z", false: "y"}[name == "near"], Slots: 1})
		}
		s.ExtraLatency = func(name string) time.Duration {
			if name == "near" {
				return 0
			}
			return 8 * time.Millisecond
		}
		finish := func(name string, status Status, latency time.Duration) {
			s.Started(name, 0)
			now = now.Add(latency)
			s.Finished(now, name, 0, status, latency)
		}
		finish("far", Completed, usual)
		for range history {
			finish("near", Completed, usual)
		}
		chosen, _ := s.Choose(now, r, names, nil)
		require.Equal(t, "near", chosen, "history %d", history)
		for range 2 {
			finish("near", Cancelled, slow)
			chosen, _ = s.Choose(now, r, names, nil)
			require.Equal(t, "near", chosen, "history %d", history)
		}
		now = now.Add(300 * time.Millisecond)
		finish("near", Cancelled, slow)
		chosen, _ = s.Choose(now, r, names, nil)
		require.NotEqual(t, "near", chosen, "history %d", history)
	}
}

// TestRamp guards against too many requests to a cold server: its share must grow
// linearly over 10 s.
func TestRamp(t *testing.T) {
	s := newTestSelector("", "b")
	s.Update(Server{Name: "a", Incarnation: 1, Slots: 2, Started: epoch})
	for age := time.Duration(0); age <= 12*time.Second; age += 2 * time.Second {
		want := min(age.Seconds()/rampDuration.Seconds(), 1) / 2
		require.InDelta(t, want, choiceShare(s, epoch.Add(age), "a", "a", "b"), 0.03, age)
	}
	require.Equal(t, 1.0, choiceShare(s, epoch, "a", "a"), "a cold server is used if there is nothing else")
}

// BenchmarkChoose measures the choice of one of 3 replicas for each shard of a
// query.
func BenchmarkChoose(b *testing.B) {
	// Unlike in the other tests, the time has a monotonic clock reading, as in
	// production.
	epoch := time.Now()
	for _, width := range []int{10, 34, 100, 340} {
		b.Run(fmt.Sprint(width), func(b *testing.B) {
			s := New("z0")
			shards := make([][]string, width)
			for i := range 3 * width {
				name := fmt.Sprintf("server-%d", i)
				s.Update(Server{Name: name, Zone: fmt.Sprintf("z%d", i%3), Incarnation: 1, Slots: 3})
				finishRequests(s, epoch, name, Completed, time.Duration(i)*time.Microsecond, 1)
				shards[i/3] = append(shards[i/3], name)
			}
			r := rand.New(rand.NewPCG(1, 2))
			now := epoch.Add(time.Second)
			b.ReportAllocs()
			for b.Loop() {
				for _, candidates := range shards {
					if _, ok := s.Choose(now, r, candidates, nil); !ok {
						b.Fatal("nothing chosen")
					}
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(width), "ns/choice")
		})
	}
}
