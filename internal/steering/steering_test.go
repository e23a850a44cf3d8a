package steering

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/view"
)

const (
	zoneA = lb.Zone("zone-a")
	zoneB = lb.Zone("zone-b")
)

// viewBuilder builds replicas of a view, from which tests compile tables.
type viewBuilder struct {
	listing view.Listing
}

func newViewBuilder() *viewBuilder { return &viewBuilder{listing: view.Listing{Revision: 10}} }

func (builder *viewBuilder) addHost(name lb.BackendName, service lb.ServiceName, zone lb.Zone, state lb.BackendState) {
	builder.listing.Backends = append(builder.listing.Backends, view.StoredBackend{Revision: 5, Backend: view.Backend{
		Name: name, Identity: uint64(len(builder.listing.Backends) + 1), Service: service, Zone: zone, State: state,
		Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1000+len(builder.listing.Backends))),
		Created: int64(len(builder.listing.Backends) + 1),
	}})
}

func (builder *viewBuilder) addRoute(port uint16, targets ...view.Target) {
	if builder.listing.Configuration == nil {
		builder.listing.Configuration = &view.StoredConfiguration{
			Revision: 3, Configuration: view.Configuration{Version: 1},
		}
	}
	frontend := lb.Frontend{Address: netip.AddrPortFrom(netip.MustParseAddr("192.0.2.1"), port), Protocol: lb.TCP}
	routes := &builder.listing.Configuration.Configuration.Routes
	*routes = append(*routes, view.Route{Frontend: frontend, Targets: targets})
}

func (builder *viewBuilder) replica() *view.Replica {
	replica := view.NewReplica()
	replica.ApplyListing(0, &builder.listing)
	replica.SetContact(view.Contact{CurrentAt: 0})
	return replica
}

func (builder *viewBuilder) table(zone lb.Zone) *Table { return Compile(builder.replica(), zone, 0) }

func flowTo(port uint16, number int) lb.FlowKey {
	source := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(number >> 8), byte(number)}), uint16(1024+number%50000))
	return lb.NewFlowKey(source, netip.AddrPortFrom(netip.MustParseAddr("192.0.2.1"), port), lb.TCP)
}

func addHosts(builder *viewBuilder, count int) {
	for index := range count {
		zone := zoneA
		if index%2 == 1 {
			zone = zoneB
		}
		builder.addHost(lb.BackendName(fmt.Sprintf("i-%d", index)), "web", zone, lb.BackendActive)
	}
}

// TestTablesOfOneViewAgree checks that two tables of one view choose the same back end for each
// flow.
func TestTablesOfOneViewAgree(t *testing.T) {
	is := is.New(t)
	builder := newViewBuilder()
	addHosts(builder, 9)
	builder.addRoute(443, view.Target{Service: "web", Weight: 1})
	first := builder.table(zoneA)
	second := builder.table(zoneA)
	for number := range 2000 {
		flow := flowTo(443, number)
		left := first.Service(&flow).Pick(flow.ID(), nil, nil)
		right := second.Service(&flow).Pick(flow.ID(), nil, nil)
		is.Equal(left.Name, right.Name)
	}
}

// TestTokenResolvesToItsHost checks that a token resolves to its host at its own front end only.
func TestTokenResolvesToItsHost(t *testing.T) {
	is := is.New(t)
	builder := newViewBuilder()
	addHosts(builder, 20)
	builder.addRoute(443, view.Target{Service: "web", Weight: 1})
	builder.addRoute(8443, view.Target{Service: "web", Weight: 1})
	table := builder.table(zoneA)
	for number := range 500 {
		flow := flowTo(443, number)
		frontend := flow.Frontend()
		host := table.Service(&flow).Pick(flow.ID(), nil, nil)
		token := host.Token(&frontend)
		is.Equal(table.Resolve(&frontend, token), host)
		// A token of one front end does not resolve at another, and neither does the zero token.
		other := flowTo(8443, number)
		otherFrontend := other.Frontend()
		is.Equal(table.Resolve(&otherFrontend, token), nil)
		is.Equal(table.Resolve(&frontend, 0), nil)
	}
}

