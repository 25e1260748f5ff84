package selector

import "time"

const (
	// sampleWeight is the share of the newest sample in an average.
	sampleWeight = 0.2
	// surge is how many times the average a sample is that counts with
	// surgeWeight. A host of a large fleet sends a server a request or two a
	// second; a server that has become slow has to show after the first.
	surge       = 3
	surgeWeight = 0.6
	// halfLife is the age at which an observation counts half.
	halfLife = 5 * time.Second
)

// average is an exponentially weighted moving average that fades towards a
// prior with the age of its last sample. The zero value holds no sample.
type average struct {
	mean float64
	at   time.Time
}

// add moves the average towards a sample. A stale average gives way to the new
// sample in proportion to its age.
func (a *average) add(now time.Time, sample float64) {
	if a.at.IsZero() {
		a.mean = sample
		a.at = now
		return
	}
	keep := (1 - sampleWeight) * confidence(now.Sub(a.at))
	a.mean = keep*a.mean + (1-keep)*sample
	a.at = now
}

// addSurge is add for samples whose surges count more.
func (a *average) addSurge(now time.Time, sample float64) {
	if a.at.IsZero() || sample < surge*a.mean {
		a.add(now, sample)
		return
	}
	a.mean += surgeWeight * (sample - a.mean)
	a.at = now
}

// value returns the average mixed with the prior according to its age.
func (a *average) value(now time.Time, prior float64) float64 {
	if a.at.IsZero() {
		return prior
	}
	c := confidence(now.Sub(a.at))
	return c*a.mean + (1-c)*prior
}

// confidence falls from 1 at age 0 over 1/2 at the half-life to 1/17 at twice
// the half-life and on towards 0. The rational form is computed for every candidate of every sub-request, where an
// exponential took a third of the time of a choice.
func confidence(age time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	x := float64(age) / float64(halfLife)
	square := x * x
	return 1 / (1 + square*square)
}
