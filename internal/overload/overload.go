// Package overload implements overload control: while the back ends of a service receive more work
// than they can complete in time, it decides which openings a balancer admits. The decision
// combines two inputs: the admission rates that follow from the load reports of all balancers
// (package admission), and the response times that this balancer measures itself. Since the work of
// the other balancers lengthens those times too, the second input works without any reports. Open
// flows are never affected. The package has no I/O and no clock. See docs/DESIGN.md, "Overload".
package overload

import (
	"math"
	"time"

	"robinpulley.example/robinpulley/internal/admission"
	"robinpulley.example/robinpulley/internal/committedload"
	"robinpulley.example/robinpulley/internal/fleetload"
	"robinpulley.example/robinpulley/internal/lb"
)

// Identity identifies an instance of a back end (one start of it), as packets carry it.
type Identity uint64

// Settings are the parameters of a controller. See DefaultSettings.
type Settings struct {
	// Off disables overload control: the controller admits every opening and reports no back end as
	// overloaded.
	Off bool
	// TargetShare is the fraction of its target that a request may take; the rest is a margin for
	// the spread of response times.
	TargetShare float64
	// IdleRatio is the maximum response time as a multiple of the response time of idle back ends,
	// whatever the target is. SpreadRatio is the increase of that multiple per unit of the standard
	// deviation of the logarithms of the response times: where times vary widely, chance alone
	// lengthens some of them.
	IdleRatio, SpreadRatio float64
	// AveragingTime is the time constant of the exponential decay of measurements: a measurement
	// loses two thirds of its weight in it. It is extended, up to MaxAveragingTime, where fewer
	// than TargetSamples answers arrive in it.
	AveragingTime, MaxAveragingTime time.Duration
	TargetSamples                   float64
	// ScanInterval is the interval between evaluations of the back ends of a service that receives
	// openings. CalmInterval is the interval for a service that receives none and is far from its
	// limit.
	ScanInterval, CalmInterval time.Duration
	// MaxAnswerTime is the maximum response time that is evaluated. A longer one has no meaning:
	// the request was retransmitted, or some of its packets went through another balancer.
	MaxAnswerTime time.Duration
	// FallRate is the decrease per second of the admission rate, on a natural logarithmic scale,
	// while the pressure is one above its limit. RiseRate is the increase per second while it is
	// one below.
	FallRate, RiseRate float64
	// Damping is the immediate reduction of the admission rate, on the same scale, at a pressure of
	// one above its limit.
	Damping float64
	// Limit is the pressure up to which no opening of the least important priority is refused.
	Limit float64
	// PriorityStep is the increase of a priority's limit for each less important priority in use,
	// so that the more important priority is refused later.
	PriorityStep float64
	// MinAdmissionRate is the fraction of openings that is admitted at any pressure. Without it
	// there would be no answers that show the end of an overload.
	MinAdmissionRate float64
	// FreeLoad is the load below which a back end receives openings regardless of the load of the
	// others.
	FreeLoad float64
	// FleetTargetShare and FleetIdleRatio correspond to TargetShare and IdleRatio, for the loads
	// that the balancers report to each other. The sum of all reports is more precise than the
	// measurements of one balancer, so it can be allowed to refuse later.
	FleetTargetShare, FleetIdleRatio float64
	// FleetLimitRise is added to the limits while the fleet's admission rates refuse openings. The
	// balancer's own measurements then decide only if they exceed the limit by far more than chance
	// explains.
	FleetLimitRise float64
	// CalmLimitRise is added to the limits while the fleet's load is known to be low. An overload
	// that only one balancer measures is then probably chance, or it precedes the reports about it,
	// which follow shortly.
	CalmLimitRise float64
	// FleetRatesTimeout is how long the fleet's admission rates are valid after the time of the
	// reports that they were computed from.
	FleetRatesTimeout time.Duration
	// Fleet are the parameters of the computation of the fleet's admission rates.
	Fleet admission.Settings
	// CommittedLoad are the parameters of the forecast of the work on open flows.
	CommittedLoad committedload.Settings
	// PriorityTimeout is how long a priority counts as in use after its last opening.
	PriorityTimeout time.Duration

	// These switch off one rule each. Tests use them to show that the rule is needed.
	newLevelsAdmitAll, useMean, countRejections, mergeServices bool
}

