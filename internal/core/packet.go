package core

import (
	"robinpulley.example/robinpulley/internal/conntrack"
	"robinpulley.example/robinpulley/internal/fleetload"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/overload"
	"robinpulley.example/robinpulley/internal/passivehealth"
	"robinpulley.example/robinpulley/internal/reachability"
	"robinpulley.example/robinpulley/internal/steering"
)

// packetHandler decides one packet.
type packetHandler struct {
	core     *Core
	packet   *Packet
	decision *Decision
	service  *service
	group    *group
	bucket   *bucket // nil if this node has no state of the bucket
	index    uint16  // index of bucket in the service
	flow     lb.FlowID
	key      lb.FrontendKey
}

// proposal is the decision that a head proposes to a tail: a back end, or refusal.
type proposal struct {
	backend   lb.BackendID
	refuse    bool
	confirmed bool // it comes from a record that a tail has confirmed
}

// chainAffinity implements AffinityChain by the rules of docs/DESIGN.md, "The chain". The methods
// that concern only AffinityToken do nothing.
type chainAffinity struct{ *Core }

// setTable does nothing: the chain uses placements in place of a steering table.
func (chainAffinity) setTable(*steering.Table) {}

// tick does nothing: Core.tick does the periodic work of the chain.
func (chainAffinity) tick() {}

// backendChanges, outcomes and setEjected do nothing: the node collects the outcome reports of the
// chain outside the core.
func (chainAffinity) backendChanges() []passivehealth.Change { return nil }

func (chainAffinity) outcomes() []passivehealth.Outcome { return nil }

func (chainAffinity) setEjected([]passivehealth.Identity) {}

// overloadChanges and overloadStatus return nothing: the chain has no overload control.
func (chainAffinity) overloadChanges() []overload.Change { return nil }

func (chainAffinity) overloadStatus() []overload.Status { return nil }

// setLoads and loadSamples do nothing, because they serve overload control as well.
func (chainAffinity) setLoads(map[lb.ServiceName]fleetload.Service) {}

func (chainAffinity) loadSamples() []fleetload.Sample  { return nil }
func (chainAffinity) updateReachability([]ZoneContact) {}

func (chainAffinity) reachabilityChanges() []reachability.Change { return nil }

func (chainAffinity) reachabilityStatus() []reachability.Status { return nil }

// retryQueued, takeReleased and queuedOpenings do nothing: the chain holds no openings.
func (chainAffinity) retryQueued(bool) {}

func (chainAffinity) takeReleased() []Released { return nil }

func (chainAffinity) queuedOpenings() int { return 0 }

func (chainAffinity) openFlowAnnouncements() []conntrack.Flow { return nil }

func (chainAffinity) applyOpenFlows([]conntrack.Flow) []conntrack.Flow { return nil }

func (chainAffinity) recentFlows() []conntrack.Flow { return nil }

func (chainAffinity) trackedStats() conntrack.Stats { return conntrack.Stats{} }

// decide decides one packet.
func (core chainAffinity) decide(packet *Packet, decision *Decision) {
	handler := packetHandler{core: core.Core, packet: packet, decision: decision}
	if core.now < core.dropPacketsUntil && !core.disabled.noDropAfterPause {
		handler.drop(ReasonPaused)
		return
	}
	handler.key = packet.Key.Frontend()
	handler.service = core.frontends[handler.key]
	if handler.service == nil {
		handler.drop(ReasonUnknownService)
		return
	}
	handler.flow = packet.Key.ID()
	handler.index = handler.flow.Bucket()
	handler.group = core.groupOf(handler.service, handler.index)
	handler.bucket = handler.service.buckets[handler.index]
	decision.Service = handler.service.name
	switch packet.Relay.Hop {
	case lb.HopIngress:
		handler.handleFromFabric()
	case lb.HopHead:
		handler.handleRelayedToHead()
	case lb.HopTail:
		handler.handleAsTail()
	case lb.HopReturn:
		handler.handleReturned()
	default:
		handler.drop(ReasonUnknownPeer)
	}
}

// ensureBucket returns the packet's bucket and creates it if this node has no state of it yet.
func (handler *packetHandler) ensureBucket() *bucket {
	if handler.bucket == nil {
		handler.bucket = handler.core.ensureBucket(handler.service, handler.index)
	}
	return handler.bucket
}

// record returns this node's record of the flow, or nil.
func (handler *packetHandler) record() *record { return handler.bucket.record(handler.flow) }

func (handler *packetHandler) isOpening() bool { return handler.packet.Kind == PacketOpening }

func (handler *packetHandler) drop(reason Reason) { handler.decision.drop(reason) }

// relay sends the packet on to another balancer.
func (handler *packetHandler) relay(peer *node, relay lb.Relay) {
	handler.decision.Action = ActionRelay
	handler.decision.Peer = peer.ID
	handler.decision.Relay = relay
}

// forward sends the packet to a back end, after a final check that both the packet's front end and
// the back end belong to the service.
func (handler *packetHandler) forward(id lb.BackendID) {
	handler.decision.Backend = id
	if handler.core.disabled.noLastServiceCheck {
		backend, _ := handler.service.table.Backend(id)
		handler.decision.Action = ActionForward
		handler.decision.Host = backend.Host
		return
	}
	if !handler.serviceHasFrontend() {
		handler.drop(ReasonWrongService)
		return
	}
	backend, found := handler.service.table.Backend(id)
	switch {
	case id == lb.NoBackend:
		handler.refuse(lb.MayHaveRun, ReasonNoBackend)
	case found && backend.State != lb.BackendFailed:
		handler.decision.Action = ActionForward
		handler.decision.Host = backend.Host
	case found || id < handler.service.table.Document().NextBackendID:
		handler.refuse(lb.MayHaveRun, ReasonBackendFailed)
	default: // the back end belongs to a newer placement than this node's
		handler.drop(ReasonWrongService)
	}
}

// serviceHasFrontend reports whether the service's present placement contains the packet's front
// end.
func (handler *packetHandler) serviceHasFrontend() bool {
	for index := range handler.service.frontendKeys {
		if handler.service.frontendKeys[index] == handler.key {
			return true
		}
	}
	return false
}

// notFailed reports whether the back end exists and has not failed, so that a flow may be placed on
// it.
func (handler *packetHandler) notFailed(id lb.BackendID) bool {
	backend, found := handler.service.table.Backend(id)
	return found && backend.State != lb.BackendFailed
}

// isActive reports whether the back end is in the state in which it accepts new flows.
func (handler *packetHandler) isActive(id lb.BackendID) bool {
	backend, found := handler.service.table.Backend(id)
	return found && backend.State == lb.BackendActive
}
