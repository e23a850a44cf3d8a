package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"

	"robinpulley.example/robinpulley/internal/config"
	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/dataplane"
	"robinpulley.example/robinpulley/internal/logging"
	"robinpulley.example/robinpulley/internal/node"
	"robinpulley.example/robinpulley/internal/tokennode"
	"robinpulley.example/robinpulley/platform"
)

// runCommand implements "robinpulley run". Its flags override the settings file.
type runCommand struct {
	Config              string   `help:"Settings file (YAML)." type:"path" placeholder:"FILE"`
	Node                string   `help:"Name of this node." placeholder:"NAME"`
	Zone                string   `help:"Zone of this node." placeholder:"ZONE"`
	Region              string   `help:"Region of this node." placeholder:"REGION"`
	DataAddress         string   `help:"IP and port for Geneve over UDP." placeholder:"IP:PORT"`
	ControlAddress      string   `help:"IP and port for peers, UDP and TCP." placeholder:"IP:PORT"`
	AdminAddress        string   `help:"IP and port for metrics and health." placeholder:"IP:PORT"`
	FabricReply         []string `help:"Fabric endpoints that accept refusals." placeholder:"IP:PORT"`
	StoreEndpoint       []string `help:"Base URLs of the store." placeholder:"URL"`
	MachinesURL         string   `help:"URL of the platform's machine list." placeholder:"URL"`
	Seed                []string `help:"Control addresses of peers." placeholder:"IP:PORT"`
	LogLevel            string   `help:"debug, info, warn or error." placeholder:"LEVEL"`
	AllowFaultInjection bool     `help:"Permit fault injection through the admin address; for tests only."`
}

// overrides returns the settings that are given as flags.
func (command *runCommand) overrides() config.Overrides {
	return config.Overrides{
		Node:                command.Node,
		Zone:                command.Zone,
		Region:              command.Region,
		DataAddress:         command.DataAddress,
		ControlAddress:      command.ControlAddress,
		AdminAddress:        command.AdminAddress,
		FabricReply:         command.FabricReply,
		StoreEndpoints:      command.StoreEndpoint,
		MachinesURL:         command.MachinesURL,
		Seeds:               command.Seed,
		LogLevel:            command.LogLevel,
		AllowFaultInjection: command.AllowFaultInjection,
	}
}

// Run runs the balancer until it stops. The first SIGTERM or SIGINT starts a planned stop; the
// second one ends the balancer immediately.
func (command *runCommand) Run() error {
	settings, err := config.Load(command.Config, command.overrides())
	if err != nil {
		return err
	}
	output := logging.NewNonBlockingWriter(os.Stdout, func(lines int) {
		fmt.Fprintf(os.Stderr, "robinpulley: %d log lines dropped\n", lines)
	})
	defer output.Close() // flushes buffered lines; an error could no longer be logged
	logger, err := logging.New(output, settings.LogLevel, string(settings.Node), string(settings.Zone))
	if err != nil {
		return err
	}
	balancer, err := command.newBalancer(settings, logger)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	handleSignals(balancer, cancel)
	return balancer.Run(ctx)
}

// runner is a node with chain or token affinity.
type runner interface {
	Run(ctx context.Context) error
	Stop()
	Reload()
}

// tokenGCPercent is the garbage collection target of a node with token affinity. The low value keeps
// the heap small. The cost is low, since the node holds a view of a few kilobytes and allocates
// little.
const tokenGCPercent = 25

// newBalancer returns the node for the affinity in the settings.
func (command *runCommand) newBalancer(settings *config.Settings, logger zerolog.Logger) (runner, error) {
	if settings.Affinity == core.AffinityChain {
		return node.New(settings, logger)
	}
	debug.SetGCPercent(tokenGCPercent)
	return tokennode.New(tokennode.Options{
		Settings: settings,
		Logger:   logger,
		Adapter: tokennode.Adapter{
			NewCodec: func() dataplane.Codec { return platform.NewCodec(settings.DataAddress.Port()) },
			Store:    platform.NewStore(settings.StoreEndpoints[0]),
		},
		Reload: func() (*config.Settings, error) { return config.Load(command.Config, command.overrides()) },
	})
}

// handleSignals starts a planned stop at the first SIGTERM or SIGINT, and calls stopNow at the
// second one. SIGHUP makes the balancer reload its settings.
func handleSignals(balancer runner, stopNow func()) {
	stops := make(chan os.Signal, 2)
	signal.Notify(stops, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stops
		balancer.Stop()
		<-stops
		stopNow()
	}()
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	go func() {
		for range reloads {
			balancer.Reload()
		}
	}()
}

// checkCommand implements "robinpulley check".
type checkCommand struct {
	File string `arg:"" help:"Settings file (YAML)." type:"path"`
}

// Run prints that the file has no problems, or returns all its problems as an error.
func (command *checkCommand) Run() error {
	if _, err := config.Load(command.File, config.Overrides{}); err != nil {
		return err
	}
	fmt.Printf("%s: no problems\n", command.File)
	return nil
}

// versionCommand implements "robinpulley version".
type versionCommand struct{}

// Run prints the version.
func (*versionCommand) Run() error {
	fmt.Println("robinpulley", version())
	return nil
}

// version returns the module version that the Go toolchain recorded in the binary.
func version() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.Main.Version
	}
	return "unknown"
}
