package estimator

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// speedHalfLife is the age at which what is known of the speed of a server counts half.
	// A slow server that gets no requests has to be tried again.
	speedHalfLife = 20 * time.Second
	// speedPrior is the evidence for the usual speed, in samples.
	speedPrior = 4.0
	// reportHalfLife is the age at which a reported load counts as much as the usual load of
	// the server. A queue of 4 slots and requests of 5 to 15 ms is gone after as long.
	reportHalfLife = 100 * time.Millisecond
	// reportLifetime is the age from which a reported load does not count at all.
	reportLifetime = 5 * time.Second
	// loadMemory is the number of reports that the usual load is averaged over.
	loadMemory = 8.0
	// lateFactor is the multiple of the expected time from which a send is late.
	lateFactor = 2.0
	// minLateDuration is how long all sends to a server have to be late before the server
	// counts as slow, and slowDuration for how long it does after the last one.
	minLateDuration = 250 * time.Millisecond
	slowDuration    = 4 * time.Second
	// maxLoad bounds the numbers in a report, and maxQueue the requests of other hosts per slot
	// that a server is believed to have. A server with more refuses requests, or is mistaken.
	maxLoad  = 10_000
	maxQueue = 8.0
)

// server is what this host knows of one incarnation of a backend server.
type server struct {
	incarnation uint64
	removed     bool
	// service is the key of its service in Estimator.services.
	service uint64
	slots   int
	// speed is the relative time that the server takes for the same work; above 1 is slow.
	speed     float64
	speedSeen float64
	speedAt   time.Time
	// lateSince and lastLate are when the first and the last of the sends ended that were late
	// since one was not.
	lateSince, lastLate time.Time
	// sends is the number of this host's sends that have not ended, work their work in
	// seconds, and sentAt the sum of their start times in seconds since Estimator.base.
	sends  int
	work   float64
	sentAt float64
	// others is the number of requests of other hosts that the server had at reportedAt, and
	// usual its mean.
	others     float64
	usual      float64
	reports    float64
	reportedAt time.Time
}

// Update adds a server or changes its number of slots. A larger incarnation than the known
// one starts without state.
func (e *Estimator) Update(name, service string, incarnation uint64, slots int) {
	s := e.servers[name]
	if s != nil && incarnation < s.incarnation {
		return
	}
	if s == nil || incarnation > s.incarnation {
		s = &server{incarnation: incarnation, speed: 1}
		e.servers[name] = s
	}
	s.removed = false
	s.service = serviceKey(service)
	s.slots = max(slots, 1)
}

// Remove forgets a server, as soon as none of its sends is open.
func (e *Estimator) Remove(name string) {
	if s := e.servers[name]; s != nil {
		s.removed = true
		e.forget(name, s)
	}
}

func (e *Estimator) forget(name string, s *server) {
	if s.removed && s.sends == 0 {
		delete(e.servers, name)
	}
}

// Begin counts a request as sent to an incarnation of a server. Every Send has to be passed
// to Finish, with the same server and request.
func (e *Estimator) Begin(now time.Time, name string, incarnation uint64, r Request) Send {
	s := e.stateOf(name, incarnation)
	if s == nil {
		return Send{}
	}
	k := keysOf(r)
	work, _, known := e.work(now, k)
	if !known {
		work = e.serviceWork(s)
	}
	if e.base.IsZero() {
		e.base = now
	}
	send := Send{work: work, at: now.Sub(e.base), known: known, begun: true}
	s.sends++
	s.work += work
	s.sentAt += send.at.Seconds()
	return send
}

