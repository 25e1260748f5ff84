package estimator

import "time"

// entry is a mean of recent samples.
type entry struct {
	mean float64
	// samples is the sum of the weights of the samples, up to the memory of the entry.
	samples float64
	last    time.Time
}

// add adds a sample. The newest ones count most, so that a first sample that was an outlier
// is soon outweighed. A sample counts at most as outlierRatio times the mean; one that is too
// small is not cut off, since disturbances only lengthen a latency.
func (t *entry) add(now time.Time, sample, weight, memory float64) {
	t.last = now
	if t.samples == 0 {
		t.mean, t.samples = sample, weight
		return
	}
	t.samples = min(t.samples+weight, memory)
	step := min(2*weight/(t.samples+1), 1)
	t.mean += step * (min(sample, outlierRatio*t.mean) - t.mean)
}

// shrunk returns the mean, drawn towards a prior value that counts as much as prior samples.
func (t *entry) shrunk(value, prior float64) float64 {
	return (t.samples*t.mean + prior*value) / (t.samples + prior)
}

// table holds at most maxEntries entries. It keeps two generations: when the newer one is
// half of that, it becomes the older one, and entries that were not used since then are
// dropped. The zero value is empty.
type table struct {
	newer, older map[uint64]entry
}

// get returns an entry.
func (t *table) get(key uint64) (entry, bool) {
	if e, ok := t.newer[key]; ok {
		return e, true
	}
	e, ok := t.older[key]
	return e, ok
}

// add adds a sample to an entry, which is created if needed.
func (t *table) add(now time.Time, key uint64, sample, weight, memory float64) {
	e, _ := t.get(key)
	e.add(now, sample, weight, memory)
	if _, ok := t.newer[key]; !ok && len(t.newer) >= maxEntries/2 {
		t.newer, t.older = t.older, t.newer
		clear(t.newer)
	}
	if t.newer == nil {
		t.newer = map[uint64]entry{}
	}
	t.newer[key] = e
}

// len returns the number of entries, of which some may be held in both generations.
func (t *table) len() int { return len(t.newer) + len(t.older) }