// DefaultSettings returns the default parameters.
func DefaultSettings() Settings {
	return Settings{
		TargetShare:       0.4,
		IdleRatio:         1.4,
		SpreadRatio:       0.6,
		AveragingTime:     400 * time.Millisecond,
		MaxAveragingTime:  4 * time.Second,
		TargetSamples:     24,
		ScanInterval:      50 * time.Millisecond,
		CalmInterval:      400 * time.Millisecond,
		MaxAnswerTime:     2 * time.Second,
		FallRate:          8,
		RiseRate:          4,
		Damping:           8,
		Limit:             0.9,
		PriorityStep:      1.6,
		MinAdmissionRate:  0.002,
		FreeLoad:          0.78,
		FleetTargetShare:  0.5,
		FleetIdleRatio:    3,
		FleetLimitRise:    1.8,
		CalmLimitRise:     0.3,
		FleetRatesTimeout: time.Second,
		Fleet:             admission.DefaultSettings(),
		CommittedLoad:     committedload.DefaultSettings(),
		PriorityTimeout:   5 * time.Second,
	}
}

// Controller holds the load estimates and the admission rates of one balancer. It is not safe for
// concurrent use.
type Controller struct {
	settings  Settings
	services  map[lb.ServiceName]*service
	backends  map[Identity]*backend
	changes   []Change
	committed *committedload.Tracker
	// meter collects what this balancer reports to the fleet.
	meter *fleetload.Meter
}

// Change reports that a service has become overloaded, or is no longer overloaded.
type Change struct {
	Service    lb.ServiceName
	Overloaded bool
	// Pressure is the ratio of the response times to the allowed response time.
	Pressure float64
	// Priority is the priority with the lowest admission rate, and AdmissionRate is this rate.
	Priority      uint16
	AdmissionRate float64
	// Refused is the number of openings refused since the service became overloaded.
	Refused uint64
}

// New returns a controller without measurements, which admits every opening.
func New(settings Settings) *Controller {
	return &Controller{
		settings:  settings,
		services:  make(map[lb.ServiceName]*service),
		backends:  make(map[Identity]*backend),
		meter:     fleetload.NewMeter(),
		committed: committedload.New(settings.CommittedLoad),
	}
}

// Samples returns the measurements since the last call, to be reported to the fleet.
func (c *Controller) Samples() []fleetload.Sample { return c.meter.Samples() }

// RecordRequest records that a request was forwarded.
func (c *Controller) RecordRequest(now time.Duration, name lb.ServiceName, objective lb.Objective) {
	s := c.service(now, name)
	s.level(objective.Priority, &c.settings).begun++
	c.meter.RecordBegun(name, objective.Priority, s.class(objective).idle.value)
}

// RecordRequestFlow records on which flow the most recently recorded request arrived.
func (c *Controller) RecordRequestFlow(now time.Duration, name lb.ServiceName, objective lb.Objective, flow lb.FlowID) {
	c.committed.RecordRequest(now, name, objective.Priority, flow, c.service(now, name).class(objective).idle.value)
}

// CloseFlow records that a flow has ended.
func (c *Controller) CloseFlow(flow lb.FlowID) { c.committed.CloseFlow(flow) }

// SetSlots sets this balancer's share of the slots of a service's ready back ends; 0 means unknown.
func (c *Controller) SetSlots(now time.Duration, name lb.ServiceName, slots float64) {
	c.service(now, name).slots = slots
}

// ExceedsSlots returns true if the open flows that this balancer has admitted use up its share of
// the slots. It returns false while the fleet's admission rates are known, since these decide then:
// the shares of other balancers may be unused.
func (c *Controller) ExceedsSlots(now time.Duration, name lb.ServiceName, objective lb.Objective) bool {
	s := c.service(now, name)
	return !c.settings.Off && !s.fleetRatesFresh(now, &c.settings) && c.committed.ExceedsSlots(now, name, objective.Priority, s.slots)
}

// RecordAnswer records that a back end in the given zone answered a request with the given latency.
func (c *Controller) RecordAnswer(now time.Duration, name lb.ServiceName, objective lb.Objective, zone lb.Zone, identity Identity, latency time.Duration) {
	if c.settings.Off || latency > c.settings.MaxAnswerTime {
		return
	}
	s := c.service(now, name)
	s.answers++
	s.lastAnswerAt = now
	b := c.backends[identity]
	if b == nil {
		b = &backend{service: s}
		c.backends[identity] = b
		s.backends[identity] = b
	}
	class := s.class(objective)
	if !class.idle.add(now, latency.Seconds(), &c.settings) {
		c.meter.RecordRejection(name, zone)
		return
	}
	load := class.load(latency, &c.settings)
	b.addAnswer(now, load)
	c.meter.RecordAnswer(name, zone, math.Log(class.fleetLoad(latency, &c.settings)))
}

