package pacer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1000, 0)

// TestScripts guards against limits that are learned, changed or ended wrongly. Each
// command happens at a time after the start; "send" sends as many requests as there is
// room for.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		p := &Pacer{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "new" {
				p = &Pacer{}
				return ""
			}
			var atText string
			d.ScanArgs(t, "at", &atText)
			after, err := time.ParseDuration(atText)
			require.NoError(t, err)
			return runCommand(t, p, d, epoch.Add(after))
		})
	})
}

func runCommand(t *testing.T, p *Pacer, d *datadriven.TestData, now time.Time) string {
	o := Observation{Server: "s", Incarnation: 1, At: now}
	if d.HasArg("rate") {
		d.ScanArgs(t, "rate", &o.Rate)
	}
	if d.HasArg("incarnation") {
		d.ScanArgs(t, "incarnation", &o.Incarnation)
	}
	if d.HasArg("age") {
		var text string
		d.ScanArgs(t, "age", &text)
		age, err := time.ParseDuration(text)
		require.NoError(t, err)
		o.At = now.Add(-age)
	}
	switch d.Cmd {
	case "move":
		var position Position
		d.ScanArgs(t, "rank", &position.Rank)
		d.ScanArgs(t, "count", &position.Count)
		p.Move(now, position)
		return ""
	case "answer", "learn":
		c, ok := Change{}, false
		if d.Cmd == "learn" {
			c, ok = p.Learn(now, o)
		} else {
			c, ok = p.Observe(o)
		}
		if !ok {
			return "no change\n"
		}
		return fmt.Sprintf("limit %v before %v, share %.3g a second, burst %.3g\n", c.After, c.Before, c.Share.Rate, c.Share.Burst)
	case "send":
		most, sent := 100, 0
		for ; sent < most && p.HasRoom(now, "s"); sent++ {
			p.Take(now, "s")
		}
		return fmt.Sprintf("sent %d\n", sent)
	case "next":
		at, ok := p.NextRoom(now, "s")
		if !ok {
			return "no share\n"
		}
		p.Promise("s", at)
		return fmt.Sprintf("in %s\n", at.Sub(now).Round(time.Millisecond))
	case "unreported":
		var out strings.Builder
		for _, o := range p.Unreported() {
			fmt.Fprintf(&out, "%s %v\n", o.Server, o.Rate)
		}
		return out.String()
	case "leader":
		p.ForgetShared()
		return ""
	}
	t.Fatalf("unknown command %s", d.Cmd)
	return ""
}

// window and tolerance state what a server that names a limit has to be sent at most: in
// any window the limit times tolerance, and slack requests more.
const (
	window    = 4 * time.Second
	tolerance = 1.5
	slack     = 5
)

// simulatedHost is one host of simulateFleet.
type simulatedHost struct {
	pacer Pacer
	// downUntil is when the host runs again. It has heard of the first changes of the
	// number of hosts.
	downUntil time.Duration
	heard     int
}

// simulatedFleet is a fleet whose hosts all want to send to one server that names a
// limit.
type simulatedFleet struct {
	rand  *rand.Rand
	limit float64
	// burst is the Pacer.BurstTime of the hosts.
	burst time.Duration
	// extra is the Pacer.ExtraBurst of the hosts.
	extra float64
	// lag is the longest time until a host hears of the limit or of a change of the
	// number of hosts.
	lag   time.Duration
	hosts []*simulatedHost
	// changes are the times at which the number of hosts changes.
	changes  []time.Duration
	arrivals []time.Duration
}

// simulateFleet returns the times of the arrivals at the server. Demand, in requests a
// second of all hosts, comes and goes. Hosts are stopped and started again if restarts
// is set.
func simulateFleet(r *rand.Rand, hosts int, limit, demand float64, length, lag time.Duration, restarts bool) []time.Duration {
	return (&simulatedFleet{}).simulate(r, hosts, limit, demand, length, lag, restarts)
}

// simulate is simulateFleet for a fleet that has its burst time.
func (f *simulatedFleet) simulate(r *rand.Rand, hosts int, limit, demand float64, length, lag time.Duration, restarts bool) []time.Duration {
	f.rand, f.limit, f.lag = r, limit, lag
	for i := range hosts {
		h := &simulatedHost{pacer: Pacer{BurstTime: f.burst, ExtraBurst: f.extra}}
		h.pacer.Move(epoch, Position{Rank: i, Count: hosts})
		h.pacer.Observe(Observation{Server: "s", Incarnation: 1, Rate: limit, At: epoch.Add(f.delay())})
		f.hosts = append(f.hosts, h)
	}
	const step = 20 * time.Millisecond
	busy := true
	for now := lag; now < length; now += step {
		if r.IntN(100) == 0 {
			busy = !busy
		}
		if restarts && r.IntN(150) == 0 {
			f.restart(now)
		}
		f.spreadChanges(now)
		for _, h := range f.hosts {
			if !busy || h.downUntil > now {
				continue
			}
			for n := demand / float64(hosts) * step.Seconds(); n > r.Float64(); n-- {
				f.send(now, h)
			}
		}
	}
	return f.arrivals
}

