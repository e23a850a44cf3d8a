package core

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/view"
	"robinpulley.example/robinpulley/internal/zoneweight"
)

// zonedCore is a core of zone za whose back ends are in zones zb and zc, as while
// its own are evacuated.
type zonedCore struct {
	*tokenCore
	now    time.Duration
	number uint16
	// unreachable zones answer nothing; alone: nothing is heard of the own zone.
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
	core.list(0, listing)
	return core
}

func (core *zonedCore) zoneOf(decision Decision) lb.Zone {
	return []lb.Zone{"zb", "zc"}[(decision.Identity-1)%2]
}

// open sends an opening, and the next packet of its flow if it is answered.
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

// run lets time pass with an opening each 20 ms, and counts what becomes of them.
func (core *zonedCore) run(lasting time.Duration) map[Reason]int {
	counts := make(map[Reason]int)
	for end := core.now + lasting; core.now < end; core.now += 20 * time.Millisecond {
		if core.now%(100*time.Millisecond) == 0 {
			core.Step(core.now, &Event{Tick: true, Heard: core.zonesHeard()}, &core.effects)
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

func (core *zonedCore) zonesHeard() []ZoneHeard {
	var heard []ZoneHeard
	for _, zone := range []lb.Zone{"za", "zb", "zc"} {
		if !core.unreachable[zone] && !(zone == "za" && core.ownZoneUnreachable) {
			heard = append(heard, ZoneHeard{Zone: zone, At: core.now})
		}
	}
	return heard
}

// TestOpeningsOfACutZone: they are refused at once, first copies as not run, whether the
// node is alone or its whole zone is cut off; a few go on as probes, which find the return.
func TestOpeningsOfACutZone(t *testing.T) {
	for _, alone := range []bool{false, true} {
		is := is.New(t)
		core := newZonedCore()
		core.ownZoneUnreachable = alone
		is.Equal(core.run(2 * time.Second)[ReasonUnreachable], 0)
		core.unreachable = map[lb.Zone]bool{"zb": true, "zc": true}
		core.run(500 * time.Millisecond)
		lost := core.run(5 * time.Second)
		probes := lost["zb"] + lost["zc"]
		is.True(lost[ReasonUnreachable] > 200)
		is.True(probes > 10 && probes <= 40)
		core.run(6 * time.Second)
		core.open(0)             // perhaps a probe
		decision := core.open(0) // that is due no more
		is.Equal(decision.Action, ActionRefuse)
		is.Equal(decision.Reason, ReasonUnreachable)
		is.Equal(decision.Refusal.Verdict, lb.NotRun)
		is.Equal(core.open(1).Refusal.Verdict, lb.MayHaveRun) // an earlier copy may have gone elsewhere
		clear(core.unreachable)
		core.run(time.Second)
		is.Equal(core.run(time.Second)[ReasonUnreachable], 0)
	}
}

// TestFlowsGoToZonesInReach: none is refused while a zone answers, though more than
// half of the back ends are silent, and the other gets probes only.
func TestFlowsGoToZonesInReach(t *testing.T) {
	is := is.New(t)
	core := newZonedCore()
	core.run(2 * time.Second)
	core.unreachable = map[lb.Zone]bool{"zb": true}
	core.run(time.Second)
	counts := core.run(5 * time.Second)
	is.Equal(counts["zb"]+counts["zc"], 250)
	is.True(counts["zb"] > 0 && counts["zb"] <= 20)
	for _, zone := range core.Zones() {
		is.Equal(zone.Reached, zone.Zone != "zb")
	}
}

// TestSharesOfAZoneOutOfReach: where all flows were to go to a zone that is cut off
// meanwhile, those in reach get them.
func TestSharesOfAZoneOutOfReach(t *testing.T) {
	for _, picking := range []Picking{PickSubset, PickRank} {
		is := is.New(t)
		core := newZonedCore()
		core.settings.Picking = picking
		core.run(2 * time.Second)
		affinity := core.affinity.(*tokenAffinity)
		parts := zoneweight.Weights{"zb": 1}
		affinity.serviceWeights["web"] = &serviceWeights{byZone: parts, byHost: affinity.table.ServiceNamed("web").Weights(parts)}
		is.Equal(core.run(time.Second)["zb"], 50)
		core.unreachable = map[lb.Zone]bool{"zb": true}
		core.run(time.Second)
		counts := core.run(5 * time.Second)
		is.Equal(counts["zb"]+counts["zc"], 250)
		is.True(counts["zb"] <= 20)
	}
}
