package controller

import (
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/rendezvous"
)

// view is what the membership says of publishing.
type view struct {
	publisher bool // this node is one of the watchers
	reporter  bool // this node reports its zone's state
	watchers  []rendezvous.Candidate
	chain     []rendezvous.Candidate // nodes that take part in chains
	zones     []lb.Zone              // zones with a live node
}

// takeMembers derives the view. Publishers are chosen among all nodes alive,
// so that a node that leaves hands publishing over as it ends.
func (c *Controller) takeMembers(members []core.Member) {
	next := view{}
	var staying []rendezvous.Candidate
	for _, member := range members {
		candidate := rendezvous.Candidate{ID: member.ID, Zone: member.Zone, Hash: member.ID.Hash()}
		if !member.Leaving {
			staying = append(staying, candidate)
		}
		if !slices.Contains(next.zones, member.Zone) {
			next.zones = append(next.zones, member.Zone)
		}
	}
	next.chain = staying
	next.watchers = rendezvous.Watchers(staying)
	next.publisher = slices.ContainsFunc(next.watchers, c.isSelf)
	next.reporter = next.publisher && c.isFirstOfZone(next.watchers)
	publishersChanged := !slices.Equal(next.watchers, c.view.watchers)
	c.view = next
	if publishersChanged {
		for _, service := range c.services {
			c.reconsider(service)
		}
	}
}

// isSelf tells whether the candidate is this node.
func (c *Controller) isSelf(candidate rendezvous.Candidate) bool {
	return candidate.ID == c.settings.Self
}

// isFirstOfZone tells whether this node ranks first of its zone's watchers.
func (c *Controller) isFirstOfZone(watchers []rendezvous.Candidate) bool {
	first := slices.IndexFunc(watchers, func(candidate rendezvous.Candidate) bool {
		return candidate.Zone == c.settings.Zone
	})
	return first >= 0 && c.isSelf(watchers[first])
}

// rank gives this node's place among the service's publishers, from 0. The
// order is by rendezvous, so that services are spread over publishers.
func (c *Controller) rank(service *service) int {
	self := rendezvous.Candidate{ID: c.settings.Self, Hash: c.settings.Self.Hash()}
	rank := 0
	for index := range c.view.watchers {
		other := &c.view.watchers[index]
		if other.ID != self.ID && rendezvous.Before(service.key, other, &self) {
			rank++
		}
	}
	return rank
}

// turn gives the time at which this node acts on what became due at the given
// time: at once at the service's first publisher, later at the others. It
// saves writes that would be in vain; nothing else depends on it.
func (c *Controller) turn(service *service, due time.Duration) time.Duration {
	return due + time.Duration(c.rank(service))*c.settings.TakeOverDelay
}
