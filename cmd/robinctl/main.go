// Command robinctl is the operators' command: it changes the configuration in
// the store by compare-and-swap and tells what is in force. Commands, output
// and exit codes are described in docs/operations-robinctl.md.
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
