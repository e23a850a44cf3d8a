// Package core implements the decision core of one balancer: it takes events
// (packets, placements, members, peer messages, ticks) and gives effects. It
// does no I/O and has no clock and no randomness of its own, so that processes,
// tests and benches drive the same code. See docs/DESIGN.md,
// "The chain" and "Moves".
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

// PacketKind says what a packet tells about its flow.
type PacketKind uint8

// The kinds of packets.
const (
	// PacketOpening opens a flow: TCP SYN without ACK.
	PacketOpening PacketKind = iota + 1
	// PacketMiddle belongs to a TCP flow opened before.
	PacketMiddle
	// PacketClosing is a TCP FIN or RST from the caller.
	PacketClosing
	// PacketUnmarked is a UDP packet: it does not tell whether it opens its flow.
	PacketUnmarked
)

// Packet is what the core needs to know of one packet.
type Packet struct {
	Key  lb.FlowKey
	Kind PacketKind
	// OpeningID tells retransmissions of one opening from a new opening of
	// the same 5-tuple: the TCP initial sequence number. Zero for others.
	OpeningID uint32
	Relay     lb.Relay // Hop is HopIngress for packets from the fabric
	// Token is what a path that carries tokens carries; see AffinityToken.
	Token steering.Token
	// Copies is how many copies of this opening the caller has sent before,
	// as far as the path tells.
	Copies uint32
	// Acknowledged is the packet's acknowledgement number, and HasData tells
	// whether it carries data, where the path tells.
	Acknowledged uint32
	HasData      bool
	// Datagram is the packet as it came, where the path may hold it: ActionHold
	// keeps a copy. It holds only during the step.
	Datagram []byte
}

// Action is what is to be done with the packet of the event.
type Action uint8

// The actions.
const (
	// ActionDrop: count by Reason and forget.
	ActionDrop Action = iota + 1
	// ActionForward: send to Host in Geneve.
	ActionForward
	// ActionRelay: send to the node Peer in Geneve with Relay as option.
	ActionRelay
	// ActionRefuse: answer the caller with Refusal (TCP RST, ICMP for UDP).
	ActionRefuse
	// ActionHold: the core keeps the packet, and decides later; see Effects.Released.
	ActionHold
)

// Reason says why a packet was dropped or refused; it labels metrics.
type Reason string

// The reasons.
const (
	ReasonUnknownService Reason = "unknown-service" // no service has this front end
	ReasonNoBackend      Reason = "no-backend"      // the service has no active back end
	ReasonEvacuated      Reason = "evacuated"       // all zones with active back ends of the service are evacuated
	ReasonUnreachable    Reason = "unreachable"     // this node reaches no zone with back ends of the service
	ReasonCold           Reason = "cold"            // the back ends have just started, and bear no more new flows
	ReasonBackendFailed  Reason = "backend-failed"  // the flow's back end is gone
	ReasonAdmission      Reason = "admission"       // new flows exceed the limit
	ReasonTupleReuse     Reason = "tuple-reuse"     // 5-tuple used again too soon after a move
	ReasonUnknownPeer    Reason = "unknown-peer"    // relayed by or to a node not known
	ReasonDraining       Reason = "draining"        // proposed to a back end that drains by now, and perhaps forwarded
	ReasonPaused         Reason = "paused"          // waited in a queue while this process was paused
	ReasonWrongService   Reason = "wrong-service"   // the last check before the write failed
	ReasonViewsDiffer    Reason = "views-differ"    // two nodes each think the other the head
	ReasonStray          Reason = "stray"           // a later packet of a flow whose opening was refused
	ReasonNoView         Reason = "no-view"         // this node knows no configuration yet
	ReasonOverload       Reason = "overload"        // the service has more work than it can do in time
	ReasonUnknownToken   Reason = "unknown-token"   // the token names no back end known here for the front end
	ReasonCopied         Reason = "copied"          // another datagram of the same flow is decided in its place
)

