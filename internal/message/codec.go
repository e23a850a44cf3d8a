package message

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lb"
)

// MaxLineBytes is the maximum size of an encoded message, including its newline.
const MaxLineBytes = 1 << 20

// FieldError reports which field of a message is invalid, and why.
type FieldError struct {
	Message Type   // empty if the type itself is unknown
	Field   string // JSON path within the message body, or "type", "from" or "line"
	Value   string // as received, truncated to clipLength
	Reason  string
}

// Error returns a text with the message type, the field, the value and the reason.
func (err *FieldError) Error() string {
	return fmt.Sprintf("message %q: field %s: value %q: %s", string(err.Message), err.Field, err.Value, err.Reason)
}

func fieldError(kind Type, field string, value any, reason string) error {
	return &FieldError{
		Message: kind,
		Field:   field,
		Value:   string(clip([]byte(fmt.Sprint(value)))),
		Reason:  reason,
	}
}

// envelope is the JSON object that every line consists of. Body is the message as a JSON object.
type envelope struct {
	Type Type            `json:"type"`
	From lb.NodeID       `json:"from"`
	Body json.RawMessage `json:"body"`
}

// Encode appends one line, including its newline, to dst: the message in an envelope with its type
// and its sender. Messages are passed by value; Encode returns an error for a pointer to a message,
// and for a message that Decode would reject.
func Encode(dst []byte, from lb.NodeID, message Message) ([]byte, error) {
	kind, err := validate(message)
	if err != nil {
		return dst, err
	}
	if err := checkName(kind, "from", string(from)); err != nil {
		return dst, err
	}
	body, err := json.Marshal(message)
	if err != nil {
		return dst, errors.Wrapf(err, "message %q", string(kind))
	}
	start := len(dst)
	dst = append(dst, `{"type":"`...)
	dst = append(dst, kind...)
	dst = append(dst, `","from":"`...) // checkName rejects all characters that JSON would escape
	dst = append(dst, from...)
	dst = append(dst, `","body":`...)
	dst = append(dst, body...)
	dst = append(dst, "}\n"...)
	if size := len(dst) - start; size > MaxLineBytes {
		return dst[:start], fieldError(kind, "line", size, "longer than the maximum line length")
	}
	return dst, nil
}

// Decode parses one line, with or without its newline, and returns the sender and the message, by
// value. Every error that it returns is a *FieldError.
func Decode(line []byte) (lb.NodeID, Message, error) {
	if len(line) > MaxLineBytes {
		return "", nil, fieldError("", "line", len(line), "longer than the maximum line length")
	}
	var outer envelope
	if err := decodeStrict("", line, &outer); err != nil {
		return "", nil, err
	}
	decodeBody, found := decoders[outer.Type]
	if !found {
		return "", nil, fieldError("", "type", outer.Type, "unknown message type")
	}
	if err := checkName(outer.Type, "from", string(outer.From)); err != nil {
		return "", nil, err
	}
	decoded, err := decodeBody(outer.Body)
	if err != nil {
		return "", nil, err
	}
	return outer.From, decoded, nil
}

// decoders maps each message type to the function that decodes its body.
var decoders = map[Type]func(body []byte) (Message, error){
	TypePins:           decodeAs[Pins],
	TypeRecords:        decodeAs[Records],
	TypeRecordsAck:     decodeAs[RecordsAck],
	TypeClean:          decodeAs[Clean],
	TypePing:           decodeAs[Ping],
	TypePingAck:        decodeAs[PingAck],
	TypePingReq:        decodeAs[PingReq],
	TypeMembers:        decodeAs[Members],
	TypeDigest:         decodeAs[Digest],
	TypeVersionList:    decodeAs[VersionList],
	TypePlacements:     decodeAs[Placements],
	TypeInForce:        decodeAs[InForce],
	TypeLoad:           decodeAs[Load],
	TypeViewDigest:     decodeAs[ViewDigest],
	TypeViewRequest:    decodeAs[ViewRequest],
	TypeViewDelta:      decodeAs[ViewDelta],
	TypeOutcomeReport:  decodeAs[OutcomeReport],
	TypeOutcomeVerdict: decodeAs[OutcomeVerdict],
	TypeLoadReport:     decodeAs[LoadReport],
	TypeLoadState:      decodeAs[LoadState],
	TypeOpenFlows:      decodeAs[OpenFlows],
}

func decodeAs[M Message](body []byte) (Message, error) {
	var decoded M
	kind := decoded.MessageType()
	if err := decodeStrict(kind, body, &decoded); err != nil {
		return nil, err
	}
	if _, err := validate(decoded); err != nil {
		return nil, err
	}
	return decoded, nil
}

// decodeStrict parses exactly one JSON object and rejects unknown fields.
func decodeStrict(kind Type, data []byte, target any) error {
	if trimmed := bytes.TrimLeft(data, " \t\r\n"); len(trimmed) == 0 || trimmed[0] != '{' {
		return fieldError(kind, "line", string(clip(data)), "not a JSON object")
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return decodeError(kind, data, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return fieldError(kind, "line", string(clip(data)), "more than one JSON value")
	}
	return nil
}

func decodeError(kind Type, data []byte, err error) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return fieldError(kind, typeError.Field, typeError.Value, "want "+typeError.Type.String())
	}
	return fieldError(kind, "line", string(clip(data)), err.Error())
}
