package passivehealth

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
)

const (
	first  = Identity(1)
	second = Identity(2)
	web    = lb.ServiceName("web")
)

const ms = time.Millisecond

func TestUnansweredOpeningMakesBackendUnresponsive(t *testing.T) {
	is := is.New(t)
	observer := New(DefaultSettings())
	observer.RecordOpening(0, 7, first)
	is.Equal(observer.Factor(50*ms, web, first), 1.0)
	observer.Tick(120 * ms)
	is.Equal(observer.Changes(), []Change{{Identity: first, Unresponsive: true, MissingAnswers: 1}})
	is.Equal(len(observer.Changes()), 0)
	is.Equal(observer.Factor(120*ms, web, first), 0.0)
	is.Equal(observer.Factor(120*ms, web, second), 1.0)
	// The back end is retried after the unresponsive time.
	is.Equal(observer.Factor(120*ms+observer.settings.UnresponsiveTime, web, first), 1.0)
}

func TestUnresponsiveTimeDoublesUntilAnAnswer(t *testing.T) {
	is := is.New(t)
	observer := New(DefaultSettings())
	now := time.Duration(0)
	for flow := range lb.FlowID(10) {
		observer.RecordOpening(now, flow, first)
		now += 150 * ms
		observer.Tick(now)
	}
	limit := observer.settings.MaxUnresponsiveTime
	is.Equal(observer.Factor(now+limit-ms, web, first), 0.0)
	is.Equal(observer.Factor(now+limit, web, first), 1.0)
	observer.Changes()
	observer.RecordOpening(now, 99, first)
	observer.RecordLaterPacket(now+3*ms, 99, web, first, 1, false)
	is.Equal(observer.Changes(), []Change{{Identity: first}})
	is.Equal(observer.Factor(now+3*ms, web, first), 1.0)
}

func TestLostOpeningToAResponsiveBackendIsIgnored(t *testing.T) {
	is := is.New(t)
	observer := New(DefaultSettings())
	observer.RecordOpening(0, 1, first)
	observer.RecordOpening(10*ms, 2, first)
	observer.RecordLaterPacket(13*ms, 2, web, first, 1, false)
	observer.Tick(300 * ms)
	is.Equal(observer.Factor(300*ms, web, first), 1.0)
	// The retransmission goes to the same back end.
	identity, placed := observer.PlacedBackend(300*ms, 1)
	is.True(placed)
	is.Equal(identity, first)
}

func TestRetransmittedOpeningLeavesAnUnresponsiveBackend(t *testing.T) {
	is := is.New(t)
	observer := New(DefaultSettings())
	observer.RecordOpening(0, 1, first)
	_, placed := observer.PlacedBackend(50*ms, 1)
	is.True(placed) // before the answer timeout
	_, placed = observer.PlacedBackend(200*ms, 1)
	is.Equal(placed, false)
	observer.RecordOpening(200*ms, 1, second)
	identity, placed := observer.PlacedBackend(250*ms, 1)
	is.True(placed)
	is.Equal(identity, second)
}

// serveRequests makes a back end answer a number of requests, each after the time took, and returns
// the time of the last answer.
func serveRequests(observer *Observer, now time.Duration, identity Identity, took time.Duration, requests int) time.Duration {
	for index := range requests {
		flow := lb.FlowID(identity)<<32 | lb.FlowID(index)
		acknowledged := uint32(index)
		observer.RecordLaterPacket(now, flow, web, identity, acknowledged, true)
		now += took
		observer.RecordLaterPacket(now, flow, web, identity, acknowledged+1, false)
	}
	return now
}

func TestSlowBackendGetsLowerWeightUntilItRecovers(t *testing.T) {
	is := is.New(t)
	observer := New(DefaultSettings())
	now := serveRequests(observer, 0, first, 20*ms, 50)
	now = serveRequests(observer, now, second, 200*ms, 50)
	is.Equal(observer.Factor(now, web, first), 1.0)
	slow := observer.Factor(now, web, second)
	is.True(slow < 0.5 && slow >= minFactor)
	is.Equal(observer.Factor(now+20*time.Second, web, second), 1.0)
	now = serveRequests(observer, now, second, 20*ms, 50)
	is.Equal(observer.Factor(now, web, second), 1.0)
}

// TestSlowdownOfAllBackendsLowersTheirWeights checks that the typical response time rises more
// slowly than the response times of back ends that all become slow together.
func TestSlowdownOfAllBackendsLowersTheirWeights(t *testing.T) {
	is := is.New(t)
	observer := New(DefaultSettings())
	now := serveRequests(observer, 0, first, 20*ms, 200)
	now = serveRequests(observer, now, first, 300*ms, 30)
	is.True(observer.Factor(now, web, first) < 0.6)
}

