package tokennode

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/fleetload"
	"robinpulley.example/robinpulley/internal/lb"
)

func one(string) float64 { return 1 }

// TestChangeBeyondAStepIsTold, and chance is not, nor two in a second.
func TestChangeBeyondAStepIsTold(t *testing.T) {
	is := is.New(t)
	log := newStepLog[string]()
	is.Equal(len(log.note(0, map[string]float64{"web": 0.98}, one)), 0) // as usual
	is.Equal(len(log.note(time.Second, map[string]float64{"web": 0.91}, one)), 0)
	now := 1200 * time.Millisecond
	is.Equal(log.note(now, map[string]float64{"web": 0.6}, one), []step[string]{{key: "web", before: 1, value: 0.6}})
	is.Equal(log.away, 1)
	is.Equal(len(log.note(now+stepInterval/2, map[string]float64{"web": 0.98}, one)), 0) // too soon
	is.Equal(log.note(now+stepInterval, nil, one), []step[string]{{key: "web", before: 0.6, value: 1}})
	is.Equal(len(log.note(now+stepInterval, nil, one)), 0)
	is.Equal(log.away, 0)
	is.Equal(len(log.told), 0) // it is as usual, and gone
}

// TestLinesOnStepsAreBounded: a zone that is lost changes the shares of all services, and
// those that are left out are logged later.
func TestLinesOnStepsAreBounded(t *testing.T) {
	is := is.New(t)
	log := newStepLog[string]()
	after := map[string]float64{}
	for index := range 25 {
		after[fmt.Sprintf("s%d", index)] = 0.1
	}
	lines := 0
	for window := range 10 {
		lines += len(log.note(time.Duration(window)*stepInterval/10, after, one))
	}
	is.Equal(lines, stepLines)
	for window := range 20 {
		lines += len(log.note(stepInterval+time.Duration(window)*stepInterval/10, after, one))
	}
	is.Equal(lines, 25)
	log.forget(func(name string) bool { return name == "s1" })
	is.Equal(len(log.told), 1)
}

// TestLargestStepIsToldFirst, where not all may be told.
func TestLargestStepIsToldFirst(t *testing.T) {
	is := is.New(t)
	log := newStepLog[string]()
	steps := log.note(stepInterval, map[string]float64{"a": 0.8, "b": 0.2, "c": 0.5}, one)
	is.Equal(len(steps), 3)
	is.Equal(steps[0].key, "b")
	is.Equal(steps[2].key, "a")
}

// TestInputsAreOfTheOwnZoneAndOfTheOthers.
func TestInputsAreOfTheOwnZoneAndOfTheOthers(t *testing.T) {
	is := is.New(t)
	known := fleetload.Service{SummedAt: 900 * time.Millisecond, Zones: []fleetload.Zone{
		{Zone: "za", Levels: []fleetload.Level{{Begun: 15, Refused: 5}, {Priority: 1, Begun: 1}}},
		{Zone: "zb", Levels: []fleetload.Level{{Begun: 4, Refused: 1}}},
		{Zone: "zc", Levels: []fleetload.Level{{Begun: 2}}},
	}}
	capacity := map[lb.Zone]float64{"za": 10, "zb": 12, "zc": 8}
	is.Equal(inputsOf(1200*time.Millisecond, "za", &known, capacity), loadInputs{
		known: true, age: 300 * time.Millisecond, asked: 21, askedOthers: 7, refused: 6, capacity: 10, capacityOthers: 20,
	})
	is.Equal(inputsOf(0, "zb", nil, capacity), loadInputs{capacity: 12, capacityOthers: 18})
}
