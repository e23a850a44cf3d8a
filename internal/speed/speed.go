// Package speed learns which back ends are slow against the others of their
// service, by what all balancers of a fleet see together, and by how much the
// weight of each is to be lowered. One node sees a back end about once a second.
// Nodes sum up how long requests took, over what they take at idle back ends,
// and report the sums of back ends that stand out up the tree over their zone.
// The first nodes of zones tell each other, judge, and tell a step for each slow
// back end down the tree. While none stands out nothing is sent. It is a
// deterministic core without I/O and clock; see docs/design/hosts.md.
package speed

import (
	"math"
	"net/netip"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
	"robinpulley.example/robinpulley/internal/tree"
)

// Identity names a run of a back end, as packets do.
type Identity uint64

// Settings of a core. See DefaultSettings.
type Settings struct {
	Self lb.NodeID
	// Window is the time between two reports of a node, and two judgments.
	Window time.Duration
	// Youth is how long a node that has started reports nothing: it does not know yet
	// what requests take at idle back ends.
	Youth time.Duration
	// HalfLife is the time in which what was seen loses half of its weight.
	HalfLife time.Duration
	// StandsOut is the distance of logarithms from the other back ends of a
	// service at which a node reports one, once it has seen LeastOwn answers.
	StandsOut, LeastOwn float64
	// StandsFar is that distance for a single request.
	StandsFar float64
	// Slow is that distance at which the nodes together take a back end for slow, and
	// Even the one below which it is so no more.
	Slow, Even float64
	// LeastAnswers is how many answers of a back end, and of the others of its
	// service, a judgment rests on.
	LeastAnswers float64
	// Reporters is how many nodes must find it slow, and ReporterTime the time in
	// which a node counts once: one that is slow itself, or lies, slows none down.
	Reporters    float64
	ReporterTime time.Duration
	// HearingTime is how long a back end is watched before it is judged: what is
	// heard before comes from those nodes only that find it slow.
	HearingTime time.Duration
	// Sure is how many nodes that find it slow within ReporterTime make that needless.
	Sure float64
	// Gain is the part of the way to the factor that was seen to be right that is
	// gone in a window: what is seen is half a second old, and all nodes move together.
	Gain float64
	// Least is the lowest factor: some flows go on to it, which show when it has recovered.
	Least float64
	// Forgive is the part of the way back to one that is gone in a window in which
	// nothing was seen.
	Forgive float64
	// Entries bounds the back ends in a message.
	Entries int
	// RenewTime is the time between two messages on a back end of which there is
	// nothing new, and HoldTime how long one that is not renewed holds.
	RenewTime, HoldTime time.Duration
}

// DefaultSettings gives the defaults. The figures are explained where they were
// chosen: docs/design/hosts.md, "Speed".
func DefaultSettings(self lb.NodeID) Settings {
	return Settings{
		Self:         self,
		Window:       200 * time.Millisecond,
		Youth:        5 * time.Second,
		HalfLife:     700 * time.Millisecond,
		StandsOut:    math.Log(2),
		LeastOwn:     3,
		StandsFar:    math.Log(5),
		Slow:         math.Log(3),
		Even:         math.Log(1.5),
		LeastAnswers: 6,
		Reporters:    1.5, // two, as they fade
		ReporterTime: 2 * time.Second,
		HearingTime:  250 * time.Millisecond,
		Sure:         3.5, // four, as they fade
		Gain:         0.5,
		Least:        1.0 / 8,
		Forgive:      1.0 / 16,
		Entries:      24,
		RenewTime:    time.Second,
		HoldTime:     3 * time.Second,
	}
}

// Answer is how long a request at a back end took.
type Answer struct {
	Service  lb.ServiceName
	Identity Identity
	// Log is the natural logarithm of the time over what such a request takes at
	// idle back ends.
	Log float64
}

// Event is one input. At most one field is set; none makes a tick.
type Event struct {
	Answers []Answer
	Place   *tree.Place
	// Services are the back ends that take new flows, by service.
	Services map[lb.ServiceName][]Identity
	Report   *message.SpeedReport
	State    *message.SpeedState
}

// Outgoing is a message to control addresses.
type Outgoing struct {
	To      []netip.AddrPort
	Message message.Message
}

// Change is a back end that is taken for slow from now on, or no longer, by this
// node's own judgment.
type Change struct {
	Identity Identity
	Service  lb.ServiceName
	Slow     bool
	Factor   float64
	// Ratio is how many times as long its requests take as those of the others,
	// Answers how many it rests on, and Reporters how many nodes had found it slow.
	Ratio, Answers, Reporters float64
	// Age is how long ago the newest of it was heard.
	Age time.Duration
}

// Factor is by how much the weight of a back end is to be lowered.
type Factor struct {
	Identity Identity
	Factor   float64
}

// Effects is filled by one Step. The caller reuses it; Step resets it first.
type Effects struct {
	Messages []Outgoing
	// Changed: Factors, of all slow back ends, are others than before.
	Changed bool
	Factors []Factor
	Changes []Change
	// Omitted counts changes that are not in Changes, of which there are a few only.
	Omitted int
}

// Core is the part of one node. It is not safe for concurrent use.
type Core struct {
	settings Settings
	now      time.Duration
	started  bool
	startAt  time.Duration
	place    tree.Place
	own      own
	below    pending
	nextSend time.Duration
	// told are the steps that this node goes by.
	told   map[Identity]told
	sender lb.NodeID
	number uint64
	judge  *judge // used by the first node of a zone
}

