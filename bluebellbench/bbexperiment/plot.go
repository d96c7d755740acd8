package bbexperiment

import (
	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Plot draws the mean worth over all patterns and seeds against the load, one line for each policy.
func Plot(path string, results []Result) error {
	type point struct {
		policy string
		load   float64
	}
	sums := make(map[point]float64)
	counts := make(map[point]float64)
	var loads []float64
	for _, r := range results {
		k := point{
			policy: r.Policy,
			load:   r.Load,
		}
		sums[k] += r.Worth
		counts[k]++
		if len(loads) == 0 || r.Load > loads[len(loads)-1] {
			loads = append(loads, r.Load)
		}
	}
	p := plot.New()
	p.X.Label.Text = "load relative to the pattern"
	p.Y.Label.Text = "mean worth over patterns and seeds"
	var lines []any
	for _, policy := range Policies {
		var line plotter.XYs
		for _, load := range loads {
			k := point{
				policy: policy.Name,
				load:   load,
			}
			line = append(line, plotter.XY{
				X: load,
				Y: sums[k] / max(1, counts[k]),
			})
		}
		lines = append(lines, policy.Name, line)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return errors.Wrap(err, "plot")
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "plot")
}

// The size of a plot.
const (
	plotWidth  = 6 * vg.Inch
	plotHeight = 4 * vg.Inch
)
