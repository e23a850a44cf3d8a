// Package reachability decides which zones have back ends that this balancer can reach. An opening
// that no back end would receive can then be refused immediately instead of keeping its client
// waiting for its deadline, and flows go to zones that respond. This limits the effect of a
// partitioned zone, whose clients retry all their requests. The decision is based on answers of
// back ends and on messages received from balancers in the zone. One sign of life makes a zone
// reachable again. No safety property depends on the decision. The package has no I/O and no clock;
// see docs/design/reachability.md.
package reachability

import (
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// Identity identifies one instance of a back end, as it appears in packets.
type Identity uint64

// Settings configures a Tracker. See DefaultSettings.
type Settings struct {
	// Own is the zone of this balancer.
	Own lb.Zone
	// MinUnresponsive is the number of back ends of a zone that must leave openings unanswered,
	// without a sign of life from the zone since the first of these openings, before the zone is
	// considered unreachable. MinUnresponsiveIfLost applies if the membership also considers the
	// zone lost.
	MinUnresponsive, MinUnresponsiveIfLost int
	// MinUnresponsiveTime is the minimum time without a sign of life.
	MinUnresponsiveTime time.Duration
	// ProbeInterval is the minimum time between two probes that this balancer sends to an
	// unreachable zone. ZoneProbesPerSecond is the total rate of probes of all balancers of its own
	// zone.
	ProbeInterval       time.Duration
	ZoneProbesPerSecond float64
	// PauseLimit is the gap between ticks after which openings sent before the gap are ignored:
	// their answers may have been delayed or dropped.
	PauseLimit time.Duration
}

// DefaultSettings returns the default settings for a balancer in zone own.
func DefaultSettings(own lb.Zone) Settings {
	return Settings{
		Own: own,
		// If a fifth of the packets is lost in each direction, a loss at which no client is served
		// well, four openings in a row go unanswered once in sixty times, and a message from one
		// member in the meantime prevents the decision.
		MinUnresponsive: 4,
		// A single loss must not suffice, however long the membership has received nothing from the
		// zone: it may have back ends and no balancers.
		MinUnresponsiveIfLost: 2,
		// Twice the time after which an opening is answered or retransmitted.
		MinUnresponsiveTime: 200 * time.Millisecond,
		// A client whose opening is used as a probe loses 200 ms until it retransmits, half of a
		// usual objective. Probes are therefore few, and a recovered zone is still detected within
		// half a second.
		ProbeInterval:       250 * time.Millisecond,
		ZoneProbesPerSecond: 40,
		// Ticks come every 100 ms.
		PauseLimit: 300 * time.Millisecond,
	}
}

// Change reports that a zone has become unreachable or reachable, with the observations behind the
// decision. Ages are relative to the time of the change; a negative age means never.
type Change struct {
	Zone      lb.Zone
	Reachable bool
	// Unresponsive is the number of back ends that have left openings unanswered since the time
	// UnresponsiveFor ago, and Probes the number of probes sent while the zone was unreachable.
	Unresponsive, Probes int
	UnresponsiveFor      time.Duration
	// SinceAnswer and SinceMemberSeen are the times since the last answer of a back end of the zone
	// and since the last message from a balancer in it. MembershipLost is set if the membership
	// also considers the zone lost.
	SinceAnswer, SinceMemberSeen time.Duration
	MembershipLost               bool
	// LifeSign is the sign of life that made the zone reachable again; otherwise it is empty.
	LifeSign LifeSign
}

// LifeSign is the kind of a sign of life.
type LifeSign string

// The signs of life of a zone.
const (
	LifeSignAnswer LifeSign = "answer" // a back end has answered
	LifeSignMember LifeSign = "member" // a message from a balancer was received
)

// zone is the state of one zone.
type zone struct {
	lastAnswer, memberSeen time.Duration // the last signs of life, or never
	membershipLost         bool
	// unresponsive holds at most MinUnresponsive back ends that have left openings unanswered, all
	// sent after the last sign of life. firstUnanswered is when the first of these openings was
	// sent.
	unresponsive     []Identity
	firstUnanswered  time.Duration
	unreachable      bool
	unreachableSince time.Duration // when unreachable was set
	nextProbe        time.Duration
	probes           int
	// membersAlive is set if a message from a balancer in the zone was received while no back end
	// answered. In that case the back ends have failed rather than the network, and are handled
	// individually until one of them answers.
	membersAlive bool
}

// never is the time of an event that has not happened.
const never = time.Duration(-1)

// Tracker tracks the reachability of zones for one balancer. It is not safe for concurrent use.
type Tracker struct {
	settings Settings
	zones    map[lb.Zone]*zone
	// unreachable counts the unreachable zones.
	unreachable int
	// nodes is the number of balancers in the own zone.
	nodes     int
	lastTick  time.Duration
	resumedAt time.Duration
	changes   []Change
}

// New returns a tracker that considers all zones reachable.
func New(settings Settings) *Tracker {
	return &Tracker{settings: settings, zones: make(map[lb.Zone]*zone), nodes: 1, resumedAt: never}
}

func (t *Tracker) zone(name lb.Zone) *zone {
	z := t.zones[name]
	if z == nil {
		z = &zone{lastAnswer: never, memberSeen: never}
		t.zones[name] = z
	}
	return z
}

// SetNodes sets the number of balancers in the own zone.
func (t *Tracker) SetNodes(nodes int) { t.nodes = max(nodes, 1) }

// Tick advances the time. A gap between ticks means that this process was paused.
func (t *Tracker) Tick(now time.Duration) {
	if now-t.lastTick > t.settings.PauseLimit {
		t.resumedAt = now
		for _, z := range t.zones {
			z.unresponsive = z.unresponsive[:0]
		}
	}
	t.lastTick = now
	for name, z := range t.zones {
		t.evaluate(now, name, z)
	}
}

// RecordAnswer records an answer of a back end in the zone.
func (t *Tracker) RecordAnswer(now time.Duration, name lb.Zone) {
	z := t.zone(name)
	z.lastAnswer = now
	z.membersAlive = false
	z.unresponsive = z.unresponsive[:0]
	t.restore(now, name, z, LifeSignAnswer)
}

// RecordMemberSeen records when the last message from a balancer in the zone was received, and
// whether the membership considers the zone lost.
func (t *Tracker) RecordMemberSeen(now time.Duration, name lb.Zone, at time.Duration, lost bool) {
	z := t.zone(name)
	z.membershipLost = lost
	if at <= z.memberSeen {
		return
	}
	z.memberSeen = at
	if len(z.unresponsive) > 0 && at >= z.firstUnanswered {
		z.unresponsive = z.unresponsive[:0]
	}
	if z.unreachable && at >= z.unreachableSince {
		z.membersAlive = true
		t.restore(now, name, z, LifeSignMember)
	}
}

// RecordUnanswered records an opening, sent to a back end at the time sent, that got no answer in
// time.
func (t *Tracker) RecordUnanswered(now time.Duration, name lb.Zone, identity Identity, sent time.Duration) {
	z := t.zone(name)
	relevant := z.lastAnswer != never && sent > max(z.lastAnswer, z.memberSeen, t.resumedAt)
	if !relevant || z.unreachable || z.membersAlive {
		return // a zone that has never answered may still be starting
	}
	if len(z.unresponsive) == 0 {
		z.firstUnanswered = sent
	}
	z.firstUnanswered = min(z.firstUnanswered, sent)
	if len(z.unresponsive) < t.settings.MinUnresponsive && !slices.Contains(z.unresponsive, identity) {
		z.unresponsive = append(z.unresponsive, identity)
	}
	t.evaluate(now, name, z)
}

// evaluate marks a zone as unreachable if it shows no sign of life.
func (t *Tracker) evaluate(now time.Duration, name lb.Zone, z *zone) {
	required := t.settings.MinUnresponsive
	if z.membershipLost {
		required = t.settings.MinUnresponsiveIfLost
	}
	if z.unreachable || len(z.unresponsive) < required || now-z.firstUnanswered < t.settings.MinUnresponsiveTime {
		return
	}
	z.unreachable = true
	z.unreachableSince = now
	z.nextProbe = now + t.probeInterval()
	z.probes = 0
	t.unreachable++
	t.recordChange(now, name, z, "")
	z.unresponsive = z.unresponsive[:0]
}

func (t *Tracker) restore(now time.Duration, name lb.Zone, z *zone, sign LifeSign) {
	if !z.unreachable {
		return
	}
	z.unreachable = false
	t.unreachable--
	t.recordChange(now, name, z, sign)
}

func (t *Tracker) recordChange(now time.Duration, name lb.Zone, z *zone, sign LifeSign) {
	t.changes = append(t.changes, Change{
		Zone: name, Reachable: !z.unreachable, Unresponsive: len(z.unresponsive), Probes: z.probes,
		UnresponsiveFor: now - z.firstUnanswered, SinceAnswer: ageOf(now, z.lastAnswer), SinceMemberSeen: ageOf(now, z.memberSeen),
		MembershipLost: z.membershipLost, LifeSign: sign,
	})
}

func ageOf(now, at time.Duration) time.Duration {
	if at == never {
		return never
	}
	return now - at
}

// AllReachable reports whether all zones are considered reachable.
func (t *Tracker) AllReachable() bool { return t.unreachable == 0 }

// Reachable reports whether the back ends of a zone are considered reachable.
func (t *Tracker) Reachable(name lb.Zone) bool {
	z := t.zones[name]
	return z == nil || !z.unreachable
}

// Probe reports whether an opening is due to be sent to an unreachable zone to test whether it has
// recovered. If it returns true, the probe is counted as sent.
func (t *Tracker) Probe(now time.Duration, name lb.Zone) bool {
	z := t.zones[name]
	if z == nil || !z.unreachable || now < z.nextProbe {
		return false
	}
	z.nextProbe = now + t.probeInterval()
	z.probes++
	return true
}

// probeInterval returns the time between two probes of this balancer.
func (t *Tracker) probeInterval() time.Duration {
	shared := time.Duration(float64(t.nodes) / t.settings.ZoneProbesPerSecond * float64(time.Second))
	return max(t.settings.ProbeInterval, shared)
}

// Changes returns the changes since the last call. The slice is valid until the next call of any
// method.
func (t *Tracker) Changes() []Change {
	changes := t.changes
	t.changes = t.changes[:0]
	return changes
}

// Status is the reachability of one zone.
type Status struct {
	Zone      lb.Zone
	Reachable bool
}

// Status returns the state of all zones with recorded observations, in no particular order.
func (t *Tracker) Status() []Status {
	statuses := make([]Status, 0, len(t.zones))
	for name, z := range t.zones {
		statuses = append(statuses, Status{Zone: name, Reachable: !z.unreachable})
	}
	return statuses
}

// Forget deletes the state of all zones except the own zone and those for which keep returns true.
func (t *Tracker) Forget(keep func(lb.Zone) bool) {
	for name, z := range t.zones {
		if keep(name) || name == t.settings.Own {
			continue
		}
		if z.unreachable {
			t.unreachable--
		}
		delete(t.zones, name)
	}
}
