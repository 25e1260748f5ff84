package limiter

import (
	"math"
	"time"
)

const (
	// sampleWeight is the weight of the newest sample in the averages.
	sampleWeight = 0.1
	// maxSampleRatio is the multiple of the mean at which a sample is cut off, so
	// that one straggler does not make the limiter refuse requests that would meet
	// their deadline.
	maxSampleRatio = 2.0
	// estimateHalfLife is the age of the last sample at which the estimates are
	// halved. Without it an estimate above every deadline would refuse all
	// requests forever, because only requests that run correct it.
	estimateHalfLife = time.Second
)

// serviceTime estimates how long the requests of a lane hold a slot. The zero
// value estimates 0.
type serviceTime struct {
	// mean is an exponentially weighted moving average in nanoseconds.
	mean float64
	// deviation is the mean absolute deviation from the mean, in nanoseconds.
	deviation float64
	// lastSample is when the latest sample was added.
	lastSample time.Time
}

// addSample adds the time for which a request held its slot.
func (s *serviceTime) addSample(now time.Time, took time.Duration) {
	sample := float64(max(took, 0))
	if s.lastSample.IsZero() {
		s.mean = sample
	}
	s.lastSample = now
	// The floor lets the mean rise again from 0.
	sample = min(sample, maxSampleRatio*max(s.mean, float64(time.Millisecond)))
	s.deviation += sampleWeight * (math.Abs(sample-s.mean) - s.deviation)
	s.mean += sampleWeight * (sample - s.mean)
}

// estimate returns how long one request must be expected to take: the mean plus
// one deviation. About four in five requests take less.
func (s *serviceTime) estimate(now time.Time) time.Duration {
	return time.Duration((s.mean + s.deviation) * s.decay(now))
}

// average returns the expected mean, for sums over many requests.
func (s *serviceTime) average(now time.Time) time.Duration {
	return time.Duration(s.mean * s.decay(now))
}

// decay returns the factor by which the estimates have fallen since the last
// sample.
func (s *serviceTime) decay(now time.Time) float64 {
	age := max(now.Sub(s.lastSample), 0)
	return math.Exp2(-float64(age) / float64(estimateHalfLife))
}
