package hedger

import (
	"math/bits"
	"time"
)

const (
	// sliceLength is the time that one slice of the window covers.
	sliceLength = 5 * time.Second
	// sliceCount slices form the window of 30 s.
	sliceCount = 6
	// minSamples is the least number of samples that a quantile is taken from.
	// Below it the 95th percentile rests on a single sample.
	minSamples = 40
	// subBits sets the resolution: 8 buckets per doubling, at most 12.5% apart.
	subBits = 3
	// maxLatency is the largest latency told apart, about 67 s.
	maxLatency = 1<<26 - 1
	// bucketCount is the bucket of maxLatency plus one.
	bucketCount = (26-subBits)<<subBits + 1<<subBits
)

// digest is a histogram of latencies over a sliding window. Its memory is
// fixed. The zero value is empty.
type digest struct {
	slices [sliceCount][bucketCount]uint32
	totals [bucketCount]uint64
	count  uint64
	// current is the number of the newest slice since the epoch.
	current int64
}

// bucketOf returns the bucket of a latency in microseconds: buckets are one
// microsecond wide up to 8 µs, then each doubling has 8 buckets.
func bucketOf(micros uint64) int {
	if micros < 1<<subBits {
		return int(micros)
	}
	shift := bits.Len64(micros) - 1 - subBits
	return shift<<subBits + int(micros>>shift)
}

// upperBound returns the exclusive upper end of a bucket.
func upperBound(bucket int) time.Duration {
	if bucket < 1<<(subBits+1) {
		return time.Duration(bucket+1) * time.Microsecond
	}
	shift := bucket>>subBits - 1
	mantissa := bucket - shift<<subBits
	return time.Duration((mantissa+1)<<shift) * time.Microsecond
}

func (d *digest) add(now time.Time, latency time.Duration) {
	d.advance(now)
	micros := min(uint64(max(latency, 0)/time.Microsecond), maxLatency)
	b := bucketOf(micros)
	d.slices[d.current%sliceCount][b]++
	d.totals[b]++
	d.count++
}

// quantile returns the upper end of the bucket that holds the quantile, and
// false when the window holds too few samples.
func (d *digest) quantile(now time.Time, q float64) (time.Duration, bool) {
	d.advance(now)
	if d.count < minSamples {
		return 0, false
	}
	rank := uint64(q * float64(d.count))
	var seen uint64
	for b, n := range d.totals {
		seen += n
		if seen > rank {
			return upperBound(b), true
		}
	}
	return upperBound(bucketCount - 1), true
}

// advance empties the slices that left the window. A clock that runs backwards
// leaves the window where it is.
func (d *digest) advance(now time.Time) {
	number := now.UnixNano() / int64(sliceLength)
	if number <= d.current {
		return
	}
	steps := min(number-d.current, sliceCount)
	d.current = number
	for i := range steps {
		d.drop(int((number - i) % sliceCount))
	}
}

func (d *digest) drop(slice int) {
	for b, n := range d.slices[slice] {
		d.totals[b] -= uint64(n)
		d.count -= uint64(n)
	}
	d.slices[slice] = [bucketCount]uint32{}
}
