package labcommand

import (
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lab/surge"
	"robinpulley.example/robinpulley/internal/report"
)

// Overload is the subcommand that simulates loads up to and above the capacity of the back ends, in
// virtual time, under each overload-control policy.
type Overload struct {
	Loads []float64 `default:"0.5,1,1.5,2,2.5,3,3.5,4" help:"Loads; 2 is about what the back ends can do."`
	Seeds int       `default:"5" help:"Runs of each load, with seeds from 1 on."`
	Plot  string    `help:"File for a plot (SVG) of what is answered in time."`
}

// point holds the mean results over the runs of one load and policy.
type point struct {
	offered, answeredInTime, importantInTime float64 // requests per second; importantInTime is the share of important requests answered in time
	refused, shedByHosts                     float64 // openings refused by balancers and requests shed by hosts, per run
}

// Run executes the subcommand: it prints a table and optionally writes a plot.
func (c *Overload) Run() error {
	if c.Seeds < 1 {
		return errors.Newf("seeds %d: must be at least 1", c.Seeds)
	}
	for _, load := range c.Loads {
		if !(load > 0) {
			return errors.Newf("loads: %v: must be above 0", load)
		}
	}
	curves := make([]report.Curve, len(surge.Policies))
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "LOAD\tPOLICY\tASKED/S\tIN TIME/S\tIMPORTANT IN TIME\tREFUSED\tSHED BY HOSTS")
	for _, load := range c.Loads {
		for i, policy := range surge.Policies {
			p := c.measure(policy, load)
			curves[i].Name = string(policy)
			curves[i].X = append(curves[i].X, p.offered)
			curves[i].Y = append(curves[i].Y, p.answeredInTime)
			fmt.Fprintf(table, "%.1f\t%s\t%.0f\t%.0f\t%.3f\t%.0f\t%.0f\n",
				load, policy, p.offered, p.answeredInTime, p.importantInTime, p.refused, p.shedByHosts)
		}
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write table")
	}
	if c.Plot == "" {
		return nil
	}
	axes := report.Axes{Title: "Requests answered in time", X: "asked for a second", Y: "answered in time a second"}
	return report.WriteCurves(c.Plot, axes, curves)
}

// measure runs the simulation of one load and policy with each seed.
func (c *Overload) measure(policy surge.Policy, load float64) point {
	p := point{}
	runs := float64(c.Seeds)
	for seed := range c.Seeds {
		scenario := surge.Default(uint64(seed+1), policy, load)
		result := surge.Run(scenario)
		all := result.TotalCount()
		seconds := scenario.Duration.Seconds()
		p.offered += float64(all.Requests) / seconds / runs
		p.answeredInTime += float64(all.InTime) / seconds / runs
		p.importantInTime += result.ClassCount(surge.Important, 0, int(seconds)).InTimeShare() / runs
		p.shedByHosts += float64(result.Shed) / runs
		for _, refused := range result.Refused {
			p.refused += float64(refused) / runs
		}
	}
	return p
}
