// Package bbslope measures how the costs of an entry VM grow, as slopes over sizes: it
// drives the core of one node under a manual clock, with peers and endpoints that
// answer at once, and fits a line to what each size costs.
package bbslope

import (
	"fmt"
	"io"
	"strings"

	"gonum.org/v1/gonum/stat"
)

// Slope is a cost measured at several sizes with a line fitted to it.
type Slope struct {
	// Name says what grows and Unit is that of the costs.
	Name string
	Unit string
	// Size says what the sizes count.
	Size string
	// Points has at least three points.
	Points []Point
	// Intercept and PerUnit are the line's, Determination is its R squared.
	Intercept float64
	PerUnit   float64
	RSquared  float64
}

// Point is the cost of one size.
type Point struct {
	Size float64
	Cost float64
}

// Fit returns a slope with its line.
func Fit(name, unit, size string, points []Point) Slope {
	xs, ys := make([]float64, len(points)), make([]float64, len(points))
	for i, p := range points {
		xs[i] = p.Size
		ys[i] = p.Cost
	}
	intercept, perUnit := stat.LinearRegression(xs, ys, nil, false)
	return Slope{
		Name:      name,
		Unit:      unit,
		Size:      size,
		Points:    points,
		Intercept: intercept,
		PerUnit:   perUnit,
		RSquared:  stat.RSquared(xs, ys, nil, intercept, perUnit),
	}
}

// Write writes slopes as a Markdown table.
func Write(w io.Writer, slopes []Slope) {
	fmt.Fprintln(w, "| cost | unit | by | measured | per one more | at none | R² |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | ---: | ---: | ---: |")
	for _, s := range slopes {
		fmt.Fprintf(w, "| %s | %s | %s | %s | %.4g | %.4g | %.4f |\n",
			s.Name, s.Unit, s.Size, pointsText(s.Points), s.PerUnit, s.Intercept, s.RSquared)
	}
}

func pointsText(points []Point) string {
	parts := make([]string, len(points))
	for i, p := range points {
		parts[i] = fmt.Sprintf("%.0f: %.4g", p.Size, p.Cost)
	}
	return strings.Join(parts, ", ")
}
