// Package overload decides which openings a balancer lets in while the back
// ends of a service have more work than they can do in time. It goes by the part
// that follows from what all balancers see together (package admission), and by the
// time that requests take, as this balancer sees it: the work of the other
// balancers shows in it, so that it holds where nothing is told. Flows
// that are open are never touched. The package has no I/O and no clock. See
// docs/DESIGN.md, "Overload".
package overload

import (
	"math"
	"time"

	"robinpulley.example/robinpulley/internal/admission"
	"robinpulley.example/robinpulley/internal/committedload"
	"robinpulley.example/robinpulley/internal/fleetload"
	"robinpulley.example/robinpulley/internal/lb"
)

// Identity names a run of a back end, as packets do.
type Identity uint64

// Settings of a controller. See DefaultSettings.
type Settings struct {
	// Off lets in everything, and prefers no back end.
	Off bool
	// TargetShare is the part of its target that a request may take: what is
	// left covers the spread of the times.
	TargetShare float64
	// IdleRatio is how many times the time with idle back ends a request may
	// take, whatever its target. SpreadRatio is by how much that rises with the
	// spread of the times, the deviation of their logarithms: what spreads widely
	// is lengthened by chance as well.
	IdleRatio, SpreadRatio float64
	// Memory is the time in which what was seen loses two thirds of its weight.
	// It is longer, up to LongestMemory, where fewer answers than Samples come in it.
	Memory, LongestMemory time.Duration
	Samples               float64
	// ScanInterval is the time between looks at the back ends of a service that
	// is asked for, CalmInterval that of one far from its limit which is not.
	ScanInterval, CalmInterval time.Duration
	// Longest is the time beyond which an answer tells nothing: its request was
	// sent again, or its packets went through another balancer meanwhile.
	Longest time.Duration
	// FallRate and RiseRate are by how much, on the scale of natural
	// logarithms, the admitted part falls a second at a pressure of one above
	// its limit, and rises a second at one below it.
	FallRate, RiseRate float64
	// Damping is by how much, on the same scale, the admitted part is lowered
	// at once at a pressure of one above its limit.
	Damping float64
	// Limit is the pressure up to which the least important class loses nothing.
	Limit float64
	// Step is by how much the limit of a class rises with each class that is
	// less important, so that it is refused later.
	Step float64
	// Least is the part of openings that is let in whatever the pressure, so
	// that there are answers to see when it has gone.
	Least float64
	// FreeLoad is the load below which a back end takes what it is given,
	// however the others do.
	FreeLoad float64
	// LateShare and LateRatio are like TargetShare and IdleRatio, for the loads that
	// nodes tell each other: what all of them see together is known well enough to
	// refuse later than one alone can.
	LateShare, LateRatio float64
	// LateLimit is by how much the limits rise while the fleet's parts are known: a node
	// then decides by its own sight only where that is far beyond chance.
	LateLimit float64
	// CalmLimit is by how much they rise while the fleet is known to be calm: what one node sees of
	// a crowd is then more likely chance, or its news come first, and the crowd passes it soon.
	CalmLimit float64
	// PartsLife is how long the fleet's parts count after the sums they follow from.
	PartsLife time.Duration
	// Fleet are the parameters of the fleet's parts.
	Fleet admission.Settings
	// CommittedLoad are the parameters of the forecast of what open flows bring.
	CommittedLoad committedload.Settings
	// Forget is how long a class counts after its last opening.
	Forget time.Duration

	// Rules that tests take out, to see that they are needed.
	newLevelsFull, plainMean, countQuick, oneService bool
}

