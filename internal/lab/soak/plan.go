package soak

import (
	"math/rand/v2"
	"time"
)

// Step is one fault of a plan.
type Step struct {
	At     time.Duration // since the start of the faults
	Lasts  time.Duration
	Fault  string
	Target int
}

// Times of a plan.
const (
	shortestPause = 200 * time.Millisecond
	longestPause  = 2 * time.Second
	shortestFault = 300 * time.Millisecond
	longestFault  = 5 * time.Second
)

// Plan draws the faults of a soak. The same seed, duration, kinds and size give the same plan.
func Plan(seed uint64, duration time.Duration, kinds []Fault, size Size) []Step {
	const stream = 1
	random := rand.New(rand.NewPCG(seed, stream))
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(random.Int64N(int64(high-low)))
	}
	var steps []Step
	for at := between(shortestPause, longestPause); at < duration; at += between(shortestPause, longestPause) {
		kind := kinds[random.IntN(len(kinds))]
		steps = append(steps, Step{
			At:     at.Round(time.Millisecond),
			Lasts:  between(shortestFault, longestFault).Round(time.Millisecond),
			Fault:  kind.Name(),
			Target: random.IntN(kind.Targets(size)),
		})
	}
	return steps
}
