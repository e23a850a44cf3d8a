package follower

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestOpenConnectionsFallSilentForGood: all calls under way at one moment end
// without an answer when their time is up, while new connections work. A change
// made then is in force in the time of every other change, at any phase of the
// watch, and no view grows older than that.
func TestOpenConnectionsFallSilentForGood(t *testing.T) {
	for _, limit := range []time.Duration{defaultLimit, time.Second, maxLimit} {
		allowed := time.Duration(float64(inForceLimit) * limit.Seconds() / defaultLimit.Seconds())
		for seed := range uint64(40) {
			random := rand.New(rand.NewPCG(seed, 4))
			fleet := calmWithin(t, 1+int(seed%3), 1+random.IntN(5), seed, limit)
			fleet.run(time.Duration(random.IntN(250)) * simulationStep)
			for _, node := range fleet.nodes {
				node.stuck = node.read != nil
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
