package limiter

import (
	"math"
	"time"
)

const (
	// serviceWeight is the share of the newest sample in the averages.
	serviceWeight = 0.1
	// clip is the multiple of the mean at which a sample is cut, so that one
	// straggler does not make the limiter refuse requests that would make their
	// deadline.
	clip = 2.0
	// serviceHalfLife is the age of the last sample at which the estimates are
	// halved. Without it an estimate above every deadline would refuse all
	// requests for ever, because only requests that run correct it.
	serviceHalfLife = time.Second
)

// service estimates how long the requests of a lane take. The zero value
// estimates 0.
type service struct {
	mean float64
	// deviation is the mean absolute deviation from the mean.
	deviation float64
	at        time.Time
}

func (s *service) add(now time.Time, took time.Duration) {
	sample := float64(max(took, 0))
	if s.at.IsZero() {
		s.mean = sample
	}
	s.at = now
	// The floor lets the mean rise again from 0.
	sample = min(sample, clip*max(s.mean, float64(time.Millisecond)))
	s.deviation += serviceWeight * (math.Abs(sample-s.mean) - s.deviation)
	s.mean += serviceWeight * (sample - s.mean)
}

// estimate returns how long one request must be expected to take: the mean and
// one deviation, which about four in five stay below.
func (s *service) estimate(now time.Time) time.Duration {
	return time.Duration((s.mean + s.deviation) * s.fade(now))
}

// average returns the mean, for sums over many requests.
func (s *service) average(now time.Time) time.Duration {
	return time.Duration(s.mean * s.fade(now))
}

func (s *service) fade(now time.Time) float64 {
	age := max(now.Sub(s.at), 0)
	return math.Exp2(-float64(age) / float64(serviceHalfLife))
}
