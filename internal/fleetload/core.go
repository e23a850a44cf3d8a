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

// Settings configures a Core. See DefaultSettings.
type Settings struct {
	Self lb.NodeID
	Zone lb.Zone
	// Window is the interval at which a node sends reports.
	Window time.Duration
	// Smoothing is the time constant of the smoothed rates of a zone, at its root node.
	Smoothing time.Duration
	// ReportThreshold is the fraction of the capacity of its zone or of the fleet above which a
	// node reports a service without solicitation, as estimated from its own demand.
	// ReleaseThreshold is the fraction of the capacity of the fleet and of each zone below which
	// the root node stops tracking the service, after ReleaseDelay.
	ReportThreshold, ReleaseThreshold float64
	ReleaseDelay                      time.Duration
	// ZoneTTL is how long the last received state of a zone is used.
	ZoneTTL time.Duration
	// MaxServices is the maximum number of services in a message; those with the most work take
	// precedence.
	MaxServices int
}

// DefaultSettings returns the default settings for a node of the zone.
func DefaultSettings(self lb.NodeID, zone lb.Zone) Settings {
	return Settings{
		Self: self,
		Zone: zone,
		// A report is some 150 bytes: 0.8 KB/s at five a second, and 6 KB/s at a node that receives
		// from eight.
		Window: 200 * time.Millisecond,
		// A node gets some twenty requests a second. The zone's 400 requests in this time give a
		// precision of 5%.
		Smoothing: 300 * time.Millisecond,
		// At a utilization of 0.5 hardly any request queues: 4% of them in a queue of two slots,
		// and on average for at most a tenth of their service time.
		ReportThreshold:  0.5,
		ReleaseThreshold: 0.4,
		ReleaseDelay:     2 * time.Second,
		// Tolerates two lost states in a row and the transit time of the next.
		ZoneTTL:     time.Second,
		MaxServices: 32,
	}
}

// Event is one input. At most one field is set; an event with no field set is a tick.
type Event struct {
	// Samples are this node's observations since the previous ones. Without observations it is
	// empty, not nil.
	Samples []Sample
	Place   *tree.Place
	// Capacity is the total capacity of the ready back ends of each service, by zone.
	Capacity map[lb.ServiceName]map[lb.Zone]float64
	Report   *message.LoadReport
	State    *message.LoadState
}

// Outgoing is a message to be sent to control addresses.
type Outgoing struct {
	To      []netip.AddrPort
	Message message.Message
}

// Effects is the output of one Step. The caller reuses it; Step resets it first.
type Effects struct {
	Messages []Outgoing
	// Changed is set if Services contains the loads newly derived from the states of the zones. A
	// service that is absent is far from its limit, or has no recent reports.
	Changed  bool
	Services map[lb.ServiceName]Service
}

// Core aggregates the fleet's load at one node. It is not safe for concurrent use.
type Core struct {
	settings     Settings
	now          time.Duration
	place        tree.Place
	capacity     map[lb.ServiceName]map[lb.Zone]float64
	ownRates     map[lb.ServiceName]*rates // observations of this node, to decide when to report
	ownUpdatedAt time.Duration
	pending      map[lb.ServiceName]*sums
	nextSend     time.Duration

	// zones holds the last state of each zone, and services the loads derived from them.
	zones     map[lb.Zone]*zoneState
	services  map[lb.ServiceName]Service
	lastState message.LoadState // the last state received from above in the tree

	root root
}

// zoneState is the last known state of a zone.
type zoneState struct {
	work     map[lb.ServiceName]message.ServiceWork
	summedAt time.Duration // by this node's clock
}

// New returns a core without any data.
func New(settings Settings) *Core {
	return &Core{
		settings: settings,
		ownRates: make(map[lb.ServiceName]*rates),
		pending:  make(map[lb.ServiceName]*sums),
		zones:    make(map[lb.Zone]*zoneState),
		services: make(map[lb.ServiceName]Service),
		root:     root{rates: make(map[lb.ServiceName]*rates), nearLimitAt: make(map[lb.ServiceName]time.Duration)},
	}
}

// Services returns the present loads of the services; see Effects. The caller must not modify the
// map.
func (c *Core) Services() map[lb.ServiceName]Service { return c.services }

// Step processes one event and fills effects. Times must not decrease.
func (c *Core) Step(now time.Duration, event *Event, effects *Effects) {
	*effects = Effects{Messages: effects.Messages[:0]}
	c.now = max(now, c.now)
	switch {
	case event.Samples != nil:
		c.recordSamples(event.Samples)
	case event.Place != nil:
		c.setPlace(event.Place)
	case event.Capacity != nil:
		c.capacity = event.Capacity
	case event.Report != nil:
		c.applyReport(event.Report)
	case event.State != nil:
		c.applyState(event.State, effects)
	default:
		c.tick(effects)
	}
}

func (c *Core) setPlace(place *tree.Place) {
	if place.IsRoot != c.place.IsRoot {
		clear(c.root.rates)
		clear(c.root.nearLimitAt)
		c.root.ratesUpdatedAt = c.now
	}
	c.place = *place
}

