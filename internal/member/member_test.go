package member_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/member"
	"robinpulley.example/robinpulley/internal/message"
)

// convergedFleet returns a fleet that has started and whose views agree.
func convergedFleet(t testing.TB, size, zones int) *fleet {
	fleet := newFleet(t, size, zones, nil)
	fleet.runFor(3 * time.Second)
	if _, ok := fleet.runUntil(60*time.Second, fleet.agreed); !ok {
		t.Fatal("the views of the fleet do not agree after its start")
	}
	return fleet
}

func TestKilledNodeLeavesAllViews(t *testing.T) {
	is := is.New(t)
	fleet := convergedFleet(t, 48, 3)
	fleet.compress = true
	victim := fleet.nodes[17]
	victim.down = true
	took, ok := fleet.runUntil(6*time.Second, func() bool { return fleet.viewedBy(victim.machine.ID, false, nil) })
	is.True(ok)
	t.Logf("removed from all views after %s", took)
	fleet.runFor(20 * time.Second)
	is.True(fleet.agreed()) // no other node was removed
	for _, node := range fleet.nodes {
		is.True(node.largest <= 1000) // bytes of the largest message except Members
	}
}

func TestRestartedNodeRejoinsWithHigherIncarnation(t *testing.T) {
	is := is.New(t)
	fleet := convergedFleet(t, 24, 3)
	victim := fleet.nodes[5]
	before := victim.core.Incarnation()
	victim.down = true
	fleet.runFor(10 * time.Second)
	is.True(fleet.viewedBy(victim.machine.ID, false, nil))
	fleet.add(victim.machine, fleet.machines)
	_, ok := fleet.runUntil(10*time.Second, fleet.agreed)
	is.True(ok)
	is.True(victim.core.Incarnation() > before)
	is.Equal(victim.rejoined, 0) // a new instance has no earlier view
}

func TestPausedNodeLearnsThatItWasDeclaredDead(t *testing.T) {
	is := is.New(t)
	fleet := convergedFleet(t, 24, 3)
	victim := fleet.nodes[5]
	before := victim.core.Incarnation()
	victim.paused = true
	fleet.runFor(10 * time.Second)
	is.True(fleet.viewedBy(victim.machine.ID, false, nil))
	fleet.resume(victim)
	_, ok := fleet.runUntil(10*time.Second, fleet.agreed)
	is.True(ok)
	is.True(victim.core.Incarnation() > before)
	is.True(victim.rejoined > 0)
	fleet.runFor(10 * time.Second)
	is.True(fleet.agreed()) // its old view caused no suspicions
}

func TestLeavingAndStoppingNode(t *testing.T) {
	is := is.New(t)
	fleet := convergedFleet(t, 24, 3)
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
	is.True(leaving()) // the node remains alive and leaving while it runs
	fleet.step(victim, &member.Event{Stop: true})
	victim.down = true
	took, ok := fleet.runUntil(5*time.Second, func() bool { return fleet.viewedBy(victim.machine.ID, false, nil) })
	is.True(ok)
	t.Logf("all nodes have learned of the stop after %s", took)
}

func TestPartitionedZoneIsUnreachableUntilThePartitionHeals(t *testing.T) {
	is := is.New(t)
	fleet := convergedFleet(t, 48, 3)
	const isolated = lb.Zone("zone-1")
	setCut := func(on bool) {
		fleet.network.Cut(isolated, "zone-0", on)
		fleet.network.Cut(isolated, "zone-2", on)
	}
	inside := func(node *node) bool { return node.machine.Zone == isolated }
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
	t.Logf("the sides are separated after %s", took)
	fleet.runFor(20 * time.Second)
	is.True(separate())
	for _, viewer := range fleet.nodes { // each side still views its own nodes as alive
		for _, other := range fleet.nodes {
			_, seen := viewer.view[other.machine.ID]
			is.True(seen == (inside(viewer) == inside(other)))
		}
	}
	setCut(false)
	took, ok = fleet.runUntil(30*time.Second, fleet.agreed)
	is.True(ok)
	t.Logf("all views agree again after %s", took)
	for _, node := range fleet.nodes {
		is.True(node.rejoined > 0)
	}
}

// TestPartitionBetweenTwoZones cuts two zones off from each other while a third zone still
// communicates with both. Packets cannot be relayed around the partition, so each side must remove
// the other from its view. No node is dead, as the views of the third zone show.
func TestPartitionBetweenTwoZones(t *testing.T) {
	for _, size := range []int{3, 6, 24} {
		is := is.New(t)
		fleet := convergedFleet(t, size, 3)
		fleet.network.Cut("zone-0", "zone-1", true)
		separate := func() bool {
			for _, viewer := range fleet.nodes {
				for _, other := range fleet.nodes {
					_, seen := viewer.view[other.machine.ID]
					bothOutside := viewer.machine.Zone != "zone-2" && other.machine.Zone != "zone-2"
					if seen == (bothOutside && viewer.machine.Zone != other.machine.Zone) {
						return false
					}
				}
			}
			return true
		}
		took, ok := fleet.runUntil(20*time.Second, separate)
		is.True(ok)
		t.Logf("%d nodes: separated after %s", size, took)
		for range 20 {
			fleet.runFor(time.Second)
			is.True(separate())
		}
		fleet.network.Cut("zone-0", "zone-1", false)
		took, ok = fleet.runUntil(10*time.Second, fleet.agreed)
		is.True(ok)
		t.Logf("%d nodes: all views agree again after %s", size, took)
	}
}

func TestZoneFailure(t *testing.T) {
	is := is.New(t)
	fleet := convergedFleet(t, 48, 3)
	for _, node := range fleet.nodes {
		node.down = node.machine.Zone == "zone-2"
	}
	took, ok := fleet.runUntil(10*time.Second, fleet.agreed)
	is.True(ok)
	t.Logf("the failed zone is removed from all views after %s", took)
}

func TestJoinWithLaggingMachineList(t *testing.T) {
	is := is.New(t)
	fleet := convergedFleet(t, 12, 3)
	dead := fleet.nodes[3]
	dead.down = true
	fleet.runFor(10 * time.Second)
	joining := fleet.machines[0]
	joining.ID = "node-new"
	listed := fleet.machines[:6] // contains the dead node, not the new one and not all others
	fleet.add(joining, listed)
	_, ok := fleet.runUntil(10*time.Second, fleet.agreed)
	is.True(ok)
}

func TestSmallFleets(t *testing.T) {
	for _, size := range []int{1, 2, 3} {
		is := is.New(t)
		fleet := convergedFleet(t, size, 3)
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

func TestMessageLossCausesNoFalseDeaths(t *testing.T) {
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

func TestReplacedInstanceStopsSending(t *testing.T) {
	is := is.New(t)
	fleet := convergedFleet(t, 6, 3)
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

func TestNewRejectsInvalidSettings(t *testing.T) {
	is := is.New(t)
	_, err := member.New(member.DefaultSettings(member.Machine{}, 1, 1))
	is.True(err != nil)
	fleet := newFleet(t, 1, 1, nil)
	_, err = member.New(member.DefaultSettings(fleet.machines[0], 0, 1))
	is.True(err != nil)
}
