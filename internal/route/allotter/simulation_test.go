package allotter

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gentianpond/internal/route/pacer"
)

const (
	simStep  = 10 * time.Millisecond
	simZones = 4
	hotName  = "hot"
	// hotFactor is the load of the account in multiples of its limit: 7.5 times its usual
	// rate, with a limit of 1.6 times that.
	hotFactor = 7.5 / 1.6
)

var simBounds = Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// simHost is an entry host of a simulation.
type simHost struct {
	number   int
	name     string
	address  netip.AddrPort
	allotter *Allotter
	// downUntil, frozenUntil and cutUntil are until when the host is down, frozen, or cut
	// off from the control hosts; apartUntil is until when messages between it and hosts of
	// another side are lost, and lossyUntil until when half of the replies to it are.
	downUntil, frozenUntil, cutUntil, apartUntil, lossyUntil time.Time
	wasDown                                                  bool
	side                                                     int
	// watching is true while a watch request is held since heldSince. delayed holds a reply
	// that arrived while the host was frozen.
	watching  bool
	heldSince time.Time
	contactAt time.Time
	delayed   func()
	version   int
	lending   uint64
	pingAt    time.Time
}

func (h *simHost) runs(now time.Time) bool {
	return !now.Before(h.downUntil) && !now.Before(h.frozenUntil)
}

// simulation is a fleet of hosts with the leader of the control hosts. Its load is one
// account that calls all hosts.
type simulation struct {
	now time.Time
	// length is the length of a step.
	length time.Duration
	rand   *rand.Rand
	hosts  []*simHost
	hold   time.Duration
	limits []Limit
	// adoptedAt is when all hosts had the last version of the limits.
	adoptedAt time.Time
	// leaderFrom is when the control hosts have a leader again.
	leaderFrom time.Time
	roster     *Roster
	lending    Lending
	number     uint64
	// known is false while the leader does not tell who lends. claimed is then sent to hosts
	// that know no lender.
	known     bool
	claimed   []Lender
	nextCheck time.Time
	granted   []time.Time
	arrivals  float64
	asked     int
	refused   int
	messages  int
}

func newSimulation(seed uint64, hosts int, limit Limit) *simulation {
	s := &simulation{now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(seed, 1)), limits: []Limit{limit}, length: simStep}
	s.hold = min(max(700*time.Millisecond, time.Duration(hosts)*7*time.Millisecond), 2*time.Second)
	for i := range hosts {
		h := &simHost{number: i, name: fmt.Sprint("h", i), address: netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:1", i/200, i%200+1))}
		s.start(h)
		s.hosts = append(s.hosts, h)
	}
	s.roster = NewRoster(s.clock())
	return s
}

func (s *simulation) clock() time.Duration { return s.now.Sub(time.Unix(0, 0)) }

// start starts the process of a host.
func (s *simulation) start(h *simHost) {
	h.allotter = New(h.address, simBounds)
	h.watching, h.contactAt, h.delayed, h.version, h.lending = false, time.Time{}, nil, 0, 0
}

// step advances the time and handles the messages between the hosts and the leader.
func (s *simulation) step() {
	s.now = s.now.Add(s.length)
	leads := !s.now.Before(s.leaderFrom)
	if leads && s.roster == nil {
		s.roster, s.known, s.claimed = NewRoster(s.clock()), false, nil
	}
	check := leads && !s.now.Before(s.nextCheck)
	if check {
		s.nextCheck = s.now.Add(max(40*time.Millisecond, time.Duration(len(s.hosts))*time.Millisecond))
		l, ok := s.roster.Lending(s.clock())
		s.known, s.claimed = ok, s.roster.Claimed(s.clock())
		if ok && fmt.Sprint(l) != fmt.Sprint(s.lending) {
			s.lending = l
			s.number++
		}
	}
	for _, h := range s.hosts {
		down := s.now.Before(h.downUntil)
		if h.wasDown && !down {
			s.start(h)
		}
		h.wasDown = down
		if h.runs(s.now) && h.delayed != nil {
			h.delayed()
			h.delayed = nil
		}
		if h.runs(s.now) {
			h.allotter.Contact(s.now, h.contactAt)
			s.ping(h)
		}
		s.watch(h, leads, check)
	}
	if s.adoptedAt.IsZero() && !slices.ContainsFunc(s.hosts, func(h *simHost) bool { return h.version < len(s.limits) }) {
		s.adoptedAt = s.now
	}
}

