package tokennode

import (
	"net/netip"
	"time"

	"robinpulley.example/robinpulley/internal/conntrack"
	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/follower"
	"robinpulley.example/robinpulley/internal/message"
)

// announceFlows sends nodes flows that a late answer to their opening must not move.
func (engine *engine) announceFlows(flows []conntrack.Flow, to []netip.AddrPort) {
	if len(flows) == 0 {
		return
	}
	announced := message.OpenFlows{Flows: make([]message.OpenFlow, len(flows))}
	for index, flow := range flows {
		announced.Flows[index] = message.OpenFlow{
			Flow: flow.ID, OpeningID: flow.OpeningID, Token: uint32(flow.Token), Acknowledged: flow.Acknowledged,
		}
	}
	engine.sendFlows(announced, to)
}

func (engine *engine) sendFlows(sent message.OpenFlows, to []netip.AddrPort) {
	if len(to) > 0 {
		engine.outbox = append(engine.outbox, follower.Outgoing{To: to, Message: sent})
	}
}

// learnFlows takes the flows that another node has announced, and passes on what is new, or
// answers a node that has just started.
func (engine *engine) learnFlows(received *message.OpenFlows, from netip.AddrPort) {
	if received.Ask {
		engine.announceFlows(engine.core.RecentFlows(), []netip.AddrPort{from})
		return
	}
	flows := make([]conntrack.Flow, len(received.Flows))
	for index, flow := range received.Flows {
		flows[index] = conntrack.Flow{
			ID: flow.Flow, OpeningID: flow.OpeningID, Token: conntrack.Token(flow.Token), Acknowledged: flow.Acknowledged,
		}
	}
	engine.core.Step(engine.now(), &core.Event{OpenFlows: flows}, &engine.coreEffects)
	engine.announceFlows(engine.coreEffects.OpenFlows, engine.place.Neighbours(from))
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
