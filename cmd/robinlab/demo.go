package main

import (
	"context"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lab/cluster"
	"robinpulley.example/robinpulley/internal/lab/runs"
)

// demoCommand runs the demo.
type demoCommand struct {
	Out string `help:"Directory for logs and settings files." default:"out/demo"`
}

// Run starts everything, prints the table and ends every process it started.
func (command *demoCommand) Run(ctx context.Context) error {
	binaries, err := binaryDirectory()
	if err != nil {
		return err
	}
	return runs.Demo(ctx, cluster.Options{Binaries: binaries, Directory: command.Out}, os.Stdout)
}

// binaryDirectory is where this program is, and the others beside it.
func binaryDirectory() (string, error) {
	program, err := os.Executable()
	return filepath.Dir(program), errors.Wrap(err, "find this program")
}
