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

// traceCommand implements "robinctl trace". It needs no store.
type traceCommand struct {
	Flow   string        `arg:"" help:"Flow as written in logs: CALLER:PORT>FRONTEND:PORT."`
	Logs   []string      `arg:"" help:"Logs of all nodes; - is standard input."`
	Around time.Duration `help:"Also show events of nodes within this time before and after the flow." default:"0s"`
}

// Run prints the log lines of the flow, in order of time.
func (command *traceCommand) Run(session *session) error {
	var lines []trace.Line
	for _, name := range command.Logs {
		read, err := readLog(name)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	matches := trace.LinesOfFlow(lines, command.Flow, command.Around)
	if len(matches) == 0 {
		return errors.Wrapf(operator.ErrNotFound, "flow %q in %d lines of %d logs", command.Flow, len(lines), len(command.Logs))
	}
	return session.printer.trace(matches)
}

// readLog reads the lines of one log file, or of standard input if the name is "-".
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

// trace prints log lines.
func (printer *printer) trace(lines []trace.Line) error {
	return printer.print(lines, func(table io.Writer) {
		fmt.Fprintln(table, "TIME\tNODE\tEVENT\tCOPIES\tHOST\tREASON\tVERSION\tREVISION\tVIEW AGE")
		for _, line := range lines {
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", line.Time.Format("15:04:05.000"), line.Node, line.Event,
				formatFlowValue(line, line.Copies), line.Host+line.Backend, line.Reason+line.Failure,
				formatNonZero(line.Version), formatNonZero(line.Revision), formatFlowValue(line, fmt.Sprintf("%d ms", line.AgeMillis)))
		}
	})
}

// formatFlowValue formats a value that only log lines about flows have.
func formatFlowValue(line trace.Line, value any) string {
	if line.Flow == "" {
		return ""
	}
	return fmt.Sprint(value)
}

// formatNonZero formats a number, and returns an empty string for zero.
func formatNonZero[T int64 | uint64](number T) string {
	if number == 0 {
		return ""
	}
	return fmt.Sprint(number)
}
