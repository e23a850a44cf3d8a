package surge

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/admissionqueue"
)

// withAdmissionQueue returns the scenario with openings that wait in the admission queue.
func withAdmissionQueue(scenario Scenario, share float64) Scenario {
	scenario.AdmissionQueue = admissionqueue.DefaultSettings()
	scenario.AdmissionQueue.WaitShare = share
	return scenario
}

// TestAdmissionQueueImprovesGoodput verifies that, compared with immediate refusal, the admission
// queue lets more requests be answered in time with fewer rejections by hosts, and that openings
// wait on average no longer than a fifth of the latency objective plus one retry interval.
func TestAdmissionQueueImprovesGoodput(t *testing.T) {
	for _, seed := range testSeeds {
		is := is.New(t)
		scenario := manyNodes(seed, Adaptive, 3, nil)
		without, with := Run(scenario), Run(withAdmissionQueue(scenario, 0.2))
		is.True(goodput(with) > goodput(without)+0.01)
		is.True(with.Shed < without.Shed)
		is.Equal(without.HeldOpenings.Held, uint64(0))
		is.True(with.HeldOpenings.Held > 1000 && 4*with.HeldOpenings.Forwarded > with.HeldOpenings.Held)
		is.True(with.HeldOpenings.ToFreedBackends > with.HeldOpenings.Forwarded)
		is.True(with.HeldOpenings.HeldTime <= time.Duration(with.HeldOpenings.Held)*90*time.Millisecond)
		important := with.ClassCount(Important, 0, 8).InTimeShare()
		is.True(important > without.ClassCount(Important, 0, 8).InTimeShare()-0.01)
	}
}

// TestAdmissionQueueToleratesLateObservations verifies that, if nodes see answers late by a quarter
// of the latency objective, goodput with the admission queue is at most 0.01 below goodput with
// immediate refusal.
func TestAdmissionQueueToleratesLateObservations(t *testing.T) {
	for _, seed := range testSeeds {
		is := is.New(t)
		scenario := manyNodes(seed, Adaptive, 2.6, nil)
		scenario.ObservationDelay = 100 * time.Millisecond
		is.True(goodput(Run(withAdmissionQueue(scenario, 0.2))) > goodput(Run(scenario))-0.01)
	}
}

// TestNoOpeningWaitsBelowCapacity verifies that no opening is queued while hosts have free slots.
func TestNoOpeningWaitsBelowCapacity(t *testing.T) {
	is := is.New(t)
	result := Run(withAdmissionQueue(manyNodes(1, Adaptive, 1, nil), 0.2))
	is.Equal(result.HeldOpenings.Held, uint64(0))
	is.Equal(result.HeldOpenings.ToFreedBackends, uint64(0))
}
