package passivehealth

import (
	"math"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// Outcome is how a request, or an opening, at a back end went, as far as this
// balancer sees. It is evidence, not proof: package evidence weighs it.
type Outcome struct {
	Identity Identity
	// Bad: no answer came in time, or one much shorter than its front end's
	// answers are, as answers are that tell of an error.
	Bad bool
}

// Outcomes gives those since the last call. It holds until the next call of any method.
func (o *Observer) Outcomes() []Outcome {
	outcomes := o.outcomes
	o.outcomes = o.outcomes[:0]
	return outcomes
}

func (o *Observer) note(identity Identity, bad bool) {
	o.outcomes = append(o.outcomes, Outcome{Identity: identity, Bad: bad})
}

// exchange is a request whose answer's size is not known yet.
type exchange struct {
	identity     Identity
	frontend     lb.FrontendKey
	at           time.Duration
	acknowledged uint32 // when the request began
}

// exchangeTime is how long an answer's size is waited for: it shows with the next
// request of the flow, or with its end.
const exchangeTime = 5 * time.Second

// Exchanging gives the back end that the last request of a flow went to, and the caller's
// acknowledgement with it, while that was a short time ago.
func (o *Observer) Exchanging(flow lb.FlowID) (identity Identity, acknowledged uint32, found bool) {
	known, found := o.exchanges[flow]
	return known.identity, known.acknowledged, found
}

// Reopened notes that a new flow begins with the addresses and ports of a flow.
func (o *Observer) Reopened(flow lb.FlowID) { delete(o.exchanges, flow) }

// Measure takes a later packet of a flow for the size of answers: by how much the
// caller's acknowledgements have advanced when it sends the next request or closes.
func (o *Observer) Measure(now time.Duration, flow lb.FlowID, frontend lb.FrontendKey, identity Identity, acknowledged uint32, hasData, closing bool) {
	known, waiting := o.exchanges[flow]
	if waiting && (hasData || closing) && known.acknowledged != acknowledged {
		delete(o.exchanges, flow)
		waiting = false
		o.note(identity, o.sizesOf(frontend).short(acknowledged-known.acknowledged))
	}
	if hasData && !waiting && len(o.exchanges) < o.settings.MaxFlows {
		o.exchanges[flow] = exchange{identity: identity, frontend: frontend, at: now, acknowledged: acknowledged}
	}
}

func (o *Observer) sizesOf(frontend lb.FrontendKey) *sizes {
	known := o.sizes[frontend]
	if known == nil {
		known = &sizes{}
		o.sizes[frontend] = known
	}
	return known
}

// sizes is what the answers of a front end usually measure: mean and variance of
// the logarithms of their bytes.
type sizes struct {
	count          float64
	mean, variance float64
}

// Figures of short answers. On the users' deployments answers that tell of an error
// have 170 bytes, others 233 at the least, 495 to 3,600 mostly (read off
// acknowledgements of 40,000 requests); logarithms of the latter deviate by 0.6 at most.
const (
	sizeRate = 1.0 / 64 // of the moving mean
	// leastSizes is how many answers are needed to tell which are short. The deviation
	// of so few is not known well: it counts for more, by 1 + fewSizes/count.
	leastSizes = 4
	fewSizes   = 4.0
	// shortDeviations is how many deviations below the mean an answer is short: with
	// lognormal sizes one in 30,000 is.
	shortDeviations = 4
	// shortLeast is by how much the logarithm is below the mean at the least.
	shortLeast = 0.25
	// shortWeight is the part of their weight with which short answers change the
	// mean: a front end whose answers have become short is not bad for ever. Its
	// deviation they leave alone, or a few of them would make room for the others.
	shortWeight = 0.1
)

// short takes the size of an answer, and tells whether it is much shorter than others.
func (s *sizes) short(bytes uint32) bool {
	size := math.Log(float64(bytes))
	few := 1 + fewSizes/max(1, s.count)
	short := s.count >= leastSizes && size < s.mean-max(shortLeast, few*shortDeviations*math.Sqrt(s.variance))
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

// Missing answers.
const (
	// missingRatio is how many times the typical time of its service a request
	// takes until its answer counts as missing. The slowest in a thousand of the
	// users' requests take nine times that while no back end fails.
	missingRatio = 12
	// missingLeast is the least such time: a packet that was lost is sent again
	// after 200 ms, and its answer comes in time.
	missingLeast = 300 * time.Millisecond
)

func (o *Observer) missingTime(service lb.ServiceName) time.Duration {
	return max(missingLeast, time.Duration(missingRatio*o.typical[service]*float64(time.Second)))
}

// sweepRequests notes the answers that are missing, and forgets what is old.
func (o *Observer) sweepRequests(now time.Duration) {
	for flow, pending := range o.requests {
		if now-pending.at > requestTime {
			delete(o.requests, flow)
			o.end(pending.identity)
			continue
		}
		if !pending.overdue && now-pending.at > o.missingTime(pending.service) {
			pending.overdue = true
			o.requests[flow] = pending
			o.note(pending.identity, true)
		}
	}
	for flow, pending := range o.exchanges {
		if now-pending.at > exchangeTime {
			delete(o.exchanges, flow)
		}
	}
}
