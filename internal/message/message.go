// Package message defines the messages between balancers and their codec:
// one JSON object a line, {"type":T,"from":NODE,"body":MESSAGE}. An unknown
// type, field or value is a clear error, never a panic. Messages are passed by
// value, and their slices are not changed once sent or received.
package message

import (
	"robinpulley.example/robinpulley/internal/lb"
)

// Type names a message on the wire.
type Type string

// The types of messages.
const (
	TypePins       Type = "pins"
	TypeRecords    Type = "records"
	TypeRecordsAck Type = "records_ack"
	TypeClean      Type = "clean"
	TypePing       Type = "ping"
	TypePingReq    Type = "ping_req"
	TypePingAck    Type = "ping_ack"
	TypeMembers    Type = "members"
	TypeDigest     Type = "digest"
	TypeWant       Type = "want"
	TypePlacements Type = "placements"
	TypeInForce    Type = "in_force"
	TypeLoad       Type = "load"
)

// Message is any message between balancers.
type Message interface{ MessageType() Type }

// FlowRecord places one flow on one back end. On the wire it is a text of 14
// or 19 characters (see MarshalText).
type FlowRecord struct {
	Flow      lb.FlowID
	Backend   lb.BackendID // NoBackend: the opening was refused
	OpeningID uint32       // zero: not known or not needed
}

// Pins tells a node the back ends of flows, as decided by the tail of their
// chain: from tail to head as confirmation, from head to ingress as pin.
type Pins struct {
	Service lb.ServiceName `json:"service"`
	// Confirm: sent by a tail to the head; otherwise a pin for an ingress node.
	Confirm bool         `json:"confirm,omitempty"`
	Flows   []FlowRecord `json:"flows"`
}

// Records hands records over to a node that is or will be in the chain. It is
// repeated until acknowledged.
type Records struct {
	Service  lb.ServiceName `json:"service"`
	Sequence uint64         `json:"sequence"`
	// Unconfirmed: the sender knows of no tail that answered with these records.
	Unconfirmed bool `json:"unconfirmed,omitempty"`
	// Established: these are UDP flows that the sender saw, as ingress, on the
	// base back end before their bucket was in motion.
	Established bool `json:"established,omitempty"`
	// IdleSeconds is, for each of Flows, the time since the sender last heard
	// of it. Missing ones are zero.
	IdleSeconds []uint32     `json:"idle,omitempty"`
	Flows       []FlowRecord `json:"flows"`
}

// RecordsAck acknowledges one Records.
type RecordsAck struct {
	Sequence uint64 `json:"sequence"`
}

// Clean reports to the service's publisher that this head knows of no flow
// away from the base back end in these buckets.
type Clean struct {
	Service lb.ServiceName `json:"service"`
	Version lb.Version     `json:"version"`
	Buckets []uint16       `json:"buckets"`
}

// MemberState is the state of a member in gossip.
type MemberState string

// States of members (SWIM, DSN 2002, section 4), plus planned leaving.
const (
	MemberAlive   MemberState = "alive"
	MemberSuspect MemberState = "suspect"
	MemberLeaving MemberState = "leaving"
	MemberDead    MemberState = "dead"
)

// MemberUpdate is one piece of membership gossip. Suspect and dead updates may
// leave out zone and addresses.
type MemberUpdate struct {
	Node        lb.NodeID   `json:"n"`
	Zone        lb.Zone     `json:"z,omitempty"`
	Control     string      `json:"c,omitempty"` // address of the control endpoint, UDP and TCP
	Data        string      `json:"d,omitempty"` // address of the Geneve endpoint, UDP
	State       MemberState `json:"s"`
	Incarnation uint64      `json:"i"`
}

// Ping probes a member; PingAck answers it; PingReq asks a third node to
// probe. A Ping of sequence zero only carries updates and is not answered.
type Ping struct {
	Sequence    uint64         `json:"q"`
	Incarnation uint64         `json:"i"` // the sender's own
	Updates     []MemberUpdate `json:"u,omitempty"`
	// Digest of the sender's placements, so that each probe is also anti-entropy.
	Digest uint64 `json:"g,omitempty"`
	// View is a hash of the members that the sender takes as alive.
	View uint64 `json:"m,omitempty"`
	// Full asks for all that the receiver knows of members, as Members.
	Full bool `json:"f,omitempty"`
}

// PingAck answers a Ping.
type PingAck struct {
	Sequence    uint64         `json:"q"`
	Incarnation uint64         `json:"i"` // the sender's own
	Updates     []MemberUpdate `json:"u,omitempty"`
	Digest      uint64         `json:"g,omitempty"`
	View        uint64         `json:"m,omitempty"`
}

