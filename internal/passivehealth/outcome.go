package passivehealth

import (
	"math"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// Outcome is the outcome of a request, or of an opening, at a back end, as far as this balancer can
// observe it. A single outcome proves nothing; package outlier evaluates the outcomes of all nodes.
type Outcome struct {
	Identity Identity
	// Bad is set when no answer arrived in time, or when the answer was much shorter than is
	// typical for its front end, as error responses are.
	Bad bool
}

// Outcomes returns the outcomes since the last call. The slice is valid until the next call of any
// method.
func (o *Observer) Outcomes() []Outcome {
	outcomes := o.outcomes
	o.outcomes = o.outcomes[:0]
	return outcomes
}

func (o *Observer) recordOutcome(identity Identity, bad bool) {
	o.outcomes = append(o.outcomes, Outcome{Identity: identity, Bad: bad})
}

// exchange is a request whose answer size is not known yet.
type exchange struct {
	identity     Identity
	frontend     lb.FrontendKey
	at           time.Duration
	acknowledged uint32 // the client's acknowledgement number when the request began
}

// exchangeRetention is how long an exchange is kept: the answer size shows with the next request of
// the flow, or with its end.
const exchangeRetention = 5 * time.Second

// LastRequest returns the back end to which the last request of a flow was forwarded and the
// acknowledgement number of that request, within exchangeRetention of the request.
func (o *Observer) LastRequest(flow lb.FlowID) (identity Identity, acknowledged uint32, found bool) {
	last, found := o.exchanges[flow]
	return last.identity, last.acknowledged, found
}

// RecordNewFlow records that a new flow begins with the same addresses and ports.
func (o *Observer) RecordNewFlow(flow lb.FlowID) { delete(o.exchanges, flow) }

// MeasureAnswer uses a later packet of a flow to measure an answer: its size is the advance of the
// client's acknowledgement number between a request and the next request or the close.
func (o *Observer) MeasureAnswer(now time.Duration, flow lb.FlowID, frontend lb.FrontendKey, identity Identity, acknowledged uint32, hasData, closing bool) {
	last, waiting := o.exchanges[flow]
	if waiting && (hasData || closing) && last.acknowledged != acknowledged {
		delete(o.exchanges, flow)
		waiting = false
		o.recordOutcome(identity, o.answerSizesOf(frontend).addSize(acknowledged-last.acknowledged))
	}
	if hasData && !waiting && len(o.exchanges) < o.settings.MaxFlows {
		o.exchanges[flow] = exchange{identity: identity, frontend: frontend, at: now, acknowledged: acknowledged}
	}
}

func (o *Observer) answerSizesOf(frontend lb.FrontendKey) *answerSizes {
	sizes := o.sizes[frontend]
	if sizes == nil {
		sizes = &answerSizes{}
		o.sizes[frontend] = sizes
	}
	return sizes
}

// answerSizes holds the typical answer size of a front end: mean and variance of the logarithm of
// the size in bytes.
type answerSizes struct {
	count          float64
	mean, variance float64
}

// Parameters for the detection of short answers. Error responses have 170 bytes; other answers have
// at least 233 bytes, and mostly 495 to 3,600 (from the acknowledgements of 40,000 requests). The
// logarithms of the latter have a standard deviation of at most 0.6.
const (
	sizeRate = 1.0 / 64 // smoothing factor of the moving averages
	// minSizes is the number of answers needed before any is classified as short. The deviation of
	// a small sample is uncertain, so it is multiplied by 1 + smallSampleMargin/count.
	minSizes          = 4
	smallSampleMargin = 4.0
	// shortDeviations is the number of standard deviations below the mean at which an answer is
	// short. With lognormal sizes, one in 30,000 is.
	shortDeviations = 4
	// minShortDifference is the minimum difference between the mean and the logarithm of a short
	// answer's size.
	minShortDifference = 0.25
	// shortWeight is the relative weight with which short answers change the mean, so that a front
	// end whose answers have become short does not stay bad forever. Short answers leave the
	// deviation unchanged: otherwise a few of them would widen it so far that further ones no
	// longer counted as short.
	shortWeight = 0.1
)

// addSize adds the size of an answer and reports whether it is much shorter than the answers
// before.
func (s *answerSizes) addSize(bytes uint32) bool {
	size := math.Log(float64(bytes))
	margin := 1 + smallSampleMargin/max(1, s.count)
	short := s.count >= minSizes && size < s.mean-max(minShortDifference, margin*shortDeviations*math.Sqrt(s.variance))
	s.count++
	rate := max(sizeRate, 1/s.count)
	difference := size - s.mean
	if short {
		s.mean += shortWeight * rate * difference
		return true
	}
	s.mean += rate * difference
	if s.count > 1 {
		s.variance += rate * (difference*difference - s.variance)
	}
	return false
}

// Parameters for the detection of missing answers.
const (
	// missingRatio is the multiple of the service's typical response time after which an answer
	// counts as missing. The slowest 0.1 % of requests take 9 times the typical time while no back
	// end fails.
	missingRatio = 12
	// minMissingTime is the minimum time after which an answer counts as missing. A lost packet is
	// retransmitted after 200 ms, and its answer still arrives in time.
	minMissingTime = 300 * time.Millisecond
)

func (o *Observer) missingTimeout(service lb.ServiceName) time.Duration {
	return max(minMissingTime, time.Duration(missingRatio*o.typical[service]*float64(time.Second)))
}

// sweepRequests records missing answers and drops expired requests and exchanges.
func (o *Observer) sweepRequests(now time.Duration) {
	for flow, pending := range o.requests {
		if now-pending.at > requestRetention {
			delete(o.requests, flow)
			o.removeInFlight(pending.identity)
			continue
		}
		if !pending.overdue && now-pending.at > o.missingTimeout(pending.service) {
			pending.overdue = true
			o.requests[flow] = pending
			o.recordOutcome(pending.identity, true)
		}
	}
	for flow, pending := range o.exchanges {
		if now-pending.at > exchangeRetention {
			delete(o.exchanges, flow)
		}
	}
}
