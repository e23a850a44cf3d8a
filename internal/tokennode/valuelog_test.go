package tokennode

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/fleetload"
	"robinpulley.example/robinpulley/internal/lb"
)

// usualOne is a usual value of 1 for every key.
func usualOne(string) float64 { return 1 }

// TestLargeChangeIsLogged checks that a large change is logged, but a small change is not, nor a
// second change within valueLineInterval.
func TestLargeChangeIsLogged(t *testing.T) {
	is := is.New(t)
	log := newValueLog[string]()
	is.Equal(len(log.changes(0, map[string]float64{"web": 0.98}, usualOne)), 0) // close to the usual value
	is.Equal(len(log.changes(time.Second, map[string]float64{"web": 0.91}, usualOne)), 0)
	now := 1200 * time.Millisecond
	is.Equal(log.changes(now, map[string]float64{"web": 0.6}, usualOne), []valueChange[string]{{key: "web", before: 1, value: 0.6}})
	is.Equal(log.deviating, 1)
	is.Equal(len(log.changes(now+valueLineInterval/2, map[string]float64{"web": 0.98}, usualOne)), 0) // too soon
	is.Equal(log.changes(now+valueLineInterval, nil, usualOne), []valueChange[string]{{key: "web", before: 0.6, value: 1}})
	is.Equal(len(log.changes(now+valueLineInterval, nil, usualOne)), 0)
	is.Equal(log.deviating, 0)
	is.Equal(len(log.logged), 0) // the value is the usual one, and the key no longer has a value
}

// TestValueLinesAreBounded checks that the lines per interval are limited, such as when the loss of
// a zone changes the zone weights of all services, and that the omitted changes are logged later.
func TestValueLinesAreBounded(t *testing.T) {
	is := is.New(t)
	log := newValueLog[string]()
	after := map[string]float64{}
	for index := range 25 {
		after[fmt.Sprintf("s%d", index)] = 0.1
	}
	lines := 0
	for window := range 10 {
		lines += len(log.changes(time.Duration(window)*valueLineInterval/10, after, usualOne))
	}
	is.Equal(lines, maxValueLines)
	for window := range 20 {
		lines += len(log.changes(valueLineInterval+time.Duration(window)*valueLineInterval/10, after, usualOne))
	}
	is.Equal(lines, 25)
	log.retain(func(name string) bool { return name == "s1" })
	is.Equal(len(log.logged), 1)
}

// TestLargestChangeIsLoggedFirst checks the order of changes, which matters when the limit omits
// some of them.
func TestLargestChangeIsLoggedFirst(t *testing.T) {
	is := is.New(t)
	log := newValueLog[string]()
	changes := log.changes(valueLineInterval, map[string]float64{"a": 0.8, "b": 0.2, "c": 0.5}, usualOne)
	is.Equal(len(changes), 3)
	is.Equal(changes[0].key, "b")
	is.Equal(changes[2].key, "a")
}

// TestLoadInputsSeparateLocalZoneFromOthers checks that the inputs contain separate amounts for the
// local zone and for all other zones.
func TestLoadInputsSeparateLocalZoneFromOthers(t *testing.T) {
	is := is.New(t)
	known := fleetload.Service{SummedAt: 900 * time.Millisecond, Zones: []fleetload.Zone{
		{Zone: "za", Levels: []fleetload.Level{{Begun: 15, Refused: 5}, {Priority: 1, Begun: 1}}},
		{Zone: "zb", Levels: []fleetload.Level{{Begun: 4, Refused: 1}}},
		{Zone: "zc", Levels: []fleetload.Level{{Begun: 2}}},
	}}
	capacity := map[lb.Zone]float64{"za": 10, "zb": 12, "zc": 8}
	is.Equal(inputsOf(1200*time.Millisecond, "za", &known, capacity), loadInputs{
		hasLoad: true, age: 300 * time.Millisecond, demand: 21, demandOthers: 7, refused: 6, capacity: 10, capacityOthers: 20,
	})
	is.Equal(inputsOf(0, "zb", nil, capacity), loadInputs{capacity: 12, capacityOthers: 18})
}
