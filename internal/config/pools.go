package config

import "quartzpoint/classpool"

const maxPools = 256

// readPools reads the tree of pools that parts the one limit of tasks in flight among classes of work, a
// [pools.NAME] table for each: its parent (none at the top), floor and ceiling as parts of the parent's room,
// and the weight by which what is left is parted. The tree is checked whole by classpool, as it will be used.
func readPools(s *section) (all []classpool.Options) {
	before := len(s.errs)
	for _, one := range s.subsections(maxPools) {
		all = append(all, classpool.Options{
			Name:    one.name,
			Parent:  one.stringValue("parent", "", "the name of another pool is allowed", func(n string) bool { return n != "" }),
			Floor:   one.float("floor", 0, 0, 1),
			Ceiling: one.float("ceiling", 1, 0, 1),
			Weight:  one.float("weight", 1, 0, 1e6),
		})
		one.rejectUnknown()
	}
	if len(s.errs) == before { // else the tree is wrong already, and more would be said of the same
		if _, err := classpool.NewTree(all); err != nil {
			for _, e := range splitJoined(err) {
				s.addError("", nil, e.Error())
			}
		}
	}
	return all
}
