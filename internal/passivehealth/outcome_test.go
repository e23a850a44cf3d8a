package passivehealth

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
)

func testFrontend(port uint16) lb.FrontendKey {
	source := netip.MustParseAddrPort("198.51.100.1:1024")
	flow := lb.NewFlowKey(source, netip.AddrPortFrom(netip.MustParseAddr("192.0.2.1"), port), lb.TCP)
	return flow.Frontend()
}

// runExchange sends a request on a flow and closes the flow after an answer of the given size.
func runExchange(observer *Observer, flow lb.FlowID, frontend lb.FrontendKey, identity Identity, bytes uint32) {
	observer.MeasureAnswer(0, flow, frontend, identity, 1000, true, false)
	observer.MeasureAnswer(20*ms, flow, frontend, identity, 1000+bytes, false, true)
}

// badOutcomes returns the number of bad outcomes, and of all outcomes, since the last call.
func badOutcomes(observer *Observer) (bad, all int) {
	outcomes := observer.Outcomes()
	for _, outcome := range outcomes {
		if outcome.Bad {
			bad++
		}
	}
	return bad, len(outcomes)
}

// TestShortAnswersAreBad checks that error responses, which are far shorter than the other answers
// of their front end, are bad outcomes, whether the other answers have one size or many.
func TestShortAnswersAreBad(t *testing.T) {
	for name, size := range map[string]func(*rand.Rand) float64{
		"alike":     func(random *rand.Rand) float64 { return 795 + random.Float64()*20 },
		"lognormal": func(random *rand.Rand) float64 { return 3600 * math.Exp(0.6*random.NormFloat64()) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			observer := New(DefaultSettings())
			random := rand.New(rand.NewPCG(1, 7))
			for flow := range lb.FlowID(2000) {
				runExchange(observer, flow, testFrontend(443), first, uint32(size(random)))
			}
			bad, all := badOutcomes(observer)
			is.Equal(all, 2000)
			is.True(bad <= 2)
			for flow := range lb.FlowID(20) {
				runExchange(observer, flow, testFrontend(443), second, 172)
			}
			bad, _ = badOutcomes(observer)
			is.Equal(bad, 20)
		})
	}
}

// TestMeanFollowsAnswersThatStayShort checks that a front end whose answers have become short does
// not stay bad forever.
func TestMeanFollowsAnswersThatStayShort(t *testing.T) {
	is := is.New(t)
	observer := New(DefaultSettings())
	for flow := range lb.FlowID(500) {
		runExchange(observer, flow, testFrontend(443), first, 800)
	}
	for flow := range lb.FlowID(3000) {
		runExchange(observer, flow, testFrontend(443), first, 200)
	}
	badOutcomes(observer)
	for flow := range lb.FlowID(100) {
		runExchange(observer, flow, testFrontend(443), first, 200)
	}
	bad, _ := badOutcomes(observer)
	is.Equal(bad, 0)
}

// TestFirstAnswersAreNotClassified checks that the first answers of a front end are never bad.
func TestFirstAnswersAreNotClassified(t *testing.T) {
	is := is.New(t)
	observer := New(DefaultSettings())
	for flow, bytes := range []uint32{800, 10000, 700} {
		runExchange(observer, lb.FlowID(flow), testFrontend(443), first, bytes)
	}
	runExchange(observer, 9, testFrontend(80), first, 100) // another front end
	bad, all := badOutcomes(observer)
	is.Equal(bad, 0)
	is.Equal(all, 4)
}

// TestMissingAnswersAreBadUntilTheyArrive also checks that a late answer is a good outcome.
func TestMissingAnswersAreBadUntilTheyArrive(t *testing.T) {
	is := is.New(t)
	observer := New(DefaultSettings())
	serveRequests(observer, 0, first, 20*ms, 100)
	badOutcomes(observer)
	now := 10 * time.Second
	observer.RecordLaterPacket(now, 5000, web, second, 1, true)
	observer.Tick(now + 250*ms)
	_, all := badOutcomes(observer)
	is.Equal(all, 0) // before the timeout
	observer.Tick(now + 400*ms)
	observer.Tick(now + 500*ms)
	bad, all := badOutcomes(observer)
	is.Equal(bad, 1) // reported once
	is.Equal(all, 1)
	observer.RecordLaterPacket(now+600*ms, 5000, web, second, 2, false)
	bad, all = badOutcomes(observer)
	is.Equal(bad, 0)
	is.Equal(all, 1)
}

// TestMissingTimeoutFollowsTheService checks that a slow service gets more time to answer.
func TestMissingTimeoutFollowsTheService(t *testing.T) {
	is := is.New(t)
	observer := New(DefaultSettings())
	serveRequests(observer, 0, first, 200*ms, 100)
	badOutcomes(observer)
	now := 100 * time.Second
	observer.RecordLaterPacket(now, 5000, web, second, 1, true)
	observer.Tick(now + 2*time.Second)
	_, all := badOutcomes(observer)
	is.Equal(all, 0)
}

func TestEjectedBackendsKeepAMinimumWeight(t *testing.T) {
	is := is.New(t)
	observer := New(DefaultSettings())
	observer.SetEjected([]Identity{first})
	is.Equal(observer.Factor(0, web, first), ejectedFactor)
	is.Equal(observer.Factor(0, web, second), 1.0)
	observer.SetEjected([]Identity{})
	is.Equal(observer.Factor(0, web, first), 1.0)
}
