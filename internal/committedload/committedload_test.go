package committedload

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
)

const (
	web       = lb.ServiceName("web")
	ordinary  = uint16(2)
	important = uint16(1)
	work      = 0.04 // seconds per request
	ms        = time.Millisecond
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

// advance feeds the openings and requests before the given time to the tracker, in order.
func (c *clients) advance(until time.Duration) {
	for now := time.Duration(0); now < until; now += ms {
		for id, opened := range c.opened {
			age := now - opened
			if age < 0 || age%c.period >= ms {
				continue
			}
			if age < ms {
				c.tracker.RecordOpening(now, web, ordinary)
			}
			c.tracker.RecordRequest(now, web, ordinary, lb.FlowID(id), work)
		}
	}
}

// TestGrowingFlowsAreForecast checks the forecast for flows that were all opened within 0.2 s: they
// have carried few further requests so far, but will need four slots.
func TestGrowingFlowsAreForecast(t *testing.T) {
	is := is.New(t)
	c := &clients{tracker: New(DefaultSettings()), period: 150 * ms}
	c.open(0, 200*ms, 15)
	c.advance(220 * ms)
	is.True(c.tracker.ExceedsSlots(220*ms, web, ordinary, 3))
	is.True(!c.tracker.ExceedsSlots(220*ms, web, ordinary, 6))
}

// TestSteadyFlowsLeaveCapacity checks the same flows later, with a new one beside them.
func TestSteadyFlowsLeaveCapacity(t *testing.T) {
	is := is.New(t)
	c := &clients{tracker: New(DefaultSettings()), period: 150 * ms}
	c.open(0, 200*ms, 15)
	c.open(2*time.Second, 2*time.Second+ms, 1)
	c.advance(2100 * ms)
	is.True(!c.tracker.ExceedsSlots(2100*ms, web, ordinary, 3.5))
	is.True(c.tracker.ExceedsSlots(2100*ms, web, ordinary, 2))
}

// TestMoreImportantRequestsComeFirst checks that the slots that more important requests need are
// not available to flows.
func TestMoreImportantRequestsComeFirst(t *testing.T) {
	is := is.New(t)
	c := &clients{tracker: New(DefaultSettings()), period: 150 * ms}
	c.open(0, 200*ms, 15)
	for id := range lb.FlowID(200) {
		c.tracker.RecordRequest(time.Duration(id)*5*ms, web, important, 1000+id, 0.05)
	}
	c.advance(time.Second)
	is.True(c.tracker.ExceedsSlots(time.Second, web, ordinary, 6)) // of which the requests need ten
	is.True(!c.tracker.ExceedsSlots(time.Second, web, ordinary, 14))
	is.True(!c.tracker.ExceedsSlots(time.Second, web, important, 6))
}

// TestShortFlowsExceedNothing: clients that open a flow for each request commit no slots.
func TestShortFlowsExceedNothing(t *testing.T) {
	is := is.New(t)
	tracker := New(DefaultSettings())
	for id := range lb.FlowID(500) {
		now := time.Duration(id) * ms
		tracker.RecordOpening(now, web, ordinary)
		tracker.RecordRequest(now, web, ordinary, id, work)
		tracker.CloseFlow(id)
	}
	is.True(!tracker.ExceedsSlots(500*ms, web, ordinary, 1))
}

// TestNothingIsExceededWithoutSlots covers an unknown number of slots, and a service without
// requests.
func TestNothingIsExceededWithoutSlots(t *testing.T) {
	is := is.New(t)
	c := &clients{tracker: New(DefaultSettings()), period: 150 * ms}
	c.open(0, 200*ms, 15)
	c.advance(time.Second)
	is.True(!c.tracker.ExceedsSlots(time.Second, web, ordinary, 0))
	is.True(!c.tracker.ExceedsSlots(time.Second, "docs", ordinary, 1))
}

// TestFlowsOfOtherBalancersAreNoSurge: a balancer that has just started receives requests on flows
// that others admitted, besides a few openings. It must not forecast growth from them.
func TestFlowsOfOtherBalancersAreNoSurge(t *testing.T) {
	is := is.New(t)
	c := &clients{tracker: New(DefaultSettings()), period: 150 * ms}
	for id := range lb.FlowID(15) {
		for now := time.Duration(id) * 10 * ms; now < 250*ms; now += c.period {
			c.tracker.RecordRequest(now, web, ordinary, id, work)
		}
	}
	c.tracker.RecordOpening(240*ms, web, ordinary)
	is.True(!c.tracker.ExceedsSlots(250*ms, web, ordinary, 6))
}

// TestTrackerIsBounded checks that the tracker holds at most MaxFlows flows, and none that ended
// unnoticed or whose service was deleted.
func TestTrackerIsBounded(t *testing.T) {
	is := is.New(t)
	settings := DefaultSettings()
	settings.MaxFlows = 10
	tracker := New(settings)
	for id := range lb.FlowID(50) {
		tracker.RecordRequest(0, web, ordinary, id, work)
	}
	is.Equal(len(tracker.flows), 10)
	tracker.Tick(2 * settings.FlowTimeout)
	is.Equal(len(tracker.flows), 0)
	is.Equal(tracker.find(web, ordinary).flows, 0)
	tracker.RecordRequest(2*settings.FlowTimeout, web, ordinary, 1, work)
	tracker.Forget(func(lb.ServiceName) bool { return false })
	is.Equal(len(tracker.flows)+len(tracker.levels), 0)
}
