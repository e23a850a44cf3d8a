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

// turn is the handling of one packet.
type turn struct {
	core     *Core
	packet   *Packet
	decision *Decision
	service  *service
	group    *group
	bucket   *bucket // nil while nothing is held of the bucket
	index    uint16  // of the bucket
	flow     lb.FlowID
	key      lb.FrontendKey
}

// proposal is what a head proposes to a tail: a back end, or refusal.
type proposal struct {
	backend lb.BackendID
	refuse  bool
	known   bool // from a record that a tail confirmed
}

// chainAffinity is AffinityChain: the rules of docs/DESIGN.md, "The chain".
type chainAffinity struct{ *Core }

// setTable is not for this affinity, which goes by placements.
func (chainAffinity) setTable(*steering.Table) {}

// tick does nothing: what is due for the chain is due for the core.
func (chainAffinity) tick() {}

// changes gives nothing: the chain's evidence is gathered by its node.
func (chainAffinity) changes() []passivehealth.Change { return nil }

// outcomes gives nothing, and avoid does nothing: see changes.
func (chainAffinity) outcomes() []passivehealth.Outcome { return nil }

func (chainAffinity) avoid([]passivehealth.Identity) {}

// overloads and pressures give nothing: this affinity has no overload control.
func (chainAffinity) overloads() []overload.Change { return nil }

func (chainAffinity) pressures() []overload.Status { return nil }

// setLoads and samples are for overload control, too.
func (chainAffinity) setLoads(map[lb.ServiceName]fleetload.Service) {}

func (chainAffinity) samples() []fleetload.Sample { return nil }
func (chainAffinity) heard([]ZoneHeard)           {}

func (chainAffinity) reached() []reachability.Change { return nil }

func (chainAffinity) zones() []reachability.Status { return nil }

// look, takeReleased and waits do nothing: nothing is held for room here.
func (chainAffinity) look(bool) {}

func (chainAffinity) takeReleased() []Released { return nil }

func (chainAffinity) waits() int { return 0 }

func (chainAffinity) openFlows() []conntrack.Flow { return nil }

func (chainAffinity) learn([]conntrack.Flow) []conntrack.Flow { return nil }

func (chainAffinity) recentFlows() []conntrack.Flow { return nil }

func (chainAffinity) tracked() conntrack.Stats { return conntrack.Stats{} }

// packet decides on one packet.
func (core chainAffinity) packet(packet *Packet, decision *Decision) {
	current := turn{core: core.Core, packet: packet, decision: decision}
	if core.now < core.discardUntil && !core.off.noDropAfterPause {
		current.drop(ReasonPaused)
		return
	}
	current.key = packet.Key.Frontend()
	current.service = core.frontends[current.key]
	if current.service == nil {
		current.drop(ReasonUnknownService)
		return
	}
	current.flow = packet.Key.ID()
	current.index = current.flow.Bucket()
	current.group = core.groupOf(current.service, current.index)
	current.bucket = current.service.buckets[current.index]
	decision.Service = current.service.name
	switch packet.Relay.Hop {
	case lb.HopIngress:
		current.ingress()
	case lb.HopHead:
		current.relayedToHead()
	case lb.HopTail:
		current.tail()
	case lb.HopReturn:
		current.returned()
	default:
		current.drop(ReasonUnknownPeer)
	}
}

// held gives the bucket, a new one if nothing is held of it yet.
func (current *turn) held() *bucket {
	if current.bucket == nil {
		current.bucket = current.core.ensureBucket(current.service, current.index)
	}
	return current.bucket
}

// record gives this node's record of the flow, or nil.
func (current *turn) record() *record { return current.bucket.record(current.flow) }

func (current *turn) opening() bool { return current.packet.Kind == PacketOpening }

func (current *turn) drop(reason Reason) { current.decision.drop(reason) }

// relay sends the packet on to another balancer.
func (current *turn) relay(peer *node, relay lb.Relay) {
	current.decision.Action = ActionRelay
	current.decision.Peer = peer.ID
	current.decision.Relay = relay
}

// forward sends the packet to a back end, after a last check that both the
// packet's front end and the back end belong to the service.
func (current *turn) forward(id lb.BackendID) {
	current.decision.Backend = id
	if current.core.off.noLastServiceCheck {
		backend, _ := current.service.table.Backend(id)
		current.decision.Action = ActionForward
		current.decision.Host = backend.Host
		return
	}
	if !current.ownFrontend() {
		current.drop(ReasonWrongService)
		return
	}
	backend, found := current.service.table.Backend(id)
	switch {
	case id == lb.NoBackend:
		current.refuse(lb.MayHaveRun, ReasonNoBackend)
	case found && backend.State != lb.BackendFailed:
		current.decision.Action = ActionForward
		current.decision.Host = backend.Host
	case found || id < current.service.table.Document().NextBackendID:
		current.refuse(lb.MayHaveRun, ReasonBackendFailed)
	default: // of a newer placement than this node has
		current.drop(ReasonWrongService)
	}
}

// ownFrontend tells whether the service in force has the packet's front end.
func (current *turn) ownFrontend() bool {
	for index := range current.service.frontendKeys {
		if current.service.frontendKeys[index] == current.key {
			return true
		}
	}
	return false
}

// takesNewFlows tells whether a back end may be given a flow afresh.
func (current *turn) takesNewFlows(id lb.BackendID) bool {
	backend, found := current.service.table.Backend(id)
	return found && backend.State != lb.BackendFailed
}

// active tells whether the back end takes new flows by its own state.
func (current *turn) active(id lb.BackendID) bool {
	backend, found := current.service.table.Backend(id)
	return found && backend.State == lb.BackendActive
}
