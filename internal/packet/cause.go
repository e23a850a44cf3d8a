package packet

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Cause says why a datagram was not decoded. It is the error that Decode
// gives, so that dropped datagrams are counted by cause; its String labels
// the metric. Returning a Cause allocates nothing.
type Cause uint8

// The causes.
const (
	// CauseTruncated: a header or a stated length goes beyond the bytes received.
	CauseTruncated Cause = iota + 1
	// CauseGeneveVersion: the Geneve version is not 0 (RFC 8926, section 3.4).
	CauseGeneveVersion
	// CauseControlPacket: the Geneve O bit is set; control packets carry no payload to forward.
	CauseControlPacket
	// CausePayloadType: the Geneve protocol type is neither IPv4 nor IPv6.
	CausePayloadType
	// CauseOptionLength: an option goes beyond the options of its header.
	CauseOptionLength
	// CauseCriticalOption: an unknown option is marked critical (RFC 8926, section 3.5).
	CauseCriticalOption
	// CauseRelayOption: the relay option has an unknown format or value, or is there twice.
	CauseRelayOption
	// CauseRefusalOption: the refusal option has an unknown format or value, or is there twice.
	CauseRefusalOption
	// CauseIPVersion: the inner IP version is not the one of the Geneve protocol type.
	CauseIPVersion
	// CauseIPHeader: the inner IP header has lengths that contradict each other.
	CauseIPHeader
	// CauseIPChecksum: the inner IPv4 header checksum is wrong.
	CauseIPChecksum
	// CauseSourceRoute: the inner IPv4 header names a source route (RFC 7126, sections 4.3 and 4.4).
	CauseSourceRoute
	// CauseFragment: the inner packet is an IP fragment.
	CauseFragment
	// CauseExtensionHeader: the inner IPv6 packet has an extension header.
	CauseExtensionHeader
	// CauseProtocol: the inner protocol is not TCP, UDP or an ICMP error about one of them.
	CauseProtocol
	// CauseTransportHeader: the TCP or UDP header has impossible lengths or flags.
	CauseTransportHeader
	// CauseICMP: the ICMP message is no error message, or holds no header that names a flow.
	CauseICMP

	causeEnd
)

// CauseCount is one more than the highest Cause: the size of an array indexed by Cause.
const CauseCount = int(causeEnd)

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

// String gives the name used in metrics.
func (cause Cause) String() string {
	if cause == 0 || cause >= causeEnd {
		return fmt.Sprintf("cause(%d)", uint8(cause))
	}
	return causeNames[cause]
}

// Error says that the datagram is malformed, and the cause.
func (cause Cause) Error() string { return "malformed packet: " + cause.String() }

// CauseOf gives the Cause in an error of Decode; false if it holds none.
func CauseOf(err error) (Cause, bool) {
	var cause Cause
	found := errors.As(err, &cause)
	return cause, found
}
