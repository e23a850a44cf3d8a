// Command robinctl is the command-line tool for operators. It changes the configuration in the store
// by compare-and-swap, and shows the configuration that is in force. docs/operations-robinctl.md
// describes its commands, output and exit codes.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
