// Package subset distributes one node's new flows over a deterministic subset of a service's back
// ends by smooth weighted round-robin. A node receives some twenty openings a second. Distributed
// randomly over all back ends of a zone, they would yield almost no measurements of any of them,
// and some back ends would receive three at once while others were idle. A node therefore
// uses a subset of neighbouring back ends on a ring, which it shares with a few other nodes, so
// that it observes a large part of their work. The subsets of the nodes of a zone cover the ring
// evenly. The nodes need no agreement: each computes its subset from its own list of members and
// back ends, and if the lists of two nodes differ, the ring is only covered slightly unevenly. The
// package has no I/O and no clock. See docs/design/hosts.md.
package subset

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/rendezvous"
)

// Identity identifies an instance of a back end (one start of it), as packets carry it.
type Identity uint64

// Backend is a back end that accepts new flows.
type Backend struct {
	Identity Identity
	Zone     lb.Zone
	// RelativeCapacity is the relative capacity: slots times speed.
	RelativeCapacity float64
}

// Position is the rank of a node among the nodes of its zone that are not leaving, in an order that
// is the same at all of them.
type Position struct{ Rank, Nodes int }

// Settings are the parameters of a picker. See DefaultSettings.
type Settings struct {
	// SubsetSize is the target number of back ends per zone in a node's subset.
	SubsetSize float64
	// Replication is the minimum number of nodes of a zone whose subsets contain a given back end.
	// A node that fails unnoticed then disrupts only a small part of the flows to its back ends.
	Replication float64
	// InFlightPenalty is the credit that is deducted from a back end for each request of this node
	// in flight there.
	InFlightPenalty float64
}

// DefaultSettings returns the default parameters.
func DefaultSettings() Settings { return Settings{SubsetSize: 8, Replication: 3, InFlightPenalty: 1} }

// member is a back end in a subset.
type member struct {
	index    int // in the list of back ends passed to NewRing
	identity Identity
	weight   float64 // fraction of the zone's flows; the weights add up to 1
	credit   float64 // round-robin credit, in flows
	factor   float64 // weight factor for the current pick
}

// zoneSubset is the part of the subset in one zone.
type zoneSubset struct {
	zone        lb.Zone
	credit      float64
	members     []member
	zoneWeight  float64 // weight of the zone for the current pick
	factor      float64 // weighted mean of the members' factors for the current pick
	unavailable float64 // sum of the weights of members with factor 0 for the current pick
}

// Picker distributes the flows of one node to one service. It is not safe for concurrent use.
type Picker struct {
	settings Settings
	subsets  []zoneSubset
}

// New returns a picker without a subset.
func New(settings Settings) *Picker { return &Picker{settings: settings} }

// Ring is the order of a service's back ends, by zone. It is the same at all nodes with the same
// list of back ends, and independent of the nodes. It is computed separately from the subset
// because sorting 3,000 back ends takes most of a millisecond, while nodes come and go many times a
// second when a fleet starts. A list that is already in the order of the hashes is not sorted
// again. A Ring is immutable.
type Ring struct {
	zones []zoneRing
}

// zoneRing is the order of the back ends of one zone.
type zoneRing struct {
	zone     lb.Zone
	members  []member
	capacity float64 // sum of the sizes of all members
}

// NewRing orders the back ends. Pick returns indexes into the given list.
func NewRing(backends []Backend) *Ring {
	byZone := make(map[lb.Zone]*zoneRing)
	for index := range backends {
		backend := &backends[index]
		inZone := byZone[backend.Zone]
		if inZone == nil {
			inZone = &zoneRing{zone: backend.Zone}
			byZone[backend.Zone] = inZone
		}
		inZone.members = append(inZone.members, member{index: index, identity: backend.Identity, weight: backend.RelativeCapacity})
	}
	ring := &Ring{}
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		inZone := byZone[zone]
		if !slices.IsSortedFunc(inZone.members, compareMembers) {
			slices.SortFunc(inZone.members, compareMembers)
		}
		for index := range inZone.members {
			inZone.capacity += inZone.members[index].weight
		}
		ring.zones = append(ring.zones, *inZone)
	}
	return ring
}

func compareMembers(a, b member) int {
	left, right := uint64(a.identity), uint64(b.identity)
	return cmp.Or(cmp.Compare(rendezvous.Mix(left), rendezvous.Mix(right)), cmp.Compare(left, right))
}

