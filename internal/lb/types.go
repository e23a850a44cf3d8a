// Package lb holds the types that every other package shares: flows, nodes,
// back ends, placements and verdicts. It has no behaviour beyond parsing,
// printing and hashing, and imports no other package of this project.
package lb

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// BucketCount is the number of buckets in every placement table. It is prime,
// as the Maglev table needs (Maglev, NSDI 2016, section 3.4).
const BucketCount = 1021

// Protocol is the transport protocol of a flow, as its IP protocol number.
type Protocol uint8

// The two protocols that are balanced (IANA protocol numbers).
const (
	TCP Protocol = 6
	UDP Protocol = 17
)

// String gives the lower-case name used in settings and documents.
func (protocol Protocol) String() string {
	switch protocol {
	case TCP:
		return "tcp"
	case UDP:
		return "udp"
	}
	return fmt.Sprintf("protocol(%d)", uint8(protocol))
}

// ParseProtocol reads "tcp" or "udp".
func ParseProtocol(text string) (Protocol, error) {
	switch text {
	case "tcp":
		return TCP, nil
	case "udp":
		return UDP, nil
	}
	return 0, fmt.Errorf("protocol %q is neither tcp nor udp", text)
}

// MarshalText writes the protocol's name.
func (protocol Protocol) MarshalText() ([]byte, error) { return []byte(protocol.String()), nil }

// UnmarshalText reads the protocol's name.
func (protocol *Protocol) UnmarshalText(text []byte) error {
	parsed, err := ParseProtocol(string(text))
	if err != nil {
		return err
	}
	*protocol = parsed
	return nil
}

// NodeID names one run of one balancer: a restarted balancer may keep its name
// and then has a higher incarnation in the membership.
type NodeID string

// Zone names a failure domain.
type Zone string

// ServiceName names a service; it is the key of its documents in the store.
type ServiceName string

// BackendName names a back end; it is the key of its document in the store.
type BackendName string

// BackendID numbers a back end within the placements of one service. A
// number is never given to another back end of the same service. Zero means none.
type BackendID uint16

// NoBackend is the BackendID that names no back end.
const NoBackend BackendID = 0

// Version numbers the placements of one service; it only grows.
type Version uint64

// FlowKey is the inner 5-tuple of a flow; IPv4 addresses are held in their
// IPv6-mapped form.
type FlowKey struct {
	Source          [16]byte
	Destination     [16]byte
	SourcePort      uint16
	DestinationPort uint16
	Protocol        Protocol
}

// NewFlowKey builds the key of the flow from source to destination.
func NewFlowKey(source, destination netip.AddrPort, protocol Protocol) FlowKey {
	return FlowKey{
		Source:          source.Addr().As16(),
		Destination:     destination.Addr().As16(),
		SourcePort:      source.Port(),
		DestinationPort: destination.Port(),
		Protocol:        protocol,
	}
}

// FlowID is the 64-bit hash of a FlowKey; records of flows are kept under it.
type FlowID uint64

// flowKeyBytes is the size of the byte form that is hashed.
const flowKeyBytes = 16 + 16 + 2 + 2 + 1

// ID hashes the key. It allocates nothing.
func (key *FlowKey) ID() FlowID {
	var buffer [flowKeyBytes]byte
	copy(buffer[0:16], key.Source[:])
	copy(buffer[16:32], key.Destination[:])
	binary.BigEndian.PutUint16(buffer[32:34], key.SourcePort)
	binary.BigEndian.PutUint16(buffer[34:36], key.DestinationPort)
	buffer[36] = uint8(key.Protocol)
	return FlowID(xxhash.Sum64(buffer[:]))
}

// Bucket gives the bucket of the flow in the table of its service.
func (id FlowID) Bucket() uint16 { return uint16(uint64(id) % BucketCount) }

// Frontend is one address that callers use: the virtual address, port and protocol.
type Frontend struct {
	Address  netip.AddrPort `json:"address"`
	Protocol Protocol       `json:"protocol"`
}

// String prints the front end as tcp://192.0.2.1:443.
func (frontend Frontend) String() string {
	return fmt.Sprintf("%s://%s", frontend.Protocol, frontend.Address)
}

// Verdict says whether a request may have run at a back end.
type Verdict uint8

// The verdicts, from certain refusal to certain delivery.
const (
	// NotRun: no copy of the opening packet was forwarded by any balancer, and none will be.
	NotRun Verdict = iota + 1
	// MayHaveRun: a copy may have been forwarded.
	MayHaveRun
	// Ran: a copy was forwarded and the back end answered.
	Ran
)

// String gives the name used in logs, metrics and the Geneve option.
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