// ping makes a host that is out of touch tell the lenders of it.
func (s *simulation) ping(h *simHost) {
	if h.allotter.Mode(s.now) == InTouch || s.now.Before(h.pingAt) {
		return
	}
	h.pingAt = s.now.Add(PingInterval)
	for _, l := range h.allotter.Lending().Lenders {
		if to := s.hostAt(l.Address); to != h && s.reaches(h, to) {
			to.allotter.Heard(s.now, h.address.Addr())
			if !s.now.Before(h.lossyUntil) {
				h.allotter.Answered(s.now, l.Address)
			}
		}
	}
}

// watch advances the watch request of a host.
func (s *simulation) watch(h *simHost, leads, check bool) {
	switch {
	case !leads || s.now.Before(h.cutUntil) || s.now.Before(h.downUntil):
		if h.watching && leads && check && s.now.Sub(h.heldSince) >= s.hold {
			// The leader replies, and the reply is lost.
			s.roster.Touch(s.clock(), h.name)
			h.watching = false
		}
		if !leads {
			h.watching = false
		}
	case !h.watching:
		if h.runs(s.now) {
			h.watching, h.heldSince = true, s.now
			s.roster.Report(s.clock(), s.report(h))
		}
	case check && (s.now.Sub(h.heldSince) >= s.hold || h.version < len(s.limits) || s.known && h.lending != s.number || !s.known && len(s.claimed) > 0 && !h.informed()):
		s.reply(h)
	}
}

// informed reports whether a host knows who lends.
func (h *simHost) informed() bool { return h.allotter.KnowsLending() }

func (s *simulation) report(h *simHost) HostReport {
	r := HostReport{Name: h.name, Zone: fmt.Sprint(h.number % simZones), Address: h.address, Position: -1, Informed: h.informed()}
	if !r.Informed {
		return r
	}
	for _, l := range h.allotter.Lending().Lenders {
		if l.Address == h.address {
			r.Position, r.Fleet = l.Position, h.allotter.lending.Hosts+h.allotter.lending.Absent
		}
	}
	return r
}

// reply sends the leader's reply to a host, which gets it once it is not frozen.
func (s *simulation) reply(h *simHost) {
	s.roster.Touch(s.clock(), h.name)
	at, lending, number, known, version := s.now, s.lending, s.number, s.known, len(s.limits)
	claimed := s.claimed
	limit := s.limits[version-1]
	count := len(s.hosts) - lending.Absent
	h.watching = false
	receive := func() {
		h.allotter.Contact(s.now, at)
		h.contactAt = at
		if h.version != version {
			h.allotter.SetLimits(s.now, map[string]Limit{hotName: limit})
			h.version = version
		}
		h.allotter.Move(s.now, pacer.Position{Rank: min(h.number, count-1), Count: count})
		switch {
		case known:
			h.allotter.SetLending(s.now, lending)
			h.lending = number
		case !h.informed():
			h.lending = 0
			if len(claimed) > 0 {
				h.allotter.SetLending(s.now, Lending{Known: true, Lenders: claimed})
			}
		}
	}
	if h.runs(s.now) {
		receive()
	} else {
		h.delayed = receive
	}
}

// reaches reports whether a message from one host is answered by another.
func (s *simulation) reaches(from, to *simHost) bool {
	apart := (s.now.Before(from.apartUntil) || s.now.Before(to.apartUntil)) && from.side != to.side
	return to.runs(s.now) && !apart
}

func (s *simulation) hostAt(address netip.AddrPort) *simHost {
	i := slices.IndexFunc(s.hosts, func(h *simHost) bool { return h.address == address })
	return s.hosts[i]
}

// send sends a request of the account to a host.
func (s *simulation) send(h *simHost) {
	if !h.runs(s.now) || h.version == 0 {
		return
	}
	s.asked++
	if s.take(h) {
		s.granted = append(s.granted, s.now)
	} else {
		s.refused++
	}
}

