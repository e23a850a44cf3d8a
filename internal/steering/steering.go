// Package steering decides where a new flow goes, and to which back end a
// token leads, where the path carries tokens (Cheetah, NSDI 2020). A Table is
// an immutable, pure function of a view: balancers with the same view of the
// store decide alike. See docs/design-platform.md.
package steering

import (
	"iter"
	"maps"
	"math"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/rendezvous"
	"robinpulley.example/robinpulley/internal/view"
	"robinpulley.example/robinpulley/internal/zoneweight"
)

// Token is what a packet carries to name its back end. It holds for one front
// end only. Zero, as in a packet that was given none, names a host by chance only.
type Token uint32

// Host is one back end in a table. It is immutable, and the same in all tables as long as
// nothing of it changes.
type Host struct {
	view.Backend
	// Run names this life of the back end (view.Backend); what is learned of it is kept by that.
	Run uint64
	// Cold: it has just started and bears few new flows; see Service.Cold.
	Cold bool
	// Warming: it has just started and is slower than it will be, but no bound is known
	// on its new flows.
	Warming bool
	place   place
	// until is how long place, Cold and Warming hold; 0: until the view changes.
	until time.Duration
	// away: it went while nothing was heard of the store.
	away bool
	// hash is this host's part of its tokens, and earlier that of its run before, if it
	// has restarted a short time ago.
	hash, earlier uint32
	restarted     bool
	// rank is the key of the host in rendezvous hashing, and around its place on rings.
	rank, around uint64
}

// place is what a host does for new flows.
type place uint8

const (
	placeNone place = iota // it gets none: it drains, or has gone
	placeReady
	placeLapsed
	placeCold
	placeEvacuated
)

// Service is one service's back ends.
type Service struct {
	Name lb.ServiceName
	// Ready take new flows, by their weights.
	Ready []*Host
	// Lapsed went from the store a short time ago without having said that
	// they drain. They take new flows only when no other back end is left, or
	// by keepLapsed.
	Lapsed []*Host
	// Cold would take new flows, but have just started and bear few of them, ColdRate
	// a second: package coldstart says who may send which.
	Cold     []*Host
	ColdRate float64
	// NeedsCold tells whether the ready back ends are fewer than the cold ones, by what
	// they work on at once. Otherwise cold ones are left to warm up, since the others
	// bear what they would have got: at most twice their usual part, for seconds.
	NeedsCold bool
	// evacuated counts those that would take new flows, were their zone not evacuated.
	evacuated int
	// away counts those that went while nothing was heard of the store.
	away int
	// kept: the lapsed ones take new flows as the others do.
	kept bool
	ring []*Host
	// zones is what the ready hosts work on at once, by zone.
	zones map[lb.Zone]float64
	// even are the parts of zones while nothing is known of their load.
	even zoneweight.Weights
	// sums are what few openings need, made when the first one does.
	sums serviceSums
}

// split is a route's targets with the running sums of their weights.
type split struct {
	services  []lb.ServiceName
	sums      []uint64
	objective lb.Objective
}

// Table decides for one view. It is immutable and safe for concurrent use. What has not
// changed it shares with the table before.
type Table struct {
	version   uint64
	revision  int64
	frontends map[lb.FrontendKey]*split
	services  map[lb.ServiceName]*Service
	byHash    *index[uint32]
	byRun     *index[uint64]
	// zones counts the hosts by zone.
	zones map[lb.Zone]int
	// expires is when Compile would give another table for the same view; 0: never.
	expires time.Duration
}

func newTable() *Table {
	return &Table{services: make(map[lb.ServiceName]*Service), byHash: &index[uint32]{}, byRun: &index[uint64]{}}
}

// successor gives a table that shares all with this one, to be changed.
func (t *Table) successor(replica *view.Replica) *Table {
	next := &Table{
		frontends: t.frontends, services: maps.Clone(t.services), byHash: t.byHash.copied(), byRun: t.byRun.copied(),
	}
	next.noteView(replica)
	return next
}

