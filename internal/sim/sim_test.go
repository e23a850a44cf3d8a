package sim_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/sim"
)

func TestQueueOrdersByTimeThenInsertion(t *testing.T) {
	is := is.New(t)
	var queue sim.Queue[int]
	random := sim.NewRandom(1)
	const count = 2000
	times := make([]time.Duration, count)
	for i := range count {
		times[i] = time.Duration(random.IntN(50))
		queue.Add(times[i], i)
	}
	previous := -1
	for range count {
		event, ok := queue.Next()
		is.True(ok)
		if previous >= 0 {
			is.True(times[previous] <= times[event])                     // ordered by time
			is.True(times[previous] != times[event] || previous < event) // then by order of insertion
		}
		previous = event
	}
	_, ok := queue.Next()
	is.True(!ok)
}

func TestQueueTimeNeverDecreases(t *testing.T) {
	is := is.New(t)
	var queue sim.Queue[string]
	queue.Add(time.Second, "first")
	queue.Next()
	queue.Add(0, "late")
	event, _ := queue.Next()
	is.Equal(event, "late")
	is.Equal(queue.Now(), time.Second)
}

func TestRunUntilStopsAtConditionLimitOrLastEvent(t *testing.T) {
	is := is.New(t)
	var queue sim.Queue[int]
	for number := range 10 {
		queue.Add(time.Duration(number)*time.Second, number)
	}
	last := -1
	deliver := func(number int) { last = number }
	elapsed, held := queue.RunUntil(time.Minute, deliver, func() bool { return last == 3 })
	is.True(held)
	is.Equal(elapsed, 3*time.Second)
	elapsed, held = queue.RunUntil(2*time.Second, deliver, func() bool { return false })
	is.Equal(held, false)
	is.Equal(elapsed, 2*time.Second)
	elapsed, held = queue.RunUntil(time.Minute, deliver, func() bool { return last == 9 && queue.Len() == 0 })
	is.True(held)
	is.Equal(elapsed, 3*time.Second)
}

func TestNetworkCutsAndDelays(t *testing.T) {
	is := is.New(t)
	network := sim.Network{Within: time.Millisecond, Between: 3 * time.Millisecond}
	network.Start(sim.NewRandom(7))
	one, two := lb.Zone("one"), lb.Zone("two")
	is.Equal(network.Delays(one, one, nil), []time.Duration{time.Millisecond})
	is.Equal(network.Delays(one, two, nil), []time.Duration{3 * time.Millisecond})
	network.Cut(one, two, true)
	is.Equal(len(network.Delays(two, one, nil)), 0)
	network.Cut(one, two, false)
	is.Equal(len(network.Delays(two, one, nil)), 1)
}

func TestNetworkLossAndDuplication(t *testing.T) {
	is := is.New(t)
	network := sim.Network{Loss: 0.1, Duplication: 0.2}
	network.Start(sim.NewRandom(7))
	const count = 20000
	lost, duplicated := 0, 0
	for range count {
		switch len(network.Delays("a", "b", nil)) {
		case 0:
			lost++
		case 2:
			duplicated++
		}
	}
	is.True(lost > count*8/100 && lost < count*12/100)
	is.True(duplicated > count*16/100 && duplicated < count*20/100)
}
