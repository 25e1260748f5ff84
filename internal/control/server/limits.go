package server

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"gentianpond/internal/fleet/registrar"
	"gentianpond/internal/protocol/messenger"
)

// maxRateLimit is the highest rate limit, in requests a second, that is passed on.
const maxRateLimit = 1e9

// limitTracker holds the rate limits of backend servers that entry hosts observed, so
// that a host learns of a limit or of its end without a request of its own. A leader
// starts without any; the hosts report theirs to a new one.
type limitTracker struct {
	limits map[string]observedLimit
	// lastChange is the number of the newest change.
	lastChange uint64
}

// observedLimit is the newest observation of a server's limit.
type observedLimit struct {
	incarnation uint64
	// rate is the limit in requests a second, 0 if the server names none any more.
	rate float64
	// at is the loop's time of the observation.
	at time.Duration
	// change is the number of the change to this limit.
	change uint64
}

// newLimitTracker returns a tracker that knows no limit.
func newLimitTracker() *limitTracker { return &limitTracker{limits: map[string]observedLimit{}} }

// record records an observation that arrived at now and reports whether it changes a
// limit. Observations of servers that are not registered, older ones, and rates that
// cannot be are ignored.
func (t *limitTracker) record(now time.Duration, registry *registrar.Registry, m *messenger.RateLimit) bool {
	rate := m.GetRate()
	if !(rate >= 0 && rate <= maxRateLimit) || !isRegistered(registry, m.GetServer(), m.GetIncarnation()) {
		return false
	}
	at := now - max(m.GetAge().AsDuration(), 0)
	old, known := t.limits[m.GetServer()]
	sameIncarnation := known && old.incarnation == m.GetIncarnation()
	if sameIncarnation && at <= old.at {
		return false
	}
	next := observedLimit{incarnation: m.GetIncarnation(), rate: rate, at: at, change: old.change}
	changed := !sameIncarnation || rate != old.rate
	if changed {
		t.lastChange++
		next.change = t.lastChange
	}
	t.limits[m.GetServer()] = next
	return changed
}

// changesSince returns the limits that changed after the change with the given number,
// the oldest change first. Those of servers that have left the registry are forgotten.
func (t *limitTracker) changesSince(now time.Duration, registry *registrar.Registry, change uint64) []*messenger.RateLimit {
	if change >= t.lastChange {
		return nil
	}
	var names []string
	for name, l := range t.limits {
		if !isRegistered(registry, name, l.incarnation) {
			delete(t.limits, name)
		} else if l.change > change {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(t.limits[a].change, t.limits[b].change) })
	list := make([]*messenger.RateLimit, len(names))
	for i, name := range names {
		l := t.limits[name]
		list[i] = &messenger.RateLimit{Server: name, Incarnation: l.incarnation, Rate: l.rate, Age: durationpb.New(now - l.at)}
	}
	return list
}

// isRegistered reports whether an incarnation of a server is registered and not gone.
func isRegistered(registry *registrar.Registry, name string, incarnation uint64) bool {
	s, ok := registry.Get(name)
	return ok && s.Incarnation == incarnation && s.State != registrar.Gone
}

// recordLimits records the rate limits that an entry host observed.
func (l *loop) recordLimits(now time.Duration, r *messenger.WatchRequest) {
	for _, m := range r.GetObserved() {
		if l.limits.record(now, l.keeper.Registry(), m) {
			l.log.Info("rate limit of a backend server changed", "server", m.GetServer(), "limit", m.GetRate(), "host", r.GetHost(),
				"age", m.GetAge().AsDuration())
		}
	}
}
