package tokennode

import (
	"time"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/logging"
)

// zonesHeard gives the core what the membership has heard of zones.
func (engine *engine) zonesHeard() []core.ZoneHeard {
	heard := engine.member.Heard(nil)
	zones := make([]core.ZoneHeard, len(heard))
	for index, zone := range heard {
		zones[index] = core.ZoneHeard(zone)
	}
	return zones
}

// logReach logs zones that this node reaches no more, or again, with what decided it.
func (engine *engine) logReach() {
	for _, change := range engine.coreEffects.Reach {
		event := logging.EventZoneUnreached
		if change.Reached {
			event = logging.EventZoneReached
		}
		engine.logger.Warn().
			Str(logging.FieldEvent, string(event)).
			Str(logging.FieldBackendZone, string(change.Zone)).
			Str(logging.FieldReason, string(change.By)).
			Int(logging.FieldMissing, change.Silent).
			Int64(logging.FieldSilence, change.Silence.Milliseconds()).
			Int64(logging.FieldAnswered, ageMillis(change.Answered)).
			Int64(logging.FieldHeard, ageMillis(change.Heard)).
			Bool(logging.FieldLost, change.Lost).
			Int(logging.FieldProbes, change.Probes).
			Send()
	}
}

// ageMillis gives an age in milliseconds; -1: never.
func ageMillis(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return age.Milliseconds()
}
