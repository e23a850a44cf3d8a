package main

import (
	"context"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lab/cluster"
	"robinpulley.example/robinpulley/internal/lab/runs"
)

// demoCommand implements "robinlab demo".
type demoCommand struct {
	Out string `help:"Directory for logs and settings files." default:"out/demo"`
}

// Run starts all processes, runs the demo, prints its table and ends the processes.
func (command *demoCommand) Run(ctx context.Context) error {
	binaries, err := binaryDirectory()
	if err != nil {
		return err
	}
	return runs.RunDemo(ctx, cluster.Options{Binaries: binaries, Directory: command.Out}, os.Stdout)
}

// binaryDirectory returns the directory of this program, which also contains the other programs.
func binaryDirectory() (string, error) {
	program, err := os.Executable()
	return filepath.Dir(program), errors.Wrap(err, "find the path of this program")
}
