package main

import (
	"context"
	"os"

	"robinpulley.example/robinpulley/internal/lab/cluster"
	"robinpulley.example/robinpulley/internal/lab/runs"
)

// faultsCommand does fault runs.
type faultsCommand struct {
	Names   []string `arg:"" optional:"" help:"Runs to do; all when none is named."`
	Out     string   `help:"Directory for logs and settings files." default:"out/faults"`
	Stops   int      `help:"Planned stops in the run planned-stop." default:"50"`
	Changes int      `help:"Changes in the run racing-operators." default:"1000"`
}

// Run does the runs one after the other and prints a table.
func (command *faultsCommand) Run(ctx context.Context) error {
	binaries, err := binaryDirectory()
	if err != nil {
		return err
	}
	options := runs.FaultOptions{
		Cluster: cluster.Options{Binaries: binaries, Directory: command.Out},
		Timed:   true,
		Stops:   command.Stops,
		Changes: command.Changes,
	}
	return runs.Faults(ctx, command.Names, options, os.Stdout)
}
