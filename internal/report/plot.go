package report

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"robinpulley.example/robinpulley/internal/experiment"
)

// Width and height of each plot.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
)

// measure is a quantity that a plot shows over time. Its name is part of the file name.
type measure struct {
	name, axisLabel string
	value           func(experiment.Sample) float64
}

var measures = []measure{
	{"imbalance", "busiest back end over mean", func(sample experiment.Sample) float64 { return sample.Imbalance }},
	{"broken", "broken flows so far", func(sample experiment.Sample) float64 { return float64(sample.Broken) }},
	{"open", "open flows", func(sample experiment.Sample) float64 { return float64(sample.Open) }},
}

// WritePlots writes one SVG file per scenario and measure to a folder, and returns the paths of the
// files. Each plot has one line per kind of balancer, from the first run of that kind.
func WritePlots(folder string, results []*experiment.Result) ([]string, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, errors.Wrap(err, "create folder for plots")
	}
	var paths []string
	for _, scenario := range scenarios(results) {
		for _, measure := range measures {
			path := filepath.Join(folder, fmt.Sprintf("%s-%s.svg", fileName(scenario), measure.name))
			if err := writePlot(path, scenario, measure, firstRuns(results, scenario)); err != nil {
				return nil, err
			}
			paths = append(paths, path)
		}
	}
	return paths, nil
}

// fileName returns the name of a scenario as a part of a file name.
func fileName(scenario string) string { return strings.ReplaceAll(scenario, " ", "-") }

// scenarios returns the names of the scenarios, in order of appearance.
func scenarios(results []*experiment.Result) []string {
	var names []string
	seen := make(map[string]bool)
	for _, result := range results {
		if !seen[result.Scenario] {
			seen[result.Scenario] = true
			names = append(names, result.Scenario)
		}
	}
	return names
}

// firstRuns returns the first result of a scenario for each kind of balancer.
func firstRuns(results []*experiment.Result, scenario string) []*experiment.Result {
	var first []*experiment.Result
	seen := make(map[string]bool)
	for _, result := range results {
		if result.Scenario == scenario && !seen[result.Balancer] {
			seen[result.Balancer] = true
			first = append(first, result)
		}
	}
	return first
}

// writePlot writes the plot of one measure of a scenario to a file.
func writePlot(path, scenario string, measure measure, results []*experiment.Result) error {
	chart := plot.New()
	chart.Title.Text = scenario
	chart.X.Label.Text = "seconds"
	chart.Y.Label.Text = measure.axisLabel
	var arguments []any
	for _, result := range results {
		points := make(plotter.XYs, len(result.Samples))
		for i, sample := range result.Samples {
			points[i].X = float64(sample.Second)
			points[i].Y = measure.value(sample)
		}
		arguments = append(arguments, result.Balancer, points)
	}
	if err := plotutil.AddLines(chart, arguments...); err != nil {
		return errors.Wrapf(err, "plot %s", path)
	}
	return errors.Wrapf(chart.Save(plotWidth, plotHeight, path), "plot %s", path)
}
