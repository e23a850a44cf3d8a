package tokennode

import (
	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/fleetload"
	"robinpulley.example/robinpulley/internal/follower"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/outlier"
	"robinpulley.example/robinpulley/internal/tree"
)

// loadStep gives one event to the fleet's load and carries out its effects.
func (engine *engine) loadStep(event *fleetload.Event) {
	engine.load.Step(engine.now(), event, &engine.loadEffects)
	for _, outgoing := range engine.loadEffects.Messages {
		engine.outbox = append(engine.outbox, follower.Outgoing{To: outgoing.To, Message: outgoing.Message})
	}
	if !engine.loadEffects.Changed {
		return
	}
	engine.core.Step(engine.now(), &core.Event{Loads: engine.loadEffects.Services}, &engine.coreEffects)
	engine.logChanges()
	if engine.table != nil {
		engine.logLoad()
	}
}

// noteSamples tells the fleet's load what the core has seen.
func (engine *engine) noteSamples() {
	if engine.coreEffects.LoadSamples != nil {
		engine.loadStep(&fleetload.Event{Samples: engine.coreEffects.LoadSamples})
	}
}

// giveCapacity tells the fleet's load what the ready back ends work on at once.
func (engine *engine) giveCapacity() {
	capacity := make(map[lb.ServiceName]map[lb.Zone]float64)
	for name, service := range engine.table.Services() {
		capacity[name] = service.Capacity()
	}
	engine.loadStep(&fleetload.Event{Capacity: capacity})
}

// placeInTree tells what goes by the tree over the zone where this node is in it.
func (engine *engine) placeInTree() {
	place := placeOf(engine.settings.Node, engine.follower.ZoneNodes(), engine.follower.ZoneRelays(), engine.others+1)
	engine.place = place
	engine.askForFlows()
	begins := place.First && !engine.judges
	engine.judges = place.First
	engine.evidenceStep(&outlier.Event{Place: &place})
	engine.loadStep(&fleetload.Event{Place: &place})
	if begins {
		engine.giveServices()
	}
}

// placeOf gives the place of a node in the tree over its zone's nodes by rank.
func placeOf(self lb.NodeID, zone, heads []follower.Peer, nodes int) tree.Place {
	return tree.PlaceOf(self, treeNodes(zone), treeNodes(heads), nodes)
}

func treeNodes(peers []follower.Peer) []tree.Node {
	nodes := make([]tree.Node, len(peers))
	for index := range peers {
		nodes[index] = tree.Node{ID: peers[index].ID, Control: peers[index].Control}
	}
	return nodes
}
