package experiment

import (
	"bytes"
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	width  = 9 * vg.Inch
	height = 4 * vg.Inch
)

// Format is the file format of a chart.
type Format string

// The supported formats.
const (
	SVG Format = "svg"
	PNG Format = "png"
)

func render(p *plot.Plot, format Format) ([]byte, error) {
	writer, err := p.WriterTo(width, height, string(format))
	if err != nil {
		return nil, fmt.Errorf("render chart: %w", err)
	}
	var raw bytes.Buffer
	if _, err := writer.WriteTo(&raw); err != nil {
		return nil, fmt.Errorf("render chart: %w", err)
	}
	return raw.Bytes(), nil
}

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Title.TextStyle.Font.Size = font.Points(13)
	p.Legend.Top, p.Legend.Left = false, true
	p.Add(plotter.NewGrid())
	return p
}

// SecondsChart draws the goodput share of each second of a drill by policy, as a mean over seeds. It leaves out the last
// element of Cell.SecondShares, which does not cover a whole second.
func SecondsChart(cells []Cell, drill, title string, format Format) ([]byte, error) {
	p := newPlot(title, "second in which requests began", "honoured importance")
	p.Y.Min, p.Y.Max = 0, 1.05
	series := 0
	for _, c := range cells {
		if c.Drill != drill {
			continue
		}
		points := make(plotter.XYs, 0, len(c.SecondShares))
		for second, share := range c.SecondShares[:max(len(c.SecondShares)-1, 0)] {
			points = append(points, plotter.XY{X: float64(second), Y: share})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, fmt.Errorf("draw chart: %w", err)
		}
		line.Color, line.Dashes, line.Width = plotutil.Color(series), plotutil.Dashes(series/7), vg.Points(1.2)
		if series == 0 {
			line.Width, line.Color = vg.Points(2.4), color.Black
		}
		series++
		p.Add(line)
		p.Legend.Add(c.Policy, line)
	}
	return render(p, format)
}

// OverallChart draws the goodput share of each drill by policy, with its 95% interval.
func OverallChart(cells []Cell, format Format) ([]byte, error) {
	p := newPlot("honoured importance by drill, with 95% intervals over seeds", "", "honoured importance")
	p.Y.Min, p.Y.Max = 0, 1.05
	names := drillNames(cells)
	all := policyNames(cells)
	for series, policy := range all {
		var points plotter.XYs
		var errs plotter.YErrors
		for x, drill := range names {
			for _, c := range cells {
				if c.Drill == drill && c.Policy == policy {
					points = append(points, plotter.XY{X: float64(x) + (float64(series)-float64(len(all))/2)*0.09, Y: c.GoodputShare.Mean})
					errs = append(errs, struct{ Low, High float64 }{c.GoodputShare.HalfWidth, c.GoodputShare.HalfWidth})
				}
			}
		}
		scatter, err := plotter.NewScatter(points)
		if err != nil {
			return nil, fmt.Errorf("draw chart: %w", err)
		}
		scatter.Color, scatter.Shape, scatter.Radius = plotutil.Color(series), plotutil.Shape(series), vg.Points(2.5)
		if series == 0 {
			scatter.Color = color.Black
		}
		if len(errs) > 0 && errs[0].High == errs[0].High { // false for NaN: one seed has no interval
			bars, err := plotter.NewYErrorBars(struct {
				plotter.XYer
				plotter.YErrorer
			}{points, errs})
			if err != nil {
				return nil, fmt.Errorf("draw chart: %w", err)
			}
			bars.Color = scatter.Color
			p.Add(bars)
		}
		p.Add(scatter)
		p.Legend.Add(policy, scatter)
	}
	p.NominalX(names...)
	p.X.Tick.Label.Rotation, p.X.Tick.Label.XAlign, p.X.Tick.Label.YAlign = 0.5, -1, -0.5
	return render(p, format)
}
