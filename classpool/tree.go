// Package classpool divides a server's limit of requests in flight among classes of work: a tree of pools with floors,
// ceilings and weights, based on measured demand and core time. It does not change the limit, preempts nothing, and is
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
	epsilon   = 1e-9 // by which a sum of floors may exceed 1 because of rounding; also the minimum divisor of demand
)

// Options configures a pool. Floor and Ceiling are fractions of its parent's share.
type Options struct {
	Name    string
	Parent  string  // empty for a root
	Floor   float64 // from 0 to 1; guaranteed as far as there is demand
	Ceiling float64 // from 0 to 1, and 0 means 1; not exceeded while other pools have demand
	Weight  float64 // for the division of the capacity above the floors; 0 means 1
}

// pool is one pool of a tree.
type pool struct {
	Options
	parent   int // -1 for a root
	children []int

	demand float64 // core seconds per second needed by its requests and those of its descendants
	target float64 // share of all core time that updateTargets computed
	share  float64 // share of all core time that currently applies; approaches target
}

// Tree is a validated tree of pools.
type Tree struct {
	pools []pool // parents before their children
	roots []int
	index map[string]int // in pools, by name
}

// NewTree validates the options and builds a tree. The error joins all errors in the options. Floors of siblings may
// add up to more than 1: they are scaled down, and Overcommitted returns their parent's name.
func NewTree(all []Options) (*Tree, error) {
	if len(all) == 0 || len(all) > maxPools {
		return nil, fmt.Errorf("%d pools; 1 to %d are allowed", len(all), maxPools)
	}
	var errs []error
	byName := map[string]Options{}
	for _, options := range all {
		if options.Name == "" {
			errs = append(errs, errors.New("pool without a name"))
		}
		if _, duplicate := byName[options.Name]; duplicate {
			errs = append(errs, fmt.Errorf("duplicate pool name %q", options.Name))
		}
		byName[options.Name] = options
		errs = append(errs, options.rangeErrors()...)
	}
	for _, options := range all {
		errs = append(errs, options.ancestorErrors(byName)...)
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	return buildTree(all), nil
}

// rangeErrors returns an error for each number of a pool that is out of range.
func (o Options) rangeErrors() (errs []error) {
	if o.Ceiling == 0 {
		o.Ceiling = 1
	}
	for _, option := range []struct {
		name       string
		value, max float64
	}{{"floor", o.Floor, 1}, {"ceiling", o.Ceiling, 1}, {"weight", o.Weight, maxWeight}} {
		if !(option.value >= 0 && option.value <= option.max) { // also rejects NaN
			errs = append(errs, fmt.Errorf("pool %q: %s = %g: 0 to %g is allowed", o.Name, option.name, option.value, option.max))
		}
	}
	if o.Floor > o.Ceiling {
		errs = append(errs, fmt.Errorf("pool %q: floor %g is above its ceiling %g", o.Name, o.Floor, o.Ceiling))
	}
	return errs
}

// ancestorErrors returns an error if an ancestor of a pool does not exist or there are too many of them. A cycle counts
// as too many.
func (o Options) ancestorErrors(byName map[string]Options) (errs []error) {
	depth := 1
	for ancestor := o.Parent; ancestor != "" && depth <= maxDepth; depth++ {
		parent, known := byName[ancestor]
		if !known {
			errs = append(errs, fmt.Errorf("pool %q: its ancestor %q does not exist", o.Name, ancestor))
			break
		}
		ancestor = parent.Parent
	}
	if depth > maxDepth {
		errs = append(errs, fmt.Errorf("pool %q: nested more than %d levels deep, or a cycle", o.Name, maxDepth))
	}
	return errs
}

// buildTree adds all pools to a tree, in passes: each pass adds the pools whose parents were added, in the given order.
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

// add appends a pool with its defaults. parent is used only if the options name a parent.
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

// Overcommitted returns the names of the parents whose children's floors add up to more than 1; "" represents the
// roots.
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

// Leaf returns the index of a pool without children; only such a pool can have requests.
func (t *Tree) Leaf(name string) (index int, found bool) {
	index, known := t.index[name]
	return index, known && len(t.pools[index].children) == 0
}

// parentShare returns the share of all core time that is divided among a pool and its siblings.
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
		p.share += (p.target - p.share) * smoothingFactor
		p.share = max(p.share, min(p.target, p.Floor*t.parentShare(p)))
	}
}
