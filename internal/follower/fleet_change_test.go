package follower

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestFrequentChangesTakeFewReads(t *testing.T) {
	is := is.New(t)
	fleet := settledFleet(t, 1, 4, 1)
	before := fleet.calls()
	for version := range uint64(40) {
		fleet.store.Configure(version+2, 80)
		fleet.run(50 * time.Millisecond)
	}
	is.True(fleet.calls()-before <= 13) // 40 changes in 2 s
	fleet.run(time.Second)
	is.Equal(fleet.behind(), 0)
}

// inForceLimit is the time within which a change must be in force everywhere. It leaves some margin
// below the guaranteed bound of 3 s.
const inForceLimit = 2600 * time.Millisecond

// TestChangeTakesEffectDespiteFailures lets watchers or other nodes fail in every way at the moment
// of a change, at all phases of their watches.
func TestChangeTakesEffectDespiteFailures(t *testing.T) {
	for _, limit := range []time.Duration{defaultLimit, time.Second, maxLimit} {
		for seed := range uint64(60) {
			fleet := changeWithFailures(t, seed, limit)
			allowed := time.Duration(float64(inForceLimit) * limit.Seconds() / defaultLimit.Seconds())
			fleet.run(allowed)
			if behind := fleet.behind(); behind > 0 {
				t.Errorf("limit %s, seed %d: %d of %d nodes are behind after %s", limit, seed, behind, len(fleet.nodes), allowed)
			}
		}
	}
}

// changeWithFailures returns a fleet in which some nodes fail at the moment at which a change is
// written.
func changeWithFailures(t *testing.T, seed uint64, limit time.Duration) *fleet {
	faults := []storeFault{faultUnresponsive, faultRefused, faultThrottled}
	random := rand.New(rand.NewPCG(seed, 2))
	fleet := settledFleetWithin(t, 1+int(seed%3), 2+random.IntN(4), seed, limit)
	fleet.run(time.Duration(random.IntN(200)) * simulationStep)
	failing := fleet.watchers()
	if random.IntN(3) == 0 {
		failing = append(failing, fleet.nodes[random.IntN(len(fleet.nodes))])
	}
	alive := len(fleet.nodes)
	for _, node := range failing {
		if random.IntN(2) == 0 {
			node.fault = faults[random.IntN(len(faults))]
		} else if !node.dead && alive > 1 {
			node.dead = true
			alive--
		}
	}
	fleet.store.Configure(2, 81)
	return fleet
}
