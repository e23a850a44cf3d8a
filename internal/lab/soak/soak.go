// Package soak is a randomized fault-injection test. It runs real balancer processes on a
// simulation of the users' platform, sends flows through them and injects faults by a plan that is
// drawn from a seed. Meanwhile it verifies the documented guarantees against what clients and back
// ends observe. The package faults, below this one, implements the kinds of fault.
package soak

import (
	"context"
	"time"
)

// Fault is one kind of fault.
type Fault interface {
	// Name identifies the kind in plans and reports.
	Name() string
	// Targets returns the number of possible targets at a site of this size. It is 1 for a fault
	// that affects the whole platform.
	Targets(size Size) int
	// Inject starts the fault on one target. The returned function ends the fault and waits until
	// the affected part of the site works again. The error is ErrTargetLocked if another fault
	// has reserved the target.
	Inject(ctx context.Context, site *Site, target int) (end func() error, err error)
}

// Size is the size of a site.
type Size struct {
	Nodes           int
	Hosts           int // per service
	Zones           int
	ShortFlows      int // concurrent short flows
	PersistentFlows int // concurrent flows that stay open until their hosts stop
}

// Bounds holds the limits within which the guarantees must hold.
type Bounds struct {
	// ChangeLimit is the time after which a change must be in force, and after which a draining
	// host and an evacuated zone must receive no more openings.
	ChangeLimit time.Duration
	// UndisturbedTime is the time that must have passed since the last fault on a node before
	// ChangeLimit applies to the node.
	UndisturbedTime time.Duration
	// ColdOpeningsPerSecond is the maximum number of openings per second at a host in its cold
	// start. 0 disables the check.
	ColdOpeningsPerSecond int
	// SurgeSettleTime is the time after a surge until openings must be served again. 0 allows
	// refusals for load at any time after a surge.
	SurgeSettleTime time.Duration
	// RecoveryLimit is the time after the last fault until all openings must be served again.
	// 0 disables the check.
	RecoveryLimit time.Duration
}

// Settings configures a soak.
type Settings struct {
	Seed      uint64
	Duration  time.Duration // of the fault injection, without start-up and recovery
	Steps     []Step        // nil to draw them from Seed
	Size      Size
	Bounds    Bounds
	Program   string // path of the balancer program
	Directory string // for logs and settings files
}

// DefaultSize returns a size with at most a dozen processes.
func DefaultSize() Size {
	return Size{Nodes: 6, Hosts: 4, Zones: 3, ShortFlows: 40, PersistentFlows: 12}
}

// DefaultBounds returns the limits that apply to the users' deployments.
func DefaultBounds() Bounds {
	return Bounds{ChangeLimit: 3 * time.Second, UndisturbedTime: 4 * time.Second, ColdOpeningsPerSecond: coldOpenings, SurgeSettleTime: 2 * time.Second, RecoveryLimit: 12 * time.Second}
}
