package tokennode

import (
	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/fleetload"
	"robinpulley.example/robinpulley/internal/follower"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/outlier"
	"robinpulley.example/robinpulley/internal/tree"
)

// loadStep steps the fleet load exchange with an event and executes its effects.
func (engine *engine) loadStep(event *fleetload.Event) {
	engine.load.Step(engine.now(), event, &engine.loadEffects)
	for _, outgoing := range engine.loadEffects.Messages {
		engine.outbox = append(engine.outbox, follower.Outgoing{To: outgoing.To, Message: outgoing.Message})
	}
	if !engine.loadEffects.Changed {
		return
	}
	engine.core.Step(engine.now(), &core.Event{Loads: engine.loadEffects.Services}, &engine.coreEffects)
	engine.processCoreChanges()
	if engine.table != nil {
		engine.logLoad()
	}
}

// forwardLoadSamples passes the load samples that the core has measured on to the fleet load
// exchange.
func (engine *engine) forwardLoadSamples() {
	if engine.coreEffects.LoadSamples != nil {
		engine.loadStep(&fleetload.Event{Samples: engine.coreEffects.LoadSamples})
	}
}

// updateCapacity passes the capacity of the ready back ends, in slots per service and zone, to the
// fleet load exchange.
func (engine *engine) updateCapacity() {
	capacity := make(map[lb.ServiceName]map[lb.Zone]float64)
	for name, service := range engine.table.Services() {
		capacity[name] = service.Capacity()
	}
	engine.loadStep(&fleetload.Event{Capacity: capacity})
}

// updateTreePlace recomputes the place of this node in the tree over its zone's nodes, and passes
// it to the state machines that exchange messages along the tree.
func (engine *engine) updateTreePlace() {
	place := treePlaceOf(engine.settings.Node, engine.follower.ZoneNodes(), engine.follower.ZoneRelays(), engine.otherMembers+1)
	engine.treePlace = place
	engine.requestFlows()
	becomesRoot := place.IsRoot && !engine.evaluatesOutliers
	engine.evaluatesOutliers = place.IsRoot
	engine.outlierStep(&outlier.Event{Place: &place})
	engine.loadStep(&fleetload.Event{Place: &place})
	if becomesRoot {
		engine.updateOutlierServices()
	}
}

// treePlaceOf returns the place of a node in the tree over its zone's nodes, which are ordered by
// rank.
func treePlaceOf(self lb.NodeID, zone, relays []follower.Peer, nodes int) tree.Place {
	return tree.PlaceOf(self, treeNodes(zone), treeNodes(relays), nodes)
}

func treeNodes(peers []follower.Peer) []tree.Node {
	nodes := make([]tree.Node, len(peers))
	for index := range peers {
		nodes[index] = tree.Node{ID: peers[index].ID, Control: peers[index].Control}
	}
	return nodes
}
