package main

import (
	"context"
	"os"

	"robinpulley.example/robinpulley/internal/lab/cluster"
	"robinpulley.example/robinpulley/internal/lab/runs"
)

// platformCommand runs the demo of the users' platform.
type platformCommand struct {
	Out string `help:"Directory for logs and settings files." default:"out/platform"`
}

// Run starts everything, prints the table and ends every process it started.
func (command *platformCommand) Run(ctx context.Context) error {
	binaries, err := binaryDirectory()
	if err != nil {
		return err
	}
	return runs.Platform(ctx, cluster.Options{Binaries: binaries, Directory: command.Out}, os.Stdout)
}
