package config

import "quartzpoint/classpool"

const (
	maxPools      = 256
	maxPoolWeight = 1e6
)

// readPools reads the tree of pools that divides the limit of requests in flight among classes of work. Each pool is a
// [pools.NAME] table with its parent (none for a root), its floor and ceiling as fractions of the parent's capacity,
// and the weight by which the rest is divided. Package classpool validates the tree.
func readPools(s *section) []classpool.Options {
	var all []classpool.Options
	before := len(s.errs)
	for _, sub := range s.subsections(maxPools) {
		all = append(all, classpool.Options{
			Name:    sub.name,
			Parent:  sub.stringValue("parent", "", "the name of another pool is allowed", isNotEmpty),
			Floor:   sub.float("floor", 0, 1),
			Ceiling: sub.float("ceiling", 1, 1),
			Weight:  sub.float("weight", 1, maxPoolWeight),
		})
		sub.rejectUnknown()
	}
	if len(s.errs) > before { // validating the tree would repeat the errors of its pools
		return all
	}
	if _, err := classpool.NewTree(all); err != nil {
		for _, poolErr := range splitJoined(err) {
			s.addError("", nil, poolErr.Error())
		}
	}
	return all
}