// DefaultSettings gives the defaults.
func DefaultSettings() Settings {
	return Settings{
		TargetShare:   0.4,
		IdleRatio:     1.4,
		SpreadRatio:   0.6,
		Memory:        400 * time.Millisecond,
		LongestMemory: 4 * time.Second,
		Samples:       24,
		ScanInterval:  50 * time.Millisecond,
		CalmInterval:  400 * time.Millisecond,
		Longest:       2 * time.Second,
		FallRate:      8,
		RiseRate:      4,
		Damping:       8,
		Limit:         0.9,
		Step:          1.6,
		Least:         0.002,
		FreeLoad:      0.78,
		LateShare:     0.5,
		LateRatio:     3,
		LateLimit:     1.8,
		CalmLimit:     0.3,
		PartsLife:     time.Second,
		Fleet:         admission.DefaultSettings(),
		CommittedLoad: committedload.DefaultSettings(),
		Forget:        5 * time.Second,
	}
}

// Controller is the estimate and the limits of one balancer. It is not safe
// for concurrent use.
type Controller struct {
	settings Settings
	services map[lb.ServiceName]*service
	backends map[Identity]*backend
	changes  []Change
	held     *committedload.Tracker
	// meter adds up what the nodes of the fleet are to know together.
	meter *fleetload.Meter
}

// Change is a service that has become overloaded, or is so no more.
type Change struct {
	Service    lb.ServiceName
	Overloaded bool
	// Pressure is the time that requests take over what they may.
	Pressure float64
	// Priority and Admitted are those of the class that is admitted least.
	Priority uint16
	Admitted float64
	// Refused is how many openings were refused since it became overloaded.
	Refused uint64
}

// New gives a controller that knows nothing and lets in everything.
func New(settings Settings) *Controller {
	return &Controller{
		settings: settings,
		services: make(map[lb.ServiceName]*service),
		backends: make(map[Identity]*backend),
		meter:    fleetload.NewMeter(),
		held:     committedload.New(settings.CommittedLoad),
	}
}

// Samples gives what was seen since the last call, for what the nodes know together.
func (c *Controller) Samples() []fleetload.Sample { return c.meter.Samples() }

// Begun notes that a request was sent on.
func (c *Controller) Begun(now time.Duration, name lb.ServiceName, objective lb.Objective) {
	s := c.service(now, name)
	s.level(objective.Priority, &c.settings).begun++
	c.meter.Begun(name, objective.Priority, s.class(objective).idle.value)
}

// Carried notes that the request which has just begun came on a flow.
func (c *Controller) Carried(now time.Duration, name lb.ServiceName, objective lb.Objective, flow lb.FlowID) {
	c.held.Begun(now, name, objective.Priority, flow, c.service(now, name).class(objective).idle.value)
}

// Closed notes that a flow has ended.
func (c *Controller) Closed(flow lb.FlowID) { c.held.Closed(flow) }

// SetSlots sets this balancer's part of the slots of a service's ready back ends; 0: not known.
func (c *Controller) SetSlots(now time.Duration, name lb.ServiceName, slots float64) {
	c.service(now, name).slots = slots
}

// Full tells whether the open flows that this balancer has let in use up its part of the slots. Where
// the fleet's sums are known, they decide: other balancers' parts may be free.
func (c *Controller) Full(now time.Duration, name lb.ServiceName, objective lb.Objective) bool {
	s := c.service(now, name)
	return !c.settings.Off && !s.told(now, &c.settings) && c.held.Full(now, name, objective.Priority, s.slots)
}

// Answered notes that a back end in a zone has answered a request after the time took.
func (c *Controller) Answered(now time.Duration, name lb.ServiceName, objective lb.Objective, zone lb.Zone, identity Identity, took time.Duration) {
	if c.settings.Off || took > c.settings.Longest {
		return
	}
	s := c.service(now, name)
	s.answers++
	s.answeredAt = now
	b := c.backends[identity]
	if b == nil {
		b = &backend{service: s}
		c.backends[identity] = b
		s.backends[identity] = b
	}
	kind := s.class(objective)
	if !kind.idle.add(now, took.Seconds(), &c.settings) {
		c.meter.Rejected(name, zone)
		return
	}
	load := kind.load(took, &c.settings)
	b.answered(now, load)
	c.meter.Answered(name, zone, math.Log(kind.late(took, &c.settings)))
}

