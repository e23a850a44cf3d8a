// Package passivehealth estimates the state of back ends from the packets that pass one balancer:
// which back ends leave openings unanswered, and which are slow.
//
// Back ends answer clients directly (direct server return), so a balancer sees only the packets of
// clients. It infers that an opening was answered when the client's next packet arrives, and that a
// request was answered when the client acknowledges new data. The estimates only improve the choice
// of back ends; correctness does not depend on them. The package has no I/O and no clock.
package passivehealth

import (
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// Identity identifies one instance (one start) of a back end, as packets carry it.
type Identity uint64

// Settings are the parameters of an Observer. See DefaultSettings.
type Settings struct {
	// AnswerTimeout is how long an answer to an opening may take before it counts as missing.
	AnswerTimeout time.Duration
	// UnresponsiveTime is how long a back end gets no new flows after a missing answer. The time
	// doubles with each further missing answer, up to MaxUnresponsiveTime.
	UnresponsiveTime, MaxUnresponsiveTime time.Duration
	// OpeningRetention is how long openings are kept: as long as clients retransmit them.
	OpeningRetention time.Duration
	// RecoveryHalfLife is the half-life with which the latency excess of a slow back end decays
	// while it receives no requests.
	RecoveryHalfLife time.Duration
	// MaxFlows bounds the openings that are kept, and likewise the requests.
	MaxFlows int
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		AnswerTimeout:       100 * time.Millisecond,
		UnresponsiveTime:    400 * time.Millisecond,
		MaxUnresponsiveTime: 4 * time.Second,
		OpeningRetention:    1500 * time.Millisecond,
		RecoveryHalfLife:    2 * time.Second,
		MaxFlows:            1 << 14,
	}
}

// opening is an opening that was forwarded and whose answer was not observed yet.
type opening struct {
	identity Identity
	at       time.Duration
	overdue  bool // the answer was recorded as missing
}

// request is a request whose answer was not observed yet.
type request struct {
	identity     Identity
	service      lb.ServiceName
	at           time.Duration
	acknowledged uint32
	overdue      bool // the answer was recorded as missing
}

// backendState holds the observations of one back end.
type backendState struct {
	lastAnswerAt      time.Duration // when an answer was last observed
	missingAnswers    int           // missing answers since lastAnswerAt
	inFlight          int           // openings and requests in flight from this balancer
	unresponsiveUntil time.Duration // the back end gets no new flows until then
	latency           float64       // seconds; moving average of the response time
	sampledAt         time.Duration // when latency was last updated
}

// Observer holds the estimates of one balancer. It is not safe for concurrent use.
type Observer struct {
	settings Settings
	openings map[lb.FlowID]opening
	requests map[lb.FlowID]request
	// exchanges holds requests whose answer size is still to be measured; sizes holds the typical
	// answer sizes.
	exchanges map[lb.FlowID]exchange
	sizes     map[lb.FrontendKey]*answerSizes
	outcomes  []Outcome
	// ejected holds the back ends that outlier detection has ejected.
	ejected      map[Identity]bool
	backends     map[Identity]*backendState
	typical      map[lb.ServiceName]float64 // seconds; response time of fast answers of a service
	nextSweep    time.Duration
	changes      []Change
	observations []Observation
}

// Change records that a back end has become unresponsive, or has answered again.
type Change struct {
	Identity     Identity
	Unresponsive bool
	// MissingAnswers is the number of consecutive openings without an answer.
	MissingAnswers int
}

// Changes returns the changes since the last call. The slice is valid until the next call of any
// method.
func (o *Observer) Changes() []Change {
	changes := o.changes
	o.changes = o.changes[:0]
	return changes
}

// Observation records an answer of a back end, or a missing answer to an opening sent at SentAt.
type Observation struct {
	Identity Identity
	Missing  bool
	SentAt   time.Duration
}

// Observations returns the observations since the last call. The slice is valid until the next call
// of any method.
func (o *Observer) Observations() []Observation {
	observations := o.observations
	o.observations = o.observations[:0]
	return observations
}

// New returns an observer without any observations.
func New(settings Settings) *Observer {
	return &Observer{
		settings:  settings,
		openings:  make(map[lb.FlowID]opening),
		requests:  make(map[lb.FlowID]request),
		exchanges: make(map[lb.FlowID]exchange),
		sizes:     make(map[lb.FrontendKey]*answerSizes),
		backends:  make(map[Identity]*backendState),
		typical:   make(map[lb.ServiceName]float64),
	}
}

func (o *Observer) stateOf(identity Identity) *backendState {
	state := o.backends[identity]
	if state == nil {
		state = &backendState{}
		o.backends[identity] = state
	}
	return state
}

// RecordOpening records that an opening was forwarded to a back end.
func (o *Observer) RecordOpening(now time.Duration, flow lb.FlowID, identity Identity) {
	earlier, found := o.openings[flow]
	if found && earlier.identity == identity {
		return // a retransmission
	}
	if len(o.openings) < o.settings.MaxFlows {
		o.addInFlight(identity)
		if found {
			o.removeInFlight(earlier.identity)
		}
		o.openings[flow] = opening{identity: identity, at: now}
	}
}

// PlacedBackend returns the back end to which an earlier copy of the opening was forwarded. It
// returns false if that back end left the opening unanswered and no answer of it was observed
// since, or if it left later openings unanswered.
func (o *Observer) PlacedBackend(now time.Duration, flow lb.FlowID) (Identity, bool) {
	earlier, found := o.openings[flow]
	if !found || now-earlier.at > o.settings.OpeningRetention {
		return 0, false
	}
	o.checkOverdue(now, flow, earlier)
	if now-earlier.at >= o.settings.AnswerTimeout && (o.noAnswerSince(earlier.identity, earlier.at) || o.IsSuspect(earlier.identity)) {
		return 0, false
	}
	return earlier.identity, true
}

