package main

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/loadreport"
	"robinpulley.example/robinpulley/internal/operator"
)

// loadCommand implements "robinctl load". It needs no store.
type loadCommand struct {
	Nodes   []string `arg:"" help:"Admin addresses of balancers, IP:PORT or a base URL each; one or two for each zone are enough." name:"admin-address"`
	Service string   `help:"Show this service only."`
	Zone    string   `help:"Show this zone only."`
}

// Run queries the balancers and prints the load that they report. It prints the load even if some
// balancers don't respond.
func (command *loadCommand) Run(session *session) error {
	filter := operator.LoadFilter{Service: lb.ServiceName(command.Service), Zone: lb.Zone(command.Zone)}
	load, err := operator.ReadLoad(session.ctx, command.Nodes, filter)
	if load == nil {
		return err
	}
	return errors.CombineErrors(err, session.printer.load(load))
}

// load prints one row for each service, zone and priority.
func (printer *printer) load(load *operator.Load) error {
	return printer.print(load, func(table io.Writer) {
		fmt.Fprintln(table, "SERVICE\tZONE\tPRIORITY\tASKED\tCAPACITY\tROOM\tLOAD\tHOME\tADMITTED\tWAITING\tREFUSED\tAGE")
		for index := range load.Rows {
			row := &load.Rows[index]
			fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%.1f\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", row.Service, row.Zone, row.Priority,
				formatFleetValue(row, "%.1f", row.Demand), row.Capacity, formatFleetValue(row, "%.1f", row.SpareCapacity), formatLoad(row),
				formatNodeValue(row, "%.2f", row.LocalWeight), formatNodeValue(row, "%.2f", row.AdmissionRate), formatNodeValue(row, "%d", row.Queued),
				formatFleetValue(row, "%.1f", row.Refused), formatFleetValue(row, "%d ms", row.AgeMillis))
		}
	})
}

// unknown is printed in place of a value that no balancer has reported.
const unknown = "-"

// formatFleetValue formats a value that balancers exchange only while the service is near its limit.
func formatFleetValue(row *loadreport.Row, format string, value any) string {
	if !row.LoadKnown {
		return unknown
	}
	return fmt.Sprintf(format, value)
}

// formatNodeValue formats a value that only balancers in the row's zone report.
func formatNodeValue(row *loadreport.Row, format string, value any) string {
	if row.Nodes == 0 {
		return unknown
	}
	return fmt.Sprintf(format, value)
}

// formatLoad formats the load of the back ends, which is 0 if none has responded recently.
func formatLoad(row *loadreport.Row) string {
	if row.Load == 0 {
		return unknown
	}
	return fmt.Sprintf("%.2f", row.Load)
}
