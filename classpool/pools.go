package classpool

import (
	"math"
	"time"
)

const (
	updateInterval  = 100 * time.Millisecond // of demands and shares
	demandWindow    = 2 * time.Second        // time constant of the decay of demand
	followRatio     = 0.3                    // part of the way to its target that a share moves in an update
	minShareChange  = 0.02                   // of all core time; closer targets are not followed: hysteresis
	maxSavedSeconds = 0.5                    // core seconds over its share that an idle leaf may save up
	maxCostSamples  = 100.0                  // runs that the mean cost looks back over
	minCostSamples  = 5                      // runs from which the mean cost is known
	minCost         = 1e-6                   // core seconds
	minShare        = 1e-3                   // of all core time that a leaf is charged by: without a share it still runs, slowly
)

// account is what a leaf has used and requested.
type account struct {
	virtualTime float64 // core seconds used, over its share of the cores
	cost        float64 // mean core seconds of a run
	costSamples float64 // runs in cost
	requested   float64 // core seconds, decaying with demandWindow
	running     int
	queued      int
}

// idle reports whether a leaf has no requests at all.
func (a *account) idle() bool { return a.queued+a.running == 0 }

// Pools divide the core time of one server among the leaves of a tree, by weighted fair queueing on measured core time:
// the leaf that has used least for its share goes next. It is not safe for concurrent use.
type Pools struct {
	tree        *Tree
	cores       float64
	leaves      []int       // tree indexes
	leafIndex   map[int]int // by tree index
	accounts    []account   // by leaf, as are leaves
	now         time.Duration
	updatedAt   time.Duration
	virtualTime float64  // the least of all leaves with requests
	Reserve     *Reserve // nil: none
}

// New returns the pools of a server. Until demand is known, each leaf has its share by floor and weight.
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

// Leaf returns the number of the leaf with a name, for the other methods.
func (p *Pools) Leaf(name string) (leaf int, found bool) {
	index, found := p.tree.Leaf(name)
	if !found {
		return 0, false
	}
	return p.leafIndex[index], true
}

// Enqueued counts a request that waits in a leaf's queue. expected is the core time that it needs, in seconds; 0 if unknown.
func (p *Pools) Enqueued(leaf int, expected float64) {
	a := &p.accounts[leaf]
	if a.idle() {
		// While it was idle, the others' virtual time moved on. It begins a little behind them, but not by all that: else it
		// would keep them out until it has made up for it.
		a.virtualTime = max(a.virtualTime, p.virtualTime-maxSavedSeconds)
	}
	a.queued++
	a.requested += a.expectedCost(expected)
}

// expectedCost is the measured mean, or the expected cost as long as few runs were measured.
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

// Dropped counts a queued request that is gone without a run.
func (p *Pools) Dropped(leaf int) { p.accounts[leaf].queued-- }

// Next returns the leaf whose request starts next, of those for which wants returns true. The reserve's come first while it
// has a balance (reserved), and leaves at their ceiling after all others, so that no core stays idle for a ceiling. found
// is false where no leaf wants a run.
func (p *Pools) Next(now time.Duration, wants func(leaf int) bool) (leaf int, reserved, found bool) {
	p.update(now)
	if p.Reserve != nil {
		if leaf, found := p.Reserve.next(p, now, wants); found {
			return leaf, true, true
		}
	}
	leaf = -1
	leafAtCeiling := true
	for i := range p.accounts {
		if !wants(i) {
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

// atCeiling reports whether a leaf runs as many requests as its ceiling allows; one is always allowed.
func (p *Pools) atCeiling(leaf int) bool {
	pool := &p.tree.pools[p.leaves[leaf]]
	return pool.Ceiling < 1 && float64(p.accounts[leaf].running) >= math.Max(1, pool.Ceiling*p.tree.parentShare(pool)*p.cores)
}

// Ticket is a run of a leaf, from Started to Ended.
type Ticket struct {
	leaf     int
	charged  float64
	reserved bool
}

// Started charges a run with its expected cost; Ended corrects that. reserved is as Next returned it.
func (p *Pools) Started(leaf int, expected float64, reserved bool) Ticket {
	a := &p.accounts[leaf]
	a.queued--
	a.running++
	ticket := Ticket{leaf, a.expectedCost(expected), reserved}
	p.charge(ticket, ticket.charged)
	return ticket
}

// Ended counts the end of a run that took so many core seconds. What a leaf overspent stays charged to it.
func (p *Pools) Ended(ticket Ticket, took float64) {
	a := &p.accounts[ticket.leaf]
	a.running--
	took = max(took, minCost)
	a.costSamples = min(a.costSamples+1, maxCostSamples)
	a.cost += (took - a.cost) / a.costSamples
	p.charge(ticket, took-ticket.charged)
}

// charge adds core seconds to a leaf's virtual time, and to the reserve's use for a reserved run.
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

// update moves demands, targets and shares on with time.
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
		// The queue is demand too, however long ago it came.
		p.tree.pools[p.leaves[i]].demand = a.requested/demandWindow.Seconds() + float64(a.queued)*a.cost/demandWindow.Seconds()
	}
	p.tree.updateTargets(p.cores)
	p.tree.followTargets()
}
