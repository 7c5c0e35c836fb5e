// Package classpool divides the server's one limit of requests in flight among classes of work: a tree of pools with
// floors, ceilings and weights, by measured demand and core time. It does not change the limit, preempts nothing, and is
// work-conserving: no core stays idle while a request is queued. It does no I/O and reads no clock.
package classpool

import (
	"errors"
	"fmt"
	"math"
)

const (
	maxPools  = 256
	maxDepth  = 4
	maxWeight = 1e6
	epsilon   = 1e-9 // by which sums of floors may exceed 1 through rounding
)

// Options configure a pool. Floor and Ceiling are parts of its parent's share.
type Options struct {
	Name    string
	Parent  string  // empty for a root
	Floor   float64 // guaranteed as far as there is demand; 0 to 1
	Ceiling float64 // not exceeded while other pools have demand; 0 to 1, and 0 means 1
	Weight  float64 // of its part in what floors leave; 0 means 1
}

// pool is one of the tree.
type pool struct {
	Options
	parent   int // -1 for a root
	children []int

	demand float64 // core seconds per second that its requests need, with all below it
	target float64 // share of all core time that updateTargets gave it
	share  float64 // share of all core time that it has; follows target
}

// Tree is a valid tree of pools.
type Tree struct {
	pools []pool // parents before their children
	roots []int
	index map[string]int // in pools, by name
}

// NewTree validates the options and builds a tree. The error joins all faults. Floors of siblings that add up to more than
// 1 are allowed: they are scaled, and Overcommitted names their parent.
func NewTree(all []Options) (*Tree, error) {
	if len(all) == 0 || len(all) > maxPools {
		return nil, fmt.Errorf("%d pools; 1 to %d are allowed", len(all), maxPools)
	}
	var faults []error
	byName := map[string]Options{}
	for _, options := range all {
		if options.Name == "" {
			faults = append(faults, errors.New("a pool without a name"))
		}
		if _, twice := byName[options.Name]; twice {
			faults = append(faults, fmt.Errorf("pool %q stands twice", options.Name))
		}
		byName[options.Name] = options
		faults = append(faults, options.faults()...)
	}
	for _, options := range all {
		faults = append(faults, options.depthFaults(byName)...)
	}
	if err := errors.Join(faults...); err != nil {
		return nil, err
	}
	return buildTree(all), nil
}

// faults checks the numbers of a pool.
func (o Options) faults() (faults []error) {
	if o.Ceiling == 0 {
		o.Ceiling = 1
	}
	for _, option := range []struct {
		name       string
		value, max float64
	}{{"floor", o.Floor, 1}, {"ceiling", o.Ceiling, 1}, {"weight", o.Weight, maxWeight}} {
		if !(option.value >= 0 && option.value <= option.max) { // so that NaN is a fault, too
			faults = append(faults, fmt.Errorf("pool %q: %s = %g: 0 to %g is allowed", o.Name, option.name, option.value, option.max))
		}
	}
	if o.Floor > o.Ceiling {
		faults = append(faults, fmt.Errorf("pool %q: floor %g over its ceiling %g", o.Name, o.Floor, o.Ceiling))
	}
	return faults
}

// depthFaults checks the pools above one. A cycle is too deep.
func (o Options) depthFaults(byName map[string]Options) (faults []error) {
	depth := 1
	for above := o.Parent; above != "" && depth <= maxDepth; depth++ {
		parent, known := byName[above]
		if !known {
			faults = append(faults, fmt.Errorf("pool %q: no pool %q", o.Name, above))
			break
		}
		above = parent.Parent
	}
	if depth > maxDepth {
		faults = append(faults, fmt.Errorf("pool %q: more than %d pools one inside the other, or a ring", o.Name, maxDepth))
	}
	return faults
}

// buildTree adds, as long as there are any left, the pools whose parents were added, in the given order.
func buildTree(all []Options) *Tree {
	t := &Tree{index: map[string]int{}}
	for len(t.pools) < len(all) {
		for _, options := range all {
			parent, parentAdded := t.index[options.Parent]
			if _, added := t.index[options.Name]; added || options.Parent != "" && !parentAdded {
				continue
			}
			t.add(options, parent)
		}
	}
	return t
}

// add appends a pool with its defaults. parent counts only where the options name one.
func (t *Tree) add(options Options, parent int) {
	if options.Ceiling == 0 {
		options.Ceiling = 1
	}
	if options.Weight == 0 {
		options.Weight = 1
	}
	index := len(t.pools)
	t.index[options.Name] = index
	p := pool{Options: options, parent: -1}
	if options.Parent != "" {
		p.parent = parent
		t.pools[parent].children = append(t.pools[parent].children, index)
	} else {
		t.roots = append(t.roots, index)
	}
	t.pools = append(t.pools, p)
}

// Overcommitted names the parents whose pools' floors add up to more than 1; "" stands for the roots.
func (t *Tree) Overcommitted() (names []string) {
	sum := func(pools []int) (floors float64) {
		for _, i := range pools {
			floors += t.pools[i].Floor
		}
		return floors
	}
	if sum(t.roots) > 1+epsilon {
		names = append(names, "")
	}
	for i := range t.pools {
		if sum(t.pools[i].children) > 1+epsilon {
			names = append(names, t.pools[i].Name)
		}
	}
	return names
}

// Leaf returns the index of a pool that requests can be in: one without children.
func (t *Tree) Leaf(name string) (index int, found bool) {
	index, known := t.index[name]
	return index, known && len(t.pools[index].children) == 0
}

// parentShare is the share of all core time that a pool's own share is part of.
func (t *Tree) parentShare(p *pool) float64 {
	if p.parent < 0 {
		return 1
	}
	return t.pools[p.parent].share
}

// updateTargets computes all targets from the demands of the leaves.
func (t *Tree) updateTargets(cores float64) {
	for i := len(t.pools) - 1; i >= 0; i-- { // children before their parents
		p := &t.pools[i]
		if len(p.children) == 0 {
			continue
		}
		p.demand = 0
		for _, child := range p.children {
			p.demand += t.pools[child].demand
		}
	}
	t.allocateAmong(t.roots, 1, cores)
	for i := range t.pools {
		if p := &t.pools[i]; len(p.children) > 0 {
			t.allocateAmong(p.children, p.target, cores)
		}
	}
}

// allocateAmong sets the targets of siblings, which divide a share.
func (t *Tree) allocateAmong(siblings []int, share, cores float64) {
	claims := make([]claim, len(siblings))
	for i, s := range siblings {
		p := &t.pools[s]
		demand := p.demand / max(cores, epsilon)
		if math.IsNaN(demand) || demand < 0 {
			demand = 0
		}
		claims[i] = claim{demand, p.Floor, p.Ceiling, p.Weight}
	}
	for i, allocated := range allocate(share, claims) {
		t.pools[siblings[i]].target = allocated
	}
}

// followTargets moves all shares towards their targets. A pool with demand gets its floor at once.
func (t *Tree) followTargets() {
	for i := range t.pools {
		p := &t.pools[i]
		if math.Abs(p.target-p.share) < minShareChange && p.share > 0 {
			continue
		}
		p.share += (p.target - p.share) * followRatio
		p.share = max(p.share, min(p.target, p.Floor*t.parentShare(p)))
	}
}
