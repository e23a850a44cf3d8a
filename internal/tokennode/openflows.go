package tokennode

import (
	"net/netip"
	"time"

	"robinpulley.example/robinpulley/internal/conntrack"
	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/follower"
	"robinpulley.example/robinpulley/internal/message"
)

// announceFlows sends open flows to other nodes, so that a late answer to a flow's opening does not
// move the flow to another back end at any of these nodes.
func (engine *engine) announceFlows(flows []conntrack.Flow, to []netip.AddrPort) {
	if len(flows) == 0 {
		return
	}
	announcement := message.OpenFlows{Flows: make([]message.OpenFlow, len(flows))}
	for index, flow := range flows {
		announcement.Flows[index] = message.OpenFlow{
			Flow: flow.ID, OpeningID: flow.OpeningID, Token: uint32(flow.Token), Acknowledged: flow.Acknowledged,
		}
	}
	engine.sendFlows(announcement, to)
}

// sendFlows adds a message about open flows to the outbox, unless there is no receiver.
func (engine *engine) sendFlows(sent message.OpenFlows, to []netip.AddrPort) {
	if len(to) > 0 {
		engine.outbox = append(engine.outbox, follower.Outgoing{To: to, Message: sent})
	}
}

// applyOpenFlows processes a message about open flows. It adds the flows that another node has
// announced and forwards those that are new along the tree. To a request, which nodes send after
// their start, it answers with the recent flows.
func (engine *engine) applyOpenFlows(received *message.OpenFlows, from netip.AddrPort) {
	if received.Request {
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
	engine.announceFlows(engine.coreEffects.OpenFlows, engine.treePlace.Neighbours(from))
}

// flowRequestPeriod is how long after its start a node requests open flows from new neighbours in
// the tree.
const flowRequestPeriod = 10 * time.Second

// requestFlows requests the open flows from those neighbours in the tree to which no request was
// sent before.
func (engine *engine) requestFlows() {
	if engine.lastStep > flowRequestPeriod {
		return
	}
	var to []netip.AddrPort
	for _, neighbour := range engine.treePlace.Neighbours(netip.AddrPort{}) {
		if !engine.flowsRequested[neighbour] {
			engine.flowsRequested[neighbour] = true
			to = append(to, neighbour)
		}
	}
	engine.sendFlows(message.OpenFlows{Request: true}, to)
}
