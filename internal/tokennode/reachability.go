package tokennode

import (
	"time"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/logging"
)

// zoneContacts returns when the membership last received a message from each zone, in the form of
// the core.
func (engine *engine) zoneContacts() []core.ZoneContact {
	contacts := engine.member.ZoneContacts(nil)
	zones := make([]core.ZoneContact, len(contacts))
	for index, zone := range contacts {
		zones[index] = core.ZoneContact(zone)
	}
	return zones
}

// logReachability logs zones that have become unreachable or reachable again from this node, with
// the inputs of each decision.
func (engine *engine) logReachability() {
	for _, change := range engine.coreEffects.Reachability {
		event := logging.EventZoneUnreachable
		if change.Reachable {
			event = logging.EventZoneReachable
		}
		engine.logger.Warn().
			Str(logging.FieldEvent, string(event)).
			Str(logging.FieldBackendZone, string(change.Zone)).
			Str(logging.FieldReason, string(change.LifeSign)).
			Int(logging.FieldMissing, change.Unresponsive).
			Int64(logging.FieldUnresponsiveTime, change.UnresponsiveFor.Milliseconds()).
			Int64(logging.FieldLastAnswerAge, ageMillis(change.SinceAnswer)).
			Int64(logging.FieldLastContactAge, ageMillis(change.SinceMemberSeen)).
			Bool(logging.FieldMembersLost, change.MembershipLost).
			Int(logging.FieldProbes, change.Probes).
			Send()
	}
}

// ageMillis returns an age in milliseconds, or -1 if the age is negative, which stands for an event
// that never occurred.
func ageMillis(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return age.Milliseconds()
}
