package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/operator"
	"robinpulley.example/robinpulley/internal/trace"
)

// traceCommand finds one flow in logs. It needs no store.
type traceCommand struct {
	Flow   string        `arg:"" help:"The flow as logs name it: CALLER:PORT>FRONTEND:PORT."`
	Logs   []string      `arg:"" help:"Logs of all nodes; - is standard input."`
	Around time.Duration `help:"Show what happened to nodes so long before and after, too." default:"0s"`
}

// Run prints what the logs say of the flow.
func (command *traceCommand) Run(session *session) error {
	var lines []trace.Line
	for _, name := range command.Logs {
		read, err := readLog(name)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	found := trace.Of(lines, command.Flow, command.Around)
	if len(found) == 0 {
		return errors.Wrapf(operator.ErrNotFound, "flow %q in %d lines of %d logs", command.Flow, len(lines), len(command.Logs))
	}
	return session.printer.trace(found)
}

func readLog(name string) ([]trace.Line, error) {
	log := io.Reader(os.Stdin)
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return nil, errors.Mark(errors.Wrap(err, "logs"), operator.ErrBadInput)
		}
		defer file.Close()
		log = file
	}
	lines, _, err := trace.Read(log)
	return lines, errors.Wrapf(err, "logs %q", name)
}

func (printer *printer) trace(lines []trace.Line) error {
	return printer.print(lines, func(table io.Writer) {
		fmt.Fprintln(table, "TIME\tNODE\tEVENT\tCOPIES\tHOST\tREASON\tVERSION\tREVISION\tVIEW AGE")
		for _, line := range lines {
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", line.Time.Format("15:04:05.000"), line.Node, line.Event,
				ofFlow(line, line.Copies), line.Host+line.Backend, line.Reason+line.Failure,
				known(line.Version), known(line.Revision), ofFlow(line, fmt.Sprintf("%d ms", line.AgeMillis)))
		}
	})
}

// ofFlow prints a value that only lines of flows have.
func ofFlow(line trace.Line, value any) string {
	if line.Flow == "" {
		return ""
	}
	return fmt.Sprint(value)
}

// known prints a number that is not zero.
func known[T int64 | uint64](number T) string {
	if number == 0 {
		return ""
	}
	return fmt.Sprint(number)
}
