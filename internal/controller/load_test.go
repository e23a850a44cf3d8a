package controller

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/catalog"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
	"robinpulley.example/robinpulley/internal/placement"
)

// loadedCluster is a cluster whose zones report the load of their back ends once per second.
type loadedCluster struct {
	*cluster
	report        func(number int) message.BackendLoad
	count         int
	moved         []bucketMove // one entry for each version
	lastPlacement *lb.Placement
}

func newLoadedCluster(t *testing.T, count int, report func(int) message.BackendLoad) *loadedCluster {
	t.Helper()
	return &loadedCluster{cluster: newServiceCluster(t, 2, count, nil), report: report, count: count}
}

// run advances the time; every zone reports load once per second.
func (l *loadedCluster) run(duration time.Duration) {
	for end := l.now + duration; l.now < end; {
		for _, p := range l.publishers {
			for _, zone := range []lb.Zone{"zone-0", "zone-1"} {
				load := &message.Load{Zone: zone}
				for number := 1; number <= l.count; number++ {
					reported := l.report(number)
					reported.Backend = backendName(number)
					load.Backends = append(load.Backends, reported)
				}
				p.deliver(&Event{Load: load})
			}
		}
		for range 10 {
			l.cluster.run(100 * time.Millisecond)
			l.recordMoved()
		}
	}
}

// recordMoved records the number of buckets that a new version moves.
func (l *loadedCluster) recordMoved() {
	document := l.store.placement(testService)
	if l.lastPlacement != nil && l.lastPlacement.Version != document.Version {
		before, _ := placement.Compile(l.lastPlacement)
		after, _ := placement.Compile(document)
		move := bucketMove{at: l.now}
		for bucket := range uint16(lb.BucketCount) {
			if before.Current(bucket) != after.Current(bucket) {
				move.buckets++
			}
		}
		l.moved = append(l.moved, move)
	}
	l.lastPlacement = document
}

// maxMoved returns the maximum number of buckets moved within any minute, and the total number.
func (l *loadedCluster) maxMoved() (maximum, total int) {
	for index, last := range l.moved {
		window := 0
		for _, move := range l.moved[:index+1] {
			if last.at-move.at < time.Minute {
				window += move.buckets
			}
		}
		maximum = max(maximum, window)
		total += last.buckets
	}
	return maximum, total
}

func (l *loadedCluster) weights() map[lb.BackendName]uint16 {
	return activeWeights(l.store.placement(testService))
}

// TestUnresponsiveHostFailsAndIsReinstated covers a host that reports itself as healthy while the
// data path shows that it does not answer.
func TestUnresponsiveHostFailsAndIsReinstated(t *testing.T) {
	is := is.New(t)
	unresponsive := true
	l := newLoadedCluster(t, 4, nil)
	l.report = func(number int) message.BackendLoad {
		reported := message.BackendLoad{Healthy: true, Load: 3 * l.weights()[backendName(number)], Openings: 5}
		if number == 2 && unresponsive {
			reported.UnansweredOpenings = 5
		}
		if number == 2 && !unresponsive {
			reported.Openings = 0
		}
		return reported
	}
	l.run(5 * time.Second)
	_, serving := l.weights()[backendName(2)]
	is.True(!serving)
	document := l.store.placement(testService)
	is.Equal(document.Backends[1].State, lb.BackendFailed)
	is.True(!isPrepared(document)) // the failure needs no separate commit
	for _, p := range l.publishers {
		is.Equal(p.controller.PublishedRevision(), l.store.revision) // not delayed by the failure
	}
	unresponsive = false
	l.run(50 * time.Second)
	is.Equal(len(l.weights()), 3)
	l.run(40 * time.Second)
	is.True(l.weights()[backendName(2)] < catalog.DefaultWeight) // slow start
	l.run(10 * time.Minute)
	reinstated, sum := l.weights()[backendName(2)], uint16(0)
	for _, weight := range l.weights() {
		sum += weight
	}
	deadband := l.publishers[0].controller.settings.Weights.Deadband
	is.True(reinstated >= scale(sum/4, uint16(1000-deadband))) // mean weight less the deadband
}

// TestAtMostHalfOfBackendsFailTogether covers reports that all back ends are unresponsive, for
// which a fault of the balancers or their network is the more likely cause.
func TestAtMostHalfOfBackendsFailTogether(t *testing.T) {
	is := is.New(t)
	l := newLoadedCluster(t, 4, func(int) message.BackendLoad {
		return message.BackendLoad{Healthy: true, Load: 300, Openings: 5, UnansweredOpenings: 5}
	})
	l.run(3 * time.Minute)
	is.Equal(len(l.weights()), 2)

	tooFewOpenings := newLoadedCluster(t, 4, l.report)
	for _, p := range tooFewOpenings.publishers {
		p.controller.settings.Weights.MinOpenings = math.MaxUint32
	}
	tooFewOpenings.run(3 * time.Minute)
	is.Equal(len(tooFewOpenings.weights()), 4) // too few openings to fail a back end
}

