package committedload

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
)

const (
	web  = lb.ServiceName("web")
	feed = uint16(2)
	tap  = uint16(1)
	work = 0.04 // seconds per request
	ms   = time.Millisecond
)

// clients open flows and send one request per period on each of them.
type clients struct {
	tracker *Tracker
	period  time.Duration
	opened  []time.Duration // opening time of each flow
}

// open adds flows with openings that are evenly spread over an interval.
func (c *clients) open(from, until time.Duration, count int) {
	for index := range count {
		c.opened = append(c.opened, from+(until-from)*time.Duration(index)/time.Duration(count))
	}
}

// play feeds the openings and requests before the given time to the tracker, in order.
func (c *clients) play(until time.Duration) {
	for now := time.Duration(0); now < until; now += ms {
		for id, opened := range c.opened {
			age := now - opened
			if age < 0 || age%c.period >= ms {
				continue
			}
			if age < ms {
				c.tracker.RecordOpening(now, web, feed)
			}
			c.tracker.RecordRequest(now, web, feed, lb.FlowID(id), work)
		}
	}
}

// TestGrowingFlowsAreForecast checks the forecast for flows that were all opened within 0.2 s: they
// have carried few further requests so far, but will need four slots.
func TestGrowingFlowsAreForecast(t *testing.T) {
	is := is.New(t)
	c := &clients{tracker: New(DefaultSettings()), period: 150 * ms}
	c.open(0, 200*ms, 15)
	c.play(220 * ms)
	is.True(c.tracker.ExceedsSlots(220*ms, web, feed, 3))
	is.True(!c.tracker.ExceedsSlots(220*ms, web, feed, 6))
}

// TestSteadyFlowsLeaveCapacity checks the same flows later, with a new one beside them.
func TestSteadyFlowsLeaveCapacity(t *testing.T) {
	is := is.New(t)
	c := &clients{tracker: New(DefaultSettings()), period: 150 * ms}
	c.open(0, 200*ms, 15)
	c.open(2*time.Second, 2*time.Second+ms, 1)
	c.play(2100 * ms)
	is.True(!c.tracker.ExceedsSlots(2100*ms, web, feed, 3.5))
	is.True(c.tracker.ExceedsSlots(2100*ms, web, feed, 2))
}

// TestMoreImportantRequestsComeFirst checks that the slots that more important requests need are
// not available to flows.
func TestMoreImportantRequestsComeFirst(t *testing.T) {
	is := is.New(t)
	c := &clients{tracker: New(DefaultSettings()), period: 150 * ms}
	c.open(0, 200*ms, 15)
	for id := range lb.FlowID(200) {
		c.tracker.RecordRequest(time.Duration(id)*5*ms, web, tap, 1000+id, 0.05)
	}
	c.play(time.Second)
	is.True(c.tracker.ExceedsSlots(time.Second, web, feed, 6)) // of which the requests need ten
	is.True(!c.tracker.ExceedsSlots(time.Second, web, feed, 14))
	is.True(!c.tracker.ExceedsSlots(time.Second, web, tap, 6))
}

// TestShortFlowsExceedNothing: clients that open a flow for each request commit no slots.
func TestShortFlowsExceedNothing(t *testing.T) {
	is := is.New(t)
	tracker := New(DefaultSettings())
	for id := range lb.FlowID(500) {
		now := time.Duration(id) * ms
		tracker.RecordOpening(now, web, feed)
		tracker.RecordRequest(now, web, feed, id, work)
		tracker.CloseFlow(id)
	}
	is.True(!tracker.ExceedsSlots(500*ms, web, feed, 1))
}

// TestNothingIsExceededWithoutSlots covers an unknown number of slots, and a service without
// requests.
func TestNothingIsExceededWithoutSlots(t *testing.T) {
	is := is.New(t)
	c := &clients{tracker: New(DefaultSettings()), period: 150 * ms}
	c.open(0, 200*ms, 15)
	c.play(time.Second)
	is.True(!c.tracker.ExceedsSlots(time.Second, web, feed, 0))
	is.True(!c.tracker.ExceedsSlots(time.Second, "docs", feed, 1))
}

// TestTakenOverFlowsAreNoSurge: a balancer that has just started receives requests on flows that
// others admitted, besides a few openings. It must not forecast growth from them.
func TestFlowsOfOtherBalancersAreNoSurge(t *testing.T) {
	is := is.New(t)
	c := &clients{tracker: New(DefaultSettings()), period: 150 * ms}
	for id := range lb.FlowID(15) {
		for now := time.Duration(id) * 10 * ms; now < 250*ms; now += c.period {
			c.tracker.RecordRequest(now, web, feed, id, work)
		}
	}
	c.tracker.RecordOpening(240*ms, web, feed)
	is.True(!c.tracker.ExceedsSlots(250*ms, web, feed, 6))
}

func TestTrackerIsBounded(t *testing.T) {
	is := is.New(t)
	settings := DefaultSettings()
	settings.MaxFlows = 10
	tracker := New(settings)
	for id := range lb.FlowID(50) {
		tracker.RecordRequest(0, web, feed, id, work)
	}
	is.Equal(len(tracker.flows), 10)
	tracker.Tick(2 * settings.FlowTimeout)
	is.Equal(len(tracker.flows), 0)
	is.Equal(tracker.find(web, feed).flows, 0)
	tracker.RecordRequest(2*settings.FlowTimeout, web, feed, 1, work)
	tracker.Forget(func(lb.ServiceName) bool { return false })
	is.Equal(len(tracker.flows)+len(tracker.levels), 0)
}
