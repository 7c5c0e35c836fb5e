package classpool

// tolerance allows for rounding: fill treats a claim this close to its limit as full, and a rest of the share this
// small as used up.
const tolerance = 1e-12

// claim is the claim of one sibling on a share. Floor and ceiling are fractions of the share; demand is a fraction of
// all core time, as is the share itself.
type claim struct {
	demand, floor, ceiling, weight float64
}

// allocate divides a share among siblings by weighted max-min fairness with floors and ceilings:
//
//   - Each sibling gets its floor, or its demand if that is less. Floors that add up to more than the share are scaled down.
//   - The rest goes by weight to siblings with more demand, up to their demand and ceilings.
//   - Capacity without demand is distributed by weight, up to the ceilings, so that new work finds capacity at once.
//
// The first two steps are the max-min fair allocation above the floors (D. Bertsekas, R. Gallager, Data Networks,
// 6.5.2).
func allocate(share float64, claims []claim) []float64 {
	allocated := make([]float64, len(claims))
	sum := 0.0
	for i, c := range claims {
		allocated[i] = min(c.floor*share, c.demand, c.ceiling*share)
		sum += allocated[i]
	}
	if sum > share && sum > 0 {
		for i := range allocated {
			allocated[i] *= share / sum
		}
	}
	fill(share, claims, allocated, func(c claim) float64 { return min(c.demand, c.ceiling*share) })
	fill(share, claims, allocated, func(c claim) float64 { return c.ceiling * share })
	return allocated
}

// fill divides the rest of a share by weight among the claims that are below their limit. Each pass uses up the rest or
// brings at least one claim to its limit, so there are at most as many passes as claims.
func fill(share float64, claims []claim, allocated []float64, limit func(claim) float64) {
	for range claims {
		left, weight := share, 0.0
		for i, c := range claims {
			left -= allocated[i]
			if allocated[i] < limit(c)-tolerance {
				weight += c.weight
			}
		}
		if left <= tolerance*max(share, 1) || weight == 0 {
			return
		}
		for i, c := range claims {
			if allocated[i] < limit(c)-tolerance {
				allocated[i] = min(allocated[i]+left*c.weight/weight, limit(c))
			}
		}
	}
}
