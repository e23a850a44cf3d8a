package overload

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
)

// TestSpareCapacityAfterAnswer: a request that took about the idle time shows spare capacity at its
// back end. One that queued does not, and one that ended immediately was rejected by a full back
// end.
func TestSpareCapacityAfterAnswer(t *testing.T) {
	is := is.New(t)
	c := New(DefaultSettings())
	objective := lb.Objective{Priority: 1, TargetMillis: 400}
	is.True(!c.HadSpareCapacity("web", objective, 50*time.Millisecond)) // no measurements yet
	for i := range 100 {
		c.RecordAnswer(time.Duration(i)*10*time.Millisecond, "web", objective, "za", 1, 50*time.Millisecond)
	}
	is.True(c.HadSpareCapacity("web", objective, 50*time.Millisecond))
	is.True(!c.HadSpareCapacity("web", objective, 100*time.Millisecond))
	is.True(!c.HadSpareCapacity("web", objective, 2*time.Millisecond))
	is.True(!c.HadSpareCapacity("docs", objective, 50*time.Millisecond))
	off := DefaultSettings()
	off.Off = true
	is.True(!New(off).HadSpareCapacity("web", objective, 50*time.Millisecond))
}

// TestQueuedOpeningIsNotRefused checks that a queued opening is not counted as refused until it is
// refused.
func TestQueuedOpeningIsNotRefused(t *testing.T) {
	is := is.New(t)
	c := New(DefaultSettings())
	objective := lb.Objective{Priority: 1, TargetMillis: 400}
	now := time.Duration(0)
	for i := range 2000 {
		now += 5 * time.Millisecond
		latency := 50 * time.Millisecond
		if i > 500 {
			latency = 350 * time.Millisecond
		}
		c.RecordAnswer(now, "web", objective, "za", Identity(i%10), latency)
		c.Tick(now)
	}
	is.True(c.NearLimit("web"))
	is.True(!c.NearLimit("docs"))
	c.Samples()
	is.True(!c.Admit(now, "web", objective, 1, ^uint64(0)))
	c.CancelRefusal(now, "web", objective)
	is.Equal(c.Status(now)[0].Refused, uint64(0))
	is.Equal(refusedWork(c), 0.0)
	is.True(!c.Admit(now, "web", objective, 1, ^uint64(0)))
	is.Equal(c.Status(now)[0].Refused, uint64(1))
	is.True(refusedWork(c) > 0)
	c.RecordRefusal(now, "web", objective) // after it was queued
	is.Equal(c.Status(now)[0].Refused, uint64(2))
	is.True(refusedWork(c) > 0)
}

// refusedWork returns the refused work that was reported to the fleet since the last call.
func refusedWork(c *Controller) float64 {
	work := 0.0
	for _, sample := range c.Samples() {
		for _, level := range sample.Levels {
			work += level.Refused
		}
	}
	return work
}

// TestOpeningsAdmittedLaterStartNewFlows checks that openings admitted from the queue count as
// opened. Otherwise the requests on them would be mistaken for requests on flows opened earlier.
func TestOpeningsAdmittedLaterStartNewFlows(t *testing.T) {
	is := is.New(t)
	c := New(DefaultSettings())
	objective := lb.Objective{Priority: 1, TargetMillis: 400}
	for range 100 {
		c.RecordAdmission(0, "web", objective)
		c.RecordRequest(0, "web", objective)
	}
	is.Equal(c.services["web"].openFlowShare(1), 0.0)
	for range 100 {
		c.RecordRequest(0, "web", objective)
	}
	is.True(c.services["web"].openFlowShare(1) > 0.4)
}
