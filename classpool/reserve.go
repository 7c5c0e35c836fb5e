package classpool

import "time"

const maxReserveSeconds = 0.5 // seconds of its share that the reserve may have saved up

// Reserve keeps the cheapest work alive under any load: a share of core time, for leaves whose measured cost is under a part
// of the mean. A class that grows dear loses its place by what it was measured to cost, and what it overspends is owed first;
// so calling dear work cheap gains nothing that lasts.
type Reserve struct {
	share        float64 // of the cores
	maxCostRatio float64 // of the mean cost of all runs
	balance      float64 // core seconds
	updatedAt    time.Duration
}

// NewReserve makes a reserve of a share of the cores, for leaves that cost less than a part of the mean.
func NewReserve(share, under float64) *Reserve { return &Reserve{share: share, maxCostRatio: under} }

// next names the leaf that the reserve serves, of those that want: the cheapest.
func (r *Reserve) next(p *Pools, now time.Duration, wants func(leaf int) bool) (leaf int, some bool) {
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

// eligible tells whether a leaf has a place in the reserve. One of which little is known has none: its cost is not measured.
func (r *Reserve) eligible(p *Pools, leaf int) bool {
	mean, n := 0.0, 0.0
	for _, a := range p.accounts {
		if a.costSamples >= 5 {
			mean, n = mean+a.cost, n+1
		}
	}
	a := p.accounts[leaf]
	return n > 1 && a.costSamples >= 5 && a.cost < r.maxCostRatio*mean/n
}
