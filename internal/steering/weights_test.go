package steering

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/view"
	"robinpulley.example/robinpulley/internal/zoneweight"
)

// TestEqualDemandLoadsHostsEvenly checks that all hosts get the same load if all zones have the
// same demand, whatever the number of hosts in each zone.
func TestEqualDemandLoadsHostsEvenly(t *testing.T) {
	cases := []struct {
		name  string
		hosts []int // per zone
	}{
		{"equal", []int{4, 4, 4}},
		{"uneven", []int{5, 5, 4}},
		{"few", []int{2, 1, 1}},
		{"one zone has almost none", []int{9, 4, 1}},
		{"one zone has none", []int{3, 3, 0}},
		{"one zone", []int{3}},
		{"two zones have none", []int{6, 0, 0}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			builder := newViewBuilder()
			zones := make([]lb.Zone, len(test.hosts))
			total := 0
			for zone, count := range test.hosts {
				zones[zone] = lb.Zone(fmt.Sprintf("zone-%d", zone))
				for index := range count {
					builder.addHost(lb.BackendName(fmt.Sprintf("i-%d-%d", zone, index)), "web", zones[zone], lb.BackendActive)
				}
				// A host of another service makes every zone known.
				builder.addHost(lb.BackendName(fmt.Sprintf("i-other-%d", zone)), "other", zones[zone], lb.BackendActive)
				total += count
			}
			load := map[lb.BackendName]float64{}
			for _, zone := range zones {
				service := builder.table(zone).services["web"]
				sum := 0.0
				for _, weight := range service.evenWeights() {
					sum += weight
				}
				for index, host := range service.Ready {
					load[host.Name] += service.evenWeights()[index] / sum / float64(len(zones))
				}
			}
			for _, fraction := range load {
				is.True(math.Abs(fraction*float64(total)-1) < 3*zoneweight.MinRemoteWeight)
			}
		})
	}
}

// TestZoneKeepsItsFlows checks that no more flows cross zones than an even load requires.
func TestZoneKeepsItsFlows(t *testing.T) {
	is := is.New(t)
	builder := newViewBuilder()
	addHosts(builder, 10) // five in each of two zones
	local := 0.0
	service := builder.table(zoneA).services["web"]
	for index, host := range service.Ready {
		if host.Zone == zoneA {
			local += service.evenWeights()[index]
		}
	}
	is.True(local >= 1-2*zoneweight.MinRemoteWeight && local <= 1)
}

// TestFlowsFollowWeights checks that each host gets flows in proportion to its weight.
func TestFlowsFollowWeights(t *testing.T) {
	is := is.New(t)
	builder := newViewBuilder()
	addHosts(builder, 10)
	builder.addRoute(443, view.Target{Service: "web", Weight: 1})
	service := builder.table(zoneA).services["web"]
	const flows = 20000
	counts := map[lb.BackendName]int{}
	halved := service.Ready[0]
	factors := make([]float64, len(service.Ready))
	for index, host := range service.Ready {
		factors[index] = 1
		if host == halved {
			factors[index] = 0.5
		}
	}
	for number := range flows {
		flow := flowTo(443, number)
		counts[service.Pick(flow.ID(), nil, factors).Name]++
	}
	sum := 0.0
	weights := service.evenWeights()
	for index := range service.Ready {
		sum += weights[index] * factors[index]
	}
	for index, host := range service.Ready {
		expected := flows * weights[index] * factors[index] / sum
		is.True(math.Abs(float64(counts[host.Name])-expected) < 5*math.Sqrt(expected)+1)
	}
}

// TestFactorZeroHostGetsNoFlows checks both choices of a host.
func TestFactorZeroHostGetsNoFlows(t *testing.T) {
	is := is.New(t)
	builder := newViewBuilder()
	addHosts(builder, 4)
	service := builder.table(zoneA).services["web"]
	excluded := service.Ready[1]
	factors := []float64{1, 0, 1, 1}
	for number := range 200 {
		is.True(service.Pick(lb.FlowID(number), nil, factors) != excluded)
		is.True(service.PickAlternative(lb.FlowID(number), factors) != excluded)
	}
}

// TestFactorsAreIgnoredWhenMostAreZero guards against a balancer that finds most hosts
// unresponsive: it is at fault itself, and must place flows as if it had no factors.
func TestFactorsAreIgnoredWhenMostAreZero(t *testing.T) {
	is := is.New(t)
	builder := newViewBuilder()
	addHosts(builder, 5)
	service := builder.table(zoneA).services["web"]
	factors := []float64{1, 1, 0, 0, 0}
	for number := range 200 {
		flow := lb.FlowID(number)
		is.Equal(service.Pick(flow, nil, factors), service.Pick(flow, nil, nil))
	}
}

// TestPickAlternativeFollowsCapacities checks that PickAlternative ignores zones.
func TestPickAlternativeFollowsCapacities(t *testing.T) {
	is := is.New(t)
	builder := newViewBuilder()
	addHosts(builder, 6)
	for index := range builder.listing.Backends {
		builder.listing.Backends[index].Backend.Slots = index // a stated capacity of 0 counts as 1
	}
	service := builder.table(zoneA).services["web"]
	const flows = 20000
	counts := map[lb.BackendName]int{}
	for number := range flows {
		counts[service.PickAlternative(lb.FlowID(number), nil).Name]++
	}
	total := 0.0
	for _, host := range service.Ready {
		total += host.capacity()
	}
	for _, host := range service.Ready {
		expected := flows * host.capacity() / total
		is.True(math.Abs(float64(counts[host.Name])-expected) < 5*math.Sqrt(expected))
	}
	empty := &Service{}
	is.Equal(empty.PickAlternative(1, nil), nil)
}