// Load returns the load of a back end, estimated from the response times of its requests: at 1 it
// receives as much as it can complete in time. known is false if there were no recent answers.
func (c *Controller) Load(now time.Duration, identity Identity) (load float64, known bool) {
	b := c.backends[identity]
	if c.settings.Off || b == nil {
		return 0, false
	}
	return b.load(now)
}

// BackendOverloaded returns true if a back end is known to have no spare capacity at present.
func (c *Controller) BackendOverloaded(now time.Duration, identity Identity) bool {
	load, known := c.Load(now, identity)
	return known && load > c.settings.FreeLoad
}

// LessLoaded returns true if a back end should receive an opening of a service in place of an
// overloaded one. A back end without measurements is assumed to have the typical load of the
// service.
func (c *Controller) LessLoaded(now time.Duration, name lb.ServiceName, identity, overloaded Identity) bool {
	load, known := c.Load(now, identity)
	if !known {
		load = c.service(now, name).pressure
	}
	other, _ := c.Load(now, overloaded)
	return load < other
}

// ApplyFleetLoad applies the fleet's load report about a service. slots is the number of slots of
// its ready back ends; 0 means unknown.
func (c *Controller) ApplyFleetLoad(now time.Duration, name lb.ServiceName, report *fleetload.Service, slots float64) {
	if c.settings.Off {
		return
	}
	s := c.service(now, name)
	s.fleet.Update(now, report, slots, s.openFlowShare, &c.settings.Fleet)
	s.fleetAt = report.SummedAt
}

// Admit returns true if the first copy of an opening may be forwarded to a back end. draw is a hash
// of the opening, uniformly distributed over all 64-bit numbers.
func (c *Controller) Admit(now time.Duration, name lb.ServiceName, objective lb.Objective, identity Identity, draw uint64) bool {
	if c.settings.Off {
		return true
	}
	s := c.service(now, name)
	c.scan(now, s)
	l := s.level(objective.Priority, &c.settings)
	l.lastOpening = now
	if !c.ExceedsSlots(now, name, objective) && c.admits(now, s, l, identity, draw) {
		c.RecordAdmission(now, name, objective)
		return true
	}
	c.RecordRefusal(now, name, objective)
	return false
}

// admits returns true if an opening is admitted by the back end's load or by the admission rate of
// its priority.
func (c *Controller) admits(now time.Duration, s *service, l *level, identity Identity, draw uint64) bool {
	load, known := c.Load(now, identity)
	if known && load < c.settings.FreeLoad && !s.fleetRefuses(now, &c.settings) {
		return true
	}
	if !known {
		load = s.pressure
	}
	// The load of a single back end is averaged with the pressure: it may be high by chance, or
	// because of work for other services.
	rate := s.admissionRate(now, l, (load+s.pressure)/2, &c.settings)
	return rate >= 1 || float64(draw>>11)/(1<<53) < rate
}

// HadSpareCapacity returns true if the response time of a request shows that its back end has spare
// capacity, so that the slot that the request leaves can be reused. A response time far below the
// idle response time does not: it is a rejection by a full back end.
func (c *Controller) HadSpareCapacity(name lb.ServiceName, objective lb.Objective, latency time.Duration) bool {
	s := c.services[name]
	if c.settings.Off || s == nil {
		return false
	}
	class := s.classes[objective]
	if class == nil || class.idle.value == 0 || latency.Seconds() < rejectionRatio*class.idle.value {
		return false
	}
	return class.load(latency, &c.settings) < maxUnqueuedLoad
}

// maxUnqueuedLoad is the maximum load computed from a request that hardly queued at its back end.
const maxUnqueuedLoad = 0.78

// NearLimit returns true if a service is near its limit.
func (c *Controller) NearLimit(name lb.ServiceName) bool {
	return !c.settings.Off && c.Pressure(name) > calmPressure
}

// CancelRefusal cancels the refusal that Admit has just recorded for an opening: the opening was
// queued, or a free slot was found for it.
func (c *Controller) CancelRefusal(now time.Duration, name lb.ServiceName, objective lb.Objective) {
	s := c.service(now, name)
	s.refused--
	s.refusedTotal--
	c.meter.RecordRefused(name, objective.Priority, -s.class(objective).idle.value)
}

