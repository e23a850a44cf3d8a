package follower

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// unaware counts the living nodes whose evacuated zones are not those of the store.
func (fleet *fleet) unaware(evacuated ...lb.Zone) int {
	count := 0
	for _, node := range fleet.nodes {
		if !node.dead && !slices.Equal(node.core.Replica().Evacuated(), evacuated) {
			count++
		}
	}
	return count
}

// TestEvacuationIsInForceWhateverFailsWithIt has readers or other nodes fail as a
// zone is evacuated and again as it is restored, a node start in between, and the
// store's history go. The time allowed is that of every other change.
func TestEvacuationIsInForceWhateverFailsWithIt(t *testing.T) {
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 3))
		fleet := changeWithFailures(t, seed, defaultLimit)
		fleet.store.Evacuate("zone-0")
		if random.IntN(2) == 0 {
			fleet.compacted = fleet.store.Revision()
		}
		fleet.run(inForceLimit)
		if unaware := fleet.unaware("zone-0"); unaware > 0 {
			t.Errorf("seed %d: %d of %d nodes do not know of the evacuation", seed, unaware, len(fleet.nodes))
		}
		for _, node := range fleet.nodes {
			node.fault = faultNone
		}
		fleet.restart(fleet.living(random), seed+1000)
		fleet.announce()
		fleet.run(5 * time.Second)
		if unaware := fleet.unaware("zone-0"); unaware > 0 {
			t.Errorf("seed %d: %d nodes do not know of it after a restart", seed, unaware)
		}
		if silent := fleet.living(random); fleet.alive() > 1 { // somebody must reach the store
			silent.fault = faultSilent
		}
		fleet.store.Restore("zone-0")
		if random.IntN(2) == 0 {
			fleet.compacted = fleet.store.Revision()
		}
		fleet.run(inForceLimit)
		if unaware := fleet.unaware(); unaware > 0 {
			t.Errorf("seed %d: %d nodes do not know that the zone is restored", seed, unaware)
		}
	}
}

// living gives one of the living nodes.
func (fleet *fleet) living(random *rand.Rand) *fleetNode {
	for {
		if node := fleet.nodes[random.IntN(len(fleet.nodes))]; !node.dead {
			return node
		}
	}
}

func (fleet *fleet) alive() int {
	count := 0
	for _, node := range fleet.nodes {
		if !node.dead {
			count++
		}
	}
	return count
}