// told is a step, and until when it holds.
type told struct {
	step uint8
	till time.Duration
}

// New gives a core that knows nothing.
func New(settings Settings) *Core {
	return &Core{
		settings: settings, own: newOwn(settings), below: newPending(),
		told: make(map[Identity]told), judge: newJudge(settings),
	}
}

// Slow is how many back ends this node gives less for their speed.
func (c *Core) Slow() int {
	count := 0
	for _, known := range c.told {
		if known.step > 0 {
			count++
		}
	}
	return count
}

// Step takes one event at a time that never goes back and fills effects.
func (c *Core) Step(now time.Duration, event *Event, effects *Effects) {
	*effects = Effects{Messages: effects.Messages[:0], Factors: effects.Factors[:0]}
	c.now = max(now, c.now)
	if !c.started {
		c.started = true
		c.startAt = c.now
	}
	switch {
	case event.Answers != nil:
		c.note(event.Answers)
	case event.Place != nil:
		c.place = *event.Place
		c.judge.nodes = c.place.Nodes
	case event.Services != nil:
		c.judge.setServices(event.Services)
	case event.Report != nil:
		c.takeReport(event.Report)
	case event.State != nil:
		c.takeState(event.State, effects)
	default:
		c.tick(effects)
	}
}

func (c *Core) note(answers []Answer) {
	if c.now-c.startAt < c.settings.Youth {
		return
	}
	for index := range answers {
		c.own.note(c.now, &answers[index])
	}
}

// takeReport adds what a node below, or the first of another zone, has reported.
func (c *Core) takeReport(report *message.SpeedReport) {
	switch {
	case !report.Zone:
		c.below.add(report)
	case c.place.First:
		c.judge.hear(c.now, report)
	}
}

// takeState takes what the first node of the zone has judged, and passes it on.
func (c *Core) takeState(state *message.SpeedState, effects *Effects) {
	if c.place.First || state.Sender == c.sender && state.Number <= c.number {
		return
	}
	c.sender, c.number = state.Sender, state.Number
	c.send(c.place.Children, *state, effects)
	c.believe(state.Steps, effects)
}

// believe makes steps this node's own.
func (c *Core) believe(steps []message.BackendStep, effects *Effects) {
	changed := false
	for _, step := range steps {
		identity := Identity(step.Identity)
		changed = changed || c.told[identity].step != step.Step
		c.told[identity] = told{step: step.Step, till: c.now + c.settings.HoldTime}
	}
	if changed {
		c.give(effects)
	}
}

// give fills the factors of the effects.
func (c *Core) give(effects *Effects) {
	effects.Changed = true
	for identity, known := range c.told {
		if known.step > 0 {
			effects.Factors = append(effects.Factors, Factor{Identity: identity, Factor: factorOf(known.step)})
		}
	}
}

// stepsPerHalf is how many steps halve a factor: 19% each.
const stepsPerHalf = 4

func factorOf(step uint8) float64 { return math.Exp2(-float64(step) / stepsPerHalf) }

// stepOf gives the step nearest to the logarithm of a factor.
func stepOf(log float64) uint8 {
	step := math.Round(-log / math.Ln2 * stepsPerHalf)
	return uint8(min(max(step, 0), message.MostSpeedStep))
}

func (c *Core) tick(effects *Effects) {
	c.expire(effects)
	if c.now < c.nextSend {
		return
	}
	c.nextSend = c.now + c.settings.Window
	report := c.below.take(c.settings.Entries)
	c.own.report(c.now, c.watched, report)
	report.Backends = report.Backends[:min(len(report.Backends), c.settings.Entries)]
	switch {
	case c.place.First:
		c.lead(report, effects)
	case len(report.Backends)+len(report.Services) > 0 && c.place.Parent.IsValid():
		c.send([]netip.AddrPort{c.place.Parent}, *report, effects)
	}
}

// watched tells whether all that is seen of a back end is to be reported.
func (c *Core) watched(identity Identity) bool {
	_, found := c.told[identity]
	return found
}

// expire forgets what was not renewed: its sender may be gone, or the back end.
func (c *Core) expire(effects *Effects) {
	changed := false
	for identity, known := range c.told {
		if c.now >= known.till {
			delete(c.told, identity)
			changed = changed || known.step > 0
		}
	}
	if changed {
		c.give(effects)
	}
}

// lead judges by what the zone has reported, and tells the zone.
func (c *Core) lead(report *message.SpeedReport, effects *Effects) {
	if len(report.Backends)+len(report.Services) > 0 {
		c.judge.hear(c.now, report)
		zone := *report
		zone.Zone = true
		c.send(c.place.Heads, zone, effects)
	}
	steps, changes := c.judge.judge(c.now)
	effects.Changes = changes[:min(len(changes), mostChanges)]
	effects.Omitted = len(changes) - len(effects.Changes)
	if len(steps) == 0 {
		return
	}
	c.number++
	c.send(c.place.Children, message.SpeedState{Sender: c.settings.Self, Number: c.number, Steps: steps}, effects)
	c.believe(steps, effects)
}

// mostChanges bounds the changes that are told of in a window.
const mostChanges = 8

func (c *Core) send(to []netip.AddrPort, sent message.Message, effects *Effects) {
	if len(to) > 0 {
		effects.Messages = append(effects.Messages, Outgoing{To: to, Message: sent})
	}
}
