package packet

import (
	"encoding/binary"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"robinpulley.example/robinpulley/internal/lb"
)

// Sizes of a Geneve header, in bytes (RFC 8926, sections 3.4 and 3.5).
const (
	fixedHeaderLength  = 8
	optionHeaderLength = 4
	optionUnit         = 4

	optionsLengthMask = 0x3f // lower six bits of the first byte
	optionLengthMask  = 0x1f // lower five bits of an option's fourth byte
)

// MaxOverhead is the maximum number of bytes that Encode adds before an inner packet: the fixed
// header and both options.
const MaxOverhead = fixedHeaderLength +
	optionHeaderLength + relayOptionLength +
	optionHeaderLength + refusalOptionLength

// maxVNI is the maximum virtual network identifier.
const maxVNI = 1<<24 - 1

// decodeGeneve decodes the Geneve header and returns the payload.
//
// It uses gopacket only for the fixed header. gopacket's decoder for options allocates twice per
// option, accepts an option that exceeds its header, and counts the length in eight bits although
// options may take up to 252 bytes.
func (packet *Packet) decodeGeneve(datagram []byte) ([]byte, error) {
	if len(datagram) < fixedHeaderLength {
		return nil, CauseTruncated
	}
	copy(packet.fixedHeader[:], datagram)
	optionsLength := int(packet.fixedHeader[0]&optionsLengthMask) * optionUnit
	packet.fixedHeader[0] &^= optionsLengthMask
	err := packet.geneve.DecodeFromBytes(packet.fixedHeader[:], &packet.feedback)
	if err := packet.feedback.cause(err, CauseTruncated); err != nil {
		return nil, err
	}
	if packet.geneve.Version != 0 {
		return nil, CauseGeneveVersion
	}
	if packet.geneve.OAMPacket {
		return nil, CauseControlPacket
	}
	rest := datagram[fixedHeaderLength:]
	if optionsLength > len(rest) {
		return nil, CauseTruncated
	}
	packet.VNI = packet.geneve.VNI
	if err := packet.decodeOptions(rest[:optionsLength]); err != nil {
		return nil, err
	}
	return rest[optionsLength:], nil
}

// decodeOptions decodes all options of the Geneve header.
func (packet *Packet) decodeOptions(options []byte) error {
	for len(options) > 0 {
		if len(options) < optionHeaderLength {
			return CauseOptionLength
		}
		end := optionHeaderLength + int(options[3]&optionLengthMask)*optionUnit
		if end > len(options) {
			return CauseOptionLength
		}
		class := binary.BigEndian.Uint16(options)
		kind := optionType(options[2])
		if err := packet.decodeOption(class, kind, options[optionHeaderLength:end]); err != nil {
			return err
		}
		options = options[end:]
	}
	return nil
}

// decodeOption decodes one option.
func (packet *Packet) decodeOption(class uint16, kind optionType, data []byte) error {
	if class != optionClass {
		return checkUnknownOption(kind)
	}
	switch kind {
	case optionRelay:
		return decodeRelay(data, &packet.Relay)
	case optionRefusal:
		return decodeRefusal(data, &packet.Refusal)
	}
	return checkUnknownOption(kind)
}

// checkUnknownOption returns CauseCriticalOption if the option is critical. Other unknown options
// are ignored.
func checkUnknownOption(kind optionType) error {
	if kind&optionCritical != 0 {
		return CauseCriticalOption
	}
	return nil
}

// Header contains the values that Encode writes into the Geneve header.
type Header struct {
	// VNI is the virtual network identifier, 24 bits.
	VNI uint32
	// Relay is written as an option unless its Hop is HopIngress.
	Relay lb.Relay
	// Refusal is written as an option unless its Verdict is zero.
	Refusal lb.Refusal
}

// Encode appends to dst the Geneve header and the inner IP packet. If inner is not an IP packet or
// the VNI exceeds 24 bits, it returns dst unchanged and an error. It does not allocate memory if
// dst has enough capacity.
func Encode(dst, inner []byte, header *Header) ([]byte, error) {
	encoder := encoders.Get().(*encoder)
	defer encoders.Put(encoder)
	encoded, err := encoder.encodeHeader(inner, header)
	if err != nil {
		return dst, err
	}
	dst = append(dst, encoded...)
	return append(dst, inner...), nil
}

var encoders = sync.Pool{New: func() any { return newEncoder() }}

// encoder holds the buffers for one call of Encode. Encoders are pooled to avoid allocations.
type encoder struct {
	buffer      gopacket.SerializeBuffer
	geneve      layers.Geneve
	options     [2]*layers.GeneveOption
	relay       layers.GeneveOption
	relayData   [relayOptionLength]byte
	refusal     layers.GeneveOption
	refusalData [refusalOptionLength]byte
}

func newEncoder() *encoder {
	encoder := &encoder{buffer: gopacket.NewSerializeBufferExpectedSize(MaxOverhead, 0)}
	encoder.relay = layers.GeneveOption{
		Class: optionClass,
		Type:  uint8(optionRelay),
		Data:  encoder.relayData[:],
	}
	encoder.refusal = layers.GeneveOption{
		Class: optionClass,
		Type:  uint8(optionRefusal),
		Data:  encoder.refusalData[:],
	}
	return encoder
}

// encodeHeader encodes the Geneve header. The returned bytes are valid until the next call.
func (encoder *encoder) encodeHeader(inner []byte, header *Header) ([]byte, error) {
	protocol, err := payloadType(inner)
	if err != nil {
		return nil, err
	}
	if header.VNI > maxVNI {
		return nil, errors.Newf("VNI %d exceeds %d", header.VNI, maxVNI)
	}
	encoder.geneve = layers.Geneve{Protocol: protocol, VNI: header.VNI, Options: encoder.options[:0]}
	if header.Relay.Hop != lb.HopIngress {
		encodeRelay(encoder.relayData[:], &header.Relay)
		encoder.geneve.Options = append(encoder.geneve.Options, &encoder.relay)
		encoder.geneve.CriticalOption = true
	}
	if header.Refusal.Verdict != 0 {
		encodeRefusal(encoder.refusalData[:], &header.Refusal)
		encoder.geneve.Options = append(encoder.geneve.Options, &encoder.refusal)
	}
	if err := encoder.buffer.Clear(); err != nil {
		return nil, errors.Wrap(err, "clear the Geneve buffer")
	}
	if err := encoder.geneve.SerializeTo(encoder.buffer, gopacket.SerializeOptions{FixLengths: true}); err != nil {
		return nil, errors.Wrap(err, "encode the Geneve header")
	}
	return encoder.buffer.Bytes(), nil
}

// payloadType returns the Geneve protocol type for the IP version of an inner packet.
func payloadType(inner []byte) (layers.EthernetType, error) {
	if len(inner) == 0 {
		return 0, errors.New("inner packet is empty")
	}
	switch version := ipVersion(inner); version {
	case ipv4Version:
		return layers.EthernetTypeIPv4, nil
	case ipv6Version:
		return layers.EthernetTypeIPv6, nil
	default:
		return 0, errors.Newf("inner packet has IP version %d, neither 4 nor 6", version)
	}
}
