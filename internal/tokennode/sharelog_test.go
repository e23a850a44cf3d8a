package tokennode

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/fleetload"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/zoneshare"
)

// inputsOf are those of services that keep a part of their flows each, of which one is known.
func inputsOf(homes map[lb.ServiceName]float64, known ...lb.ServiceName) *shareInputs {
	inputs := &shareInputs{
		parts: map[lb.ServiceName]zoneshare.Parts{}, known: map[lb.ServiceName]fleetload.Service{},
		capacity: func(lb.ServiceName) map[lb.Zone]float64 { return map[lb.Zone]float64{"za": 10, "zb": 12, "zc": 8} },
	}
	for name, home := range homes {
		inputs.parts[name] = zoneshare.Parts{"za": home, "zb": 1 - home}
	}
	for _, name := range known {
		inputs.known[name] = fleetload.Service{At: 900 * time.Millisecond, Zones: []fleetload.Zone{
			{Zone: "za", Levels: []fleetload.Level{{Begun: 15, Refused: 5}, {Priority: 1, Begun: 1}}},
			{Zone: "zb", Levels: []fleetload.Level{{Begun: 4}}},
		}}
	}
	return inputs
}

// TestChangeOfAShareIsLoggedWithWhatDecidedIt, and chance is not.
func TestChangeOfAShareIsLoggedWithWhatDecidedIt(t *testing.T) {
	is := is.New(t)
	log := newShareLog("za")
	is.Equal(len(log.note(0, inputsOf(map[lb.ServiceName]float64{"web": 0.98}))), 0) // as it starts
	is.Equal(len(log.note(time.Second, inputsOf(map[lb.ServiceName]float64{"web": 0.9}, "web"))), 0)
	now := 1200 * time.Millisecond
	changes := log.note(now, inputsOf(map[lb.ServiceName]float64{"web": 0.6}, "web"))
	is.Equal(changes, []shareChange{{
		service: "web", before: 0.98, home: 0.6, known: true, age: 300 * time.Millisecond,
		asked: 21, capacity: 10, askedOthers: 4, capacityOthers: 20,
	}})
	is.Equal(len(log.note(now+shareInterval/2, inputsOf(map[lb.ServiceName]float64{"web": 0.98}))), 0) // too soon
	changes = log.note(now+shareInterval, inputsOf(map[lb.ServiceName]float64{"web": 0.98}))
	is.Equal(changes, []shareChange{{service: "web", before: 0.6, home: 0.98, capacity: 10, capacityOthers: 20}})
}

// TestLinesOnSharesAreBounded: a zone that is lost changes the shares of all services, and
// those that are left out are logged later.
func TestLinesOnSharesAreBounded(t *testing.T) {
	is := is.New(t)
	log := newShareLog("za")
	before, after := map[lb.ServiceName]float64{}, map[lb.ServiceName]float64{}
	for index := range 25 {
		name := lb.ServiceName(fmt.Sprintf("s%d", index))
		before[name], after[name] = 0.9, 0.1
	}
	log.note(0, inputsOf(before))
	lines := 0
	for window := range 10 {
		lines += len(log.note(time.Duration(window)*shareInterval/10, inputsOf(after)))
	}
	is.Equal(lines, shareLines)
	for window := range 20 {
		lines += len(log.note(shareInterval+time.Duration(window)*shareInterval/10, inputsOf(after)))
	}
	is.Equal(lines, 25)
	log.note(10*shareInterval, inputsOf(nil))
	is.Equal(len(log.told), 0)
}
