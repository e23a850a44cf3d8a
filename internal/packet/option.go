package packet

import (
	"encoding/binary"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// optionClass is the class of this project's Geneve options, from the range for experimental use
// (RFC 8926, section 7).
const optionClass uint16 = 0xff52

// optionType is the type of a Geneve option. Its highest bit marks the option as critical.
type optionType uint8

// Types of this project's options. A receiver that does not support Relay must drop the packet. A
// receiver that does not support Refusal can still deliver the inner packet.
const (
	optionCritical optionType = 0x80
	optionRelay               = optionCritical | 0x01
	optionRefusal  optionType = 0x02
)

// Data of the relay option, format 1, in network byte order:
//
//	0      format
//	1      hop
//	2      flags
//	3      zero
//	4..5   proposal
//	6..7   zero
//	8..15  ingress
//	16..23 version
const (
	relayOptionLength = 24
	relayFormat       = 1
)

// Flags of the relay option.
const (
	relayFromRecord uint8 = 1 << iota
	relayRefuse
	relayHeadComplete
	relayEstablished
	relayRerouted

	relayFlags = relayFromRecord | relayRefuse | relayHeadComplete | relayEstablished | relayRerouted
)

// encodeRelay writes the data of the relay option.
func encodeRelay(data []byte, relay *lb.Relay) {
	clear(data)
	data[0] = relayFormat
	data[1] = uint8(relay.Hop)
	data[2] = flagIf(relay.FromRecord, relayFromRecord) |
		flagIf(relay.Refuse, relayRefuse) |
		flagIf(relay.HeadComplete, relayHeadComplete) |
		flagIf(relay.Established, relayEstablished) |
		flagIf(relay.Rerouted, relayRerouted)
	binary.BigEndian.PutUint16(data[4:], uint16(relay.Proposal))
	binary.BigEndian.PutUint64(data[8:], uint64(relay.Ingress))
	binary.BigEndian.PutUint64(data[16:], uint64(relay.Version))
}

// flagIf returns bit if set is true, otherwise 0.
func flagIf(set bool, bit uint8) uint8 {
	if set {
		return bit
	}
	return 0
}

// decodeRelay decodes the option into relay. If relay is not zero, the packet has a second relay
// option, which is an error.
func decodeRelay(data []byte, relay *lb.Relay) error {
	if relay.Hop != lb.HopIngress {
		return CauseRelayOption // the option occurs twice
	}
	if len(data) != relayOptionLength || data[0] != relayFormat {
		return CauseRelayOption
	}
	hop := lb.Hop(data[1])
	if hop != lb.HopHead && hop != lb.HopTail && hop != lb.HopReturn {
		return CauseRelayOption
	}
	flags := data[2]
	if flags&^relayFlags != 0 {
		return CauseRelayOption
	}
	*relay = lb.Relay{
		Hop:          hop,
		Ingress:      lb.NodeHash(binary.BigEndian.Uint64(data[8:])),
		Version:      lb.Version(binary.BigEndian.Uint64(data[16:])),
		Proposal:     lb.BackendID(binary.BigEndian.Uint16(data[4:])),
		FromRecord:   flags&relayFromRecord != 0,
		Refuse:       flags&relayRefuse != 0,
		HeadComplete: flags&relayHeadComplete != 0,
		Established:  flags&relayEstablished != 0,
		Rerouted:     flags&relayRerouted != 0,
	}
	return nil
}

// Data of the refusal option, format 1, in network byte order:
//
//	0    format
//	1    verdict
//	2..3 zero
//	4..7 time until the sender may retry, in milliseconds
const (
	refusalOptionLength = 8
	refusalFormat       = 1
)

// encodeRefusal writes the data of the refusal option. It rounds the retry time up to milliseconds,
// so that no sender retries too early, and limits it to the maximum of the field.
func encodeRefusal(data []byte, refusal *lb.Refusal) {
	clear(data)
	data[0] = refusalFormat
	data[1] = uint8(refusal.Verdict)
	binary.BigEndian.PutUint32(data[4:], ceilMilliseconds(refusal.RetryAfter))
}

// ceilMilliseconds returns the duration in milliseconds, rounded up and limited to the range of
// uint32.
func ceilMilliseconds(duration time.Duration) uint32 {
	const maxValue = 1<<32 - 1
	milliseconds := (duration + time.Millisecond - 1) / time.Millisecond
	return uint32(min(max(milliseconds, 0), maxValue))
}

// decodeRefusal decodes the option into refusal. If refusal is not zero, the packet has a second
// refusal option, which is an error.
func decodeRefusal(data []byte, refusal *lb.Refusal) error {
	if refusal.Verdict != 0 {
		return CauseRefusalOption // the option occurs twice
	}
	if len(data) != refusalOptionLength || data[0] != refusalFormat {
		return CauseRefusalOption
	}
	verdict := lb.Verdict(data[1])
	if verdict < lb.NotRun || verdict > lb.Ran {
		return CauseRefusalOption
	}
	*refusal = lb.Refusal{
		Verdict:    verdict,
		RetryAfter: time.Duration(binary.BigEndian.Uint32(data[4:])) * time.Millisecond,
	}
	return nil
}