func TestRetransmittedRequestIsTimedFromItsFirstCopy(t *testing.T) {
	is := is.New(t)
	observer := New(DefaultSettings())
	observer.RecordLaterPacket(0, 1, web, first, 5, true)
	observer.RecordLaterPacket(200*ms, 1, web, first, 5, true)
	observer.RecordLaterPacket(230*ms, 1, web, first, 6, false)
	is.True(math.Abs(observer.backends[first].latency-0.230) < 0.001)
}

func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	settings := DefaultSettings()
	settings.MaxFlows = 100
	observer := New(settings)
	for flow := range lb.FlowID(1000) {
		observer.RecordOpening(0, flow, first)
		observer.RecordLaterPacket(0, flow+5000, web, first, 1, true)
	}
	is.True(len(observer.openings) <= 100 && len(observer.requests) <= 100)
	observer.Tick(10 * time.Second)
	is.Equal(len(observer.openings)+len(observer.requests), 0)
	observer.Forget(func(Identity) bool { return false })
	is.Equal(len(observer.backends), 0)
}

// TestAnswersAndMissingAnswersAreReportedOnce checks that each unanswered opening is reported once,
// with the time at which it was sent, and each answer once.
func TestAnswersAndMissingAnswersAreReportedOnce(t *testing.T) {
	is := is.New(t)
	observer := New(DefaultSettings())
	observer.RecordOpening(10*ms, 7, first)
	observer.RecordOpening(20*ms, 8, second)
	observer.RecordLaterPacket(30*ms, 8, web, second, 1, false)
	is.Equal(observer.Observations(), []Observation{{Identity: second}})
	for now := 40 * ms; now < 400*ms; now += 20 * ms {
		observer.Tick(now)
	}
	is.Equal(observer.Observations(), []Observation{{Identity: first, Missing: true, SentAt: 10 * ms}})
	is.Equal(len(observer.Observations()), 0)
}

// TestInFlightOpeningsAndRequestsAreCounted checks that openings and requests count as in flight
// until they are answered or expire.
func TestInFlightOpeningsAndRequestsAreCounted(t *testing.T) {
	is := is.New(t)
	observer := New(DefaultSettings())
	observer.RecordOpening(0, 1, 7)
	observer.RecordOpening(0, 1, 7) // a retransmission
	observer.RecordOpening(0, 2, 7)
	is.Equal(observer.InFlight(7), 2)
	observer.RecordOpening(0, 2, 8) // a retransmission to another back end
	is.Equal(observer.InFlight(7), 1)
	is.Equal(observer.InFlight(8), 1)
	observer.RecordLaterPacket(time.Millisecond, 1, "web", 7, 10, true)
	is.Equal(observer.InFlight(7), 1) // the request of flow 1
	observer.RecordLaterPacket(50*time.Millisecond, 1, "web", 7, 500, false)
	is.Equal(observer.InFlight(7), 0)
	observer.RecordLaterPacket(60*time.Millisecond, 1, "web", 7, 500, true)
	is.Equal(observer.InFlight(7), 1)
	observer.Tick(10 * time.Second)
	is.Equal(observer.InFlight(7), 0)
	is.Equal(observer.InFlight(8), 0)
}

func TestPendingOpening(t *testing.T) {
	is := is.New(t)
	observer := New(DefaultSettings())
	_, found := observer.PendingBackend(7)
	is.Equal(found, false)
	observer.RecordOpening(0, 7, first)
	identity, found := observer.PendingBackend(7)
	is.True(found)
	is.Equal(identity, first)
	observer.RecordLaterPacket(3*ms, 7, web, first, 1, false)
	_, found = observer.PendingBackend(7)
	is.Equal(found, false)
}

// TestRetransmittedOpeningLeavesABackendThatStoppedAnswering guards against sending all copies of
// an opening to one back end that stopped answering just after the first copy: its last answer is
// then later than that copy.
func TestRetransmittedOpeningLeavesABackendThatStoppedAnswering(t *testing.T) {
	is := is.New(t)
	observer := New(DefaultSettings())
	observer.RecordOpening(0, 1, first)
	observer.RecordOpening(0, 2, first)
	observer.RecordLaterPacket(5*ms, 2, web, first, 1, false)
	observer.RecordOpening(20*ms, 3, first) // also left unanswered
	observer.Tick(150 * ms)
	_, placed := observer.PlacedBackend(200*ms, 1)
	is.Equal(placed, false)
}

// TestSuspect checks that a back end is suspect from a missing answer until its next answer.
func TestSuspect(t *testing.T) {
	is := is.New(t)
	observer := New(DefaultSettings())
	is.True(!observer.IsSuspect(first))
	observer.RecordOpening(0, 1, first)
	observer.Tick(150 * ms)
	is.True(observer.IsSuspect(first))
	is.Equal(observer.Factor(time.Second, web, first), 1.0) // the back end is retried
	is.True(observer.IsSuspect(first))
	observer.RecordLaterPacket(1100*ms, 1, web, first, 1, false)
	is.True(!observer.IsSuspect(first))
}
