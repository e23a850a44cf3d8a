// Package steering decides where a new flow goes, and to which back end a
// token leads, where the path carries tokens (Cheetah, NSDI 2020). A Table is
// an immutable, pure function of a view: balancers with the same view of the
// store decide alike. See docs/design-platform.md.
package steering

import (
	"cmp"
	"iter"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/rendezvous"
	"robinpulley.example/robinpulley/internal/view"
	"robinpulley.example/robinpulley/internal/zoneshare"
)

// Token is what a packet carries to name its back end. It holds for one front
// end only. Zero, as in a packet that was given none, names a host by chance only.
type Token uint32

// Host is one back end in a table.
type Host struct {
	view.Backend
	// Run names this life of the back end (view.Backend); what is learned of it is kept by that.
	Run uint64
	// Cold: it has just started and bears few new flows; see Service.Cold.
	Cold bool
	// Warming: it has just started and is slower than it will be, but no bound is known
	// on its new flows.
	Warming bool
	// hash is this host's part of its tokens.
	hash uint32
	// rank is the key of the host in rendezvous hashing.
	rank uint64
	// weight is the host's part of this balancer's new flows; see setShares.
	weight float64
}

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
	// capacities are the running sums of what the ready hosts work on at once, and zones
	// the sums by zone.
	capacities []uint64
	zones      map[lb.Zone]float64
	// even are the parts of zones while nothing is known of their load.
	even zoneshare.Parts
}

// split is a route's targets with the running sums of their weights.
type split struct {
	services  []*Service
	sums      []uint64
	objective lb.Objective
}

// Table decides for one view. It is immutable and safe for concurrent use.
type Table struct {
	version   uint64
	revision  int64
	frontends map[lb.FrontendKey]*split
	services  map[lb.ServiceName]*Service
	hosts     []*Host
	byHash    map[uint32]*Host
	// evacuated are the zones whose back ends get no new flows.
	evacuated map[lb.Zone]bool
	// coldRates are how many new flows a second cold back ends bear; 0: no bound is known.
	coldRates map[lb.ServiceName]float64
	// expires is when Compile would give another table for the same view; 0: never.
	expires time.Duration
}

// lapsedLimit is how long after its entry has gone a back end that has not
// said that it drains may be a last resort. It is well below the time after
// which a leaving back end must get nothing new.
const lapsedLimit = 1500 * time.Millisecond

// Compile builds the table of a replica at the time now, for a balancer in zone.
func Compile(replica *view.Replica, zone lb.Zone, now time.Duration) *Table {
	table := &Table{
		version:   replica.Version(),
		revision:  replica.Revision(),
		frontends: make(map[lb.FrontendKey]*split),
		services:  make(map[lb.ServiceName]*Service),
		byHash:    make(map[uint32]*Host),
		evacuated: make(map[lb.Zone]bool),
		coldRates: replica.ColdRates(),
	}
	for _, zone := range replica.Evacuated() {
		table.evacuated[zone] = true
	}
	table.addHosts(replica.Backends(), zone, now)
	for _, route := range replica.Routes() {
		table.frontends[route.Frontend.Key()] = table.newSplit(&route)
	}
	return table
}

// Version is that of the configuration.
func (t *Table) Version() uint64 { return t.version }

// Revision is the store's revision that the table was compiled at.
func (t *Table) Revision() int64 { return t.revision }

// Expires is when the table must be compiled again; 0: not before the view changes.
func (t *Table) Expires() time.Duration { return t.expires }

// Services gives all services that a route or a back end names, in no particular order.
func (t *Table) Services() iter.Seq2[lb.ServiceName, *Service] { return maps.All(t.services) }

// Hosts gives all back ends, by the order in which they were made.
func (t *Table) Hosts() []*Host { return t.hosts }

// Counts gives the numbers of front ends and of back ends that take new flows.
func (t *Table) Counts() (frontends, ready int) {
	for _, service := range t.services {
		ready += len(service.Ready)
	}
	return len(t.frontends), ready
}

func (t *Table) addHosts(known []view.Known, zone lb.Zone, now time.Duration) {
	zones := map[lb.Zone]bool{zone: true}
	slices.SortFunc(known, func(left, right view.Known) int {
		return cmp.Or(cmp.Compare(left.Backend.Created, right.Backend.Created),
			cmp.Compare(left.Backend.Name, right.Backend.Name))
	})
	for index := range known {
		t.addHost(&known[index], now)
		zones[known[index].Backend.Zone] = true
	}
	for _, service := range t.services {
		service.keepLapsed()
		service.setShares(zone, len(zones))
		service.setCapacities()
		service.NeedsCold = capacityOf(service.Ready) < capacityOf(service.Cold)
	}
}

