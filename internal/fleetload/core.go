package fleetload

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
	"robinpulley.example/robinpulley/internal/tree"
)

// Settings of a core. See DefaultSettings.
type Settings struct {
	Self lb.NodeID
	Zone lb.Zone
	// Window is the time between two reports of a node.
	Window time.Duration
	// Smoothing is the time over which rates are taken, here and at the first node of a zone.
	Smoothing time.Duration
	// Near is the part of the capacity of its zone, by what this node is asked for, from which
	// it reports a service unasked, and Rest that of the fleet and of each zone below which the first
	// node lets go of it again, after RestTime.
	Near, Rest float64
	RestTime   time.Duration
	// ZoneLife is how long what a zone was last heard to see counts.
	ZoneLife time.Duration
	// MostServices bounds the services in a message, those with the most work first.
	MostServices int
}

// DefaultSettings gives the defaults.
func DefaultSettings(self lb.NodeID, zone lb.Zone) Settings {
	return Settings{
		Self: self,
		Zone: zone,
		// A report is some 150 bytes: 0.8 KB/s at five a second, and 6 KB/s at who hears eight.
		Window: 200 * time.Millisecond,
		// Some twenty requests a second and node: 400 of a zone's in this time, which are known within 5%.
		Smoothing: 300 * time.Millisecond,
		// Below half of what back ends can do at once, hardly any request waits: 4% of them in a
		// queue of two slots at 0.5, with no more than a tenth of its own time on the mean.
		Near:     0.5,
		Rest:     0.4,
		RestTime: 2 * time.Second,
		// Two lost states in a row, and what is on its way meanwhile.
		ZoneLife:     time.Second,
		MostServices: 32,
	}
}

// Event is one input. At most one field is set; none makes a tick.
type Event struct {
	// Samples are what this node has seen since the last ones, empty, not nil, for nothing.
	Samples []Sample
	Place   *tree.Place
	// Capacity is what the ready back ends of each service work on at once, by their zone.
	Capacity map[lb.ServiceName]map[lb.Zone]float64
	Report   *message.LoadReport
	State    *message.LoadState
}

// Outgoing is a message to control addresses.
type Outgoing struct {
	To      []netip.AddrPort
	Message message.Message
}

// Effects is filled by one Step. The caller reuses it; Step resets it first.
type Effects struct {
	Messages []Outgoing
	// Changed: Services is what the fleet knows now. A service that is not in it is far
	// from its limit, or nothing recent is known of it.
	Changed  bool
	Services map[lb.ServiceName]Service
}

// Core is the part of one node. It is not safe for concurrent use.
type Core struct {
	settings Settings
	now      time.Duration
	place    tree.Place
	capacity map[lb.ServiceName]map[lb.Zone]float64
	own      map[lb.ServiceName]*rates // what this node sees, to know when to report
	ownAt    time.Duration
	pending  map[lb.ServiceName]*sums
	sendAt   time.Duration

	// zones are what is known of each zone, and services what follows from it.
	zones    map[lb.Zone]*zoneState
	services map[lb.ServiceName]Service
	last     message.LoadState // from the first node of the zone

	first first
}

// zoneState is what a zone was last heard to see.
type zoneState struct {
	work     map[lb.ServiceName]message.ServiceWork
	summedAt time.Duration // by this node's clock
}

// New gives a core that knows nothing.
func New(settings Settings) *Core {
	return &Core{
		settings: settings,
		own:      make(map[lb.ServiceName]*rates),
		pending:  make(map[lb.ServiceName]*sums),
		zones:    make(map[lb.Zone]*zoneState),
		services: make(map[lb.ServiceName]Service),
		first:    first{rates: make(map[lb.ServiceName]*rates), busyAt: make(map[lb.ServiceName]time.Duration)},
	}
}

// Services gives what the fleet knows now; see Effects. It is not to be changed.
func (c *Core) Services() map[lb.ServiceName]Service { return c.services }

// Step takes one event at a time that never goes back and fills effects.
func (c *Core) Step(now time.Duration, event *Event, effects *Effects) {
	*effects = Effects{Messages: effects.Messages[:0]}
	c.now = max(now, c.now)
	switch {
	case event.Samples != nil:
		c.note(event.Samples)
	case event.Place != nil:
		c.setPlace(event.Place)
	case event.Capacity != nil:
		c.capacity = event.Capacity
	case event.Report != nil:
		c.takeReport(event.Report)
	case event.State != nil:
		c.takeState(event.State, effects)
	default:
		c.tick(effects)
	}
}

func (c *Core) setPlace(place *tree.Place) {
	if place.First != c.place.First {
		clear(c.first.rates)
		clear(c.first.busyAt)
		c.first.at = c.now
	}
	c.place = *place
}

// note takes what this node has seen.
func (c *Core) note(samples []Sample) {
	elapsed := c.now - c.ownAt
	c.ownAt = c.now
	seen := make(map[lb.ServiceName]*sums, len(samples))
	for index := range samples {
		known := newSums()
		known.sample(&samples[index])
		seen[samples[index].Service] = known
		c.sums(samples[index].Service).add(known)
	}
	follow(c.own, seen, elapsed, ownSmoothing)
}

// ownSmoothing is longer than that of a zone: one node sees little.
const ownSmoothing = time.Second