// PendingBackend returns the back end to which the opening of a flow was forwarded, until a later
// packet of the flow arrives.
func (o *Observer) PendingBackend(flow lb.FlowID) (Identity, bool) {
	pending, found := o.openings[flow]
	return pending.identity, found
}

// IsSuspect reports whether a back end has left an opening unanswered and no answer of it was
// observed since.
func (o *Observer) IsSuspect(identity Identity) bool {
	state := o.backends[identity]
	return state != nil && state.missingAnswers > 0
}

// RecordLaterPacket records a later packet of a flow. The packet shows that the back end has
// answered the opening. If it acknowledges new data, the back end has also answered the previous
// request: answered is then true, and took is the response time. hasData must be true if the packet
// carries data. begun is true if a new request begins with the packet.
func (o *Observer) RecordLaterPacket(now time.Duration, flow lb.FlowID, service lb.ServiceName, identity Identity, acknowledged uint32, hasData bool) (took time.Duration, answered, begun bool) {
	if pending, found := o.openings[flow]; found {
		delete(o.openings, flow)
		o.removeInFlight(pending.identity)
		o.recordAnswer(now, identity)
	}
	pending, waiting := o.requests[flow]
	switch {
	case waiting && pending.acknowledged != acknowledged:
		delete(o.requests, flow)
		o.removeInFlight(pending.identity)
		o.recordAnswer(now, identity)
		took, answered = now-pending.at, true
		if pending.overdue {
			o.recordOutcome(identity, false) // the answer was only late
		}
		o.recordLatency(now, service, identity, took)
		waiting = false
	case !hasData:
		return 0, false, false
	}
	if hasData && !waiting && len(o.requests) < o.settings.MaxFlows {
		o.addInFlight(identity)
		o.requests[flow] = request{identity: identity, service: service, at: now, acknowledged: acknowledged}
		begun = true
	}
	return took, answered, begun
}

// addInFlight and removeInFlight count the openings and requests in flight at a back end.
func (o *Observer) addInFlight(identity Identity) { o.stateOf(identity).inFlight++ }

func (o *Observer) removeInFlight(identity Identity) {
	if state := o.backends[identity]; state != nil && state.inFlight > 0 {
		state.inFlight--
	}
}

// InFlight returns the number of openings and requests that passed this balancer and are in flight
// at a back end, as far as the balancer can observe.
func (o *Observer) InFlight(identity Identity) int {
	state := o.backends[identity]
	if state == nil {
		return 0
	}
	return state.inFlight
}

func (o *Observer) recordAnswer(now time.Duration, identity Identity) {
	o.observations = append(o.observations, Observation{Identity: identity})
	state := o.stateOf(identity)
	if state.missingAnswers > 0 {
		o.changes = append(o.changes, Change{Identity: identity})
	}
	state.lastAnswerAt = now
	state.missingAnswers = 0
	state.unresponsiveUntil = 0
}

// noAnswerSince reports whether no answer of the back end was observed after the given time.
func (o *Observer) noAnswerSince(identity Identity, since time.Duration) bool {
	state := o.backends[identity]
	return state == nil || state.lastAnswerAt <= since
}

// checkOverdue counts the answer to an opening as missing when AnswerTimeout has passed and no
// answer of its back end was observed since the opening.
func (o *Observer) checkOverdue(now time.Duration, flow lb.FlowID, pending opening) {
	if pending.overdue || now-pending.at < o.settings.AnswerTimeout {
		return
	}
	pending.overdue = true
	o.openings[flow] = pending
	if !o.noAnswerSince(pending.identity, pending.at) {
		return // the back end has answered other flows: this packet, or its answer, was lost
	}
	o.recordOutcome(pending.identity, true)
	o.observations = append(o.observations, Observation{Identity: pending.identity, Missing: true, SentAt: pending.at})
	state := o.stateOf(pending.identity)
	state.missingAnswers++
	if now >= state.unresponsiveUntil {
		change := Change{Identity: pending.identity, Unresponsive: true, MissingAnswers: state.missingAnswers}
		o.changes = append(o.changes, change)
	}
	const maxDoublings = 8
	duration := o.settings.UnresponsiveTime << min(state.missingAnswers-1, maxDoublings)
	state.unresponsiveUntil = max(state.unresponsiveUntil, now+min(duration, o.settings.MaxUnresponsiveTime))
}

// sweepInterval is the time between two sweeps over all openings and requests.
const sweepInterval = 50 * time.Millisecond

// Tick counts missing answers and drops expired openings, requests and exchanges.
func (o *Observer) Tick(now time.Duration) {
	if now < o.nextSweep {
		return
	}
	o.nextSweep = now + sweepInterval
	for flow, pending := range o.openings {
		o.checkOverdue(now, flow, pending)
		if now-pending.at > o.settings.OpeningRetention {
			delete(o.openings, flow)
			o.removeInFlight(pending.identity)
		}
	}
	o.sweepRequests(now)
}

// requestRetention is how long an unanswered request is kept.
const requestRetention = 5 * time.Second

// SetEjected replaces the set of back ends that outlier detection has ejected.
func (o *Observer) SetEjected(identities []Identity) {
	o.ejected = make(map[Identity]bool, len(identities))
	for _, identity := range identities {
		o.ejected[identity] = true
	}
}

// Forget drops the state of all back ends for which keep returns false.
func (o *Observer) Forget(keep func(Identity) bool) {
	for identity := range o.backends {
		if !keep(identity) {
			delete(o.backends, identity)
		}
	}
}
