package health

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
)

var errProbe = errors.New("no answer")

func testTargets(count int) []Target {
	targets := make([]Target, count)
	for index := range targets {
		name := fmt.Sprintf("host-%d", index)
		targets[index] = Target{Backend: lb.BackendName(name), URL: "http://192.0.2.1/" + name}
	}
	return targets
}

// pollInterval is the time between two calls of Due.
const pollInterval = 10 * time.Millisecond

// runProbes runs the scheduler with immediate answers and returns the times at which each back end
// was probed. A probe is at most one poll interval late.
func runProbes(scheduler *Scheduler, end time.Duration) map[lb.BackendName][]time.Duration {
	probes := make(map[lb.BackendName][]time.Duration)
	for now := time.Duration(0); now < end; now += pollInterval {
		for _, target := range scheduler.Due(now) {
			probes[target.Backend] = append(probes[target.Backend], now)
			scheduler.Done(now, target, Answer{Healthy: true}, nil)
		}
	}
	return probes
}

// completeProbe starts the probe of the only target and completes it with the given result.
func completeProbe(t *testing.T, scheduler *Scheduler, now time.Duration, answer Answer, err error) {
	t.Helper()
	due := scheduler.Due(now)
	if len(due) != 1 {
		t.Fatalf("%d targets due at %s, not 1", len(due), now)
	}
	scheduler.Done(now, due[0], answer, err)
}

func TestEveryTargetIsProbedEachInterval(t *testing.T) {
	is := is.New(t)
	settings := DefaultSettings()
	scheduler := NewScheduler(settings)
	scheduler.SetTargets(0, testTargets(10))
	probes := runProbes(scheduler, 10*settings.Interval+pollInterval)
	is.Equal(len(probes), 10)
	firsts := map[time.Duration]bool{}
	for _, times := range probes {
		is.Equal(len(times), 10)
		firsts[times[0]] = true
		for index := 1; index < len(times); index++ {
			is.True(times[index]-times[index-1] >= settings.Interval-pollInterval)
		}
	}
	is.True(len(firsts) > 5) // the first probes are spread
}

func TestRateIsBoundedAndFair(t *testing.T) {
	is := is.New(t)
	settings := DefaultSettings()
	scheduler := NewScheduler(settings)
	scheduler.SetTargets(0, testTargets(100))
	const duration = 60 * time.Second
	probes := runProbes(scheduler, duration)
	total := 0
	for _, times := range probes {
		total += len(times)
		is.True(len(times) >= 5) // 600 probes over 100 targets
	}
	// The limit includes the burst of one second.
	maxProbes := settings.ProbesPerSecond * (int(duration/time.Second) + 1)
	is.True(total <= maxProbes)
	is.True(total >= maxProbes-2*settings.ProbesPerSecond)
	is.Equal(len(probes), 100)
}

func TestConcurrencyIsBounded(t *testing.T) {
	is := is.New(t)
	settings := DefaultSettings()
	settings.MaxInFlight = 3
	scheduler := NewScheduler(settings)
	scheduler.SetTargets(0, testTargets(8))
	due := scheduler.Due(settings.Interval)
	is.Equal(len(due), 3)
	is.Equal(len(scheduler.Due(settings.Interval)), 0)
	scheduler.Done(settings.Interval, due[0], Answer{}, nil)
	again := scheduler.Due(settings.Interval)
	is.Equal(len(again), 1)
	for _, target := range due {
		is.True(again[0] != target)
	}
}

func TestReportContainsEachAnswerOnceWithItsAge(t *testing.T) {
	is := is.New(t)
	settings := DefaultSettings()
	scheduler := NewScheduler(settings)
	scheduler.SetTargets(0, testTargets(1))
	is.Equal(scheduler.Report(0, nil), nil)
	// The endpoint lags: its values were 3 s old when it answered.
	completeProbe(t, scheduler, settings.Interval, Answer{Healthy: true, Load: 400, Age: 3 * time.Second}, nil)
	later := settings.Interval + 500*time.Millisecond
	is.Equal(scheduler.Report(later, nil), []message.BackendLoad{
		{Backend: "host-0", Healthy: true, Load: 400, AgeMillis: 3500},
	})
	is.Equal(scheduler.Report(later, nil), nil)
}

