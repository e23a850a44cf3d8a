package tokennode

import (
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/logging"
)

// Lines a second of each kind; those beyond are counted and told with the next line.
const (
	openingLinesPerSecond = 100
	failedLinesPerSecond  = 50
)

// noteKind is the kind of line that a decision leads to.
type noteKind uint8

const (
	noteNone noteKind = iota
	noteOpening
	noteRefused
	noteDropped
	noteCorrected
	noteKinds
)

// note is a line to be written about a decision.
type note struct {
	kind     noteKind
	omitted  uint64
	revision int64
	version  uint64
	age      time.Duration
}

// quota bounds the lines of one kind in each second.
type quota struct {
	second  time.Duration
	written int
	omitted uint64
}

// take tells whether one more line may be written, and how many before it were not.
func (q *quota) take(now time.Duration, limit int) (omitted uint64, allowed bool) {
	if second := now.Truncate(time.Second); second != q.second {
		q.second = second
		q.written = 0
	}
	if q.written >= limit {
		q.omitted++
		return 0, false
	}
	q.written++
	omitted = q.omitted
	q.omitted = 0
	return omitted, true
}

// decisionLog writes a line for each decision on an opening, and for each
// refused or dropped packet, within bounds. Its writer never blocks.
type decisionLog struct {
	logger zerolog.Logger
	quotas [noteKinds]quota
}

func newDecisionLog(logger zerolog.Logger) decisionLog { return decisionLog{logger: logger} }

// note says what is to be written of a decision. It is called under the engine's lock.
func (log *decisionLog) note(now time.Duration, packet *core.Packet, decision *core.Decision) note {
	kind, limit := kindOf(packet, decision)
	if kind == noteNone {
		return note{}
	}
	omitted, allowed := log.quotas[kind].take(now, limit)
	if !allowed {
		return note{}
	}
	return note{kind: kind, omitted: omitted}
}

func kindOf(packet *core.Packet, decision *core.Decision) (noteKind, int) {
	switch {
	case decision.Action == core.ActionHold: // its line comes with what is decided later
		return noteNone, 0
	case decision.Action == core.ActionRefuse:
		return noteRefused, failedLinesPerSecond
	case decision.Action == core.ActionDrop:
		return noteDropped, failedLinesPerSecond
	case packet.Kind == core.PacketOpening:
		return noteOpening, openingLinesPerSecond
	case decision.Corrected:
		return noteCorrected, failedLinesPerSecond
	}
	return noteNone, 0
}

// noteEvents are the log events of the kinds.
var noteEvents = [noteKinds]logging.Event{
	noteOpening:   logging.EventOpening,
	noteRefused:   logging.EventRefused,
	noteDropped:   logging.EventDropped,
	noteCorrected: logging.EventTokenCorrected,
}

// write writes the line of a note.
func (log *decisionLog) write(note *note, packet *core.Packet, decision *core.Decision) {
	if note.kind == noteNone {
		return
	}
	event := log.logger.Info().
		Str(logging.FieldEvent, string(noteEvents[note.kind])).
		Str(logging.FieldFlow, flowText(&packet.Key)).
		Str(logging.FieldService, string(decision.Service)).
		Int64(logging.FieldRevision, note.revision).
		Uint64(logging.FieldVersion, note.version).
		Int64(logging.FieldAge, note.age.Milliseconds())
	if packet.Kind == core.PacketOpening {
		event = event.Uint32(logging.FieldOpening, packet.OpeningID).Uint32(logging.FieldCopies, packet.Copies)
	}
	if decision.Action == core.ActionForward {
		event = event.Str(logging.FieldHost, decision.Host.String())
	} else {
		event = event.Str(logging.FieldReason, string(decision.Reason))
	}
	if decision.Reason == core.ReasonOverload {
		event = event.Float64(logging.FieldPressure, decision.Pressure)
	}
	if decision.HeldFor > 0 {
		event = event.Int64(logging.FieldWaited, decision.HeldFor.Milliseconds())
	}
	if note.omitted > 0 {
		event = event.Uint64(logging.FieldOmitted, note.omitted)
	}
	event.Send()
}

// flowText prints a flow as SOURCE>DESTINATION, by which lines of all nodes are found.
func flowText(key *lb.FlowKey) string {
	buffer := make([]byte, 0, 64)
	buffer = appendEndpoint(buffer, key.Source, key.SourcePort)
	buffer = append(buffer, '>')
	buffer = appendEndpoint(buffer, key.Destination, key.DestinationPort)
	return string(buffer)
}

func appendEndpoint(buffer []byte, address [16]byte, port uint16) []byte {
	return netip.AddrPortFrom(netip.AddrFrom16(address).Unmap(), port).AppendTo(buffer)
}
