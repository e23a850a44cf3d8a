// Package faults has the kinds of fault that a soak injects.
package faults

import (
	"context"
	"time"

	"robinpulley.example/robinpulley/internal/lab/platformsim"
	"robinpulley.example/robinpulley/internal/lab/proxy"
	"robinpulley.example/robinpulley/internal/lab/soak"
)

// All gives every kind.
func All() []soak.Fault {
	kinds := []soak.Fault{kill, killAll{}, stop, pause{}, reload{}, loss{}, compact{}, drain{}, crash{}, silence{}, change{}, storm{}, evacuate{}, crowd{}, move{}, slow{}, crowdEvacuated{}, coldMost{}}
	for _, mode := range []proxy.Mode{proxy.Delay, proxy.Reset, proxy.Silence, proxy.OneWay, proxy.SilenceOpen} {
		kinds = append(kinds, link{mode})
	}
	for _, fault := range []platformsim.Fault{
		platformsim.FaultBusy, platformsim.FaultReset, platformsim.FaultSilent, platformsim.FaultSlow, platformsim.FaultThrottled,
	} {
		kinds = append(kinds, store{fault})
	}
	return append(kinds, stall{})
}

// platform is what a fault embeds that befalls the platform as a whole.
type platform struct{}

// Targets implements soak.Fault.
func (platform) Targets(soak.Size) int { return 1 }

// nodes is what a fault embeds that befalls one node.
type nodes struct{}

// Targets implements soak.Fault.
func (nodes) Targets(size soak.Size) int { return size.Nodes }

// hosts is what a fault embeds that befalls one host.
type hosts struct{}

// Targets implements soak.Fault.
func (hosts) Targets(size soak.Size) int { return 2 * size.Hosts }

// readyLimit bounds the wait for a restarted node, which may come back while
// another fault keeps it from its store.
const readyLimit = 30 * time.Second

// awaitReady waits until a node that was started again is ready.
func awaitReady(ctx context.Context, n *soak.Node) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	return n.AwaitReady(ctx)
}
