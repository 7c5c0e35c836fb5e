package scale

// Budgets holds what was measured, at whatever part of the planned size, against what control may cost a server. Where a
// cost grew as a line it is worked out for the planned size; else the largest that was measured stands.
func Budgets(p Points) []Figure {
	at := func(series string, x float64) float64 {
		if line := p.Fit(series); line.Straight {
			return line.At(x)
		}
		return p.largest(series)
	}
	return []Figure{
		{"resident memory, whole tables", at(seriesResident+bySize, 100), BudgetMemoryMB, "MB"},
		{"resident memory after reloads, whole tables", at(seriesAfterReloads+bySize, 100), BudgetMemoryMB, "MB"},
		{"idle core, whole tables", at(seriesIdle+bySize, 100), 100 * BudgetCore, "%"},
		{"memory of the callers' connections", at(seriesConnectionsMB, PlannedCallers) - at(seriesConnectionsMB, 0), BudgetMemoryMB, "MB"},
		{"control core of a quiet hollow server", p.largest(seriesQuietCore), 100 * BudgetCore, "%"},
		{"membership bytes", p.largest(seriesMemberBytes), BudgetBytes, "B/s"},
		{"added to a request, p99", p.largest(seriesAddedP99), BudgetLatencyMS, "ms"},
		{"most holders of one duty while regions are cut", p.largest(seriesCutHolders), 1, ""},
	}
}

// largest is the largest value of a series.
func (p Points) largest(series string) (largest float64) {
	_, ys := p.Of(series)
	for _, y := range ys {
		largest = max(largest, y)
	}
	return largest
}
