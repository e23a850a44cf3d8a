// Package steering selects the back end of a new flow, and resolves the token of a packet to its
// back end where packets carry tokens (Cheetah, NSDI 2020). A Table is an immutable, pure function
// of a view, so that balancers with the same view of the store make the same decisions. See
// docs/design-platform.md.
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

// Token is a value in a packet that identifies its back end. It is valid for one front end only.
// Zero, as in a packet that carries no token, resolves to a host only by chance.
type Token uint32

// Host is one back end in a table. It is immutable, and tables share it as long as none of its
// fields changes.
type Host struct {
	view.Backend
	// InstanceID identifies one instance of the back end, from one start to the next (see
	// view.Backend). Statistics about a back end are keyed by it.
	InstanceID uint64
	// Cold is set if the host has just started and may receive only few new flows; see
	// Service.Cold.
	Cold bool
	// Warming is set if the host has just started and is still slower than it will be, but no limit
	// on its new flows is configured.
	Warming bool
	role    role
	// roleUntil is when role, Cold and Warming stop being valid; 0 means when the view changes.
	roleUntil time.Duration
	// deletedInOutage is set if the entry of the back end was deleted while the store was
	// unreachable.
	deletedInOutage bool
	// tokenHash is the part of tokens that names this host. previousHash is that part for the
	// host's previous instance, if it restarted a short time ago.
	tokenHash, previousHash uint32
	restarted               bool
	// rendezvousKey is the key of the host in rendezvous hashing, and ringKey its position on
	// rings.
	rendezvousKey, ringKey uint64
}

// role states how a host is used for new flows.
type role uint8

const (
	roleNone role = iota // gets no new flows: it drains, or is deleted
	roleReady
	roleLapsed
	roleCold
	roleEvacuated
)

// Service holds the back ends of one service.
type Service struct {
	Name lb.ServiceName
	// Ready hosts accept new flows, in proportion to their weights.
	Ready []*Host
	// Lapsed hosts were deleted from the store a short time ago without having announced a drain.
	// They get new flows only if no other back end is left, or if useLapsed adds them to Ready.
	Lapsed []*Host
	// Cold hosts are active, but have just started and may receive only ColdRate new flows a
	// second. Package coldstart decides which balancer may send them a flow.
	Cold     []*Host
	ColdRate float64
	// ColdNeeded is set if the ready hosts have less capacity than the cold hosts. Otherwise cold
	// hosts get no new flows until they are warm, because the ready hosts can absorb their share:
	// at most twice the usual load, for seconds.
	ColdNeeded bool
	// evacuated counts the hosts that would accept new flows if their zone were not evacuated.
	evacuated int
	// deletedInOutage counts the lapsed hosts whose entries were deleted while the store was
	// unreachable.
	deletedInOutage int
	// lapsedInUse is set if the hosts that deletedInOutage counts get new flows as the ready ones do.
	lapsedInUse bool
	ring        []*Host
	// zoneCapacity holds the total capacity of the ready hosts by zone.
	zoneCapacity map[lb.Zone]float64
	// even holds the zone weights used while the load of the zones is unknown.
	even zoneweight.Weights
	// sums holds values that few new flows need, computed on first use.
	sums serviceSums
}

// split holds the targets of a route with the running sums of their weights.
type split struct {
	services  []lb.ServiceName
	sums      []uint64
	objective lb.Objective
}

// Table selects back ends for one view. It is immutable and safe for concurrent use. It shares
// unchanged parts with the table that it was derived from.
type Table struct {
	version    uint64
	revision   int64
	frontends  map[lb.FrontendKey]*split
	services   map[lb.ServiceName]*Service
	byHash     *index[uint32]
	byInstance *index[uint64]
	// zones counts the hosts of each zone.
	zones map[lb.Zone]int
	// expires is when Compile would return a different table for the same view; 0 means never.
	expires time.Duration
}

func newTable() *Table {
	return &Table{services: make(map[lb.ServiceName]*Service), byHash: &index[uint32]{}, byInstance: &index[uint64]{}}
}