func (s *simulation) take(h *simHost) bool {
	h.allotter.Contact(s.now, h.contactAt)
	if _, quiet := h.allotter.Quiet(s.now, hotName); quiet {
		return false
	}
	for _, step := range h.allotter.Steps(s.now, hotName) {
		verdict, wait := NotLender, time.Duration(0)
		if step.Here {
			verdict, _ = h.allotter.Lend(s.now, hotName, step.Backup, false)
		} else {
			to := s.hostAt(step.Address)
			h.allotter.Asking(s.now, step.Address)
			ok := s.reaches(h, to)
			if ok {
				to.allotter.Contact(s.now, to.contactAt)
				if h.allotter.Mode(s.now) != InTouch {
					to.allotter.Heard(s.now, h.address.Addr())
				}
				verdict, wait = to.allotter.Lend(s.now, hotName, step.Backup, false)
			}
			if !ok || s.now.Before(h.lossyUntil) && s.rand.IntN(2) == 0 {
				h.allotter.Failed(s.now, step.Address)
				continue
			}
			h.allotter.Answered(s.now, step.Address)
			s.messages++
			if verdict == Refused && !step.Backup {
				h.allotter.Refused(s.now, hotName, wait)
			}
		}
		if verdict == Granted || verdict == Refused && !step.Backup {
			return verdict == Granted
		}
	}
	_, ok := h.allotter.Take(s.now, hotName)
	return ok
}

// run runs for a time with requests at a rate at random hosts.
func (s *simulation) run(length time.Duration, rate float64) {
	for end := s.now.Add(length); s.now.Before(end); {
		s.step()
		for s.arrivals += rate * s.length.Seconds(); s.arrivals > 0; s.arrivals -= s.rand.ExpFloat64() {
			s.send(s.hosts[s.rand.IntN(len(s.hosts))])
		}
	}
}

// pulse runs for a time with the load of a hot account that pauses now and then, so that its
// buckets fill.
func (s *simulation) pulse(length time.Duration, rate float64) {
	const period, idle = 8 * time.Second, 2 * time.Second
	for end := s.now.Add(length); s.now.Before(end); {
		load := 0.0
		if s.clock()%period >= idle {
			load = hotFactor * rate
		}
		s.run(s.length, load)
	}
}

// maxInWindow returns the most requests that were granted in a window after a time.
func (s *simulation) maxInWindow(after time.Time) (count int, at time.Time) {
	first := 0
	for i, t := range s.granted {
		if t.Before(after) {
			first = i + 1
			continue
		}
		for s.granted[first].Before(t.Add(-simBounds.Window)) || s.granted[first].Before(after) {
			first++
		}
		if i-first+1 > count {
			count, at = i-first+1, t
		}
	}
	return count, at
}

func allowed(l Limit) float64 {
	return (l.Rate*simBounds.Window.Seconds()+l.Burst)*(1+simBounds.Overage) + simBounds.Slack
}

// fault is a fault of a schedule: from At, on some hosts, for a time.
type fault struct {
	at, length time.Duration
	kind       string
	group      string
	count      int
}

// faultKinds are the faults of a schedule. A pair cuts the lender off from the control hosts
// while it serves others.
var faultKinds = []string{"freeze", "down", "cut", "apart", "lossy", "leader"}

func drawFaults(t *rapid.T, length time.Duration) []fault {
	var list []fault
	for range rapid.IntRange(1, 8).Draw(t, "faults") {
		list = append(list, fault{
			at:     time.Duration(rapid.IntRange(0, int(length/time.Millisecond)).Draw(t, "at")) * time.Millisecond,
			length: time.Duration(rapid.IntRange(50, 9000).Draw(t, "length")) * time.Millisecond,
			kind:   rapid.SampledFrom(faultKinds).Draw(t, "kind"),
			group:  rapid.SampledFrom([]string{"lender", "backup", "zone", "some", "most"}).Draw(t, "group"),
			count:  rapid.IntRange(1, 4).Draw(t, "count"),
		})
	}
	slices.SortFunc(list, func(a, b fault) int { return int(a.at - b.at) })
	return list
}

