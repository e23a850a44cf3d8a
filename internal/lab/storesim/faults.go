package storesim

import (
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Faults configures how the store fails. The zero value is a healthy store.
type Faults struct {
	// Outage closes every connection without a response and without effect, including running
	// watches.
	Outage bool `json:"outage"`
	// DelayMillis delays each response, in milliseconds.
	DelayMillis int `json:"delay_ms"`
	// LostResponses is the share of writes, in thousandths, that take effect but whose connection
	// is closed without a response.
	LostResponses int `json:"lost_answers"`
	// RatePerSecond is the rate above which requests are refused. Zero means no limit.
	RatePerSecond int `json:"rate_per_second"`
	// MachineLagMillis is the age of the machine list in responses, in milliseconds.
	MachineLagMillis int `json:"machine_lag_ms"`
	// DropWatches closes the watches that are running when the faults are set. Later watches are not
	// affected.
	DropWatches bool `json:"drop_watches"`
}

// faultState holds the present faults and the state that their simulation needs.
type faultState struct {
	mutex   sync.Mutex
	faults  Faults
	random  *rand.Rand
	limiter *rate.Limiter
	dropped chan struct{} // closed, and replaced, to end the running watches
}

func newFaultState(faults Faults, seed uint64) *faultState {
	state := &faultState{
		random:  rand.New(rand.NewPCG(seed, seed)),
		limiter: rate.NewLimiter(rate.Inf, 0),
		dropped: make(chan struct{}),
	}
	state.replace(faults)
	return state
}

func (state *faultState) replace(faults Faults) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	state.faults = faults
	if faults.RatePerSecond > 0 {
		state.limiter = rate.NewLimiter(rate.Limit(faults.RatePerSecond), faults.RatePerSecond)
	} else {
		state.limiter = rate.NewLimiter(rate.Inf, 0)
	}
	if faults.Outage || faults.DropWatches {
		close(state.dropped)
		state.dropped = make(chan struct{})
	}
}

func (state *faultState) current() Faults {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return state.faults
}

func (state *faultState) droppedWatches() <-chan struct{} {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return state.dropped
}

// allow reports whether the rate limit admits one more request, and counts it.
func (state *faultState) allow() bool {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return state.limiter.Allow()
}

// loseResponse decides at random whether the response to a write is lost.
func (state *faultState) loseResponse() bool {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return state.random.IntN(1000) < state.faults.LostResponses
}

func (faults Faults) delay() time.Duration {
	return time.Duration(faults.DelayMillis) * time.Millisecond
}
