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

// Rule names a promise.
type Rule string

// The promises that are checked.
const (
	RuleFlow    Rule = "flow"    // an open flow is not reset, moved or left without an answer while its host lives
	RuleOnce    Rule = "once"    // a request runs once at most, and only if it was sent
	RuleRoute   Rule = "route"   // a request runs at a service that its front end named at some time
	RuleMixed   Rule = "mixed"   // an answer belongs to its request
	RuleForged  Rule = "forged"  // packets arrive as they were sent
	RuleDrain   Rule = "drain"   // a draining host gets nothing new after Bounds.Change
	RuleZone    Rule = "zone"    // hosts of an evacuated zone get nothing new after Bounds.Change
	RuleCold    Rule = "cold"    // a host that has just started gets no more than Bounds.ColdOpenings in any second
	RuleChange  Rule = "change"  // a change is in force after Bounds.Change and never reverts
	RuleOpen    Rule = "open"    // an opening is answered, unless a fault has just been there
	RuleNotRun  Rule = "not-run" // an opening that a balancer refused reaches no host
	RuleCrowd   Rule = "crowd"   // next to nothing is refused for load Bounds.Settle after a crowd has gone
	RuleRecover Rule = "recover" // all is served again after Bounds.Recovery
	RuleExit    Rule = "exit"    // no balancer ends by itself
)

// Violation is a promise that was not kept.
type Violation struct {
	At     time.Time
	Rule   Rule
	Detail string
}

// Version is one state of the routes.
type Version struct {
	Number int
	At     time.Time                 // when the store took it
	Routes map[netip.AddrPort]string // service by front end
}

// Opening is how a caller's try to open a flow went.
type Opening struct {
	Front  netip.AddrPort
	SentAt time.Time
	Node   netip.AddrPort // that the only copy went to
	Copies int            // sent besides the first
	Caller netip.AddrPort // the caller's end of the flow
	// ByNode: it was a balancer that refused it.
	ByNode bool
	// Service is that of the host that answered; empty: it was refused.
	Service string
}

// Checker holds what was seen against the promises. It is safe for concurrent use.
type Checker struct {
	bounds Bounds

	mutex      sync.Mutex
	violations []Violation
	checked    Checked
	versions   []Version
	sent       map[uint64]netip.AddrPort // requests, and their front ends
	ran        map[uint64]string         // requests, and the hosts that ran them
	drained    map[string]time.Time      // hosts, and when the store took that they drain
	evacuated  map[string]time.Time      // zones, and when the store took that they are evacuated
	disturbed  map[netip.AddrPort]time.Time
	disturbing map[netip.AddrPort]int // faults under way
	cold       map[string][]time.Time // openings of hosts that have just started, in the last second
	gone       map[string]bool        // hosts that crash, fall silent or end
	lastGone   time.Time
	crowds     int                          // under way
	crowdGone  time.Time                    // when the last one had gone
	calm       *calm                        // under way; nil: none
	calms      []*calm                      // all
	reached    map[netip.AddrPort]time.Time // callers' ends of flows, and when an opening of theirs last reached a host
	refused    map[netip.AddrPort]time.Time // and when one was refused
	unopened   map[Cause]int
}

// Cause is what may have kept an opening from being answered.
type Cause string

// The causes, the nearest first.
const (
	CauseNode  Cause = "its node was disturbed"
	CauseOther Cause = "another node was disturbed"
	CauseHost  Cause = "a host had just gone, or stalled"
	CauseNone  Cause = "no known cause"
)

// NewChecker gives a checker that has seen nothing.
func NewChecker(bounds Bounds) *Checker {
	return &Checker{
		bounds:     bounds,
		sent:       make(map[uint64]netip.AddrPort),
		ran:        make(map[uint64]string),
		drained:    make(map[string]time.Time),
		evacuated:  make(map[string]time.Time),
		disturbed:  make(map[netip.AddrPort]time.Time),
		disturbing: make(map[netip.AddrPort]int),
		cold:       make(map[string][]time.Time),
		gone:       make(map[string]bool),
		reached:    make(map[netip.AddrPort]time.Time),
		refused:    make(map[netip.AddrPort]time.Time),
		unopened:   make(map[Cause]int),
	}
}

// Violations gives what was found so far.
func (c *Checker) Violations() []Violation {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.Clone(c.violations)
}

// Checked counts the checks of the promises that are bound to a time.
type Checked struct {
	Routes int // openings whose node was in touch, while a route had to be in force
	Drains int // openings whose node was in touch, while a host had drained for long
	// Evacuations are openings whose node was in touch, while a zone had been evacuated for long.
	Evacuations int
	// Cold are openings at hosts that had just started.
	Cold int
	// Refusals are those of a balancer to the only copy of an opening.
	Refusals int
	// Crowded are refusals while there was a crowd, and Settled openings after one had gone
	// for long enough.
	Crowded, Settled int
	// Chance are refusals for load while nobody crowded.
	Chance int
}