// Load gives how much a back end has to do, from the times that its requests
// take: 1 is as much as it can do in time. known is false without recent answers.
func (c *Controller) Load(now time.Duration, identity Identity) (load float64, known bool) {
	b := c.backends[identity]
	if c.settings.Off || b == nil {
		return 0, false
	}
	return b.load(now)
}

// Crowded tells whether a back end is known to have no room at once for more.
func (c *Controller) Crowded(now time.Duration, identity Identity) bool {
	load, known := c.Load(now, identity)
	return known && load > c.settings.FreeLoad
}

// Prefer tells whether a back end is to be given an opening of a service in
// place of another, which is crowded. One of which nothing is known is taken to
// be as the service is on the mean.
func (c *Controller) Prefer(now time.Duration, name lb.ServiceName, identity, crowded Identity) bool {
	load, known := c.Load(now, identity)
	if !known {
		load = c.service(now, name).pressure
	}
	other, _ := c.Load(now, crowded)
	return load < other
}

// Learn takes what the fleet knows of a service, and the slots of its ready back
// ends; 0: not known.
func (c *Controller) Learn(now time.Duration, name lb.ServiceName, known *fleetload.Service, slots float64) {
	if c.settings.Off {
		return
	}
	s := c.service(now, name)
	s.fleet.Learn(now, known, slots, s.held, &c.settings.Fleet)
	s.toldAt = known.At
}

// Admit tells whether the first copy of an opening may be forwarded to a back
// end. draw is a hash of the opening, uniform over all numbers.
func (c *Controller) Admit(now time.Duration, name lb.ServiceName, objective lb.Objective, identity Identity, draw uint64) bool {
	if c.settings.Off {
		return true
	}
	s := c.service(now, name)
	c.scan(now, s)
	l := s.level(objective.Priority, &c.settings)
	l.seen = now
	if !c.Full(now, name, objective) && c.lets(now, s, l, identity, draw) {
		c.Opened(now, name, objective)
		return true
	}
	c.Refused(now, name, objective)
	return false
}

// lets tells whether an opening is let in.
func (c *Controller) lets(now time.Duration, s *service, l *level, identity Identity, draw uint64) bool {
	load, known := c.Load(now, identity)
	if known && load < c.settings.FreeLoad && !s.toldToRefuse(now, &c.settings) {
		return true
	}
	if !known {
		load = s.pressure
	}
	// One back end alone may be crowded by chance, or by what it is given elsewhere.
	part := s.admitted(now, l, (load+s.pressure)/2, &c.settings)
	return part >= 1 || float64(draw>>11)/(1<<53) < part
}

// Quick tells whether a request that took so long had a back end with room, so
// that there is room where it has ended. One that ended far too soon was refused
// by a back end that is full.
func (c *Controller) Quick(name lb.ServiceName, objective lb.Objective, took time.Duration) bool {
	s := c.services[name]
	if c.settings.Off || s == nil {
		return false
	}
	kind := s.classes[objective]
	if kind == nil || kind.idle.value == 0 || took.Seconds() < quickPart*kind.idle.value {
		return false
	}
	return kind.load(took, &c.settings) < quickLoad
}

// quickLoad is that of a request which waited little at its back end.
const quickLoad = 0.78

// Pressed tells whether a service is near its limit.
func (c *Controller) Pressed(name lb.ServiceName) bool {
	return !c.settings.Off && c.Pressure(name) > calmPressure
}

// Held takes back that an opening was refused, which Admit has just turned away: it
// waits for room, or has found it.
func (c *Controller) Held(now time.Duration, name lb.ServiceName, objective lb.Objective) {
	s := c.service(now, name)
	s.refused--
	s.refusedEver--
	c.meter.Refused(name, objective.Priority, -s.class(objective).idle.value)
}

