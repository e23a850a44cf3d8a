package tokennode

import (
	"strconv"
	"time"

	"robinpulley.example/robinpulley/internal/follower"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/logging"
)

// logView logs that the view has changed, by word of the source.
func (engine *engine) logView(source string) {
	replica := engine.follower.Replica()
	event := engine.logger.Info().
		Str(logging.FieldEvent, string(logging.EventViewChanged)).
		Str(logging.FieldSource, source).
		Int64(logging.FieldRevision, replica.Revision()).
		Uint64(logging.FieldVersion, replica.Version()).
		Strs(logging.FieldEvacuated, zoneNames(replica.Evacuated()))
	if engine.table != nil {
		frontends, ready := engine.table.Counts()
		event = event.Int("frontends", frontends).Int("ready_backends", ready)
	}
	event.Send()
}

func zoneNames(zones []lb.Zone) []string {
	names := make([]string, len(zones))
	for index, zone := range zones {
		names[index] = string(zone)
	}
	return names
}

// logChanges logs what the core has begun to believe, and passes on what it has seen.
func (engine *engine) logChanges() {
	engine.noteOutcomes()
	engine.logBackends()
	engine.logOverload()
	engine.logReach()
}

// logOverload logs services that have become overloaded, or are so no more.
func (engine *engine) logOverload() {
	for _, change := range engine.coreEffects.Overload {
		event := logging.EventOverloadEnded
		if change.Overloaded {
			event = logging.EventOverloaded
		}
		engine.logger.Warn().
			Str(logging.FieldEvent, string(event)).
			Str(logging.FieldService, string(change.Service)).
			Float64(logging.FieldPressure, change.Pressure).
			Uint16(logging.FieldPriority, change.Priority).
			Float64(logging.FieldAdmitted, change.Admitted).
			Uint64(logging.FieldRefused, change.Refused).
			Send()
	}
}

// logBackends logs back ends that have fallen silent or answer again.
func (engine *engine) logBackends() {
	for _, change := range engine.coreEffects.Backends {
		event := logging.EventBackendAnswers
		if change.Silent {
			event = logging.EventBackendSilent
		}
		engine.logger.Info().
			Str(logging.FieldEvent, string(event)).
			Str(logging.FieldBackend, engine.backendText(uint64(change.Identity))).
			Int(logging.FieldMissing, change.Missing).
			Send()
	}
}

// backendText names the back end of a run as packets do, in hex digits; the run itself
// where no back end of the table has it any more.
func (engine *engine) backendText(run uint64) string {
	if engine.table != nil {
		if host := engine.table.HostOfInstance(run); host != nil {
			return strconv.FormatUint(host.Identity, 16)
		}
	}
	return strconv.FormatUint(run, 16)
}

// noteCall counts a call to the store and logs when the store is lost and regained.
func (engine *engine) noteCall(result *follower.ReadResult) {
	key := keyOf(result)
	engine.calls.requests[key] += uint64(result.Requests)
	engine.logCall(key, result.Requests, engine.last-engine.readAt)
	up := result.Failure.Answered()
	if result.Listing != nil {
		for _, rejected := range result.Listing.Rejected {
			engine.logRejected(rejected.Key, rejected.Error)
		}
	}
	if result.Changes != nil {
		for _, rejected := range result.Changes.Rejected {
			engine.logRejected(rejected.Key, rejected.Error)
		}
	}
	if up == engine.calls.up {
		return
	}
	engine.calls.up = up
	event := logging.EventStoreUp
	if !up {
		event = logging.EventStoreDown
	}
	engine.logger.Warn().
		Str(logging.FieldEvent, string(event)).
		Str(logging.FieldFailure, string(result.Failure)).
		Send()
}

// notePublication counts and logs the writing of a snapshot.
func (engine *engine) notePublication(result *follower.PublishResult) {
	key := callKey{kind: kindPublish, reason: reasonChanged, failure: result.Failure}
	engine.calls.requests[key] += uint64(result.Requests)
	engine.logCall(key, result.Requests, engine.last-engine.publishAt)
}

// logCall logs a call to the store: each has a price, and its reason is why it
// was paid. A node makes at most one at a time and a few a second.
func (engine *engine) logCall(key callKey, requests int, took time.Duration) {
	age, _ := engine.follower.Age(engine.last)
	engine.logger.Info().
		Str(logging.FieldEvent, string(logging.EventStoreCall)).
		Str("kind", string(key.kind)).
		Str(logging.FieldReason, string(key.reason)).
		Str(logging.FieldFailure, string(key.failure)).
		Bool("news", key.news).
		Int("requests", requests).
		Int64(logging.FieldAge, age.Milliseconds()).
		Int64(logging.FieldDuration, took.Milliseconds()).
		Send()
}

// rejectedLinesPerSecond bounds the lines about entries of the store that cannot be read:
// whoever writes one may write thousands, which each listing reads again.
const rejectedLinesPerSecond = 10

func (engine *engine) logRejected(key string, err error) {
	engine.calls.rejected++
	omitted, allowed := engine.calls.rejectedLines.take(engine.last, rejectedLinesPerSecond)
	if !allowed {
		return
	}
	line := engine.logger.Warn().Err(err).
		Str(logging.FieldEvent, string(logging.EventDocumentRejected)).
		Str(logging.FieldKey, key)
	if omitted > 0 {
		line = line.Uint64(logging.FieldOmitted, omitted)
	}
	line.Send()
}
