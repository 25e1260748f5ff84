package admitter

// Select decides which shards of a fan-out are left out because their services are
// congested, and whether the request is sent at all. shares holds the share of requests
// that may be sent to each shard, spare the number of shards that an answer may lack.
// refuse and offset are random numbers from 0 to 1. It returns the indexes of the shards
// that are left out, at most spare, or false if the request is refused.
//
// It handles several congested shards at once, for example a zone that is down while
// clients press. Decided for each shard on its own, the shards that are left out add up
// by chance: with four shards at half of their load and one to spare, only 5 in 16
// requests could be answered. Here the shards that are left out are spread over the
// requests, and as few requests are refused as the congested shards demand: 1 in 3. A
// refused request costs no shard anything.
func Select(shares []float64, spare int, refuse, offset float64) (excluded []int, ok bool) {
	kept := keptShare(shares, spare)
	if refuse >= kept {
		return nil, false
	}
	// Systematic sampling: each shard is left out with its own probability, and their
	// number differs by less than one between requests.
	position := offset
	for i, s := range shares {
		next := position + max(0, 1-s/kept)
		if int(next) > int(position) && len(excluded) < spare {
			excluded = append(excluded, i)
		}
		position = next
	}
	return excluded, true
}

// keptShare returns the largest share of requests of which each may leave out at most
// spare shards while no shard gets more than its share.
func keptShare(shares []float64, spare int) float64 {
	kept := 1.0
	for {
		sum, required := 0.0, -spare
		for _, s := range shares {
			if s < kept {
				sum += s
				required++
			}
		}
		if required <= 0 {
			return kept
		}
		next := sum / float64(required)
		if next >= kept {
			return kept
		}
		kept = next
	}
}
