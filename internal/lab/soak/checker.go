package soak

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lab/platformsim"
)

// Rule identifies a guarantee that the checker verifies.
type Rule string

// The guarantees that are verified.
const (
	RuleFlow         Rule = "flow"    // an open flow is not reset, moved or unanswered while its host runs
	RuleRunOnce      Rule = "once"    // a request runs at most once, and only if a client sent it
	RuleRoute        Rule = "route"   // a request runs only at services that its front end was routed to
	RuleMixedAnswers Rule = "mixed"   // the answer that a client receives belongs to its request
	RuleForged       Rule = "forged"  // packets arrive unmodified, and every opening has a token
	RuleDrain        Rule = "drain"   // a draining host receives no opening after Bounds.ChangeLimit
	RuleZone         Rule = "zone"    // an evacuated zone receives no opening after Bounds.ChangeLimit
	RuleCold         Rule = "cold"    // a cold host gets at most ColdOpeningsPerSecond in any second
	RuleChange       Rule = "change"  // a route change is in force after Bounds.ChangeLimit and stays
	RuleOpen         Rule = "open"    // an opening is answered unless a recent fault explains the loss
	RuleNotRun       Rule = "not-run" // an opening that a balancer refused reaches no host
	RuleSurge        Rule = "crowd"   // few refusals for load later than SurgeSettleTime after a surge
	RuleRecover      Rule = "recover" // all openings are served within RecoveryLimit of the last fault
	RuleNodeExit     Rule = "exit"    // a balancer exits with code 0 when it is stopped as planned
)

// Violation is one observed breach of a guarantee.
type Violation struct {
	At     time.Time
	Rule   Rule
	Detail string
}

// Version is one version of the routing configuration.
type Version struct {
	Number int
	At     time.Time                 // when the store accepted it
	Routes map[netip.AddrPort]string // service by front end
}

// Opening is the outcome of a client's attempt to open a flow.
type Opening struct {
	Frontend    netip.AddrPort
	SentAt      time.Time
	Node        netip.AddrPort // the node that received the last copy
	ExtraCopies int            // copies that were sent after the first one
	Client      netip.AddrPort // the client's address of the flow
	// RefusedByNode reports whether a balancer, and not a host, refused the opening.
	RefusedByNode bool
	// Service is the service of the host that answered. It is empty if the opening was refused.
	Service string
}

// Checker verifies the guarantees against the events that clients and hosts report. It is safe for
// concurrent use.
type Checker struct {
	bounds Bounds

	mutex              sync.Mutex
	violations         []Violation
	checked            Checked
	versions           []Version
	sentRequests       map[uint64]netip.AddrPort    // front end by request
	executedRequests   map[uint64]string            // host that ran it, by request
	drainingSince      map[string]time.Time         // by host: when the store accepted draining
	evacuatedSince     map[string]time.Time         // by zone: when the store accepted the evacuation
	disturbanceEnds    map[netip.AddrPort]time.Time // by node: when the last fault ended
	activeDisturbances map[netip.AddrPort]int       // active faults by node
	coldOpenings       map[string][]time.Time       // by host: openings in the last second, if cold
	stoppedHosts       map[string]bool              // hosts that no longer serve their flows
	lastHostFault      time.Time                    // when a host last stopped or stalled
	activeSurges       int
	lastSurgeEnd       time.Time
	currentQuietWindow *quietWindow                 // nil outside of quiet windows
	quietWindows       []*quietWindow               // all, including the current one
	reachedHostAt      map[netip.AddrPort]time.Time // by client address: last opening at a host
	refusedAt          map[netip.AddrPort]time.Time // by client address: last refusal
	unanswered         map[Cause]int
}

// Cause is the most likely reason why an opening was not answered.
type Cause string

// The causes, in the order in which they are considered.
const (
	CauseNode  Cause = "its node was disturbed"
	CauseOther Cause = "another node was disturbed"
	CauseHost  Cause = "a host had just gone, or stalled"
	CauseNone  Cause = "no known cause"
)

