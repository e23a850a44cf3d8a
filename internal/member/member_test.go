package member_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/member"
	"robinpulley.example/robinpulley/internal/message"
)

// settled gives a fleet that has started and agrees.
func settled(t testing.TB, size, zones int) *fleet {
	fleet := newFleet(t, size, zones, nil)
	fleet.runFor(3 * time.Second)
	if _, ok := fleet.runUntil(60*time.Second, fleet.agreed); !ok {
		t.Fatal("the fleet does not agree after its start")
	}
	return fleet
}

func TestKilledNodeLeavesAllViews(t *testing.T) {
	is := is.New(t)
	fleet := settled(t, 48, 3)
	fleet.packs = true
	victim := fleet.nodes[17]
	victim.down = true
	took, ok := fleet.runUntil(6*time.Second, func() bool { return fleet.viewedBy(victim.machine.ID, false, nil) })
	is.True(ok)
	t.Logf("out of all views after %s", took)
	fleet.runFor(20 * time.Second)
	is.True(fleet.agreed()) // and nobody else is gone
	for _, node := range fleet.nodes {
		is.True(node.largest <= 1000) // bytes of the largest message but Members
	}
}

func TestRestartedNodeComesBackWithHigherIncarnation(t *testing.T) {
	is := is.New(t)
	fleet := settled(t, 24, 3)
	victim := fleet.nodes[5]
	before := victim.core.Incarnation()
	victim.down = true
	fleet.runFor(10 * time.Second)
	is.True(fleet.viewedBy(victim.machine.ID, false, nil))
	fleet.add(victim.machine, fleet.machines)
	_, ok := fleet.runUntil(10*time.Second, fleet.agreed)
	is.True(ok)
	is.True(victim.core.Incarnation() > before)
	is.Equal(victim.rejoined, 0) // a new run has nothing to distrust
}

func TestPausedNodeLearnsThatItWasDead(t *testing.T) {
	is := is.New(t)
	fleet := settled(t, 24, 3)
	victim := fleet.nodes[5]
	before := victim.core.Incarnation()
	victim.paused = true
	fleet.runFor(10 * time.Second)
	is.True(fleet.viewedBy(victim.machine.ID, false, nil))
	fleet.wake(victim)
	_, ok := fleet.runUntil(10*time.Second, fleet.agreed)
	is.True(ok)
	is.True(victim.core.Incarnation() > before)
	is.True(victim.rejoined > 0)
	fleet.runFor(10 * time.Second)
	is.True(fleet.agreed()) // its old view has made it suspect nobody
}

func TestLeavingAndStoppingNode(t *testing.T) {
	is := is.New(t)
	fleet := settled(t, 24, 3)
	victim := fleet.nodes[5]
	fleet.step(victim, &member.Event{Leave: true})
	leaving := func() bool {
		for _, node := range fleet.nodes {
			if !node.view[victim.machine.ID].Leaving {
				return false
			}
		}
		return true
	}
	_, ok := fleet.runUntil(5*time.Second, leaving)
	is.True(ok)
	fleet.runFor(10 * time.Second)
	is.True(leaving()) // alive and leaving for as long as it runs
	fleet.step(victim, &member.Event{Stop: true})
	victim.down = true
	took, ok := fleet.runUntil(5*time.Second, func() bool { return fleet.viewedBy(victim.machine.ID, false, nil) })
	is.True(ok)
	t.Logf("a stop is known everywhere after %s", took)
}

func TestCutZoneIsUnreachableAndComesBack(t *testing.T) {
	is := is.New(t)
	fleet := settled(t, 48, 3)
	const cut = lb.Zone("zone-1")
	setCut := func(on bool) {
		fleet.network.Cut(cut, "zone-0", on)
		fleet.network.Cut(cut, "zone-2", on)
	}
	inside := func(node *node) bool { return node.machine.Zone == cut }
	separate := func() bool {
		for _, viewer := range fleet.nodes {
			for _, other := range fleet.nodes {
				_, seen := viewer.view[other.machine.ID]
				if inside(viewer) != inside(other) && seen {
					return false
				}
			}
		}
		return true
	}
	setCut(true)
	took, ok := fleet.runUntil(20*time.Second, separate)
	is.True(ok)
	t.Logf("both sides are apart after %s", took)
	fleet.runFor(20 * time.Second)
	is.True(separate())
	for _, viewer := range fleet.nodes { // each side still sees its own
		for _, other := range fleet.nodes {
			_, seen := viewer.view[other.machine.ID]
			is.True(seen == (inside(viewer) == inside(other)))
		}
	}
	setCut(false)
	took, ok = fleet.runUntil(30*time.Second, fleet.agreed)
	is.True(ok)
	t.Logf("together again after %s", took)
	for _, node := range fleet.nodes {
		is.True(node.rejoined > 0)
	}
}

