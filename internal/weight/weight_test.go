package weight_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"robinpulley.example/robinpulley/internal/message"
	"robinpulley.example/robinpulley/internal/weight"
)

const fresh = weight.FullFactor

func healthy(load uint32) weight.View { return weight.View{Freshness: fresh, Load: load} }

func unhealthy() weight.View { return weight.View{Freshness: fresh, Unhealthy: true, Load: 100} }

// applySteps applies Step to the states a number of times.
func applySteps(states []weight.BackendState, times int, settings *weight.Settings) []weight.BackendState {
	for range times {
		for index, factor := range weight.Step(states, settings) {
			states[index].Factor = factor
		}
	}
	return states
}

// TestUnhealthyFactorFallsToFloorInBoundedSteps checks that unhealthy reports reduce the factor
// slowly and never remove a back end.
func TestUnhealthyFactorFallsToFloorInBoundedSteps(t *testing.T) {
	is := is.New(t)
	settings := weight.DefaultSettings()
	states := []weight.BackendState{{1000, healthy(100)}, {1000, healthy(100)}, {1000, unhealthy()}}
	is.Equal(weight.Step(states, &settings), []uint16{1000, 1000, 900})
	states = applySteps(states, 50, &settings)
	is.Equal(states[2].Factor, settings.UnhealthyFloor)
}

// TestPanicModeKeepsAllFactors checks that unhealthy reports about most back ends are ignored.
func TestPanicModeKeepsAllFactors(t *testing.T) {
	is := is.New(t)
	settings := weight.DefaultSettings()
	states := []weight.BackendState{{1000, healthy(100)}, {1000, unhealthy()}, {1000, unhealthy()}}
	states = applySteps(states, 50, &settings)
	for _, state := range states {
		is.Equal(state.Factor, uint16(1000))
	}
}

// TestSlowStartReachesFullFactor checks that a back end that starts rises step by step, with and
// without reports.
func TestSlowStartReachesFullFactor(t *testing.T) {
	is := is.New(t)
	settings := weight.DefaultSettings()
	states := []weight.BackendState{{1000, healthy(500)}, {settings.SlowStart, healthy(50)}}
	is.Equal(weight.Step(states, &settings)[1], settings.SlowStart+settings.MaxStep)
	unreported := applySteps([]weight.BackendState{{1000, weight.View{}}, {settings.SlowStart, weight.View{}}}, 9, &settings)
	is.Equal(unreported[1].Factor, uint16(1000))
}

// TestOverloadedBackEndFallsToLoadFloor checks that load reports reduce a factor no further than to
// LoadFloor.
func TestOverloadedBackEndFallsToLoadFloor(t *testing.T) {
	is := is.New(t)
	settings := weight.DefaultSettings()
	states := []weight.BackendState{{1000, healthy(100)}, {1000, healthy(105)}, {1000, healthy(900)}}
	next := weight.Step(states, &settings)
	is.Equal(next[2], uint16(900))
	states = applySteps(states, 50, &settings)
	is.Equal(states[2].Factor, settings.LoadFloor)
}

// TestSlowStartRisesToLoadFloor guards against a starting back end that stays at its initial factor
// because its load equals the mean.
func TestSlowStartRisesToLoadFloor(t *testing.T) {
	is := is.New(t)
	settings := weight.DefaultSettings()
	states := applySteps([]weight.BackendState{{1000, healthy(300)}, {settings.SlowStart, healthy(300)}}, 9, &settings)
	is.Equal(states[1].Factor, settings.LoadFloor)
}

// TestOldReportsCountLessAndExpire checks that newer reports outweigh older ones, and that a report
// older than the last one of its zone is ignored.
func TestOldReportsCountLessAndExpire(t *testing.T) {
	is := is.New(t)
	settings := weight.DefaultSettings()
	var backend weight.Backend
	backend.AddReport(0, "a", message.BackendLoad{Healthy: false, Load: 900}, &settings)
	backend.AddReport(settings.MaxAge/2, "b", message.BackendLoad{Healthy: true, Load: 100}, &settings)
	view := backend.View(settings.MaxAge/2, &settings)
	is.True(!view.Unhealthy) // the fresher report has more weight
	is.True(view.Load < 500)
	backend.AddReport(settings.MaxAge/2, "b", message.BackendLoad{Healthy: false, AgeMillis: 60000}, &settings)
	is.True(!backend.View(settings.MaxAge/2, &settings).Unhealthy) // older than the zone's last report
	is.Equal(backend.View(settings.MaxAge*2, &settings), weight.View{})
}

// TestUnansweredOpeningsOverruleReports checks that a host that reports itself healthy but leaves
// openings unanswered has failed.
func TestUnansweredOpeningsOverruleReports(t *testing.T) {
	is := is.New(t)
	settings := weight.DefaultSettings()
	var unresponsive, misreporting weight.Backend
	for second := range 5 {
		now := time.Duration(second) * time.Second
		unresponsive.AddReport(now, "a", message.BackendLoad{Healthy: true, Openings: 4, UnansweredOpenings: 4}, &settings)
		misreporting.AddReport(now, "a", message.BackendLoad{Healthy: false, Openings: 40, UnansweredOpenings: 1}, &settings)
	}
	is.True(unresponsive.Unanswered(5*time.Second, &settings))
	is.True(!misreporting.Unanswered(5*time.Second, &settings))
	is.True(!unresponsive.Unanswered(5*time.Minute, &settings)) // the counts decay
	unresponsive.ResetOpenings()
	is.True(!unresponsive.Unanswered(5*time.Second, &settings))
}

// TestStepsAreBounded checks with random states that factors stay in range, change by at most
// MaxStep, and are not reduced below UnhealthyFloor.
func TestStepsAreBounded(t *testing.T) {
	settings := weight.DefaultSettings()
	rapid.Check(t, func(t *rapid.T) {
		states := make([]weight.BackendState, rapid.IntRange(1, 14).Draw(t, "count"))
		for index := range states {
			states[index] = weight.BackendState{
				Factor: uint16(rapid.IntRange(1, 1000).Draw(t, "factor")),
				View: weight.View{
					Freshness: uint32(rapid.IntRange(0, 1000).Draw(t, "freshness")),
					Unhealthy: rapid.Bool().Draw(t, "unhealthy"),
					Load:      uint32(rapid.IntRange(0, 65535).Draw(t, "load")),
				},
			}
		}
		for index, factor := range weight.Step(states, &settings) {
			present := states[index].Factor
			if factor < 1 || factor > weight.FullFactor {
				t.Fatalf("factor %d", factor)
			}
			if change := int(factor) - int(present); change > int(settings.MaxStep) || change < -int(settings.MaxStep) {
				t.Fatalf("factor %d after %d", factor, present)
			}
			if factor < present && factor < settings.UnhealthyFloor {
				t.Fatalf("factor %d after %d is below the floor", factor, present)
			}
		}
	})
}
