package packet

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Cause is the reason why a datagram could not be decoded. It is the error type of Decode. Dropped
// datagrams are counted by Cause, and its String is the label in the metric. Returning a Cause does
// not allocate memory.
type Cause uint8

// Values of Cause.
const (
	// CauseTruncated means that a header or a length field exceeds the received bytes.
	CauseTruncated Cause = iota + 1
	// CauseGeneveVersion means that the Geneve version is not 0 (RFC 8926, section 3.4).
	CauseGeneveVersion
	// CauseControlPacket means that the Geneve O bit is set. Control packets have no payload to
	// forward.
	CauseControlPacket
	// CausePayloadType means that the Geneve protocol type is neither IPv4 nor IPv6.
	CausePayloadType
	// CauseOptionLength means that an option exceeds the options field of the Geneve header.
	CauseOptionLength
	// CauseCriticalOption means that an unknown option is marked as critical (RFC 8926, section
	// 3.5).
	CauseCriticalOption
	// CauseRelayOption means that the relay option has an unknown format or an invalid value, or
	// occurs twice.
	CauseRelayOption
	// CauseRefusalOption means that the refusal option has an unknown format or an invalid value,
	// or occurs twice.
	CauseRefusalOption
	// CauseIPVersion means that the inner IP version differs from the Geneve protocol type.
	CauseIPVersion
	// CauseIPHeader means that the length fields of the inner IP header are inconsistent.
	CauseIPHeader
	// CauseIPChecksum means that the checksum of the inner IPv4 header is wrong.
	CauseIPChecksum
	// CauseSourceRoute means that the inner IPv4 header has a source route option (RFC 7126,
	// sections 4.3 and 4.4).
	CauseSourceRoute
	// CauseFragment means that the inner packet is an IP fragment.
	CauseFragment
	// CauseExtensionHeader means that the inner IPv6 packet has an extension header.
	CauseExtensionHeader
	// CauseProtocol means that the inner protocol is neither TCP nor UDP nor the ICMP of its IP
	// version.
	CauseProtocol
	// CauseTransportHeader means that the TCP or UDP header has invalid lengths or flags.
	CauseTransportHeader
	// CauseICMP means that the ICMP message is not an error message, or does not quote a packet
	// that identifies a flow.
	CauseICMP

	causeLimit
)

// CauseCount is the size of an array that is indexed by Cause: one more than the highest Cause.
const CauseCount = int(causeLimit)

var causeNames = [CauseCount]string{
	CauseTruncated:       "truncated",
	CauseGeneveVersion:   "geneve-version",
	CauseControlPacket:   "control-packet",
	CausePayloadType:     "payload-type",
	CauseOptionLength:    "option-length",
	CauseCriticalOption:  "critical-option",
	CauseRelayOption:     "relay-option",
	CauseRefusalOption:   "refusal-option",
	CauseIPVersion:       "ip-version",
	CauseIPHeader:        "ip-header",
	CauseIPChecksum:      "ip-checksum",
	CauseSourceRoute:     "source-route",
	CauseFragment:        "fragment",
	CauseExtensionHeader: "extension-header",
	CauseProtocol:        "protocol",
	CauseTransportHeader: "transport-header",
	CauseICMP:            "icmp",
}

// String returns the label for metrics.
func (cause Cause) String() string {
	if cause == 0 || cause >= causeLimit {
		return fmt.Sprintf("cause(%d)", uint8(cause))
	}
	return causeNames[cause]
}

// Error returns a message that contains the label of the cause.
func (cause Cause) Error() string { return "malformed packet: " + cause.String() }

// CauseOf returns the Cause in the chain of err. The second result reports whether there is one.
func CauseOf(err error) (Cause, bool) {
	var cause Cause
	found := errors.As(err, &cause)
	return cause, found
}
