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

// Size of each plot.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
)

// line is what one plot shows of a sample.
type line struct {
	name, axis string
	value      func(experiment.Sample) float64
}

var lines = []line{
	{"imbalance", "busiest back end over mean", func(sample experiment.Sample) float64 { return sample.Imbalance }},
	{"broken", "broken flows so far", func(sample experiment.Sample) float64 { return float64(sample.Broken) }},
	{"open", "open flows", func(sample experiment.Sample) float64 { return float64(sample.Open) }},
}

// Plots writes one SVG per scenario and measure into a folder, each with the
// first run of every kind of balancer, and gives their paths.
func Plots(folder string, results []*experiment.Result) ([]string, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, errors.Wrap(err, "plots")
	}
	var paths []string
	for _, scenario := range scenarios(results) {
		for _, line := range lines {
			path := filepath.Join(folder, fmt.Sprintf("%s-%s.svg", fileName(scenario), line.name))
			if err := draw(path, scenario, line, firstRuns(results, scenario)); err != nil {
				return nil, err
			}
			paths = append(paths, path)
		}
	}
	return paths, nil
}

func fileName(scenario string) string { return strings.ReplaceAll(scenario, " ", "-") }

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

func draw(path, scenario string, line line, results []*experiment.Result) error {
	chart := plot.New()
	chart.Title.Text = scenario
	chart.X.Label.Text = "seconds"
	chart.Y.Label.Text = line.axis
	var arguments []any
	for _, result := range results {
		points := make(plotter.XYs, len(result.Samples))
		for i, sample := range result.Samples {
			points[i].X = float64(sample.Second)
			points[i].Y = line.value(sample)
		}
		arguments = append(arguments, result.Balancer, points)
	}
	if err := plotutil.AddLines(chart, arguments...); err != nil {
		return errors.Wrapf(err, "plot %s", path)
	}
	return errors.Wrapf(chart.Save(plotWidth, plotHeight, path), "plot %s", path)
}