// TestCutBetweenTwoZones: a third zone still speaks to both. Packets cannot be
// relayed over the cut, so each side must leave the other out; nobody is dead, as
// the third zone's views show.
func TestCutBetweenTwoZones(t *testing.T) {
	for _, size := range []int{3, 6, 24} {
		is := is.New(t)
		fleet := settled(t, size, 3)
		fleet.network.Cut("zone-0", "zone-1", true)
		apart := func() bool {
			for _, viewer := range fleet.nodes {
				for _, other := range fleet.nodes {
					_, seen := viewer.view[other.machine.ID]
					bothAway := viewer.machine.Zone != "zone-2" && other.machine.Zone != "zone-2"
					if seen == (bothAway && viewer.machine.Zone != other.machine.Zone) {
						return false
					}
				}
			}
			return true
		}
		took, ok := fleet.runUntil(20*time.Second, apart)
		is.True(ok)
		t.Logf("%d nodes: apart after %s", size, took)
		for range 20 {
			fleet.runFor(time.Second)
			is.True(apart())
		}
		fleet.network.Cut("zone-0", "zone-1", false)
		took, ok = fleet.runUntil(10*time.Second, fleet.agreed)
		is.True(ok)
		t.Logf("%d nodes: together after %s", size, took)
	}
}

func TestWholeZoneDies(t *testing.T) {
	is := is.New(t)
	fleet := settled(t, 48, 3)
	for _, node := range fleet.nodes {
		node.down = node.machine.Zone == "zone-2"
	}
	took, ok := fleet.runUntil(10*time.Second, fleet.agreed)
	is.True(ok)
	t.Logf("a dead zone is out of all views after %s", took)
}

func TestJoinWithLaggingMachineList(t *testing.T) {
	is := is.New(t)
	fleet := settled(t, 12, 3)
	gone := fleet.nodes[3]
	gone.down = true
	fleet.runFor(10 * time.Second)
	joining := fleet.machines[0]
	joining.ID = "node-new"
	listed := fleet.machines[:6] // lists the dead one, not the new one and not all of the others
	fleet.add(joining, listed)
	_, ok := fleet.runUntil(10*time.Second, fleet.agreed)
	is.True(ok)
}

func TestSmallFleets(t *testing.T) {
	for _, size := range []int{1, 2, 3} {
		is := is.New(t)
		fleet := settled(t, size, 3)
		fleet.runFor(30 * time.Second)
		is.True(fleet.agreed())
		if size == 1 {
			continue
		}
		fleet.nodes[size-1].down = true
		_, ok := fleet.runUntil(10*time.Second, fleet.agreed)
		is.True(ok)
		fleet.add(fleet.nodes[size-1].machine, fleet.machines)
		_, ok = fleet.runUntil(10*time.Second, fleet.agreed)
		is.True(ok)
	}
}

func TestLossyNetworkKillsNobody(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 24, 3, nil)
	fleet.network.Loss = 0.05
	fleet.network.Duplication = 0.05
	fleet.runFor(10 * time.Second)
	is.True(fleet.agreed())
	for range 60 {
		fleet.runFor(time.Second)
		is.True(fleet.agreed())
	}
}

func TestReplacedRunFallsSilent(t *testing.T) {
	is := is.New(t)
	fleet := settled(t, 6, 3)
	old := fleet.nodes[2]
	update := message.MemberUpdate{
		Node: old.machine.ID, Zone: old.machine.Zone, Control: "10.9.9.9:4700", Data: "10.9.9.9:6081",
		State: message.MemberAlive, Incarnation: old.core.Incarnation() + 1000,
	}
	fleet.step(old, &member.Event{Peer: &member.PeerEvent{
		From: fleet.nodes[1].machine.ID, Address: fleet.nodes[1].machine.Control,
		Message: message.Ping{Sequence: 1, Updates: []message.MemberUpdate{update}},
	}})
	is.True(old.effects.Replaced)
	fleet.step(old, &member.Event{})
	is.Equal(len(old.effects.Messages), 0)
}

func TestNewRefusesBadSettings(t *testing.T) {
	is := is.New(t)
	_, err := member.New(member.DefaultSettings(member.Machine{}, 1, 1))
	is.True(err != nil)
	fleet := newFleet(t, 1, 1, nil)
	_, err = member.New(member.DefaultSettings(fleet.machines[0], 0, 1))
	is.True(err != nil)
}
