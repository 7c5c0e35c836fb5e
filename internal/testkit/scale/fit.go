package scale

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

const (
	// maxLinearResidual is how far the worst point may lie from a line, as a part of the range of values, for the cost to
	// count as one that grows as a line. Past it no figure is worked out by the line. Of a square's four or five points the
	// worst lies off by a ninth and more, so a square is none.
	maxLinearResidual = 0.1
	// maxConstantRange is the range of values, as a part of the largest, below which a cost counts as constant.
	maxConstantRange = 0.1
)

// Line is a least-squares line through points.
type Line struct {
	Intercept, Slope float64
	R2               float64 // share of the variance that the line explains
	MaxResidual      float64 // largest distance of a point from the line, in the unit of the values
	Linear           bool    // every point lies near it
	N                int
}

// At returns the value of the line at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// Fit draws a line through points by least squares. Fewer than three points are never Straight: a line through two
// says nothing of what lies between.
func Fit(xs, ys []float64) Line {
	l := Line{N: len(xs)}
	if len(xs) < 2 {
		return l
	}
	l.Intercept, l.Slope = stat.LinearRegression(xs, ys, nil, false)
	l.R2 = stat.RSquared(xs, ys, nil, l.Intercept, l.Slope)
	low, high := math.Inf(1), math.Inf(-1)
	for i, x := range xs {
		l.MaxResidual = max(l.MaxResidual, math.Abs(ys[i]-l.At(x)))
		low, high = min(low, ys[i]), max(high, ys[i])
	}
	flat := high-low <= maxConstantRange*math.Abs(high)
	l.Linear = len(xs) >= 3 && (flat || l.MaxResidual <= maxLinearResidual*(high-low))
	return l
}
