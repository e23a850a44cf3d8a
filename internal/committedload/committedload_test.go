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
	work = 0.04 // seconds a request
	ms   = time.Millisecond
)

// callers open flows, each of which then brings a request each period.
type callers struct {
	tracker *Tracker
	period  time.Duration
	opened  []time.Duration // when, by flow
}

// open lets in flows evenly over a time.
func (c *callers) open(from, until time.Duration, count int) {
	for index := range count {
		c.opened = append(c.opened, from+(until-from)*time.Duration(index)/time.Duration(count))
	}
}

// play brings the openings and requests before a time, in order.
func (c *callers) play(until time.Duration) {
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

// TestFlowsThatMultiplyAreCountedAsOpen: flows opened within 0.2 s have brought few further requests, and
// are taken for the four slots that they will need.
func TestFlowsThatMultiplyAreCountedAsOpen(t *testing.T) {
	is := is.New(t)
	c := &callers{tracker: New(DefaultSettings()), period: 150 * ms}
	c.open(0, 200*ms, 15)
	c.play(220 * ms)
	is.True(c.tracker.ExceedsSlots(220*ms, web, feed, 3))
	is.True(!c.tracker.ExceedsSlots(220*ms, web, feed, 6))
}

// TestSteadyFlowsLeaveRoom: the same flows later, and a new one beside them.
func TestSteadyFlowsLeaveRoom(t *testing.T) {
	is := is.New(t)
	c := &callers{tracker: New(DefaultSettings()), period: 150 * ms}
	c.open(0, 200*ms, 15)
	c.open(2*time.Second, 2*time.Second+ms, 1)
	c.play(2100 * ms)
	is.True(!c.tracker.ExceedsSlots(2100*ms, web, feed, 3.5))
	is.True(c.tracker.ExceedsSlots(2100*ms, web, feed, 2))
}

// TestMoreImportantRequestsComeFirst: what they need is not there for flows.
func TestMoreImportantRequestsComeFirst(t *testing.T) {
	is := is.New(t)
	c := &callers{tracker: New(DefaultSettings()), period: 150 * ms}
	c.open(0, 200*ms, 15)
	for id := range lb.FlowID(200) {
		c.tracker.RecordRequest(time.Duration(id)*5*ms, web, tap, 1000+id, 0.05)
	}
	c.play(time.Second)
	is.True(c.tracker.ExceedsSlots(time.Second, web, feed, 6)) // ten of them
	is.True(!c.tracker.ExceedsSlots(time.Second, web, feed, 14))
	is.True(!c.tracker.ExceedsSlots(time.Second, web, tap, 6))
}

// TestCallersWhoKeepNoFlowsFillNothing: an opening brings one request only.
func TestCallersWhoKeepNoFlowsFillNothing(t *testing.T) {
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

// TestNothingIsFullWithoutSlots: where they are not known, or nothing was seen.
func TestNothingIsFullWithoutSlots(t *testing.T) {
	is := is.New(t)
	c := &callers{tracker: New(DefaultSettings()), period: 150 * ms}
	c.open(0, 200*ms, 15)
	c.play(time.Second)
	is.True(!c.tracker.ExceedsSlots(time.Second, web, feed, 0))
	is.True(!c.tracker.ExceedsSlots(time.Second, "docs", feed, 1))
}

// TestFlowsThatMoveHereAreNoCrowd: a balancer that has just started sees flows which others
// let in, and a few openings.
func TestFlowsThatMoveHereAreNoCrowd(t *testing.T) {
	is := is.New(t)
	c := &callers{tracker: New(DefaultSettings()), period: 150 * ms}
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