// SetSubset computes a new subset for the node. Back ends that were in the previous one keep their
// credit. seed differs between nodes, so that they start the round-robin at different back ends.
func (p *Picker) SetSubset(ring *Ring, position Position, seed uint64) {
	credits := make(map[Identity]float64)
	for _, s := range p.subsets {
		for _, m := range s.members {
			credits[m.identity] = m.credit
		}
	}
	p.subsets = p.subsets[:0]
	for index := range ring.zones {
		zone := &ring.zones[index]
		s := zoneSubset{zone: zone.zone, members: p.zoneMembers(zone, position)}
		for index := range s.members {
			m := &s.members[index]
			credit, known := credits[m.identity]
			if !known {
				credit = rendezvous.Uniform(rendezvous.Mix(seed^uint64(m.identity))) - 0.5
			}
			m.credit = credit
		}
		p.subsets = append(p.subsets, s)
	}
}

// zoneMembers returns the back ends of a zone that the node's arc of the ring covers, with their
// weights.
func (p *Picker) zoneMembers(zone *zoneRing, position Position) []member {
	nodes := float64(max(position.Nodes, 1))
	// Each point of the ring is covered by the same number of nodes.
	replication := math.Ceil(max(p.settings.SubsetSize/float64(len(zone.members))*nodes, p.settings.Replication))
	arc := min(1, replication/nodes)
	from := float64(position.Rank) / nodes
	var members []member
	at := 0.0
	for _, m := range zone.members {
		length := m.weight / zone.capacity
		covered := overlap(at, at+length, from, from+arc) + overlap(at, at+length, from-1, from+arc-1)
		at += length
		if covered > 0 {
			members = append(members, member{index: m.index, identity: m.identity, weight: covered / arc})
		}
	}
	return members
}

// overlap returns the length of the intersection of two intervals.
func overlap(from, to, otherFrom, otherTo float64) float64 {
	return max(0, min(to, otherTo)-max(from, otherFrom))
}

// maxCredit bounds the credit of a back end in both directions, so that one that was passed over
// for long does not receive a burst.
const maxCredit = 2

// Pick returns the index, in the list passed to NewRing, of the back end for the next flow. It
// returns -1 if there is none, or if more than maxUnavailable of the subset in the selected zone is
// unavailable. zoneWeights are the fractions of this node's flows per zone. factor returns the
// factor, from 0 to 1, by which a back end's weight is multiplied, and inFlight returns the number
// of this node's requests in flight there.
func (p *Picker) Pick(zoneWeights map[lb.Zone]float64, factor func(index int) float64, inFlight func(index int) int) int {
	best := p.pickZone(zoneWeights, factor)
	if best == nil || best.unavailable > maxUnavailable {
		return -1
	}
	var chosen *member
	highest := math.Inf(-1)
	for index := range best.members {
		m := &best.members[index]
		if m.factor == 0 {
			continue
		}
		m.credit = min(m.credit+m.weight*m.factor/best.factor, maxCredit)
		score := m.credit
		if p.settings.InFlightPenalty > 0 {
			score -= p.settings.InFlightPenalty * float64(inFlight(m.index))
		}
		if score > highest {
			chosen, highest = m, score
		}
	}
	chosen.credit = max(chosen.credit-1, -maxCredit)
	return chosen.index
}

// maxUnavailable is the maximum fraction of a subset that may be unavailable. Beyond it the rest
// would be overloaded, and a node that reaches so few back ends may be at fault itself.
const maxUnavailable = 0.5

// pickZone returns the zone for the next flow, or nil if no back end in any zone accepts flows.
func (p *Picker) pickZone(zoneWeights map[lb.Zone]float64, factor func(index int) float64) *zoneSubset {
	sum := 0.0
	for index := range p.subsets {
		s := &p.subsets[index]
		s.factor, s.unavailable, s.zoneWeight = 0, 0, zoneWeights[s.zone]
		for index := range s.members {
			m := &s.members[index]
			m.factor = factor(m.index)
			s.factor += m.weight * m.factor
			if m.factor == 0 {
				s.unavailable += m.weight
			}
		}
		if s.factor > 0 {
			sum += s.zoneWeight
		}
	}
	var best *zoneSubset
	for index := range p.subsets {
		s := &p.subsets[index]
		if s.factor == 0 || s.zoneWeight == 0 {
			continue
		}
		s.credit += s.zoneWeight / sum
		if best == nil || s.credit > best.credit {
			best = s
		}
	}
	if best != nil {
		best.credit--
	}
	return best
}