// Checked gives how often promises were checked that hold for nodes in touch only.
func (c *Checker) Checked() Checked {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.checked
}

// Report notes a violation.
func (c *Checker) Report(now time.Time, rule Rule, format string, values ...any) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.report(now, rule, format, values...)
}

func (c *Checker) report(now time.Time, rule Rule, format string, values ...any) {
	c.violations = append(c.violations, Violation{At: now, Rule: rule, Detail: fmt.Sprintf(format, values...)})
}

// Disturb notes that a fault on the nodes begins. The function notes its end.
func (c *Checker) Disturb(nodes ...netip.AddrPort) (end func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, node := range nodes {
		c.disturbing[node]++
	}
	return func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		for _, node := range nodes {
			c.disturbing[node]--
			c.disturbed[node] = time.Now()
		}
	}
}

// inTouch tells whether the node was undisturbed for Bounds.Contact before now.
func (c *Checker) inTouch(now time.Time, node netip.AddrPort) bool {
	return c.disturbing[node] == 0 && now.Sub(c.disturbed[node]) >= c.bounds.Contact
}

// Changed notes that the store has taken a version of the routes.
func (c *Checker) Changed(version Version) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.versions = append(c.versions, version)
}

// Draining notes that the store has taken that a host drains, or that its entry goes.
func (c *Checker) Draining(now time.Time, host string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.drained[host].IsZero() {
		c.drained[host] = now
	}
}

// Evacuated notes that the store has taken that a zone is evacuated.
func (c *Checker) Evacuated(now time.Time, zone string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.evacuated[zone] = now
}

// Restored notes that a zone is about to be restored.
func (c *Checker) Restored(zone string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.evacuated, zone)
}

// Gone notes that a host does not serve its flows from now on.
func (c *Checker) Gone(host string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.gone[host] = true
	c.lastGone = time.Now()
}

// Stalled notes that a host answers late from now on: its open flows wait, and an opening
// whose copies come to it may go unanswered until the balancers know.
func (c *Checker) Stalled() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lastGone = time.Now()
}

// NotOpened takes an opening that nobody answered, and the node that its last
// copy went to. Copies go to any node, and hosts that have just gone may have
// been chosen; where neither explains it, a promise is broken.
func (c *Checker) NotOpened(now time.Time, node, front netip.AddrPort) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	cause := c.causeOf(now, node)
	c.unopened[cause]++
	if cause == CauseNone {
		c.report(now, RuleOpen, "an opening to %s, last sent to %s, was never answered", front, node)
	}
}

func (c *Checker) causeOf(now time.Time, node netip.AddrPort) Cause {
	if !c.inTouch(now, node) {
		return CauseNode
	}
	for other := range c.disturbed {
		if !c.inTouch(now, other) {
			return CauseOther
		}
	}
	for other := range c.disturbing {
		if !c.inTouch(now, other) {
			return CauseOther
		}
	}
	if now.Sub(c.lastGone) < c.bounds.Contact {
		return CauseHost
	}
	return CauseNone
}

// Unopened counts the openings that nobody answered, by cause.
func (c *Checker) Unopened() map[Cause]int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return maps.Clone(c.unopened)
}

// Sends notes a request that is about to be sent.
func (c *Checker) Sends(request uint64, front netip.AddrPort) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.sent[request] = front
}

// HostSaw takes what a host has seen.
func (c *Checker) HostSaw(event platformsim.HostEvent) {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch event.Kind {
	case platformsim.HostOpening:
		c.checkNotRun(now, &event)
		c.checkDrain(now, &event)
		c.checkZone(now, &event)
		c.checkCold(now, &event)
	case platformsim.HostRan:
		c.checkRun(now, &event)
	}
}

func (c *Checker) checkDrain(now time.Time, event *platformsim.HostEvent) {
	if !c.inTouch(now, event.Node) {
		return
	}
	for _, since := range c.drained {
		if now.Sub(since) > c.bounds.Change {
			c.checked.Drains++
			break
		}
	}
	since, draining := c.drained[event.Host.ID]
	if draining && now.Sub(since) > c.bounds.Change {
		c.report(now, RuleDrain, "%s, draining for %s, got an opening of %s from %s",
			event.Host.ID, now.Sub(since).Round(time.Millisecond), event.Caller, event.Node)
	}
}

func (c *Checker) checkZone(now time.Time, event *platformsim.HostEvent) {
	if !c.inTouch(now, event.Node) {
		return
	}
	for zone, since := range c.evacuated {
		if now.Sub(since) <= c.bounds.Change {
			continue
		}
		c.checked.Evacuations++
		if zone == event.Host.Zone {
			c.report(now, RuleZone, "%s in %s, evacuated for %s, got an opening of %s from %s",
				event.Host.ID, zone, now.Sub(since).Round(time.Millisecond), event.Caller, event.Node)
		}
	}
}

