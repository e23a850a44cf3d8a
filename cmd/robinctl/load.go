package main

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/loadreport"
	"robinpulley.example/robinpulley/internal/operator"
)

// loadCommand shows the load of services. It needs no store.
type loadCommand struct {
	Nodes   []string `arg:"" help:"Admin addresses of balancers, IP:PORT or a base URL each; one or two of each zone do." name:"admin-address"`
	Service string   `help:"Show this service only."`
	Zone    string   `help:"Show this zone only."`
}

// Run prints what the balancers tell; also when some of them have not answered.
func (command *loadCommand) Run(session *session) error {
	filter := operator.LoadFilter{Service: lb.ServiceName(command.Service), Zone: lb.Zone(command.Zone)}
	load, err := operator.ReadLoad(session.ctx, command.Nodes, filter)
	if load == nil {
		return err
	}
	return errors.CombineErrors(err, session.printer.load(load))
}

func (printer *printer) load(load *operator.Load) error {
	return printer.print(load, func(table io.Writer) {
		fmt.Fprintln(table, "SERVICE\tZONE\tPRIORITY\tASKED\tCAPACITY\tROOM\tLOAD\tHOME\tADMITTED\tWAITING\tREFUSED\tAGE")
		for index := range load.Rows {
			row := &load.Rows[index]
			fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%.1f\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", row.Service, row.Zone, row.Priority,
				ofFleet(row, "%.1f", row.Demand), row.Capacity, ofFleet(row, "%.1f", row.SpareCapacity), loadOf(row),
				ofNodes(row, "%.2f", row.LocalWeight), ofNodes(row, "%.2f", row.AdmissionRate), ofNodes(row, "%d", row.Queued),
				ofFleet(row, "%.1f", row.Refused), ofFleet(row, "%d ms", row.AgeMillis))
		}
	})
}

// unknown stands for what nobody has told.
const unknown = "-"

// ofFleet prints a value that is known while a service is near its limit.
func ofFleet(row *loadreport.Row, format string, value any) string {
	if !row.Known {
		return unknown
	}
	return fmt.Sprintf(format, value)
}

// ofNodes prints a value that the balancers of the row's zone tell.
func ofNodes(row *loadreport.Row, format string, value any) string {
	if row.Nodes == 0 {
		return unknown
	}
	return fmt.Sprintf(format, value)
}

// loadOf prints the load of back ends that have answered lately.
func loadOf(row *loadreport.Row) string {
	if row.Load == 0 {
		return unknown
	}
	return fmt.Sprintf("%.2f", row.Load)
}
