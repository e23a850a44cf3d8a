// Package outlier detects failing back ends from the outcomes that all balancers of a fleet observe
// together. One node sees some ten requests a second, too few to evaluate a hundred back ends;
// together the nodes see all requests.
//
// Nodes report bad outcomes up a tree over their zone. The root nodes of the zones exchange the
// reports, compare each back end with the other back ends of its service, request the good outcomes
// of suspects, and publish the verdict down the tree. While nothing fails, no message is sent. Core
// is deterministic and has no I/O and no clock; see docs/design/shifted-work.md.
package outlier

import (
	"math"
	"net/netip"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
	"robinpulley.example/robinpulley/internal/tree"
)

// Identity identifies one instance (one start) of a back end, as packets carry it.
type Identity uint64

// Settings are the parameters of a Core. See DefaultSettings.
type Settings struct {
	Self lb.NodeID
	// Window is the time between two reports of a node.
	Window time.Duration
	// WarmUp is how long a node reports no outcomes after its start: it receives flows that other
	// nodes had before, and the backlog of waiting clients, and has not yet learned the typical
	// response time.
	WarmUp time.Duration
	// HalfLife is the time in which reported outcomes lose half of their weight.
	HalfLife time.Duration
	// A back end becomes a suspect when MinBad bad outcomes were reported, by as many nodes, and
	// when its bad outcomes are at least BaselineRatio times the baseline: the mean of the other
	// back ends of its service, or BaselineFloor if that is more.
	MinBad, BaselineRatio, BaselineFloor float64
	// MinReporters is how many nodes must have reported a suspect before it is ejected, so that a
	// single bad, slow or restarting node ejects no back end. A node counts at most once per
	// ReporterInterval.
	MinReporters     float64
	ReporterInterval time.Duration
	// FailingBadRatio is the assumed ratio of bad outcomes of a failing back end. The assumed ratio
	// of a healthy back end is the ratio of the other back ends of its service, limited to the
	// range from MinHealthyBadRatio to MaxHealthyBadRatio. Wald's sequential probability ratio test
	// decides between the two, on the outcomes reported since the suspect was first watched: the
	// back end is ejected when the logarithm of the likelihood ratio reaches EjectThreshold, and
	// cleared when it falls to ClearThreshold.
	FailingBadRatio                        float64
	MinHealthyBadRatio, MaxHealthyBadRatio float64
	EjectThreshold, ClearThreshold         float64
	// MinWatchTime is how long a suspect is watched before it may be ejected. RecentHalfLife is the
	// half-life of the outcomes from which the healthy ratio is computed. Together they ensure that
	// a failure of all back ends of a service shows before one of them is ejected.
	MinWatchTime, RecentHalfLife time.Duration
	// EjectionTime is how long a back end stays ejected after its last bad outcome.
	EjectionTime time.Duration
	// MaxEjectedFraction is the largest fraction of a service's back ends that may be ejected.
	MaxEjectedFraction float64
	// MaxSuspects bounds the suspects that are watched at one time, starting with the most bad
	// outcomes.
	MaxSuspects int
	// MaxReportEntries bounds the back ends in one report.
	MaxReportEntries int
}

// DefaultSettings returns the default settings. The values are explained in
// docs/design/shifted-work.md, "What nodes know together".
func DefaultSettings(self lb.NodeID) Settings {
	return Settings{
		Self:               self,
		Window:             100 * time.Millisecond,
		WarmUp:             5 * time.Second,
		HalfLife:           2 * time.Second,
		MinBad:             1.5, // two outcomes, less the decay between them
		BaselineRatio:      8,
		BaselineFloor:      0.2,
		MinReporters:       2.5, // one node counts at most twice
		ReporterInterval:   2 * time.Second,
		FailingBadRatio:    0.5,
		MinHealthyBadRatio: 0.01,
		MaxHealthyBadRatio: 0.2,
		EjectThreshold:     math.Log(3000), // three bad outcomes where other back ends have almost none
		ClearThreshold:     math.Log(1.0 / 20),
		MinWatchTime:       300 * time.Millisecond,
		RecentHalfLife:     500 * time.Millisecond,
		EjectionTime:       6 * time.Second,
		MaxEjectedFraction: 1.0 / 3,
		// A suspect takes 11 bytes of a verdict, and a verdict goes to 8 nodes every 400 ms. 32
		// suspects take 7 KB a second, half of the control traffic of a node in a large fleet.
		MaxSuspects:      32,
		MaxReportEntries: 32,
	}
}

