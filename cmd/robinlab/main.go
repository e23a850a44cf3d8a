// Command robinlab runs simulators of the environment of robinpulley (store, fabric, hosts and
// clients) as separate processes. It also runs the demo and the fault runs on these processes, soaks
// on a simulator of the users' platform, and experiments in virtual time.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"robinpulley.example/robinpulley/internal/labcommand"
)

// commands defines the subcommands of robinlab.
type commands struct {
	Store    storeCommand    `cmd:"" help:"Simulate the key-value store and the machine list."`
	Fabric   fabricCommand   `cmd:"" help:"Simulate the fabric, which distributes packets over the balancers."`
	Host     hostCommand     `cmd:"" help:"Simulate one back-end host."`
	Caller   callerCommand   `cmd:"" help:"Simulate the clients of one service."`
	Demo     demoCommand     `cmd:"" help:"Run the demo on real processes and print a table."`
	Platform platformCommand `cmd:"" help:"Run balancers on a simulator of the users' platform and print a table."`
	Faults   faultsCommand   `cmd:"" help:"Execute fault runs on real processes and print a table."`
	Soak     soakCommand     `cmd:"" help:"Run balancers on a simulator of the users' platform under random faults and check that no rule is violated."`

	Experiment labcommand.Experiment `cmd:"" help:"Run scenarios on the decision core in virtual time."`
	Overload   labcommand.Overload   `cmd:"" help:"Simulate load beyond the capacity of back ends, with and without overload control, in virtual time."`
	Report     labcommand.Report     `cmd:"" help:"Write a table and plots of results."`
}

func main() {
	var line commands
	parsed := kong.Parse(&line, kong.Name("robinlab"), kong.Description("Simulators, demo and fault runs for robinpulley."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	context.AfterFunc(ctx, stop) // a second signal ends the process even if the command ignores ctx
	logger := zerolog.New(os.Stderr).With().Timestamp().Str("command", parsed.Command()).Logger()
	parsed.BindTo(ctx, (*context.Context)(nil))
	if err := parsed.Run(&logger); err != nil {
		logger.Error().Err(err).Msg("failed")
		stop()
		os.Exit(1)
	}
}