// Refused notes that an opening is refused for want of room, by Admit or after it waited.
func (c *Controller) Refused(now time.Duration, name lb.ServiceName, objective lb.Objective) {
	s := c.service(now, name)
	s.refused++
	s.refusedEver++
	c.meter.Refused(name, objective.Priority, s.class(objective).idle.value)
}

// Opened notes that an opening is let in, by Admit or where there is room after all.
func (c *Controller) Opened(now time.Duration, name lb.ServiceName, objective lb.Objective) {
	c.service(now, name).level(objective.Priority, &c.settings).opened++
	c.held.Opened(now, name, objective.Priority)
}

// Pressure gives the time that requests of a service take over what they may;
// 0: nothing is known.
func (c *Controller) Pressure(name lb.ServiceName) float64 {
	known := c.services[name]
	if known == nil {
		return 0
	}
	return known.pressure
}

// Tick moves the limits. It is to be called several times a second.
func (c *Controller) Tick(now time.Duration) {
	c.held.Tick(now)
	for name, s := range c.services {
		if s.calm() && now-s.adapted < c.settings.CalmInterval {
			continue
		}
		c.scan(now, s)
		s.adapt(now, &c.settings)
		if change, changed := s.change(now, &c.settings); changed {
			change.Service = name
			c.changes = append(c.changes, change)
		}
	}
}

// scan looks at the back ends of a service, if it is time to.
func (c *Controller) scan(now time.Duration, s *service) {
	if s.scanned > 0 && now-s.scanned < c.settings.ScanInterval {
		return
	}
	s.scanned = now
	s.loads = s.loads[:0]
	for identity, b := range s.backends {
		if seen := b.gather(now); !seen {
			delete(s.backends, identity)
			delete(c.backends, identity)
		}
	}
	s.pressure, s.seen = c.middle(s.loads)
}

// middle is the median of the loads of back ends, and how much was seen of them.
func (c *Controller) middle(loads []weighted) (load, seen float64) {
	if c.settings.plainMean {
		return average(loads)
	}
	return median(loads)
}

// Changes gives what has changed since the last call. It holds until the next Tick.
func (c *Controller) Changes() []Change {
	changes := c.changes
	c.changes = c.changes[:0]
	return changes
}

// Forget drops what is known of back ends and services but those to keep, and of
// objectives that no request has had for long.
func (c *Controller) Forget(now time.Duration, backend func(Identity) bool, service func(lb.ServiceName) bool) {
	for identity, b := range c.backends {
		if !backend(identity) {
			delete(b.service.backends, identity)
			delete(c.backends, identity)
		}
	}
	c.held.Forget(service)
	for name, s := range c.services {
		s.forget(now)
		if !service(name) {
			delete(c.services, name)
		}
	}
}

// Status is what operators see of one service.
type Status struct {
	Service  lb.ServiceName
	Pressure float64
	// Refused counts all refused openings.
	Refused uint64
	Levels  []Level
}

// Level is the admitted part of the openings of one priority.
type Level struct {
	Priority uint16
	Admitted float64
}

// Status gives the state of all services that had openings.
func (c *Controller) Status(now time.Duration) []Status {
	statuses := make([]Status, 0, len(c.services))
	for name, s := range c.services {
		status := Status{Service: name, Pressure: s.pressure, Refused: s.refusedEver}
		for _, l := range s.levels {
			status.Levels = append(status.Levels, Level{Priority: l.priority, Admitted: s.admitted(now, l, s.pressure, &c.settings)})
		}
		statuses = append(statuses, status)
	}
	return statuses
}

func (c *Controller) service(now time.Duration, name lb.ServiceName) *service {
	if c.settings.oneService {
		name = ""
	}
	known := c.services[name]
	if known == nil {
		known = &service{adapted: now, memory: c.settings.Memory}
		known.classes = make(map[lb.Objective]*class)
		known.backends = make(map[Identity]*backend)
		c.services[name] = known
	}
	return known
}