// Decision is the effect on the packet of the event.
type Decision struct {
	Action  Action
	Reason  Reason
	Service lb.ServiceName
	Backend lb.BackendID
	Host    netip.AddrPort
	Peer    lb.NodeID
	Relay   lb.Relay
	Refusal lb.Refusal
	// Pressure is that on the service, for ReasonOverload: what was decided by.
	Pressure float64
	// Token is to be written on a forwarded packet that opens a flow, and on a later one that is
	// Corrected: it came with the token of a back end at which its flow is not open.
	Token     steering.Token
	Corrected bool
	// Identity names the back end that is meant, on paths whose packets do so.
	Identity uint64
	// Waited is how long the packet was held before this decision.
	Waited time.Duration
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

// Outgoing is a message to a peer.
type Outgoing struct {
	To      lb.NodeID
	Message message.Message
}

// Effects is filled by one Step. The caller reuses it; Step resets it first.
type Effects struct {
	Decision Decision // valid after a packet event
	Messages []Outgoing
	// HandoverDone is set while a planned stop has no record left to hand over.
	// Others may go on sending until they know of the stop, so the node should
	// end only when it has been set for a few seconds on end.
	HandoverDone bool
	// Backends are back ends that have fallen silent or answer again, as far as
	// this node sees. They hold until the next step.
	Backends []passivehealth.Change
	// Outcomes are how requests at back ends went. They hold until the next step.
	Outcomes []passivehealth.Outcome
	// Overload are services that have become overloaded, or are so no more. They
	// hold until the next step.
	Overload []overload.Change
	// Samples are what this node has seen of the load of services since the last ones; nil: they are
	// not due yet.
	Samples []fleetload.Sample
	// OpenFlows are flows to be announced to other balancers, for AffinityToken.
	OpenFlows []conntrack.Flow
	// Reach are zones that are reached no more, or are again. They hold until the next step.
	Reach []reachability.Change
	// Released are openings that were held and are now decided. They hold until
	// the next step.
	Released []Released
	// Unverified is set while the core distrusts its view and waits for ContactRegained.
	Unverified bool
}

// Member is one node as the membership sees it.
type Member struct {
	ID   lb.NodeID
	Zone lb.Zone
	// Leaving nodes still relay and answer, but are in no chain.
	Leaving bool
}

// Event is one input of the core. Exactly one field is set, besides Tick.
type Event struct {
	Packet    *Packet
	Placement *lb.Placement // adopted only when its version is higher
	// Members are all nodes thought alive, self included; with AffinityToken those of
	// the own zone, and no others.
	Members []Member
	// Table is a new table, for AffinityToken.
	Table *steering.Table
	// Ejected are the back ends that the nodes together take for failing, for
	// AffinityToken; empty, not nil: none.
	Ejected []passivehealth.Identity
	// Loads is what the fleet knows of the load of services, for AffinityToken; empty, not
	// nil: nothing.
	Loads map[lb.ServiceName]fleetload.Service
	// OpenFlows are flows that another balancer has announced, for AffinityToken.
	OpenFlows []conntrack.Flow
	Peer      *PeerEvent
	Tick      bool // at least every TickInterval
	// Heard tells, with a tick, when balancers of zones were last heard, for AffinityToken.
	Heard []ZoneHeard
	Leave bool // planned stop begins
	// RetryQueued decides anew on openings that wait, and Close decides on all of them
	// for good and holds no more: the last step of a planned stop.
	RetryQueued, CloseQueue bool
	// Contact tells whether this node has lately exchanged placements with a
	// peer. ContactRegained is valid only after an exchange that began after
	// the contact was lost or Effects.Unsure was first set.
	Contact ContactChange
}

// ZoneHeard is what the membership knows of one zone.
type ZoneHeard struct {
	Zone lb.Zone
	// At is when a message last came straight from a node of the zone.
	At time.Duration
	// Lost: the membership does not reach the zone.
	Lost bool
}

// PeerEvent is a message from a peer.
type PeerEvent struct {
	From    lb.NodeID
	Message message.Message
}

// ContactChange tells the core of lost or regained contact with peers.
type ContactChange uint8

// Changes of contact.
const (
	ContactUnchanged ContactChange = iota
	ContactLost
	ContactRegained
)

// TickInterval is the longest time between two ticks in normal running.
const TickInterval = 200 * time.Millisecond

// Affinity is how a later packet of a flow finds the flow's back end.
type Affinity string

// The affinities.
const (
	// AffinityChain: by records at a chain of two nodes, for paths whose
	// packets carry nothing of the balancer's.
	AffinityChain Affinity = "chain"
	// AffinityToken: by a token that the path's packets carry.
	AffinityToken Affinity = "token"
)

// Picking is a way of choosing the back end of a new flow.
type Picking string

// The ways of picking.
const (
	// PickTurns: by turns among a hand of back ends of its own; see package turns.
	PickSubset Picking = "turns"
	// PickRank: the first by weighted rendezvous, alike at the nodes of a zone.
	PickRank Picking = "rank"
)

// Settings are the core's parameters. Zero values are not valid; see DefaultSettings.
type Settings struct {
	Self lb.NodeID
	Zone lb.Zone
	// Affinity is AffinityChain if empty.
	Affinity Affinity
	// OpeningHold is how long an opening is remembered: the longest time
	// over which callers retransmit one opening.
	OpeningHold time.Duration
	// IdleTimeout ends flows without packets. Placements settle no faster.
	IdleTimeout time.Duration
	// PinLifetime bounds how long a node forwards by a pin without asking again.
	PinLifetime time.Duration
	// PauseLimit is the gap between steps after which the node distrusts its view.
	PauseLimit time.Duration
	// PinBytesPerSecond bounds the pins and confirmations sent.
	PinBytesPerSecond int
	// HandoverBytesPerSecond bounds the records handed over. While there are
	// any to hand over, no pins or confirmations are sent.
	HandoverBytesPerSecond int
	// RetryAfter is the base of the time to come back given with a refusal.
	RetryAfter time.Duration
	// Overload are the parameters of overload control, for AffinityToken.
	Overload overload.Settings
	// Picking is how the back end of a new flow is chosen, for AffinityToken.
	Picking Picking
	// Subset are the parameters of PickTurns.
	Subset subset.Settings
	// AdmissionQueue are those of openings that wait for room, for AffinityToken.
	AdmissionQueue admissionqueue.Settings
	// ColdStart bounds the new flows of back ends that have just started, for AffinityToken.
	ColdStart coldstart.Settings
}

// DefaultSettings gives the defaults for a node.
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
