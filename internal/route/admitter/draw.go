package admitter

import "slices"

// LeaveOut decides which shards of a fan-out get no request. Shard i gets it with the
// probability shares[i]. An answer may lack up to spare shards; a request that lacks more
// is refused.
//
// It handles congestion of many shards at once, such as the burst of an account on shards
// that have lost replicas: with a draw for each of 36 shards, a twentieth dropped by each
// leaves less than half of the searches with 35 parts. One draw for all shards refuses a
// twentieth and serves the others whole. With a few congested shards, or many to spare,
// separate draws refuse fewer. The way that refuses fewer is taken.
func LeaveOut(r Rand, shares []float64, spare int) []bool {
	out := make([]bool, len(shares))
	if !slices.ContainsFunc(shares, func(s float64) bool { return s < 1 }) {
		return out
	}
	common := commonRefusals(shares, spare) < separateRefusals(shares, spare)
	draw := r.Float64()
	for i, share := range shares {
		if share >= 1 {
			continue
		}
		if !common {
			draw = r.Float64()
		}
		out[i] = draw >= share
	}
	return out
}

// RefusedShare returns the share of requests that LeaveOut leaves with too few shards.
func RefusedShare(shares []float64, spare int) float64 {
	return min(commonRefusals(shares, spare), separateRefusals(shares, spare))
}

// commonRefusals returns the share of requests that lack more than spare shards if one draw
// decides for all shards: what the spare+1 most congested shards all drop.
func commonRefusals(shares []float64, spare int) float64 {
	if spare >= len(shares) {
		return 0
	}
	return 1 - slices.Sorted(slices.Values(shares))[max(spare, 0)]
}

// separateRefusals returns the same for a draw for each shard.
func separateRefusals(shares []float64, spare int) float64 {
	// lacking[n] is the probability that n shards are left out.
	lacking := make([]float64, max(spare, 0)+1)
	lacking[0] = 1
	for _, share := range shares {
		for n := len(lacking) - 1; n > 0; n-- {
			lacking[n] = lacking[n]*share + lacking[n-1]*(1-share)
		}
		lacking[0] *= share
	}
	refused := 1.0
	for _, p := range lacking {
		refused -= p
	}
	return max(refused, 0)
}
