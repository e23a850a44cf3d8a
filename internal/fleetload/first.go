package fleetload

import (
	"maps"
	"math"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
)

// first is what the first node of a zone keeps.
type first struct {
	rates  map[lb.ServiceName]*rates
	busyAt map[lb.ServiceName]time.Duration // when a service was last near its limit somewhere
	at     time.Duration                    // of the last sums
	number uint64                           // of the last state
	told   bool                             // the last state had services
}

// sumUp takes the zone's sums, tells the first nodes of the other zones, and tells the own
// zone what is known of all.
func (c *Core) sumUp(effects *Effects) {
	c.findBusy()
	elapsed := c.now - c.first.at
	c.first.at = c.now
	follow(c.first.rates, c.pending, elapsed, c.settings.Smoothing)
	clear(c.pending)
	own := c.ownZone()
	if len(own.Services) == 0 && !c.first.told {
		return
	}
	c.first.told = len(own.Services) > 0
	c.hear(&own)
	c.first.number++
	state := message.LoadState{Sender: c.settings.Self, Number: c.first.number, Zones: []message.ZoneWork{own}}
	c.send(c.place.Heads, state, effects)
	c.conclude(effects)
	state.Zones = c.allZones()
	c.send(c.place.Children, state, effects)
}

// findBusy notes the services that are near their limit: those that a node of this zone
// reports unasked or sees to be so itself, and those whose asked work is above the resting
// part of a zone's capacity, or of the fleet's.
func (c *Core) findBusy() {
	for service, pending := range c.pending {
		if c.near(service) || pending.near {
			c.first.busyAt[service] = c.now
		}
	}
	for service := range c.services {
		if c.aboveRest(service) {
			c.first.busyAt[service] = c.now
		}
	}
	maps.DeleteFunc(c.first.busyAt, func(_ lb.ServiceName, at time.Duration) bool {
		return c.now-at > c.settings.RestTime
	})
}

// echoed gives the services that other zones tell of as near their limit.
func (c *Core) echoed() map[lb.ServiceName]bool {
	echoed := make(map[lb.ServiceName]bool)
	for zone, state := range c.zones {
		for service, work := range state.work {
			if zone != c.settings.Zone && !work.Echo {
				echoed[service] = true
			}
		}
	}
	return echoed
}

// aboveRest tells whether a service is above its resting part, in a zone or in all together.
func (c *Core) aboveRest(service lb.ServiceName) bool {
	known := c.services[service]
	capacity := c.capacity[service]
	asked := 0.0
	for index := range known.Zones {
		zone := &known.Zones[index]
		if above(zone.Demand(), c.settings.Rest, capacity[zone.Zone]) {
			return true
		}
		asked += zone.Demand()
	}
	return above(asked, c.settings.Rest, lb.TotalSlots(capacity))
}

// ownZone gives what the own zone sees of the services that are near their limit, here or
// in another zone: that nothing is asked for here is news, too, since there is room.
func (c *Core) ownZone() message.ZoneWork {
	own := message.ZoneWork{Zone: c.settings.Zone}
	services := c.echoed()
	for service := range c.first.busyAt {
		services[service] = false
	}
	for service, echo := range services {
		work := message.ServiceWork{Service: service}
		if rate := c.first.rates[service]; rate != nil {
			work = rate.message(service)
		}
		work.Echo = echo
		own.Services = append(own.Services, work)
	}
	own.Services = mostWork(own.Services, c.settings.MostServices)
	return own
}

// allZones gives what is known of all zones, with its age. What all of them see of a zone's back
// ends is summed up, so that a state grows with the zones and not with their square.
func (c *Core) allZones() []message.ZoneWork {
	var zones []message.ZoneWork
	for name, state := range c.zones {
		zone := message.ZoneWork{Zone: name, AgeMillis: int((c.now - state.summedAt).Milliseconds())}
		for service, work := range state.work {
			work.Answers = c.answersOf(service, name)
			zone.Services = append(zone.Services, work)
		}
		zone.Services = mostWork(zone.Services, c.settings.MostServices)
		zones = append(zones, zone)
	}
	sortZones(zones)
	return zones
}

// answersOf gives the answers of a zone's back ends that all zones see together.
func (c *Core) answersOf(service lb.ServiceName, zone lb.Zone) []message.ZoneAnswers {
	known := c.services[service]
	for index := range known.Zones {
		of := &known.Zones[index]
		if of.Zone != zone || of.Answers+of.Rejected == 0 {
			continue
		}
		answers := message.ZoneAnswers{Zone: zone, Count: toThousandths(of.Answers), Rejected: toThousandths(of.Rejected)}
		if of.Answers > 0 {
			answers.Logs = toThousandths(of.Answers * math.Log(of.Load))
		}
		return []message.ZoneAnswers{answers}
	}
	return nil
}
