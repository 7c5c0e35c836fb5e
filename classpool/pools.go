package classpool

import (
	"math"
	"time"
)

const (
	updateInterval  = 100 * time.Millisecond // between updates of demands and shares
	demandWindow    = 2 * time.Second        // time constant of the decay of demand
	smoothingFactor = 0.3                    // fraction of the distance to its target that a share moves in one update
	minShareChange  = 0.02                   // of all core time; a target that is closer to the share is not followed (hysteresis)
	maxIdleCredit   = 0.5                    // virtual time in seconds by which a leaf that becomes active may lag behind the others
	maxCostSamples  = 100.0                  // number of latest runs that the mean cost covers
	minCostSamples  = 5                      // number of runs from which on the mean cost is used
	minCost         = 1e-6                   // core seconds
	minShare        = 1e-3                   // minimum share at which a leaf is charged, as a fraction of all core time: a leaf without a share still runs, slowly
)

// account records the core time that a leaf used and requested.
type account struct {
	virtualTime float64 // core seconds used, divided by the leaf's share of the cores
	cost        float64 // mean core seconds of a run
	costSamples float64 // number of runs in cost
	requested   float64 // core seconds, decaying with demandWindow
	running     int
	queued      int
}

// idle reports whether a leaf has neither queued requests nor runs.
func (a *account) idle() bool { return a.queued+a.running == 0 }

// Pools divides the core time of one server among the leaves of a tree by weighted fair queueing on measured core time:
// the leaf that has used the least relative to its share runs next. It is not safe for concurrent use.
type Pools struct {
	tree        *Tree
	cores       float64
	leaves      []int       // indexes in the tree
	leafIndex   map[int]int // by index in the tree
	accounts    []account   // by leaf, in the order of leaves
	now         time.Duration
	updatedAt   time.Duration
	virtualTime float64  // minimum over all leaves with requests; that of the leaf charged last if it was idle then
	Reserve     *Reserve // nil: no reserve
}

// New returns the pools of a server with a number of cores. Until demand is known, each leaf's share follows from its
// floor and weight.
func New(tree *Tree, cores float64, now time.Duration) *Pools {
	p := &Pools{tree: tree, cores: cores, leafIndex: map[int]int{}, now: now, updatedAt: now}
	for i := range tree.pools {
		if len(tree.pools[i].children) == 0 {
			p.leafIndex[i] = len(p.leaves)
			p.leaves = append(p.leaves, i)
		}
	}
	p.accounts = make([]account, len(p.leaves))
	tree.updateTargets(cores)
	for i := range tree.pools {
		tree.pools[i].share = tree.pools[i].target
	}
	return p
}

// Leaf returns the number of the leaf with a name, as the other methods take it. It is not the index in the tree.
func (p *Pools) Leaf(name string) (leaf int, found bool) {
	index, found := p.tree.Leaf(name)
	if !found {
		return 0, false
	}
	return p.leafIndex[index], true
}

// Enqueued records a request that was added to a leaf's queue. expected is the core time that it needs in seconds, 0 if
// unknown.
func (p *Pools) Enqueued(leaf int, expected float64) {
	a := &p.accounts[leaf]
	if a.idle() {
		// The other leaves' virtual time advanced while this leaf was idle. It may start behind them by maxIdleCredit
		// only: with the whole difference it would keep them from running until it has caught up.
		a.virtualTime = max(a.virtualTime, p.virtualTime-maxIdleCredit)
	}
	a.queued++
	a.requested += a.expectedCost(expected)
}

// expectedCost returns the measured mean cost, or the expected cost while too few runs were measured.
func (a *account) expectedCost(expected float64) float64 {
	switch {
	case a.costSamples >= minCostSamples && a.cost > 0:
		return a.cost
	case expected > 0:
		return expected
	case a.cost > 0:
		return a.cost
	}
	return minCost
}

// Dropped records that a queued request left the queue without a run.
func (p *Pools) Dropped(leaf int) { p.accounts[leaf].queued-- }

