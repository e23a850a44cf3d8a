// Package core implements the decision core of one balancer. The core processes events (packets,
// placements, members, peer messages, ticks) and returns effects. It does no I/O and has neither a
// clock nor a source of randomness, so that production processes, tests and benchmarks run the same
// code. See docs/DESIGN.md, "The chain" and "Moves".
package core

import (
	"net/netip"
	"time"

	"robinpulley.example/robinpulley/internal/admissionqueue"
	"robinpulley.example/robinpulley/internal/coldstart"
	"robinpulley.example/robinpulley/internal/conntrack"
	"robinpulley.example/robinpulley/internal/fleetload"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
	"robinpulley.example/robinpulley/internal/overload"
	"robinpulley.example/robinpulley/internal/passivehealth"
	"robinpulley.example/robinpulley/internal/reachability"
	"robinpulley.example/robinpulley/internal/steering"
	"robinpulley.example/robinpulley/internal/subset"
)

// PacketKind is the position of a packet in its flow.
type PacketKind uint8

// The kinds of packets.
const (
	// PacketOpening opens a flow: TCP SYN without ACK.
	PacketOpening PacketKind = iota + 1
	// PacketMiddle is a packet of a TCP flow that neither opens nor ends the flow.
	PacketMiddle
	// PacketClosing is a TCP FIN or RST sent by the client.
	PacketClosing
	// PacketUnmarked is a UDP packet. UDP does not show whether a packet is the first of its flow.
	PacketUnmarked
)

// Packet holds the properties of a packet on which the core bases its decision.
type Packet struct {
	Key  lb.FlowKey
	Kind PacketKind
	// OpeningID distinguishes a new opening from a retransmission of an earlier opening of the same
	// 5-tuple. It is the TCP initial sequence number, and zero for other protocols.
	OpeningID uint32
	Relay     lb.Relay // Hop is HopIngress for packets that come from the fabric
	// Token is the token in the packet, on paths that carry tokens; see AffinityToken.
	Token steering.Token
	// Copies is the number of times that the client has already sent this opening, if the path
	// shows it.
	Copies uint32
	// Acknowledged is the packet's acknowledgement number and HasData reports whether the packet
	// carries data, if the path shows them.
	Acknowledged uint32
	HasData      bool
	// Datagram is the received datagram, if the path allows it to be held; ActionHold copies it.
	// The slice is valid only during the step.
	Datagram []byte
}

// Action is how the data plane must handle the packet of an event.
type Action uint8

// The actions.
const (
	// ActionDrop discards the packet and counts it under Reason.
	ActionDrop Action = iota + 1
	// ActionForward sends the packet to Host, encapsulated in Geneve.
	ActionForward
	// ActionRelay sends the packet to the node Peer, encapsulated in Geneve with Relay as an
	// option.
	ActionRelay
	// ActionRefuse replies to the client with Refusal (TCP RST, or ICMP for UDP).
	ActionRefuse
	// ActionHold leaves the packet in the core's admission queue. The core decides it in a later
	// step; see Effects.Released.
	ActionHold
)

// Reason is why a packet was dropped or refused. Its value is a metric label.
type Reason string

// The reasons.
const (
	ReasonUnknownService Reason = "unknown-service" // no service has this front end
	ReasonNoBackend      Reason = "no-backend"      // the service has no active back end
	ReasonEvacuated      Reason = "evacuated"       // all zones with active back ends are evacuated
	ReasonUnreachable    Reason = "unreachable"     // this node can reach no zone with back ends
	ReasonCold           Reason = "cold"            // all back ends are cold and at their limit
	ReasonBackendFailed  Reason = "backend-failed"  // the flow's back end has failed or was removed
	ReasonAdmission      Reason = "admission"       // new flows exceed the service's rate limit
	ReasonTupleReuse     Reason = "tuple-reuse"     // a 5-tuple was reused too soon after a move
	ReasonUnknownPeer    Reason = "unknown-peer"    // relayed by or to an unknown node
	ReasonDraining       Reason = "draining"        // the back end that may have it now drains
	ReasonPaused         Reason = "paused"          // queued while this process was paused
	ReasonWrongService   Reason = "wrong-service"   // front end or back end is not of the service
	ReasonViewsDiffer    Reason = "views-differ"    // two nodes each consider the other the head
	ReasonStray          Reason = "stray"           // later packet of a flow that was refused
	ReasonNoView         Reason = "no-view"         // this node has received no configuration yet
	ReasonOverload       Reason = "overload"        // the service cannot meet its latency objective
	ReasonUnknownToken   Reason = "unknown-token"   // no known back end has this token
	ReasonDuplicate      Reason = "copied"          // replaced by another datagram of the same flow
)

