// Package turns deals one node's new flows out over the back ends of a service:
// evenly, by turns, and among a few of them only. A node sees some twenty
// openings a second; spread over all back ends of a zone by chance it knows
// next to nothing of any of them, and some of them get three at once while
// others rest. A node therefore keeps to a hand of neighbouring back ends on a
// circle, which it shares with a few nodes, so that it sees a good part of what
// they do; the hands of the nodes of a zone cover the circle evenly. Nothing is
// agreed on: a hand follows from the node's own list of members and back ends,
// and two nodes that differ only cover the circle a little unevenly. It has no I/O
// and no clock. See docs/design/hosts.md.
package subset

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/rendezvous"
)

// Identity names a run of a back end, as packets do.
type Identity uint64

// Backend is one that takes new flows.
type Backend struct {
	Identity Identity
	Zone     lb.Zone
	// Size is what it can do, against the others: slots times speed.
	Size float64
}

// Position is where a node stands among the staying nodes of its zone, in an order
// that all of them share.
type Position struct{ Rank, Nodes int }

// Settings of a dealer. See DefaultSettings.
type Settings struct {
	// SubsetSize is how many back ends of a zone a node deals to.
	SubsetSize float64
	// Replication is by how many nodes of a zone each back end is dealt to at the least,
	// so that one that ends unnoticed takes little of its back ends' flows with it.
	Replication float64
	// InFlightPenalty is how many turns a back end is put back for each request of
	// this node that is under way there.
	InFlightPenalty float64
}

// DefaultSettings gives the defaults.
func DefaultSettings() Settings { return Settings{SubsetSize: 8, Replication: 3, InFlightPenalty: 1} }

// member is a back end in a hand.
type member struct {
	index    int // in the list that the hand was dealt from
	identity Identity
	weight   float64 // its part of its zone's turns; one in sum
	credit   float64 // turns that it is owed
	factor   float64 // of the pick at hand
}

// zoneSubset is the hand's part in one zone.
type zoneSubset struct {
	zone         lb.Zone
	credit       float64
	members      []member
	share        float64 // of this node's flows, at the pick at hand
	factor       float64 // mean of its cards', of the pick at hand
	unresponsive float64 // part of its cards' turns that take no flows, likewise
}

// Picker deals the flows of one node to one service. It is not safe for concurrent use.
type Picker struct {
	settings Settings
	subsets  []zoneSubset
}

// New gives a dealer without a hand. seed tells nodes apart.
func New(settings Settings) *Picker { return &Picker{settings: settings} }

// Ring is the order of a service's back ends, by zone. It is the same at all nodes that know the same
// back ends, and does not change with the nodes: to sort 3,000 of them takes most of a
// millisecond, and nodes come and go many times a second while a fleet starts. Those who keep the order
// of hashes themselves give back ends in it, which costs no sorting. It is immutable.
type Ring struct {
	zones []zoneRing
}

// zoneRing is one zone's part, in order.
type zoneRing struct {
	zone    lb.Zone
	members []member
	size    float64 // of all of them
}

// NewRing orders back ends. Places in what Pick gives are those in this list.
func NewRing(backends []Backend) *Ring {
	byZone := make(map[lb.Zone]*zoneRing)
	for index := range backends {
		backend := &backends[index]
		known := byZone[backend.Zone]
		if known == nil {
			known = &zoneRing{zone: backend.Zone}
			byZone[backend.Zone] = known
		}
		known.members = append(known.members, member{index: index, identity: backend.Identity, weight: backend.Size})
	}
	circle := &Ring{}
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		known := byZone[zone]
		if !slices.IsSortedFunc(known.members, compareMembers) {
			slices.SortFunc(known.members, compareMembers)
		}
		for index := range known.members {
			known.size += known.members[index].weight
		}
		circle.zones = append(circle.zones, *known)
	}
	return circle
}

func compareMembers(a, b member) int {
	left, right := uint64(a.identity), uint64(b.identity)
	return cmp.Or(cmp.Compare(rendezvous.Mix(left), rendezvous.Mix(right)), cmp.Compare(left, right))
}

