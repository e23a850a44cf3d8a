package core

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/steering"
	"robinpulley.example/robinpulley/internal/view"
)

// zoneNodes and zoneHosts are the numbers of nodes and hosts per zone in subsetCore.
const zoneNodes, zoneHosts = 24, 40

// subsetCore returns one of the nodes of zone-1, with hosts in three zones.
func subsetCore(rank int) *Core {
	settings := DefaultSettings(lb.NodeID(fmt.Sprintf("n%d", rank)), "zone-1")
	settings.Affinity = AffinityToken
	core := New(settings)
	var backends []view.StoredBackend
	for index := range 3 * zoneHosts {
		backend := tokenBackend(lb.BackendName(fmt.Sprintf("h-%d", index)), "web", uint64(index+1), lb.BackendActive)
		backend.Backend.Zone = lb.Zone(fmt.Sprintf("zone-%d", index%3))
		backend.Backend.Slots = 2
		backends = append(backends, backend)
	}
	replica := view.NewReplica()
	replica.ApplyListing(0, tokenListing(500, backends...))
	var effects Effects
	core.Step(0, &Event{Table: steering.Compile(replica, "zone-1", 0)}, &effects)
	var members []Member
	for index := range zoneNodes {
		members = append(members, Member{ID: lb.NodeID(fmt.Sprintf("n%d", index)), Zone: "zone-1"})
	}
	core.Step(0, &Event{Members: members}, &effects)
	return core
}

func subsetOpening(number int) Packet {
	source := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, byte(number >> 8), byte(number)}), 4000)
	return Packet{Key: lb.NewFlowKey(source, tokenFrontend(443), lb.TCP), Kind: PacketOpening, OpeningID: 7}
}

// TestNodesUseOwnSubsets checks that each node sends flows to few hosts of the local zone, and that
// all nodes together use every host evenly.
func TestNodesUseOwnSubsets(t *testing.T) {
	is := is.New(t)
	all := map[uint64]int{}
	for rank := range zoneNodes {
		core := subsetCore(rank)
		own := map[uint64]int{}
		var effects Effects
		for number := range 400 {
			packet := subsetOpening(number)
			core.Step(time.Millisecond, &Event{Packet: &packet}, &effects)
			if (effects.Decision.Identity-1)%3 == 1 {
				own[effects.Decision.Identity]++
				all[effects.Decision.Identity]++
			}
		}
		is.True(len(own) >= 8 && len(own) <= 12)
	}
	is.Equal(len(all), zoneHosts)
	for _, count := range all {
		is.True(count > 150 && count < 320) // 235 on average: 24 nodes with 400 openings each, 40 hosts in the local zone
	}
}

// TestCopiesKeepBackendWhileRoundRobinAdvances checks that a copy of an opening goes to the same
// back end as the first copy, even if other openings came in between or a node has joined the zone.
func TestCopiesKeepBackendWhileRoundRobinAdvances(t *testing.T) {
	is := is.New(t)
	core := subsetCore(3)
	var effects Effects
	var hosts []uint64
	for number := range 50 {
		packet := subsetOpening(number)
		core.Step(time.Millisecond, &Event{Packet: &packet}, &effects)
		hosts = append(hosts, effects.Decision.Identity)
	}
	core.Step(2*time.Millisecond, &Event{Members: []Member{{ID: "n3", Zone: "zone-1"}, {ID: "n9", Zone: "zone-1"}}}, &effects)
	for number := range 50 {
		packet := subsetOpening(number)
		packet.Copies = 1
		core.Step(50*time.Millisecond, &Event{Packet: &packet}, &effects)
		is.Equal(effects.Decision.Identity, hosts[number])
	}
}

// TestPickersOfDeletedServicesAreRemoved checks that the number of subset pickers stays bounded.
func TestPickersOfDeletedServicesAreRemoved(t *testing.T) {
	is := is.New(t)
	core := newTokenCore()
	core.applyListing(0, tokenListing(9, tokenBackend("i-1", "web", 1, lb.BackendActive), tokenBackend("i-2", "docs", 2, lb.BackendActive)))
	core.send(0, tokenOpening(1, 443))
	core.send(0, tokenOpening(1, 8443))
	pickers := func() int { return len(core.affinity.(*tokenAffinity).subsets.byService) }
	is.Equal(pickers(), 2)
	replica := view.NewReplica()
	listing := tokenListing(12, tokenBackend("i-1", "web", 1, lb.BackendActive))
	listing.Configuration.Configuration.Routes = listing.Configuration.Configuration.Routes[:1]
	replica.ApplyListing(time.Second, listing)
	core.Step(time.Second, &Event{Table: steering.Compile(replica, "za", time.Second)}, &core.effects)
	is.Equal(pickers(), 1)
}

// BenchmarkOpeningByToken places openings among 120 back ends of three zones, at one of 24 nodes of
// its zone.
func BenchmarkOpeningByToken(b *testing.B) {
	core := subsetCore(1)
	var effects Effects
	packets := make([]Packet, 4096)
	for index := range packets {
		packets[index] = subsetOpening(index)
	}
	now, index := time.Duration(0), 0
	b.ReportAllocs()
	for b.Loop() {
		now += time.Microsecond
		index++
		packet := &packets[index%len(packets)]
		core.Step(now, &Event{Packet: packet}, &effects)
		packet.Kind, packet.Token, packet.HasData = PacketMiddle, effects.Decision.Token, true
		core.Step(now, &Event{Packet: packet}, &effects)
		packet.Kind, packet.Token = PacketOpening, 0
	}
}
