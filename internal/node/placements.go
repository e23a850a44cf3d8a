package node

import (
	"slices"

	"robinpulley.example/robinpulley/internal/controller"
	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/gossip"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/logging"
	"robinpulley.example/robinpulley/internal/member"
)

// gossipStep gives one event to the gossip and passes on its effects.
func (engine *engine) gossipStep(event *gossip.Event) {
	engine.gossip.SetHandoverBusy(!engine.core.HandoverIdle())
	engine.gossip.Step(engine.now(), event, &engine.gossipEffects)
	effects := &engine.gossipEffects
	for _, outgoing := range effects.Messages {
		engine.send(outgoing.To, outgoing.Message)
	}
	for _, placement := range effects.Adopted {
		engine.adopt(placement)
	}
	if len(effects.Adopted) > 0 {
		engine.member.SetDigest(engine.gossip.Digest())
	}
	if effects.Contact == gossip.ContactLost {
		engine.distrust()
	}
	engine.synced = engine.synced || effects.Synced
	// The publisher may step the gossip in turn, which reuses the effects.
	for _, report := range slices.Clone(effects.InForce) {
		if report.Zone == engine.settings.Zone {
			engine.zoneReport = &report
		}
		engine.controllerStep(&controller.Event{InForce: &report})
	}
}

// repeatZoneReport gives the publisher the last statement on its zone again:
// it passes over one that comes too soon after the last report it wrote.
func (engine *engine) repeatZoneReport() {
	if engine.zoneReport != nil {
		engine.controllerStep(&controller.Event{InForce: engine.zoneReport})
	}
}

// adopt puts a placement into force.
func (engine *engine) adopt(placement *lb.Placement) {
	if engine.beforeAdoption != nil {
		engine.beforeAdoption(placement)
	}
	engine.coreStep(&core.Event{Placement: placement})
	engine.logger.Info().
		Str(logging.FieldEvent, string(logging.EventPlacementAdopted)).
		Str(logging.FieldService, string(placement.Service)).
		Uint64(logging.FieldVersion, uint64(placement.Version)).
		Send()
}

// gossipMembers gives the members in the form of the gossip.
func gossipMembers(members []member.Member) []gossip.Member {
	list := make([]gossip.Member, len(members))
	for index, entry := range members {
		list[index] = gossip.Member{ID: entry.ID, Zone: entry.Zone, Leaving: entry.Leaving}
	}
	return list
}

// readiness says what a node may serve from.
type readiness struct {
	ready  bool
	source string // of the placements
	// ask: no peer has any placements, so that the store must say there are none.
	ask bool
}

// readiness tells whether this node knows the placements: those of a peer, or,
// where peers have none or there are no peers, those of the store.
func (engine *engine) readiness() readiness {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	alone := len(engine.directory.all()) < 2
	switch {
	case !engine.synced:
		return readiness{}
	case engine.listed:
		return readiness{ready: true, source: readyFromStore}
	case engine.gossip.Len() > 0 && !alone:
		return readiness{ready: true, source: readyFromPeer}
	}
	return readiness{ask: true}
}

// placementsFromStore takes a list of all placements in the store.
func (engine *engine) placementsFromStore(placements []*lb.Placement) {
	engine.input(func() {
		engine.listed = true
		engine.gossipStep(&gossip.Event{Placements: placements})
	})
}
