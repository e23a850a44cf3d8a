package member_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/member"
	"robinpulley.example/robinpulley/internal/sim"
)

// TestRandomFaultsConverge kills, restarts and pauses nodes and cuts zones off at random for a
// minute, also simultaneously. After all faults are repaired, every view must be correct, and no
// incarnation may have decreased.
func TestRandomFaultsConverge(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			fleet := convergedFleet(t, 18, 3)
			fleet.compress = seed == 0
			random := sim.NewRandom(seed)
			incarnations := make(map[lb.NodeID]uint64)
			for range 30 {
				node := fleet.nodes[random.IntN(len(fleet.nodes))]
				zones := random.Perm(3)
				switch random.IntN(5) {
				case 0:
					node.down = true
				case 1:
					if node.down {
						fleet.add(node.machine, fleet.machines)
					}
				case 2:
					node.paused = !node.down
				case 3:
					if node.paused {
						fleet.resume(node)
					}
				case 4:
					cut := random.IntN(2) == 0
					fleet.network.Cut(lb.Zone(fmt.Sprintf("zone-%d", zones[0])), lb.Zone(fmt.Sprintf("zone-%d", zones[1])), cut)
				}
				fleet.runFor(time.Duration(random.Int64N(int64(4 * time.Second))))
				for _, node := range fleet.nodes {
					is.True(node.core.Incarnation() >= incarnations[node.machine.ID])
					incarnations[node.machine.ID] = node.core.Incarnation()
				}
			}
			for _, pair := range [][2]lb.Zone{{"zone-0", "zone-1"}, {"zone-0", "zone-2"}, {"zone-1", "zone-2"}} {
				fleet.network.Cut(pair[0], pair[1], false)
			}
			for _, node := range fleet.nodes {
				if node.paused {
					fleet.resume(node)
				}
				if node.down {
					fleet.add(node.machine, fleet.machines)
				}
			}
			took, ok := fleet.runUntil(60*time.Second, fleet.agreed)
			t.Logf("all views agree after %s", took)
			is.True(ok)
			fleet.runFor(10 * time.Second)
			is.True(fleet.agreed())
			for _, node := range fleet.nodes {
				is.True(!fleet.compress || node.largest <= 1000)
			}
		})
	}
}

// TestRackFailure stops neighbours on the ring simultaneously.
func TestRackFailure(t *testing.T) {
	is := is.New(t)
	fleet := convergedFleet(t, 96, 3)
	for _, node := range fleet.nodes[:12] {
		node.down = true
	}
	took, ok := fleet.runUntil(20*time.Second, fleet.agreed)
	is.True(ok)
	t.Logf("12 of 96 nodes are removed from all views after %s", took)
}

// TestRollingRestart announces the leave of one node after the other, and stops and restarts it.
func TestRollingRestart(t *testing.T) {
	is := is.New(t)
	fleet := convergedFleet(t, 24, 3)
	for _, node := range fleet.nodes[:12] {
		fleet.step(node, &member.Event{Leave: true})
		fleet.runFor(2 * time.Second)
		fleet.step(node, &member.Event{Stop: true})
		node.down = true
		fleet.runFor(time.Second)
		fleet.add(node.machine, fleet.machines)
		fleet.runFor(time.Second)
	}
	_, ok := fleet.runUntil(20*time.Second, fleet.agreed)
	is.True(ok)
	for _, viewer := range fleet.nodes {
		for _, seen := range viewer.view {
			is.True(!seen.Leaving)
		}
	}
}
