package core

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/view"
	"robinpulley.example/robinpulley/internal/zoneweight"
)

// zonedCore is a core in zone za whose usable back ends are in zones zb and zc, because za is
// evacuated.
type zonedCore struct {
	*tokenCore
	now    time.Duration
	number uint16
	// unreachable zones send no answers. If ownZoneUnreachable is set, no message arrives from the
	// node's own zone either.
	unreachable        map[lb.Zone]bool
	ownZoneUnreachable bool
}

const zonedBackends = 12

func newZonedCore() *zonedCore {
	core := &zonedCore{tokenCore: newTokenCore(), unreachable: map[lb.Zone]bool{}}
	listing := tokenListing(20)
	for index := range zonedBackends {
		stored := tokenBackend(lb.BackendName(rune('a'+index)), "web", uint64(index+1), lb.BackendActive)
		stored.Backend.Zone = []lb.Zone{"zb", "zc"}[index%2]
		listing.Backends = append(listing.Backends, stored)
	}
	own := tokenBackend("own", "web", 99, lb.BackendActive)
	own.Backend.Zone = "za"
	listing.Backends = append(listing.Backends, own)
	listing.Evacuations = []view.StoredEvacuation{{Revision: 9, Zone: "za"}}
	core.applyListing(0, listing)
	return core
}

func (core *zonedCore) zoneOf(decision Decision) lb.Zone {
	return []lb.Zone{"zb", "zc"}[(decision.Identity-1)%2]
}

// open sends an opening and, if its back end answers, the next packet of the flow.
func (core *zonedCore) open(copies uint32) Decision {
	core.number++
	opening := tokenOpening(core.number, 443)
	opening.Copies = copies
	decision := core.send(core.now, opening)
	if decision.Action == ActionForward && !core.unreachable[core.zoneOf(decision)] {
		answered := opening
		answered.Kind, answered.Token, answered.Acknowledged = PacketMiddle, decision.Token, 1
		core.send(core.now, answered)
	}
	return decision
}

// run sends an opening every 20 ms for the given time and counts the decisions by zone or reason.
func (core *zonedCore) run(duration time.Duration) map[Reason]int {
	counts := make(map[Reason]int)
	for end := core.now + duration; core.now < end; core.now += 20 * time.Millisecond {
		if core.now%(100*time.Millisecond) == 0 {
			core.Step(core.now, &Event{Tick: true, ZoneContacts: core.zoneContacts()}, &core.effects)
		}
		decision := core.open(0)
		reason := decision.Reason
		if decision.Action == ActionForward {
			reason = Reason(core.zoneOf(decision))
		}
		counts[reason]++
	}
	return counts
}

func (core *zonedCore) zoneContacts() []ZoneContact {
	var contacts []ZoneContact
	for _, zone := range []lb.Zone{"za", "zb", "zc"} {
		if !core.unreachable[zone] && !(zone == "za" && core.ownZoneUnreachable) {
			contacts = append(contacts, ZoneContact{Zone: zone, At: core.now})
		}
	}
	return contacts
}

// TestOpeningsToUnreachableZones checks that openings are refused at once while no zone with back
// ends is reachable, and first copies as not run. It makes no difference whether only this node or
// its whole zone is cut off. A few openings are still forwarded as probes, which detect when the
// zones are reachable again.
func TestOpeningsToUnreachableZones(t *testing.T) {
	for _, onlyThisNode := range []bool{false, true} {
		is := is.New(t)
		core := newZonedCore()
		core.ownZoneUnreachable = onlyThisNode
		is.Equal(core.run(2 * time.Second)[ReasonUnreachable], 0)
		core.unreachable = map[lb.Zone]bool{"zb": true, "zc": true}
		core.run(500 * time.Millisecond)
		lost := core.run(5 * time.Second)
		probes := lost["zb"] + lost["zc"]
		is.True(lost[ReasonUnreachable] > 200)
		is.True(probes > 10 && probes <= 40)
		core.run(6 * time.Second)
		core.open(0)             // may be a probe
		decision := core.open(0) // no further probe is due
		is.Equal(decision.Action, ActionRefuse)
		is.Equal(decision.Reason, ReasonUnreachable)
		is.Equal(decision.Refusal.Verdict, lb.NotRun)
		is.Equal(core.open(1).Refusal.Verdict, lb.MayHaveRun) // another node may have forwarded an earlier copy
		clear(core.unreachable)
		core.run(time.Second)
		is.Equal(core.run(time.Second)[ReasonUnreachable], 0)
	}
}

// TestFlowsGoToReachableZones checks that no opening is refused while one zone answers, although
// half of the back ends are unresponsive, and that the unreachable zone receives only probes.
func TestFlowsGoToReachableZones(t *testing.T) {
	is := is.New(t)
	core := newZonedCore()
	core.run(2 * time.Second)
	core.unreachable = map[lb.Zone]bool{"zb": true}
	core.run(time.Second)
	counts := core.run(5 * time.Second)
	is.Equal(counts["zb"]+counts["zc"], 250)
	is.True(counts["zb"] > 0 && counts["zb"] <= 20)
	for _, zone := range core.ZoneReachability() {
		is.Equal(zone.Reachable, zone.Zone != "zb")
	}
}

// TestZoneWeightsOfUnreachableZone checks that flows go to reachable zones if the zone weights send
// all of them to a zone that has become unreachable.
func TestZoneWeightsOfUnreachableZone(t *testing.T) {
	for _, picking := range []Picking{PickSubset, PickRank} {
		is := is.New(t)
		core := newZonedCore()
		core.settings.Picking = picking
		core.run(2 * time.Second)
		affinity := core.affinity.(*tokenAffinity)
		weights := zoneweight.Weights{"zb": 1}
		affinity.serviceWeights["web"] = &serviceWeights{byZone: weights, byHost: affinity.table.ServiceNamed("web").HostWeights(weights)}
		is.Equal(core.run(time.Second)["zb"], 50)
		core.unreachable = map[lb.Zone]bool{"zb": true}
		core.run(time.Second)
		counts := core.run(5 * time.Second)
		is.Equal(counts["zb"]+counts["zc"], 250)
		is.True(counts["zb"] <= 20)
	}
}
