package experiment

import (
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Interval is a mean over seeds with half the width of its 95% confidence interval, by Student's t. HalfWidth is NaN
// for fewer than two seeds.
type Interval struct{ Mean, HalfWidth float64 }

func intervalOf(values []float64) Interval {
	mean, deviation := stat.MeanStdDev(values, nil)
	n := float64(len(values))
	if n < 2 {
		return Interval{mean, math.NaN()}
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(0.975)
	return Interval{mean, t * deviation / math.Sqrt(n)}
}

// Cell is the summary of the runs of one drill with one policy.
type Cell struct {
	Drill, Policy                 string
	GoodputShare                  Interval  // goodput over offered value
	Difference                    Interval  // of GoodputShare from that of the first policy, seed by seed
	Rejected, Aborted, Unanswered float64   // shares of requests
	Attempts                      float64   // per request
	P50, P99                      float64   // milliseconds, medians over seeds
	Violations                    [5]int    // by rule (from 1), over all seeds
	SecondShares                  []float64 // goodput share of each second, mean over seeds
}

// Cells summarizes runs by drill and policy, in the order in which these first occur. Each policy of a drill must have
// runs of the same seeds in the same order.
func Cells(runs []Run) (cells []Cell) {
	type cellKey struct{ drill, policy string }
	runsByCell := map[cellKey][]Run{}
	var order []cellKey
	for _, r := range runs {
		key := cellKey{r.Drill, r.Policy}
		if runsByCell[key] == nil {
			order = append(order, key)
		}
		runsByCell[key] = append(runsByCell[key], r)
	}
	first := map[string]string{}
	for _, key := range order {
		if first[key.drill] == "" {
			first[key.drill] = key.policy
		}
		c := Cell{Drill: key.drill, Policy: key.policy}
		reference := runsByCell[cellKey{key.drill, first[key.drill]}]
		var shares, differences, p50, p99 []float64
		n := 0.0
		for i, r := range runsByCell[key] {
			shares = append(shares, r.GoodputShare())
			differences = append(differences, r.GoodputShare()-reference[i].GoodputShare())
			p50, p99 = append(p50, r.P50), append(p99, r.P99)
			n += float64(r.Result.Requests)
			c.Rejected += float64(r.Result.Rejected)
			c.Aborted += float64(r.Result.Aborted)
			c.Unanswered += float64(r.Result.Unanswered)
			c.Attempts += float64(r.Result.Attempts)
			for rule, violations := range r.Result.Rules.Violations {
				c.Violations[rule] += violations
			}
			for second, sums := range r.Result.Seconds {
				if len(c.SecondShares) <= second {
					c.SecondShares = append(c.SecondShares, 0)
				}
				if sums.OfferedValue > 0 {
					c.SecondShares[second] += sums.Goodput / sums.OfferedValue / float64(len(runsByCell[key]))
				}
			}
		}
		c.GoodputShare, c.Difference = intervalOf(shares), intervalOf(differences)
		c.Rejected, c.Aborted, c.Unanswered, c.Attempts = c.Rejected/n, c.Aborted/n, c.Unanswered/n, c.Attempts/n
		c.P50, c.P99 = median(p50), median(p99)
		cells = append(cells, c)
	}
	return cells
}

func median(values []float64) float64 {
	values = slices.Sorted(slices.Values(values))
	return stat.Quantile(0.5, stat.LinInterp, values, nil)
}

// policyNames returns the policies of the cells, in the order in which they first occur.
func policyNames(cells []Cell) (names []string) {
	for _, c := range cells {
		if !slices.Contains(names, c.Policy) {
			names = append(names, c.Policy)
		}
	}
	return names
}

func drillNames(cells []Cell) (names []string) {
	for _, c := range cells {
		if !slices.Contains(names, c.Drill) {
			names = append(names, c.Drill)
		}
	}
	return names
}

// Table writes a row for each cell.
func Table(w io.Writer, cells []Cell) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "drill\tpolicy\thonoured\t± 95%\tover the first\t± 95%\tdismissed\tgiven up\tleft\ttries\tp50 ms\tp99 ms\trules broken 1 2 3 4\t")
	for _, c := range cells {
		fmt.Fprintf(t, "%s\t%s\t%.3f\t%.3f\t%+.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.2f\t%.1f\t%.1f\t%d %d %d %d\t\n", c.Drill, c.Policy,
			c.GoodputShare.Mean, c.GoodputShare.HalfWidth, c.Difference.Mean, c.Difference.HalfWidth, c.Rejected, c.Aborted, c.Unanswered, c.Attempts, c.P50, c.P99,
			c.Violations[1], c.Violations[2], c.Violations[3], c.Violations[4])
	}
	return t.Flush()
}

// Overall writes a row for each policy: its mean goodput share over all drills, its lowest one and in which drill, the
// numbers of drills in which it is worse or better than the first policy by more than the 95% interval, and its
// violations.
func Overall(w io.Writer, cells []Cell) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "policy\tmean honoured\tleast\tin drill\tworse than the first in\tbetter in\trules broken\t")
	for _, name := range policyNames(cells) {
		sum, n, lowest, lowestDrill := 0.0, 0.0, 2.0, ""
		worse, better, violations := 0, 0, 0
		for _, c := range cells {
			if c.Policy != name {
				continue
			}
			sum, n = sum+c.GoodputShare.Mean, n+1
			if c.GoodputShare.Mean < lowest {
				lowest, lowestDrill = c.GoodputShare.Mean, c.Drill
			}
			if c.Difference.Mean+c.Difference.HalfWidth < 0 {
				worse++
			}
			if c.Difference.Mean-c.Difference.HalfWidth > 0 {
				better++
			}
			for _, b := range c.Violations {
				violations += b
			}
		}
		fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%s\t%d\t%d\t%d\t\n", name, sum/n, lowest, lowestDrill, worse, better, violations)
	}
	return t.Flush()
}
