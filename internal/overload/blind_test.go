package overload

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/fleetload"
)

// room is what the fleet knows of a service whose callers ask for a third of what there is.
func room(at time.Duration) *fleetload.Service {
	return &fleetload.Service{At: at, Zones: []fleetload.Zone{{Zone: "za", Load: 0.4, Answers: 500, Levels: []fleetload.Level{
		{Priority: tap.Priority, Begun: 10}, {Priority: feed.Priority, Begun: 20, Refused: 1},
	}}}}
}

// TestNodeWithoutAnswersGoesByTheFleet: a node that has let in next to nothing in a crowd has no
// answers that could tell it of the crowd's end; the others' answers do, in half a second.
func TestNodeWithoutAnswersGoesByTheFleet(t *testing.T) {
	is := is.New(t)
	h := newHistory(1, DefaultSettings())
	h.pass(web, 2*time.Second, h.calm)
	h.pass(web, 3*time.Second, h.crowded)
	is.True(h.part(web, feed) < 0.02)
	for range 5 { // in which nothing is answered
		h.Learn(h.now, web, room(h.now), slots)
		h.now += 100 * ms
		h.Tick(h.now)
	}
	is.Equal(h.part(web, feed), 1.0)
	is.Equal(h.part(web, tap), 1.0)
	h.Learn(h.now, web, room(h.now), slots)
	h.pass(web, time.Second, h.crowded) // its own sight counts again
	is.True(h.part(web, feed) < 0.2)
}

// TestNodeWithoutAnswersAndNewsStaysCareful: what nobody knows of may be as crowded as before.
func TestNodeWithoutAnswersAndNewsStaysCareful(t *testing.T) {
	is := is.New(t)
	h := newHistory(1, DefaultSettings())
	h.pass(web, 2*time.Second, h.calm)
	h.pass(web, 3*time.Second, h.crowded)
	for range 5 {
		h.now += 100 * ms
		h.Tick(h.now)
	}
	is.True(h.part(web, feed) < 0.1)
}
