package fleetload

import (
	"maps"
	"math"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
)

// root is the additional state of a zone's root node.
type root struct {
	rates          map[lb.ServiceName]*rates
	nearLimitAt    map[lb.ServiceName]time.Duration // when last near the limit in some zone
	ratesUpdatedAt time.Duration                    // when rates were last updated
	sequence       uint64                           // sequence number of the last state sent
	publishing     bool                             // whether the last state contained services
}

// publishState updates the rates of the zone, sends them to the root nodes of the other zones, and
// sends the state of all zones down the own tree.
func (c *Core) publishState(effects *Effects) {
	c.updateNearLimit()
	elapsed := c.now - c.root.ratesUpdatedAt
	c.root.ratesUpdatedAt = c.now
	updateRates(c.root.rates, c.pending, elapsed, c.settings.Smoothing)
	clear(c.pending)
	own := c.ownZoneWork()
	if len(own.Services) == 0 && !c.root.publishing {
		return
	}
	c.root.publishing = len(own.Services) > 0
	c.updateZone(&own)
	c.root.sequence++
	state := message.LoadState{Sender: c.settings.Self, Sequence: c.root.sequence, Zones: []message.ZoneWork{own}}
	c.send(c.place.OtherRoots, state, effects)
	c.updateServices(effects)
	state.Zones = c.allZoneWork()
	c.send(c.place.Children, state, effects)
}

// updateNearLimit records the services that are near their limit: according to this node's demand,
// to reports of nodes in the zone, or because their demand is above the release threshold of a zone
// or of the fleet.
func (c *Core) updateNearLimit() {
	for service, pending := range c.pending {
		if c.nearLimit(service) || pending.nearLimit {
			c.root.nearLimitAt[service] = c.now
		}
	}
	for service := range c.services {
		if c.aboveRelease(service) {
			c.root.nearLimitAt[service] = c.now
		}
	}
	maps.DeleteFunc(c.root.nearLimitAt, func(_ lb.ServiceName, at time.Duration) bool {
		return c.now-at > c.settings.ReleaseDelay
	})
}

// unsolicitedServices returns the services that other zones have published because the services are
// near their limit there, and not only because this or another zone had published them.
func (c *Core) unsolicitedServices() map[lb.ServiceName]bool {
	unsolicited := make(map[lb.ServiceName]bool)
	for zone, state := range c.zones {
		for service, work := range state.work {
			if zone != c.settings.Zone && !work.Solicited {
				unsolicited[service] = true
			}
		}
	}
	return unsolicited
}

// aboveRelease reports whether a service is above the release threshold in a zone or in the whole
// fleet.
func (c *Core) aboveRelease(service lb.ServiceName) bool {
	known := c.services[service]
	capacity := c.capacity[service]
	demand := 0.0
	for index := range known.Zones {
		zone := &known.Zones[index]
		if exceeds(zone.Demand(), c.settings.ReleaseThreshold, capacity[zone.Zone]) {
			return true
		}
		demand += zone.Demand()
	}
	return exceeds(demand, c.settings.ReleaseThreshold, lb.TotalSlots(capacity))
}

// ownZoneWork returns the own zone's work for the services that are near their limit here or in
// another zone. No demand is published as well, because it means spare capacity.
func (c *Core) ownZoneWork() message.ZoneWork {
	own := message.ZoneWork{Zone: c.settings.Zone}
	services := c.unsolicitedServices()
	for service := range c.root.nearLimitAt {
		services[service] = false
	}
	for service, solicited := range services {
		work := message.ServiceWork{Service: service}
		if rate := c.root.rates[service]; rate != nil {
			work = rate.message(service)
		}
		work.Solicited = solicited
		own.Services = append(own.Services, work)
	}
	own.Services = topByWork(own.Services, c.settings.MaxServices)
	return own
}

// allZoneWork returns the last state of all zones, with its age. The observations of all zones
// about one zone's back ends are combined, so that the size of a state is linear in the number of
// zones, not quadratic.
func (c *Core) allZoneWork() []message.ZoneWork {
	var zones []message.ZoneWork
	for name, state := range c.zones {
		zone := message.ZoneWork{Zone: name, AgeMillis: int((c.now - state.summedAt).Milliseconds())}
		for service, work := range state.work {
			work.Answers = c.combinedAnswers(service, name)
			zone.Services = append(zone.Services, work)
		}
		zone.Services = topByWork(zone.Services, c.settings.MaxServices)
		zones = append(zones, zone)
	}
	sortZones(zones)
	return zones
}

// combinedAnswers returns the answers of a zone's back ends, combined from the observations of all
// zones.
func (c *Core) combinedAnswers(service lb.ServiceName, zone lb.Zone) []message.ZoneAnswers {
	known := c.services[service]
	for index := range known.Zones {
		aggregated := &known.Zones[index]
		if aggregated.Zone != zone || aggregated.Answers+aggregated.Rejected == 0 {
			continue
		}
		answers := message.ZoneAnswers{Zone: zone, Count: toThousandths(aggregated.Answers), Rejected: toThousandths(aggregated.Rejected)}
		if aggregated.Answers > 0 {
			answers.LogLoadSum = toThousandths(aggregated.Answers * math.Log(aggregated.Load))
		}
		return []message.ZoneAnswers{answers}
	}
	return nil
}