// Decision is how the core handles the packet of an event.
type Decision struct {
	Action  Action
	Reason  Reason
	Service lb.ServiceName
	Backend lb.BackendID
	Host    netip.AddrPort
	Peer    lb.NodeID
	Relay   lb.Relay
	Refusal lb.Refusal
	// Pressure is the service's pressure at the time of the decision, for ReasonOverload.
	Pressure float64
	// Token must be written into the forwarded packet if the packet opens a flow, or if Corrected
	// is set. Corrected marks a later packet that carried the token of a back end at which its flow
	// is not open.
	Token     steering.Token
	Corrected bool
	// Identity is the identity of the chosen back end, on paths whose packets carry it.
	Identity uint64
	// HeldFor is the time for which the packet was held before this decision.
	HeldFor time.Duration
}

func (decision *Decision) drop(reason Reason) {
	decision.Action = ActionDrop
	decision.Reason = reason
}

func (decision *Decision) refuse(reason Reason, refusal lb.Refusal) {
	decision.Action = ActionRefuse
	decision.Reason = reason
	decision.Refusal = refusal
}

// Outgoing is a message to send to a peer.
type Outgoing struct {
	To      lb.NodeID
	Message message.Message
}

// Effects holds the results of one Step. The caller reuses it; Step resets it first.
type Effects struct {
	Decision Decision // valid after a packet event
	Messages []Outgoing
	// HandoverDone is set during a planned stop while no record is left to hand over. Other nodes
	// may keep sending until they learn of the stop, so the process should exit only after
	// HandoverDone has been set without interruption for a few seconds.
	HandoverDone bool
	// Backends are the back ends that have become unresponsive, or responsive again, as observed by
	// this node. The slice is valid until the next step.
	Backends []passivehealth.Change
	// Outcomes are the results of requests at back ends. The slice is valid until the next step.
	Outcomes []passivehealth.Outcome
	// Overload lists the services that have become overloaded or are no longer overloaded. The
	// slice is valid until the next step.
	Overload []overload.Change
	// LoadSamples are this node's load measurements of services since the last samples, or nil
	// while no samples are due.
	LoadSamples []fleetload.Sample
	// OpenFlows are the flows to announce to other balancers, for AffinityToken.
	OpenFlows []conntrack.Flow
	// Reachability lists the zones that have become unreachable or reachable again. The slice is
	// valid until the next step.
	Reachability []reachability.Change
	// Released are the held openings that have been decided in this step. The slice is valid until
	// the next step.
	Released []Released
	// Unverified is set while the core considers its view possibly stale and waits for
	// ContactRegained.
	Unverified bool
}

// Member is one node of the membership.
type Member struct {
	ID   lb.NodeID
	Zone lb.Zone
	// Leaving nodes still relay packets and reply to messages, but belong to no chain.
	Leaving bool
}

// Event is one input of the core. Exactly one field is set, apart from Tick and the fields that
// accompany it.
type Event struct {
	Packet    *Packet
	Placement *lb.Placement // applied only if its version is higher than the current one
	// Members are all nodes considered alive, including this one. With AffinityToken, they are only
	// the nodes of the local zone.
	Members []Member
	// Table is a new steering table, for AffinityToken.
	Table *steering.Table
	// Ejected are the back ends that outlier detection across the nodes has ejected, for
	// AffinityToken. Empty but not nil means that no back end is ejected.
	Ejected []passivehealth.Identity
	// Loads is the fleet-wide load of each service, for AffinityToken. Empty but not nil means that
	// no load is known.
	Loads map[lb.ServiceName]fleetload.Service
	// OpenFlows are flows that another balancer has announced, for AffinityToken.
	OpenFlows []conntrack.Flow
	Peer      *PeerEvent
	Tick      bool // sent at least every TickInterval
	// ZoneContacts accompanies a tick. It lists when this node last received a message from
	// balancers of other zones, for AffinityToken.
	ZoneContacts []ZoneContact
	Leave        bool // begins a planned stop
	// RetryQueued decides the queued openings again. CloseQueue decides all of them finally and
	// disables the admission queue; it is the last step of a planned stop.
	RetryQueued, CloseQueue bool
	// Contact reports whether this node has recently exchanged placements with a peer.
	// ContactRegained is valid only after an exchange that began after the contact was lost or
	// Effects.Unverified was first set.
	Contact ContactChange
}

