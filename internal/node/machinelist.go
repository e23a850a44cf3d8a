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
	machinesInterval = 2 * time.Second // while this node knows no other member
	// joinedInterval spares the platform once the membership has taken over.
	joinedInterval  = 10 * time.Second
	machinesTimeout = time.Second
)

// followMachines reads the platform's machine list until ctx ends.
func (node *Node) followMachines(ctx context.Context) {
	client := &http.Client{Timeout: machinesTimeout}
	failed := false
	for {
		failed = node.readMachines(ctx, client, failed)
		interval := machinesInterval
		if len(node.directory.all()) > 1 {
			interval = joinedInterval
		}
		// Half of it at random, so that nodes started together do not ask together.
		interval = interval/2 + rand.N(interval)
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
	}
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
