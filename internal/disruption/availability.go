// Package availability decides whether a zone can spare one more of its nodes.
// Routers that find fewer than half of a zone's nodes ready use all of them,
// those that have ended too, so that a node which is told to stop waits for
// those of its zone that stopped before it. The package has no I/O and no clock.
package disruption

import (
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// Member is a living node of the zone.
type Member struct {
	ID      lb.NodeID
	Leaving bool // it has been told to stop
}

// Settings of a Zone. See DefaultSettings.
type Settings struct {
	Self lb.NodeID
	// ReturnTime is how long a node that is back counts as out all the same:
	// routers have not yet found it ready.
	ReturnTime time.Duration
	// AbsenceLimit is how long a node that has gone is waited for.
	AbsenceLimit time.Duration
}

// DefaultSettings gives the defaults.
func DefaultSettings(self lb.NodeID) Settings {
	return Settings{Self: self, ReturnTime: 600 * time.Millisecond, AbsenceLimit: 8 * time.Second}
}

// node is another node of the zone.
type node struct {
	serving bool          // alive and staying
	since   time.Duration // when serving last changed
	present bool          // in the last list
}

// Zone is what a node knows of who of its zone serves. It is not safe for concurrent use.
type Zone struct {
	settings Settings
	others   map[lb.NodeID]*node
	stopping bool
	// before are the nodes that were out when this one was told to stop. Those
	// that stop later wait for this one.
	before map[lb.NodeID]bool
}

// New gives a zone of which nothing but the own node is known.
func New(settings Settings) *Zone {
	return &Zone{settings: settings, others: make(map[lb.NodeID]*node)}
}

// Update takes the list of the living nodes of the zone, the own one included or not.
func (z *Zone) Update(now time.Duration, members []Member) {
	for _, n := range z.others {
		n.present = false
	}
	for _, member := range members {
		if member.ID != z.settings.Self {
			z.update(now, member)
		}
	}
	for id, n := range z.others {
		if n.present {
			continue
		}
		n.set(now, false)
		if now-n.since > z.settings.AbsenceLimit {
			delete(z.others, id)
		}
	}
}

func (z *Zone) update(now time.Duration, member Member) {
	n := z.others[member.ID]
	if n == nil {
		// It may have been there long before this node: it counts as in.
		n = &node{serving: !member.Leaving, since: now - z.settings.ReturnTime}
		z.others[member.ID] = n
	}
	n.present = true
	n.set(now, !member.Leaving)
}

// set notes whether the node serves.
func (n *node) set(now time.Duration, serving bool) {
	if n.serving != serving {
		n.serving = serving
		n.since = now
	}
}

// out tells whether routers do not use the node, or not yet.
func (z *Zone) out(now time.Duration, n *node) bool {
	if n.serving {
		return now-n.since < z.settings.ReturnTime
	}
	return n.present || now-n.since <= z.settings.AbsenceLimit
}

// Stop notes that the own node has been told to stop.
func (z *Zone) Stop(now time.Duration) {
	z.stopping = true
	z.before = make(map[lb.NodeID]bool)
	for id, n := range z.others {
		if z.out(now, n) {
			z.before[id] = true
		}
	}
}

// CanSpare tells whether, without the own node and those that stopped before
// it, at least half of the zone's nodes are in. It is true as well when none
// would be: routers then use another zone.
func (z *Zone) CanSpare(now time.Duration) bool {
	total, in := 1, 0
	for id, n := range z.others {
		out := z.out(now, n)
		if !out && !n.present {
			continue // it does not come back
		}
		total++
		if !out || z.stopping && !z.before[id] {
			in++
		}
	}
	return in == 0 || 2*in >= total
}
