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

// gossipStep steps the gossip with an event and executes its effects.
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
		engine.markUnverified()
	}
	engine.synced = engine.synced || effects.Synced
	// The controller may step the gossip in turn, which reuses the effects.
	for _, report := range slices.Clone(effects.InForce) {
		if report.Zone == engine.settings.Zone {
			engine.zoneReport = &report
		}
		engine.controllerStep(&controller.Event{InForce: &report})
	}
}

// reapplyZoneReport passes the last in-force report on the local zone to the controller again. The
// controller ignores a report that arrives too soon after it last wrote the zone's status.
func (engine *engine) reapplyZoneReport() {
	if engine.zoneReport != nil {
		engine.controllerStep(&controller.Event{InForce: engine.zoneReport})
	}
}

// adopt passes a newly adopted placement to the core, which applies it from now on.
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

// gossipMembers returns the members in the form of the gossip.
func gossipMembers(members []member.Member) []gossip.Member {
	list := make([]gossip.Member, len(members))
	for index, entry := range members {
		list[index] = gossip.Member{ID: entry.ID, Zone: entry.Zone, Leaving: entry.Leaving}
	}
	return list
}

// readiness is the progress of a starting node towards having the placements.
type readiness struct {
	ready  bool
	source string // source of the placements
	// needStoreList is set if no peer has any placements, so that only a list of the store can show
	// whether there are any.
	needStoreList bool
}

// readiness reports whether this node has the placements: those of a peer, or those of the store if
// peers have none or there are no peers.
func (engine *engine) readiness() readiness {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	alone := len(engine.directory.all()) < 2
	switch {
	case !engine.synced:
		return readiness{}
	case engine.storeListed:
		return readiness{ready: true, source: readyFromStore}
	case engine.gossip.Len() > 0 && !alone:
		return readiness{ready: true, source: readyFromPeer}
	}
	return readiness{needStoreList: true}
}

// applyStoredPlacements applies the list of all placements in the store.
func (engine *engine) applyStoredPlacements(placements []*lb.Placement) {
	engine.runInput(func() {
		engine.storeListed = true
		engine.gossipStep(&gossip.Event{Placements: placements})
	})
}