// Finish ends a send and learns from it. It returns the observed work at usual speed and the
// one that was expected, in seconds, and false if there was no estimate or no observation.
func (e *Estimator) Finish(now time.Time, name string, incarnation uint64, request Request, send Send, r Result) (observed, expected float64, ok bool) {
	s := e.stateOf(name, incarnation)
	if !send.begun || s == nil || s.sends == 0 {
		return 0, 0, false
	}
	s.sends--
	s.work = max(s.work-send.work, 0)
	s.sentAt = max(s.sentAt-send.at.Seconds(), 0)
	if s.sends == 0 {
		s.work, s.sentAt = 0, 0
	}
	defer e.forget(name, s)
	waiting := s.queue(now)
	if r.Load.Known {
		waiting = clamp(float64(r.Load.Waiting), 0, maxLoad)
		s.report(now, r.Load)
	}
	sample, weight := e.sample(s, r, waiting)
	if weight == 0 {
		return 0, 0, false
	}
	speed := s.speedAtTime(now)
	work := clamp(sample/speed, minWork, maxWork)
	k := keysOf(request)
	if send.known {
		s.recordLateness(now, sample/send.work, r.Ending == Unfinished)
		s.learnSpeed(now, sample/send.work, weight*e.accountEvidence(k), r.Ending == Unfinished)
	}
	e.learn(now, k, work, weight, r.Ending == Unfinished)
	if r.Ending != Answered {
		return 0, 0, false
	}
	e.services.add(now, s.service, work, weight, costMemory)
	return work, send.work, send.known
}

// sample returns the time in seconds that the server worked on a send, and the weight of
// this sample. The queue that a request leaves behind in a server that serves in the order
// of arrival is as long, on average, as the one that it found.
func (e *Estimator) sample(s *server, r Result, waiting float64) (seconds, weight float64) {
	elapsed := (r.Elapsed - max(r.RoundTrip, 0)).Seconds()
	if r.Ending == Untold || r.Elapsed <= 0 {
		return 0, 0
	}
	elapsed = clamp(elapsed, minWork, maxWork)
	queue := waiting * e.serviceWork(s) / float64(s.slots)
	if queue > maxQueueShare*elapsed {
		return 0, 0
	}
	weight = 1 - queue/elapsed
	if r.Ending == Unfinished {
		weight *= boundWeight
	}
	return clamp(elapsed-queue, minWork, maxWork), weight
}

// serviceWork returns the mean work in seconds of a request to the service of a server, 0 if
// it is unknown.
func (e *Estimator) serviceWork(s *server) float64 {
	m, _ := e.services.get(s.service)
	return m.mean
}

// Time returns how long a new request would take at a server: the work that the server
// still has to do for this and for other hosts, and the work of the request itself at the
// speed of the server. limit is the number of requests that this host can send to the
// server at a time. slow tells that the server takes much longer for all requests than they
// should cost. ok is false for a server that is not known.
func (e *Estimator) Time(now time.Time, name string, work time.Duration, limit int) (expected time.Duration, slow, ok bool) {
	s := e.servers[name]
	if s == nil {
		return 0, false, false
	}
	return seconds(e.time(now, s, work.Seconds(), limit)), s.slow(now), true
}

func (e *Estimator) time(now time.Time, s *server, work float64, limit int) float64 {
	speed := s.speedAtTime(now)
	own := speed * s.work / float64(max(1, min(s.slots, limit)))
	others := speed * s.othersAt(now) * e.serviceWork(s) / float64(s.slots)
	return clamp(own+others+speed*work+s.overdue(now.Sub(e.base), speed), 0, maxWork)
}

// overdue returns for how much longer than expected the sends to a server have been open, in
// seconds. A server that pauses answers none of them, and as long as it has paused, as long
// it may go on.
func (s *server) overdue(now time.Duration, speed float64) float64 {
	if s.sends == 0 {
		return 0
	}
	n := float64(s.sends)
	age := now.Seconds() - s.sentAt/n
	return clamp(age-outlierRatio*speed*s.work/n, 0, maxWork)
}

// report records a reported load. The sends of this host that are still open are part of it.
func (s *server) report(now time.Time, l Load) {
	others := clamp(float64(l.Running), 0, maxLoad) + clamp(float64(l.Waiting), 0, maxLoad) - float64(s.sends)
	s.others = clamp(others, 0, maxQueue*float64(s.slots))
	s.reportedAt = now
	s.reports = min(s.reports+1, loadMemory)
	s.usual += (s.others - s.usual) / (s.reports + 2)
}

