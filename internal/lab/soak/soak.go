// Package soak runs real balancers as processes on a stand-in of the users'
// platform, puts flows on them, injects faults from outside by a plan drawn
// from a seed, and checks what callers and back ends see against the promises
// of the pages. Package faults below it has the kinds of fault.
package soak

import (
	"context"
	"time"
)

// Fault is one kind of trouble.
type Fault interface {
	// Name names it in plans and reports.
	Name() string
	// Targets is how many things it may befall at a site of this size; 1 for
	// one that befalls the platform as a whole.
	Targets(size Size) int
	// Inject begins it on one target and returns what ends it, which waits
	// until the site has what the fault took away.
	Inject(ctx context.Context, site *Site, target int) (end func() error, err error)
}

// Size is how large a site is.
type Size struct {
	Nodes int
	Hosts int // of each service
	Zones int
	Flows int // open at any time
	Kept  int // of callers who keep their flows until their hosts are gone
}

// Bounds are the times within which promises hold.
type Bounds struct {
	// Change is when a change must be in force, and a draining host get nothing new.
	Change time.Duration
	// Contact is how long a node must have been undisturbed for Change to hold for it.
	Contact time.Duration
	// ColdOpenings is how many openings a host that has just started may get in a second; 0: any.
	ColdOpenings int
	// Settle is when openings are served again after a crowd has gone; 0: whenever.
	Settle time.Duration
	// Recovery is when all is served again after the last fault.
	Recovery time.Duration
}

// Settings of a soak.
type Settings struct {
	Seed      uint64
	Duration  time.Duration // of the faults; start and recovery come on top
	Steps     []Step        // nil: drawn from Seed
	Size      Size
	Bounds    Bounds
	Program   string // the balancer
	Directory string // logs and settings files
}

// DefaultSize has a dozen processes or fewer.
func DefaultSize() Size { return Size{Nodes: 6, Hosts: 4, Zones: 3, Flows: 40, Kept: 12} }

// DefaultBounds are those of the users' deployments.
func DefaultBounds() Bounds {
	return Bounds{Change: 3 * time.Second, Contact: 4 * time.Second, ColdOpenings: coldOpenings, Settle: 2 * time.Second, Recovery: 12 * time.Second}
}
