package overload

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
)

// TestQuick: a request that took about as long as at idle back ends had one with
// room; one that waited had not, and one that ended at once was refused by a full one.
func TestQuick(t *testing.T) {
	is := is.New(t)
	c := New(DefaultSettings())
	objective := lb.Objective{Priority: 1, TargetMillis: 400}
	is.True(!c.Quick("web", objective, 50*time.Millisecond)) // nothing is known
	for i := range 100 {
		c.Answered(time.Duration(i)*10*time.Millisecond, "web", objective, "za", 1, 50*time.Millisecond)
	}
	is.True(c.Quick("web", objective, 50*time.Millisecond))
	is.True(!c.Quick("web", objective, 100*time.Millisecond))
	is.True(!c.Quick("web", objective, 2*time.Millisecond))
	is.True(!c.Quick("docs", objective, 50*time.Millisecond))
	off := DefaultSettings()
	off.Off = true
	is.True(!New(off).Quick("web", objective, 50*time.Millisecond))
}

// TestHeldIsNotRefused: an opening that waits does not count until it is refused.
func TestHeldIsNotRefused(t *testing.T) {
	is := is.New(t)
	c := New(DefaultSettings())
	objective := lb.Objective{Priority: 1, TargetMillis: 400}
	now := time.Duration(0)
	for i := range 2000 {
		now += 5 * time.Millisecond
		took := 50 * time.Millisecond
		if i > 500 {
			took = 350 * time.Millisecond
		}
		c.Answered(now, "web", objective, "za", Identity(i%10), took)
		c.Tick(now)
	}
	is.True(c.Pressed("web"))
	is.True(!c.Pressed("docs"))
	c.Samples()
	is.True(!c.Admit(now, "web", objective, 1, ^uint64(0)))
	c.Held(now, "web", objective)
	is.Equal(c.Status(now)[0].Refused, uint64(0))
	is.Equal(refusedWork(c), 0.0)
	is.True(!c.Admit(now, "web", objective, 1, ^uint64(0)))
	is.Equal(c.Status(now)[0].Refused, uint64(1))
	is.True(refusedWork(c) > 0)
	c.Refused(now, "web", objective) // after it waited
	is.Equal(c.Status(now)[0].Refused, uint64(2))
	is.True(refusedWork(c) > 0)
}

// refusedWork is what the nodes are told of refused work since the last call.
func refusedWork(c *Controller) float64 {
	work := 0.0
	for _, sample := range c.Samples() {
		for _, level := range sample.Levels {
			work += level.Refused
		}
	}
	return work
}

// TestOpeningsThatFoundRoomAreNoLongFlows: they count as opened, so that the requests
// on them are not taken for those of flows that were open before.
func TestOpeningsThatFoundRoomAreNoLongFlows(t *testing.T) {
	is := is.New(t)
	c := New(DefaultSettings())
	objective := lb.Objective{Priority: 1, TargetMillis: 400}
	for range 100 {
		c.Opened(0, "web", objective)
		c.Begun(0, "web", objective)
	}
	is.Equal(c.services["web"].held(1), 0.0)
	for range 100 {
		c.Begun(0, "web", objective)
	}
	is.True(c.services["web"].held(1) > 0.4)
}
