package core

import (
	"robinpulley.example/robinpulley/internal/lb"
)

// Stats counts the actions of a core since its creation.
type Stats struct {
	Forwarded uint64
	Relayed   uint64
	Dropped   uint64
	Refused   uint64
	// HeldOpenings counts the openings that were held. They also count in the fields above once
	// they are decided.
	HeldOpenings HeldStats
	// ByReason counts dropped and refused packets, in the order of Reasons.
	ByReason [reasonCount]uint64

	PinnedPackets     uint64 // packets forwarded by a pin
	Rerouted          uint64 // packets passed on by a node that is not the head
	Returned          uint64 // packets sent back to the head by the tail
	HintsSent         uint64 // pins and confirmations sent
	HintsSuppressed   uint64 // pins and confirmations not sent: no budget, or the recipient left
	HandoverSent      uint64 // records handed over
	HandoverResent    uint64 // messages with records sent again
	PlacementsAdopted uint64
	InvalidPlacements uint64
	// VersionConflicts counts placements with a known version and a different write ID. They mean
	// two concurrent writers, which the store's compare-and-swap should rule out.
	VersionConflicts uint64
	Pauses           uint64 // gaps between steps that were longer than PauseLimit
}

// reasonCount is the number of reasons.
const reasonCount = 18

// Reasons lists every reason, in the order of Stats.ByReason.
var Reasons = [reasonCount]Reason{
	ReasonUnknownService, ReasonNoBackend, ReasonBackendFailed, ReasonAdmission, ReasonTupleReuse,
	ReasonUnknownPeer, ReasonWrongService, ReasonViewsDiffer, ReasonStray, ReasonPaused, ReasonDraining,
	ReasonNoView, ReasonUnknownToken, ReasonOverload, ReasonEvacuated, ReasonCold,
	ReasonUnreachable, ReasonDuplicate,
}

// count adds a decision to the counters.
func (core *Core) count(decision *Decision) {
	switch decision.Action {
	case ActionForward:
		core.stats.Forwarded++
	case ActionRelay:
		core.stats.Relayed++
	case ActionDrop:
		core.stats.Dropped++
		core.countReason(decision.Reason)
	case ActionHold:
		core.stats.HeldOpenings.Held++
	case ActionRefuse:
		core.stats.Refused++
		core.countReason(decision.Reason)
	}
}

func (core *Core) countReason(reason Reason) {
	for index, known := range Reasons {
		if known == reason {
			core.stats.ByReason[index]++
		}
	}
}

// Stats returns the counters.
func (core *Core) Stats() Stats { return core.stats }

// State is a summary of a core's state, for debugging.
type State struct {
	Verified bool           `json:"sure"`
	Leaving  bool           `json:"leaving"`
	Members  int            `json:"members"`
	Services []ServiceState `json:"services"`
	// HandoverTargets are the nodes to which records are being handed over.
	HandoverTargets []HandoverState `json:"handover_targets,omitempty"`
}

// ServiceState is a summary of one service.
type ServiceState struct {
	Service       lb.ServiceName `json:"service"`
	Version       lb.Version     `json:"version"`
	MovingBuckets int            `json:"moving_buckets"`
	Headed        int            `json:"headed_buckets"`
	Records       int            `json:"records"`
	Pins          int            `json:"pins"`
	KnownUDP      int            `json:"known_udp"`
	Bytes         int            `json:"bytes"` // memory for records, pins and known UDP flows
}

// HandoverState is the progress of a handover to one node.
type HandoverState struct {
	Node           lb.NodeID `json:"node"`
	Buckets        int       `json:"buckets"` // buckets still to be read
	Flows          int       `json:"flows"`   // flows still to be sent
	Unacknowledged int       `json:"unacknowledged"`
}

// State returns a summary of the core's state. It iterates over all buckets, so use it for
// debugging and metrics only.
func (core *Core) State() State {
	state := State{Verified: core.viewVerified, Leaving: core.leaving, Members: len(core.members.all)}
	for _, service := range core.servicesByName {
		state.Services = append(state.Services, core.serviceState(service))
	}
	for _, entry := range core.handover.targets {
		state.HandoverTargets = append(state.HandoverTargets, HandoverState{
			Node: entry.to.ID, Buckets: len(entry.buckets), Flows: len(entry.flows), Unacknowledged: len(entry.batches),
		})
	}
	return state
}

func (core *Core) serviceState(service *service) ServiceState {
	state := ServiceState{
		Service:       service.name,
		Version:       service.table.Version(),
		MovingBuckets: service.table.MovingBuckets(),
		Headed:        core.headedBuckets(service),
	}
	for _, bucket := range service.buckets {
		state.Records += bucket.records.len()
		state.Pins += bucket.pins.len()
		state.KnownUDP += bucket.knownUDP.len()
		state.Bytes += bucket.records.bytes() + bucket.pins.bytes() + bucket.knownUDP.bytes()
	}
	return state
}