// NewChecker returns a checker without any recorded events.
func NewChecker(bounds Bounds) *Checker {
	return &Checker{
		bounds:             bounds,
		sentRequests:       make(map[uint64]netip.AddrPort),
		executedRequests:   make(map[uint64]string),
		drainingSince:      make(map[string]time.Time),
		evacuatedSince:     make(map[string]time.Time),
		disturbanceEnds:    make(map[netip.AddrPort]time.Time),
		activeDisturbances: make(map[netip.AddrPort]int),
		coldOpenings:       make(map[string][]time.Time),
		stoppedHosts:       make(map[string]bool),
		reachedHostAt:      make(map[netip.AddrPort]time.Time),
		refusedAt:          make(map[netip.AddrPort]time.Time),
		unanswered:         make(map[Cause]int),
	}
}

// Violations returns the violations found so far.
func (c *Checker) Violations() []Violation {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.Clone(c.violations)
}

// Checked counts how often each guarantee with a time limit was verified.
type Checked struct {
	Routes int // openings through an undisturbed node, while a route had to be in force
	Drains int // openings through an undisturbed node, while the draining of a host had to be in force
	// Evacuations counts openings through an undisturbed node, while the evacuation of a zone had
	// to be in force.
	Evacuations int
	// ColdOpenings counts openings at hosts in their cold start.
	ColdOpenings int
	// Refusals counts openings with a single copy that a balancer refused.
	Refusals int
	// DuringSurge counts refusals during a surge or soon after it. AfterSurge counts openings in
	// the quiet windows that follow a surge.
	DuringSurge, AfterSurge int
	// QuietLoadRefusals counts refusals for load in quiet windows.
	QuietLoadRefusals int
}

// Checked returns how often each guarantee with a time limit was verified.
func (c *Checker) Checked() Checked {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.checked
}

// AddViolation records a violation.
func (c *Checker) AddViolation(now time.Time, rule Rule, format string, values ...any) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.addViolation(now, rule, format, values...)
}

func (c *Checker) addViolation(now time.Time, rule Rule, format string, values ...any) {
	c.violations = append(c.violations, Violation{At: now, Rule: rule, Detail: fmt.Sprintf(format, values...)})
}

// BeginDisturbance records the start of a fault on the nodes. The returned function records its
// end.
func (c *Checker) BeginDisturbance(nodes ...netip.AddrPort) (end func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, node := range nodes {
		c.activeDisturbances[node]++
	}
	return func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		for _, node := range nodes {
			c.activeDisturbances[node]--
			c.disturbanceEnds[node] = time.Now()
		}
	}
}

// undisturbed reports whether no fault affected the node during the last Bounds.UndisturbedTime.
func (c *Checker) undisturbed(now time.Time, node netip.AddrPort) bool {
	return c.activeDisturbances[node] == 0 && now.Sub(c.disturbanceEnds[node]) >= c.bounds.UndisturbedTime
}

// RecordVersion records that the store has accepted a version of the routes.
func (c *Checker) RecordVersion(version Version) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.versions = append(c.versions, version)
}

// RecordDraining records that the store has accepted a host's draining state, or the removal of its
// entry.
func (c *Checker) RecordDraining(now time.Time, host string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.drainingSince[host].IsZero() {
		c.drainingSince[host] = now
	}
}

// RecordEvacuation records that the store has accepted the evacuation of a zone.
func (c *Checker) RecordEvacuation(now time.Time, zone string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.evacuatedSince[zone] = now
}

// RecordRestoration records that the evacuation of a zone is about to end.
func (c *Checker) RecordRestoration(zone string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.evacuatedSince, zone)
}

// RecordHostStop records that a host no longer serves its flows.
func (c *Checker) RecordHostStop(host string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.stoppedHosts[host] = true
	c.lastHostFault = time.Now()
}

// RecordHostStall records that a host answers late from now on: its open flows wait, and an opening
// may remain unanswered if all its copies reach this host before the balancers detect the stall.
func (c *Checker) RecordHostStall() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lastHostFault = time.Now()
}

// RecordUnanswered records an opening that remained unanswered, and the node that received its last
// copy. The copies of an opening may reach different nodes, and a node may have chosen a host that
// had just stopped. If no such fault explains the missing answer, the opening is a violation.
func (c *Checker) RecordUnanswered(now time.Time, node, frontend netip.AddrPort) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	cause := c.causeOf(now, node)
	c.unanswered[cause]++
	if cause == CauseNone {
		c.addViolation(now, RuleOpen, "an opening to %s, last sent to %s, was never answered", frontend, node)
	}
}

