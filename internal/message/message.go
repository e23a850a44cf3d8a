// Package message defines the messages between load balancer nodes and their codec. Each message is
// one line with one JSON object, {"type":T,"from":NODE,"body":MESSAGE}. An unknown type, an unknown
// field or an invalid value results in an error, never in a panic. Messages are passed by value,
// and their slices must not be changed after a message was sent or received.
package message

import (
	"robinpulley.example/robinpulley/internal/lb"
)

// Type is the name of a message type on the wire.
type Type string

// These are the types of messages about flows, members, placements and back ends.
const (
	TypePins        Type = "pins"
	TypeRecords     Type = "records"
	TypeRecordsAck  Type = "records_ack"
	TypeClean       Type = "clean"
	TypePing        Type = "ping"
	TypePingReq     Type = "ping_req"
	TypePingAck     Type = "ping_ack"
	TypeMembers     Type = "members"
	TypeDigest      Type = "digest"
	TypeVersionList Type = "want"
	TypePlacements  Type = "placements"
	TypeInForce     Type = "in_force"
	TypeLoad        Type = "load"
)

// Message is implemented by all messages between nodes.
type Message interface{ MessageType() Type }

// FlowRecord assigns one flow to one back end. On the wire it is a string of 14 or 19 characters
// (see MarshalText).
type FlowRecord struct {
	Flow      lb.FlowID
	Backend   lb.BackendID // NoBackend if the opening was refused
	OpeningID uint32       // zero if unknown or not needed
}

// Pins sends the back ends that the tail of a chain has decided on for flows: from the tail to the
// head as confirmation, and from the head to the ingress node as pins.
type Pins struct {
	Service lb.ServiceName `json:"service"`
	// Confirm is set if the tail sends the message to the head. Otherwise the flows are pins for an
	// ingress node.
	Confirm bool         `json:"confirm,omitempty"`
	Flows   []FlowRecord `json:"flows"`
}

// Records hands records over to a node that is, or will be, in the chain. The sender repeats it
// until the receiver acknowledges it.
type Records struct {
	Service  lb.ServiceName `json:"service"`
	Sequence uint64         `json:"sequence"`
	// Unconfirmed is set if the sender knows of no tail that answered with these records.
	Unconfirmed bool `json:"unconfirmed,omitempty"`
	// Established is set if these are UDP flows that the sender, as their ingress node, saw on the
	// base back end before their bucket was in motion.
	Established bool `json:"established,omitempty"`
	// IdleSeconds contains, for each of Flows, the time since the sender last received a packet of
	// the flow. Missing entries count as zero.
	IdleSeconds []uint32     `json:"idle,omitempty"`
	Flows       []FlowRecord `json:"flows"`
}

// RecordsAck acknowledges the Records message with the same sequence number.
type RecordsAck struct {
	Sequence uint64 `json:"sequence"`
}

// Clean reports to the publisher of the service that the sender, as the head of the chain, has no
// record of a flow in these buckets on another back end than the base.
type Clean struct {
	Service lb.ServiceName `json:"service"`
	Version lb.Version     `json:"version"`
	Buckets []uint16       `json:"buckets"`
}

// MemberState is the state of a member.
type MemberState string

// These are the states of a member: those of SWIM (DSN 2002, section 4), and leaving, for a planned
// shutdown.
const (
	MemberAlive   MemberState = "alive"
	MemberSuspect MemberState = "suspect"
	MemberLeaving MemberState = "leaving"
	MemberDead    MemberState = "dead"
)

// MemberUpdate announces the state of one member. Suspect and dead updates may omit zone and
// addresses.
type MemberUpdate struct {
	Node        lb.NodeID   `json:"n"`
	Zone        lb.Zone     `json:"z,omitempty"`
	Control     string      `json:"c,omitempty"` // address of the control endpoint, UDP and TCP
	Data        string      `json:"d,omitempty"` // address of the Geneve endpoint, UDP
	State       MemberState `json:"s"`
	Incarnation uint64      `json:"i"`
}

// Ping probes a member, PingAck answers it, and PingReq requests that a third node probe a member.
// A Ping with sequence number zero only carries updates and is not answered.
type Ping struct {
	Sequence    uint64         `json:"q"`
	Incarnation uint64         `json:"i"` // of the sender
	Updates     []MemberUpdate `json:"u,omitempty"`
	// Digest is the hash of the sender's placement versions. Since every probe carries it, probes
	// also detect differences for anti-entropy.
	Digest uint64 `json:"g,omitempty"`
	// View is a hash of the members that the sender considers alive.
	View uint64 `json:"m,omitempty"`
	// RequestMembers requests all members that the receiver knows, in a Members message.
	RequestMembers bool `json:"f,omitempty"`
}

