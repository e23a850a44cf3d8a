// Package disruption decides whether one more node of a zone may stop. Routers that find fewer than
// half of a zone's nodes ready use all of them, including stopped ones. A node that is requested to
// stop therefore waits until the nodes of its zone that stopped before it are back. The package has
// no I/O and no clock.
package disruption

import (
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// Member is a live node of the zone.
type Member struct {
	ID      lb.NodeID
	Leaving bool // it has been requested to stop
}

// Settings configures a Zone. See DefaultSettings.
type Settings struct {
	Self lb.NodeID
	// ReadinessDelay is how long a node that has returned still counts as unavailable, because
	// routers have not yet found it ready.
	ReadinessDelay time.Duration
	// AbsenceTimeout is how long to wait for the return of a node that has disappeared.
	AbsenceTimeout time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings(self lb.NodeID) Settings {
	return Settings{Self: self, ReadinessDelay: 600 * time.Millisecond, AbsenceTimeout: 8 * time.Second}
}

// node is the state of another node of the zone.
type node struct {
	serving bool          // alive and not leaving
	since   time.Duration // when serving last changed
	listed  bool          // in the last list of members
}

// Zone tracks which nodes of the zone serve, as seen by one node. It is not safe for concurrent
// use.
type Zone struct {
	settings Settings
	others   map[lb.NodeID]*node
	stopping bool
	// stoppedBefore holds the nodes that were unavailable when this node was requested to stop.
	// Nodes that stop later wait for this node.
	stoppedBefore map[lb.NodeID]bool
}

// New returns a zone without any other nodes.
func New(settings Settings) *Zone {
	return &Zone{settings: settings, others: make(map[lb.NodeID]*node)}
}

// SetMembers sets the live nodes of the zone. The list may or may not include this node.
func (z *Zone) SetMembers(now time.Duration, members []Member) {
	for _, n := range z.others {
		n.listed = false
	}
	for _, member := range members {
		if member.ID != z.settings.Self {
			z.updateNode(now, member)
		}
	}
	for id, n := range z.others {
		if n.listed {
			continue
		}
		n.setServing(now, false)
		if now-n.since > z.settings.AbsenceTimeout {
			delete(z.others, id)
		}
	}
}

func (z *Zone) updateNode(now time.Duration, member Member) {
	n := z.others[member.ID]
	if n == nil {
		// The node may have been alive long before this one started, so it counts as available.
		n = &node{serving: !member.Leaving, since: now - z.settings.ReadinessDelay}
		z.others[member.ID] = n
	}
	n.listed = true
	n.setServing(now, !member.Leaving)
}

// setServing records whether the node serves.
func (n *node) setServing(now time.Duration, serving bool) {
	if n.serving != serving {
		n.serving = serving
		n.since = now
	}
}

// unavailable reports whether routers do not use the node, or not yet.
func (z *Zone) unavailable(now time.Duration, n *node) bool {
	if n.serving {
		return now-n.since < z.settings.ReadinessDelay
	}
	return n.listed || now-n.since <= z.settings.AbsenceTimeout
}

// Stop records that this node has been requested to stop.
func (z *Zone) Stop(now time.Duration) {
	z.stopping = true
	z.stoppedBefore = make(map[lb.NodeID]bool)
	for id, n := range z.others {
		if z.unavailable(now, n) {
			z.stoppedBefore[id] = true
		}
	}
}

// MayStop reports whether at least half of the zone's nodes are available without this node and
// the nodes that stopped before it. It also returns true if no node would be available, because
// routers then use another zone.
func (z *Zone) MayStop(now time.Duration) bool {
	total, available := 1, 0
	for id, n := range z.others {
		unavailable := z.unavailable(now, n)
		if !unavailable && !n.listed {
			continue // the node is not expected to return
		}
		total++
		if !unavailable || z.stopping && !z.stoppedBefore[id] {
			available++
		}
	}
	return available == 0 || 2*available >= total
}
