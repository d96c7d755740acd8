package bbcompare

import (
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	barWidth   = 0.35 * vg.Centimeter
	// labelAngle is the rotation of the labels of the bars, in radians.
	labelAngle = 0.6
	// attainmentAxisMax leaves space for the legend above 100%.
	attainmentAxisMax = 120
	// overloadPrefix is the prefix of the names of the scenarios in the plot of goodput against load.
	overloadPrefix = "overload"
)

// Plot writes the plots of the report into a directory.
func Plot(directory string, pairs []Pair) error {
	if err := plotGoodput(filepath.Join(directory, "goodput.png"), pairs); err != nil {
		return err
	}
	return plotAttainment(filepath.Join(directory, "attainment.png"), pairs)
}

// plotGoodput plots the goodput against the load, if the pairs include overload scenarios.
func plotGoodput(path string, pairs []Pair) error {
	var system, baseline plotter.XYs
	for _, p := range pairs {
		if !strings.HasPrefix(p.Scenario.Name, overloadPrefix) {
			continue
		}
		system = append(system, plotter.XY{X: p.Scenario.Load, Y: p.System.Goodput()})
		baseline = append(baseline, plotter.XY{X: p.Scenario.Load, Y: p.Baseline.Goodput()})
	}
	if len(system) == 0 {
		return nil
	}
	canvas := plot.New()
	canvas.Title.Text = "Goodput by load"
	canvas.X.Label.Text = "load, relative to the capacity of the engines"
	canvas.Y.Label.Text = "complete answers within the deadline per second"
	canvas.Legend.Top = true
	canvas.Legend.Left = true
	canvas.Y.Min = 0
	if err := plotutil.AddLinePoints(canvas, "system", system, "baseline", baseline); err != nil {
		return errors.Wrap(err, "plot goodput")
	}
	return errors.Wrap(canvas.Save(plotWidth, plotHeight, path), "plot goodput")
}

// plotAttainment plots the deadline attainment in each scenario as bars.
func plotAttainment(path string, pairs []Pair) error {
	system, baseline := make(plotter.Values, len(pairs)), make(plotter.Values, len(pairs))
	names := make([]string, len(pairs))
	for i, p := range pairs {
		system[i] = 100 * p.System.Summary.Attainment().Share()
		baseline[i] = 100 * p.Baseline.Summary.Attainment().Share()
		names[i] = p.Scenario.Name
	}
	canvas := plot.New()
	canvas.Title.Text = "Deadline attainment"
	canvas.Y.Label.Text = "% of requests"
	canvas.Y.Min = 0
	canvas.X.Tick.Label.Rotation = labelAngle
	canvas.Legend.Top = true
	canvas.Y.Max = attainmentAxisMax
	for i, values := range []plotter.Values{system, baseline} {
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return errors.Wrap(err, "plot attainment")
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = vg.Length(2*i-1) * barWidth / 2
		canvas.Add(bars)
		canvas.Legend.Add([]string{"system", "baseline"}[i], bars)
	}
	canvas.NominalX(names...)
	return errors.Wrap(canvas.Save(plotWidth, plotHeight, path), "plot attainment")
}