// TestTrafficSplitMatchesWeights checks the split of new flows over the services of a route.
func TestTrafficSplitMatchesWeights(t *testing.T) {
	is := is.New(t)
	builder := newViewBuilder()
	builder.addHost("i-1", "blue", zoneA, lb.BackendActive)
	builder.addHost("i-2", "green", zoneA, lb.BackendActive)
	builder.addRoute(443, view.Target{Service: "blue", Weight: 70}, view.Target{Service: "green", Weight: 30}, view.Target{Service: "none", Weight: 0})
	table := builder.table(zoneA)
	const requests = 200
	for batch := range 20 {
		blue := 0
		for number := range requests {
			flow := flowTo(443, batch*requests+number)
			if table.Service(&flow).Name == "blue" {
				blue++
			}
		}
		fraction := float64(blue) / requests
		is.True(fraction > 0.58 && fraction < 0.82) // 0.70 within 3.7 standard deviations
	}
}

// TestDrainingHostKeepsOnlyOldFlows checks that a draining host gets no new flows while the tokens
// of its open flows still resolve.
func TestDrainingHostKeepsOnlyOldFlows(t *testing.T) {
	is := is.New(t)
	builder := newViewBuilder()
	builder.addHost("i-1", "web", zoneA, lb.BackendDraining)
	builder.addHost("i-2", "web", zoneB, lb.BackendActive)
	builder.addRoute(443, view.Target{Service: "web", Weight: 1})
	table := builder.table(zoneA)
	for number := range 200 {
		flow := flowTo(443, number)
		frontend := flow.Frontend()
		is.Equal(table.Service(&flow).Pick(flow.ID(), nil, nil).Name, lb.BackendName("i-2"))
		draining := table.HostOfInstance(1)
		is.Equal(table.Resolve(&frontend, draining.Token(&frontend)).Name, lb.BackendName("i-1"))
	}
}

// TestEvacuatedZoneKeepsOnlyOldFlows also covers the case that the hosts of the zone would be the
// last resort, and that the evacuation is listed before the hosts of the zone.
func TestEvacuatedZoneKeepsOnlyOldFlows(t *testing.T) {
	is := is.New(t)
	builder := newViewBuilder()
	builder.addHost("i-1", "web", zoneA, lb.BackendActive)
	builder.addHost("i-2", "web", zoneB, lb.BackendActive)
	builder.addRoute(443, view.Target{Service: "web", Weight: 1})
	builder.listing.Evacuations = []view.StoredEvacuation{{Revision: 9, Zone: zoneA}}
	replica := builder.replica()
	table := Compile(replica, zoneA, 0)
	for number := range 200 {
		flow := flowTo(443, number)
		frontend := flow.Frontend()
		is.Equal(table.Service(&flow).Pick(flow.ID(), nil, nil).Name, lb.BackendName("i-2"))
		evacuatedHost := table.HostOfInstance(1)
		is.Equal(table.Resolve(&frontend, evacuatedHost.Token(&frontend)).Name, lb.BackendName("i-1"))
	}

	replica.ApplyChanges(time.Second, &view.Changes{Revision: 12, Changes: []view.Change{
		{Revision: 11, Deleted: "i-1"}, {Revision: 12, Deleted: "i-2"},
	}})
	flow := flowTo(443, 1)
	lapsed := Compile(replica, zoneA, time.Second)
	is.Equal(lapsed.Service(&flow).Pick(flow.ID(), nil, nil).Name, lb.BackendName("i-2"))
	is.Equal(lapsed.Service(&flow).Evacuated(), false)

	replica.ApplyChanges(time.Second, &view.Changes{Revision: 13, Changes: []view.Change{{Revision: 13, Evacuated: zoneB}}})
	evacuated := Compile(replica, zoneA, time.Second)
	is.Equal(evacuated.Service(&flow).Pick(flow.ID(), nil, nil), nil)
	is.True(evacuated.Service(&flow).Evacuated())

	replica.ApplyChanges(time.Second, &view.Changes{Revision: 14, Changes: []view.Change{{Revision: 14, Restored: zoneB}}})
	restored := Compile(replica, zoneA, time.Second)
	is.Equal(restored.Service(&flow).Pick(flow.ID(), nil, nil).Name, lb.BackendName("i-2"))
}

