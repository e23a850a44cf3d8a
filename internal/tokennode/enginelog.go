package tokennode

import (
	"strconv"
	"time"

	"robinpulley.example/robinpulley/internal/follower"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/logging"
)

// logView logs that the view has changed, and the source of the change.
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

// processCoreChanges logs the state changes of the last step of the core, and passes the request
// outcomes that the core has observed on to outlier detection.
func (engine *engine) processCoreChanges() {
	engine.forwardOutcomes()
	engine.logBackends()
	engine.logOverload()
	engine.logReachability()
}

// logOverload logs services that have become overloaded or are no longer overloaded.
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
			Float64(logging.FieldAdmissionRate, change.AdmissionRate).
			Uint64(logging.FieldRefused, change.Refused).
			Send()
	}
}

// logBackends logs back ends that have become unresponsive or answer again.
func (engine *engine) logBackends() {
	for _, change := range engine.coreEffects.Backends {
		event := logging.EventBackendResponsive
		if change.Unresponsive {
			event = logging.EventBackendUnresponsive
		}
		engine.logger.Info().
			Str(logging.FieldEvent, string(event)).
			Str(logging.FieldBackend, engine.backendText(uint64(change.Identity))).
			Int(logging.FieldMissing, change.MissingAnswers).
			Send()
	}
}

// backendText returns the identity of the back end with an instance ID, in hex digits as packets
// carry it. It returns the instance ID itself if the table no longer contains the instance.
func (engine *engine) backendText(instanceID uint64) string {
	if engine.table != nil {
		if host := engine.table.HostOfInstance(instanceID); host != nil {
			return strconv.FormatUint(host.Identity, 16)
		}
	}
	return strconv.FormatUint(instanceID, 16)
}

// recordCall counts and logs a call to the store. It also logs entries that could not be decoded,
// and when the store becomes unavailable or available again.
func (engine *engine) recordCall(result *follower.ReadResult) {
	key := keyOf(result)
	engine.calls.requests[key] += uint64(result.Requests)
	engine.logCall(key, result.Requests, engine.lastStep-engine.readStarted)
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
	if up == engine.calls.storeUp {
		return
	}
	engine.calls.storeUp = up
	event := logging.EventStoreUp
	if !up {
		event = logging.EventStoreDown
	}
	engine.logger.Warn().
		Str(logging.FieldEvent, string(event)).
		Str(logging.FieldFailure, string(result.Failure)).
		Send()
}

// recordPublication counts and logs a snapshot write.
func (engine *engine) recordPublication(result *follower.PublishResult) {
	key := callKey{kind: kindPublish, reason: reasonChanged, failure: result.Failure}
	engine.calls.requests[key] += uint64(result.Requests)
	engine.logCall(key, result.Requests, engine.lastStep-engine.publishStarted)
}

// logCall logs a call to the store and the reason for it. Every call is logged because the platform
// charges for each one. A node makes at most one call at a time and a few per second.
func (engine *engine) logCall(key callKey, requests int, duration time.Duration) {
	age, _ := engine.follower.Age(engine.lastStep)
	engine.logger.Info().
		Str(logging.FieldEvent, string(logging.EventStoreCall)).
		Str("kind", string(key.kind)).
		Str(logging.FieldReason, string(key.reason)).
		Str(logging.FieldFailure, string(key.failure)).
		Bool("news", key.changed).
		Int("requests", requests).
		Int64(logging.FieldViewAge, age.Milliseconds()).
		Int64(logging.FieldDuration, duration.Milliseconds()).
		Send()
}

// maxRejectedLinesPerSecond limits the log lines about store entries that cannot be decoded. A
// faulty writer may write thousands of them, and each listing reads them all again.
const maxRejectedLinesPerSecond = 10

// logRejected counts and logs a store entry that cannot be decoded.
func (engine *engine) logRejected(key string, err error) {
	engine.calls.rejected++
	omitted, allowed := engine.calls.rejectedLimiter.allow(engine.lastStep, maxRejectedLinesPerSecond)
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