// noteView notes which view the table is of.
func (t *Table) noteView(replica *view.Replica) {
	t.version, t.revision = replica.Version(), replica.Revision()
}

// lapsedLimit is how long after its entry has gone a back end that has not
// said that it drains may be a last resort. It is well below the time after
// which a leaving back end must get nothing new.
const lapsedLimit = 1500 * time.Millisecond

// Version is that of the configuration.
func (t *Table) Version() uint64 { return t.version }

// Revision is the store's revision that the table was compiled at.
func (t *Table) Revision() int64 { return t.revision }

// Expires is when the table must be compiled again; 0: not before the view changes.
func (t *Table) Expires() time.Duration { return t.expires }

// Services gives all services that a route or a back end names, in no particular order.
func (t *Table) Services() iter.Seq2[lb.ServiceName, *Service] { return maps.All(t.services) }

// HostOfRun gives the back end with a run; nil: none known.
func (t *Table) HostOfRun(run uint64) *Host { return t.byRun.get(run) }

// HasZone tells whether a back end that is known is in the zone.
func (t *Table) HasZone(zone lb.Zone) bool { return t.zones[zone] > 0 }

// Counts gives the numbers of front ends and of back ends that take new flows.
func (t *Table) Counts() (frontends, ready int) {
	for _, service := range t.services {
		ready += len(service.Ready)
	}
	return len(t.frontends), ready
}

// keepLapsed lets back ends whose entries went while the store was away take new
// flows as the others do, where they are half of the service or more: the store
// drops the entries of those that cannot reach it meanwhile. Those that live are
// back soon, and the rest would be crowded until then. Entries that go while
// the store is there are those of back ends that leave, which must get nothing new.
func (s *Service) keepLapsed() {
	if s.away == 0 || s.away < len(s.Ready) {
		return
	}
	s.Ready = append(s.Ready, s.Lapsed...)
	s.Lapsed, s.kept = nil, true
}

// Takes tells whether a host of the table is one of the ready ones of the service.
func (s *Service) Takes(host *Host) bool {
	return host.Service == s.Name && (host.place == placeReady || host.place == placeLapsed && s.kept)
}

// Ring gives the ready hosts by zone and, in a zone, in an order by hash that is the same
// at all balancers. It is not to be changed.
func (s *Service) Ring() []*Host { return s.ring }

func newSplit(route *view.Route) *split {
	built := &split{objective: route.Objective}
	var sum uint64
	for _, target := range route.Targets {
		if target.Weight == 0 {
			continue
		}
		sum += uint64(target.Weight)
		built.services = append(built.services, target.Service)
		built.sums = append(built.sums, sum)
	}
	return built
}

// Service gives the service of a new flow; nil: no route has its front end.
func (t *Table) Service(flow *lb.FlowKey) *Service {
	found := t.frontends[flow.Frontend()]
	if found == nil {
		return nil
	}
	if len(found.services) == 1 {
		return t.services[found.services[0]]
	}
	point := rendezvous.Mix(uint64(flow.ID())^splitKey) % found.sums[len(found.sums)-1]
	for index, sum := range found.sums {
		if point < sum {
			return t.services[found.services[index]]
		}
	}
	return nil // not reached: point is below the last sum
}

// Objective is what the operators ask for the requests of a front end; false:
// no route has it.
func (t *Table) Objective(frontend *lb.FrontendKey) (lb.Objective, bool) {
	found := t.frontends[*frontend]
	if found == nil {
		return lb.Objective{}, false
	}
	return found.objective, true
}

// Evacuated tells whether the service has no back end that takes new flows
// because the zones of those that would are evacuated.
func (s *Service) Evacuated() bool {
	return len(s.Ready) == 0 && len(s.Lapsed) == 0 && len(s.Cold) == 0 && s.evacuated > 0
}

// HasService tells whether a route or a back end names the service.
func (t *Table) HasService(name lb.ServiceName) bool { return t.services[name] != nil }

