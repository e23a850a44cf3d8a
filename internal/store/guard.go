package store

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"robinpulley.example/robinpulley/internal/lb"
)

// CircuitState says whether the client takes the store to be working.
type CircuitState uint8

// States of the circuit (Nygard, "Release It!", circuit breaker).
const (
	CircuitClosed  CircuitState = iota // requests go out
	CircuitOpen                        // an outage: requests fail at once
	CircuitProbing                     // an outage: one request is out as a probe
)

// String gives the name used in logs and metrics.
func (state CircuitState) String() string {
	switch state {
	case CircuitOpen:
		return "open"
	case CircuitProbing:
		return "probing"
	}
	return "closed"
}

// failuresToOpen is how many requests in a row fail before the circuit opens.
const failuresToOpen = 5

// Stats are counters of the client, for metrics.
type Stats struct {
	Circuit     CircuitState
	RetryTokens float64 // retries that the budget allows now
	Requests    uint64  // sent to the store
	Failures    uint64  // of which without a usable answer
	Throttled   uint64  // of which refused by the store's rate limit
	Retries     uint64
	LostAnswers uint64 // writes whose answer was lost
	Resolved    uint64 // of which the outcome was found out
}

// guard decides whether and when a request may go out: rate limit, circuit and retry budget.
type guard struct {
	settings *Settings
	limiter  *rate.Limiter

	mutex     sync.Mutex
	random    *rand.Rand
	stats     Stats
	failures  int // in a row
	outages   int // probes failed in a row
	probeAt   time.Time
	holdUntil time.Time // set by the store's rate limit
	throttles int       // refused by the store's rate limit in a row
}

func newGuard(settings *Settings) *guard {
	guard := &guard{
		settings: settings,
		limiter:  rate.NewLimiter(rate.Limit(settings.RequestsPerSecond), settings.Burst),
		random:   rand.New(rand.NewPCG(settings.Seed, settings.Seed)),
	}
	guard.stats.RetryTokens = settings.RetryBurst
	return guard
}

// admit waits for the rate limit and checks the circuit. Without an error the
// request is sent and its result told by one of succeeded, failed, throttled and abandoned.
func (guard *guard) admit(ctx context.Context) error {
	if err := guard.waitForHold(ctx); err != nil {
		return err
	}
	if err := guard.limiter.Wait(ctx); err != nil {
		return notRun(errors.WithSecondaryError(errors.Wrap(ErrThrottled, "this client's limit"), err))
	}
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	switch guard.stats.Circuit {
	case CircuitProbing:
		return &Error{Verdict: lb.NotRun, Cause: ErrUnavailable, RetryAfter: guard.settings.BackoffBase}
	case CircuitOpen:
		if wait := time.Until(guard.probeAt); wait > 0 {
			return &Error{Verdict: lb.NotRun, Cause: ErrUnavailable, RetryAfter: wait}
		}
		guard.stats.Circuit = CircuitProbing
	}
	guard.stats.Requests++
	return nil
}

func (guard *guard) waitForHold(ctx context.Context) error {
	guard.mutex.Lock()
	wait := time.Until(guard.holdUntil)
	guard.mutex.Unlock()
	if wait <= 0 {
		return nil
	}
	if deadline, found := ctx.Deadline(); found && time.Until(deadline) < wait {
		return &Error{Verdict: lb.NotRun, Cause: ErrThrottled, RetryAfter: wait}
	}
	return sleep(ctx, wait)
}

// succeeded: the store gave an answer.
func (guard *guard) succeeded() {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	guard.works()
	guard.throttles = 0
	guard.setRate(float64(guard.limiter.Limit()) + guard.settings.RequestsPerSecond/rateSteps)
}

// works notes that the store is reachable.
func (guard *guard) works() {
	guard.failures = 0
	guard.outages = 0
	guard.stats.Circuit = CircuitClosed
}

// The rate follows the store's limit by additive increase and multiplicative
// decrease (Chiu and Jain, 1989).
const (
	rateSteps   = 100 // answers after which a rate of zero would be whole again
	rateDivisor = 2   // of the rate after a refusal
)

// throttled: the store's rate limit refused the request. The store works. It
// says when to come back, or an exponentially growing time is taken.
func (guard *guard) throttled(retryAfter time.Duration) time.Duration {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	guard.works()
	guard.stats.Throttled++
	if retryAfter == 0 {
		retryAfter = guard.backoff(guard.throttles)
	}
	now := time.Now()
	if now.After(guard.holdUntil) { // not yet counted: others refused in the same hold are one event
		guard.throttles++
		guard.setRate(float64(guard.limiter.Limit()) / rateDivisor)
	}
	if until := now.Add(retryAfter); until.After(guard.holdUntil) {
		guard.holdUntil = until
	}
	return retryAfter
}

// setRate bounds the rate to between one step and the settings' rate. Bursts
// are allowed only at the full rate.
func (guard *guard) setRate(requestsPerSecond float64) {
	full := guard.settings.RequestsPerSecond
	requestsPerSecond = min(full, max(full/rateSteps, requestsPerSecond))
	if requestsPerSecond == float64(guard.limiter.Limit()) {
		return
	}
	guard.limiter.SetLimit(rate.Limit(requestsPerSecond))
	burst := 1
	if requestsPerSecond == full {
		burst = guard.settings.Burst
	}
	guard.limiter.SetBurst(burst)
}

// failed: there was no usable answer.
func (guard *guard) failed() {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	guard.stats.Failures++
	guard.failures++
	probeFailed := guard.stats.Circuit == CircuitProbing
	if !probeFailed && guard.failures < failuresToOpen {
		return
	}
	guard.stats.Circuit = CircuitOpen
	guard.probeAt = time.Now().Add(guard.backoff(guard.outages))
	guard.outages++
}

// abandoned: the caller gave up before there was an answer, which says
// nothing of the store. A probe slot is given back.
func (guard *guard) abandoned() {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	if guard.stats.Circuit == CircuitProbing {
		guard.stats.Circuit = CircuitOpen
	}
}

// first notes a request that is not a retry, which earns part of a retry.
func (guard *guard) first() {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	guard.stats.RetryTokens = min(guard.settings.RetryBurst, guard.stats.RetryTokens+guard.settings.RetryRatio)
}

// spend takes one retry from the budget, if there is one.
func (guard *guard) spend() bool {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	if guard.stats.RetryTokens < 1 {
		return false
	}
	guard.stats.RetryTokens--
	guard.stats.Retries++
	return true
}

func (guard *guard) count(update func(*Stats)) {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	update(&guard.stats)
}

// pause gives the time to wait before the given retry, counted from 0.
func (guard *guard) pause(retry int, retryAfter time.Duration) time.Duration {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	return max(guard.backoff(retry), retryAfter)
}

// backoff gives a random time in [half, whole) of an exponentially growing
// one, so that clients spread but none comes back at once.
func (guard *guard) backoff(retry int) time.Duration {
	whole := guard.settings.BackoffMax
	if retry < maxDoublings {
		whole = min(whole, guard.settings.BackoffBase<<retry)
	}
	half := whole / 2
	return half + time.Duration(guard.random.Int64N(int64(half)+1))
}

// maxDoublings keeps the shift in backoff from overflowing.
const maxDoublings = 20

// sleep waits, or gives the context's end as an error.
func sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return notRun(errors.WithSecondaryError(ErrUnavailable, ctx.Err()))
	}
}
