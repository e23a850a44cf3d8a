package tokennode

import (
	"net/netip"
	"time"

	"robinpulley.example/robinpulley/internal/conntrack"
	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/follower"
	"robinpulley.example/robinpulley/internal/message"
)

// tellFlows tells nodes of flows that a late answer to their opening must not move.
func (engine *engine) tellFlows(flows []conntrack.Flow, to []netip.AddrPort) {
	if len(flows) == 0 {
		return
	}
	told := message.OpenFlows{Flows: make([]message.OpenFlow, len(flows))}
	for index, flow := range flows {
		told.Flows[index] = message.OpenFlow{
			Flow: flow.ID, OpeningID: flow.OpeningID, Token: uint32(flow.Token), Acknowledged: flow.Acknowledged,
		}
	}
	engine.sendFlows(told, to)
}

func (engine *engine) sendFlows(told message.OpenFlows, to []netip.AddrPort) {
	if len(to) > 0 {
		engine.outbox = append(engine.outbox, follower.Outgoing{To: to, Message: told})
	}
}

// learnFlows takes the flows that another node has told of, and passes on what is new, or
// answers a node that has just started.
func (engine *engine) learnFlows(told *message.OpenFlows, from netip.AddrPort) {
	if told.Ask {
		engine.tellFlows(engine.core.RecentFlows(), []netip.AddrPort{from})
		return
	}
	flows := make([]conntrack.Flow, len(told.Flows))
	for index, flow := range told.Flows {
		flows[index] = conntrack.Flow{
			ID: flow.Flow, OpeningID: flow.OpeningID, Token: conntrack.Token(flow.Token), Acknowledged: flow.Acknowledged,
		}
	}
	engine.core.Step(engine.now(), &core.Event{OpenFlows: flows}, &engine.coreEffects)
	engine.tellFlows(engine.coreEffects.OpenFlows, engine.place.Neighbours(from))
}

// askTime is how long after its start a node asks new neighbours for flows.
const askTime = 10 * time.Second

// askForFlows asks the neighbours in the tree that were not asked before.
func (engine *engine) askForFlows() {
	if engine.last > askTime {
		return
	}
	var to []netip.AddrPort
	for _, neighbour := range engine.place.Neighbours(netip.AddrPort{}) {
		if !engine.asked[neighbour] {
			engine.asked[neighbour] = true
			to = append(to, neighbour)
		}
	}
	engine.sendFlows(message.OpenFlows{Ask: true}, to)
}
