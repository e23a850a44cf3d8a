// Package report turns the results of experiments into a table and plots.
package report

import (
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"

	"robinpulley.example/robinpulley/internal/experiment"
)

// Row sums up the runs of one scenario on one kind of balancer.
type Row struct {
	Scenario, Balancer string
	Runs               int
	RunsWithBroken     int
	Established        int
	Broken             int
	ByCause            map[experiment.Cause]int
	RunTwice           int
	FalseNotRun        int
	WrongService       int
	LateNew            int
	// ImbalanceMean and ImbalanceWorst are over runs, of each run's worst service.
	ImbalanceMean, ImbalanceWorst float64
	// ImbalanceSpread is the standard deviation over runs.
	ImbalanceSpread float64
	ControlMax      float64 // bytes a second, the busiest node of any run
	RelayedShare    float64 // mean over runs
	InForceP99      float64 // milliseconds, over all changes of all runs
	TapP99          float64 // milliseconds, worst run
}

// Rows groups results by scenario and balancer, in their order of appearance.
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
		rows = append(rows, sumUp(members[key]))
	}
	return rows
}

func sumUp(results []*experiment.Result) Row {
	row := Row{
		Scenario: results[0].Scenario, Balancer: results[0].Balancer, Runs: len(results),
		ByCause: make(map[experiment.Cause]int),
	}
	var imbalances, inForce []float64
	for _, result := range results {
		row.add(result)
		imbalances = append(imbalances, worst(result))
		inForce = append(inForce, result.InForceMillis...)
		row.RelayedShare += result.RelayedShare / float64(len(results))
	}
	row.ImbalanceMean, row.ImbalanceSpread = meanAndSpread(imbalances)
	row.ImbalanceWorst = slices.Max(imbalances)
	row.InForceP99 = quantile(inForce, 0.99)
	return row
}

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
	row.ControlMax = max(row.ControlMax, result.ControlBytesMax)
	row.TapP99 = max(row.TapP99, result.Latency[experiment.Tap].P99)
}

func worst(result *experiment.Result) float64 {
	imbalance := 0.0
	for _, value := range result.Imbalance {
		imbalance = max(imbalance, value)
	}
	return imbalance
}

func meanAndSpread(values []float64) (mean, spread float64) {
	for _, value := range values {
		mean += value / float64(len(values))
	}
	for _, value := range values {
		spread += (value - mean) * (value - mean) / float64(len(values))
	}
	return mean, math.Sqrt(spread)
}

// quantile gives the value at a quantile (nearest rank), or zero of none.
func quantile(values []float64, at float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	rank := int(math.Ceil(at*float64(len(sorted)))) - 1
	return sorted[max(rank, 0)]
}

// Table writes the rows as text, and with a baseline named, the ratio of
// broken flows to the baseline's of the same scenario.
func Table(writer io.Writer, rows []Row, baseline string) error {
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
			row.ImbalanceMean, row.ImbalanceSpread, row.ImbalanceWorst,
			row.ControlMax, row.RelayedShare*100, row.InForceP99, row.TapP99)
		if baseline != "" {
			fmt.Fprint(table, "\t", ratio(row, rows, baseline))
		}
		fmt.Fprintln(table)
	}
	return table.Flush()
}

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
