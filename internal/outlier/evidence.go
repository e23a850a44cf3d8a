// Package evidence finds out which back ends fail, by what all balancers of a
// fleet see together. One node sees some ten requests a second, too few to judge
// a hundred back ends by; together they see all. Nodes report bad outcomes up a
// tree over their zone, whose first nodes tell each other, judge each back end
// against the others of its service, ask for what speaks for it, and tell the
// verdict down the tree. While nothing fails, nothing is sent. It is a
// deterministic core without I/O and clock; see docs/design/shifted-work.md.
package outlier

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
	// Window is the time between two reports of a node.
	Window time.Duration
	// Youth is how long a node that has started reports nothing: it sees the flows that
	// others had, and the backlog of callers who have waited, and does not know yet
	// what answers usually take.
	Youth time.Duration
	// HalfLife is the time in which evidence loses half of its weight.
	HalfLife time.Duration
	// LeastBad is how many bad outcomes, by as many nodes, make a suspect, and Ratio
	// how many times those of the other back ends of its service, which are taken to
	// have Floor at the least.
	LeastBad, Ratio, Floor float64
	// Reporters is how many nodes must have reported a suspect, so that one bad, slow
	// or restarting node takes none out. A node counts once in ReporterTime.
	Reporters    float64
	ReporterTime time.Duration
	// FailingShare is the part of bad outcomes of a failing back end, and that of a
	// healthy one is what the others of its service have, from LeastHealthy to
	// MostHealthy. A suspect is judged between them by Wald's sequential test on what is
	// heard of it since it is watched: it is avoided when the logarithm of the
	// likelihood ratio reaches Conviction, and cleared when it falls to Clearing.
	FailingShare              float64
	LeastHealthy, MostHealthy float64
	Conviction, Clearing      float64
	// HearingTime is how long a suspect is watched at the least, and RecentHalfLife
	// the half-life of what its service's other back ends are judged by: a trouble of
	// all of them must show before one of them is convicted.
	HearingTime, RecentHalfLife time.Duration
	// AvoidTime is how long it is avoided after its last bad outcome.
	AvoidTime time.Duration
	// MostAvoided is the part of a service's back ends that are avoided at the most.
	MostAvoided float64
	// Suspects bounds those that nodes are asked about at one time, the worst first.
	Suspects int
	// ReportEntries bounds the back ends in a report.
	ReportEntries int
}

// DefaultSettings gives the defaults. The figures are explained where they were
// chosen: docs/design/shifted-work.md, "What nodes know together".
func DefaultSettings(self lb.NodeID) Settings {
	return Settings{
		Self:           self,
		Window:         100 * time.Millisecond,
		Youth:          5 * time.Second,
		HalfLife:       2 * time.Second,
		LeastBad:       1.5, // two, as they fade
		Ratio:          8,
		Floor:          0.2,
		Reporters:      2.5, // one node makes two at the most
		ReporterTime:   2 * time.Second,
		FailingShare:   0.5,
		LeastHealthy:   0.01,
		MostHealthy:    0.2,
		Conviction:     math.Log(3000), // three bad outcomes where others have next to none
		Clearing:       math.Log(1.0 / 20),
		HearingTime:    300 * time.Millisecond,
		RecentHalfLife: 500 * time.Millisecond,
		AvoidTime:      6 * time.Second,
		MostAvoided:    1.0 / 3,
		// A suspect takes eleven bytes of a verdict, which goes to eight nodes every 400 ms:
		// 7 KB a second for 32, half of what a node of a large fleet spends for control.
		Suspects:      32,
		ReportEntries: 32,
	}
}

// Outcome is how a request at a back end went, as this node saw.
type Outcome struct {
	Identity Identity
	Bad      bool
}

// Event is one input. At most one field is set; none makes a tick.
type Event struct {
	Outcomes []Outcome
	Place    *tree.Place
	// Services are the back ends that take new flows, by service.
	Services map[lb.ServiceName][]Identity
	Report   *message.OutcomeReport
	Verdict  *message.OutcomeVerdict
}

// Outgoing is a message to control addresses.
type Outgoing struct {
	To      []netip.AddrPort
	Message message.Message
}

// Change is a back end that is avoided from now on, or no longer, by this node's own judgment.
type Change struct {
	Identity  Identity
	Service   lb.ServiceName
	Ejected   bool
	Bad, Good float64 // outcomes it was judged by
	Reporters float64 // nodes that had reported bad ones
	Others    float64 // bad outcomes of the others of its service, in the mean
}

// Effects is filled by one Step. The caller reuses it; Step resets it first.
type Effects struct {
	Messages []Outgoing
	// Changed: Avoided are others than before.
	Changed bool
	Ejected []Identity
	Changes []Change
}

// Core is the part of one node. It is not safe for concurrent use.
type Core struct {
	settings Settings
	now      time.Duration
	started  bool
	startAt  time.Duration
	place    tree.Place
	pending  pending
	nextSend time.Duration
	watched  map[Identity]bool // of which good outcomes are reported, too

	// What the first node of the zone has told, and when it is void.
	verdict     message.OutcomeVerdict
	verdictTill time.Duration
	avoided     map[Identity]bool

	judge *judge // used by the first node of a zone
}

