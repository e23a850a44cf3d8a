// Package lb defines the types that all other packages share: flows, nodes, back ends, placements
// and verdicts. Apart from parsing, formatting, validation and hashing it contains almost no logic.
// It imports no other package of this project.
package lb

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// BucketCount is the number of buckets of every placement table. It is prime, as Maglev hashing
// requires (Maglev, NSDI 2016, section 3.4).
const BucketCount = 1021

// Protocol is the transport protocol of a flow, as its IP protocol number.
type Protocol uint8

// The protocols that are balanced, with their IANA protocol numbers.
const (
	TCP Protocol = 6
	UDP Protocol = 17
)

// String returns the lower-case name that settings and documents use.
func (protocol Protocol) String() string {
	switch protocol {
	case TCP:
		return "tcp"
	case UDP:
		return "udp"
	}
	return fmt.Sprintf("protocol(%d)", uint8(protocol))
}

// ParseProtocol parses "tcp" or "udp".
func ParseProtocol(text string) (Protocol, error) {
	switch text {
	case "tcp":
		return TCP, nil
	case "udp":
		return UDP, nil
	}
	return 0, fmt.Errorf("protocol %q is neither tcp nor udp", text)
}

// MarshalText returns the protocol's name.
func (protocol Protocol) MarshalText() ([]byte, error) { return []byte(protocol.String()), nil }

// UnmarshalText parses the protocol's name.
func (protocol *Protocol) UnmarshalText(text []byte) error {
	parsed, err := ParseProtocol(string(text))
	if err != nil {
		return err
	}
	*protocol = parsed
	return nil
}

// NodeID identifies a balancer. A restarted balancer may keep its ID; it then has a higher
// incarnation in the membership.
type NodeID string

// Zone names a failure domain.
type Zone string

// ServiceName names a service; it is the key of its documents in the store.
type ServiceName string

// BackendName names a back end; it is the key of its document in the store.
type BackendName string

// BackendID is the number of a back end within the placements of one service. It is never reused
// for another back end of the same service. Zero means no back end.
type BackendID uint16

// NoBackend is the BackendID that stands for no back end.
const NoBackend BackendID = 0

// Version is the number of a placement of one service; later placements have higher versions.
type Version uint64

// FlowKey is the inner 5-tuple of a flow. IPv4 addresses are stored in their IPv6-mapped form.
type FlowKey struct {
	Source          [16]byte
	Destination     [16]byte
	SourcePort      uint16
	DestinationPort uint16
	Protocol        Protocol
}

// NewFlowKey returns the key of the flow from source to destination.
func NewFlowKey(source, destination netip.AddrPort, protocol Protocol) FlowKey {
	return FlowKey{
		Source:          source.Addr().As16(),
		Destination:     destination.Addr().As16(),
		SourcePort:      source.Port(),
		DestinationPort: destination.Port(),
		Protocol:        protocol,
	}
}

// FlowID is the 64-bit hash of a FlowKey. It is the key of a flow's record.
type FlowID uint64

// flowKeyBytes is the size in bytes of the encoded form that is hashed.
const flowKeyBytes = 16 + 16 + 2 + 2 + 1

// ID returns the hash of the key. It allocates nothing.
func (key *FlowKey) ID() FlowID {
	var buffer [flowKeyBytes]byte
	copy(buffer[0:16], key.Source[:])
	copy(buffer[16:32], key.Destination[:])
	binary.BigEndian.PutUint16(buffer[32:34], key.SourcePort)
	binary.BigEndian.PutUint16(buffer[34:36], key.DestinationPort)
	buffer[36] = uint8(key.Protocol)
	return FlowID(xxhash.Sum64(buffer[:]))
}

// Bucket returns the flow's bucket in the placement table of its service.
func (id FlowID) Bucket() uint16 { return uint16(uint64(id) % BucketCount) }

// Frontend is an address to which clients send requests: virtual IP address, port and protocol.
type Frontend struct {
	Address  netip.AddrPort `json:"address"`
	Protocol Protocol       `json:"protocol"`
}

// String returns the front end as a URL such as tcp://192.0.2.1:443.
func (frontend Frontend) String() string {
	return fmt.Sprintf("%s://%s", frontend.Protocol, frontend.Address)
}

// Verdict states whether a request may have run on a back end.
type Verdict uint8

// The verdicts, from certain refusal to certain delivery.
const (
	// NotRun: no balancer has forwarded a copy of the opening packet, and none will.
	NotRun Verdict = iota + 1
	// MayHaveRun: a copy of the opening packet may have been forwarded.
	MayHaveRun
	// Ran: a copy of the opening packet was forwarded and the back end answered.
	Ran
)

// String returns the name that logs and metrics use.
func (verdict Verdict) String() string {
	switch verdict {
	case NotRun:
		return "not-run"
	case MayHaveRun:
		return "may-have-run"
	case Ran:
		return "ran"
	}
	return fmt.Sprintf("verdict(%d)", uint8(verdict))
}