// recordSamples adds this node's observations.
func (c *Core) recordSamples(samples []Sample) {
	elapsed := c.now - c.ownUpdatedAt
	c.ownUpdatedAt = c.now
	observed := make(map[lb.ServiceName]*sums, len(samples))
	for index := range samples {
		added := newSums()
		added.addSample(&samples[index])
		observed[samples[index].Service] = added
		c.pendingSums(samples[index].Service).add(added)
	}
	updateRates(c.ownRates, observed, elapsed, nodeSmoothing)
}

// nodeSmoothing is longer than the smoothing of a zone, because a single node observes few
// requests.
const nodeSmoothing = time.Second

func (c *Core) pendingSums(service lb.ServiceName) *sums {
	known := c.pending[service]
	if known == nil {
		known = newSums()
		c.pending[service] = known
	}
	return known
}

// applyReport adds the report of a node below in the tree.
func (c *Core) applyReport(report *message.LoadReport) {
	for index := range report.Services {
		c.pendingSums(report.Services[index].Service).addWork(&report.Services[index])
	}
}

// applyState applies a state message: at the root node, the state of another zone from its root; at
// other nodes, the state of all zones from the own root, which is forwarded down the tree.
func (c *Core) applyState(state *message.LoadState, effects *Effects) {
	if c.place.IsRoot {
		for index := range state.Zones {
			if state.Zones[index].Zone != c.settings.Zone {
				c.updateZone(&state.Zones[index])
			}
		}
		return
	}
	if state.Sender == c.lastState.Sender && state.Sequence <= c.lastState.Sequence {
		return
	}
	c.lastState = *state
	for index := range state.Zones {
		c.updateZone(&state.Zones[index])
	}
	c.send(c.place.Children, *state, effects)
	c.updateServices(effects)
}

// updateZone stores the state of a zone unless a newer one is known.
func (c *Core) updateZone(zone *message.ZoneWork) {
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
	if c.now < c.nextSend {
		return
	}
	c.nextSend = c.now + c.settings.Window
	if c.place.IsRoot {
		c.publishState(effects)
	} else {
		c.report(effects)
	}
	if c.expireZones() {
		c.updateServices(effects)
	}
}

// expireZones deletes zones whose state is too old, and reports whether there were any.
func (c *Core) expireZones() bool {
	expired := false
	for zone, state := range c.zones {
		if c.now-state.summedAt > c.settings.ZoneTTL {
			delete(c.zones, zone)
			expired = true
		}
	}
	return expired
}

// report sends the pending sums up the tree, for services that are near their limit according to
// this node's demand, that nodes below report, or that the root node publishes.
func (c *Core) report(effects *Effects) {
	var services []message.ServiceWork
	for service, pending := range c.pending {
		_, published := c.services[service]
		nearLimit := pending.nearLimit || c.nearLimit(service)
		if !published && !nearLimit && !pending.fromChildren {
			continue
		}
		work := pending.message(service)
		work.Solicited = !nearLimit
		services = append(services, work)
	}
	clear(c.pending)
	if len(services) > 0 && c.place.Parent.IsValid() {
		services = topByWork(services, c.settings.MaxServices)
		c.send([]netip.AddrPort{c.place.Parent}, message.LoadReport{Services: services}, effects)
	}
}

// nearLimit reports whether a service is near its limit, extrapolating from this node's demand: the
// routers distribute the clients of a zone evenly over its nodes.
func (c *Core) nearLimit(service lb.ServiceName) bool {
	observed := c.ownRates[service]
	if observed == nil {
		return false
	}
	begun, refused := observed.totalWork()
	if refused > 0 {
		return true
	}
	capacity := c.capacity[service]
	inZone := begun * float64(max(c.place.ZoneNodes, 1))
	inFleet := begun * float64(max(c.place.Nodes, 1))
	return exceeds(inZone, c.settings.ReportThreshold, capacity[c.settings.Zone]) || exceeds(inFleet, c.settings.ReportThreshold, lb.TotalSlots(capacity))
}

// exceeds reports whether work is more than a fraction of a capacity. Where there is no capacity,
// the back ends of other zones do the work, and their capacity counts.
func exceeds(work, fraction, capacity float64) bool { return capacity > 0 && work > fraction*capacity }

func (c *Core) send(to []netip.AddrPort, sent message.Message, effects *Effects) {
	if len(to) > 0 {
		effects.Messages = append(effects.Messages, Outgoing{To: to, Message: sent})
	}
}

// updateServices derives the load of each service from the states of the zones.
func (c *Core) updateServices(effects *Effects) {
	before := len(c.services)
	c.services = make(map[lb.ServiceName]Service)
	for zone, state := range c.zones {
		for name, work := range state.work {
			service := c.services[name]
			service.Zones = append(service.Zones, decodeZone(zone, &work))
			service.SummedAt = max(service.SummedAt, state.summedAt)
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

// addLoads adds the load of each zone's back ends, combined from the observations of all zones.
func (c *Core) addLoads(name lb.ServiceName, service *Service) {
	for index := range service.Zones {
		zone := &service.Zones[index]
		count, logSum, rejected := 0.0, 0.0, 0.0
		for _, state := range c.zones {
			for _, answers := range state.work[name].Answers {
				if answers.Zone == zone.Zone {
					count += fromThousandths(answers.Count)
					logSum += fromThousandths(answers.LogLoadSum)
					rejected += fromThousandths(answers.Rejected)
				}
			}
		}
		zone.Answers, zone.Rejected = count, rejected
		if count > 0 {
			zone.Load = math.Exp(logSum / count)
		}
	}
}
