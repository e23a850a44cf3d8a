// Package fleetload finds out what the zones of a fleet are asked for and how
// busy their back ends are, by what all balancers see together. One node sees
// some twenty openings a second, spread over a hundred back ends: too few to
// tell a crowd from chance, and nothing of what callers of other zones ask for.
// Nodes report sums up the tree over their zone, whose first nodes tell each
// other the sums of their zones, and tell all of them down the tree. Far from a
// limit nothing is sent. It is a deterministic core without I/O and clock; see
// docs/design/hard-load.md.
package fleetload

import (
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// Service is what the fleet knows of the load of one service. What was not heard
// of lately is not in it: who uses it falls back to what it sees itself.
type Service struct {
	// Zones are in order of name.
	Zones []Zone
	// At is when the newest part of it came to this node.
	At time.Duration
}

// Zone is what is known of one zone's callers, and of the back ends in it.
type Zone struct {
	Zone lb.Zone
	// Levels are what the callers of the zone ask for, in order of priority.
	Levels []Level
	// Load is the geometric mean of the loads of requests at the zone's back ends, whoever sent
	// them (see overload.Controller), and Answers how many answers a second it rests on.
	Load, Answers float64
	// Rejected is how many openings a second the zone's back ends have rejected, being full.
	Rejected float64
}

// Level is the work that openings and requests of one priority bring, in slots:
// seconds of work a second, by what a request takes at an idle back end.
type Level struct {
	Priority uint16
	// Begun was sent on to back ends, and Refused was refused for lack of room; a caller who is
	// refused and tries again counts again.
	Begun, Refused float64
}

// Demand is all the work that is asked for, in slots.
func (z *Zone) Demand() float64 {
	sum := 0.0
	for _, level := range z.Levels {
		sum += level.Begun + level.Refused
	}
	return sum
}

// Sample is what one node has seen of a service since the sample before.
type Sample struct {
	Service lb.ServiceName
	// Levels hold seconds of work, not slots.
	Levels []Level
	// Answers are those of back ends, by their zone.
	Answers []Answers
}

// Answers sums up answers of the back ends of one zone.
type Answers struct {
	Zone lb.Zone
	// Count is how many there were, and Logs the sum of the natural logarithms of their loads.
	Count, Logs float64
	// Rejected is how many more came too quickly to be answers: full back ends reject so.
	Rejected float64
}