// TestColdHostsGetNoNewFlows checks that cold hosts get no new flows until they are warm, if the
// service has a configured cold rate.
func TestColdHostsGetNoNewFlows(t *testing.T) {
	is := is.New(t)
	builder := newViewBuilder()
	builder.addHost("i-1", "web", zoneA, lb.BackendActive)
	builder.addHost("i-2", "web", zoneA, lb.BackendActive)
	builder.addRoute(443, view.Target{Service: "web", Weight: 1})
	builder.listing.Backends[1].Backend.ColdMillis = 2000
	flow := flowTo(443, 1)
	unlimited := builder.table(zoneA)
	is.Equal(len(unlimited.Service(&flow).Ready), 2) // no cold rate is configured

	builder.listing.Configuration.Configuration.ColdRates = []view.ColdRate{{Service: "web", PerSecond: 10}}
	replica := builder.replica()
	table := Compile(replica, zoneA, time.Second)
	service := table.Service(&flow)
	is.Equal(len(service.Ready), 1)
	is.Equal(service.Cold[0].Name, lb.BackendName("i-2"))
	is.True(service.Cold[0].Cold)
	is.Equal(service.ColdRate, 10.0)
	is.Equal(service.ColdNeeded, false)
	is.Equal(table.Expires(), 2*time.Second)
	frontend := flow.Frontend()
	is.Equal(table.Resolve(&frontend, service.Cold[0].Token(&frontend)), service.Cold[0]) // its existing flows continue
	warm := Compile(replica, zoneA, table.Expires())
	is.Equal(len(warm.Service(&flow).Ready), 2)

	replica.ApplyChanges(time.Second, &view.Changes{Revision: 12, Changes: []view.Change{
		{Revision: 11, Deleted: "i-1"}, {Revision: 12, Deleted: "i-2"},
	}})
	deleted := Compile(replica, zoneA, time.Second).Service(&flow)
	is.Equal(len(deleted.Lapsed), 1) // a cold host is not a last resort
	is.Equal(deleted.Lapsed[0].Name, lb.BackendName("i-1"))
}

// TestColdHostsAreNeededAsMajority checks that cold hosts get new flows if they have more capacity
// than the ready hosts.
func TestColdHostsAreNeededAsMajority(t *testing.T) {
	is := is.New(t)
	builder := newViewBuilder()
	for index, slots := range []int{4, 3, 2} {
		builder.addHost(lb.BackendName(fmt.Sprintf("i-%d", index)), "web", zoneA, lb.BackendActive)
		builder.listing.Backends[index].Backend.Slots = slots
		if index > 0 {
			builder.listing.Backends[index].Backend.ColdMillis = 2000
		}
	}
	builder.addRoute(443, view.Target{Service: "web", Weight: 1})
	builder.listing.Configuration.Configuration.ColdRates = []view.ColdRate{{Service: "web", PerSecond: 10}}
	flow := flowTo(443, 1)
	service := builder.table(zoneA).Service(&flow)
	is.True(service.ColdNeeded) // 4 slots ready, 5 cold
	is.Equal(service.PickCold(flow.ID(), func(*Host) bool { return false }), nil)
	is.Equal(service.PickCold(flow.ID(), func(host *Host) bool { return host.Name == "i-2" }).Name, lb.BackendName("i-2"))
}

