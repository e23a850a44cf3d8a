package overload

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/fleetload"
)

// slots is the number of slots of the back ends in these tests.
const slots = 100.0

// overloadedState returns the fleet's state of a service whose clients request a quarter more than
// its capacity.
func overloadedState(at time.Duration) *fleetload.Service {
	return &fleetload.Service{SummedAt: at, Zones: []fleetload.Zone{{Zone: "za", Load: 1, Answers: 2000, Levels: []fleetload.Level{
		{Priority: important.Priority, Begun: 30}, {Priority: ordinary.Priority, Begun: 70, Refused: 60},
	}}}}
}

// beyondLimit returns a response time that moderately exceeds the limit of a single node.
func (h *history) beyondLimit() time.Duration { return 2 * h.calm() }

// TestFleetDecides checks that the fleet's reports decide where they exist: earlier than a node's
// own measurements where these are few, and later where the fleet as a whole has capacity for more.
func TestFleetDecides(t *testing.T) {
	is := is.New(t)
	h := newHistory(1, DefaultSettings())
	h.advance(web, 2*time.Second, h.calm)
	h.advance(web, 2*time.Second, h.beyondLimit)
	is.True(h.admissionRate(web, ordinary) < 0.3) // without reports
	for range 20 {
		h.ApplyFleetLoad(h.now, web, overloadedState(h.now), slots)
		h.advance(web, 200*ms, h.beyondLimit)
	}
	h.ApplyFleetLoad(h.now, web, overloadedState(h.now), slots)
	want := h.services[web].fleet.RateOf(ordinary.Priority)
	is.True(want > 0.3 && want < 0.9)
	ordinaryRate := h.admissionRate(web, ordinary)
	is.True(ordinaryRate > want-0.08 && ordinaryRate < want+0.08)
	is.Equal(h.admissionRate(web, important), 1.0)
}

// TestStaleReportsDoNotCount checks that a node uses its own measurements again one second after
// the last report.
func TestStaleReportsDoNotCount(t *testing.T) {
	is := is.New(t)
	h := newHistory(1, DefaultSettings())
	h.advance(web, 2*time.Second, h.calm)
	h.ApplyFleetLoad(h.now, web, overloadedState(h.now), slots)
	h.advance(web, 1100*ms, h.overloaded)
	is.True(h.admissionRate(web, ordinary) < 0.1)
	h.advance(web, 4*time.Second, h.calm)
	is.Equal(h.admissionRate(web, ordinary), 1.0)
	h.ApplyFleetLoad(h.now, web, overloadedState(h.now-2*time.Second), slots) // outdated
	is.Equal(h.admissionRateAtNew(web, ordinary), 1.0)
}

// TestOwnMeasuredCapacityTakesPrecedence checks that a node that measures spare capacity admits all
// openings, even if reports claim an overload.
func TestOwnMeasuredCapacityTakesPrecedence(t *testing.T) {
	is := is.New(t)
	h := newHistory(1, DefaultSettings())
	for range 20 {
		wrong := overloadedState(h.now)
		wrong.Zones[0].Load, wrong.Zones[0].Levels[1].Refused = 4, 1e6
		h.ApplyFleetLoad(h.now, web, wrong, slots)
		h.advance(web, 200*ms, h.calm)
	}
	is.Equal(h.admissionRate(web, ordinary), 1.0)
}

// TestOwnMeasuredOverloadTakesPrecedence checks that a node that measures an overload refuses
// openings within a second, even if reports claim spare capacity.
func TestOwnMeasuredOverloadTakesPrecedence(t *testing.T) {
	is := is.New(t)
	h := newHistory(1, DefaultSettings())
	h.advance(web, 2*time.Second, h.calm)
	for range 5 {
		wrong := overloadedState(h.now) // claims hardly any refusals
		wrong.Zones[0].Load, wrong.Zones[0].Levels[1].Refused = 0.5, 1
		h.ApplyFleetLoad(h.now, web, wrong, slots)
		h.advance(web, 200*ms, h.overloaded)
	}
	is.True(h.admissionRate(web, ordinary) < 0.2)
}

// TestOpenFlowsAreCounted checks the fraction of requests that arrive on flows opened earlier.
func TestOpenFlowsAreCounted(t *testing.T) {
	is := is.New(t)
	h := newHistory(1, DefaultSettings())
	for range 100 {
		h.admits(web, important)
		h.RecordRequest(h.now, web, important) // one request per flow
		h.RecordRequest(h.now, web, ordinary)
	}
	is.Equal(h.services[web].openFlowShare(important.Priority), 0.0)
	is.Equal(h.services[web].openFlowShare(ordinary.Priority), 1.0)
	is.Equal(h.services[web].openFlowShare(9), 0.0) // unused priority
}
