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

// runCommand runs a balancer. Its flags override the settings file.
type runCommand struct {
	Config              string   `help:"Settings file (YAML)." type:"path" placeholder:"FILE"`
	Node                string   `help:"Name of this node." placeholder:"NAME"`
	Zone                string   `help:"Zone of this node." placeholder:"ZONE"`
	Region              string   `help:"Region of this node." placeholder:"REGION"`
	DataAddress         string   `help:"IP and port for Geneve over UDP." placeholder:"IP:PORT"`
	ControlAddress      string   `help:"IP and port for peers, UDP and TCP." placeholder:"IP:PORT"`
	AdminAddress        string   `help:"IP and port for metrics and health." placeholder:"IP:PORT"`
	FabricReply         []string `help:"Fabric endpoints that take refusals." placeholder:"IP:PORT"`
	StoreEndpoint       []string `help:"Base URLs of the store." placeholder:"URL"`
	MachinesURL         string   `help:"URL of the platform's machine list." placeholder:"URL"`
	Seed                []string `help:"Control addresses of peers." placeholder:"IP:PORT"`
	LogLevel            string   `help:"debug, info, warn or error." placeholder:"LEVEL"`
	AllowFaultInjection bool     `help:"Accept faults on the admin address; for tests only."`
}

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

// Run runs the balancer: the first signal begins a planned stop, the second
// ends it at once.
func (command *runCommand) Run() error {
	settings, err := config.Load(command.Config, command.overrides())
	if err != nil {
		return err
	}
	output := logging.NewNonBlockingWriter(os.Stdout, func(lines int) {
		fmt.Fprintf(os.Stderr, "robinpulley: %d log lines dropped\n", lines)
	})
	defer output.Close() // writes what waits; there is nobody to tell of an error
	logger, err := logging.New(output, settings.LogLevel, string(settings.Node), string(settings.Zone))
	if err != nil {
		return err
	}
	balancer, err := command.newBalancer(settings, logger)
	if err != nil {
		return err
	}
	running, cancel := context.WithCancel(context.Background())
	defer cancel()
	followSignals(balancer, cancel)
	return balancer.Run(running)
}

// runner is a node of either affinity.
type runner interface {
	Run(ctx context.Context) error
	Stop()
	Reload()
}

// tokenGCPercent keeps the heap of a node small: it holds a view of some
// kilobytes and makes little garbage, so that collecting more often costs little.
const tokenGCPercent = 25

// newBalancer makes the node for the affinity of the settings.
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

// followSignals stops the balancer as planned at the first SIGTERM or SIGINT
// and at once at the second. SIGHUP has it read its settings again.
func followSignals(balancer runner, stopAtOnce func()) {
	stops := make(chan os.Signal, 2)
	signal.Notify(stops, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stops
		balancer.Stop()
		<-stops
		stopAtOnce()
	}()
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	go func() {
		for range reloads {
			balancer.Reload()
		}
	}()
}

// checkCommand checks a settings file.
type checkCommand struct {
	File string `arg:"" help:"Settings file (YAML)." type:"path"`
}

// Run prints the problems of the file, or that there are none.
func (command *checkCommand) Run() error {
	if _, err := config.Load(command.File, config.Overrides{}); err != nil {
		return err
	}
	fmt.Printf("%s: no problems\n", command.File)
	return nil
}

// versionCommand prints the version.
type versionCommand struct{}

// Run prints the version.
func (*versionCommand) Run() error {
	fmt.Println("robinpulley", version())
	return nil
}

// version is what the Go toolchain recorded in the binary.
func version() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.Main.Version
	}
	return "unknown"
}
