package report

import (
	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
)

// Curve is one line of a plot, as the coordinates of its points.
type Curve struct {
	Name string
	X, Y []float64
}

// Axes holds the title of a plot and the labels of its axes.
type Axes struct {
	Title, X, Y string
}

// WriteCurves writes a plot of the curves to a file, as SVG. Its y axis starts at 0.
func WriteCurves(path string, axes Axes, curves []Curve) error {
	picture := plot.New()
	picture.Title.Text = axes.Title
	picture.X.Label.Text = axes.X
	picture.Y.Label.Text = axes.Y
	picture.Y.Min = 0
	picture.Legend.Top = true
	for index, curve := range curves {
		points := make(plotter.XYs, len(curve.X))
		for i := range points {
			points[i].X, points[i].Y = curve.X[i], curve.Y[i]
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return errors.Wrapf(err, "plot: curve %q", curve.Name)
		}
		line.Color = plotutil.Color(index)
		line.Dashes = plotutil.Dashes(index)
		picture.Add(line)
		picture.Legend.Add(curve.Name, line)
	}
	return errors.Wrapf(picture.Save(plotWidth, plotHeight, path), "plot %q", path)
}
