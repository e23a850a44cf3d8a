// Package coldstart bounds the new flows of back ends that have just started and
// bear few at first, over all balancers together. Nodes agree on nothing for it:
// a cold back end is left to one node of its zone, the first by rendezvous hash
// in that node's own view, and each node sends no more than a part of the bound,
// so that a few nodes whose views differ stay within it together. It has no I/O
// and no clock.
package coldstart

import (
	"math"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/rendezvous"
)

// Identity names a run of a back end, as packets do.
type Identity uint64

// Settings of a limiter. See DefaultSettings.
type Settings struct {
	Self lb.NodeID
	Zone lb.Zone
	// Overage and Slack give what a cold back end may get in any second, over all
	// nodes: its rate times Overage, and Slack new flows on top.
	Overage, Slack float64
	// Owners is how many nodes may each take a back end for theirs at one time.
	Owners int
	// Youth is how long a node that has started leaves cold back ends to others:
	// until it has heard who there is.
	Youth time.Duration
	// Memory is how long a node remembers how many it has known in its zone. One
	// that knows no more than half of them by now may be the one that is cut off.
	Memory time.Duration
	// Alone: no other node is configured. Otherwise one that knows no other in its
	// zone may be cut off, too.
	Alone bool
	// Window is the time in which a node's part may be used up once: the second of
	// the bound, and what packets may differ in on their way to a back end.
	Window time.Duration
}

// DefaultSettings gives the defaults for a node. Three owners: a node whose view is
// old, its successor, and one of another part of a zone that is cut. Youth is as long
// as zones are cut at a time, since a node that starts in a part of one does not know
// of the rest; at 5 s, 56 of 20,000 starts in a zone in disorder came over the bound in
// virtual time, at 15 s one, at 30 s none. Memory is longer than that: a fleet that
// shrinks by more than half only leaves cold back ends alone so long.
func DefaultSettings(self lb.NodeID, zone lb.Zone) Settings {
	return Settings{
		Self:    self,
		Zone:    zone,
		Overage: 1,
		Owners:  3,
		Youth:   30 * time.Second,
		Memory:  10 * time.Minute,
		Window:  1100 * time.Millisecond,
	}
}

// Member is a living node of the limiter's zone.
type Member struct {
	ID      lb.NodeID
	Leaving bool // it takes no new flows soon
}

// Backend is a cold back end.
type Backend struct {
	Identity Identity
	Zone     lb.Zone
	// Rate is how many new flows it bears in a second.
	Rate float64
}

// Limiter is the part of one node. It is not safe for concurrent use.
type Limiter struct {
	settings  Settings
	startedAt time.Duration
	started   bool
	zone      []lb.NodeID       // staying nodes of the zone
	counts    []count           // of zone, the newest last
	owned     map[Identity]bool // what zone says of back ends, as far as asked
	sent      map[Identity][]time.Duration
}

// count is how many nodes were known from a time on, until the next one.
type count struct {
	at    time.Duration
	nodes int
}

// New gives a limiter that knows no other node.
func New(settings Settings) *Limiter {
	return &Limiter{
		settings: settings,
		owned:    make(map[Identity]bool),
		sent:     make(map[Identity][]time.Duration),
	}
}

// SetMembers takes all living nodes of the zone, this one included.
func (l *Limiter) SetMembers(now time.Duration, members []Member) {
	l.start(now)
	l.zone = l.zone[:0]
	for _, member := range members {
		if !member.Leaving {
			l.zone = append(l.zone, member.ID)
		}
	}
	clear(l.owned)
	if last := len(l.counts) - 1; last < 0 || l.counts[last].nodes != len(l.zone) {
		l.counts = append(l.counts, count{at: now, nodes: len(l.zone)})
	}
	for len(l.counts) > 1 && now-l.counts[1].at > l.settings.Memory {
		l.counts = l.counts[1:]
	}
}

func (l *Limiter) start(now time.Duration) {
	if !l.started {
		l.started = true
		l.startedAt = now
	}
}

// Allows tells whether this node may send a new flow to a cold back end now.
func (l *Limiter) Allows(now time.Duration, backend Backend) bool {
	l.start(now)
	if backend.Zone != l.settings.Zone || now-l.startedAt < l.settings.Youth || l.mayBeCutOff(now) {
		return false
	}
	return l.owns(backend.Identity) && l.sentLately(now, backend.Identity) < l.part(backend.Rate)
}

// Sent notes that this node sends a new flow, or a copy of an opening, to a cold back end.
func (l *Limiter) Sent(now time.Duration, identity Identity) {
	l.sent[identity] = append(l.sent[identity], now)
}

// Forget drops what is known of all back ends but those to keep.
func (l *Limiter) Forget(keep func(Identity) bool) {
	for identity := range l.sent {
		if !keep(identity) {
			delete(l.sent, identity)
		}
	}
	clear(l.owned)
}

// part is how many new flows this node may send to a back end in one window.
func (l *Limiter) part(rate float64) int {
	bound := math.Floor(rate*l.settings.Overage + l.settings.Slack)
	return int(bound) / l.settings.Owners
}

// sentLately counts what was sent within the window, and forgets what was sent before.
func (l *Limiter) sentLately(now time.Duration, identity Identity) int {
	times := l.sent[identity]
	for len(times) > 0 && now-times[0] >= l.settings.Window {
		times = times[1:]
	}
	l.sent[identity] = times
	return len(times)
}

// mayBeCutOff tells whether this node knows too few of the others to speak for the zone.
func (l *Limiter) mayBeCutOff(now time.Duration) bool {
	most := len(l.zone)
	for index, known := range l.counts {
		ended := index+1 < len(l.counts) && now-l.counts[index+1].at > l.settings.Memory
		if !ended {
			most = max(most, known.nodes)
		}
	}
	if most == 1 {
		return !l.settings.Alone
	}
	return 2*len(l.zone) <= most
}

// owns tells whether this node is the first of its zone for a back end. It ranks
// nodes only when it is asked: memberships change often, and cold back ends are rare.
func (l *Limiter) owns(identity Identity) bool {
	owned, known := l.owned[identity]
	if known {
		return owned
	}
	key := rendezvous.Key(rendezvous.Mix(uint64(identity)))
	var first rendezvous.Candidate
	for _, id := range l.zone {
		candidate := rendezvous.Candidate{ID: id, Hash: id.Hash()}
		if first.ID == "" || rendezvous.Before(key, &candidate, &first) {
			first = candidate
		}
	}
	owned = first.ID == l.settings.Self
	l.owned[identity] = owned
	return owned
}
