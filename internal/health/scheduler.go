// Package health probes back ends and reports their health and load.
//
// Each back end is probed by a few nodes of each zone, chosen by rendezvous
// hashing. When to probe and what to report is decided by a Scheduler, which
// has no clock and does no I/O; a Prober drives it with HTTP requests.
//
// A host's own word about itself may lag or mislead. So each report tells its
// age, and carries what the data path shows of the same back end: openings,
// and how many of them were repeated for want of an answer.
package health

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"robinpulley.example/robinpulley/internal/lb"
)

// Settings are the parameters of probing; see DefaultSettings.
type Settings struct {
	// Interval is the time between two probes of a back end. It is longer
	// when the targets are too many for ProbesPerSecond.
	Interval time.Duration
	// Timeout bounds one probe.
	Timeout time.Duration
	// MaxInFlight bounds the probes under way at once.
	MaxInFlight int
	// ProbesPerSecond bounds the probes begun, and with them the reports sent.
	ProbesPerSecond int
	// FailureLimit is how many probes in a row must fail for the back end to
	// be reported as unhealthy; until then its last report grows old.
	FailureLimit int
}

// DefaultSettings gives the defaults.
func DefaultSettings() Settings {
	return Settings{
		Interval:        2 * time.Second,
		Timeout:         time.Second,
		MaxInFlight:     16,
		ProbesPerSecond: 10,
		FailureLimit:    3,
	}
}

// Validate gives an error that names the first setting that is not positive.
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

// Target is a back end to be probed.
type Target struct {
	Backend lb.BackendName
	URL     string
}

// Answer is what a back end says of itself.
type Answer struct {
	Healthy bool
	Load    uint16        // thousandths of capacity, 0..1000
	Age     time.Duration // how old the values were when it answered
}

// Scheduler decides when to probe and what to report. Times are those of the
// caller's clock, from any start. It is not safe for concurrent use.
type Scheduler struct {
	settings Settings
	limiter  *rate.Limiter
	targets  []*targetState // sorted by back end
	inFlight int
}

// targetState is what is known of one back end that is probed.
type targetState struct {
	Target
	due      time.Duration
	probing  bool
	failures int           // in a row
	answered bool          // there is an answer
	answer   Answer        // the last, or unhealthy after FailureLimit failures
	taken    time.Duration // when the answer's values were true
	news     bool          // the answer was not yet reported
}

// NewScheduler gives a scheduler without targets; the settings must be valid.
func NewScheduler(settings Settings) *Scheduler {
	perSecond := settings.ProbesPerSecond
	return &Scheduler{
		settings: settings,
		limiter:  rate.NewLimiter(rate.Limit(perSecond), perSecond),
	}
}

// SetTargets replaces the back ends to be probed; of several with one name the
// first counts. One that stays with the same URL keeps its state; the first
// probes of new ones are spread over an interval.
func (scheduler *Scheduler) SetTargets(now time.Duration, targets []Target) {
	states := make([]*targetState, 0, len(targets))
	for _, wanted := range targets {
		state := scheduler.find(wanted.Backend)
		if state == nil || state.URL != wanted.URL {
			state = &targetState{Target: wanted, due: now + scheduler.phase(wanted.Backend)}
		}
		states = append(states, state)
	}
	slices.SortStableFunc(states, func(a, b *targetState) int { return compareBackend(a, b.Backend) })
	scheduler.targets = slices.CompactFunc(states, func(a, b *targetState) bool { return a.Backend == b.Backend })
}

// phase spreads first probes by the hash of the name.
func (scheduler *Scheduler) phase(backend lb.BackendName) time.Duration {
	return time.Duration(xxhash.Sum64String(string(backend)) % uint64(scheduler.settings.Interval))
}

// find gives the state of a back end, nil if it is not probed.
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

// Due gives the back ends to be probed now, those that waited longest first,
// within the bounds of rate and concurrency. Done must follow for each.
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

// longestDue gives the back end that has been due for longest, nil if none is.
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

// Done takes in the outcome of a probe that was begun at a time. The age of
// the answer counts from then, so that a slow answer is not taken for a fresh one.
func (scheduler *Scheduler) Done(begun time.Duration, probed Target, answer Answer, err error) {
	scheduler.inFlight--
	state := scheduler.find(probed.Backend)
	if state == nil || state.URL != probed.URL {
		return // no longer a target
	}
	state.probing = false
	if err != nil {
		scheduler.failed(begun, state)
		return
	}
	state.failures = 0
	state.set(answer, begun-answer.Age)
}

// failed counts a failure; enough in a row are an answer of their own.
func (scheduler *Scheduler) failed(begun time.Duration, state *targetState) {
	state.failures++
	if state.failures < scheduler.settings.FailureLimit {
		return
	}
	state.set(Answer{Healthy: false, Load: state.answer.Load}, begun)
}

// set takes an answer unless a newer one is known: an endpoint that lags may
// serve older values than before.
func (state *targetState) set(answer Answer, taken time.Duration) {
	if state.answered && taken < state.taken {
		return
	}
	state.answered = true
	state.answer = answer
	state.taken = taken
	state.news = true
}
