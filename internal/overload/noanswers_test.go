package overload

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/fleetload"
)

// spareState returns the fleet's state of a service whose clients request a third of its capacity.
func spareState(at time.Duration) *fleetload.Service {
	return &fleetload.Service{SummedAt: at, Zones: []fleetload.Zone{{Zone: "za", Load: 0.4, Answers: 500, Levels: []fleetload.Level{
		{Priority: important.Priority, Begun: 10}, {Priority: ordinary.Priority, Begun: 20, Refused: 1},
	}}}}
}

// TestNodeWithoutAnswersFollowsTheFleet guards against a node that keeps refusing after an
// overload: having admitted next to nothing, it has no answers that show the end. The reports of
// the other nodes must show it within half a second.
func TestNodeWithoutAnswersFollowsTheFleet(t *testing.T) {
	is := is.New(t)
	h := newHistory(1, DefaultSettings())
	h.advance(web, 2*time.Second, h.calm)
	h.advance(web, 3*time.Second, h.overloaded)
	is.True(h.admissionRate(web, ordinary) < 0.02)
	for range 5 { // no answers arrive
		h.ApplyFleetLoad(h.now, web, spareState(h.now), slots)
		h.now += 100 * ms
		h.Tick(h.now)
	}
	is.Equal(h.admissionRate(web, ordinary), 1.0)
	is.Equal(h.admissionRate(web, important), 1.0)
	h.ApplyFleetLoad(h.now, web, spareState(h.now), slots)
	h.advance(web, time.Second, h.overloaded) // its own measurements count again
	is.True(h.admissionRate(web, ordinary) < 0.2)
}

// TestNodeWithoutAnswersAndReportsKeepsRefusing: without any data the service may be as overloaded
// as before.
func TestNodeWithoutAnswersAndReportsKeepsRefusing(t *testing.T) {
	is := is.New(t)
	h := newHistory(1, DefaultSettings())
	h.advance(web, 2*time.Second, h.calm)
	h.advance(web, 3*time.Second, h.overloaded)
	for range 5 {
		h.now += 100 * ms
		h.Tick(h.now)
	}
	is.True(h.admissionRate(web, ordinary) < 0.1)
}
