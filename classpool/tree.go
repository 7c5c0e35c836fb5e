// Package classpool parts the one limit of tasks in flight among classes of work: a tree of pools with floors, ceilings and
// weights, by measured demand and core time. It does not replace the limit, stops nothing that runs, and leaves no room
// unused while anything is held. It does no I/O and reads no clock.
package classpool

import (
	"errors"
	"fmt"
	"math"
)

const (
	maxPools = 256
	maxDepth = 4
)

// Options state one pool. Shares are of its parent's room.
type Options struct {
	Name    string
	Parent  string  // empty at the top
	Floor   float64 // that it gets whatever others ask, while it asks for it; 0 to 1
	Ceiling float64 // that it never gets more than while others wait; 0 is 1
	Weight  float64 // by which what is left is parted; 0 is 1
}

// pool is one of the tree.
type pool struct {
	Options
	parent   int // -1 at the top
	children []int

	demand float64 // core seconds a second that its tasks ask for, all below it included
	target float64 // share of all core time that is worked out for it
	share  float64 // that it has; follows the target
}

// Tree is a tree of pools that Check has passed.
type Tree struct {
	pools []pool // parents before their children
	roots []int
	index map[string]int
}

// NewTree makes a tree. The error joins all that is wrong. Floors that add up to more than there is are no fault: each then
// gets its part of what there is, and Crowded names the parent.
func NewTree(all []Options) (*Tree, error) {
	var faults []error
	fault := func(words string, of ...any) { faults = append(faults, fmt.Errorf(words, of...)) }
	if len(all) == 0 || len(all) > maxPools {
		return nil, fmt.Errorf("%d pools; 1 to %d are allowed", len(all), maxPools)
	}
	stated := map[string]Options{}
	for _, t := range all {
		if t.Name == "" {
			fault("a pool without a name")
		}
		if _, twice := stated[t.Name]; twice {
			fault("pool %q stands twice", t.Name)
		}
		stated[t.Name] = t
		if t.Ceiling == 0 {
			t.Ceiling = 1
		}
		for _, of := range []struct {
			what        string
			value, most float64
		}{{"floor", t.Floor, 1}, {"ceiling", t.Ceiling, 1}, {"weight", t.Weight, 1e6}} {
			if !(of.value >= 0 && of.value <= of.most) {
				fault("pool %q: %s = %g: 0 to %g is allowed", t.Name, of.what, of.value, of.most)
			}
		}
		if t.Floor > t.Ceiling {
			fault("pool %q: floor %g over its ceiling %g", t.Name, t.Floor, t.Ceiling)
		}
	}
	for _, t := range all {
		depth := 1
		for up := t.Parent; up != "" && depth <= maxDepth; depth++ {
			parent, known := stated[up]
			if !known {
				fault("pool %q: no pool %q", t.Name, up)
				break
			}
			up = parent.Parent
		}
		if depth > maxDepth {
			fault("pool %q: more than %d pools one inside the other, or a ring", t.Name, maxDepth)
		}
	}
	if err := errors.Join(faults...); err != nil {
		return nil, err
	}
	t := &Tree{index: map[string]int{}}
	for len(t.pools) < len(all) { // those whose parent is there, in the order in which they were stated
		for _, one := range all {
			parent, there := t.index[one.Parent]
			if _, done := t.index[one.Name]; done || one.Parent != "" && !there {
				continue
			}
			if one.Ceiling == 0 {
				one.Ceiling = 1
			}
			if one.Weight == 0 {
				one.Weight = 1
			}
			at := len(t.pools)
			t.index[one.Name] = at
			p := pool{Options: one, parent: -1}
			if one.Parent != "" {
				p.parent = parent
				t.pools[parent].children = append(t.pools[parent].children, at)
			} else {
				t.roots = append(t.roots, at)
			}
			t.pools = append(t.pools, p)
		}
	}
	return t, nil
}

// Overcommitted names the parents, "" for the top, whose pools' floors add up to more than there is.
func (t *Tree) Overcommitted() (names []string) {
	sum := func(of []int) (floors float64) {
		for _, i := range of {
			floors += t.pools[i].Floor
		}
		return floors
	}
	if sum(t.roots) > 1+1e-9 {
		names = append(names, "")
	}
	for i := range t.pools {
		if sum(t.pools[i].children) > 1+1e-9 {
			names = append(names, t.pools[i].Name)
		}
	}
	return names
}

// Leaf finds a pool that tasks can be in: one without others inside it.
func (t *Tree) Leaf(name string) (place int, is bool) {
	place, known := t.index[name]
	return place, known && len(t.pools[place].children) == 0
}

// allocate parts a room among siblings: weighted max-min with floors and ceilings.
//
//   - Each gets its floor, or what it asks for if that is less; floors that are too many are scaled.
//   - What is left goes to those that ask for more, by weight, up to what they ask for and to their ceilings.
//   - What nobody asks for is lent by weight up to the ceilings, so that work which comes finds room at once.
//
// The first two are the max-min fair allocation (D. Bertsekas, R. Gallager, Data Networks, 6.5.2) above the floors: it ends
// after as many passes as there are siblings, as each pass fills at least one.
func allocate(room float64, asks, floors, ceilings, weights []float64) []float64 {
	n := len(asks)
	got := make([]float64, n)
	sum := 0.0
	for i := range n {
		got[i] = min(floors[i]*room, asks[i], ceilings[i]*room)
		sum += got[i]
	}
	if sum > room && sum > 0 {
		for i := range got {
			got[i] *= room / sum
		}
		sum = room
	}
	fill := func(most func(i int) float64) {
		for range n {
			left, weight := room, 0.0
			for i := range n {
				left -= got[i]
				if got[i] < most(i)-1e-12 {
					weight += weights[i]
				}
			}
			if left <= 1e-12*max(room, 1) || weight == 0 {
				return
			}
			for i := range n {
				if got[i] < most(i)-1e-12 {
					got[i] = min(got[i]+left*weights[i]/weight, most(i))
				}
			}
		}
	}
	fill(func(i int) float64 { return min(asks[i], ceilings[i]*room) })
	fill(func(i int) float64 { return ceilings[i] * room })
	return got
}

// updateTargets works out the targets of all pools from the demands of the leaves, of a whole of 1.
func (t *Tree) updateTargets(cores float64) {
	for i := len(t.pools) - 1; i >= 0; i-- { // children stand behind their parents
		p := &t.pools[i]
		if len(p.children) == 0 {
			continue
		}
		p.demand = 0
		for _, c := range p.children {
			p.demand += t.pools[c].demand
		}
	}
	t.allocateAmong(t.roots, 1, cores)
	for i := range t.pools {
		if p := &t.pools[i]; len(p.children) > 0 {
			t.allocateAmong(p.children, p.target, cores)
		}
	}
}

func (t *Tree) allocateAmong(siblings []int, room, cores float64) {
	n := len(siblings)
	asks, floors, ceilings, weights := make([]float64, n), make([]float64, n), make([]float64, n), make([]float64, n)
	for i, s := range siblings {
		p := &t.pools[s]
		asks[i], floors[i], ceilings[i], weights[i] = p.demand/max(cores, 1e-9), p.Floor, p.Ceiling, p.Weight
		if math.IsNaN(asks[i]) || asks[i] < 0 {
			asks[i] = 0
		}
	}
	for i, got := range allocate(room, asks, floors, ceilings, weights) {
		t.pools[siblings[i]].target = got
	}
}