// successor returns a new table that shares all parts with this one, for the compiler to modify.
func (t *Table) successor(replica *view.Replica) *Table {
	next := &Table{
		frontends: t.frontends, services: maps.Clone(t.services), byHash: t.byHash.clone(), byInstance: t.byInstance.clone(),
	}
	next.setView(replica)
	return next
}

// setView records the version and revision of the view that the table is compiled from.
func (t *Table) setView(replica *view.Replica) {
	t.version, t.revision = replica.Version(), replica.Revision()
}

// Version returns the version of the configuration.
func (t *Table) Version() uint64 { return t.version }

// Revision returns the store revision that the table was compiled at.
func (t *Table) Revision() int64 { return t.revision }

// Expires returns when the table must be recompiled; 0 means not before the view changes.
func (t *Table) Expires() time.Duration { return t.expires }

// Services iterates over all services that a route or a back end names, in no particular order.
func (t *Table) Services() iter.Seq2[lb.ServiceName, *Service] { return maps.All(t.services) }

// HostOfInstance returns the host with the given instance ID, or nil if none is known.
func (t *Table) HostOfInstance(instance uint64) *Host { return t.byInstance.get(instance) }

// HasZone reports whether the zone contains a known back end.
func (t *Table) HasZone(zone lb.Zone) bool { return t.zones[zone] > 0 }

// Counts returns the number of front ends and the number of ready hosts.
func (t *Table) Counts() (frontends, ready int) {
	for _, service := range t.services {
		ready += len(service.Ready)
	}
	return len(t.frontends), ready
}

// useLapsed moves the lapsed hosts whose entries were deleted while the store was unreachable to
// Ready if they are at least half of the service. During an outage the store drops the entries of
// back ends that cannot reach it. Those still alive register again soon, and until then the
// remaining ones would be overloaded. An entry that is deleted while the store is reachable belongs
// to a back end that leaves, which must get no new flows.
func (s *Service) useLapsed() {
	if s.deletedInOutage == 0 || s.deletedInOutage < len(s.Ready) {
		return
	}
	left := s.Lapsed[:0]
	for _, host := range s.Lapsed {
		if host.deletedInOutage {
			s.Ready = append(s.Ready, host)
		} else {
			left = append(left, host)
		}
	}
	s.Lapsed, s.lapsedInUse = left, true
}

// IsReady reports whether a host of the table is one of the ready hosts of the service.
func (s *Service) IsReady(host *Host) bool {
	return host.Service == s.Name && (host.role == roleReady || host.role == roleLapsed && host.deletedInOutage && s.lapsedInUse)
}

// Ring returns the ready hosts sorted by zone and, within a zone, by a hash that is the same at all
// balancers. The caller must not modify the slice.
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

// Service returns the service for a new flow, or nil if no route matches its front end.
func (t *Table) Service(flow *lb.FlowKey) *Service {
	found := t.frontends[flow.Frontend()]
	if found == nil {
		return nil
	}
	if len(found.services) == 1 {
		return t.services[found.services[0]]
	}
	point := rendezvous.Mix(uint64(flow.ID())^serviceKey) % found.sums[len(found.sums)-1]
	for index, sum := range found.sums {
		if point < sum {
			return t.services[found.services[index]]
		}
	}
	return nil // unreachable: point is below the last sum
}

// Objective returns the service level objective configured for the requests of a front end. The
// result is false if no route matches the front end.
func (t *Table) Objective(frontend *lb.FrontendKey) (lb.Objective, bool) {
	found := t.frontends[*frontend]
	if found == nil {
		return lb.Objective{}, false
	}
	return found.objective, true
}

// Evacuated reports whether the service has no usable back end because the zones of its active ones
// are evacuated.
func (s *Service) Evacuated() bool {
	return len(s.Ready) == 0 && len(s.Lapsed) == 0 && len(s.Cold) == 0 && s.evacuated > 0
}

// HasService reports whether a route or a back end names the service.
func (t *Table) HasService(name lb.ServiceName) bool { return t.services[name] != nil }

// ServiceNamed returns the service if a route or a back end names it, and nil otherwise.
func (t *Table) ServiceNamed(name lb.ServiceName) *Service { return t.services[name] }