// TestLapsedHalfOfServiceStaysInUse checks that lapsed hosts stay in use if at least half of the
// entries of a service were deleted while the store was unreachable. Fewer lapsed hosts, and hosts
// deleted while the store is reachable, get no new flows. After the timeout, hosts that have not
// returned are removed.
func TestLapsedHalfOfServiceStaysInUse(t *testing.T) {
	cases := []struct {
		name   string
		lapsed int           // of six
		age    time.Duration // of the view when the replica learns of the deletions
		outage bool
		ready  int           // hosts that accept new flows immediately
		lasts  time.Duration // how long the lapsed hosts may serve
	}{
		{"none", 0, 5 * time.Second, true, 6, 0},
		{"one", 1, 5 * time.Second, true, 5, lastResortTimeout},
		{"fewer than half", 2, 5 * time.Second, true, 4, lastResortTimeout},
		{"half", 3, 5 * time.Second, true, 6, lastResortTimeout},
		{"most", 5, 5 * time.Second, true, 6, lastResortTimeout},
		{"all", 6, 5 * time.Second, true, 6, lastResortTimeout},
		{"half while the store is reachable", 3, time.Second, false, 3, lastResortTimeout},
		{"most while the store is reachable", 5, 2 * time.Second, false, 1, 700 * time.Millisecond},
		{"all, learned later than the limit", 6, 4 * time.Second, false, 0, 0},
		{"all while the store is reachable", 6, time.Second, false, 0, lastResortTimeout},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			builder := newViewBuilder()
			addHosts(builder, 6)
			replica := builder.replica()
			changes := &view.Changes{Revision: 20}
			for index := range test.lapsed {
				changes.Changes = append(changes.Changes, view.Change{
					Revision: int64(11 + index), Deleted: builder.listing.Backends[index].Backend.Name,
				})
			}
			replica.SetContact(view.Contact{CurrentAt: time.Second - test.age, Outage: test.outage})
			replica.ApplyChanges(time.Second, changes)
			table := Compile(replica, zoneA, time.Second)
			is.Equal(len(table.services["web"].Ready), test.ready)
			later := Compile(replica, zoneA, time.Second+test.lasts)
			is.Equal(len(later.services["web"].Ready), 6-test.lapsed)
			is.Equal(later.Expires(), time.Duration(0))
			if test.lasts > 0 {
				is.Equal(table.Expires(), time.Second+test.lasts)
			} else {
				is.Equal(table.Expires(), time.Duration(0))
			}
		})
	}
}

// TestUnreachableHostsGetNoFlows also checks that unreachable hosts are not counted as
// unresponsive: the factors of the reachable hosts are applied or ignored as if the unreachable
// ones did not exist.
func TestUnreachableHostsGetNoFlows(t *testing.T) {
	is := is.New(t)
	builder := newViewBuilder()
	addHosts(builder, 6)
	service := builder.table(zoneA).services["web"]
	unreachable := FactorUnreachable
	for number := range 200 {
		flow := lb.FlowID(number)
		is.Equal(service.Pick(flow, nil, []float64{unreachable, unreachable, unreachable, unreachable, unreachable, unreachable}), nil)
		is.Equal(service.Pick(flow, nil, []float64{unreachable, unreachable, unreachable, 0, 1, 0.5}) == service.Ready[3], false)
		// Most reachable hosts are unresponsive, so that their factors are ignored.
		chosen := service.Pick(flow, nil, []float64{unreachable, unreachable, unreachable, 0, 0, 1})
		is.True(chosen == service.Ready[3] || chosen == service.Ready[4] || chosen == service.Ready[5])
		is.Equal(service.PickAlternative(flow, []float64{unreachable, unreachable, unreachable, unreachable, unreachable, unreachable}), nil)
	}
}

// TestWarmingHostsHaveLowerCapacity checks that a host counts for less until it is warm, whatever
// capacity it states.
func TestWarmingHostsHaveLowerCapacity(t *testing.T) {
	is := is.New(t)
	builder := newViewBuilder()
	addHosts(builder, 2)
	for index := range builder.listing.Backends {
		builder.listing.Backends[index].Backend.Slots = 4
	}
	builder.listing.Backends[0].Backend.ColdMillis = 2000
	replica := builder.replica()
	table := Compile(replica, zoneA, time.Second)
	ready := table.services["web"].Ready
	is.Equal(len(ready), 2) // no limit on its new flows is configured
	is.Equal(ready[0].RelativeCapacity(), 4*warmingFactor)
	is.Equal(ready[1].RelativeCapacity(), 4.0)
	is.Equal(table.Expires(), 2*time.Second)
	warm := Compile(replica, zoneA, table.Expires())
	is.Equal(warm.services["web"].Ready[0].RelativeCapacity(), 4.0)
	is.Equal(warm.Expires(), time.Duration(0))
}
