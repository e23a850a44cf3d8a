package labcommand

import (
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lab/surge"
	"robinpulley.example/robinpulley/internal/report"
)

// Overload plays more load than back ends can do, in virtual time, with and
// without overload control.
type Overload struct {
	Loads []float64 `default:"0.5,1,1.5,2,2.5,3,3.5,4" help:"Loads; 2 is about what the back ends can do."`
	Seeds int       `default:"5" help:"Runs of each load, with seeds from 1 on."`
	Plot  string    `help:"File for a plot (SVG) of what is answered in time."`
}

// point is the mean of the runs of one load and policy.
type point struct {
	asked, inTime, important float64 // a second; the last a share
	refused, shed            float64 // a run
}

// Run carries the command out.
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
			curves[i].X = append(curves[i].X, p.asked)
			curves[i].Y = append(curves[i].Y, p.inTime)
			fmt.Fprintf(table, "%.1f\t%s\t%.0f\t%.0f\t%.3f\t%.0f\t%.0f\n",
				load, policy, p.asked, p.inTime, p.important, p.refused, p.shed)
		}
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "table")
	}
	if c.Plot == "" {
		return nil
	}
	axes := report.Axes{Title: "Requests answered in time", X: "asked for a second", Y: "answered in time a second"}
	return report.Curves(c.Plot, axes, curves)
}

func (c *Overload) measure(policy surge.Policy, load float64) point {
	p := point{}
	runs := float64(c.Seeds)
	for seed := range c.Seeds {
		scenario := surge.Default(uint64(seed+1), policy, load)
		result := surge.Run(scenario)
		all := result.All()
		seconds := scenario.Duration.Seconds()
		p.asked += float64(all.Asked) / seconds / runs
		p.inTime += float64(all.InTime) / seconds / runs
		p.important += result.Class(surge.Important, 0, int(seconds)).Share() / runs
		p.shed += float64(result.Shed) / runs
		for _, refused := range result.Refused {
			p.refused += float64(refused) / runs
		}
	}
	return p
}
