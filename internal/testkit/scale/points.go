package scale

import (
	"bufio"
	"cmp"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Point is one measured value.
type Point struct{ X, Value float64 }

// Points are measured values by series. The name of a series states what was measured and its unit.
type Points map[string][]Point

// Origin states how a set of points was measured.
type Origin struct {
	Seed    int64
	Commit  string
	Machine string // cores and memory
}

// LocalOrigin returns the origin of points measured on this machine with the checkout that the process runs in.
func LocalOrigin(seed int64) Origin {
	o := Origin{Seed: seed, Commit: "unknown"}
	if out, err := exec.Command("git", "describe", "--always", "--dirty").Output(); err == nil {
		o.Commit = strings.TrimSpace(string(out))
	}
	memory := "memory unknown"
	if raw, err := os.ReadFile("/proc/meminfo"); err == nil {
		var kb int
		if _, err := fmt.Sscanf(string(raw), "MemTotal: %d kB", &kb); err == nil {
			memory = fmt.Sprintf("%d GiB", (kb+(1<<19))>>20)
		}
	}
	o.Machine = fmt.Sprintf("%d cores, %s", runtime.NumCPU(), memory)
	return o
}

// String returns the origin on one line, as at the head of each file.
func (o Origin) String() string {
	return fmt.Sprintf("seed %d, commit %s, %s", o.Seed, o.Commit, o.Machine)
}

// Add adds a value to a series.
func (p Points) Add(series string, x, value float64) { p[series] = append(p[series], Point{x, value}) }

// Merge adds all values of another set.
func (p Points) Merge(other Points) {
	for series, points := range other {
		p[series] = append(p[series], points...)
	}
}

// Series returns the coordinates of a series in ascending order of x.
func (p Points) Series(series string) (xs, ys []float64) {
	points := slices.Clone(p[series])
	slices.SortStableFunc(points, func(a, b Point) int { return cmp.Compare(a.X, b.X) })
	for _, point := range points {
		xs, ys = append(xs, point.X), append(ys, point.Value)
	}
	return xs, ys
}

// Fit returns the least-squares line through a series.
func (p Points) Fit(series string) Line { return Fit(p.Series(series)) }

// MeanAt returns the mean of the values of a series at x, and reports whether there are any.
func (p Points) MeanAt(series string, x float64) (value float64, measured bool) {
	n := 0.0
	for _, point := range p[series] {
		if point.X == x {
			value += point.Value
			n++
		}
	}
	return value / max(n, 1), n > 0
}

// Write writes the points to a CSV file whose first line is their origin.
func (p Points) Write(path string, origin Origin) error {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("points: %w", err)
	}
	err = errors.Join(p.write(file, origin), file.Close())
	if err != nil {
		return fmt.Errorf("points: %w", err)
	}
	return nil
}

func (p Points) write(file io.Writer, origin Origin) error {
	if _, err := fmt.Fprintf(file, "# %s\n", origin); err != nil {
		return err
	}
	out := csv.NewWriter(file)
	rows := [][]string{{"series", "x", "value"}}
	for _, series := range slices.Sorted(maps.Keys(p)) {
		xs, ys := p.Series(series)
		for i := range xs {
			rows = append(rows, []string{series, formatNumber(xs[i]), formatNumber(ys[i])})
		}
	}
	return out.WriteAll(rows)
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'g', 6, 64) }

// ReadPoints reads a file that Write has written, and returns its points and the text of its origin.
func ReadPoints(path string) (Points, string, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, "", fmt.Errorf("points: %w", err)
	}
	defer func() { _ = file.Close() }()
	in := bufio.NewReader(file)
	origin, err := in.ReadString('\n')
	if err != nil || !strings.HasPrefix(origin, "# ") {
		return nil, "", fmt.Errorf("points: %s: first line is not an origin that starts with \"# \"", path)
	}
	rows, p := csv.NewReader(in), Points{}
	if _, err := rows.Read(); err != nil {
		return nil, "", fmt.Errorf("points: %s: %w", path, err)
	}
	for {
		row, err := rows.Read()
		if errors.Is(err, io.EOF) {
			return p, strings.TrimSpace(origin[2:]), nil
		}
		if err != nil {
			return nil, "", fmt.Errorf("points: %s: %w", path, err)
		}
		x, errX := strconv.ParseFloat(row[1], 64)
		value, errValue := strconv.ParseFloat(row[2], 64)
		if err := errors.Join(errX, errValue); err != nil {
			return nil, "", fmt.Errorf("points: %s: %w", path, err)
		}
		p.Add(row[0], x, value)
	}
}

const (
	chartWidth  = 7 * vg.Inch
	chartHeight = 4 * vg.Inch
)

// Chart saves a scatter chart of series to a file, with the fitted line of each series that is linear. x and y are the
// labels of the axes.
func (p Points) Chart(path, title, x, y string, origin Origin, series ...string) error {
	canvas := plot.New()
	canvas.Title.Text, canvas.X.Label.Text, canvas.Y.Label.Text = title+"\n"+origin.String(), x, y
	canvas.Legend.Top, canvas.Legend.Left = true, true
	canvas.Add(plotter.NewGrid())
	for i, name := range series {
		xs, ys := p.Series(name)
		points := make(plotter.XYs, len(xs))
		for k := range xs {
			points[k] = plotter.XY{X: xs[k], Y: ys[k]}
		}
		scatter, err := plotter.NewScatter(points)
		if err != nil {
			return fmt.Errorf("chart %s: %w", name, err)
		}
		scatter.Color, scatter.Shape = plotutil.Color(i), plotutil.Shape(i)
		canvas.Add(scatter)
		canvas.Legend.Add(name, scatter)
		if line := Fit(xs, ys); line.Linear {
			fitted := plotter.NewFunction(line.At)
			fitted.Color = plotutil.Color(i)
			canvas.Add(fitted)
		}
	}
	if err := canvas.Save(chartWidth, chartHeight, path); err != nil {
		return fmt.Errorf("chart %s: %w", filepath.Base(path), err)
	}
	return nil
}
