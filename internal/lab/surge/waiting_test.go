package surge

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/admissionqueue"
)

// waits has openings wait for room.
func waits(scenario Scenario, share float64) Scenario {
	scenario.Waiting = admissionqueue.DefaultSettings()
	scenario.Waiting.WaitShare = share
	return scenario
}

// TestRoomAndWaitingAnswerMoreOfACrowd than refusing at once, with fewer
// rejections by hosts, and nobody waits longer than a fifth of the objective
// and a look.
func TestRoomAndWaitingAnswerMoreOfACrowd(t *testing.T) {
	for _, seed := range seeds {
		is := is.New(t)
		scenario := many(seed, Adaptive, 3, nil)
		refused, held := Run(scenario), Run(waits(scenario, 0.2))
		is.True(goodput(held) > goodput(refused)+0.01)
		is.True(held.Shed < refused.Shed)
		is.Equal(refused.Waits.Held, uint64(0))
		is.True(held.Waits.Held > 1000 && 4*held.Waits.Forwarded > held.Waits.Held)
		is.True(held.Waits.ToFreedBackends > held.Waits.Forwarded)
		is.True(held.Waits.HeldTime <= time.Duration(held.Waits.Held)*90*time.Millisecond)
		important := held.Class(Important, 0, 8).Share()
		is.True(important > refused.Class(Important, 0, 8).Share()-0.01)
	}
}

// TestOldNewsOfRoomDoesNoHarm: where nodes hear of answers a quarter of the
// objective late, openings are answered in time as if they were refused at once.
func TestOldNewsOfRoomDoesNoHarm(t *testing.T) {
	for _, seed := range seeds {
		is := is.New(t)
		scenario := many(seed, Adaptive, 2.6, nil)
		scenario.NewsDelay = 100 * time.Millisecond
		is.True(goodput(Run(waits(scenario, 0.2))) > goodput(Run(scenario))-0.01)
	}
}

// TestNothingWaitsWhereThereIsRoom.
func TestNothingWaitsWhereThereIsRoom(t *testing.T) {
	is := is.New(t)
	result := Run(waits(many(1, Adaptive, 1, nil), 0.2))
	is.Equal(result.Waits.Held, uint64(0))
	is.Equal(result.Waits.ToFreedBackends, uint64(0))
}
