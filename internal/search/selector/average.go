package selector

import "time"

const (
	// sampleWeight is the weight of the newest sample in an average.
	sampleWeight = 0.2
	// surgeRatio is the multiple of the average from which a sample has the weight
	// surgeWeight. A host of a large fleet sends each server one or two requests a
	// second, so a server that has become slow has to show after the first.
	surgeRatio  = 3
	surgeWeight = 0.6
	// confidenceHalfLife is the age at which confidence has fallen to 1/2.
	confidenceHalfLife = 5 * time.Second
)

// average is an exponentially weighted moving average that moves towards a prior
// value as its last sample ages. The zero value holds no sample.
type average struct {
	// mean is the average as of the last sample.
	mean float64
	// lastSample is when the last sample was added; zero means that there is none.
	lastSample time.Time
}

// add adds a sample. The older the previous sample, the more the new one counts.
func (a *average) add(now time.Time, sample float64) {
	if a.lastSample.IsZero() {
		a.mean = sample
		a.lastSample = now
		return
	}
	oldWeight := (1 - sampleWeight) * confidence(now.Sub(a.lastSample))
	a.mean = oldWeight*a.mean + (1-oldWeight)*sample
	a.lastSample = now
}

// addWithSurge is like add, but gives a sample of surgeRatio times the average or
// more the weight surgeWeight.
func (a *average) addWithSurge(now time.Time, sample float64) {
	if a.lastSample.IsZero() || sample < surgeRatio*a.mean {
		a.add(now, sample)
		return
	}
	a.mean += surgeWeight * (sample - a.mean)
	a.lastSample = now
}

// value returns the average mixed with the prior according to the age of its
// last sample.
func (a *average) value(now time.Time, prior float64) float64 {
	if a.lastSample.IsZero() {
		return prior
	}
	c := confidence(now.Sub(a.lastSample))
	return c*a.mean + (1-c)*prior
}

// confidence returns the weight of an observation of the given age: 1 at age 0,
// 1/2 at the half-life, 1/17 at twice the half-life, and towards 0 after that. It
// is computed for every candidate of every sub-request. An exponential took a
// third of the time of a choice, hence the rational function.
func confidence(age time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	x := float64(age) / float64(confidenceHalfLife)
	square := x * x
	return 1 / (1 + square*square)
}
