package packet

import (
	"encoding/binary"
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/matryer/is"
)

// Offsets of fields in the test datagrams.
const (
	innerStart     = fixedHeaderLength
	ipv4Checksum   = innerStart + 10
	ipv4Transport  = innerStart + ipv4HeaderLength
	ipv6Transport  = innerStart + ipv6HeaderLength
	ipv6NextHeader = innerStart + 6
)

// updateIPv4Checksum recomputes the checksum of the inner IPv4 header.
func updateIPv4Checksum(datagram []byte) []byte {
	header := datagram[innerStart:][:4*int(datagram[innerStart]&0x0f)]
	copy(datagram[ipv4Checksum:], []byte{0, 0})
	sum := gopacket.FoldChecksum(gopacket.ComputeChecksum(header, 0))
	binary.BigEndian.PutUint16(datagram[ipv4Checksum:], sum)
	return datagram
}

// withOptions inserts raw Geneve options into a datagram that has none.
func withOptions(datagram []byte, options ...byte) []byte {
	changed := append([]byte{}, datagram[:fixedHeaderLength]...)
	changed[0] |= uint8(len(options) / optionUnit)
	changed = append(changed, options...)
	return append(changed, datagram[fixedHeaderLength:]...)
}

// withIPv4Options inserts raw options into the inner IPv4 header.
func withIPv4Options(datagram []byte, options ...byte) []byte {
	changed := append([]byte{}, datagram[:ipv4Transport]...)
	changed = append(changed, options...)
	changed = append(changed, datagram[ipv4Transport:]...)
	changed[innerStart] += uint8(len(options) / 4)
	binary.BigEndian.PutUint16(changed[innerStart+2:], uint16(len(changed)-innerStart))
	return updateIPv4Checksum(changed)
}

// overwriteBytes overwrites bytes of the datagram at the offset.
func overwriteBytes(datagram []byte, offset int, value ...byte) []byte {
	copy(datagram[offset:], value)
	return datagram
}

// relayOption returns the raw relay option of a datagram in which it is the only option.
func relayOption(datagram []byte) []byte {
	return append([]byte{}, datagram[fixedHeaderLength:fixedHeaderLength+optionHeaderLength+relayOptionLength]...)
}