// Members is the sender's whole membership, for a node that joins or has
// missed updates.
type Members struct {
	// Partial: only some members, from whom the receiver is to ask for all. The
	// sender has too many to answer at once.
	Partial bool           `json:"p,omitempty"`
	Updates []MemberUpdate `json:"u"`
}

// PingReq asks the receiver to probe Target on behalf of the sender.
type PingReq struct {
	Sequence uint64         `json:"q"`
	Target   lb.NodeID      `json:"t"`
	Updates  []MemberUpdate `json:"u,omitempty"`
}

// Digest carries one hash per group of services; a receiver that differs answers Want.
type Digest struct {
	Groups GroupHashes `json:"groups"`
	// All is the hash over all groups.
	All uint64 `json:"all"`
}

// ServiceVersion is the version of one service's placement at the sender.
type ServiceVersion struct {
	Service lb.ServiceName `json:"s"`
	Version lb.Version     `json:"v"`
}

// Want lists the sender's versions: of every service in Groups, and of single
// services besides. The receiver answers with its placements that are newer,
// and with its own Want when some of its own are older. A service of one of
// the Groups that is not listed is not known to the sender. With no Groups it
// announces new placements.
type Want struct {
	Groups   []uint16         `json:"groups,omitempty"`
	Versions []ServiceVersion `json:"versions,omitempty"`
	// Reply marks a Want sent in answer to a Want, which is not answered by another.
	Reply bool `json:"reply,omitempty"`
}

// Placements carries placement documents (push of a new one, or answer to Want).
type Placements struct {
	Placements []lb.Placement `json:"placements"`
}

// InForce reports to its zone's reporters, and reporters to all publishers, what is in force.
type InForce struct {
	Zone lb.Zone `json:"zone"`
	// Aggregated marks a reporter's statement on all live nodes of the zone.
	Aggregated bool `json:"aggregated,omitempty"`
	// Digest of the sender's placements.
	Digest uint64 `json:"digest"`
	// Nodes counts the nodes the report speaks of (1 from a single node).
	Nodes int `json:"nodes"`
	// Behind counts those known not to have the placements of Digest.
	Behind int `json:"behind"`
	// ConfigRevision: every configuration change up to this store revision is in force.
	ConfigRevision int64 `json:"config_revision"`
	// Versions of placements: adopted lately by the sender, or, when
	// aggregated, in force at all live nodes of the zone.
	Versions []ServiceVersion `json:"versions,omitempty"`
}

// BackendLoad is one back end's health and load, as probed.
type BackendLoad struct {
	Backend lb.BackendName `json:"b"`
	Healthy bool           `json:"h"`
	// Load is in thousandths of capacity, as the host reports it.
	Load uint16 `json:"l"`
	// AgeMillis is how old the report is, in milliseconds.
	AgeMillis uint32 `json:"a"`
	// UnansweredOpenings and Openings are evidence from the data path since the last report.
	Openings           uint32 `json:"o,omitempty"`
	UnansweredOpenings uint32 `json:"x,omitempty"`
}

// Load reports probed back ends to the publishers.
type Load struct {
	Zone     lb.Zone       `json:"zone"`
	Backends []BackendLoad `json:"backends"`
}

// MessageType names the message on the wire.
func (Pins) MessageType() Type { return TypePins }

// MessageType names the message on the wire.
func (Records) MessageType() Type { return TypeRecords }

// MessageType names the message on the wire.
func (RecordsAck) MessageType() Type { return TypeRecordsAck }

// MessageType names the message on the wire.
func (Clean) MessageType() Type { return TypeClean }

// MessageType names the message on the wire.
func (Ping) MessageType() Type { return TypePing }

// MessageType names the message on the wire.
func (PingAck) MessageType() Type { return TypePingAck }

// MessageType names the message on the wire.
func (PingReq) MessageType() Type { return TypePingReq }

// MessageType names the message on the wire.
func (Members) MessageType() Type { return TypeMembers }

// MessageType names the message on the wire.
func (Digest) MessageType() Type { return TypeDigest }

// MessageType names the message on the wire.
func (Want) MessageType() Type { return TypeWant }

// MessageType names the message on the wire.
func (Placements) MessageType() Type { return TypePlacements }

// MessageType names the message on the wire.
func (InForce) MessageType() Type { return TypeInForce }

// MessageType names the message on the wire.
func (Load) MessageType() Type { return TypeLoad }