func (c *Checker) causeOf(now time.Time, node netip.AddrPort) Cause {
	if !c.undisturbed(now, node) {
		return CauseNode
	}
	for other := range c.disturbanceEnds {
		if !c.undisturbed(now, other) {
			return CauseOther
		}
	}
	for other := range c.activeDisturbances {
		if !c.undisturbed(now, other) {
			return CauseOther
		}
	}
	if now.Sub(c.lastHostFault) < c.bounds.UndisturbedTime {
		return CauseHost
	}
	return CauseNone
}

// Unanswered returns the number of unanswered openings by cause.
func (c *Checker) Unanswered() map[Cause]int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return maps.Clone(c.unanswered)
}

// RecordRequest records a request that a client is about to send.
func (c *Checker) RecordRequest(request uint64, frontend netip.AddrPort) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.sentRequests[request] = frontend
}

// RecordHostEvent records an event at a host and verifies the guarantees that apply to it.
func (c *Checker) RecordHostEvent(event platformsim.HostEvent) {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch event.Kind {
	case platformsim.HostOpening:
		c.checkNotRun(now, &event)
		c.checkDrain(now, &event)
		c.checkZone(now, &event)
		c.checkCold(now, &event)
	case platformsim.HostRequestRan:
		c.checkRun(now, &event)
	}
}

func (c *Checker) checkDrain(now time.Time, event *platformsim.HostEvent) {
	if !c.undisturbed(now, event.Node) {
		return
	}
	for _, since := range c.drainingSince {
		if now.Sub(since) > c.bounds.ChangeLimit {
			c.checked.Drains++
			break
		}
	}
	since, draining := c.drainingSince[event.Host.ID]
	if draining && now.Sub(since) > c.bounds.ChangeLimit {
		c.addViolation(now, RuleDrain, "%s, draining for %s, received an opening of %s from %s",
			event.Host.ID, now.Sub(since).Round(time.Millisecond), event.Client, event.Node)
	}
}

func (c *Checker) checkZone(now time.Time, event *platformsim.HostEvent) {
	if !c.undisturbed(now, event.Node) {
		return
	}
	for zone, since := range c.evacuatedSince {
		if now.Sub(since) <= c.bounds.ChangeLimit {
			continue
		}
		c.checked.Evacuations++
		if zone == event.Host.Zone {
			c.addViolation(now, RuleZone, "%s in %s, evacuated for %s, received an opening of %s from %s",
				event.Host.ID, zone, now.Sub(since).Round(time.Millisecond), event.Client, event.Node)
		}
	}
}

// checkCold verifies the limit of openings at a host in its cold start, for the second that ends
// now. The limit also holds while nodes are disturbed.
func (c *Checker) checkCold(now time.Time, event *platformsim.HostEvent) {
	if c.bounds.ColdOpeningsPerSecond == 0 || !event.Host.IsCold(now) {
		return
	}
	c.checked.ColdOpenings++
	openings := append(c.coldOpenings[event.Host.ID], now)
	for now.Sub(openings[0]) > time.Second {
		openings = openings[1:]
	}
	c.coldOpenings[event.Host.ID] = openings
	if len(openings) > c.bounds.ColdOpeningsPerSecond {
		c.addViolation(now, RuleCold, "%s received %d openings within a second during its cold start", event.Host.ID, len(openings))
	}
}

func (c *Checker) checkRun(now time.Time, event *platformsim.HostEvent) {
	frontend, sent := c.sentRequests[event.Request]
	if !sent || frontend != event.Frontend {
		c.addViolation(now, RuleRunOnce, "%s ran request %d of %s, which nobody sent to %s", event.Host.ID, event.Request, event.Client, event.Frontend)
	}
	if previousHost, repeated := c.executedRequests[event.Request]; repeated {
		c.addViolation(now, RuleRunOnce, "request %d ran at %s and again at %s", event.Request, previousHost, event.Host.ID)
	}
	c.executedRequests[event.Request] = event.Host.ID
	routed := slices.ContainsFunc(c.versions, func(v Version) bool { return v.Routes[event.Frontend] == event.Host.Service })
	if !routed {
		c.addViolation(now, RuleRoute, "%s of %s ran request %d to %s", event.Host.ID, event.Host.Service, event.Request, event.Frontend)
	}
}