// strike begins a fault.
func (s *simulation) strike(f fault) {
	if f.kind == "leader" {
		s.leaderFrom, s.roster = s.now.Add(f.length/2), nil
		return
	}
	until := s.now.Add(f.length)
	var g granters
	for _, h := range s.hosts {
		if known, ok := h.allotter.granters[hotName]; ok && known.lender.IsValid() {
			g = known
		}
	}
	for _, h := range s.hosts {
		switch {
		case f.group == "lender" && h.address != g.lender,
			f.group == "backup" && h.address != g.backup,
			f.group == "zone" && h.number%simZones != f.count-1,
			f.group == "some" && s.rand.IntN(len(s.hosts)) >= f.count,
			f.group == "most" && s.rand.IntN(5) >= f.count:
			continue
		}
		switch f.kind {
		case "freeze":
			h.frozenUntil = until
		case "down":
			h.downUntil = until
		case "cut":
			h.cutUntil = until
		case "apart":
			h.apartUntil, h.side = until, f.count
		case "lossy":
			h.lossyUntil = until
		}
	}
}

// TestBound guards against an account that runs more than the platform allows in any window
// while hosts, links and leaders fail, or while its limit changes.
func TestBound(t *testing.T) {
	worst := 0.0
	rapid.Check(t, func(t *rapid.T) {
		const length = 25 * time.Second
		rate := rapid.SampledFrom([]float64{5, 28, 63}).Draw(t, "rate")
		hosts := rapid.SampledFrom([]int{54, 200}).Draw(t, "hosts")
		limit := Limit{Rate: rate, Burst: rate}
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), hosts, limit)
		s.run(6*time.Second, rate)
		begin := s.now
		lowerAt := time.Duration(rapid.IntRange(0, 60).Draw(t, "lower")) * time.Second
		load := func(length time.Duration) { s.run(length, hotFactor*rate) }
		if rapid.Bool().Draw(t, "pulses") {
			load = func(length time.Duration) { s.pulse(length, rate) }
		}
		for _, f := range drawFaults(t, length) {
			load(f.at - s.now.Sub(begin))
			s.strike(f)
			if lowerAt < f.at && len(s.limits) == 1 {
				s.limits = append(s.limits, Limit{Rate: rate / 2, Burst: rate / 4})
				s.adoptedAt = time.Time{}
			}
		}
		load(length - s.now.Sub(begin))
		n, at := s.maxInWindow(time.Time{})
		worst = max(worst, float64(n)/allowed(limit))
		if float64(n) > allowed(limit) {
			t.Fatalf("%d requests in the window before %s, %.0f allowed", n, at.Sub(begin), allowed(limit))
		}
		if len(s.limits) > 1 && !s.adoptedAt.IsZero() {
			n, at := s.maxInWindow(s.adoptedAt.Add(simBounds.Window))
			if float64(n) > allowed(s.limits[1]) {
				t.Fatalf("%d requests in the window before %s, %.0f allowed after the change", n, at.Sub(begin), allowed(s.limits[1]))
			}
		}
	})
	t.Logf("worst window: %.3f of what is allowed", worst)
}

// TestCutOffFleet guards against hosts that use their own shares while the lenders grant the
// whole limit as well. Random schedules seldom keep most hosts cut off for long enough.
func TestCutOffFleet(t *testing.T) {
	const most = "most"
	schedules := map[string][]fault{
		"cut off":                          {{at: time.Second, length: 20 * time.Second, kind: "cut", group: most, count: 3}},
		"cut off briefly":                  {{at: time.Second, length: 8 * time.Second, kind: "cut", group: most, count: 4}},
		"cut off before the leader ends":   {{at: time.Second, length: 25 * time.Second, kind: "cut", group: most, count: 3}, {at: 1200 * time.Millisecond, length: 2 * time.Second, kind: "leader"}},
		"cut off for longer than a minute": {{at: time.Second, length: 70 * time.Second, kind: "cut", group: most, count: 3}},
		"lender cut off with most hosts":   {{at: time.Second, length: 20 * time.Second, kind: "cut", group: most, count: 4}, {at: time.Second, length: 20 * time.Second, kind: "cut", group: "lender"}},
	}
	var restarts []fault
	for n := range 20 {
		restarts = append(restarts, fault{at: time.Duration(n+1) * time.Second, length: 200 * time.Millisecond, kind: "down", group: "lender"})
	}
	schedules["lender restarts again and again"] = restarts
	for name, faults := range schedules {
		for _, rate := range []float64{5, 28, 63} {
			t.Run(fmt.Sprint(name, "/", rate), func(t *testing.T) {
				// The load pauses at other times of the schedule.
				for offset := time.Duration(0); offset < 8*time.Second; offset += time.Second {
					limit := Limit{Rate: rate, Burst: rate}
					s := newSimulation(4, 54, limit)
					s.run(6*time.Second+offset, rate)
					begin := s.now
					for _, f := range faults {
						s.pulse(f.at-s.now.Sub(begin), rate)
						s.strike(f)
					}
					s.pulse(faults[0].length+10*time.Second, rate)
					n, at := s.maxInWindow(time.Time{})
					t.Logf("offset %s: %.3f of what is allowed", offset, float64(n)/allowed(limit))
					require.LessOrEqual(t, float64(n), allowed(limit), "window before %s", at.Sub(begin))
				}
			})
		}
	}
}

