package tokennode

import (
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/logging"
)

// Limits on log lines per second, for each line kind. Lines above the limit are omitted; the next
// line of the kind contains the number of omitted lines.
const (
	maxOpeningLinesPerSecond = 100
	maxFailureLinesPerSecond = 50
)

// lineKind is the kind of log line that is written for a decision.
type lineKind uint8

const (
	lineNone lineKind = iota
	lineOpening
	lineRefused
	lineDropped
	lineCorrected
	lineKinds
)

// decisionLine is a log line to be written for a decision. Revision, version and age describe the
// view that the decision was based on.
type decisionLine struct {
	kind     lineKind
	omitted  uint64 // lines of the same kind that were omitted before this one
	revision int64
	version  uint64
	age      time.Duration
}

// lineLimiter limits the number of log lines of one kind per second.
type lineLimiter struct {
	second  time.Duration
	written int
	omitted uint64
}

// allow reports whether one more line may be written, and how many lines were omitted since the
// last written line.
func (limiter *lineLimiter) allow(now time.Duration, limit int) (omitted uint64, allowed bool) {
	if second := now.Truncate(time.Second); second != limiter.second {
		limiter.second = second
		limiter.written = 0
	}
	if limiter.written >= limit {
		limiter.omitted++
		return 0, false
	}
	limiter.written++
	omitted = limiter.omitted
	limiter.omitted = 0
	return omitted, true
}

// decisionLog writes a log line for each decision on an opening packet, and for each refused or
// dropped packet, within the limits per second. Its writer never blocks.
type decisionLog struct {
	logger   zerolog.Logger
	limiters [lineKinds]lineLimiter
}

func newDecisionLog(logger zerolog.Logger) decisionLog { return decisionLog{logger: logger} }

// prepare returns the log line for a decision, which write writes later. The caller holds the
// engine's lock.
func (log *decisionLog) prepare(now time.Duration, packet *core.Packet, decision *core.Decision) decisionLine {
	kind, limit := lineKindOf(packet, decision)
	if kind == lineNone {
		return decisionLine{}
	}
	omitted, allowed := log.limiters[kind].allow(now, limit)
	if !allowed {
		return decisionLine{}
	}
	return decisionLine{kind: kind, omitted: omitted}
}

func lineKindOf(packet *core.Packet, decision *core.Decision) (lineKind, int) {
	switch {
	case decision.Action == core.ActionHold: // the later decision on the held opening is logged instead
		return lineNone, 0
	case decision.Action == core.ActionRefuse:
		return lineRefused, maxFailureLinesPerSecond
	case decision.Action == core.ActionDrop:
		return lineDropped, maxFailureLinesPerSecond
	case packet.Kind == core.PacketOpening:
		return lineOpening, maxOpeningLinesPerSecond
	case decision.Corrected:
		return lineCorrected, maxFailureLinesPerSecond
	}
	return lineNone, 0
}

// lineEvents holds the log event of each line kind.
var lineEvents = [lineKinds]logging.Event{
	lineOpening:   logging.EventOpening,
	lineRefused:   logging.EventRefused,
	lineDropped:   logging.EventDropped,
	lineCorrected: logging.EventTokenCorrected,
}

// write writes a line that prepare returned.
func (log *decisionLog) write(line *decisionLine, packet *core.Packet, decision *core.Decision) {
	if line.kind == lineNone {
		return
	}
	event := log.logger.Info().
		Str(logging.FieldEvent, string(lineEvents[line.kind])).
		Str(logging.FieldFlow, flowText(&packet.Key)).
		Str(logging.FieldService, string(decision.Service)).
		Int64(logging.FieldRevision, line.revision).
		Uint64(logging.FieldVersion, line.version).
		Int64(logging.FieldViewAge, line.age.Milliseconds())
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
		event = event.Int64(logging.FieldQueueTime, decision.HeldFor.Milliseconds())
	}
	if line.omitted > 0 {
		event = event.Uint64(logging.FieldOmitted, line.omitted)
	}
	event.Send()
}

// flowText formats a flow as SOURCE>DESTINATION. All nodes use the same format, so that the log
// lines of a flow can be found across nodes.
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
