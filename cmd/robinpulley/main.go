// Command robinpulley runs one balancer. Its settings come from a YAML file,
// over which flags go; see docs/operations-node.md for every setting, metric,
// log event and exit code.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/config"
	"robinpulley.example/robinpulley/internal/lb"
)

// The exit codes.
const (
	exitDone          = 0 // planned stop finished, or the command did its work
	exitFailed        = 1 // a fault while running
	exitBadSettings   = 2 // bad settings or command line
	exitStoppedAtOnce = 3 // a second signal ended a planned stop
)

type commandLine struct {
	Run     runCommand     `cmd:"" help:"Run a balancer until SIGTERM or SIGINT (planned stop; a second signal ends at once)."`
	Check   checkCommand   `cmd:"" help:"Check a settings file and list all its problems."`
	Version versionCommand `cmd:"" help:"Print the version."`

	VersionFlag kong.VersionFlag `name:"version" help:"Print the version."`
}

func main() {
	os.Exit(execute(os.Args[1:]))
}

// execute runs one command line and gives the exit code.
func execute(arguments []string) int {
	var commands commandLine
	answered := false // by the help or the version
	parser, err := kong.New(&commands,
		kong.Name("robinpulley"),
		kong.Description("A layer-4 load balancer that keeps every flow on its back end."),
		kong.Exit(func(int) { answered = true }),
		kong.Vars{"version": "robinpulley " + version()})
	if err != nil {
		return report(err)
	}
	context, err := parser.Parse(arguments)
	if answered {
		return exitDone
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "robinpulley:", err)
		return exitBadSettings
	}
	return report(context.Run())
}

// report prints an error and gives its exit code.
func report(err error) int {
	if err == nil {
		return exitDone
	}
	var problems config.Problems
	if errors.As(err, &problems) {
		fmt.Fprintln(os.Stderr, problems)
		return exitBadSettings
	}
	fmt.Fprintln(os.Stderr, "robinpulley:", err)
	switch {
	case errors.Is(err, os.ErrNotExist), errors.Is(err, os.ErrPermission):
		return exitBadSettings
	case errors.Is(err, lb.ErrStoppedImmediately):
		return exitStoppedAtOnce
	}
	return exitFailed
}