// SetSubset gives the node a new hand. What its back ends are owed stays. seed tells
// nodes apart, so that they begin their turns at different back ends.
func (d *Picker) SetSubset(circle *Ring, place Position, seed uint64) {
	owed := make(map[Identity]float64)
	for _, g := range d.subsets {
		for _, c := range g.members {
			owed[c.identity] = c.credit
		}
	}
	d.subsets = d.subsets[:0]
	for index := range circle.zones {
		zone := &circle.zones[index]
		g := zoneSubset{zone: zone.zone, members: d.zoneMembers(zone, place)}
		for index := range g.members {
			c := &g.members[index]
			credit, known := owed[c.identity]
			if !known {
				credit = rendezvous.Uniform(rendezvous.Mix(seed^uint64(c.identity))) - 0.5
			}
			c.credit = credit
		}
		d.subsets = append(d.subsets, g)
	}
}

// zoneMembers gives the part of a zone's circle that the node's arc covers.
func (d *Picker) zoneMembers(zone *zoneRing, place Position) []member {
	nodes := float64(max(place.Nodes, 1))
	// Each point of the circle is covered by as many nodes as any other.
	cover := math.Ceil(max(d.settings.SubsetSize/float64(len(zone.members))*nodes, d.settings.Replication))
	arc := min(1, cover/nodes)
	from := float64(place.Rank) / nodes
	var cards []member
	at := 0.0
	for _, c := range zone.members {
		length := c.weight / zone.size
		covered := overlap(at, at+length, from, from+arc) + overlap(at, at+length, from-1, from+arc-1)
		at += length
		if covered > 0 {
			cards = append(cards, member{index: c.index, identity: c.identity, weight: covered / arc})
		}
	}
	return cards
}

// overlap is the length of what two intervals have in common.
func overlap(from, to, otherFrom, otherTo float64) float64 {
	return max(0, min(to, otherTo)-max(from, otherFrom))
}

// maxCredit bounds the turns that a back end is owed, or ahead: one that was passed
// over for long is not given them all at once.
const maxCredit = 2

// Pick gives the place, in the list that the hand was dealt from, of the back end
// whose turn it is; -1: there is none, or most of a zone's hand whose turn it is take no flows. parts are those of zones of this node's flows, factor is by how much the weight of one is lowered,
// from 0 to 1, and busy how many requests of this node are under way there.
func (d *Picker) Pick(parts map[lb.Zone]float64, factor func(index int) float64, busy func(index int) int) int {
	best := d.pickZone(parts, factor)
	if best == nil || best.unresponsive > maxUnresponsive {
		return -1
	}
	var chosen *member
	most := math.Inf(-1)
	for index := range best.members {
		c := &best.members[index]
		if c.factor == 0 {
			continue
		}
		c.credit = min(c.credit+c.weight*c.factor/best.factor, maxCredit)
		score := c.credit
		if d.settings.InFlightPenalty > 0 {
			score -= d.settings.InFlightPenalty * float64(busy(c.index))
		}
		if score > most {
			chosen, most = c, score
		}
	}
	chosen.credit = max(chosen.credit-1, -maxCredit)
	return chosen.index
}

// maxUnresponsive is the part of a hand that may take no flows: with more of them the
// rest would be crowded, and who sees so little may be at fault itself.
const maxUnresponsive = 0.5

// pickZone gives the zone whose turn it is; nil: no back end in any takes flows.
func (d *Picker) pickZone(parts map[lb.Zone]float64, factor func(index int) float64) *zoneSubset {
	sum := 0.0
	for index := range d.subsets {
		g := &d.subsets[index]
		g.factor, g.unresponsive, g.share = 0, 0, parts[g.zone]
		for index := range g.members {
			c := &g.members[index]
			c.factor = factor(c.index)
			g.factor += c.weight * c.factor
			if c.factor == 0 {
				g.unresponsive += c.weight
			}
		}
		if g.factor > 0 {
			sum += g.share
		}
	}
	var best *zoneSubset
	for index := range d.subsets {
		g := &d.subsets[index]
		if g.factor == 0 || g.share == 0 {
			continue
		}
		g.credit += g.share / sum
		if best == nil || g.credit > best.credit {
			best = g
		}
	}
	if best != nil {
		best.credit--
	}
	return best
}
