package follower

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// withOtherEvacuations counts the live nodes whose evacuated zones differ from the given ones.
func (fleet *fleet) withOtherEvacuations(evacuated ...lb.Zone) int {
	count := 0
	for _, node := range fleet.nodes {
		if !node.dead && !slices.Equal(node.core.Replica().Evacuated(), evacuated) {
			count++
		}
	}
	return count
}

// TestEvacuationTakesEffectDespiteFailures lets watchers or other nodes fail when a zone is
// evacuated, and again when it is restored. In between, a node restarts, and the store may compact
// its history. An evacuation must be in force within the same time as any other change.
func TestEvacuationTakesEffectDespiteFailures(t *testing.T) {
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 3))
		fleet := changeWithFailures(t, seed, defaultLimit)
		fleet.store.Evacuate("zone-0")
		if random.IntN(2) == 0 {
			fleet.compacted = fleet.store.Revision()
		}
		fleet.run(inForceLimit)
		if outdated := fleet.withOtherEvacuations("zone-0"); outdated > 0 {
			t.Errorf("seed %d: %d of %d nodes do not have the evacuation", seed, outdated, len(fleet.nodes))
		}
		for _, node := range fleet.nodes {
			node.fault = faultNone
		}
		fleet.restart(fleet.randomAlive(random), seed+1000)
		fleet.announce()
		fleet.run(5 * time.Second)
		if outdated := fleet.withOtherEvacuations("zone-0"); outdated > 0 {
			t.Errorf("seed %d: %d nodes do not have the evacuation after a restart", seed, outdated)
		}
		if unresponsive := fleet.randomAlive(random); fleet.countAlive() > 1 { // at least one node must reach the store
			unresponsive.fault = faultUnresponsive
		}
		fleet.store.Restore("zone-0")
		if random.IntN(2) == 0 {
			fleet.compacted = fleet.store.Revision()
		}
		fleet.run(inForceLimit)
		if outdated := fleet.withOtherEvacuations(); outdated > 0 {
			t.Errorf("seed %d: %d nodes still have the restored zone as evacuated", seed, outdated)
		}
	}
}

// randomAlive returns a random live node.
func (fleet *fleet) randomAlive(random *rand.Rand) *fleetNode {
	for {
		if node := fleet.nodes[random.IntN(len(fleet.nodes))]; !node.dead {
			return node
		}
	}
}

// countAlive counts the live nodes.
func (fleet *fleet) countAlive() int {
	count := 0
	for _, node := range fleet.nodes {
		if !node.dead {
			count++
		}
	}
	return count
}
