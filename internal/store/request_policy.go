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

// CircuitState is the state of the client's circuit breaker.
type CircuitState uint8

// States of the circuit breaker (Nygard, "Release It!").
const (
	CircuitClosed   CircuitState = iota // requests are sent
	CircuitOpen                         // the store is unavailable: requests fail immediately
	CircuitHalfOpen                     // the store is unavailable: one request is the probe
)

// String returns the name of the state for logs and metrics.
func (state CircuitState) String() string {
	switch state {
	case CircuitOpen:
		return "open"
	case CircuitHalfOpen:
		return "probing"
	}
	return "closed"
}

// failuresToOpen is the number of consecutive failed requests after which the circuit opens.
const failuresToOpen = 5

// Stats are counters of the client, for metrics.
type Stats struct {
	Circuit          CircuitState
	RetryTokens      float64 // retries that the retry budget allows at present
	Requests         uint64  // requests sent to the store
	Failures         uint64  // requests that received no usable response
	Throttled        uint64  // requests rejected by the store's rate limit
	Retries          uint64
	LostResponses    uint64 // writes whose response was lost
	ResolvedOutcomes uint64 // writes with a lost response whose outcome was determined afterwards
}

// requestPolicy decides whether and when a request may be sent. It combines the rate limit, the
// circuit breaker and the retry budget.
type requestPolicy struct {
	settings *Settings
	limiter  *rate.Limiter

	mutex               sync.Mutex
	random              *rand.Rand
	stats               Stats
	consecutiveFailures int // consecutive failed requests
	// circuitOpenings counts the failures since the last success that opened the circuit or kept
	// it open. It determines the delay before the next probe.
	circuitOpenings int
	nextProbe       time.Time
	// blockedUntil is set after a rejection by the store's rate limit: no request is sent earlier.
	blockedUntil time.Time
	// consecutiveThrottles counts rejections by the store's rate limit since the last success.
	// Those within one blockedUntil period count once.
	consecutiveThrottles int
}

func newRequestPolicy(settings *Settings) *requestPolicy {
	policy := &requestPolicy{
		settings: settings,
		limiter:  rate.NewLimiter(rate.Limit(settings.RequestsPerSecond), settings.Burst),
		random:   rand.New(rand.NewPCG(settings.Seed, settings.Seed)),
	}
	policy.stats.RetryTokens = settings.RetryBurst
	return policy
}

// admit waits until the rate limits allow a request and then checks the circuit. If it returns no
// error, the caller must send the request and then report its outcome with exactly one of
// recordSuccess, recordFailure, recordThrottled and recordCanceled.
func (policy *requestPolicy) admit(ctx context.Context) error {
	if err := policy.waitForRetryAfter(ctx); err != nil {
		return err
	}
	if err := policy.limiter.Wait(ctx); err != nil {
		return notRunError(errors.WithSecondaryError(errors.Wrap(ErrThrottled, "limit of this client"), err))
	}
	policy.mutex.Lock()
	defer policy.mutex.Unlock()
	switch policy.stats.Circuit {
	case CircuitHalfOpen:
		return &Error{Verdict: lb.NotRun, Cause: ErrUnavailable, RetryAfter: policy.settings.BackoffBase}
	case CircuitOpen:
		if wait := time.Until(policy.nextProbe); wait > 0 {
			return &Error{Verdict: lb.NotRun, Cause: ErrUnavailable, RetryAfter: wait}
		}
		policy.stats.Circuit = CircuitHalfOpen
	}
	policy.stats.Requests++
	return nil
}

// waitForRetryAfter waits until blockedUntil. It returns an error immediately if the deadline of
// ctx is earlier.
func (policy *requestPolicy) waitForRetryAfter(ctx context.Context) error {
	policy.mutex.Lock()
	wait := time.Until(policy.blockedUntil)
	policy.mutex.Unlock()
	if wait <= 0 {
		return nil
	}
	if deadline, found := ctx.Deadline(); found && time.Until(deadline) < wait {
		return &Error{Verdict: lb.NotRun, Cause: ErrThrottled, RetryAfter: wait}
	}
	return sleep(ctx, wait)
}

// recordSuccess records that the store has returned a usable response, and raises the request rate
// by one step.
func (policy *requestPolicy) recordSuccess() {
	policy.mutex.Lock()
	defer policy.mutex.Unlock()
	policy.recordReachable()
	policy.consecutiveThrottles = 0
	policy.setRate(float64(policy.limiter.Limit()) + policy.settings.RequestsPerSecond/rateIncreaseSteps)
}

// recordReachable records that the store is reachable and closes the circuit. The caller must hold
// the mutex.
func (policy *requestPolicy) recordReachable() {
	policy.consecutiveFailures = 0
	policy.circuitOpenings = 0
	policy.stats.Circuit = CircuitClosed
}

