package relayer

import (
	"time"

	"gentianpond/internal/fleet/registrar"
	"gentianpond/internal/route/pacer"
	"gentianpond/internal/route/router"
)

// A cold server is one that has started lately, or that says in a check-in that it is cold.
// It would end under its usual load. Where the service names a rate for cold servers, each is
// treated like one that names this rate as its limit, with a smaller common burst, until its
// cold time ends; the limit then doubles with each second until it is lifted.

// coldMargin is added to the end of a cold time: check-ins are on their way for some time, and
// a leader passes on only what changes it by more.
const coldMargin = time.Second

// maxStartMs bounds an incarnation that is read as a start in Unix milliseconds.
const maxStartMs = 1 << 42

// coldState tells until when an incarnation of a server is cold.
type coldState struct {
	incarnation uint64
	// changeIndex is that of the record in the registry that was considered last.
	changeIndex uint64
	// startedAt is when the server started, and reported until when it said that it is cold.
	startedAt, reported time.Time
	// until is when the server is warm by all that is known.
	until time.Time
	// group is shardGroup for a server of a shard of a fan-out.
	group string
}

// shardGroup is the pacer's group of the servers of all shards of fan-outs. While many of them
// are cold, a fan-out can be served only by a host that has a share of all.
const shardGroup = "shards"

// shardServices returns the services that are shards of fan-outs.
func shardServices(table *router.Table) map[string]bool {
	shards := map[string]bool{}
	if table == nil {
		return shards
	}
	for _, route := range table.Routes() {
		for _, name := range route.Shards {
			shards[name] = true
		}
	}
	return shards
}

// learnCold records what a record of the registry, as it came at now, says about the cold
// time of a server, and limits a cold one. shards holds the services that are shards. first is
// true for the first registry that this host has: its records may be old, and the incarnation,
// the server's start in milliseconds, tells how old. The caller holds the lock.
func (r *Relayer) learnCold(now time.Time, table *router.Table, shards map[string]bool, s registrar.Server, first bool) {
	state, known := r.coldStates[s.Name]
	if !known || state.incarnation != s.Incarnation {
		state = coldState{incarnation: s.Incarnation, startedAt: now}
		if start := time.UnixMilli(int64(min(s.Incarnation, maxStartMs))); first && start.Before(now) {
			state.startedAt = start
		}
	}
	if (state.changeIndex != s.ChangeIndex || state.reported.IsZero()) && s.ColdRemaining > 0 && s.State != registrar.Silent {
		state.reported = latest(state.reported, now.Add(s.ColdRemaining))
	}
	state.changeIndex = s.ChangeIndex
	var service router.Service
	if table != nil {
		service, _ = table.Service(s.Service)
	}
	state.until = latest(state.reported, state.startedAt.Add(service.ColdTime))
	if withdrawn, ok := r.withdrawnZones[s.Zone]; ok {
		state.until = latest(state.until, withdrawn.Add(service.ColdTime))
	}
	state.until = state.until.Add(coldMargin)
	state.group = ""
	if shards[s.Service] {
		state.group = shardGroup
	}
	r.coldStates[s.Name] = state
	if state.until.After(now) {
		r.setColdLimit(now, s, service.ColdRate)
	}
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// setColdLimit sets the limit of a cold server, 0 for none. The caller holds the lock.
func (r *Relayer) setColdLimit(now time.Time, s registrar.Server, rate float64) {
	c, ok := r.cold.Observe(pacer.Observation{Server: s.Name, Incarnation: s.Incarnation, Rate: rate, Group: r.coldStates[s.Name].group, At: now})
	if !ok {
		return
	}
	r.config.Scope.Counter("cold_changes").Inc(1)
	r.config.Log.Info("limit of a cold backend server changed", "server", s.Name, "service", s.Service, "limit", c.After, "before", c.Before,
		"rate", c.Share.Rate, "burst", c.Share.Burst)
}

// forgetCold forgets a server that has left the registry. The caller holds the lock.
func (r *Relayer) forgetCold(name string) {
	delete(r.coldStates, name)
	r.cold.Remove(name)
}

// endCold ends the limit of a server whose cold time is over. The caller holds the lock.
func (r *Relayer) endCold(now time.Time, s *server) {
	if r.cold.Limit(s.Name) == 0 {
		return
	}
	state, ok := r.coldStates[s.Name]
	if !ok || !state.until.After(now) {
		r.setColdLimit(now, s.Server, 0)
	}
}

// withinLimits reports whether a server has room within the limit that it names and within
// that of a cold server. The caller holds the lock.
func (r *Relayer) withinLimits(now time.Time, s *server) bool {
	r.endCold(now, s)
	return r.limits.HasRoom(now, s.Name) && r.cold.HasRoom(now, s.Name)
}

// takeLimits counts a send against the limits. The caller holds the lock.
func (r *Relayer) takeLimits(now time.Time, s *server) {
	r.limits.Take(now, s.Name)
	r.cold.Take(now, s.Name)
}

// nextWithinLimits returns when withinLimits will be true for one more request, and false if
// this host has no share of a limit. The caller holds the lock.
func (r *Relayer) nextWithinLimits(now time.Time, s *server) (time.Time, bool) {
	r.endCold(now, s)
	at, ok := r.limits.NextRoom(now, s.Name)
	cold, coldOK := r.cold.NextRoom(now, s.Name)
	if cold.After(at) {
		at = cold
	}
	return at, ok && coldOK
}

// promiseLimits records that a refused request was told to return at a time. The caller
// holds the lock.
func (r *Relayer) promiseLimits(server string, at time.Time) {
	r.limits.Promise(server, at)
	r.cold.Promise(server, at)
}