func TestOlderValuesAreIgnored(t *testing.T) {
	is := is.New(t)
	settings := DefaultSettings()
	scheduler := NewScheduler(settings)
	scheduler.SetTargets(0, testTargets(1))
	now := 10 * time.Second
	completeProbe(t, scheduler, now, Answer{Healthy: false, Load: 900}, nil)
	is.Equal(len(scheduler.Report(now, nil)), 1)
	now += settings.Interval
	completeProbe(t, scheduler, now, Answer{Healthy: true, Load: 0, Age: settings.Interval + 1}, nil)
	is.Equal(scheduler.Report(now, nil), nil)
}

func TestConsecutiveFailuresMakeABackendUnhealthy(t *testing.T) {
	is := is.New(t)
	settings := DefaultSettings()
	scheduler := NewScheduler(settings)
	scheduler.SetTargets(0, testTargets(1))
	now := settings.Interval
	completeProbe(t, scheduler, now, Answer{Healthy: true, Load: 300}, nil)
	is.Equal(len(scheduler.Report(now, nil)), 1)
	for range 2 * (settings.FailureLimit - 1) { // never FailureLimit consecutive failures
		now += settings.Interval
		completeProbe(t, scheduler, now, Answer{}, errProbe)
		is.Equal(scheduler.Report(now, nil), nil)
		if scheduler.targets[0].failures == settings.FailureLimit-1 {
			now += settings.Interval
			completeProbe(t, scheduler, now, Answer{Healthy: true, Load: 300}, nil)
			is.Equal(len(scheduler.Report(now, nil)), 1)
		}
	}
	for failure := 1; failure <= settings.FailureLimit; failure++ {
		now += settings.Interval
		completeProbe(t, scheduler, now, Answer{}, errProbe)
	}
	is.Equal(scheduler.Report(now, nil), []message.BackendLoad{{Backend: "host-0", Healthy: false, Load: 300}})
	now += settings.Interval
	completeProbe(t, scheduler, now, Answer{Healthy: true, Load: 10}, nil)
	is.True(scheduler.Report(now, nil)[0].Healthy)
}

func TestSetTargetsKeepsStateOfUnchangedTargets(t *testing.T) {
	is := is.New(t)
	settings := DefaultSettings()
	scheduler := NewScheduler(settings)
	targets := testTargets(3)
	scheduler.SetTargets(0, targets)
	due := scheduler.Due(settings.Interval)
	is.Equal(len(due), 3)

	moved := targets[1]
	moved.URL = "http://192.0.2.2/moved"
	scheduler.SetTargets(settings.Interval, []Target{targets[0], moved, moved})
	is.Equal(len(scheduler.targets), 2)
	for _, target := range due {
		scheduler.Done(settings.Interval, target, Answer{Healthy: true}, nil)
	}
	is.Equal(scheduler.inFlight, 0)
	loads := scheduler.Report(settings.Interval, nil)
	is.Equal(len(loads), 1) // neither the removed target nor the one with a new URL
	is.Equal(loads[0].Backend, targets[0].Backend)
	is.Equal(len(scheduler.Due(2*settings.Interval)), 2)
}

// TestReportCarriesOpeningCountsWithAHealthyAnswer covers a host that answers each probe as healthy
// and idle while its clients retransmit their openings: the report contains both.
func TestReportCarriesOpeningCountsWithAHealthyAnswer(t *testing.T) {
	is := is.New(t)
	settings := DefaultSettings()
	scheduler := NewScheduler(settings)
	scheduler.SetTargets(0, testTargets(1))
	completeProbe(t, scheduler, settings.Interval, Answer{Healthy: true}, nil)
	loads := scheduler.Report(settings.Interval, []OpeningCounts{
		{Backend: "host-0", Openings: 20, Unanswered: 19},
		{Backend: "not-probed-here", Openings: 10, Unanswered: 4}, // probed by other nodes
		{Backend: "answering", Openings: 10},
	})
	is.Equal(loads, []message.BackendLoad{
		{Backend: "host-0", Healthy: true, Openings: 20, UnansweredOpenings: 19},
		{Backend: "not-probed-here", AgeMillis: math.MaxUint32, Openings: 10, UnansweredOpenings: 4},
	})
}

func TestSettingsAreChecked(t *testing.T) {
	is := is.New(t)
	settings := DefaultSettings()
	is.NoErr(settings.Validate())
	_, err := NewProber(Options{})
	is.True(err != nil)
	settings.FailureLimit = 0
	is.Equal(settings.Validate().Error(), `health setting "failure limit" is 0, not positive`)
}
