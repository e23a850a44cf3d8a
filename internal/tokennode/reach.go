package tokennode

import (
	"time"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/logging"
)

// zonesHeard gives the core what the membership has heard of zones.
func (engine *engine) zonesHeard() []core.ZoneContact {
	heard := engine.member.Heard(nil)
	zones := make([]core.ZoneContact, len(heard))
	for index, zone := range heard {
		zones[index] = core.ZoneContact(zone)
	}
	return zones
}

// logReach logs zones that this node reaches no more, or again, with what decided it.
func (engine *engine) logReach() {
	for _, change := range engine.coreEffects.Reachability {
		event := logging.EventZoneUnreached
		if change.Reachable {
			event = logging.EventZoneReached
		}
		engine.logger.Warn().
			Str(logging.FieldEvent, string(event)).
			Str(logging.FieldBackendZone, string(change.Zone)).
			Str(logging.FieldReason, string(change.LifeSign)).
			Int(logging.FieldMissing, change.Unresponsive).
			Int64(logging.FieldSilence, change.UnresponsiveFor.Milliseconds()).
			Int64(logging.FieldAnswered, ageMillis(change.SinceAnswer)).
			Int64(logging.FieldHeard, ageMillis(change.SinceMemberSeen)).
			Bool(logging.FieldLost, change.MembershipLost).
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
