package quarantiner

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"gentianpond/internal/value/container"
)

const (
	// guardSuspicions and guardReports bound the table of one host, which holds only what
	// the host observed itself.
	guardSuspicions = 1024
	guardReports    = 1024
	// reportInterval is the least time between two reports of a completion of the same
	// request: the time until the control hosts' list shows the first one.
	reportInterval = 500 * time.Millisecond
	// provenFor is how long a completed run counts as a proof for the next crash.
	provenFor = time.Minute
	// settleTime is the time from a crash in an isolated run to the next such run. Servers
	// that end for the same reason do so at about the same time.
	settleTime = 200 * time.Millisecond
	// maxCompletions bounds the completed runs that a host remembers.
	maxCompletions = 8192
)

// Step is what a host does with a request next.
type Step int

// The steps.
const (
	// StepRun runs the request like any other.
	StepRun Step = iota // run
	// StepTry runs the request on one server to find out whether it crashes it, and goes
	// on only after it has completed there.
	StepTry // try
	// StepWait decides again a little later.
	StepWait // wait
	// StepRefuse lets the request run on no server.
	StepRefuse // refuse
)

//go:generate stringer -type=Step -linecomment

// Guard decides on one entry host which requests on routes may run. It handles a request
// that crashes each server which runs it and is sent again to any host: the host follows
// what the control hosts gathered from all hosts, and its own observations where those
// have not reached them.
//
// A request that is suspected runs on one server at a time (StepTry). After it has crashed
// a second one that way, it waits until the service can bear the loss of another server
// and other servers would have ended too, had there been a common cause.
// The zero value is ready to use. It is not safe for concurrent use.
type Guard struct {
	// own holds what this host observed, nil before the first crash.
	own *Table
	// shared holds the suspicions that the control hosts sent.
	shared map[uint64]Suspicion
	// trials is the number of isolated runs in flight by fingerprint.
	trials map[uint64]int
	// completions holds the time of the last completed run by the hash of fingerprint and
	// service, and completionOrder its keys, the oldest first.
	completions     map[uint64]time.Time
	completionOrder container.Ring[uint64]
	// disprovedAt holds the time at which this host last reported a completion, by
	// fingerprint.
	disprovedAt map[uint64]time.Time
	// lastReport is the number of the last observation.
	lastReport uint64
}

// Suspicion returns the suspicion against a fingerprint, the stricter of those of this
// host and of the control hosts. Its state is StateClear if there is none.
func (g *Guard) Suspicion(now time.Time, fingerprint uint64) Suspicion {
	best := Suspicion{Fingerprint: fingerprint}
	if g.own != nil {
		g.own.Advance(now)
		if s := g.own.suspicions[fingerprint]; s != nil {
			best = *s
		}
	}
	if s, ok := g.shared[fingerprint]; ok {
		s = s.at(now)
		if !g.disproved(s) && s.stricter(best) {
			best = s
		}
	}
	return best
}

// Shared reports whether the control hosts sent a suspicion against a fingerprint.
func (g *Guard) Shared(fingerprint uint64) bool {
	_, ok := g.shared[fingerprint]
	return ok
}

// at returns the suspicion as it is at a time: a quarantine that has expired is a
// suspicion again.
func (s Suspicion) at(now time.Time) Suspicion {
	switch {
	case !s.expired(now):
	case s.State == StateQuarantined && now.Before(s.Expiry.Add(maxQuarantine)):
		s.State, s.Rounds, s.Expiry = StateSuspect, routeRounds-1, s.Expiry.Add(maxQuarantine)
	default:
		s.State = StateClear
	}
	return s
}

func (s Suspicion) stricter(other Suspicion) bool {
	if s.State != other.State {
		return s.State > other.State
	}
	return s.Rounds > other.Rounds
}

// disproved reports whether the request completed here on a server of the service after
// the last crash. A pinned suspicion cannot be disproved.
func (g *Guard) disproved(s Suspicion) bool {
	return s.State != StatePinned && g.completions[completionKey(s.Fingerprint, s.Archive)].After(s.LastCrash)
}

