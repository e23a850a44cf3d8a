// Command robinpulley runs one balancer. It reads its settings from a YAML file; flags override
// them. docs/operations-node.md describes every setting, metric, log event and exit code.
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
	exitDone               = 0 // the planned stop or the command has finished
	exitFailed             = 1 // an error while running
	exitBadSettings        = 2 // invalid settings or command line
	exitStoppedImmediately = 3 // a second signal ended the planned stop
)

// commandLine defines the commands and flags.
type commandLine struct {
	Run     runCommand     `cmd:"" help:"Run a balancer until SIGTERM or SIGINT (planned stop; a second signal ends it immediately)."`
	Check   checkCommand   `cmd:"" help:"Check a settings file and list all its problems."`
	Version versionCommand `cmd:"" help:"Print the version."`

	VersionFlag kong.VersionFlag `name:"version" help:"Print the version."`
}

func main() {
	os.Exit(execute(os.Args[1:]))
}

// execute runs one command line and returns the exit code.
func execute(arguments []string) int {
	var commands commandLine
	printed := false // kong has printed the help or the version
	parser, err := kong.New(&commands,
		kong.Name("robinpulley"),
		kong.Description("A layer-4 load balancer that keeps every flow on its back end."),
		kong.Exit(func(int) { printed = true }),
		kong.Vars{"version": "robinpulley " + version()})
	if err != nil {
		return report(err)
	}
	context, err := parser.Parse(arguments)
	if printed {
		return exitDone
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "robinpulley:", err)
		return exitBadSettings
	}
	return report(context.Run())
}

// report prints the error, if any, and returns its exit code.
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
		return exitStoppedImmediately
	}
	return exitFailed
}