// RecordFlowFailure records a failed request on an open flow, and the node that received the last
// packet of the flow. Any failure is allowed after the host has stopped; a missing answer is also
// allowed while that node is disturbed.
func (c *Checker) RecordFlowFailure(now time.Time, host string, node netip.AddrPort, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	noAnswer := errors.Is(err, platformsim.ErrNoAnswer)
	if c.stoppedHosts[host] || noAnswer && !c.undisturbed(now, node) {
		return
	}
	c.addViolation(now, RuleFlow, "a flow of %s by %s: %v", host, node, err)
}

// BeginSurge records that the load exceeds, or may exceed, the capacity of the back ends. The
// returned function records the end of the surge.
func (c *Checker) BeginSurge() (end func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.activeSurges++
	c.currentQuietWindow = nil
	return func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.activeSurges--
		c.lastSurgeEnd = time.Now()
	}
}

// surgeMayRefuse reports whether a surge allows the balancers to refuse openings sent at the given
// time for load.
func (c *Checker) surgeMayRefuse(at time.Time) bool {
	return c.activeSurges > 0 || !c.lastSurgeEnd.IsZero() && (c.bounds.SurgeSettleTime == 0 || at.Sub(c.lastSurgeEnd) < c.bounds.SurgeSettleTime)
}

// refusalCheckWindow is the time after a refusal within which the refused opening must not reach a
// host. It is much longer than the transit time of a packet, and much shorter than the time until
// a client reuses a port.
const refusalCheckWindow = 2 * time.Second

// checkRefusal verifies that a refused opening has not reached a host so far, and records the
// refusal for checkNotRun.
func (c *Checker) checkRefusal(now time.Time, opening *Opening) {
	c.checked.Refusals++
	if at, reached := c.reachedHostAt[opening.Client]; reached && !at.Before(opening.SentAt) {
		c.addViolation(now, RuleNotRun, "an opening of %s, refused by %s, had reached a host", opening.Client, opening.Node)
	}
	c.refusedAt[opening.Client] = now
}

// checkNotRun verifies that an opening at a host has not been refused recently.
func (c *Checker) checkNotRun(now time.Time, event *platformsim.HostEvent) {
	c.reachedHostAt[event.Client] = now
	if at, refused := c.refusedAt[event.Client]; refused && now.Sub(at) < refusalCheckWindow {
		c.addViolation(now, RuleNotRun, "an opening of %s, refused before, reached %s by %s", event.Client, event.Host.ID, event.Node)
	}
}

// RecordOpening records the outcome of an opening. If a single, undisturbed node handled the
// opening, its service must agree with the routes, and a refusal must be due to a surge or is kept
// for ClassifyRefusals.
func (c *Checker) RecordOpening(opening Opening) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if opening.RefusedByNode && opening.ExtraCopies == 0 {
		c.checkRefusal(time.Now(), &opening)
	}
	if opening.ExtraCopies > 0 || !c.undisturbed(time.Now(), opening.Node) {
		return
	}
	allowed := c.allowedServices(opening.SentAt, opening.Frontend)
	if len(allowed) == 0 {
		return
	}
	refused := opening.Service == "" && !slices.Contains(allowed, "")
	if c.surgeMayRefuse(opening.SentAt) {
		if refused {
			c.checked.DuringSurge++
			return
		}
	} else {
		c.recordQuietOpening(&opening, refused)
		if refused {
			return // ClassifyRefusals checks its reason at the end of the run
		}
	}
	c.checked.Routes++
	if !slices.Contains(allowed, opening.Service) {
		c.addViolation(opening.SentAt, RuleChange, "%s to %s was handled by service %q, want one of %q", opening.Node, opening.Frontend, opening.Service, allowed)
	}
}

// allowedServices returns the services that may handle an opening sent at the given time: the
// service of the latest version that must be in force by then, and the services of all later
// versions. An empty service stands for a refusal.
func (c *Checker) allowedServices(sentAt time.Time, frontend netip.AddrPort) []string {
	var services []string
	for _, version := range slices.Backward(c.versions) {
		services = append(services, version.Routes[frontend])
		if sentAt.Sub(version.At) > c.bounds.ChangeLimit {
			return services
		}
	}
	return nil // no version must be in force yet
}
