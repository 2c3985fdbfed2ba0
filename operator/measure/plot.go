package measure

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// The size of a plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
)

// Plot draws the first seed of a result over time: attempts to faulty targets,
// answered and refused requests per second, and ejected targets. The result must
// come from a run with Options.Series. The file name's extension selects the
// format, such as .svg or .png.
func (r *Result) Plot(path string) error {
	if len(r.Series) == 0 {
		return fmt.Errorf("plot %s to %s: the run kept no series", r.Scenario, path)
	}
	chart := plot.New()
	chart.Title.Text = fmt.Sprintf("%s, %s at %.0f%%, %s", r.Scenario, r.Service, 100*r.Load, r.Policy)
	chart.X.Label.Text = "seconds"
	chart.Y.Label.Text = "requests per second; targets"
	lines := []struct {
		name  string
		value func(*Point) float64
	}{
		{"attempts to faulty targets", func(p *Point) float64 { return p.Faulty }},
		{"answered", func(p *Point) float64 { return p.Answered }},
		{"refused", func(p *Point) float64 { return p.Refused }},
		{"ejected targets", func(p *Point) float64 { return float64(p.Ejected) }},
	}
	for i, line := range lines {
		if err := addLine(chart, i, line.name, r.Series[0], line.value); err != nil {
			return fmt.Errorf("plot %s to %s: %w", r.Scenario, path, err)
		}
	}
	if err := chart.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("plot %s to %s: %w", r.Scenario, path, err)
	}
	return nil
}

// addLine draws one value over time.
func addLine(chart *plot.Plot, index int, name string, series []Point, value func(*Point) float64) error {
	points := make(plotter.XYs, len(series))
	for i := range series {
		points[i].X = series[i].Seconds
		points[i].Y = value(&series[i])
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return fmt.Errorf("line %s: %w", name, err)
	}
	line.Color = plotutil.Color(index)
	chart.Add(line)
	chart.Legend.Add(name, line)
	return nil
}