// PingAck answers a Ping.
type PingAck struct {
	Sequence    uint64         `json:"q"`
	Incarnation uint64         `json:"i"` // of the sender
	Updates     []MemberUpdate `json:"u,omitempty"`
	Digest      uint64         `json:"g,omitempty"`
	View        uint64         `json:"m,omitempty"`
}

// Members carries the sender's whole member list, for a node that joins or has missed updates.
type Members struct {
	// Partial is set if the message lists only some members, from which the receiver is to request
	// the full list: the sender has too many requests to answer at once.
	Partial bool           `json:"p,omitempty"`
	Updates []MemberUpdate `json:"u"`
}

// PingReq requests that the receiver probe Target on behalf of the sender.
type PingReq struct {
	Sequence uint64         `json:"q"`
	Target   lb.NodeID      `json:"t"`
	Updates  []MemberUpdate `json:"u,omitempty"`
}

// Digest carries one hash per group of services. A receiver with other hashes answers with a
// VersionList.
type Digest struct {
	Groups GroupHashes `json:"groups"`
	// All is the hash over all groups.
	All uint64 `json:"all"`
}

// ServiceVersion is the version of the sender's placement of one service.
type ServiceVersion struct {
	Service lb.ServiceName `json:"s"`
	Version lb.Version     `json:"v"`
}

// VersionList announces or requests placements. It lists the sender's versions of all services in
// Groups, and of single other services. The receiver answers with its placements that are newer,
// and with a VersionList of its own if some of its placements are older. If a service in one of
// Groups is not listed, the sender has no placement of it. A VersionList without Groups announces
// new placements.
type VersionList struct {
	Groups   []uint16         `json:"groups,omitempty"`
	Versions []ServiceVersion `json:"versions,omitempty"`
	// Reply is set in a VersionList that answers another one. The receiver answers it only with
	// placements.
	Reply bool `json:"reply,omitempty"`
}

// Placements carries placement documents, either new ones or the answer to a VersionList.
type Placements struct {
	Placements []lb.Placement `json:"placements"`
}

// InForce reports which placement versions are in force. A node sends it to the reporters of its
// zone, and a reporter to all publishers.
type InForce struct {
	Zone lb.Zone `json:"zone"`
	// Aggregated is set in a reporter's report on all live nodes of its zone.
	Aggregated bool `json:"aggregated,omitempty"`
	// Digest is the hash of the sender's placement versions.
	Digest uint64 `json:"digest"`
	// Nodes is the number of nodes that the report covers (1 from a single node).
	Nodes int `json:"nodes"`
	// Behind is the number of these nodes that are not known to have the placements of Digest.
	Behind int `json:"behind"`
	// ConfigRevision is a store revision: every configuration change up to it is in force.
	ConfigRevision int64 `json:"config_revision"`
	// Versions lists placement versions: the ones that the sender adopted recently or, if
	// Aggregated, the ones that are in force at all live nodes of the zone.
	Versions []ServiceVersion `json:"versions,omitempty"`
}

// BackendLoad is the health and the load of one back end, as probed.
type BackendLoad struct {
	Backend lb.BackendName `json:"b"`
	Healthy bool           `json:"h"`
	// Load is the load that the host reports, in thousandths of its capacity.
	Load uint16 `json:"l"`
	// AgeMillis is the age of the load report, in milliseconds.
	AgeMillis uint32 `json:"a"`
	// Openings and UnansweredOpenings count openings in the data path since the last report, as
	// evidence for passive health checks.
	Openings           uint32 `json:"o,omitempty"`
	UnansweredOpenings uint32 `json:"x,omitempty"`
}

// Load reports the health and load of probed back ends to the publishers.
type Load struct {
	Zone     lb.Zone       `json:"zone"`
	Backends []BackendLoad `json:"backends"`
}

// MessageType returns the type of the message.
func (Pins) MessageType() Type { return TypePins }

// MessageType returns the type of the message.
func (Records) MessageType() Type { return TypeRecords }

// MessageType returns the type of the message.
func (RecordsAck) MessageType() Type { return TypeRecordsAck }

// MessageType returns the type of the message.
func (Clean) MessageType() Type { return TypeClean }

// MessageType returns the type of the message.
func (Ping) MessageType() Type { return TypePing }

// MessageType returns the type of the message.
func (PingAck) MessageType() Type { return TypePingAck }

// MessageType returns the type of the message.
func (PingReq) MessageType() Type { return TypePingReq }

// MessageType returns the type of the message.
func (Members) MessageType() Type { return TypeMembers }

// MessageType returns the type of the message.
func (Digest) MessageType() Type { return TypeDigest }

// MessageType returns the type of the message.
func (VersionList) MessageType() Type { return TypeVersionList }

// MessageType returns the type of the message.
func (Placements) MessageType() Type { return TypePlacements }

// MessageType returns the type of the message.
func (InForce) MessageType() Type { return TypeInForce }

// MessageType returns the type of the message.
func (Load) MessageType() Type { return TypeLoad }