func (c *Core) sums(service lb.ServiceName) *sums {
	known := c.pending[service]
	if known == nil {
		known = newSums()
		c.pending[service] = known
	}
	return known
}

// takeReport adds what a node below has seen.
func (c *Core) takeReport(report *message.LoadReport) {
	for index := range report.Services {
		c.sums(report.Services[index].Service).work(&report.Services[index])
	}
}

// takeState takes what the first node of another zone tells of its zone, or that of
// the own zone of all, and passes the latter on.
func (c *Core) takeState(state *message.LoadState, effects *Effects) {
	if c.place.First {
		for index := range state.Zones {
			if state.Zones[index].Zone != c.settings.Zone {
				c.hear(&state.Zones[index])
			}
		}
		return
	}
	if state.Sender == c.last.Sender && state.Number <= c.last.Number {
		return
	}
	c.last = *state
	for index := range state.Zones {
		c.hear(&state.Zones[index])
	}
	c.send(c.place.Children, *state, effects)
	c.conclude(effects)
}

// hear takes what a zone sees, unless something newer is known of it.
func (c *Core) hear(zone *message.ZoneWork) {
	summedAt := c.now - time.Duration(zone.AgeMillis)*time.Millisecond
	known := c.zones[zone.Zone]
	if known != nil && known.summedAt > summedAt {
		return
	}
	state := &zoneState{work: make(map[lb.ServiceName]message.ServiceWork, len(zone.Services)), summedAt: summedAt}
	for _, work := range zone.Services {
		state.work[work.Service] = work
	}
	c.zones[zone.Zone] = state
}

func (c *Core) tick(effects *Effects) {
	if c.now < c.sendAt {
		return
	}
	c.sendAt = c.now + c.settings.Window
	if c.place.First {
		c.sumUp(effects)
	} else {
		c.report(effects)
	}
	if c.expire() {
		c.conclude(effects)
	}
}

// expire drops zones that were not heard of for long, and tells whether there were any.
func (c *Core) expire() bool {
	expired := false
	for zone, state := range c.zones {
		if c.now-state.summedAt > c.settings.ZoneLife {
			delete(c.zones, zone)
			expired = true
		}
	}
	return expired
}

// report sends what waits up the tree: services that are near their limit by what this node
// is asked for, that nodes below report, or that the zone's first node asks for.
func (c *Core) report(effects *Effects) {
	var services []message.ServiceWork
	for service, pending := range c.pending {
		_, asked := c.services[service]
		near := pending.near || c.near(service)
		if !asked && !near && !pending.below {
			continue
		}
		work := pending.message(service)
		work.Echo = !near
		services = append(services, work)
	}
	clear(c.pending)
	if len(services) > 0 && c.place.Parent.IsValid() {
		services = mostWork(services, c.settings.MostServices)
		c.send([]netip.AddrPort{c.place.Parent}, message.LoadReport{Services: services}, effects)
	}
}

// near tells whether a service is near its limit by what this node is asked for: the
// routers give all nodes of a zone the same part of its callers.
func (c *Core) near(service lb.ServiceName) bool {
	seen := c.own[service]
	if seen == nil {
		return false
	}
	begun, refused := seen.asked()
	if refused > 0 {
		return true
	}
	capacity := c.capacity[service]
	inZone := begun * float64(max(c.place.ZoneNodes, 1))
	inFleet := begun * float64(max(c.place.Nodes, 1))
	return above(inZone, c.settings.Near, capacity[c.settings.Zone]) || above(inFleet, c.settings.Near, lb.TotalSlots(capacity))
}

// above tells whether work is more than a part of a capacity. Where there is none, the
// other zones' back ends do the work, and theirs counts.
func above(work, part, capacity float64) bool { return capacity > 0 && work > part*capacity }

func (c *Core) send(to []netip.AddrPort, sent message.Message, effects *Effects) {
	if len(to) > 0 {
		effects.Messages = append(effects.Messages, Outgoing{To: to, Message: sent})
	}
}

// conclude works out what the fleet knows of each service.
func (c *Core) conclude(effects *Effects) {
	before := len(c.services)
	c.services = make(map[lb.ServiceName]Service)
	for zone, state := range c.zones {
		for name, work := range state.work {
			service := c.services[name]
			service.Zones = append(service.Zones, zoneOf(zone, &work))
			service.At = max(service.At, state.summedAt)
			c.services[name] = service
		}
	}
	for name, service := range c.services {
		c.addLoads(name, &service)
		slices.SortFunc(service.Zones, func(a, b Zone) int { return cmp.Compare(a.Zone, b.Zone) })
		c.services[name] = service
	}
	effects.Changed = before > 0 || len(c.services) > 0
	effects.Services = c.services
}

// addLoads adds what all zones see of each zone's back ends.
func (c *Core) addLoads(name lb.ServiceName, service *Service) {
	for index := range service.Zones {
		zone := &service.Zones[index]
		count, logs, rejected := 0.0, 0.0, 0.0
		for _, state := range c.zones {
			for _, answers := range state.work[name].Answers {
				if answers.Zone == zone.Zone {
					count += fromThousandths(answers.Count)
					logs += fromThousandths(answers.Logs)
					rejected += fromThousandths(answers.Rejected)
				}
			}
		}
		zone.Answers, zone.Rejected = count, rejected
		if count > 0 {
			zone.Load = math.Exp(logs / count)
		}
	}
}