// Outcome is the outcome of one request to a back end, as this node observed it.
type Outcome struct {
	Identity Identity
	Bad      bool
}

// Event is one input of a Core. At most one field is set; an event without any is a tick.
type Event struct {
	Outcomes []Outcome
	Place    *tree.Place
	// Services lists the back ends that accept new flows, by service.
	Services map[lb.ServiceName][]Identity
	Report   *message.OutcomeReport
	Verdict  *message.OutcomeVerdict
}

// Outgoing is a message and the control addresses to which it must be sent.
type Outgoing struct {
	To      []netip.AddrPort
	Message message.Message
}

// Change records that this node's own evaluation ejected or restored a back end.
type Change struct {
	Identity  Identity
	Service   lb.ServiceName
	Ejected   bool
	Bad, Good float64 // the outcomes on which the evaluation was based
	Reporters float64 // nodes that reported bad outcomes
	Baseline  float64 // mean of the bad outcomes of the service's other back ends
}

// Effects is the output of one Step. The caller reuses it; Step resets it first.
type Effects struct {
	Messages []Outgoing
	// EjectedChanged is set when the set of ejected back ends differs from the previous one;
	// Ejected then holds the whole new set.
	EjectedChanged bool
	Ejected        []Identity
	Changes        []Change
}

// Core is the outlier detection of one node. It is not safe for concurrent use.
type Core struct {
	settings Settings
	now      time.Duration
	started  bool
	startAt  time.Duration
	place    tree.Place
	pending  pending
	nextSend time.Duration
	watched  map[Identity]bool // back ends whose good outcomes are reported as well

	// The last verdict of the zone's root node, and the time at which it expires.
	verdict       message.OutcomeVerdict
	verdictExpiry time.Duration
	ejected       map[Identity]bool

	detector *detector // used only while this node is the root of its zone
}

// New returns a core without any outcomes.
func New(settings Settings) *Core {
	return &Core{
		settings: settings,
		pending:  newPending(),
		watched:  make(map[Identity]bool),
		ejected:  make(map[Identity]bool),
		detector: newDetector(settings),
	}
}

// EjectedCount returns the number of back ends that this node considers ejected.
func (c *Core) EjectedCount() int { return len(c.ejected) }

// Step processes one event and fills effects. The time must never decrease.
func (c *Core) Step(now time.Duration, event *Event, effects *Effects) {
	*effects = Effects{Messages: effects.Messages[:0]}
	c.now = max(now, c.now)
	if !c.started {
		c.started = true
		c.startAt = c.now
	}
	switch {
	case event.Outcomes != nil:
		c.recordOutcomes(event.Outcomes)
	case event.Place != nil:
		c.place = *event.Place
		c.detector.nodes = c.place.Nodes
	case event.Services != nil:
		c.detector.setServices(event.Services)
	case event.Report != nil:
		c.handleReport(event.Report)
	case event.Verdict != nil:
		c.handleVerdict(event.Verdict, effects)
	default:
		c.tick(effects)
	}
}

// recordOutcomes counts the outcomes that this node observed itself.
func (c *Core) recordOutcomes(outcomes []Outcome) {
	if c.now-c.startAt < c.settings.WarmUp {
		return
	}
	for _, outcome := range outcomes {
		c.pending.record(outcome, c.watched[outcome.Identity])
	}
	if c.place.IsRoot {
		c.detector.recordOwnOutcomes(c.now, outcomes)
	}
}

