// Package report formats the results of experiments as a table and as plots.
package report

import (
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"

	"robinpulley.example/robinpulley/internal/experiment"
)

// Row is the summary of all runs of one scenario on one kind of balancer.
type Row struct {
	Scenario, Balancer string
	Runs               int
	RunsWithBroken     int // number of runs in which at least one flow broke
	Established        int
	Broken             int
	ByCause            map[experiment.Cause]int
	RunTwice           int
	FalseNotRun        int
	WrongService       int
	LateNew            int
	// ImbalanceMean and ImbalanceMax are the mean and the maximum over runs of the highest
	// imbalance of a service in each run.
	ImbalanceMean, ImbalanceMax float64
	// ImbalanceStdDev is the standard deviation of the same values.
	ImbalanceStdDev float64
	ControlBytesMax float64 // maximum over nodes and runs, in bytes per second
	RelayedShare    float64 // mean over runs
	InForceP99      float64 // over all placement changes of all runs, in milliseconds
	TapP99          float64 // maximum over runs, in milliseconds
}

// Rows returns one row for each combination of scenario and balancer, in order of appearance.
func Rows(results []*experiment.Result) []Row {
	type group struct{ scenario, balancer string }
	var order []group
	members := make(map[group][]*experiment.Result)
	for _, result := range results {
		key := group{result.Scenario, result.Balancer}
		if members[key] == nil {
			order = append(order, key)
		}
		members[key] = append(members[key], result)
	}
	rows := make([]Row, 0, len(order))
	for _, key := range order {
		rows = append(rows, summarize(members[key]))
	}
	return rows
}

// summarize returns the row of the results, which are of one scenario and balancer.
func summarize(results []*experiment.Result) Row {
	row := Row{
		Scenario: results[0].Scenario, Balancer: results[0].Balancer, Runs: len(results),
		ByCause: make(map[experiment.Cause]int),
	}
	var imbalances, inForce []float64
	for _, result := range results {
		row.add(result)
		imbalances = append(imbalances, maxImbalance(result))
		inForce = append(inForce, result.InForceMillis...)
		row.RelayedShare += result.RelayedShare / float64(len(results))
	}
	row.ImbalanceMean, row.ImbalanceStdDev = meanAndStdDev(imbalances)
	row.ImbalanceMax = slices.Max(imbalances)
	row.InForceP99 = quantile(inForce, 0.99)
	return row
}

// add adds the counts of a result to the row, and updates its maxima.
func (row *Row) add(result *experiment.Result) {
	if result.BrokenTotal > 0 {
		row.RunsWithBroken++
	}
	row.Established += result.Established
	row.Broken += result.BrokenTotal
	for cause, count := range result.Broken {
		row.ByCause[cause] += count
	}
	row.RunTwice += result.RunTwice
	row.FalseNotRun += result.FalseNotRun
	row.WrongService += result.WrongService
	row.LateNew += result.LateNew
	row.ControlBytesMax = max(row.ControlBytesMax, result.ControlBytesMax)
	row.TapP99 = max(row.TapP99, result.Latency[experiment.Tap].P99)
}

// maxImbalance returns the highest imbalance of a service in a result.
func maxImbalance(result *experiment.Result) float64 {
	imbalance := 0.0
	for _, value := range result.Imbalance {
		imbalance = max(imbalance, value)
	}
	return imbalance
}

// meanAndStdDev returns the mean and the standard deviation of the values.
func meanAndStdDev(values []float64) (mean, stdDev float64) {
	for _, value := range values {
		mean += value / float64(len(values))
	}
	for _, value := range values {
		stdDev += (value - mean) * (value - mean) / float64(len(values))
	}
	return mean, math.Sqrt(stdDev)
}

// quantile returns the value at a quantile by the nearest-rank method, or zero if there are no
// values.
func quantile(values []float64, at float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	rank := int(math.Ceil(at*float64(len(sorted)))) - 1
	return sorted[max(rank, 0)]
}

// WriteTable writes the rows as a text table. If baseline is not empty, an additional column holds
// the ratio of broken flows to those of the balancer named baseline in the same scenario.
func WriteTable(writer io.Writer, rows []Row, baseline string) error {
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	header := "scenario\tbalancer\truns\truns broken\tflows\tbroken\treset/refused/silent\ttwice\tfalse not-run\tlate new\timbalance (spread, worst)\tcontrol B/s max\trelayed\tin force p99 ms\ttap p99 ms"
	if baseline != "" {
		header += "\tbroken vs " + baseline
	}
	fmt.Fprintln(table, header)
	for _, row := range rows {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d/%d/%d\t%d\t%d\t%d\t%.3f (%.3f, %.3f)\t%.0f\t%.1f%%\t%.0f\t%.1f",
			row.Scenario, row.Balancer, row.Runs, row.RunsWithBroken, row.Established, row.Broken,
			row.ByCause[experiment.CauseReset], row.ByCause[experiment.CauseRefused], row.ByCause[experiment.CauseUnanswered],
			row.RunTwice, row.FalseNotRun, row.LateNew,
			row.ImbalanceMean, row.ImbalanceStdDev, row.ImbalanceMax,
			row.ControlBytesMax, row.RelayedShare*100, row.InForceP99, row.TapP99)
		if baseline != "" {
			fmt.Fprint(table, "\t", ratio(row, rows, baseline))
		}
		fmt.Fprintln(table)
	}
	return table.Flush()
}

// ratio returns the broken flows of a row divided by the baseline's in the same scenario, or "-" if
// the baseline has no row or no broken flows.
func ratio(row Row, rows []Row, baseline string) string {
	for _, other := range rows {
		if other.Scenario != row.Scenario || other.Balancer != baseline {
			continue
		}
		if other.Broken == 0 {
			return "-"
		}
		return fmt.Sprintf("%.4f", float64(row.Broken)/float64(other.Broken))
	}
	return "-"
}
