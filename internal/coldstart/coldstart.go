// Package coldstart limits the new flows of back ends that have just started and can accept few at
// first, over all balancers together. The nodes need no agreement: a cold back end is used by only
// one node of its zone, the one that ranks first by rendezvous hashing in that node's own view, and
// each node sends at most a part of the limit, so that a few nodes with differing views together
// stay within it. The package has no I/O and no clock.
package coldstart

import (
	"math"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/rendezvous"
)

// Identity identifies one instance of a back end, as it appears in packets.
type Identity uint64

// Settings configures a Limiter. See DefaultSettings.
type Settings struct {
	Self lb.NodeID
	Zone lb.Zone
	// RateFactor and Burst define the limit of new flows for a cold back end in any second, over
	// all nodes: its rate times RateFactor, plus Burst.
	RateFactor, Burst float64
	// MaxOwners is the number of nodes that may consider themselves the owner of the same back end
	// at one time.
	MaxOwners int
	// StartupDelay is how long a node that has started sends no flows to cold back ends, until it
	// has discovered the other nodes.
	StartupDelay time.Duration
	// HistoryTime is how long a node remembers the number of nodes known in its zone. A node that
	// now knows at most half of that number may be partitioned.
	HistoryTime time.Duration
	// SingleNode is set if no other node is configured. Otherwise a node that knows no other node
	// in its zone may be partitioned, too.
	SingleNode bool
	// Window is the interval in which a node may use its part of the limit once: one second, plus
	// the variation in the transit time of packets to a back end.
	Window time.Duration
}

// DefaultSettings returns the default settings for a node. There are three owners: a node with an
// outdated view, its successor, and a node on the other side of a partition within the zone.
// StartupDelay is as long as a partition may last, because a node that starts inside a partition
// does not know the nodes outside. With a delay of 5 s, 56 of 20,000 starts in an unstable zone
// exceeded the limit in virtual time, with 15 s one, and with 30 s none. HistoryTime is longer than
// that; a fleet that shrinks by more than half sends no flows to cold back ends for that long.
func DefaultSettings(self lb.NodeID, zone lb.Zone) Settings {
	return Settings{
		Self:         self,
		Zone:         zone,
		RateFactor:   1,
		MaxOwners:    3,
		StartupDelay: 30 * time.Second,
		HistoryTime:  10 * time.Minute,
		Window:       1100 * time.Millisecond,
	}
}

// Member is a live node of the limiter's zone.
type Member struct {
	ID      lb.NodeID
	Leaving bool // it will soon accept no new flows
}

// Backend is a cold back end.
type Backend struct {
	Identity Identity
	Zone     lb.Zone
	// Rate is the number of new flows that it can accept in a second.
	Rate float64
}

// Limiter decides for one node. It is not safe for concurrent use.
type Limiter struct {
	settings   Settings
	startedAt  time.Duration
	started    bool
	zoneNodes  []lb.NodeID       // nodes of the zone that are not leaving
	nodeCounts []nodeCount       // of zoneNodes, newest last
	owned      map[Identity]bool // cached result of owns
	sent       map[Identity][]time.Duration
}

// nodeCount is the number of known nodes, valid from a time until the next count.
type nodeCount struct {
	at    time.Duration
	nodes int
}

// New returns a limiter without any other known nodes.
func New(settings Settings) *Limiter {
	return &Limiter{
		settings: settings,
		owned:    make(map[Identity]bool),
		sent:     make(map[Identity][]time.Duration),
	}
}

// SetMembers sets all live nodes of the zone, including this one.
func (l *Limiter) SetMembers(now time.Duration, members []Member) {
	l.start(now)
	l.zoneNodes = l.zoneNodes[:0]
	for _, member := range members {
		if !member.Leaving {
			l.zoneNodes = append(l.zoneNodes, member.ID)
		}
	}
	clear(l.owned)
	if last := len(l.nodeCounts) - 1; last < 0 || l.nodeCounts[last].nodes != len(l.zoneNodes) {
		l.nodeCounts = append(l.nodeCounts, nodeCount{at: now, nodes: len(l.zoneNodes)})
	}
	for len(l.nodeCounts) > 1 && now-l.nodeCounts[1].at > l.settings.HistoryTime {
		l.nodeCounts = l.nodeCounts[1:]
	}
}

func (l *Limiter) start(now time.Duration) {
	if !l.started {
		l.started = true
		l.startedAt = now
	}
}

// Allows reports whether this node may now send a new flow to a cold back end.
func (l *Limiter) Allows(now time.Duration, backend Backend) bool {
	l.start(now)
	if backend.Zone != l.settings.Zone || now-l.startedAt < l.settings.StartupDelay || l.mayBePartitioned(now) {
		return false
	}
	return l.owns(backend.Identity) && l.sentInWindow(now, backend.Identity) < l.nodeLimit(backend.Rate)
}

// RecordSent records that this node sends a new flow, or a retransmitted opening, to a cold back
// end.
func (l *Limiter) RecordSent(now time.Duration, identity Identity) {
	l.sent[identity] = append(l.sent[identity], now)
}

// Forget deletes the state of all back ends except those for which keep returns true.
func (l *Limiter) Forget(keep func(Identity) bool) {
	for identity := range l.sent {
		if !keep(identity) {
			delete(l.sent, identity)
		}
	}
	clear(l.owned)
}

// nodeLimit returns the number of new flows that this node may send to a back end in one window.
func (l *Limiter) nodeLimit(rate float64) int {
	limit := math.Floor(rate*l.settings.RateFactor + l.settings.Burst)
	return int(limit) / l.settings.MaxOwners
}

// sentInWindow returns the number of flows sent within the window, and deletes older ones.
func (l *Limiter) sentInWindow(now time.Duration, identity Identity) int {
	times := l.sent[identity]
	for len(times) > 0 && now-times[0] >= l.settings.Window {
		times = times[1:]
	}
	l.sent[identity] = times
	return len(times)
}

// mayBePartitioned reports whether this node knows too few of the zone's nodes to act for the zone.
func (l *Limiter) mayBePartitioned(now time.Duration) bool {
	highest := len(l.zoneNodes)
	for index, count := range l.nodeCounts {
		ended := index+1 < len(l.nodeCounts) && now-l.nodeCounts[index+1].at > l.settings.HistoryTime
		if !ended {
			highest = max(highest, count.nodes)
		}
	}
	if highest == 1 {
		return !l.settings.SingleNode
	}
	return 2*len(l.zoneNodes) <= highest
}

// owns reports whether this node ranks first in its zone for a back end. Ranks are computed on
// demand, because memberships change often and cold back ends are rare.
func (l *Limiter) owns(identity Identity) bool {
	owned, known := l.owned[identity]
	if known {
		return owned
	}
	key := rendezvous.Key(rendezvous.Mix(uint64(identity)))
	var first rendezvous.Candidate
	for _, id := range l.zoneNodes {
		candidate := rendezvous.Candidate{ID: id, Hash: id.Hash()}
		if first.ID == "" || rendezvous.Before(key, &candidate, &first) {
			first = candidate
		}
	}
	owned = first.ID == l.settings.Self
	l.owned[identity] = owned
	return owned
}
