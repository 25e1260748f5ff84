package limiter

import (
	"math"
	"time"
)

const (
	// fallWeight and riseWeight are the shares of a shorter and a longer sample.
	// The estimate therefore stays near the short end of the service times, and
	// a few stragglers do not make the limiter refuse requests that would make
	// their deadline.
	fallWeight = 0.25
	riseWeight = 0.02
	// serviceHalfLife is the age of the last sample at which the estimate is
	// halved. Without it an estimate above every deadline would refuse all
	// requests for ever, because only requests that run correct it.
	serviceHalfLife = time.Second
)

// service estimates the least time that a request takes. The zero value
// estimates 0.
type service struct {
	low float64
	at  time.Time
}

func (s *service) add(now time.Time, took time.Duration) {
	sample := float64(max(took, 0))
	weight := riseWeight
	if s.at.IsZero() {
		weight = 1
	} else if sample < s.low {
		weight = fallWeight
	}
	s.low += weight * (sample - s.low)
	s.at = now
}

func (s *service) estimate(now time.Time) time.Duration {
	if s.at.IsZero() {
		return 0
	}
	age := max(now.Sub(s.at), 0)
	return time.Duration(s.low * math.Exp2(-float64(age)/float64(serviceHalfLife)))
}