// The request rate adapts to the store's limit by additive increase and multiplicative decrease
// (Chiu and Jain, 1989).
const (
	rateIncreaseSteps   = 100 // successful responses that raise the rate from zero to its maximum
	rateDecreaseDivisor = 2   // a rejection by the store's rate limit divides the rate by this
)

// recordThrottled records that the store's rate limit has rejected a request, which shows that the
// store is working. It returns the time to wait before the next request: retryAfter if the store
// returned one, otherwise an exponentially growing backoff.
func (policy *requestPolicy) recordThrottled(retryAfter time.Duration) time.Duration {
	policy.mutex.Lock()
	defer policy.mutex.Unlock()
	policy.recordReachable()
	policy.stats.Throttled++
	if retryAfter == 0 {
		retryAfter = policy.backoff(policy.consecutiveThrottles)
	}
	now := time.Now()
	// Concurrent requests that were rejected in the same period lower the rate only once.
	if now.After(policy.blockedUntil) {
		policy.consecutiveThrottles++
		policy.setRate(float64(policy.limiter.Limit()) / rateDecreaseDivisor)
	}
	if until := now.Add(retryAfter); until.After(policy.blockedUntil) {
		policy.blockedUntil = until
	}
	return retryAfter
}

// setRate sets the request rate, bounded below by one step and above by the configured rate. Bursts
// are allowed only at the configured rate.
func (policy *requestPolicy) setRate(requestsPerSecond float64) {
	full := policy.settings.RequestsPerSecond
	requestsPerSecond = min(full, max(full/rateIncreaseSteps, requestsPerSecond))
	if requestsPerSecond == float64(policy.limiter.Limit()) {
		return
	}
	policy.limiter.SetLimit(rate.Limit(requestsPerSecond))
	burst := 1
	if requestsPerSecond == full {
		burst = policy.settings.Burst
	}
	policy.limiter.SetBurst(burst)
}

// recordFailure records that a request received no usable response. It opens the circuit if the
// request was a probe or the last of failuresToOpen consecutive failures.
func (policy *requestPolicy) recordFailure() {
	policy.mutex.Lock()
	defer policy.mutex.Unlock()
	policy.stats.Failures++
	policy.consecutiveFailures++
	probeFailed := policy.stats.Circuit == CircuitHalfOpen
	if !probeFailed && policy.consecutiveFailures < failuresToOpen {
		return
	}
	policy.stats.Circuit = CircuitOpen
	policy.nextProbe = time.Now().Add(policy.backoff(policy.circuitOpenings))
	policy.circuitOpenings++
}

// recordCanceled records that the caller canceled a request before a response arrived, which is no
// evidence about the state of the store. If the request was the probe, another request may become
// the probe.
func (policy *requestPolicy) recordCanceled() {
	policy.mutex.Lock()
	defer policy.mutex.Unlock()
	if policy.stats.Circuit == CircuitHalfOpen {
		policy.stats.Circuit = CircuitOpen
	}
}

// addRetryTokens adds the tokens that a request earns to the retry budget. It is called once for
// each request, not for its retries.
func (policy *requestPolicy) addRetryTokens() {
	policy.mutex.Lock()
	defer policy.mutex.Unlock()
	policy.stats.RetryTokens = min(policy.settings.RetryBurst, policy.stats.RetryTokens+policy.settings.RetryRatio)
}

// takeRetryToken takes one token from the retry budget and reports whether there was one.
func (policy *requestPolicy) takeRetryToken() bool {
	policy.mutex.Lock()
	defer policy.mutex.Unlock()
	if policy.stats.RetryTokens < 1 {
		return false
	}
	policy.stats.RetryTokens--
	policy.stats.Retries++
	return true
}

// updateStats calls update with the counters while it holds the mutex.
func (policy *requestPolicy) updateStats(update func(*Stats)) {
	policy.mutex.Lock()
	defer policy.mutex.Unlock()
	update(&policy.stats)
}

// retryDelay returns the delay before a retry. The first retry has number 0.
func (policy *requestPolicy) retryDelay(retry int, retryAfter time.Duration) time.Duration {
	policy.mutex.Lock()
	defer policy.mutex.Unlock()
	return max(policy.backoff(retry), retryAfter)
}

// backoff returns a random delay in the upper half of an exponentially growing interval. The
// randomness spreads the retries of many clients, and the lower bound prevents immediate retries.
func (policy *requestPolicy) backoff(retry int) time.Duration {
	whole := policy.settings.BackoffMax
	if retry < maxDoublings {
		whole = min(whole, policy.settings.BackoffBase<<retry)
	}
	half := whole / 2
	return half + time.Duration(policy.random.Int64N(int64(half)+1))
}

// maxDoublings prevents an overflow of the shift in backoff.
const maxDoublings = 20

// sleep waits for the duration and returns an error if ctx ends earlier.
func sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return notRunError(errors.WithSecondaryError(ErrUnavailable, ctx.Err()))
	}
}
