// Package fleetload aggregates the demand of the clients in each zone and the load of the back
// ends, from the observations of all balancers. A single node sees some twenty openings a second,
// spread over a hundred back ends: too few to tell a surge from random variation, and it learns
// nothing of the demand of clients in other zones. Nodes report sums up the tree of their zone. The
// root nodes of the zones exchange the sums of their zones and send all of them down their trees.
// Far from a capacity limit nothing is sent. The package is a deterministic core without I/O and
// clock; see docs/design/hard-load.md.
package fleetload

import (
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// Service is the load of one service as known from the whole fleet. Zones without recent reports
// are omitted; users of the data then fall back to what the node observes itself.
type Service struct {
	// Zones is sorted by name.
	Zones []Zone
	// SummedAt is when the newest part of the data was summed, by this node's clock.
	SummedAt time.Duration
}

// Zone is the known state of the clients and the back ends of one zone.
type Zone struct {
	Zone lb.Zone
	// Levels holds the demand of the clients in the zone, sorted by priority.
	Levels []Level
	// Load is the geometric mean of the loads of requests at the zone's back ends, whichever zone
	// sent them (see overload.Controller), and Answers is the number of answers a second that it is
	// computed from.
	Load, Answers float64
	// Rejected is the number of openings a second that the zone's back ends have rejected because
	// they were full.
	Rejected float64
}

// Level is the work of the openings and requests of one priority, in slots: seconds of work a
// second, where the work of a request is its duration at an idle back end.
type Level struct {
	Priority uint16
	// Begun is the work sent on to back ends, and Refused the work refused for lack of spare
	// capacity. An opening that is refused and retried counts again.
	Begun, Refused float64
}

// Demand returns the total work requested, in slots.
func (z *Zone) Demand() float64 {
	sum := 0.0
	for _, level := range z.Levels {
		sum += level.Begun + level.Refused
	}
	return sum
}

// Sample is what one node has observed of a service since its previous sample.
type Sample struct {
	Service lb.ServiceName
	// Levels is in seconds of work, not in slots.
	Levels []Level
	// Answers holds the answers of back ends by their zone.
	Answers []Answers
}

// Answers aggregates answers of the back ends of one zone.
type Answers struct {
	Zone lb.Zone
	// Count is the number of answers, and LogSum the sum of the natural logarithms of their loads.
	Count, LogSum float64
	// Rejected is the number of further answers that came too quickly for a processed request,
	// which is how full back ends reject one.
	Rejected float64
}