// TestDeletedHostKeepsFlowsAsLastResort checks that a host that was deleted without a drain gets
// new flows until lastResortTimeout if no other host is left, and that its open flows continue after
// that.
func TestDeletedHostKeepsFlowsAsLastResort(t *testing.T) {
	is := is.New(t)
	builder := newViewBuilder()
	builder.addHost("i-1", "web", zoneA, lb.BackendActive)
	builder.addRoute(443, view.Target{Service: "web", Weight: 1})
	replica := builder.replica()
	replica.ApplyChanges(time.Second, &view.Changes{Revision: 11, Changes: []view.Change{{Revision: 11, Deleted: "i-1"}}})

	soon := Compile(replica, zoneA, time.Second)
	flow := flowTo(443, 1)
	frontend := flow.Frontend()
	is.Equal(soon.Service(&flow).Pick(flow.ID(), nil, nil).Name, lb.BackendName("i-1"))
	is.Equal(soon.Expires(), time.Second+lastResortTimeout)

	later := Compile(replica, zoneA, soon.Expires())
	is.Equal(later.Service(&flow).Pick(flow.ID(), nil, nil), nil)
	is.True(later.Resolve(&frontend, later.HostOfInstance(1).Token(&frontend)) != nil)
	is.Equal(later.Expires(), time.Duration(0))
}

// TestUnknownFrontendHasNoService checks that a flow to a front end without a route has no service.
func TestUnknownFrontendHasNoService(t *testing.T) {
	is := is.New(t)
	builder := newViewBuilder()
	addHosts(builder, 2)
	builder.addRoute(443, view.Target{Service: "web", Weight: 1})
	flow := flowTo(80, 1)
	is.Equal(builder.table(zoneA).Service(&flow), nil)
}

// TestOlderHostOwnsCollidingHash checks that the host created first owns a hash that two hosts
// share, whatever the order in which the view lists them, because tokens cannot distinguish the
// two.
func TestOlderHostOwnsCollidingHash(t *testing.T) {
	is := is.New(t)
	builder := newViewBuilder()
	builder.addHost("i-1", "web", zoneA, lb.BackendActive)
	known := builder.replica().Backends()
	duplicate := known[0]
	duplicate.Backend.Identity = 99
	duplicate.Backend.Created = known[0].Backend.Created + 1
	for _, order := range [][]view.KnownBackend{{known[0], duplicate}, {duplicate, known[0]}} {
		table, compiler := newTable(), NewCompiler(DefaultSettings(zoneA))
		compiler.clear()
		compiler.addAll(table, order, 0)
		compiler.finish(table, view.NewReplica())
		is.Equal(len(table.services["web"].Ready), 1)
		is.Equal(table.services["web"].Ready[0].Identity, uint64(1))
		is.True(table.HostOfInstance(1) != nil && table.HostOfInstance(99) != nil)
	}
}

func BenchmarkPick(b *testing.B) {
	builder := newViewBuilder()
	addHosts(builder, 18)
	builder.addRoute(443, view.Target{Service: "web", Weight: 1})
	table := builder.table(zoneA)
	flow := flowTo(443, 1)
	b.ReportAllocs()
	for b.Loop() {
		table.Service(&flow).Pick(flow.ID(), nil, nil)
	}
}

// BenchmarkCompile builds a table from scratch for a large fleet: 4,800 hosts of 275 services
// behind 3,300 front ends.
func BenchmarkCompile(b *testing.B) {
	const hosts, services, frontends = 4800, 275, 3300
	builder := newViewBuilder()
	for index := range hosts {
		service := lb.ServiceName(fmt.Sprintf("service-%d", index%services))
		builder.addHost(lb.BackendName(fmt.Sprintf("i-%d", index)), service, lb.Zone(fmt.Sprintf("zone-%d", index%12)), lb.BackendActive)
	}
	for index := range frontends {
		service := lb.ServiceName(fmt.Sprintf("service-%d", index%services))
		builder.addRoute(uint16(1000+index), view.Target{Service: service, Weight: 1})
	}
	replica := builder.replica()
	b.ReportAllocs()
	for b.Loop() {
		Compile(replica, "zone-1", 0)
	}
}