// Pick returns the host for a new flow: the ready host that ranks highest in weighted rendezvous
// hashing, a lapsed host if no host is ready, or nil if there is neither. weights holds one weight
// per ready host, as returned by HostWeights; nil selects the weights that follow from
// EvenZoneWeights. factors holds one factor per ready host, from 0 to 1, by which this balancer
// multiplies its weight; nil changes no weight, which makes the choice the same at all balancers of
// the zone. Hosts with FactorUnreachable get no flows.
func (s *Service) Pick(flow lb.FlowID, weights, factors []float64) *Host {
	if weights == nil {
		weights = s.evenWeights()
	}
	if chosen := highestRanked(s.Ready, flow, weights, factors, MostlyZero(factors)); chosen != nil {
		return chosen
	}
	return highestRanked(s.Lapsed, flow, nil, nil, false)
}

// FactorUnreachable is the factor of a ready host in a zone that this balancer cannot reach.
const FactorUnreachable = -1.0

// PickAlternative returns an alternative choice, independent of the choice of Pick: a ready host of
// any zone, in proportion to capacity. It returns nil if the factor of that host is 0 or below.
func (s *Service) PickAlternative(flow lb.FlowID, factors []float64) *Host {
	if len(s.Ready) == 0 {
		return nil
	}
	capacities := s.runningCapacities()
	point := rendezvous.Mix(uint64(flow)^alternativeKey) % capacities[len(capacities)-1]
	index, exact := slices.BinarySearch(capacities, point)
	if exact {
		index++ // the interval of a host ends just before its running sum
	}
	if factors != nil && factors[index] <= 0 {
		return nil
	}
	return s.Ready[index]
}

// PickCold returns the cold host for a new flow: the one that ranks highest among the hosts for
// which mayUse returns true, or nil if there is none.
func (s *Service) PickCold(flow lb.FlowID, mayUse func(*Host) bool) *Host {
	var usable []*Host
	for _, host := range s.Cold {
		if mayUse(host) {
			usable = append(usable, host)
		}
	}
	return highestRanked(usable, flow, nil, nil, false)
}

// MostlyZero reports whether more than half of the reachable hosts have the factor 0. In that case
// this balancer or its network is more likely at fault than the hosts, and excluding them would
// overload the rest.
func MostlyZero(factors []float64) bool {
	zero, reachable := 0, 0
	for _, factor := range factors {
		if factor >= 0 {
			reachable++
		}
		if factor == 0 {
			zero++
		}
	}
	return 2*zero > reachable
}

// highestRanked returns the candidate with the lowest value of -ln(u)/weight, with u uniform in
// (0,1) by hash (weighted rendezvous hashing, Schindelhauer and Schomaker, SPAA 2005). If weights
// is nil, all candidates have the same weight. Candidates with weight 0 are skipped. Candidates
// with factor 0 are skipped unless ignoreFactors is set, and those with a negative factor always.
func highestRanked(candidates []*Host, flow lb.FlowID, weights, factors []float64, ignoreFactors bool) *Host {
	var best *Host
	bestCost := math.Inf(1)
	for index, host := range candidates {
		weight := 1.0
		if weights != nil {
			weight = weights[index]
		}
		if factors != nil && (!ignoreFactors || factors[index] < 0) {
			weight *= factors[index]
		}
		if weight <= 0 {
			continue
		}
		cost := -math.Log(rendezvous.Uniform(rendezvous.Mix(uint64(flow)^host.rendezvousKey))) / weight
		if cost < bestCost {
			best, bestCost = host, cost
		}
	}
	return best
}

// Token returns the token that identifies the host for flows to the front end.
func (h *Host) Token(frontend *lb.FrontendKey) Token {
	return Token(h.tokenHash ^ uint32(frontend.Hash()))
}

// Resolve returns the host that a token identifies for the front end, or nil if none is known. The
// token may be that of the host's previous instance; it then differs from the result of Token.
func (t *Table) Resolve(frontend *lb.FrontendKey, token Token) *Host {
	return t.byHash.get(uint32(token) ^ uint32(frontend.Hash()))
}

// alternativeKey makes the choice of PickAlternative independent of the choice of Pick.
const alternativeKey = 0x94d049bb133111eb

// serviceKey makes the choice of a service independent of the choice of a host.
const serviceKey = 0x9e3779b97f4a7c15
