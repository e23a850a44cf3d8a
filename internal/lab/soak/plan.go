package soak

import (
	"math/rand/v2"
	"time"
)

// Step is the injection of one fault in a plan.
type Step struct {
	At       time.Duration // since the start of the first injection
	Duration time.Duration
	Fault    string
	Target   int
}

// Bounds of the random times in a plan: the pause between two injections and the duration of a
// fault.
const (
	minPause     = 200 * time.Millisecond
	maxPause     = 2 * time.Second
	minFaultTime = 300 * time.Millisecond
	maxFaultTime = 5 * time.Second
)

// Plan draws the faults of a soak from a random generator. The plan depends only on the seed, the
// duration, the kinds and the size.
func Plan(seed uint64, duration time.Duration, kinds []Fault, size Size) []Step {
	const stream = 1
	random := rand.New(rand.NewPCG(seed, stream))
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(random.Int64N(int64(high-low)))
	}
	var steps []Step
	for at := between(minPause, maxPause); at < duration; at += between(minPause, maxPause) {
		kind := kinds[random.IntN(len(kinds))]
		steps = append(steps, Step{
			At:       at.Round(time.Millisecond),
			Duration: between(minFaultTime, maxFaultTime).Round(time.Millisecond),
			Fault:    kind.Name(),
			Target:   random.IntN(kind.Targets(size)),
		})
	}
	return steps
}