// checkCold counts each span of a second, whatever befalls the nodes meanwhile.
func (c *Checker) checkCold(now time.Time, event *platformsim.HostEvent) {
	if c.bounds.ColdOpenings == 0 || !event.Host.Cold(now) {
		return
	}
	c.checked.Cold++
	openings := append(c.cold[event.Host.ID], now)
	for now.Sub(openings[0]) > time.Second {
		openings = openings[1:]
	}
	c.cold[event.Host.ID] = openings
	if len(openings) > c.bounds.ColdOpenings {
		c.report(now, RuleCold, "%s, cold, got %d openings within a second", event.Host.ID, len(openings))
	}
}

func (c *Checker) checkRun(now time.Time, event *platformsim.HostEvent) {
	front, asked := c.sent[event.Request]
	if !asked || front != event.Front {
		c.report(now, RuleOnce, "%s ran request %d of %s, which nobody sent to %s", event.Host.ID, event.Request, event.Caller, event.Front)
	}
	if before, again := c.ran[event.Request]; again {
		c.report(now, RuleOnce, "request %d ran at %s and again at %s", event.Request, before, event.Host.ID)
	}
	c.ran[event.Request] = event.Host.ID
	named := slices.ContainsFunc(c.versions, func(v Version) bool { return v.Routes[event.Front] == event.Host.Service })
	if !named {
		c.report(now, RuleRoute, "%s of %s ran request %d to %s", event.Host.ID, event.Host.Service, event.Request, event.Front)
	}
}

// FlowEnded takes how a request on an open flow failed, and the node that its
// last packet went to. All is excused when the host is gone, and silence when
// that node is disturbed.
func (c *Checker) FlowEnded(now time.Time, host string, node netip.AddrPort, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	silent := errors.Is(err, platformsim.ErrNoAnswer)
	if c.gone[host] || silent && !c.inTouch(now, node) {
		return
	}
	c.report(now, RuleFlow, "a flow of %s by %s: %v", host, node, err)
}

// Crowd notes that back ends have, or may have, more to do than they can. The function
// notes that it has gone.
func (c *Checker) Crowd() (gone func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.crowds++
	c.calm = nil
	return func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.crowds--
		c.crowdGone = time.Now()
	}
}

// crowded tells whether openings sent at a time may be refused for load.
func (c *Checker) crowded(at time.Time) bool {
	return c.crowds > 0 || !c.crowdGone.IsZero() && (c.bounds.Settle == 0 || at.Sub(c.crowdGone) < c.bounds.Settle)
}

// refusalMemory is how long a refused opening must not reach a host: far longer than a
// packet is on its way, and far shorter than it takes until a caller's port is used again.
const refusalMemory = 2 * time.Second

// checkRefusal holds a refusal against what hosts have seen so far, and remembers it.
func (c *Checker) checkRefusal(now time.Time, opening *Opening) {
	c.checked.Refusals++
	if at, reached := c.reached[opening.Caller]; reached && !at.Before(opening.SentAt) {
		c.report(now, RuleNotRun, "an opening of %s, refused by %s, had reached a host", opening.Caller, opening.Node)
	}
	c.refused[opening.Caller] = now
}

// checkNotRun holds an opening at a host against the refusals so far.
func (c *Checker) checkNotRun(now time.Time, event *platformsim.HostEvent) {
	c.reached[event.Caller] = now
	if at, refused := c.refused[event.Caller]; refused && now.Sub(at) < refusalMemory {
		c.report(now, RuleNotRun, "an opening of %s, refused before, reached %s by %s", event.Caller, event.Host.ID, event.Node)
	}
}

// Opened takes how an opening went. Where it was handled by one node in touch, it is held
// against the routes, and what was refused for load against crowds.
func (c *Checker) Opened(opening Opening) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if opening.ByNode && opening.Copies == 0 {
		c.checkRefusal(time.Now(), &opening)
	}
	if opening.Copies > 0 || !c.inTouch(time.Now(), opening.Node) {
		return
	}
	allowed := c.allowed(opening.SentAt, opening.Front)
	if len(allowed) == 0 {
		return
	}
	refused := opening.Service == "" && !slices.Contains(allowed, "")
	if c.crowded(opening.SentAt) {
		if refused {
			c.checked.Crowded++
			return
		}
	} else {
		c.noteCalm(&opening, refused)
		if refused {
			return // judged by its reason, when that is known
		}
	}
	c.checked.Routes++
	if !slices.Contains(allowed, opening.Service) {
		c.report(opening.SentAt, RuleChange, "%s to %s was handled by service %q, want one of %q", opening.Node, opening.Front, opening.Service, allowed)
	}
}

// allowed gives the services that may handle an opening sent at a time: those of
// the last version that must be in force, and of all later ones.
func (c *Checker) allowed(sentAt time.Time, front netip.AddrPort) []string {
	var services []string
	for _, version := range slices.Backward(c.versions) {
		services = append(services, version.Routes[front])
		if sentAt.Sub(version.At) > c.bounds.Change {
			return services
		}
	}
	return nil // no version has been there for long enough
}
