package main

import (
	"context"
	"os"

	"robinpulley.example/robinpulley/internal/lab/cluster"
	"robinpulley.example/robinpulley/internal/lab/runs"
)

// faultsCommand implements "robinlab faults".
type faultsCommand struct {
	Names   []string `arg:"" optional:"" help:"Names of fault runs; default: all."`
	Out     string   `help:"Directory for logs and settings files." default:"out/faults"`
	Stops   int      `help:"Number of planned stops in the run planned-stop." default:"50"`
	Changes int      `help:"Number of changes in the run racing-operators." default:"1000"`
}

// Run executes the fault runs one after the other and prints a table.
func (command *faultsCommand) Run(ctx context.Context) error {
	binaries, err := binaryDirectory()
	if err != nil {
		return err
	}
	options := runs.FaultOptions{
		Cluster:      cluster.Options{Binaries: binaries, Directory: command.Out},
		Timed:        true,
		PlannedStops: command.Stops,
		Changes:      command.Changes,
	}
	return runs.RunFaults(ctx, command.Names, options, os.Stdout)
}
