package overload

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/fleetload"
)

// slots are those of the back ends in these tests.
const slots = 100.0

// crowd is what the fleet knows of a service whose callers ask for a quarter more than there is room for.
func crowd(at time.Duration) *fleetload.Service {
	return &fleetload.Service{At: at, Zones: []fleetload.Zone{{Zone: "za", Load: 1, Answers: 2000, Levels: []fleetload.Level{
		{Priority: tap.Priority, Begun: 30}, {Priority: feed.Priority, Begun: 70, Refused: 60},
	}}}}
}

// late has requests take what is some way beyond the limit of a single node.
func (h *history) late() time.Duration { return 2 * h.calm() }

// TestFleetDecides: what the fleet knows decides, earlier than a node's own sight where that is of
// little, and later where all of them together see that there is room for more.
func TestFleetDecides(t *testing.T) {
	is := is.New(t)
	h := newHistory(1, DefaultSettings())
	h.pass(web, 2*time.Second, h.calm)
	h.pass(web, 2*time.Second, h.late)
	is.True(h.part(web, feed) < 0.3) // alone
	for range 20 {
		h.Learn(h.now, web, crowd(h.now), slots)
		h.pass(web, 200*ms, h.late)
	}
	h.Learn(h.now, web, crowd(h.now), slots)
	want := h.services[web].fleet.PartOf(feed.Priority)
	is.True(want > 0.3 && want < 0.9)
	feeds := h.part(web, feed)
	is.True(feeds > want-0.08 && feeds < want+0.08)
	is.Equal(h.part(web, tap), 1.0)
}

// TestStaleNewsDoNotCount: a second after the last news a node goes by its own sight again.
func TestStaleNewsDoNotCount(t *testing.T) {
	is := is.New(t)
	h := newHistory(1, DefaultSettings())
	h.pass(web, 2*time.Second, h.calm)
	h.Learn(h.now, web, crowd(h.now), slots)
	h.pass(web, 1100*ms, h.crowded)
	is.True(h.part(web, feed) < 0.1)
	h.pass(web, 4*time.Second, h.calm)
	is.Equal(h.part(web, feed), 1.0)
	h.Learn(h.now, web, crowd(h.now-2*time.Second), slots) // late
	is.Equal(h.partAtNew(web, feed), 1.0)
}

// TestOwnSightOfRoomGoesFirst: whoever tells of a crowd, a node that sees back ends with room lets all in.
func TestOwnSightOfRoomGoesFirst(t *testing.T) {
	is := is.New(t)
	h := newHistory(1, DefaultSettings())
	for range 20 {
		lie := crowd(h.now)
		lie.Zones[0].Load, lie.Zones[0].Levels[1].Refused = 4, 1e6
		h.Learn(h.now, web, lie, slots)
		h.pass(web, 200*ms, h.calm)
	}
	is.Equal(h.part(web, feed), 1.0)
}

// TestOwnSightOfCrowdGoesFirst: whoever tells of room, a node that sees a crowd refuses within a second.
func TestOwnSightOfCrowdGoesFirst(t *testing.T) {
	is := is.New(t)
	h := newHistory(1, DefaultSettings())
	h.pass(web, 2*time.Second, h.calm)
	for range 5 {
		lie := crowd(h.now) // little to refuse
		lie.Zones[0].Load, lie.Zones[0].Levels[1].Refused = 0.5, 1
		h.Learn(h.now, web, lie, slots)
		h.pass(web, 200*ms, h.crowded)
	}
	is.True(h.part(web, feed) < 0.2)
}

// TestOpenFlowsAreCounted: the part of requests that come on flows that were open before.
func TestOpenFlowsAreCounted(t *testing.T) {
	is := is.New(t)
	h := newHistory(1, DefaultSettings())
	for range 100 {
		h.admits(web, tap)
		h.Begun(h.now, web, tap) // a flow a request
		h.Begun(h.now, web, feed)
	}
	is.Equal(h.services[web].held(tap.Priority), 0.0)
	is.Equal(h.services[web].held(feed.Priority), 1.0)
	is.Equal(h.services[web].held(9), 0.0) // nothing is known
}
