// Package reach decides which zones' back ends one balancer reaches, so that an
// opening that no back end would get is refused at once, where its caller would
// wait for its deadline, and flows go to zones that answer. It answers the load
// of a zone that is cut off: all that its callers ask for, again and again. It
// goes by answers of back ends and by what is heard of balancers there. One sign
// of life refutes it; nothing is unsafe without it. It has no I/O and no clock;
// see docs/design/reachability.md.
package reachability

import (
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// Identity names a run of a back end, as packets do.
type Identity uint64

// Settings of a tracker. See DefaultSettings.
type Settings struct {
	// Own is the zone of this balancer.
	Own lb.Zone
	// LeastSilent is how many back ends of a zone leave openings unanswered, with no
	// sign of life of the zone since the first of these, before it counts as not
	// reached; LeastDoubted is enough where the membership does not reach it either.
	LeastSilent, LeastDoubted int
	// LeastSilence is for how long there is no sign of life at the least.
	LeastSilence time.Duration
	// ProbeInterval is the least time between two openings that this balancer sends
	// to a zone that it does not reach, and ZoneProbes how many a second the
	// balancers of its own zone send together.
	ProbeInterval time.Duration
	ZoneProbes    float64
	// PauseLimit is the gap between ticks after which openings sent before it prove
	// nothing: their answers may have waited, or were dropped.
	PauseLimit time.Duration
}

// DefaultSettings gives the defaults for a balancer in a zone.
func DefaultSettings(own lb.Zone) Settings {
	return Settings{
		Own: own,
		// With a fifth of the packets lost either way, which no caller is served well
		// over, four openings in a row go unanswered once in sixty times, and one
		// member that is heard meanwhile refutes it.
		LeastSilent: 4,
		// A single loss must not do, however long the membership has been silent: a
		// zone may have back ends and no balancers.
		LeastDoubted: 2,
		// Twice the time in which an opening is answered, or a copy of it follows.
		LeastSilence: 200 * time.Millisecond,
		// A caller whose opening is a probe loses 200 ms until its next copy, half of a
		// usual objective. So few callers are asked to, and a zone that returns is found
		// within half a second.
		ProbeInterval: 250 * time.Millisecond,
		ZoneProbes:    40,
		// Ticks come each 100 ms.
		PauseLimit: 300 * time.Millisecond,
	}
}

// Change is a zone whose back ends are reached no more, or are again, with what
// decided it. Ages are of the time of the change; below 0: never.
type Change struct {
	Zone    lb.Zone
	Reached bool
	// Silent is how many back ends have left openings unanswered since Silence ago,
	// and Probes how many openings were sent since the zone was given up.
	Silent, Probes int
	Silence        time.Duration
	// Answered and Heard are how long ago a back end of the zone has answered, and a
	// balancer in it was heard; Lost: the membership does not reach it either.
	Answered, Heard time.Duration
	Lost            bool
	// By says what refuted it, for a zone that is reached again.
	By Sign
}

// Sign is a sign of life.
type Sign string

// The signs of life of a zone.
const (
	SignAnswer Sign = "answer" // a back end has answered
	SignMember Sign = "member" // a balancer was heard
)

// zone is what is known of one zone.
type zone struct {
	answered, heard time.Duration // the last signs of life; never before
	lost            bool
	// silent are back ends that have left openings unanswered, the first of them
	// sent at first, after every sign of life. They are at most LeastSilent.
	silent    []Identity
	first     time.Duration
	unreached bool
	since     time.Duration // of unreached
	nextProbe time.Duration
	probes    int
	// refuted: a balancer there was heard though no back end answers. They have died,
	// then, and count as silent one by one, until one answers.
	refuted bool
}

// never is the time of what has not been.
const never = time.Duration(-1)

// Tracker is the decision of one balancer. It is not safe for concurrent use.
type Tracker struct {
	settings Settings
	zones    map[lb.Zone]*zone
	// unreached counts the zones that are not reached.
	unreached int
	// nodes is how many balancers the own zone has.
	nodes     int
	lastTick  time.Duration
	resumedAt time.Duration
	changes   []Change
}

// New gives a tracker that takes all zones as reached.
func New(settings Settings) *Tracker {
	return &Tracker{settings: settings, zones: make(map[lb.Zone]*zone), nodes: 1, resumedAt: never}
}

func (t *Tracker) zone(name lb.Zone) *zone {
	known := t.zones[name]
	if known == nil {
		known = &zone{answered: never, heard: never}
		t.zones[name] = known
	}
	return known
}

// SetNodes takes how many balancers the own zone has.
func (t *Tracker) SetNodes(nodes int) { t.nodes = max(nodes, 1) }

// Tick notes that time goes on: a gap means that this process was paused.
func (t *Tracker) Tick(now time.Duration) {
	if now-t.lastTick > t.settings.PauseLimit {
		t.resumedAt = now
		for _, known := range t.zones {
			known.silent = known.silent[:0]
		}
	}
	t.lastTick = now
	for name, known := range t.zones {
		t.judge(now, name, known)
	}
}

// Answered takes an answer of a back end.
func (t *Tracker) Answered(now time.Duration, name lb.Zone) {
	known := t.zone(name)
	known.answered = now
	known.refuted = false
	known.silent = known.silent[:0]
	t.regain(now, name, known, SignAnswer)
}

// Heard takes when a balancer in the zone was last heard, and whether the
// membership takes the zone as lost.
func (t *Tracker) Heard(now time.Duration, name lb.Zone, at time.Duration, lost bool) {
	known := t.zone(name)
	known.lost = lost
	if at <= known.heard {
		return
	}
	known.heard = at
	if len(known.silent) > 0 && at >= known.first {
		known.silent = known.silent[:0]
	}
	if known.unreached && at >= known.since {
		known.refuted = true
		t.regain(now, name, known, SignMember)
	}
}

// Unanswered takes an opening, sent to a back end at a time, whose answer is missing.
func (t *Tracker) Unanswered(now time.Duration, name lb.Zone, identity Identity, sent time.Duration) {
	known := t.zone(name)
	proves := known.answered != never && sent > max(known.answered, known.heard, t.resumedAt)
	if !proves || known.unreached || known.refuted {
		return // a zone that has never answered may be starting
	}
	if len(known.silent) == 0 {
		known.first = sent
	}
	known.first = min(known.first, sent)
	if len(known.silent) < t.settings.LeastSilent && !slices.Contains(known.silent, identity) {
		known.silent = append(known.silent, identity)
	}
	t.judge(now, name, known)
}

// judge gives a zone up that shows no sign of life.
func (t *Tracker) judge(now time.Duration, name lb.Zone, known *zone) {
	least := t.settings.LeastSilent
	if known.lost {
		least = t.settings.LeastDoubted
	}
	if known.unreached || len(known.silent) < least || now-known.first < t.settings.LeastSilence {
		return
	}
	known.unreached = true
	known.since = now
	known.nextProbe = now + t.probeInterval()
	known.probes = 0
	t.unreached++
	t.note(now, name, known, "")
	known.silent = known.silent[:0]
}

func (t *Tracker) regain(now time.Duration, name lb.Zone, known *zone, by Sign) {
	if !known.unreached {
		return
	}
	known.unreached = false
	t.unreached--
	t.note(now, name, known, by)
}

func (t *Tracker) note(now time.Duration, name lb.Zone, known *zone, by Sign) {
	t.changes = append(t.changes, Change{
		Zone: name, Reached: !known.unreached, Silent: len(known.silent), Probes: known.probes,
		Silence: now - known.first, Answered: age(now, known.answered), Heard: age(now, known.heard),
		Lost: known.lost, By: by,
	})
}

func age(now, at time.Duration) time.Duration {
	if at == never {
		return never
	}
	return now - at
}

// All tells whether all zones are reached, as far as is known.
func (t *Tracker) All() bool { return t.unreached == 0 }

// Reaches tells whether the back ends of a zone are reached, as far as is known.
func (t *Tracker) Reaches(name lb.Zone) bool {
	known := t.zones[name]
	return known == nil || !known.unreached
}

// Probe tells whether an opening is to go to a zone that is not reached, to find
// out whether it is again, and takes it as sent.
func (t *Tracker) Probe(now time.Duration, name lb.Zone) bool {
	known := t.zones[name]
	if known == nil || !known.unreached || now < known.nextProbe {
		return false
	}
	known.nextProbe = now + t.probeInterval()
	known.probes++
	return true
}

// probeInterval is the time between two probes of this balancer.
func (t *Tracker) probeInterval() time.Duration {
	together := time.Duration(float64(t.nodes) / t.settings.ZoneProbes * float64(time.Second))
	return max(t.settings.ProbeInterval, together)
}

// Changes gives what has changed since the last call. It holds until the next call of any method.
func (t *Tracker) Changes() []Change {
	changes := t.changes
	t.changes = t.changes[:0]
	return changes
}

// Status is what is known of one zone.
type Status struct {
	Zone    lb.Zone
	Reached bool
}

// Status gives all zones of which something is known, in no particular order.
func (t *Tracker) Status() []Status {
	statuses := make([]Status, 0, len(t.zones))
	for name, known := range t.zones {
		statuses = append(statuses, Status{Zone: name, Reached: !known.unreached})
	}
	return statuses
}

// Forget drops what is known of zones but those to keep.
func (t *Tracker) Forget(keep func(lb.Zone) bool) {
	for name, known := range t.zones {
		if keep(name) || name == t.settings.Own {
			continue
		}
		if known.unreached {
			t.unreached--
		}
		delete(t.zones, name)
	}
}