func TestFalseUnhealthyReportLowersWeightToFloorOnly(t *testing.T) {
	is := is.New(t)
	l := newLoadedCluster(t, 4, func(number int) message.BackendLoad {
		return message.BackendLoad{Healthy: number != 3, Load: 300, Openings: 50, UnansweredOpenings: 1}
	})
	l.run(10 * time.Minute)
	floor := l.publishers[0].controller.settings.Weights.UnhealthyFloor
	is.Equal(l.weights()[backendName(3)], scale(catalog.DefaultWeight, floor))
	is.Equal(l.store.placement(testService).Backends[2].State, lb.BackendActive)
}

// TestWeightStepsStayWithinBudget checks that weight steps move at most MaxMovedPerMinute buckets
// per minute when the loads of the back ends always differ.
func TestWeightStepsStayWithinBudget(t *testing.T) {
	is := is.New(t)
	budget := DefaultSettings("", "", "").MaxMovedPerMinute
	maximum, total := runOscillatingLoads(t, budget)
	t.Logf("buckets moved in 5 minutes: %d, at most %d within a minute, budget %d", total, maximum, budget)
	is.True(total > 0)
	is.True(maximum <= budget)
	maximum, total = runOscillatingLoads(t, 100*budget)
	t.Logf("without a budget: %d, at most %d within a minute", total, maximum)
	is.True(maximum > budget) // without the budget more buckets move
}

// runOscillatingLoads runs a cluster with loads that always differ. It returns the maximum number
// of buckets moved within a minute, and the total number.
func runOscillatingLoads(t *testing.T, budget int) (maximum, total int) {
	t.Helper()
	l := newLoadedCluster(t, 14, nil)
	for _, p := range l.publishers {
		p.controller.settings.MaxMovedPerMinute = budget
	}
	l.report = func(number int) message.BackendLoad {
		phase := uint16(l.now/(45*time.Second)) + uint16(number)
		return message.BackendLoad{Healthy: true, Load: 100 + 300*(phase%3)}
	}
	l.recordMoved()
	l.run(5 * time.Minute)
	return l.maxMoved()
}

// TestOperatorsChangeReplacesPreparedWeights checks that a prepared step of weights is replaced by
// an operator's change.
func TestOperatorsChangeReplacesPreparedWeights(t *testing.T) {
	is := is.New(t)
	l := newLoadedCluster(t, 4, func(number int) message.BackendLoad {
		return message.BackendLoad{Healthy: true, Load: uint16(100 * number)}
	})
	l.noAcknowledgements = true // commits wait for PrepareLimit
	for !isPrepared(l.store.placement(testService)) {
		l.run(time.Second)
	}
	is.True(isWeightsOnly(l.store.placement(testService)))
	l.putBackend(4, "other")
	l.cluster.run(time.Second)
	document := l.store.placement(testService)
	is.True(isPrepared(document))
	is.True(!isWeightsOnly(document))
	is.Equal(len(document.Generations[len(document.Generations)-1].Backends), 3)
}

// TestJoiningBackendStartsSlowly checks that a joining back end starts with a reduced weight and
// reaches the operator's weight in the end.
func TestJoiningBackendStartsSlowly(t *testing.T) {
	is := is.New(t)
	c := newServiceCluster(t, 1, 3, nil)
	c.putBackend(4, "wallet")
	c.run(3 * time.Second)
	is.Equal(activeWeights(c.store.placement(testService))[backendName(4)], uint16(10))
	c.run(10 * time.Minute)
	is.Equal(activeWeights(c.store.placement(testService))[backendName(4)], catalog.DefaultWeight)
}

// TestOperatorsWeightAppliesWithoutSteps checks that a change of the operator's weight applies at
// once, whether the weight rises or falls.
func TestOperatorsWeightAppliesWithoutSteps(t *testing.T) {
	is := is.New(t)
	c := newServiceCluster(t, 2, 3, nil)
	for _, weight := range []uint16{400, 30} {
		backend := newBackend(2, "wallet")
		backend.Weight = weight
		c.store.put(catalog.BackendKey(backend.Name), backend)
		c.run(3 * time.Second)
		is.Equal(activeWeights(c.store.placement(testService))[backend.Name], weight)
	}
}