// Next decides what to do with a request now. The function spare reports whether a service
// can bear the loss of one of its servers.
func (g *Guard) Next(now time.Time, fingerprint uint64, spare func(service string) bool) (Step, Suspicion) {
	s := g.Suspicion(now, fingerprint)
	switch {
	case s.State == StateClear:
		return StepRun, s
	case s.State != StateSuspect:
		return StepRefuse, s
	case g.trials[fingerprint] > 0, s.Rounds > 0 && (!spare(s.Archive) || now.Sub(s.LastCrash) < settleTime):
		return StepWait, s
	}
	return StepTry, s
}

// Begin and End count the isolated runs of a request that are in flight.
func (g *Guard) Begin(fingerprint uint64) {
	if g.trials == nil {
		g.trials = map[uint64]int{}
	}
	g.trials[fingerprint]++
}

// End ends what Begin began.
func (g *Guard) End(fingerprint uint64) {
	if g.trials[fingerprint] <= 1 {
		delete(g.trials, fingerprint)
		return
	}
	g.trials[fingerprint]--
}

// Crashed records that a server ended while it ran a request of this host. It returns the
// observation for the control hosts; Alone and Round of o are those of the run.
func (g *Guard) Crashed(now time.Time, o Observation) Observation {
	o.Crashed = true
	at, ok := g.completions[completionKey(o.Fingerprint, o.Archive)]
	o.Proven = ok && now.Sub(at) < provenFor
	return g.observe(now, o)
}

// Completed records that a server ran a request of this host to its end. It returns true if
// that clears a suspicion. The observation is then for the control hosts.
func (g *Guard) Completed(now time.Time, o Observation) (Observation, bool) {
	s := g.Suspicion(now, o.Fingerprint)
	g.remember(completionKey(o.Fingerprint, o.Archive), now)
	if s.State == StateClear || s.State == StatePinned || s.Archive != o.Archive {
		return Observation{}, false
	}
	return g.disprove(now, s, o), true
}

// disprove clears this host's suspicion and returns the observation that clears the others.
func (g *Guard) disprove(now time.Time, s Suspicion, o Observation) Observation {
	if g.disprovedAt == nil || len(g.disprovedAt) >= guardSuspicions {
		g.disprovedAt = map[uint64]time.Time{}
	}
	g.disprovedAt[s.Fingerprint] = now
	o.Crashed, o.Alone = false, true
	return g.observe(now, o)
}

// observe counts an observation in the table of this host.
func (g *Guard) observe(now time.Time, o Observation) Observation {
	if g.own == nil {
		g.own = NewForRoutes(Limits{Suspicions: guardSuspicions, Reports: guardReports})
	}
	g.lastReport++
	o.ID = fmt.Sprint(g.lastReport)
	g.own.Observe(now, o)
	o.ID = ""
	return o
}

// remember keeps the time of a completed run, in place of the oldest one if there is no
// room.
func (g *Guard) remember(key uint64, now time.Time) {
	if g.completions == nil {
		g.completions = map[uint64]time.Time{}
		g.completionOrder = container.NewRing[uint64](maxCompletions)
	}
	if _, ok := g.completions[key]; !ok {
		if g.completionOrder.Len() == maxCompletions {
			oldest, _ := g.completionOrder.Pop()
			delete(g.completions, oldest)
		}
		g.completionOrder.Push(key)
	}
	g.completions[key] = now
}

// completionKey identifies the runs of a request on servers of a service.
func completionKey(fingerprint uint64, service string) uint64 {
	return fingerprint ^ xxhash.Sum64String(service)
}

// Learn records suspicions that the control hosts sent, with the times of this host's
// clock; the state StateClear means that there is none any more. If complete is set, they
// replace all earlier ones. It returns the completions of this host that disprove some of
// them and that the control hosts do not know.
func (g *Guard) Learn(now time.Time, list []Suspicion, complete bool) []Observation {
	if complete || g.shared == nil {
		g.shared = make(map[uint64]Suspicion, len(list))
	}
	var news []Observation
	for _, s := range list {
		if s.State == StateClear {
			delete(g.shared, s.Fingerprint)
			if g.own != nil {
				g.own.Clear(now, s.Fingerprint)
			}
			continue
		}
		g.shared[s.Fingerprint] = s
		if g.disproved(s) && now.Sub(g.disprovedAt[s.Fingerprint]) >= reportInterval {
			news = append(news, g.disprove(now, s, Observation{Fingerprint: s.Fingerprint, Archive: s.Archive, Server: s.Server, Incarnation: s.Incarnation}))
		}
	}
	return news
}
