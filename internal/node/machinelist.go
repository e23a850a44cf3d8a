package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"robinpulley.example/robinpulley/internal/logging"
	"robinpulley.example/robinpulley/internal/machines"
	"robinpulley.example/robinpulley/internal/member"
)

// Reading of the machine list.
const (
	// aloneInterval is short: a node that knows no other member takes itself
	// for the only one, and decides on flows as such.
	aloneInterval = 300 * time.Millisecond
	// startInterval holds for startTime, in which a fleet that starts comes together.
	startInterval = time.Second
	startTime     = 30 * time.Second
	// settledInterval spares the platform once the membership has taken over.
	settledInterval = 10 * time.Second
	machinesTimeout = time.Second
)

// followMachines reads the platform's machine list until ctx ends.
func (node *Node) followMachines(ctx context.Context) {
	client := &http.Client{Timeout: machinesTimeout}
	started := time.Now()
	failed := false
	for {
		failed = node.readMachines(ctx, client, failed)
		interval := machinesInterval(len(node.directory.all()), time.Since(started))
		// Half of it at random, so that nodes started together do not ask together.
		interval = interval/2 + rand.N(interval)
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
	}
}

// machinesInterval gives the mean time between two reads of the list.
func machinesInterval(members int, sinceStart time.Duration) time.Duration {
	switch {
	case members < 2:
		return aloneInterval
	case sinceStart < startTime:
		return startInterval
	}
	return settledInterval
}

// readMachines reads the list once and tells whether that failed. Of failures
// in a row only the first is logged as a problem.
func (node *Node) readMachines(ctx context.Context, client *http.Client, failedBefore bool) (failed bool) {
	list, err := machines.Fetch(ctx, client, node.settings.MachinesURL)
	if err != nil {
		level := zerolog.WarnLevel
		if failedBefore {
			level = zerolog.DebugLevel
		}
		node.logger.WithLevel(level).Err(err).Str(logging.FieldEvent, string(logging.EventMachinesFailed)).Send()
		return true
	}
	node.takeMachines(list)
	return false
}

func (node *Node) takeMachines(list []machines.Machine) {
	known := memberMachines(list)
	node.cuts.learn(known...)
	node.engine.setMachines(known)
}

// memberMachines gives the platform's machines in the form of the membership.
// It leaves out machines on their way out.
func memberMachines(list []machines.Machine) []member.Machine {
	result := make([]member.Machine, 0, len(list))
	for _, machine := range list {
		if machine.Leaving {
			continue
		}
		result = append(result, member.Machine{
			ID: machine.Node, Zone: machine.Zone, Control: machine.Control, Data: machine.Data,
		})
	}
	return result
}
