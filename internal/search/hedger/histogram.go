package hedger

import (
	"math/bits"
	"time"
)

const (
	// sliceDuration is the part of the window that one slice covers.
	sliceDuration = 5 * time.Second
	// sliceCount is the number of slices, which form a window of 30 s.
	sliceCount = 6
	// minSamples is the least number of samples from which a quantile is computed.
	// With fewer, the 95th percentile would rest on a single sample.
	minSamples = 40
	// subBucketBits is the binary logarithm of the number of buckets per doubling.
	// With 8 of them, adjacent bounds are at most 12.5% apart.
	subBucketBits = 3
	// maxLatencyMicros is the largest latency in microseconds, about 67 s. Longer
	// ones count as this.
	maxLatencyMicros = 1<<26 - 1
	// bucketCount is the number of buckets up to and including that of
	// maxLatencyMicros.
	bucketCount = (26-subBucketBits)<<subBucketBits + 1<<subBucketBits
)

// latencyHistogram is a histogram of latencies over a sliding window, in a fixed
// amount of memory. The zero value is empty.
type latencyHistogram struct {
	// slices holds the number of samples in each bucket for each slice of the window.
	// A slice has the index of its number modulo sliceCount.
	slices [sliceCount][bucketCount]uint32
	// bucketTotals holds the sum of each bucket over all slices.
	bucketTotals [bucketCount]uint64
	// sampleCount is the number of samples in the window.
	sampleCount uint64
	// newestSlice is the number of the newest slice, counted from the Unix epoch.
	newestSlice int64
}

// histogramBucket returns the index of the bucket of a latency in microseconds. Up
// to 8 µs, buckets are 1 µs wide; from there on, each doubling has 8 buckets.
func histogramBucket(micros uint64) int {
	if micros < 1<<subBucketBits {
		return int(micros)
	}
	shift := bits.Len64(micros) - 1 - subBucketBits
	return shift<<subBucketBits + int(micros>>shift)
}

// bucketUpperBound returns the exclusive upper bound of a bucket.
func bucketUpperBound(bucket int) time.Duration {
	if bucket < 1<<(subBucketBits+1) {
		return time.Duration(bucket+1) * time.Microsecond
	}
	shift := bucket>>subBucketBits - 1
	mantissa := bucket - shift<<subBucketBits
	return time.Duration((mantissa+1)<<shift) * time.Microsecond
}

// add adds a sample. Negative latencies count as 0.
func (h *latencyHistogram) add(now time.Time, latency time.Duration) {
	h.advance(now)
	micros := min(uint64(max(latency, 0)/time.Microsecond), maxLatencyMicros)
	b := histogramBucket(micros)
	h.slices[h.newestSlice%sliceCount][b]++
	h.bucketTotals[b]++
	h.sampleCount++
}

// quantile returns the upper bound of the bucket that holds the quantile q, or
// false if the window holds fewer than minSamples.
func (h *latencyHistogram) quantile(now time.Time, q float64) (time.Duration, bool) {
	h.advance(now)
	if h.sampleCount < minSamples {
		return 0, false
	}
	rank := uint64(q * float64(h.sampleCount))
	var seen uint64
	for b, n := range h.bucketTotals {
		seen += n
		if seen > rank {
			return bucketUpperBound(b), true
		}
	}
	return bucketUpperBound(bucketCount - 1), true
}

// advance clears the slices that have left the window. A clock that steps back
// does not move the window.
func (h *latencyHistogram) advance(now time.Time) {
	sliceNumber := now.UnixNano() / int64(sliceDuration)
	if sliceNumber <= h.newestSlice {
		return
	}
	steps := min(sliceNumber-h.newestSlice, sliceCount)
	h.newestSlice = sliceNumber
	for i := range steps {
		h.clearSlice(int((sliceNumber - i) % sliceCount))
	}
}

// clearSlice removes the samples of the slice with the given index.
func (h *latencyHistogram) clearSlice(slice int) {
	for b, n := range h.slices[slice] {
		h.bucketTotals[b] -= uint64(n)
		h.sampleCount -= uint64(n)
	}
	h.slices[slice] = [bucketCount]uint32{}
}