// handleReport adds a report of a child node, or of the root node of another zone.
func (c *Core) handleReport(report *message.OutcomeReport) {
	if !report.WholeZone {
		c.pending.add(report)
		return
	}
	if c.place.IsRoot {
		c.addToDetector(report.Backends)
	}
}

// addToDetector passes reported outcomes to the detector.
func (c *Core) addToDetector(entries []message.BackendOutcomes) {
	for _, entry := range entries {
		c.detector.add(c.now, Identity(entry.Identity), entry.Bad, entry.Good, entry.NewReporters)
	}
}

// handleVerdict applies a verdict of the zone's root node and forwards it to the children.
func (c *Core) handleVerdict(verdict *message.OutcomeVerdict, effects *Effects) {
	if c.place.IsRoot || verdict.Sender == c.verdict.Sender && verdict.Sequence <= c.verdict.Sequence {
		return
	}
	c.verdict = *verdict
	c.verdictExpiry = c.now + verdictTTL
	c.send(c.place.Children, *verdict, effects)
	c.applyVerdict(verdict, effects)
}

// verdictTTL is how long a verdict holds unless it is renewed, since its sender may have failed.
// The root renews it each verdictInterval while any back end is watched or ejected.
const (
	verdictTTL      = 1500 * time.Millisecond
	verdictInterval = 400 * time.Millisecond
)

// applyVerdict replaces the watched and ejected back ends of this node with the lists of the
// verdict.
func (c *Core) applyVerdict(verdict *message.OutcomeVerdict, effects *Effects) {
	clear(c.watched)
	for _, identity := range verdict.Watched {
		c.watched[Identity(identity)] = true
	}
	unchanged := len(verdict.Ejected) == len(c.ejected)
	for _, identity := range verdict.Ejected {
		unchanged = unchanged && c.ejected[Identity(identity)]
	}
	if unchanged {
		return
	}
	clear(c.ejected)
	effects.EjectedChanged = true
	effects.Ejected = make([]Identity, 0, len(verdict.Ejected))
	for _, identity := range verdict.Ejected {
		c.ejected[Identity(identity)] = true
		effects.Ejected = append(effects.Ejected, Identity(identity))
	}
}

func (c *Core) tick(effects *Effects) {
	if !c.place.IsRoot && c.verdictExpiry != 0 && c.now >= c.verdictExpiry {
		c.verdictExpiry = 0
		c.verdict = message.OutcomeVerdict{} // a restarted sender numbers its verdicts from one again
		c.applyVerdict(&message.OutcomeVerdict{}, effects)
	}
	if c.now < c.nextSend {
		return
	}
	c.nextSend = c.now + c.settings.Window
	c.report(effects)
	if c.place.IsRoot {
		c.publishVerdict(effects)
	}
}

// report sends the pending outcomes to the parent. The root node passes them to its own detector
// and sends them to the root nodes of the other zones.
func (c *Core) report(effects *Effects) {
	entries := c.pending.drain(c.now, c.settings.ReporterInterval, c.settings.MaxReportEntries)
	if len(entries) == 0 {
		return
	}
	if c.place.IsRoot {
		c.addToDetector(entries)
		c.send(c.place.OtherRoots, message.OutcomeReport{WholeZone: true, Backends: entries}, effects)
		return
	}
	if c.place.Parent.IsValid() {
		c.send([]netip.AddrPort{c.place.Parent}, message.OutcomeReport{Backends: entries}, effects)
	}
}

func (c *Core) send(to []netip.AddrPort, payload message.Message, effects *Effects) {
	if len(to) > 0 {
		effects.Messages = append(effects.Messages, Outgoing{To: to, Message: payload})
	}
}

// publishVerdict evaluates the reports and sends the verdict to the zone when it has changed, and
// repeatedly while any back end is watched or ejected.
func (c *Core) publishVerdict(effects *Effects) {
	verdict, changes := c.detector.evaluate(c.now)
	if verdict == nil {
		return
	}
	verdict.Sender = c.settings.Self
	effects.Changes = changes
	c.send(c.place.Children, *verdict, effects)
	c.applyVerdict(verdict, effects)
}
