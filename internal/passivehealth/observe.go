// Package observe estimates, from the packets that pass one balancer, how its
// back ends do: which leave openings unanswered, and which are slow. Answers go
// straight from back ends to callers, so that only what callers send is seen: an
// opening is answered when the caller's next packet comes, a request when the
// caller acknowledges something new. What it remembers only makes choices
// better; nothing is unsafe without it. It has no I/O and no clock.
package passivehealth

import (
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// Identity names a back end's run, as packets do.
type Identity uint64

// Settings of an observer. See DefaultSettings.
type Settings struct {
	// AnswerTime is how long an answer to an opening may take before it
	// counts as missing.
	AnswerTime time.Duration
	// SilentTime is how long a back end is passed over after a missing answer;
	// it doubles with each further one, up to SilentLimit.
	SilentTime, SilentLimit time.Duration
	// OpeningTime is how long openings are remembered: as long as copies come.
	OpeningTime time.Duration
	// RecoverTime is how fast a slow back end is forgiven while it gets nothing.
	RecoverTime time.Duration
	// MaxFlows bounds the openings, and the requests, that are remembered.
	MaxFlows int
}

// DefaultSettings gives the defaults.
func DefaultSettings() Settings {
	return Settings{
		AnswerTime:  100 * time.Millisecond,
		SilentTime:  400 * time.Millisecond,
		SilentLimit: 4 * time.Second,
		OpeningTime: 1500 * time.Millisecond,
		RecoverTime: 2 * time.Second,
		MaxFlows:    1 << 14,
	}
}

// opening is an opening that was forwarded and not seen answered.
type opening struct {
	identity Identity
	at       time.Duration
	overdue  bool // counted as missing
}

// request is a request whose answer was not seen.
type request struct {
	identity     Identity
	service      lb.ServiceName
	at           time.Duration
	acknowledged uint32
	overdue      bool // noted as missing
}

// health is what is known of one back end.
type health struct {
	aliveAt time.Duration // when it was last seen to answer
	missing int           // answers missing since
	pending int           // openings and requests under way from here
	silent  time.Duration // until when it is passed over
	latency float64       // seconds; moving mean of the time to answer a request
	sampled time.Duration // when latency last changed
}

// Observer is the estimate of one balancer. It is not safe for concurrent use.
type Observer struct {
	settings Settings
	openings map[lb.FlowID]opening
	requests map[lb.FlowID]request
	// exchanges are requests whose answers are to be measured, sizes what answers measure.
	exchanges map[lb.FlowID]exchange
	sizes     map[lb.FrontendKey]*sizes
	outcomes  []Outcome
	// avoided are back ends that the nodes together take for failing.
	avoided  map[Identity]bool
	backends map[Identity]*health
	typical  map[lb.ServiceName]float64 // seconds; what fast answers of a service take
	sweepAt  time.Duration
	changes  []Change
	signs    []Sign
}

// Change is a back end that has fallen silent, or has answered again.
type Change struct {
	Identity Identity
	Silent   bool
	// Missing is how many openings in a row it has left unanswered.
	Missing int
}

// Changes gives what has changed since the last call. It holds until the next call of any method.
func (o *Observer) Changes() []Change {
	changes := o.changes
	o.changes = o.changes[:0]
	return changes
}

// Sign is an answer of a back end, or a missing one to an opening sent at Sent.
type Sign struct {
	Identity Identity
	Missing  bool
	Sent     time.Duration
}

// Signs gives those since the last call. It holds until the next call of any method.
func (o *Observer) Signs() []Sign {
	signs := o.signs
	o.signs = o.signs[:0]
	return signs
}

// New gives an observer that knows nothing.
func New(settings Settings) *Observer {
	return &Observer{
		settings:  settings,
		openings:  make(map[lb.FlowID]opening),
		requests:  make(map[lb.FlowID]request),
		exchanges: make(map[lb.FlowID]exchange),
		sizes:     make(map[lb.FrontendKey]*sizes),
		backends:  make(map[Identity]*health),
		typical:   make(map[lb.ServiceName]float64),
	}
}

func (o *Observer) health(identity Identity) *health {
	known := o.backends[identity]
	if known == nil {
		known = &health{}
		o.backends[identity] = known
	}
	return known
}

// Opened notes that an opening was forwarded to a back end.
func (o *Observer) Opened(now time.Duration, flow lb.FlowID, identity Identity) {
	known, found := o.openings[flow]
	if found && known.identity == identity {
		return // a copy
	}
	if len(o.openings) < o.settings.MaxFlows {
		o.begin(identity)
		if found {
			o.end(known.identity)
		}
		o.openings[flow] = opening{identity: identity, at: now}
	}
}

// Placed gives the back end that an earlier copy of the opening went to, unless
// that one has left it unanswered and nothing has been heard of it since, or has
// left others unanswered that came later.
func (o *Observer) Placed(now time.Duration, flow lb.FlowID) (Identity, bool) {
	known, found := o.openings[flow]
	if !found || now-known.at > o.settings.OpeningTime {
		return 0, false
	}
	o.checkOverdue(now, flow, known)
	if now-known.at >= o.settings.AnswerTime && (o.silentSince(known.identity, known.at) || o.Suspect(known.identity)) {
		return 0, false
	}
	return known.identity, true
}

// Pending gives the back end that the opening of a flow went to, while no later packet has come.
func (o *Observer) Pending(flow lb.FlowID) (Identity, bool) {
	known, found := o.openings[flow]
	return known.identity, found
}

// Suspect tells whether a back end has left an opening unanswered, and nothing was heard of it since.
func (o *Observer) Suspect(identity Identity) bool {
	known := o.backends[identity]
	return known != nil && known.missing > 0
}

// Later notes a later packet of a flow: its back end has answered the opening,
// and, where the packet acknowledges something new, the request before, whose
// time it then gives. hasData tells whether the packet carries some, and begun
// whether a request begins with it.
func (o *Observer) Later(now time.Duration, flow lb.FlowID, service lb.ServiceName, identity Identity, acknowledged uint32, hasData bool) (took time.Duration, answered, begun bool) {
	if pending, found := o.openings[flow]; found {
		delete(o.openings, flow)
		o.end(pending.identity)
		o.alive(now, identity)
	}
	pending, waiting := o.requests[flow]
	switch {
	case waiting && pending.acknowledged != acknowledged:
		delete(o.requests, flow)
		o.end(pending.identity)
		o.alive(now, identity)
		took, answered = now-pending.at, true
		if pending.overdue {
			o.note(identity, false) // it was late only
		}
		o.sample(now, service, identity, took)
		waiting = false
	case !hasData:
		return 0, false, false
	}
	if hasData && !waiting && len(o.requests) < o.settings.MaxFlows {
		o.begin(identity)
		o.requests[flow] = request{identity: identity, service: service, at: now, acknowledged: acknowledged}
		begun = true
	}
	return took, answered, begun
}

// begin and end count what is under way at a back end.
func (o *Observer) begin(identity Identity) { o.health(identity).pending++ }

func (o *Observer) end(identity Identity) {
	if known := o.backends[identity]; known != nil && known.pending > 0 {
		known.pending--
	}
}

// Busy is how many openings and requests that passed this balancer are under way
// at a back end, as far as it sees.
func (o *Observer) Busy(identity Identity) int {
	known := o.backends[identity]
	if known == nil {
		return 0
	}
	return known.pending
}

func (o *Observer) alive(now time.Duration, identity Identity) {
	o.signs = append(o.signs, Sign{Identity: identity})
	known := o.health(identity)
	if known.missing > 0 {
		o.changes = append(o.changes, Change{Identity: identity})
	}
	known.aliveAt = now
	known.missing = 0
	known.silent = 0
}

// silentSince tells whether nothing has been heard of the back end since a time.
func (o *Observer) silentSince(identity Identity, since time.Duration) bool {
	known := o.backends[identity]
	return known == nil || known.aliveAt <= since
}

// checkOverdue counts an answer as missing when its time has passed.
func (o *Observer) checkOverdue(now time.Duration, flow lb.FlowID, pending opening) {
	if pending.overdue || now-pending.at < o.settings.AnswerTime {
		return
	}
	pending.overdue = true
	o.openings[flow] = pending
	if !o.silentSince(pending.identity, pending.at) {
		return // it has answered others: this packet, or its answer, was lost
	}
	o.note(pending.identity, true)
	o.signs = append(o.signs, Sign{Identity: pending.identity, Missing: true, Sent: pending.at})
	known := o.health(pending.identity)
	known.missing++
	if now >= known.silent {
		change := Change{Identity: pending.identity, Silent: true, Missing: known.missing}
		o.changes = append(o.changes, change)
	}
	const maxDoublings = 8
	pause := o.settings.SilentTime << min(known.missing-1, maxDoublings)
	known.silent = max(known.silent, now+min(pause, o.settings.SilentLimit))
}

// sweepInterval is the time between looks at all that is remembered.
const sweepInterval = 50 * time.Millisecond

// Tick counts missing answers and forgets what is old.
func (o *Observer) Tick(now time.Duration) {
	if now < o.sweepAt {
		return
	}
	o.sweepAt = now + sweepInterval
	for flow, pending := range o.openings {
		o.checkOverdue(now, flow, pending)
		if now-pending.at > o.settings.OpeningTime {
			delete(o.openings, flow)
			o.end(pending.identity)
		}
	}
	o.sweepRequests(now)
}

// requestTime is how long an unanswered request is remembered.
const requestTime = 5 * time.Second

// SetEjected sets the back ends that the nodes together take for failing.
func (o *Observer) SetEjected(identities []Identity) {
	o.avoided = make(map[Identity]bool, len(identities))
	for _, identity := range identities {
		o.avoided[identity] = true
	}
}

// Forget drops what is known of all back ends but those to keep.
func (o *Observer) Forget(keep func(Identity) bool) {
	for identity := range o.backends {
		if !keep(identity) {
			delete(o.backends, identity)
		}
	}
}
