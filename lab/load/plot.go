package load

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// savePlot plots the rate of requests, and of good responses for each variant.
func savePlot(path string, s Scenario, results []Result) error {
	p := plot.New()
	p.Title.Text = s.Name + ": " + s.Description
	p.X.Label.Text = "time in s"
	p.Y.Label.Text = "requests per second"
	p.Legend.Top = true
	lines := []any{"sent", points(results[0].TimeSeries.At, results[0].TimeSeries.Sent)}
	for _, r := range results {
		lines = append(lines, "good, "+r.Variant, points(r.TimeSeries.At, r.TimeSeries.Good))
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}

func points(x, y []float64) plotter.XYs {
	out := make(plotter.XYs, len(x))
	for i := range x {
		out[i].X, out[i].Y = x[i], y[i]
	}
	return out
}