// delay returns a random time up to the lag.
func (f *simulatedFleet) delay() time.Duration { return time.Duration(f.rand.Int64N(int64(f.lag) + 1)) }

// restart stops one host and starts it again up to 3 s later.
func (f *simulatedFleet) restart(now time.Duration) {
	h := f.hosts[f.rand.IntN(len(f.hosts))]
	if h.downUntil > now {
		return
	}
	h.downUntil = now + time.Duration(f.rand.Int64N(int64(3*time.Second)))
	h.pacer = Pacer{BurstTime: f.burst, ExtraBurst: f.extra}
	f.changes = append(f.changes, now, h.downUntil)
	slices.Sort(f.changes)
}

// spreadChanges tells hosts their position after a change, at different times. A host
// that starts hears of it and of the limit at once.
func (f *simulatedFleet) spreadChanges(now time.Duration) {
	due, _ := slices.BinarySearch(f.changes, now+1)
	at := epoch.Add(now)
	count := 0
	for _, h := range f.hosts {
		if h.downUntil <= now {
			count++
		}
	}
	rank := 0
	for _, h := range f.hosts {
		if h.downUntil > now {
			continue
		}
		started := h.pacer.Position().Count == 0
		if started || h.heard < due && now >= f.changes[due-1]+f.delay() {
			h.pacer.Move(at, Position{Rank: rank, Count: count})
			h.pacer.Learn(at, Observation{Server: "s", Incarnation: 1, Rate: f.limit, At: at})
			h.heard = due
		}
		rank++
	}
}

// send sends one request of a host if there is room.
func (f *simulatedFleet) send(now time.Duration, h *simulatedHost) {
	at := epoch.Add(now)
	if h.pacer.Limit("s") > 0 && h.pacer.HasRoom(at, "s") {
		h.pacer.Take(at, "s")
		f.arrivals = append(f.arrivals, now)
	}
}

// mostInWindow returns the largest number of arrivals in any window.
func mostInWindow(arrivals []time.Duration) int {
	most := 0
	for i, from := range arrivals {
		end, _ := slices.BinarySearch(arrivals, from+window)
		most = max(most, end-i)
	}
	return most
}

// TestFleetKeepsLimit guards against a server that gets more requests than the limit that
// it names, summed over all hosts: with few and with hundreds of hosts, with limits below
// one request a second for each host, after pauses of the demand, and while hosts are
// stopped, started and hear of each other late.
func TestFleetKeepsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.SampledFrom([]int{1, 3, 8, 54, 191}).Draw(t, "hosts")
		limit := rapid.SampledFrom([]float64{0.01, 0.3, 1, 3.3, 13, 27.7, 120}).Draw(t, "limit")
		lag := time.Duration(rapid.IntRange(0, 2000).Draw(t, "lag")) * time.Millisecond
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		arrivals := simulateFleet(r, hosts, limit, 20*limit+float64(hosts), 20*time.Second, lag, rapid.Bool().Draw(t, "restarts"))
		require.LessOrEqual(t, mostInWindow(arrivals), int(tolerance*limit*window.Seconds()+slack))
	})
}

// TestFleetUsesLimit guards against hosts that leave most of a limit unused although they
// have requests for it.
func TestFleetUsesLimit(t *testing.T) {
	for _, hosts := range []int{1, 8, 54, 191} {
		for _, limit := range []float64{3.3, 13, 27.7, 120} {
			r := rand.New(rand.NewPCG(1, uint64(hosts)))
			arrivals := simulateFleet(r, hosts, limit, 20*limit+float64(hosts), 60*time.Second, 0, false)
			// Demand pauses for half of the time on average.
			require.Greater(t, float64(mostInWindow(arrivals)), 0.7*limit*window.Seconds(), "%d hosts, limit %v", hosts, limit)
		}
	}
}

// TestSharesAddUp guards against shares that exceed the limit together, or that leave out
// every host.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 300).Draw(t, "count")
		limit := rapid.Float64Range(1e-6, 1e6).Draw(t, "limit")
		server := rapid.String().Draw(t, "server")
		var rate, burst float64
		for rank := range count {
			s := Position{Rank: rank, Count: count}.Share(limit, server)
			rate += s.Rate
			burst += s.Burst
			require.True(t, s.Burst == 0 || s.Burst >= 1, "a host with a share can never send")
		}
		require.InEpsilon(t, rateFraction*limit, rate, 1e-6)
		require.InEpsilon(t, max(1, limit*burstTime.Seconds()), burst, 1e-6)
	})
}