// addHost adds one back end. One whose hash an earlier one has gets no flows,
// since their tokens could not be told apart.
func (t *Table) addHost(known *view.Known, now time.Duration) {
	host := newHost(&known.Backend)
	t.hosts = append(t.hosts, host)
	if t.byHash[host.hash] != nil {
		return
	}
	t.byHash[host.hash] = host
	if known.Earlier != nil {
		if ended := hashOf(host.Name, known.Earlier.Born); t.byHash[ended] == nil {
			t.byHash[ended] = host
		}
	}
	service := t.service(host.Service)
	cold := known.ColdUntil > now && service.ColdRate > 0
	switch {
	case host.State != lb.BackendActive:
	case t.evacuated[host.Zone]:
		service.evacuated++
	case known.Gone && cold: // no last resort: it bears few flows, if it lives
	case known.Gone:
		t.addLapsed(service, host, known, now)
	case cold:
		host.Cold = true
		service.Cold = append(service.Cold, host)
		t.expireBy(known.ColdUntil)
	default:
		if known.ColdUntil > now {
			host.Warming = true
			t.expireBy(known.ColdUntil)
		}
		service.Ready = append(service.Ready, host)
	}
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
	s.Lapsed = nil
}

func (t *Table) addLapsed(service *Service, host *Host, known *view.Known, now time.Duration) {
	until := known.GoneAt + lapsedLimit
	if until <= now {
		return
	}
	service.Lapsed = append(service.Lapsed, host)
	if known.Away {
		service.away++
	}
	t.expireBy(until)
}

// expireBy notes that the table is another one from a time on.
func (t *Table) expireBy(until time.Duration) {
	if t.expires == 0 || until < t.expires {
		t.expires = until
	}
}

func newHost(backend *view.Backend) *Host {
	return &Host{
		Backend: *backend, Run: backend.Run(), hash: hashOf(backend.Name, backend.Born),
		rank: xxhash.Sum64String(string(backend.Name)), weight: 1,
	}
}

// hashOf gives a run's part of its tokens. It tells the flows of a back end that has
// started again from those of its run before, where back ends say when they started.
func hashOf(name lb.BackendName, born int64) uint32 {
	hash := xxhash.Sum64String(string(name))
	if born != 0 {
		hash = rendezvous.Mix(hash ^ uint64(born))
	}
	return uint32(hash)
}

func (t *Table) service(name lb.ServiceName) *Service {
	known := t.services[name]
	if known == nil {
		known = &Service{Name: name, ColdRate: t.coldRates[name]}
		t.services[name] = known
	}
	return known
}

func (t *Table) newSplit(route *view.Route) *split {
	built := &split{objective: route.Objective}
	var sum uint64
	for _, target := range route.Targets {
		if target.Weight == 0 {
			continue
		}
		sum += uint64(target.Weight)
		built.services = append(built.services, t.service(target.Service))
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
		return found.services[0]
	}
	point := rendezvous.Mix(uint64(flow.ID())^splitKey) % found.sums[len(found.sums)-1]
	for index, sum := range found.sums {
		if point < sum {
			return found.services[index]
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
	point := rendezvous.Mix(uint64(flow)^otherKey) % s.capacities[len(s.capacities)-1]
	index, exact := slices.BinarySearch(s.capacities, point)
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
// (weighted rendezvous hashing, Schindelhauer and Schomaker, SPAA 2005). Hosts
// of weight or factor 0 are passed over, unless blind, and those out of reach always.
func first(candidates []*Host, flow lb.FlowID, weights, factors []float64, blind bool) *Host {
	var best *Host
	bestCost := math.Inf(1)
	for index, host := range candidates {
		weight := host.weight
		if weights != nil {
			weight = weights[index]
		}
		if factors != nil && (!blind || factors[index] < 0) {
			weight *= factors[index]
		}
		if weight <= 0 {
			continue
		}
		cost := -math.Log(uniform(rendezvous.Mix(uint64(flow)^host.rank))) / weight
		if cost < bestCost {
			best, bestCost = host, cost
		}
	}
	return best
}

// uniform maps a hash to a number above 0 and below 1.
func uniform(hash uint64) float64 { return (float64(hash>>11) + 0.5) / (1 << 53) }

// Token gives the token that names the host for flows to the front end.
func (h *Host) Token(frontend *lb.FrontendKey) Token {
	return Token(h.hash ^ uint32(frontend.Hash()))
}

// Resolve gives the host that a token names for the front end; nil: none known. The
// token may be one of the host's run before: it is not what Token gives then.
func (t *Table) Resolve(frontend *lb.FrontendKey, token Token) *Host {
	return t.byHash[uint32(token)^uint32(frontend.Hash())]
}

// otherKey makes the choice of PickOther independent of that of Pick.
const otherKey = 0x94d049bb133111eb

// splitKey makes the choice of a service independent of that of a host.
const splitKey = 0x9e3779b97f4a7c15