// ZoneContact is the membership's contact with one zone.
type ZoneContact struct {
	Zone lb.Zone
	// At is when this node last received a message directly from a node of the zone.
	At time.Duration
	// Lost reports that the membership has no contact with the zone.
	Lost bool
}

// PeerEvent is a message from a peer.
type PeerEvent struct {
	From    lb.NodeID
	Message message.Message
}

// ContactChange reports that contact with peers was lost or regained.
type ContactChange uint8

// The changes of contact.
const (
	ContactUnchanged ContactChange = iota
	ContactLost
	ContactRegained
)

// TickInterval is the maximum time between two ticks in normal operation.
const TickInterval = 200 * time.Millisecond

// Affinity is the method by which later packets of a flow are sent to the flow's back end.
type Affinity string

// The affinities.
const (
	// AffinityChain keeps flow records at a chain of two nodes, for paths whose packets cannot
	// carry balancer data.
	AffinityChain Affinity = "chain"
	// AffinityToken uses a token that the path's packets carry.
	AffinityToken Affinity = "token"
)

// Picking is the method of choosing the back end of a new flow.
type Picking string

// The methods of picking.
const (
	// PickSubset uses smooth weighted round-robin within this node's own subset of back ends; see
	// package subset.
	PickSubset Picking = "turns"
	// PickRank picks the first back end by weighted rendezvous hashing, which is the same on all
	// nodes of a zone.
	PickRank Picking = "rank"
)

// Settings are the core's parameters. Zero values are invalid; see DefaultSettings.
type Settings struct {
	Self lb.NodeID
	Zone lb.Zone
	// Affinity defaults to AffinityChain if empty.
	Affinity Affinity
	// OpeningHold is how long an opening is remembered. It must be at least the longest time over
	// which clients retransmit one opening.
	OpeningHold time.Duration
	// IdleTimeout ends flows that have sent no packets for this time. Placements settle no sooner.
	IdleTimeout time.Duration
	// PinLifetime is the maximum time for which a node forwards by a pin without relaying a
	// packet of the flow to the head again.
	PinLifetime time.Duration
	// PauseLimit is the gap between two steps after which the node treats its view as unverified.
	PauseLimit time.Duration
	// PinBytesPerSecond limits the rate of pins and confirmations sent.
	PinBytesPerSecond int
	// HandoverBytesPerSecond limits the rate of records handed over. No pins or confirmations are
	// sent while records wait to be handed over.
	HandoverBytesPerSecond int
	// RetryAfter is the base of the retry time sent with a refusal.
	RetryAfter time.Duration
	// Overload holds the parameters of overload control, for AffinityToken.
	Overload overload.Settings
	// Picking is the method of choosing the back end of a new flow, for AffinityToken.
	Picking Picking
	// Subset holds the parameters of PickSubset.
	Subset subset.Settings
	// AdmissionQueue holds the parameters of the admission queue, for AffinityToken.
	AdmissionQueue admissionqueue.Settings
	// ColdStart limits the new flows sent to back ends that have just started, for AffinityToken.
	ColdStart coldstart.Settings
}

// DefaultSettings returns the default settings of a node.
func DefaultSettings(self lb.NodeID, zone lb.Zone) Settings {
	return Settings{
		Self:                   self,
		Zone:                   zone,
		OpeningHold:            60 * time.Second,
		IdleTimeout:            300 * time.Second,
		PinLifetime:            60 * time.Second,
		PauseLimit:             time.Second,
		PinBytesPerSecond:      3000,
		HandoverBytesPerSecond: 3000,
		RetryAfter:             500 * time.Millisecond,
		Overload:               overload.DefaultSettings(),
		Picking:                PickSubset,
		Subset:                 subset.DefaultSettings(),
		AdmissionQueue:         admissionqueue.DefaultSettings(),
		ColdStart:              coldstart.DefaultSettings(self, zone),
	}
}
