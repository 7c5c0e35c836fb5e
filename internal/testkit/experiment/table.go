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

// Interval is a mean over seeds with its 95% interval, by Student's t.
type Interval struct{ Mean, Half float64 }

func intervalOf(values []float64) Interval {
	mean, deviation := stat.MeanStdDev(values, nil)
	n := float64(len(values))
	if n < 2 {
		return Interval{mean, math.NaN()}
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(0.975)
	return Interval{mean, t * deviation / math.Sqrt(n)}
}

// Cell is one drill by one policy.
type Cell struct {
	Drill, Policy            string
	Share                    Interval // of importance honoured
	Paired                   Interval // less the first policy's, seed by seed
	Dismissed, GivenUp, Left float64  // parts of requests
	Tries                    float64  // a request
	P50, P99                 float64  // ms, medians over seeds
	Broken                   [5]int   // by rule, over all seeds
	Seconds                  []float64
}

// Cells sums runs up, in the order in which they came.
func Cells(runs []Run) (cells []Cell) {
	type place struct{ drill, policy string }
	by := map[place][]Run{}
	var order []place
	for _, r := range runs {
		at := place{r.Drill, r.Policy}
		if by[at] == nil {
			order = append(order, at)
		}
		by[at] = append(by[at], r)
	}
	first := map[string]string{}
	for _, at := range order {
		if first[at.drill] == "" {
			first[at.drill] = at.policy
		}
		c := Cell{Drill: at.drill, Policy: at.policy}
		reference := by[place{at.drill, first[at.drill]}]
		var shares, differences, p50, p99 []float64
		n := 0.0
		for i, r := range by[at] {
			shares = append(shares, r.Share())
			differences = append(differences, r.Share()-reference[i].Share())
			p50, p99 = append(p50, r.P50), append(p99, r.P99)
			n += float64(r.Result.Requests)
			c.Dismissed += float64(r.Result.Rejected)
			c.GivenUp += float64(r.Result.Aborted)
			c.Left += float64(r.Result.Unanswered)
			c.Tries += float64(r.Result.Attempts)
			for rule, broken := range r.Result.Rules.Violations {
				c.Broken[rule] += broken
			}
			for s, of := range r.Result.Seconds {
				if len(c.Seconds) <= s {
					c.Seconds = append(c.Seconds, 0)
				}
				if of.OfferedValue > 0 {
					c.Seconds[s] += of.Goodput / of.OfferedValue / float64(len(by[at]))
				}
			}
		}
		c.Share, c.Paired = intervalOf(shares), intervalOf(differences)
		c.Dismissed, c.GivenUp, c.Left, c.Tries = c.Dismissed/n, c.GivenUp/n, c.Left/n, c.Tries/n
		c.P50, c.P99 = median(p50), median(p99)
		cells = append(cells, c)
	}
	return cells
}

func median(values []float64) float64 {
	values = slices.Sorted(slices.Values(values))
	return stat.Quantile(0.5, stat.LinInterp, values, nil)
}

// Policies are those of the cells, in their order.
func policies(cells []Cell) (names []string) {
	for _, c := range cells {
		if !slices.Contains(names, c.Policy) {
			names = append(names, c.Policy)
		}
	}
	return names
}

func drillsOf(cells []Cell) (names []string) {
	for _, c := range cells {
		if !slices.Contains(names, c.Drill) {
			names = append(names, c.Drill)
		}
	}
	return names
}

// Table prints the cells.
func Table(to io.Writer, cells []Cell) error {
	t := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "drill\tpolicy\thonoured\t± 95%\tover the first\t± 95%\tdismissed\tgiven up\tleft\ttries\tp50 ms\tp99 ms\trules broken 1 2 3 4\t")
	for _, c := range cells {
		fmt.Fprintf(t, "%s\t%s\t%.3f\t%.3f\t%+.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.2f\t%.1f\t%.1f\t%d %d %d %d\t\n", c.Drill, c.Policy,
			c.Share.Mean, c.Share.Half, c.Paired.Mean, c.Paired.Half, c.Dismissed, c.GivenUp, c.Left, c.Tries, c.P50, c.P99,
			c.Broken[1], c.Broken[2], c.Broken[3], c.Broken[4])
	}
	return t.Flush()
}

// Overall prints each policy's mean over all drills, and over how many drills it is worse than the first beyond chance.
func Overall(to io.Writer, cells []Cell) error {
	t := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "policy\tmean honoured\tleast\tin drill\tworse than the first in\tbetter in\trules broken\t")
	for _, name := range policies(cells) {
		sum, n, least, in := 0.0, 0.0, 2.0, ""
		worse, better, broken := 0, 0, 0
		for _, c := range cells {
			if c.Policy != name {
				continue
			}
			sum, n = sum+c.Share.Mean, n+1
			if c.Share.Mean < least {
				least, in = c.Share.Mean, c.Drill
			}
			if c.Paired.Mean+c.Paired.Half < 0 {
				worse++
			}
			if c.Paired.Mean-c.Paired.Half > 0 {
				better++
			}
			for _, b := range c.Broken {
				broken += b
			}
		}
		fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%s\t%d\t%d\t%d\t\n", name, sum/n, least, in, worse, better, broken)
	}
	return t.Flush()
}
