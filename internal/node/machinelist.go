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

// Times of reading the machine list.
const (
	// aloneReadInterval is the interval while no other member is known. It is short because a node
	// that knows no other member decides on flows as the only node.
	aloneReadInterval = 300 * time.Millisecond
	// startupReadInterval is the interval during startupPeriod, in which the nodes of a fleet that
	// starts find each other.
	startupReadInterval = time.Second
	startupPeriod       = 30 * time.Second
	// settledReadInterval is the interval afterwards. It is long to limit the load on the platform,
	// since the membership protocol then announces new nodes.
	settledReadInterval = 10 * time.Second
	machinesTimeout     = time.Second
)

// pollMachines reads the platform's machine list at an interval until ctx ends.
func (node *Node) pollMachines(ctx context.Context) {
	client := &http.Client{Timeout: machinesTimeout}
	started := time.Now()
	failed := false
	for {
		failed = node.readMachines(ctx, client, failed)
		interval := machinesInterval(len(node.directory.all()), time.Since(started))
		// Half of the interval is random, so that nodes that start together do not stay
		// synchronized.
		interval = interval/2 + rand.N(interval)
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
	}
}

// machinesInterval returns the length of the interval between two reads of the list, before
// randomization.
func machinesInterval(members int, sinceStart time.Duration) time.Duration {
	switch {
	case members < 2:
		return aloneReadInterval
	case sinceStart < startupPeriod:
		return startupReadInterval
	}
	return settledReadInterval
}

// readMachines reads the list once and reports whether that failed. Of consecutive failures it logs
// only the first one as a warning.
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
	node.applyMachines(list)
	return false
}

// applyMachines passes the machines to the partition and to the membership.
func (node *Node) applyMachines(list []machines.Machine) {
	memberList := memberMachines(list)
	node.partition.addMachines(memberList...)
	node.engine.applyMachines(memberList)
}

// memberMachines returns the platform's machines in the form of the membership, without machines
// that are leaving.
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
