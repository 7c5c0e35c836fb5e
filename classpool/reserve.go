package classpool

import "time"

// maxReserveSeconds of its share are the most that the reserve saves up.
const maxReserveSeconds = 0.5

// Reserve keeps the cheapest work going under any load: a share of core time for leaves whose measured mean cost is far under
// the others'. A leaf that becomes expensive loses its place by its measured cost, and what it overspent is made up for
// before the reserve serves again; so declaring expensive work as cheap gains nothing that lasts.
type Reserve struct {
	share        float64 // of the cores
	maxCostRatio float64 // of the mean of the leaves' costs
	balance      float64 // core seconds; negative while overspent
	updatedAt    time.Duration
}

// NewReserve returns a reserve of a share of the cores, for leaves whose cost is under maxCostRatio of the mean.
func NewReserve(share, maxCostRatio float64) *Reserve {
	return &Reserve{share: share, maxCostRatio: maxCostRatio}
}

// next is the cheapest eligible leaf that wants a run, while there is a balance.
func (r *Reserve) next(p *Pools, now time.Duration, wants func(leaf int) bool) (leaf int, found bool) {
	passed := max(now-r.updatedAt, 0).Seconds()
	r.updatedAt = max(now, r.updatedAt)
	r.balance = min(r.balance+passed*r.share*p.cores, maxReserveSeconds*r.share*p.cores)
	if r.balance <= 0 {
		return 0, false
	}
	leaf = -1
	for i := range p.accounts {
		if r.eligible(p, i) && wants(i) && (leaf < 0 || p.accounts[i].cost < p.accounts[leaf].cost) {
			leaf = i
		}
	}
	return leaf, leaf >= 0
}

// eligible reports whether a leaf's measured cost is low enough. Without a measured cost it is not.
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
