package selector

import "time"

// Description is what a selector knows of a server, for people.
type Description struct {
	// Class is "usable", "cold" or "backed off". A cold server counts as usable with the
	// probability Ramp.
	Class string
	Ramp  float64
	// InFlight is the number of this host's sub-requests that have not finished, and Slots how
	// many it sends at a time.
	InFlight int
	Slots    int
	// Near means that the server is in the host's zone. Slow means that it has become slow.
	Near bool
	Slow bool
	// Latency is the average latency, 0 if unknown, and Failures the share of failed
	// sub-requests.
	Latency  time.Duration
	Failures float64
	// Score is the expected time until an answer, without the expected cost of a request.
	Score time.Duration
}

// Describe returns what is known of a server that is not removed. It changes nothing.
func (s *Selector) Describe(now time.Time, name string) (Description, bool) {
	t := s.servers[name]
	if t == nil || t.removed {
		return Description{}, false
	}
	d := Description{
		Class: "usable", Ramp: t.rampProgress(now), InFlight: t.inFlight, Slots: t.slots(), Near: t.sameZone, Slow: t.slow(now),
		Latency: time.Duration(t.latency.value(now, 0)), Failures: t.currentFailureShare(now),
		Score: time.Duration(t.score(now, s.overallLatency.value(now, priorLatency)) + s.extraLatency(name)),
	}
	switch {
	case now.Before(t.backOffEnd):
		d.Class = "backed off"
	case d.Ramp < 1:
		d.Class = "cold"
	}
	return d, true
}

// Uncounted calls f and leaves out the choices that it makes from ExpectedChoices.
func (s *Selector) Uncounted(f func()) {
	choices, changed := s.choices, s.changed
	f()
	s.choices, s.changed = choices, changed
}
