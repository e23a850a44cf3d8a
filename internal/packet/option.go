package packet

import (
	"encoding/binary"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// optionClass is the class of this project's options, from the range for
// experimental use (RFC 8926, section 7).
const optionClass uint16 = 0xff52

// optionType is the type of a Geneve option; its high bit marks it critical.
type optionType uint8

// The options' types. A receiver that does not know Relay must drop the
// packet; one that does not know Refusal can still deliver the answer.
const (
	optionCritical optionType = 0x80
	optionRelay               = optionCritical | 0x01
	optionRefusal  optionType = 0x02
)

// The relay option's data, format 1, in network byte order:
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

// The flags of the relay option.
const (
	relayKnown uint8 = 1 << iota
	relayRefuse
	relayVouched
	relayEstablished
	relayRerouted

	relayFlags = relayKnown | relayRefuse | relayVouched | relayEstablished | relayRerouted
)

func encodeRelay(data []byte, relay *lb.Relay) {
	clear(data)
	data[0] = relayFormat
	data[1] = uint8(relay.Hop)
	data[2] = flag(relay.Known, relayKnown) |
		flag(relay.Refuse, relayRefuse) |
		flag(relay.Vouched, relayVouched) |
		flag(relay.Established, relayEstablished) |
		flag(relay.Rerouted, relayRerouted)
	binary.BigEndian.PutUint16(data[4:], uint16(relay.Proposal))
	binary.BigEndian.PutUint64(data[8:], uint64(relay.Ingress))
	binary.BigEndian.PutUint64(data[16:], uint64(relay.Version))
}

func flag(set bool, bit uint8) uint8 {
	if set {
		return bit
	}
	return 0
}

// decodeRelay reads the option into relay, which must be zero before.
func decodeRelay(data []byte, relay *lb.Relay) error {
	if relay.Hop != lb.HopIngress {
		return CauseRelayOption // there twice
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
		Hop:         hop,
		Ingress:     lb.NodeHash(binary.BigEndian.Uint64(data[8:])),
		Version:     lb.Version(binary.BigEndian.Uint64(data[16:])),
		Proposal:    lb.BackendID(binary.BigEndian.Uint16(data[4:])),
		Known:       flags&relayKnown != 0,
		Refuse:      flags&relayRefuse != 0,
		Vouched:     flags&relayVouched != 0,
		Established: flags&relayEstablished != 0,
		Rerouted:    flags&relayRerouted != 0,
	}
	return nil
}

// The refusal option's data, format 1, in network byte order:
//
//	0    format
//	1    verdict
//	2..3 zero
//	4..7 time to come back, in milliseconds
const (
	refusalOptionLength = 8
	refusalFormat       = 1
)

// encodeRefusal rounds the time to come back up to milliseconds, so that no
// caller comes back too early, and cuts it at the highest the option holds.
func encodeRefusal(data []byte, refusal *lb.Refusal) {
	clear(data)
	data[0] = refusalFormat
	data[1] = uint8(refusal.Verdict)
	binary.BigEndian.PutUint32(data[4:], millisecondsUp(refusal.RetryAfter))
}

func millisecondsUp(duration time.Duration) uint32 {
	const highest = 1<<32 - 1
	milliseconds := (duration + time.Millisecond - 1) / time.Millisecond
	return uint32(min(max(milliseconds, 0), highest))
}

// decodeRefusal reads the option into refusal, which must be zero before.
func decodeRefusal(data []byte, refusal *lb.Refusal) error {
	if refusal.Verdict != 0 {
		return CauseRefusalOption // there twice
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
