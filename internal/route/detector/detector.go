// Package detector tells a host that has lost its links to the backend servers from
// backend servers that are down. It does no I/O and reads no clock.
//
// It handles a host that is partitioned from all backend servers while callers and the
// control hosts still reach it. Every connection that it opens fails, as it would if all
// servers were down, but the servers still check in with the control hosts. Servers that
// crash one by one are different too: others answer in between.
package detector

import "time"

const (
	// minFailed is the number of different servers that have to fail.
	minFailed = 3
	// minSilence is how long no server has to answer. A pause of a server, or a burst of
	// failures while others answer, is no lost link.
	minSilence = 150 * time.Millisecond
)

// Detector holds what this host's connections to backend servers show. The zero value
// knows of no failure. It is not safe for concurrent use.
type Detector struct {
	// known is the number of servers that check in with the control hosts.
	known int
	// lastAnswer is when a server was last reached, or when the first failure came if
	// none was.
	lastAnswer time.Time
	// failed holds the servers to which a connection failed since then, although they
	// check in.
	failed map[string]struct{}
	// cutOffSince is when this host was found to be cut off, the zero value while it is
	// not.
	cutOffSince time.Time
}

// Evidence is what a finding rests on.
type Evidence struct {
	// Failed is the number of servers that could not be reached, out of Known that check
	// in with the control hosts.
	Failed, Known int
	// Silence is the time since any server was reached.
	Silence time.Duration
	// CutOff is how long the host has been cut off.
	CutOff time.Duration
}

// SetServers replaces the servers that check in with the control hosts. A failed server
// that no longer does is down and proves nothing about the links.
func (d *Detector) SetServers(known int, checksIn func(server string) bool) {
	d.known = known
	for name := range d.failed {
		if !checksIn(name) {
			delete(d.failed, name)
		}
	}
}

// Reached records that a server answered or that a connection to it was opened. It
// reports whether the host was cut off until then.
func (d *Detector) Reached(now time.Time) (Evidence, bool) {
	e, ended := d.evidence(now), !d.cutOffSince.IsZero()
	d.lastAnswer, d.cutOffSince = now, time.Time{}
	clear(d.failed)
	return e, ended
}

// Failed records that a connection to a server could not be opened, or did not carry
// what was sent.
func (d *Detector) Failed(now time.Time, server string) {
	if d.failed == nil {
		d.failed = map[string]struct{}{}
	}
	if d.lastAnswer.IsZero() {
		d.lastAnswer = now
	}
	d.failed[server] = struct{}{}
}

// Check decides whether the host is cut off. It reports true for begun the first time
// that it is.
func (d *Detector) Check(now time.Time) (e Evidence, cutOff, begun bool) {
	e = d.evidence(now)
	if e.Failed == 0 || e.Failed < min(minFailed, d.known) {
		// Servers that failed have left since.
		d.cutOffSince = time.Time{}
		return e, false, false
	}
	if d.cutOffSince.IsZero() && e.Silence >= minSilence {
		d.cutOffSince, begun = now, true
	}
	return e, !d.cutOffSince.IsZero(), begun
}

func (d *Detector) evidence(now time.Time) Evidence {
	e := Evidence{Failed: len(d.failed), Known: d.known, Silence: now.Sub(d.lastAnswer)}
	if !d.cutOffSince.IsZero() {
		e.CutOff = now.Sub(d.cutOffSince)
	}
	return e
}