// New gives a core that knows nothing.
func New(settings Settings) *Core {
	return &Core{
		settings: settings,
		pending:  newPending(),
		watched:  make(map[Identity]bool),
		avoided:  make(map[Identity]bool),
		judge:    newJudge(settings),
	}
}

// EjectedCount is how many back ends this node avoids.
func (c *Core) EjectedCount() int { return len(c.avoided) }

// Step takes one event at a time that never goes back and fills effects.
func (c *Core) Step(now time.Duration, event *Event, effects *Effects) {
	*effects = Effects{Messages: effects.Messages[:0]}
	c.now = max(now, c.now)
	if !c.started {
		c.started = true
		c.startAt = c.now
	}
	switch {
	case event.Outcomes != nil:
		c.note(event.Outcomes)
	case event.Place != nil:
		c.place = *event.Place
		c.judge.nodes = c.place.Nodes
	case event.Services != nil:
		c.judge.setServices(event.Services)
	case event.Report != nil:
		c.takeReport(event.Report)
	case event.Verdict != nil:
		c.takeVerdict(event.Verdict, effects)
	default:
		c.tick(effects)
	}
}

// note counts what this node has seen.
func (c *Core) note(outcomes []Outcome) {
	if c.now-c.startAt < c.settings.Youth {
		return
	}
	for _, outcome := range outcomes {
		c.pending.note(outcome, c.watched[outcome.Identity])
	}
	if c.place.First {
		c.judge.noteOwn(c.now, outcomes)
	}
}

// takeReport adds what a node below, or the first of another zone, has reported.
func (c *Core) takeReport(report *message.OutcomeReport) {
	if !report.Zone {
		c.pending.add(report)
		return
	}
	if c.place.First {
		c.hear(report.Backends)
	}
}

// hear gives what has been reported to the judge.
func (c *Core) hear(entries []message.BackendOutcomes) {
	for _, entry := range entries {
		c.judge.add(c.now, Identity(entry.Identity), entry.Bad, entry.Good, entry.Reporters)
	}
}

// takeVerdict takes what the first node of the zone believes, and passes it on.
func (c *Core) takeVerdict(verdict *message.OutcomeVerdict, effects *Effects) {
	if c.place.First || verdict.Sender == c.verdict.Sender && verdict.Number <= c.verdict.Number {
		return
	}
	c.verdict = *verdict
	c.verdictTill = c.now + verdictTime
	c.send(c.place.Children, *verdict, effects)
	c.believe(verdict, effects)
}

// verdictTime is how long a verdict holds that is not renewed: its sender may be
// gone. They are renewed each verdictInterval while there is something to say.
const (
	verdictTime     = 1500 * time.Millisecond
	verdictInterval = 400 * time.Millisecond
)

// believe makes a verdict this node's own.
func (c *Core) believe(verdict *message.OutcomeVerdict, effects *Effects) {
	clear(c.watched)
	for _, identity := range verdict.Watched {
		c.watched[Identity(identity)] = true
	}
	same := len(verdict.Avoided) == len(c.avoided)
	for _, identity := range verdict.Avoided {
		same = same && c.avoided[Identity(identity)]
	}
	if same {
		return
	}
	clear(c.avoided)
	effects.Changed = true
	effects.Ejected = make([]Identity, 0, len(verdict.Avoided))
	for _, identity := range verdict.Avoided {
		c.avoided[Identity(identity)] = true
		effects.Ejected = append(effects.Ejected, Identity(identity))
	}
}

func (c *Core) tick(effects *Effects) {
	if !c.place.First && c.verdictTill != 0 && c.now >= c.verdictTill {
		c.verdictTill = 0
		c.verdict = message.OutcomeVerdict{} // its sender may count from one again
		c.believe(&message.OutcomeVerdict{}, effects)
	}
	if c.now < c.nextSend {
		return
	}
	c.nextSend = c.now + c.settings.Window
	c.report(effects)
	if c.place.First {
		c.pass(effects)
	}
}

// report sends what waits up the tree, or, from the first node, to the judge and
// the first nodes of the other zones.
func (c *Core) report(effects *Effects) {
	entries := c.pending.take(c.now, c.settings.ReporterTime, c.settings.ReportEntries)
	if len(entries) == 0 {
		return
	}
	if c.place.First {
		c.hear(entries)
		c.send(c.place.Heads, message.OutcomeReport{Zone: true, Backends: entries}, effects)
		return
	}
	if c.place.Parent.IsValid() {
		c.send([]netip.AddrPort{c.place.Parent}, message.OutcomeReport{Backends: entries}, effects)
	}
}

func (c *Core) send(to []netip.AddrPort, sent message.Message, effects *Effects) {
	if len(to) > 0 {
		effects.Messages = append(effects.Messages, Outgoing{To: to, Message: sent})
	}
}

// pass judges, and tells the zone what is believed when that has changed, and again
// and again while there is something to say.
func (c *Core) pass(effects *Effects) {
	verdict, changes := c.judge.judge(c.now)
	if verdict == nil {
		return
	}
	verdict.Sender = c.settings.Self
	effects.Changes = changes
	c.send(c.place.Children, *verdict, effects)
	c.believe(verdict, effects)
}
