package scale

import "math"

// BudgetFigures compares the measured cost of control with its budgets. Several values at one x are averaged; of the
// series of the hollow fleets the largest value counts.
func BudgetFigures(p Points) []Figure {
	at := func(series string, x float64) float64 {
		value, measured := p.MeanAt(series, x)
		if !measured {
			return math.NaN() // counts as missed; see Figure.Missed
		}
		return value
	}
	return []Figure{
		{"resident memory, whole tables", at(seriesResident+bySize, 100), BudgetMemoryMB, "MB"},
		{"resident memory after reloads, whole tables", at(seriesAfterReloads+bySize, 100), BudgetMemoryMB, "MB"},
		{"idle core, whole tables", at(seriesIdle+bySize, 100), 100 * BudgetCore, "%"},
		{"memory of the callers' connections", at(seriesConnectionsMB, PlannedRouters) - at(seriesConnectionsMB, 0), BudgetMemoryMB, "MB"},
		{"control core of a quiet hollow server", p.largest(seriesQuietCore), 100 * BudgetCore, "%"},
		{"membership bytes", p.largest(seriesMemberBytes), BudgetBytes, "B/s"},
		{"added to a request at 220 a second, p99", at(seriesAddedP99, PlannedRequestRate/PlannedServers), BudgetLatencyMS, "ms"},
		{"most holders of one duty while regions are cut", p.largest(seriesPartitionHolders), 1, ""},
	}
}

// largest returns the largest value of a series, 0 if it has no points.
func (p Points) largest(series string) (largest float64) {
	_, ys := p.Series(series)
	for _, y := range ys {
		largest = max(largest, y)
	}
	return largest
}
