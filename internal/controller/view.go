package controller

import (
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/rendezvous"
)

// membershipView holds what the controller derives from the membership.
type membershipView struct {
	publisher bool // this node is one of the watchers
	reporter  bool // this node reports its zone's state
	watchers  []rendezvous.Candidate
	chain     []rendezvous.Candidate // nodes that take part in chains: all that are not leaving
	zones     []lb.Zone              // zones with a live node
}

// applyMembers derives the view from the membership. Watchers are chosen among the nodes that are
// not leaving, so that another node takes over publishing while a leaving node stops.
func (c *Controller) applyMembers(members []core.Member) {
	next := membershipView{}
	var notLeaving []rendezvous.Candidate
	for _, member := range members {
		candidate := rendezvous.Candidate{ID: member.ID, Zone: member.Zone, Hash: member.ID.Hash()}
		if !member.Leaving {
			notLeaving = append(notLeaving, candidate)
		}
		if !slices.Contains(next.zones, member.Zone) {
			next.zones = append(next.zones, member.Zone)
		}
	}
	next.chain = notLeaving
	next.watchers = rendezvous.Watchers(notLeaving)
	next.publisher = slices.ContainsFunc(next.watchers, c.isSelf)
	next.reporter = next.publisher && c.isFirstOfZone(next.watchers)
	publishersChanged := !slices.Equal(next.watchers, c.view.watchers)
	c.view = next
	if publishersChanged {
		for _, service := range c.services {
			c.scheduleNow(service)
		}
	}
}

// isSelf reports whether the candidate is this node.
func (c *Controller) isSelf(candidate rendezvous.Candidate) bool {
	return candidate.ID == c.settings.Self
}

// isFirstOfZone reports whether this node ranks first among the watchers of its zone.
func (c *Controller) isFirstOfZone(watchers []rendezvous.Candidate) bool {
	first := slices.IndexFunc(watchers, func(candidate rendezvous.Candidate) bool {
		return candidate.Zone == c.settings.Zone
	})
	return first >= 0 && c.isSelf(watchers[first])
}

// rank returns this node's position in the takeover order of the service's publishers, from 0. The
// order comes from rendezvous hashing, which spreads the services over the publishers.
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

// takeoverTime returns the time at which this node acts on a write that becomes due at the given
// time. The service's first publisher acts at once, and the others later by their rank. The delay
// only avoids writes that would conflict; correctness does not depend on it.
func (c *Controller) takeoverTime(service *service, due time.Duration) time.Duration {
	return due + time.Duration(c.rank(service))*c.settings.TakeoverDelay
}
