package core

import (
	"robinpulley.example/robinpulley/internal/lb"
)

// Stats counts what a core did since it began, and what it holds.
type Stats struct {
	Forwarded uint64
	Relayed   uint64
	Dropped   uint64
	Refused   uint64
	// Waited are openings that were held; they count above when they are decided.
	Waited Waits
	// ByReason counts dropped and refused packets, in the order of Reasons.
	ByReason [reasonCount]uint64

	PinnedPackets     uint64 // forwarded by a pin
	Rerouted          uint64 // passed on by a node that is not the head
	Returned          uint64 // sent back to the head by the tail
	HintsSent         uint64 // pins and confirmations
	HintsSuppressed   uint64 // for want of budget
	HandoverSent      uint64 // records handed over
	HandoverResent    uint64 // messages of records repeated
	PlacementsAdopted uint64
	InvalidPlacements uint64
	// VersionConflicts counts placements of a known version with another write
	// id: two writers, which the store's compare-and-swap rules out.
	VersionConflicts uint64
	Pauses           uint64 // gaps between steps longer than PauseLimit
}

// reasonCount is the number of reasons.
const reasonCount = 18

// Reasons lists every reason, in the order of Stats.ByReason.
var Reasons = [reasonCount]Reason{
	ReasonUnknownService, ReasonNoBackend, ReasonBackendFailed, ReasonAdmission, ReasonTupleReuse,
	ReasonUnknownPeer, ReasonWrongService, ReasonViewsDiffer, ReasonStray, ReasonPaused, ReasonDraining,
	ReasonNoView, ReasonUnknownToken, ReasonOverload, ReasonEvacuated, ReasonCold,
	ReasonUnreachable, ReasonCopied,
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
		core.stats.Waited.Held++
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

// Stats gives the counters.
func (core *Core) Stats() Stats { return core.stats }

// State sums up what a core holds, for debugging.
type State struct {
	Verified bool           `json:"sure"`
	Leaving  bool           `json:"leaving"`
	Members  int            `json:"members"`
	Services []ServiceState `json:"services"`
	// HandoverTargets are the nodes that records are being handed to.
	HandoverTargets []HandoverState `json:"handover_targets,omitempty"`
}

// ServiceState sums up one service.
type ServiceState struct {
	Service       lb.ServiceName `json:"service"`
	Version       lb.Version     `json:"version"`
	MovingBuckets int            `json:"moving_buckets"`
	Headed        int            `json:"headed_buckets"`
	Records       int            `json:"records"`
	Pins          int            `json:"pins"`
	KnownUDP      int            `json:"known_udp"`
	Bytes         int            `json:"bytes"` // of records, pins and known flows
}

// HandoverState is the progress of a handover to one node.
type HandoverState struct {
	Node           lb.NodeID `json:"node"`
	Buckets        int       `json:"buckets"` // to be read
	Flows          int       `json:"flows"`   // to be sent
	Unacknowledged int       `json:"unacknowledged"`
}

// State walks over all buckets; call it for debugging and metrics only.
func (core *Core) State() State {
	state := State{Verified: core.sure, Leaving: core.leaving, Members: len(core.members.all)}
	for _, service := range core.ordered {
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
		Headed:        core.headed(service),
	}
	for _, bucket := range service.buckets {
		state.Records += bucket.records.len()
		state.Pins += bucket.pins.len()
		state.KnownUDP += bucket.known.len()
		state.Bytes += bucket.records.bytes() + bucket.pins.bytes() + bucket.known.bytes()
	}
	return state
}