// TestUse guards against an allowance that cannot be used up in calm.
func TestUse(t *testing.T) {
	for _, rate := range []float64{5, 28, 63} {
		for _, hosts := range []int{54, 200} {
			s := newSimulation(1, hosts, Limit{Rate: rate, Burst: rate})
			s.run(6*time.Second, rate)
			s.granted = nil
			s.run(30*time.Second, 1.5*rate)
			require.GreaterOrEqual(t, float64(len(s.granted)), 0.95*rate*30, "rate %v hosts %d", rate, hosts)
		}
	}
}

// TestQuiet guards against a lender that gets a message for each request of an account far
// over its limit, and against a limit that is not used up because hosts ask too rarely.
func TestQuiet(t *testing.T) {
	for _, hosts := range []int{4, 54} {
		const rate = 96
		s := newSimulation(3, hosts, Limit{Rate: rate, Burst: rate})
		s.run(10*time.Second, hotFactor*rate)
		s.granted, s.asked, s.messages = nil, 0, 0
		s.run(10*time.Second, hotFactor*rate)
		require.GreaterOrEqual(t, float64(len(s.granted)), 0.98*rate*10)
		require.Less(t, float64(s.messages), 0.65*float64(s.asked))
		t.Logf("%d hosts: %d requests, %d messages, %d granted", hosts, s.asked, s.messages, len(s.granted))
	}
}

// TestWithin guards against an account within its limit that is refused because its requests
// come at random times to many hosts.
func TestWithin(t *testing.T) {
	for _, rate := range []float64{5, 28, 63} {
		s := newSimulation(2, 54, Limit{Rate: rate, Burst: rate})
		s.length = 5 * simStep
		s.run(10*time.Second, 0)
		s.run(time.Duration(20000/rate)*time.Second, 0.6*rate)
		require.Greater(t, s.asked, 10000)
		require.Less(t, s.refused, s.asked/1000, "rate %v", rate)
		t.Logf("rate %v: %d of %d refused", rate, s.refused, s.asked)
	}
}

// TestRestartOfAll guards against accounts within their limits that are refused for seconds
// after all hosts and control hosts have started again.
func TestRestartOfAll(t *testing.T) {
	s := newSimulation(3, 54, Limit{Rate: 28, Burst: 28})
	s.run(8*time.Second, 0.6*28)
	for _, h := range s.hosts {
		h.downUntil = s.now.Add(time.Second)
	}
	s.leaderFrom, s.roster = s.now.Add(1400*time.Millisecond), nil
	s.run(time.Second, 0)
	s.asked, s.refused = 0, 0
	s.run(4*time.Second, 0.6*28)
	require.Greater(t, s.asked, 30)
	require.Less(t, float64(s.refused), 0.03*float64(s.asked))
}

// TestOutOfTouch guards against accounts within their limits that are refused at hosts which
// have lost the control hosts and reach the other hosts.
func TestOutOfTouch(t *testing.T) {
	for _, rate := range []float64{5, 63} {
		s := newSimulation(4, 54, Limit{Rate: rate, Burst: rate})
		s.run(8*time.Second, 0.6*rate)
		for _, h := range s.hosts {
			if h.number%3 == 0 {
				h.cutUntil = s.now.Add(10 * time.Second)
			}
		}
		s.asked, s.refused = 0, 0
		s.run(10*time.Second, 0.6*rate)
		t.Logf("rate %v: %d of %d refused", rate, s.refused, s.asked)
		require.Less(t, float64(s.refused), 0.1*float64(s.asked), "rate %v", rate)
	}
}