// ServiceNamed gives a service that a route or a back end names; nil: none does.
func (t *Table) ServiceNamed(name lb.ServiceName) *Service { return t.services[name] }

// Pick gives the host of a new flow: the first by weighted rendezvous rank
// among those ready, or lapsed if none is ready; nil if there is neither. weights are
// those of the ready hosts, by Weights; nil: by Even. factors
// are by how much this balancer lowers the weight of each ready host, from 0 to 1;
// nil: by nothing, for a choice that is the same at all balancers of the zone.
// Those of FactorUnreached get nothing.
func (s *Service) Pick(flow lb.FlowID, weights, factors []float64) *Host {
	if weights == nil {
		weights = s.evenWeights()
	}
	if found := first(s.Ready, flow, weights, factors, MostlyZero(factors)); found != nil {
		return found
	}
	return first(s.Lapsed, flow, nil, nil, false)
}

// FactorUnreached is that of a ready host in a zone that this balancer does not reach.
const FactorUnreached = -1.0

// PickOther gives another choice, independent of that of Pick: among the ready
// hosts of all zones by what they can do. It is nil if that one has the factor 0 or below.
func (s *Service) PickOther(flow lb.FlowID, factors []float64) *Host {
	if len(s.Ready) == 0 {
		return nil
	}
	capacities := s.capacities()
	point := rendezvous.Mix(uint64(flow)^otherKey) % capacities[len(capacities)-1]
	index, exact := slices.BinarySearch(capacities, point)
	if exact {
		index++ // a host's part ends before its sum
	}
	if factors != nil && factors[index] <= 0 {
		return nil
	}
	return s.Ready[index]
}

// PickCold gives the cold host of a new flow: the first by rank among those that
// may be used; nil if there is none.
func (s *Service) PickCold(flow lb.FlowID, mayUse func(*Host) bool) *Host {
	var usable []*Host
	for _, host := range s.Cold {
		if mayUse(host) {
			usable = append(usable, host)
		}
	}
	return first(usable, flow, nil, nil, false)
}

// MostlyZero tells whether more than half of the hosts in reach have the factor 0.
// Then it is more likely this balancer, or its network, that is at fault than they
// are, and to crowd the rest would make it worse.
func MostlyZero(factors []float64) bool {
	zero, reached := 0, 0
	for _, factor := range factors {
		if factor >= 0 {
			reached++
		}
		if factor == 0 {
			zero++
		}
	}
	return 2*zero > reached
}

// first ranks by -ln(u)/weight, lowest first, with u uniform in (0,1) by hash
// (weighted rendezvous hashing, Schindelhauer and Schomaker, SPAA 2005); weights nil: all
// weigh the same. Hosts of weight or factor 0 are passed over, unless blind, and those out of reach always.
func first(candidates []*Host, flow lb.FlowID, weights, factors []float64, blind bool) *Host {
	var best *Host
	bestCost := math.Inf(1)
	for index, host := range candidates {
		weight := 1.0
		if weights != nil {
			weight = weights[index]
		}
		if factors != nil && (!blind || factors[index] < 0) {
			weight *= factors[index]
		}
		if weight <= 0 {
			continue
		}
		cost := -math.Log(rendezvous.Uniform(rendezvous.Mix(uint64(flow)^host.rank))) / weight
		if cost < bestCost {
			best, bestCost = host, cost
		}
	}
	return best
}

// Token gives the token that names the host for flows to the front end.
func (h *Host) Token(frontend *lb.FrontendKey) Token {
	return Token(h.hash ^ uint32(frontend.Hash()))
}

// Resolve gives the host that a token names for the front end; nil: none known. The
// token may be one of the host's run before: it is not what Token gives then.
func (t *Table) Resolve(frontend *lb.FrontendKey, token Token) *Host {
	return t.byHash.get(uint32(token) ^ uint32(frontend.Hash()))
}

// otherKey makes the choice of PickOther independent of that of Pick.
const otherKey = 0x94d049bb133111eb

// splitKey makes the choice of a service independent of that of a host.
const splitKey = 0x9e3779b97f4a7c15