// RecordRefusal records that an opening is refused for lack of capacity, by Admit or after it was
// queued.
func (c *Controller) RecordRefusal(now time.Duration, name lb.ServiceName, objective lb.Objective) {
	s := c.service(now, name)
	s.refused++
	s.refusedTotal++
	c.meter.RecordRefused(name, objective.Priority, s.class(objective).idle.value)
}

// RecordAdmission records that an opening is admitted, by Admit or because a slot became free for
// it.
func (c *Controller) RecordAdmission(now time.Duration, name lb.ServiceName, objective lb.Objective) {
	c.service(now, name).level(objective.Priority, &c.settings).opened++
	c.committed.RecordOpening(now, name, objective.Priority)
}

// Pressure returns the ratio of the response times of a service to the allowed response time; 0
// means unknown.
func (c *Controller) Pressure(name lb.ServiceName) float64 {
	s := c.services[name]
	if s == nil {
		return 0
	}
	return s.pressure
}

// Tick updates the admission rates. The caller must call it several times a second.
func (c *Controller) Tick(now time.Duration) {
	c.committed.Tick(now)
	for name, s := range c.services {
		if s.calm() && now-s.adapted < c.settings.CalmInterval {
			continue
		}
		c.scan(now, s)
		s.adapt(now, &c.settings)
		if change, changed := s.detectChange(now, &c.settings); changed {
			change.Service = name
			c.changes = append(c.changes, change)
		}
	}
}

// scan evaluates the back ends of a service unless it did so within the last ScanInterval.
func (c *Controller) scan(now time.Duration, s *service) {
	if s.scanned > 0 && now-s.scanned < c.settings.ScanInterval {
		return
	}
	s.scanned = now
	s.loads = s.loads[:0]
	for identity, b := range s.backends {
		if keep := b.collect(now); !keep {
			delete(s.backends, identity)
			delete(c.backends, identity)
		}
	}
	s.pressure, s.weight = c.typicalLoad(s.loads)
}

// typicalLoad returns the median of the loads of back ends, and the total weight of the
// measurements.
func (c *Controller) typicalLoad(loads []weighted) (load, weight float64) {
	if c.settings.useMean {
		return average(loads)
	}
	return median(loads)
}

// Changes returns the changes since the last call. The result is valid until the next Tick.
func (c *Controller) Changes() []Change {
	changes := c.changes
	c.changes = c.changes[:0]
	return changes
}

// Forget deletes the state of all back ends and services for which the functions return false, and
// of objectives and priorities not used for stateTimeout.
func (c *Controller) Forget(now time.Duration, backend func(Identity) bool, service func(lb.ServiceName) bool) {
	for identity, b := range c.backends {
		if !backend(identity) {
			delete(b.service.backends, identity)
			delete(c.backends, identity)
		}
	}
	c.committed.Forget(service)
	for name, s := range c.services {
		s.forget(now)
		if !service(name) {
			delete(c.services, name)
		}
	}
}

// Status is the state of one service, for operators.
type Status struct {
	Service  lb.ServiceName
	Pressure float64
	// Refused is the number of all refused openings.
	Refused uint64
	Levels  []Level
}

// Level is the admission rate of the openings of one priority.
type Level struct {
	Priority      uint16
	AdmissionRate float64
}

// Status returns the state of all services that had openings.
func (c *Controller) Status(now time.Duration) []Status {
	statuses := make([]Status, 0, len(c.services))
	for name, s := range c.services {
		status := Status{Service: name, Pressure: s.pressure, Refused: s.refusedTotal}
		for _, l := range s.levels {
			status.Levels = append(status.Levels, Level{Priority: l.priority, AdmissionRate: s.admissionRate(now, l, s.pressure, &c.settings)})
		}
		statuses = append(statuses, status)
	}
	return statuses
}

func (c *Controller) service(now time.Duration, name lb.ServiceName) *service {
	if c.settings.mergeServices {
		name = ""
	}
	s := c.services[name]
	if s == nil {
		s = &service{adapted: now, averagingTime: c.settings.AveragingTime}
		s.classes = make(map[lb.Objective]*class)
		s.backends = make(map[Identity]*backend)
		c.services[name] = s
	}
	return s
}
