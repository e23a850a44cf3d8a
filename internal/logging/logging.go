// Package logging defines the log events of a balancer and their fields, and creates its logger,
// which writes one JSON object per line with stable keys. The names are part of the interface to
// operators; docs/operations-node.md lists them.
package logging

import (
	"io"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// Event is the name of a log event, the value of FieldEvent.
type Event string

// The log events.
const (
	EventStarting             Event = "starting"
	EventReady                Event = "ready"
	EventStopping             Event = "stopping"
	EventNotReady             Event = "not_ready"
	EventHandedOver           Event = "handed_over"
	EventStopped              Event = "stopped"
	EventStoppedImmediately   Event = "stopped_at_once"
	EventFailed               Event = "failed"
	EventPlacementAdopted     Event = "placement_adopted"
	EventDocumentRejected     Event = "document_rejected"
	EventMemberChanged        Event = "member_changed"
	EventContactChanged       Event = "contact_changed"
	EventWatcherChanged       Event = "watcher_changed"
	EventStoreUp              Event = "store_up"
	EventStoreDown            Event = "store_down"
	EventStoreCall            Event = "store_call"
	EventStoreWriteFailed     Event = "store_write_failed"
	EventMachinesFailed       Event = "machines_failed"
	EventFaultInjected        Event = "fault_injected"
	EventViewChanged          Event = "view_changed"
	EventOpening              Event = "opening"
	EventRefused              Event = "refused"
	EventDropped              Event = "dropped"
	EventTokenCorrected       Event = "token_corrected"
	EventBackendUnresponsive  Event = "backend_silent"
	EventBackendResponsive    Event = "backend_answers"
	EventBackendEjected       Event = "backend_avoided"
	EventBackendRestored      Event = "backend_trusted"
	EventZoneUnreachable      Event = "zone_unreached"
	EventZoneReachable        Event = "zone_reached"
	EventOverloaded           Event = "overloaded"
	EventOverloadEnded        Event = "overload_ended"
	EventZoneWeightChanged    Event = "share_changed"
	EventAdmissionRateChanged Event = "admitted_changed"
	EventMalformed            Event = "malformed_packets"
	EventControlFaults        Event = "control_faults"
	EventReloaded             Event = "reloaded"
	EventReloadFailed         Event = "reload_failed"
	EventReloadIgnored        Event = "reload_ignored"
)

// Events returns all log events.
func Events() []Event {
	return []Event{
		EventStarting, EventReady, EventStopping, EventNotReady, EventHandedOver, EventStopped,
		EventStoppedImmediately, EventFailed, EventPlacementAdopted,
		EventDocumentRejected, EventMemberChanged, EventContactChanged, EventWatcherChanged, EventStoreUp, EventStoreDown, EventStoreCall,
		EventStoreWriteFailed, EventMachinesFailed, EventFaultInjected, EventViewChanged,
		EventOpening, EventRefused, EventDropped, EventTokenCorrected, EventBackendUnresponsive, EventBackendResponsive, EventBackendEjected, EventBackendRestored, EventZoneUnreachable, EventZoneReachable, EventOverloaded, EventOverloadEnded, EventZoneWeightChanged, EventAdmissionRateChanged, EventMalformed, EventControlFaults, EventReloaded, EventReloadFailed, EventReloadIgnored,
	}
}

// The keys of log fields.
const (
	FieldEvent         = "event"
	FieldNode          = "node"
	FieldZone          = "zone"
	FieldService       = "service"
	FieldVersion       = "version"
	FieldPeer          = "peer"
	FieldPeerZone      = "peer_zone"
	FieldState         = "state"
	FieldReason        = "reason"
	FieldAddress       = "address"
	FieldKey           = "key"
	FieldDuration      = "duration_ms"
	FieldFlow          = "flow"
	FieldOpening       = "opening_id"
	FieldCopies        = "copies"
	FieldBackend       = "backend"
	FieldHost          = "host"
	FieldRevision      = "revision"
	FieldViewAge       = "view_age_ms"
	FieldSource        = "source"
	FieldFailure       = "failure"
	FieldOmitted       = "omitted"
	FieldMissing       = "missing"
	FieldPressure      = "pressure"
	FieldPriority      = "priority"
	FieldAdmissionRate = "admitted"
	FieldRefused       = "refused"
	FieldBad           = "bad"
	FieldGood          = "good"
	FieldReporters     = "reporters"
	FieldBaseline      = "others"
	FieldEvacuated     = "evacuated_zones"

	FieldLocalWeight      = "home"
	FieldPrevious         = "before"
	FieldDemand           = "asked"
	FieldDemandOthers     = "asked_others"
	FieldCapacity         = "capacity"
	FieldCapacityOthers   = "capacity_others"
	FieldDemandRefused    = "asked_refused"
	FieldLoadAge          = "load_age_ms"
	FieldBackendZone      = "backend_zone"
	FieldUnresponsiveTime = "silence_ms"
	FieldLastAnswerAge    = "answered_age_ms"
	FieldLastContactAge   = "heard_age_ms"
	FieldMembersLost      = "members_lost"
	FieldProbes           = "probes"

	FieldAdmission = "admission"
	// FieldAdmissionQueue is the mode of the admission queue, as set by the setting of the same
	// name.
	FieldAdmissionQueue = "waiting"
	// FieldQueueTime is the time that an opening spent in the admission queue before the decision,
	// in milliseconds.
	FieldQueueTime = "waited_ms"
)

// timeFormat is the format of times in log lines: RFC 3339 with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// The capacity of the queue before the log's output, and the interval at which it is polled.
const (
	queueLines    = 1024
	queueInterval = 50 * time.Millisecond
)

// NewNonBlockingWriter returns a writer that queues lines for output and never blocks, so that a
// stalled log consumer does not delay packets. Lines that exceed the queue's capacity are dropped,
// and their number is passed to onDropped. Close writes the queued lines and leaves output open.
func NewNonBlockingWriter(output io.Writer, onDropped func(lines int)) io.WriteCloser {
	withoutClose := struct{ io.Writer }{output}
	return diode.NewWriter(withoutClose, queueLines, queueInterval, onDropped)
}

// New returns a logger that writes to output at the given level (debug, info, warn or error), with
// the node and its zone in every line. It also sets the time format of all loggers of the process.
func New(output io.Writer, level, node, zone string) (zerolog.Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), err
	}
	zerolog.TimeFieldFormat = timeFormat
	logger := zerolog.New(output).Level(parsed).With().
		Timestamp().
		Str(FieldNode, node).
		Str(FieldZone, zone).
		Logger()
	return logger, nil
}
