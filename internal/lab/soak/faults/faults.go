// Package faults implements the kinds of fault that a soak injects.
package faults

import (
	"context"
	"time"

	"robinpulley.example/robinpulley/internal/lab/platformsim"
	"robinpulley.example/robinpulley/internal/lab/proxy"
	"robinpulley.example/robinpulley/internal/lab/soak"
)

// All returns every kind of fault. The order is part of the plan that a seed results in.
func All() []soak.Fault {
	kinds := []soak.Fault{killNode, killAllNodes{}, stopNode, pauseNode{}, reloadNode{}, packetLoss{}, compactStore{}, replaceHost{}, crashHost{}, unresponsiveHost{}, changeRoute{}, changeBurst{}, evacuateZone{}, surge{}, moveClients{}, slowHost{}, surgeInEvacuatedZone{}, coldMajority{}}
	for _, mode := range []proxy.Mode{proxy.Delay, proxy.Reset, proxy.DropAll, proxy.DropFromServer, proxy.DropOpenConnections} {
		kinds = append(kinds, storeConnection{mode})
	}
	for _, fault := range []platformsim.Fault{
		platformsim.FaultBusy, platformsim.FaultReset, platformsim.FaultUnresponsive, platformsim.FaultSlow, platformsim.FaultThrottled,
	} {
		kinds = append(kinds, storeFailure{fault})
	}
	return append(kinds, stallHost{}, leaveTogether{})
}

// platformFault is embedded by faults that affect the whole platform.
type platformFault struct{}

// Targets implements soak.Fault.
func (platformFault) Targets(soak.Size) int { return 1 }

// nodeFault is embedded by faults that affect one node.
type nodeFault struct{}

// Targets implements soak.Fault.
func (nodeFault) Targets(size soak.Size) int { return size.Nodes }

// hostFault is embedded by faults that affect one host.
type hostFault struct{}

// Targets implements soak.Fault.
func (hostFault) Targets(size soak.Size) int { return 2 * size.Hosts }

// restartLimit is the maximum time until a restarted node is ready. It is long because another
// fault may block the node's connections to the store in the meantime.
const restartLimit = 30 * time.Second

// awaitReady waits until a restarted node is ready, for at most restartLimit.
func awaitReady(ctx context.Context, n *soak.Node) error {
	ctx, cancel := context.WithTimeout(ctx, restartLimit)
	defer cancel()
	return n.AwaitReady(ctx)
}
