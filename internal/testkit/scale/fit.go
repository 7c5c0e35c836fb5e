package scale

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

const (
	// maxLinearResidual is the largest residual of a point, as a fraction of the range of values, at which a cost
	// counts as linear. No figure is extrapolated along the line of a cost that is not linear. A quadratic cost that is
	// measured at four or five points has a largest residual of a ninth of the range or more, so it does not count as
	// linear.
	maxLinearResidual = 0.1
	// maxConstantRange is the largest range of values, as a fraction of the largest value, at which a cost counts as
	// constant.
	maxConstantRange = 0.1
)

// Line is a least-squares line through points.
type Line struct {
	Intercept, Slope float64
	R2               float64 // fraction of the variance that the line explains
	MaxResidual      float64 // largest distance of a point from the line, in the unit of the values
	Linear           bool    // whether at least three points are linear or constant; see Fit
	N                int
}

// At returns the value of the line at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// Fit fits a line to points by least squares. Fewer than three points are never Linear: two points do not show whether
// the values between them are on the line.
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
