package classpool

import (
	"math"
	"time"
)

const (
	demandWindow    = 2 * time.Second // over which demand is measured: its decay
	followRatio     = 0.3             // of the way to its target that a share goes in a turn
	minShareChange  = 0.02            // of all, under which a target that moves is not followed: hysteresis
	maxSavedSeconds = 0.5             // seconds of its share that a pool which asked for nothing may have saved up
	maxCostSamples  = 100.0           // runs that a pool's mean cost looks back over: a drift is followed within twice as many
	minCost         = 1e-6            // seconds of a core
	updateInterval  = 100 * time.Millisecond
)

// account is what a leaf has used and asked for.
type account struct {
	virtualTime float64 // virtual time: core seconds used over its share
	cost        float64 // mean core seconds of a run
	costSamples float64
	requested   float64 // core seconds asked for, decaying
	running     int
	queued      int
}

// Pools part the room of one server. Their methods are for one owner.
type Pools struct {
	tree        *Tree
	cores       float64
	leaves      []int // places in the tree
	leafIndex   map[int]int
	accounts    []account
	now         time.Duration
	updatedAt   time.Duration
	virtualTime float64 // virtual time that the one served last had
	Reserve     *Reserve
}

// New makes the pools of a server with so many cores. Without anything known each leaf has its share by floor and weight.
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

// Leaf finds the number of the leaf that a pool's name stands for.
func (p *Pools) Leaf(name string) (leaf int, is bool) {
	place, is := p.tree.Leaf(name)
	if !is {
		return 0, false
	}
	return p.leafIndex[place], true
}

// Enqueued takes a task that is held, with the core seconds that it is expected to need; 0 where that is not known.
func (p *Pools) Enqueued(leaf int, expected float64) {
	a := &p.accounts[leaf]
	if a.queued+a.running == 0 {
		// One that asked for nothing for a while has not saved up all of that: it begins a little behind the others, and
		// they are not kept out while it makes up for it.
		a.virtualTime = max(a.virtualTime, p.virtualTime-maxSavedSeconds)
	}
	a.queued++
	a.requested += p.expectedCost(a, expected)
}

func (p *Pools) expectedCost(a *account, expected float64) float64 {
	switch {
	case a.costSamples >= 5 && a.cost > 0:
		return a.cost
	case expected > 0:
		return expected
	case a.cost > 0:
		return a.cost
	}
	return minCost
}

// Dropped takes that a held task is gone without a run.
func (p *Pools) Dropped(leaf int) { p.accounts[leaf].queued-- }

// Next names the leaf whose task is to start, of those for which wants says that they have one: the one that has used least
// core time for its share. Leaves at their ceilings come only after all others, so that no core stays idle for them; none is
// named where nobody wants. The reserve's come first while it has room.
func (p *Pools) Next(now time.Duration, wants func(leaf int) bool) (leaf int, reserved, some bool) {
	p.update(now)
	if p.Reserve != nil {
		if leaf, some := p.Reserve.next(p, now, wants); some {
			return leaf, true, true
		}
	}
	leaf = -1
	full := true // the best so far is at its ceiling
	for i := range p.accounts {
		if !wants(i) {
			continue
		}
		at := p.atCeiling(i)
		if leaf < 0 || full && !at || full == at && p.accounts[i].virtualTime < p.accounts[leaf].virtualTime {
			leaf, full = i, at
		}
	}
	return leaf, false, leaf >= 0
}

// atCeiling tells whether a leaf has its ceiling's part of the cores already.
func (p *Pools) atCeiling(leaf int) bool {
	t := &p.tree.pools[p.leaves[leaf]]
	whole := 1.0
	if t.parent >= 0 {
		whole = p.tree.pools[t.parent].share
	}
	return t.Ceiling < 1 && float64(p.accounts[leaf].running) >= math.Max(1, t.Ceiling*whole*p.cores)
}

// Ticket is a run of a leaf, from its start to its end.
type Ticket struct {
	leaf     int
	charged  float64
	reserved bool
}

// Started charges a run for what it is expected to need. What it did need is put right at its end. reserved is as Next told.
func (p *Pools) Started(leaf int, expected float64, reserved bool) Ticket {
	a := &p.accounts[leaf]
	a.queued--
	a.running++
	t := Ticket{leaf, p.expectedCost(a, expected), reserved}
	p.charge(t, t.charged)
	return t
}

// Ended takes the end of a run, with the core seconds that it took. Deficits carry over.
func (p *Pools) Ended(t Ticket, took float64) {
	a := &p.accounts[t.leaf]
	a.running--
	took = max(took, minCost)
	a.costSamples = min(a.costSamples+1, maxCostSamples)
	a.cost += (took - a.cost) / a.costSamples
	p.charge(t, took-t.charged)
}

func (p *Pools) charge(t Ticket, seconds float64) {
	if t.reserved && p.Reserve != nil {
		p.Reserve.balance -= seconds
	}
	a := &p.accounts[t.leaf]
	share := max(p.tree.pools[p.leaves[t.leaf]].share, 1e-3) // one without a share still goes on, slowly: no starvation
	a.virtualTime += seconds / (share * p.cores)
	if p.virtualTime = a.virtualTime; a.queued == 0 && a.running == 0 {
		return
	}
	for i := range p.accounts { // the system's time is the least of those that ask
		if b := &p.accounts[i]; b.queued+b.running > 0 {
			p.virtualTime = min(p.virtualTime, b.virtualTime)
		}
	}
}

// update moves demands and shares on with time.
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
		// A backlog is demand as well, however long ago it came.
		p.tree.pools[p.leaves[i]].demand = a.requested/demandWindow.Seconds() + float64(a.queued)*a.cost/demandWindow.Seconds()
	}
	p.tree.updateTargets(p.cores)
	for i := range p.tree.pools {
		t := &p.tree.pools[i]
		if math.Abs(t.target-t.share) < minShareChange && t.share > 0 {
			continue
		}
		t.share += (t.target - t.share) * followRatio
		// Never under the floor of one that asks: that part does not wait for the share to follow.
		whole := 1.0
		if t.parent >= 0 {
			whole = p.tree.pools[t.parent].share
		}
		t.share = max(t.share, min(t.target, t.Floor*whole))
	}
}

// State is what operators see of a leaf.
type State struct {
	Name          string  `json:"name"`
	Share         float64 `json:"share"` // of the cores
	Asks          float64 `json:"asks"`  // cores' worth of work
	CostMillis    float64 `json:"cost_ms"`
	Held, Running int
	Behind        float64 `json:"behind"` // seconds of its share that it has not had
}

// States are those of all leaves.
func (p *Pools) States() (all []State) {
	most := 0.0
	for _, a := range p.accounts {
		if a.queued+a.running > 0 {
			most = max(most, a.virtualTime)
		}
	}
	for i, a := range p.accounts {
		t := &p.tree.pools[p.leaves[i]]
		s := State{Name: t.Name, Share: t.share, Asks: t.demand, CostMillis: 1e3 * a.cost, Held: a.queued, Running: a.running}
		if a.queued+a.running > 0 {
			s.Behind = most - a.virtualTime
		}
		all = append(all, s)
	}
	return all
}
