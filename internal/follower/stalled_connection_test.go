package follower

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestChangeTakesEffectDespiteStalledConnections lets all pending reads end without an answer at
// their timeouts, while new connections work. A change made at that moment must be in force within
// the same time as any other change, at all phases of the watch, and no view may become older than
// that.
func TestChangeTakesEffectDespiteStalledConnections(t *testing.T) {
	for _, limit := range []time.Duration{defaultLimit, time.Second, maxLimit} {
		allowed := time.Duration(float64(inForceLimit) * limit.Seconds() / defaultLimit.Seconds())
		for seed := range uint64(40) {
			random := rand.New(rand.NewPCG(seed, 4))
			fleet := settledFleetWithin(t, 1+int(seed%3), 1+random.IntN(5), seed, limit)
			fleet.run(time.Duration(random.IntN(250)) * simulationStep)
			for _, node := range fleet.nodes {
				node.stalled = node.read != nil
			}
			fleet.store.Configure(2, 81)
			fleet.store.Evacuate("zone-0")
			fleet.run(allowed)
			if behind := fleet.behind(); behind > 0 {
				t.Errorf("limit %s, seed %d: %d of %d nodes are behind after %s", limit, seed, behind, len(fleet.nodes), allowed)
			}
			if oldest := fleet.oldest(); oldest > allowed {
				t.Errorf("limit %s, seed %d: the oldest view is %s old", limit, seed, oldest)
			}
		}
	}
}