func TestCauses(t *testing.T) {
	tcp4 := func() []byte { return wrap(t, tcpPacket(t, client4, service4, opening), Header{}) }
	tcp6 := func() []byte { return wrap(t, tcpPacket(t, client6, service6, opening), Header{}) }
	udp4 := func() []byte { return wrap(t, udpPacket(t, client4, service4, "query"), Header{}) }
	relayed := func() []byte {
		return wrap(t, tcpPacket(t, client4, service4, opening), Header{Relay: testRelay})
	}
	relayData := fixedHeaderLength + optionHeaderLength
	refusal := []byte{0xff, 0x52, 0x02, 2, 1, 1, 0, 0, 0, 0, 0, 9}
	cases := []struct {
		name     string
		datagram []byte
		cause    Cause
	}{
		{"empty", nil, CauseTruncated},
		{"half a Geneve header", tcp4()[:4], CauseTruncated},
		{"no inner packet", tcp4()[:innerStart], CauseTruncated},
		{"options beyond the datagram", overwriteBytes(tcp4()[:innerStart], 0, 0x3f), CauseTruncated},
		{"half an IPv4 header", tcp4()[:innerStart+10], CauseTruncated},
		{"half an IPv6 header", tcp6()[:innerStart+20], CauseTruncated},
		{"half a TCP header", tcp4()[:ipv4Transport+10], CauseTruncated},
		{"half a TCP header in IPv6", tcp6()[:ipv6Transport+10], CauseTruncated},
		{"UDP length beyond the packet", overwriteBytes(udp4(), ipv4Transport+4, 0x10, 0), CauseTruncated},
		{"TCP offset beyond the packet", overwriteBytes(tcp4(), ipv4Transport+12, 0xf0), CauseTruncated},
		{"Geneve version 1", overwriteBytes(tcp4(), 0, 0x40), CauseGeneveVersion},
		{"control packet", overwriteBytes(tcp4(), 1, 0x80), CauseControlPacket},
		{"Ethernet frame", overwriteBytes(tcp4(), 2, 0x65, 0x58), CausePayloadType},
		{"option beyond the header", withOptions(tcp4(), 0xff, 0x52, 0x02, 2), CauseOptionLength},
		{"unknown critical option", withOptions(tcp4(), 0x01, 0x02, 0x80, 0), CauseCriticalOption},
		{"unknown critical option of this project's class", withOptions(tcp4(), 0xff, 0x52, 0xff, 0), CauseCriticalOption},
		{"relay of format 2", overwriteBytes(relayed(), relayData, 2), CauseRelayOption},
		{"relay without a hop", overwriteBytes(relayed(), relayData+1, 0), CauseRelayOption},
		{"relay of hop 4", overwriteBytes(relayed(), relayData+1, 4), CauseRelayOption},
		{"relay with unknown flag", overwriteBytes(relayed(), relayData+2, 0x20), CauseRelayOption},
		{"empty relay", withOptions(tcp4(), 0xff, 0x52, 0x81, 0), CauseRelayOption},
		{"two relays", withOptions(tcp4(), append(relayOption(relayed()), relayOption(relayed())...)...), CauseRelayOption},
		{"refusal of format 2", withOptions(tcp4(), overwriteBytes(append([]byte{}, refusal...), 4, 2)...), CauseRefusalOption},
		{"refusal without a verdict", withOptions(tcp4(), overwriteBytes(append([]byte{}, refusal...), 5, 0)...), CauseRefusalOption},
		{"refusal of verdict 4", withOptions(tcp4(), overwriteBytes(append([]byte{}, refusal...), 5, 4)...), CauseRefusalOption},
		{"empty refusal", withOptions(tcp4(), 0xff, 0x52, 0x02, 0), CauseRefusalOption},
		{"two refusals", withOptions(tcp4(), append(append([]byte{}, refusal...), refusal...)...), CauseRefusalOption},
		{"IPv6 in an IPv4 payload", overwriteBytes(tcp6(), 2, 0x08, 0x00), CauseIPVersion},
		{"IPv4 in an IPv6 payload", overwriteBytes(tcp4(), 2, 0x86, 0xdd), CauseIPVersion},
		{"IPv4 header of 16 bytes", updateIPv4Checksum(overwriteBytes(tcp4(), innerStart, 0x44)), CauseIPHeader},
		{"IPv4 length zero", updateIPv4Checksum(overwriteBytes(tcp4(), innerStart+2, 0, 0)), CauseIPHeader},
		{"IPv4 length below the header", updateIPv4Checksum(overwriteBytes(tcp4(), innerStart+2, 0, 10)), CauseIPHeader},
		{"IPv6 length zero", overwriteBytes(tcp6(), innerStart+4, 0, 0), CauseIPHeader},
		{"wrong IPv4 checksum", overwriteBytes(tcp4(), ipv4Checksum, 0, 0), CauseIPChecksum},
		{"loose source route", withIPv4Options(tcp4(), 131, 7, 4, 10, 0, 0, 1, 0), CauseSourceRoute},
		{"strict source route", withIPv4Options(tcp4(), 137, 7, 4, 10, 0, 0, 1, 0), CauseSourceRoute},
		{"first fragment", updateIPv4Checksum(overwriteBytes(tcp4(), innerStart+6, 0x20, 0)), CauseFragment},
		{"last fragment", updateIPv4Checksum(overwriteBytes(tcp4(), innerStart+6, 0, 9)), CauseFragment},
		{"IPv6 fragment", overwriteBytes(tcp6(), ipv6NextHeader, 44), CauseFragment},
		{"IPv6 hop-by-hop", overwriteBytes(tcp6(), ipv6NextHeader, 0), CauseExtensionHeader},
		{"IPv6 routing", overwriteBytes(tcp6(), ipv6NextHeader, 43), CauseExtensionHeader},
		{"IPv6 destination options", overwriteBytes(tcp6(), ipv6NextHeader, 60), CauseExtensionHeader},
		{"SCTP", updateIPv4Checksum(overwriteBytes(tcp4(), innerStart+9, 132)), CauseProtocol},
		{"SCTP in IPv6", overwriteBytes(tcp6(), ipv6NextHeader, 132), CauseProtocol},
		{"ICMPv6 in IPv4", updateIPv4Checksum(overwriteBytes(tcp4(), innerStart+9, 58)), CauseProtocol},
		{"TCP offset below the header", overwriteBytes(tcp4(), ipv4Transport+12, 0x40), CauseTransportHeader},
		{"SYN and FIN", overwriteBytes(tcp4(), ipv4Transport+13, 0x03), CauseTransportHeader},
		{"SYN and RST", overwriteBytes(tcp4(), ipv4Transport+13, 0x06), CauseTransportHeader},
		{"UDP length zero", overwriteBytes(udp4(), ipv4Transport+4, 0, 0), CauseTransportHeader},
		{"UDP length below the header", overwriteBytes(udp4(), ipv4Transport+4, 0, 7), CauseTransportHeader},
		{"ICMP echo", updateIPv4Checksum(overwriteBytes(overwriteBytes(tcp4(), innerStart+9, 1), ipv4Transport, 8, 0)), CauseICMP},
		{"ICMPv6 echo", overwriteBytes(overwriteBytes(tcp6(), ipv6NextHeader, 58), ipv6Transport, 128, 0), CauseICMP},
		{"ICMP error that quotes nothing", updateIPv4Checksum(overwriteBytes(overwriteBytes(tcp4(), innerStart+9, 1), ipv4Transport, 3, 4)), CauseICMP},
	}
	seen := map[Cause]bool{}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			err := Decode(test.datagram, new(Packet))
			cause, found := CauseOf(err)
			is.True(found)
			is.Equal(cause, test.cause)
		})
		seen[test.cause] = true
	}
	for cause := Cause(1); cause < causeLimit; cause++ {
		if !seen[cause] {
			t.Errorf("no test case for cause %s", cause)
		}
	}
}

func TestUnknownOptionIsIgnoredUnlessCritical(t *testing.T) {
	is := is.New(t)
	inner := tcpPacket(t, client4, service4, opening)
	packet := decode(t, withOptions(wrap(t, inner, Header{}), 0x01, 0x02, 0x03, 1, 9, 9, 9, 9))
	is.Equal(packet.Inner, inner)
}

func TestMaxLengthOptionsAreDecoded(t *testing.T) {
	is := is.New(t)
	inner := tcpPacket(t, client4, service4, opening)
	options := make([]byte, optionsLengthMask*optionUnit)
	options[3] = optionLengthMask             // 128 bytes
	options[128+3] = (252-128)/optionUnit - 1 // the remaining bytes
	packet := decode(t, withOptions(wrap(t, inner, Header{}), options...))
	is.Equal(packet.Inner, inner)
}

func TestCauseNamesAreDistinct(t *testing.T) {
	is := is.New(t)
	names := map[string]bool{}
	for cause := Cause(1); cause < causeLimit; cause++ {
		is.True(causeNames[cause] != "")
		names[cause.String()] = true
	}
	is.Equal(len(names), CauseCount-1)
	is.Equal(causeLimit.String(), "cause(18)")
}