// Next returns the leaf whose request is to start next, among those for which ready returns true. A leaf that is
// eligible for the reserve comes first while the reserve has a balance; reserved is true then. Leaves at their ceiling
// are chosen last, so that no core stays idle because of a ceiling. found is false if no leaf is ready.
func (p *Pools) Next(now time.Duration, ready func(leaf int) bool) (leaf int, reserved, found bool) {
	p.update(now)
	if p.Reserve != nil {
		if leaf, found := p.Reserve.next(p, now, ready); found {
			return leaf, true, true
		}
	}
	leaf = -1
	leafAtCeiling := true
	for i := range p.accounts {
		if !ready(i) {
			continue
		}
		atCeiling := p.atCeiling(i)
		if leaf < 0 || leafAtCeiling && !atCeiling ||
			leafAtCeiling == atCeiling && p.accounts[i].virtualTime < p.accounts[leaf].virtualTime {
			leaf, leafAtCeiling = i, atCeiling
		}
	}
	return leaf, false, leaf >= 0
}

// atCeiling reports whether a leaf has as many runs as its ceiling allows; one run is always allowed.
func (p *Pools) atCeiling(leaf int) bool {
	pool := &p.tree.pools[p.leaves[leaf]]
	return pool.Ceiling < 1 && float64(p.accounts[leaf].running) >= math.Max(1, pool.Ceiling*p.tree.parentShare(pool)*p.cores)
}

// Ticket identifies a run of a leaf from Started to Ended.
type Ticket struct {
	leaf     int
	charged  float64
	reserved bool
}

// Started records the start of a queued request and charges its expected cost to the leaf; Ended corrects the charge.
// reserved is the value that Next returned.
func (p *Pools) Started(leaf int, expected float64, reserved bool) Ticket {
	a := &p.accounts[leaf]
	a.queued--
	a.running++
	ticket := Ticket{leaf, a.expectedCost(expected), reserved}
	p.charge(ticket, ticket.charged)
	return ticket
}

// Ended records the end of a run that took this many core seconds. It corrects the charge of the expected cost, so a
// leaf pays for what it overspent.
func (p *Pools) Ended(ticket Ticket, coreSeconds float64) {
	a := &p.accounts[ticket.leaf]
	a.running--
	coreSeconds = max(coreSeconds, minCost)
	a.costSamples = min(a.costSamples+1, maxCostSamples)
	a.cost += (coreSeconds - a.cost) / a.costSamples
	p.charge(ticket, coreSeconds-ticket.charged)
}

// charge adds core seconds to a leaf's virtual time and, for a reserved run, deducts them from the reserve's balance.
func (p *Pools) charge(ticket Ticket, seconds float64) {
	if ticket.reserved && p.Reserve != nil {
		p.Reserve.balance -= seconds
	}
	a := &p.accounts[ticket.leaf]
	share := max(p.tree.pools[p.leaves[ticket.leaf]].share, minShare)
	a.virtualTime += seconds / (share * p.cores)
	p.virtualTime = a.virtualTime
	if a.idle() {
		return
	}
	for i := range p.accounts {
		if other := &p.accounts[i]; !other.idle() {
			p.virtualTime = min(p.virtualTime, other.virtualTime)
		}
	}
}

// update recomputes demands, targets and shares if updateInterval has passed.
func (p *Pools) update(now time.Duration) {
	p.now = max(p.now, now)
	passed := p.now - p.updatedAt
	if passed < updateInterval {
		return
	}
	p.updatedAt = p.now
	decay := math.Exp(-float64(passed) / float64(demandWindow))
	for i := range p.accounts {
		a := &p.accounts[i]
		a.requested *= decay
		// Queued requests are demand regardless of how long ago they arrived.
		p.tree.pools[p.leaves[i]].demand = a.requested/demandWindow.Seconds() + float64(a.queued)*a.cost/demandWindow.Seconds()
	}
	p.tree.updateTargets(p.cores)
	p.tree.followTargets()
}
