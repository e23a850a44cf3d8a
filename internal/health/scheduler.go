// Package health probes back ends and reports their health and load.
//
// Each back end is probed by a few nodes of each zone, chosen by rendezvous hashing. A Scheduler,
// which has no clock and no I/O, decides when to probe and what to report; a Prober drives it with
// HTTP requests.
//
// The health and load that a host reports may be outdated or wrong. So each report contains the age
// of its values and, as an independent signal, the number of openings that the data path has
// observed for the same back end and how many of them clients retransmitted for lack of an answer.
package health

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"robinpulley.example/robinpulley/internal/lb"
)

// Settings are the parameters of probing. See DefaultSettings.
type Settings struct {
	// Interval is the time between two probes of a back end. It is longer when ProbesPerSecond is
	// too low for the number of targets.
	Interval time.Duration
	// Timeout bounds one probe.
	Timeout time.Duration
	// MaxInFlight bounds the number of concurrent probes.
	MaxInFlight int
	// ProbesPerSecond bounds the rate of probes and thereby the rate of reports.
	ProbesPerSecond int
	// FailureLimit is the number of consecutive failures after which a back end is reported as
	// unhealthy. Until then its last report ages.
	FailureLimit int
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		Interval:        2 * time.Second,
		Timeout:         time.Second,
		MaxInFlight:     16,
		ProbesPerSecond: 10,
		FailureLimit:    3,
	}
}

// Validate returns an error that names the first setting that is not positive.
func (settings *Settings) Validate() error {
	for _, setting := range []struct {
		name  string
		value int64
	}{
		{"interval", int64(settings.Interval)},
		{"timeout", int64(settings.Timeout)},
		{"max in flight", int64(settings.MaxInFlight)},
		{"probes per second", int64(settings.ProbesPerSecond)},
		{"failure limit", int64(settings.FailureLimit)},
	} {
		if setting.value <= 0 {
			return errors.Newf("health setting %q is %d, not positive", setting.name, setting.value)
		}
	}
	return nil
}

// Target is a back end to probe.
type Target struct {
	Backend lb.BackendName
	URL     string
}

// Answer is a back end's answer to a probe.
type Answer struct {
	Healthy bool
	Load    uint16        // thousandths of capacity, 0..1000
	Age     time.Duration // age of the values at the time of the answer
}

// Scheduler decides when to probe and what to report. Times are offsets on the caller's clock, from
// an arbitrary start. It is not safe for concurrent use.
type Scheduler struct {
	settings Settings
	limiter  *rate.Limiter
	targets  []*targetState // sorted by back end
	inFlight int
}

// targetState is the probe state of one back end.
type targetState struct {
	Target
	due        time.Duration
	probing    bool
	failures   int           // consecutive
	hasAnswer  bool          // answer is set
	answer     Answer        // last answer, or unhealthy after FailureLimit failures
	measuredAt time.Duration // time at which the values of the answer were measured
	unreported bool          // the answer has not been reported yet
}

// NewScheduler returns a scheduler without targets. The settings must be valid.
func NewScheduler(settings Settings) *Scheduler {
	perSecond := settings.ProbesPerSecond
	return &Scheduler{
		settings: settings,
		limiter:  rate.NewLimiter(rate.Limit(perSecond), perSecond),
	}
}

// SetTargets replaces the back ends to probe; of several targets with the same name, the first is
// used. A target with an unchanged URL keeps its state. The first probes of new targets are spread
// over an interval.
func (scheduler *Scheduler) SetTargets(now time.Duration, targets []Target) {
	states := make([]*targetState, 0, len(targets))
	for _, wanted := range targets {
		state := scheduler.find(wanted.Backend)
		if state == nil || state.URL != wanted.URL {
			state = &targetState{Target: wanted, due: now + scheduler.initialDelay(wanted.Backend)}
		}
		states = append(states, state)
	}
	slices.SortStableFunc(states, func(a, b *targetState) int { return compareBackend(a, b.Backend) })
	scheduler.targets = slices.CompactFunc(states, func(a, b *targetState) bool { return a.Backend == b.Backend })
}

// initialDelay returns the delay of a target's first probe, derived from the hash of its name so
// that the first probes are spread.
func (scheduler *Scheduler) initialDelay(backend lb.BackendName) time.Duration {
	return time.Duration(xxhash.Sum64String(string(backend)) % uint64(scheduler.settings.Interval))
}

// find returns the state of a back end, or nil if it is not a target.
func (scheduler *Scheduler) find(backend lb.BackendName) *targetState {
	index, found := slices.BinarySearchFunc(scheduler.targets, backend, compareBackend)
	if !found {
		return nil
	}
	return scheduler.targets[index]
}

func compareBackend(state *targetState, backend lb.BackendName) int {
	switch {
	case state.Backend < backend:
		return -1
	case state.Backend > backend:
		return 1
	}
	return 0
}

// Due returns the back ends to probe now, the longest overdue first, within the limits of rate and
// concurrency. The caller must call Done for each.
func (scheduler *Scheduler) Due(now time.Duration) []Target {
	var due []Target
	for scheduler.inFlight < scheduler.settings.MaxInFlight {
		state := scheduler.longestDue(now)
		if state == nil || !scheduler.limiter.AllowN(time.Time{}.Add(now), 1) {
			break
		}
		state.probing = true
		state.due = max(state.due+scheduler.settings.Interval, now)
		scheduler.inFlight++
		due = append(due, state.Target)
	}
	return due
}

// longestDue returns the back end that has been due for the longest time, or nil if none is due.
func (scheduler *Scheduler) longestDue(now time.Duration) *targetState {
	var longest *targetState
	for _, state := range scheduler.targets {
		if state.probing || state.due > now {
			continue
		}
		if longest == nil || state.due < longest.due {
			longest = state
		}
	}
	return longest
}

// Done records the result of a probe. The age of the answer counts from the time at which the probe
// began, so that values that were slow to arrive do not appear fresh.
func (scheduler *Scheduler) Done(begun time.Duration, probed Target, answer Answer, err error) {
	scheduler.inFlight--
	state := scheduler.find(probed.Backend)
	if state == nil || state.URL != probed.URL {
		return // no longer a target
	}
	state.probing = false
	if err != nil {
		scheduler.recordFailure(begun, state)
		return
	}
	state.failures = 0
	state.setAnswer(answer, begun-answer.Age)
}

// recordFailure counts a failure. FailureLimit consecutive failures count as an unhealthy answer.
func (scheduler *Scheduler) recordFailure(begun time.Duration, state *targetState) {
	state.failures++
	if state.failures < scheduler.settings.FailureLimit {
		return
	}
	state.setAnswer(Answer{Healthy: false, Load: state.answer.Load}, begun)
}

// setAnswer replaces the answer unless the present one is newer: a lagging endpoint may return
// older values than before.
func (state *targetState) setAnswer(answer Answer, measuredAt time.Duration) {
	if state.hasAnswer && measuredAt < state.measuredAt {
		return
	}
	state.hasAnswer = true
	state.answer = answer
	state.measuredAt = measuredAt
	state.unreported = true
}
