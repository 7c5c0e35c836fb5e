package classpool

import "time"

// maxReserveSeconds limits the balance of the reserve to what its share yields in this many seconds.
const maxReserveSeconds = 0.5

// Reserve keeps the cheapest work running under any load: it is a share of core time for leaves whose measured mean
// cost is far below that of the others. A leaf that becomes expensive loses its eligibility by its measured cost, and
// the core time that it overspent is recovered before the reserve serves any leaf again. Declaring expensive work as
// cheap therefore has no lasting benefit.
type Reserve struct {
	share        float64 // fraction of all core time
	maxCostRatio float64 // fraction of the mean of all leaves' costs
	balance      float64 // core seconds; negative while overspent
	updatedAt    time.Duration
}

// NewReserve returns a reserve with a share of the cores, for leaves whose cost is below maxCostRatio times the mean
// cost of all leaves.
func NewReserve(share, maxCostRatio float64) *Reserve {
	return &Reserve{share: share, maxCostRatio: maxCostRatio}
}

// next returns the cheapest eligible leaf for which ready returns true. found is false if there is none or the balance
// is used up.
func (r *Reserve) next(p *Pools, now time.Duration, ready func(leaf int) bool) (leaf int, found bool) {
	passed := max(now-r.updatedAt, 0).Seconds()
	r.updatedAt = max(now, r.updatedAt)
	r.balance = min(r.balance+passed*r.share*p.cores, maxReserveSeconds*r.share*p.cores)
	if r.balance <= 0 {
		return 0, false
	}
	leaf = -1
	for i := range p.accounts {
		if r.eligible(p, i) && ready(i) && (leaf < 0 || p.accounts[i].cost < p.accounts[leaf].cost) {
			leaf = i
		}
	}
	return leaf, leaf >= 0
}

// eligible reports whether a leaf's measured cost is low enough. A leaf without a measured cost is not eligible, and no
// leaf is eligible while fewer than two have a measured cost.
func (r *Reserve) eligible(p *Pools, leaf int) bool {
	sum, measured := 0.0, 0.0
	for _, a := range p.accounts {
		if a.costSamples >= minCostSamples {
			sum, measured = sum+a.cost, measured+1
		}
	}
	a := p.accounts[leaf]
	return measured > 1 && a.costSamples >= minCostSamples && a.cost < r.maxCostRatio*sum/measured
}