// othersAt returns how many requests of other hosts a server is expected to have: what it
// last reported, which gives way to its usual load.
func (s *server) othersAt(now time.Time) float64 {
	age := now.Sub(s.reportedAt)
	if s.reports == 0 || age >= reportLifetime {
		return 0
	}
	fresh := confidence(age, reportHalfLife)
	return (fresh*s.others + (1-fresh)*s.usual) * (1 - float64(max(age, 0))/float64(reportLifetime))
}

// queue returns how many requests are expected to wait at a server.
func (s *server) queue(now time.Time) float64 {
	return max(s.othersAt(now)+float64(s.sends)-float64(s.slots), 0)
}

// speedAtTime returns the relative time that a server takes for the same work.
func (s *server) speedAtTime(now time.Time) float64 {
	if s.speedSeen == 0 {
		return 1
	}
	known := s.speedSeen / (s.speedSeen + speedPrior) * confidence(now.Sub(s.speedAt), speedHalfLife)
	return 1 + known*(s.speed-1)
}

// learnSpeed adds the ratio of the observed to the expected time.
func (s *server) learnSpeed(now time.Time, ratio, weight float64, bound bool) {
	ratio = clamp(ratio, 1/maxSpeed, maxSpeed)
	current := s.speedAtTime(now)
	if bound && ratio <= current {
		return
	}
	if s.speedSeen == 0 {
		s.speed = 1
	}
	seen := s.speedSeen*confidence(now.Sub(s.speedAt), speedHalfLife) + weight
	s.speedSeen = min(seen, speedMemory)
	step := weight / (s.speedSeen + 1)
	s.speed = clamp(s.speed+step*(min(ratio, outlierRatio*s.speed)-s.speed), 1/maxSpeed, maxSpeed)
	s.speedAt = now
}

// recordLateness records whether a send took lateFactor times as long as it should cost.
func (s *server) recordLateness(now time.Time, ratio float64, bound bool) {
	switch {
	case ratio >= lateFactor:
		if s.lateSince.IsZero() {
			s.lateSince = now
		}
		s.lastLate = now
	case !bound:
		s.lateSince, s.lastLate = time.Time{}, time.Time{}
	}
}

// slow reports whether all sends were late for minLateDuration, the last one within
// slowDuration. Most sends to a server that becomes slow are hedged and cancelled, so its
// speed is learned late. A pause is shorter.
func (s *server) slow(now time.Time) bool {
	return s.lastLate.Sub(s.lateSince) >= minLateDuration && now.Sub(s.lastLate) < slowDuration
}

// confidence falls from 1 at age 0 to 1/2 at the half-life and towards 0 after that.
func confidence(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	x := float64(age) / float64(halfLife)
	return 1 / (1 + x*x)
}

// stateOf returns the state of a server, or nil if its incarnation is another.
func (e *Estimator) stateOf(name string, incarnation uint64) *server {
	s := e.servers[name]
	if s == nil || s.incarnation != incarnation {
		return nil
	}
	return s
}

// Server is what an estimator knows of a server, for people.
type Server struct {
	// Speed is the relative time that the server takes for the same work.
	Speed float64
	// Sends is the number of this host's open sends and Work their expected work.
	Sends int
	Work  time.Duration
	// Others is the expected number of requests of other hosts, and Age that of the report
	// behind it. Reported is false if there was none.
	Others   float64
	Reported bool
	Age      time.Duration
}

// Server returns what is known of a server.
func (e *Estimator) Server(now time.Time, name string) (Server, bool) {
	s := e.servers[name]
	if s == nil {
		return Server{}, false
	}
	d := Server{Speed: s.speedAtTime(now), Sends: s.sends, Work: seconds(s.work), Others: s.othersAt(now), Reported: s.reports > 0}
	if d.Reported {
		d.Age = now.Sub(s.reportedAt)
	}
	return d, true
}

func serviceKey(name string) uint64 { return xxhash.Sum64String(name) }
