package main

import (
	"context"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lab/soak"
	"robinpulley.example/robinpulley/internal/lab/soak/faults"
)

// platformCommand implements "robinlab platform", the demo on the users' platform.
type platformCommand struct {
	Out string `help:"Directory for logs and settings files." default:"out/platform"`
}

// demoSteps returns the faults and changes of the demo, in order: a host is replaced, one balancer
// is stopped as planned, one is killed, a route is added, the store becomes unresponsive and
// recovers, the service of a route changes, a zone is evacuated and restored, and the settings are
// reloaded.
func demoSteps() []soak.Step {
	return []soak.Step{
		{At: 2 * time.Second, Fault: "drain", Target: 0},
		{At: 4 * time.Second, Fault: "stop", Target: 1},
		{At: 7 * time.Second, Fault: "kill", Target: 2},
		{At: 9 * time.Second, Fault: "change", Target: 0},
		{At: 10 * time.Second, Duration: 2 * time.Second, Fault: "store_silent"},
		{At: 14 * time.Second, Fault: "change", Target: 0},
		{At: 15 * time.Second, Duration: 2 * time.Second, Fault: "evacuate", Target: 0},
		{At: 19 * time.Second, Fault: "reload", Target: 0},
	}
}

// Run starts all processes, runs the demo, prints its table and ends the processes.
func (command *platformCommand) Run(ctx context.Context) error {
	settings, err := soakSettings(command.Out)
	if err != nil {
		return err
	}
	settings.Seed = 1
	settings.Steps = demoSteps()
	settings.Size = soak.Size{Nodes: 4, Hosts: 3, Zones: 2, ShortFlows: 20} // few enough for one zone to serve all flows
	report, err := soak.Run(ctx, settings, faults.All(), os.Stdout)
	if err != nil {
		return err
	}
	if err := report.Print(os.Stdout); err != nil {
		return err
	}
	if len(report.Violations) > 0 || report.UnknownFlowPackets > 0 {
		return errors.Newf("%d rule violations, %d packets arrived at the wrong host; logs are in %s",
			len(report.Violations), report.UnknownFlowPackets, command.Out)
	}
	return nil
}
