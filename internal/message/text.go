package message

import (
	"encoding/base64"
	"encoding/binary"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lb"
)

// These are the sizes of the binary forms that the base64 texts encode.
const (
	flowBytes    = 8
	backendBytes = 2
	openingBytes = 4
	// shortRecordBytes is the size of a record without an opening ID, longRecordBytes the size of
	// a record with one.
	shortRecordBytes = flowBytes + backendBytes
	longRecordBytes  = shortRecordBytes + openingBytes
	groupHashBytes   = 8
)

// wireText is the base64 encoding of all packed numbers (RFC 4648, section 5, without padding).
var wireText = base64.RawURLEncoding.Strict()

// MarshalText returns the record as 14 characters, or as 19 with an opening ID: flow, back end and
// opening ID in big-endian order, encoded in base64. As a JSON object with decimal numbers, the
// same record needs up to 47 characters.
func (record FlowRecord) MarshalText() ([]byte, error) {
	var buffer [longRecordBytes]byte
	packed := binary.BigEndian.AppendUint64(buffer[:0], uint64(record.Flow))
	packed = binary.BigEndian.AppendUint16(packed, uint16(record.Backend))
	if record.OpeningID != 0 {
		packed = binary.BigEndian.AppendUint32(packed, record.OpeningID)
	}
	return wireText.AppendEncode(nil, packed), nil
}

// UnmarshalText parses a text that MarshalText has returned.
func (record *FlowRecord) UnmarshalText(text []byte) error {
	var buffer [longRecordBytes]byte
	if wireText.DecodedLen(len(text)) > len(buffer) {
		return errors.Newf("flow record %q is longer than %d bytes", clip(text), longRecordBytes)
	}
	count, err := wireText.Decode(buffer[:], text)
	if err != nil {
		return errors.Wrapf(err, "flow record %q", clip(text))
	}
	if count != shortRecordBytes && count != longRecordBytes {
		return errors.Newf("flow record %q has %d bytes, want %d or %d", clip(text), count, shortRecordBytes, longRecordBytes)
	}
	*record = FlowRecord{
		Flow:    lb.FlowID(binary.BigEndian.Uint64(buffer[:])),
		Backend: lb.BackendID(binary.BigEndian.Uint16(buffer[flowBytes:])),
	}
	if count == longRecordBytes {
		record.OpeningID = binary.BigEndian.Uint32(buffer[shortRecordBytes:])
	}
	return nil
}

// GroupHashes contains one hash per group of services.
type GroupHashes []uint64

// MarshalText returns the hashes in big-endian order, encoded in base64. 64 hashes take 683
// characters, so that a Digest fits into one datagram.
func (hashes GroupHashes) MarshalText() ([]byte, error) {
	packed := make([]byte, 0, len(hashes)*groupHashBytes)
	for _, hash := range hashes {
		packed = binary.BigEndian.AppendUint64(packed, hash)
	}
	return wireText.AppendEncode(nil, packed), nil
}

// UnmarshalText parses a text that MarshalText has returned.
func (hashes *GroupHashes) UnmarshalText(text []byte) error {
	packed, err := wireText.AppendDecode(nil, text)
	if err != nil {
		return errors.Wrapf(err, "group hashes %q", clip(text))
	}
	if len(packed)%groupHashBytes != 0 {
		return errors.Newf("group hashes %q have %d bytes, want a multiple of %d", clip(text), len(packed), groupHashBytes)
	}
	unpacked := make(GroupHashes, 0, len(packed)/groupHashBytes)
	for rest := packed; len(rest) > 0; rest = rest[groupHashBytes:] {
		unpacked = append(unpacked, binary.BigEndian.Uint64(rest))
	}
	*hashes = unpacked
	return nil
}

// clipLength limits the length of received text that errors quote.
const clipLength = 64

func clip(text []byte) []byte { return text[:min(len(text), clipLength)] }
