// Package heldwork forecasts the work that a balancer's open flows will bring to a service. It
// answers a crowd of callers who keep their flows: what they bring in the first moments is a
// fraction of what they bring as long as the flows stay open, and an open flow can't be refused. Each
// balancer lets in no more than its own part of the slots can serve, so that no balancer, and no
// zone, gets its flows at the cost of the others. The package has no I/O and no clock.
package committedload

import (
	"math"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// Settings of a tracker. See DefaultSettings.
type Settings struct {
	// Window is the time over which the rate of requests is taken.
	Window time.Duration
	// GrowingLimit is the part of the slots that may be forecast to be used while the flows
	// multiply, by more than Growth, and SteadyLimit that at other times, when the times of
	// requests show what there is room for.
	GrowingLimit, SteadyLimit, GrowthThreshold float64
	// MaxGrowth bounds the factor by which work is forecast to grow.
	MaxGrowth float64
	// LeastKept is the part of requests on flows that were open before from which a priority's
	// callers count as keeping their flows.
	LeastKept float64
	// MinFlows is how many flows tell anything.
	MinFlows int
	// FlowTimeout is how long a flow counts as open after its last request.
	FlowTimeout time.Duration
	// MaxFlows bounds the flows that are remembered.
	MaxFlows int
}

// DefaultSettings gives the defaults.
func DefaultSettings() Settings {
	return Settings{
		Window:          300 * time.Millisecond,
		GrowingLimit:    1,
		SteadyLimit:     1.5,
		GrowthThreshold: 1.1,
		MaxGrowth:       3,
		LeastKept:       0.1,
		MinFlows:        4,
		FlowTimeout:     5 * time.Second,
		MaxFlows:        1 << 14,
	}
}

// level is what is known of the requests of one priority at a service. Counts fade with the window.
type level struct {
	priority     uint16
	first        time.Duration // when the first request began
	at           time.Duration // of the counts
	work         float64       // of all requests, in slot seconds
	openFlowWork float64       // the part of it on flows that were open before
	openings     float64       // let in
	flows        int           // open
}

// flow is an open flow.
type flow struct {
	level *level
	at    time.Duration // of its last request
}

// Tracker is the forecast of one balancer. It is not safe for concurrent use.
type Tracker struct {
	settings Settings
	levels   map[lb.ServiceName][]*level
	flows    map[lb.FlowID]flow
	sweepAt  time.Duration
}

// New gives a tracker that knows nothing.
func New(settings Settings) *Tracker {
	return &Tracker{settings: settings, levels: make(map[lb.ServiceName][]*level), flows: make(map[lb.FlowID]flow)}
}

// RecordOpening notes that an opening was let in.
func (t *Tracker) RecordOpening(now time.Duration, service lb.ServiceName, priority uint16) {
	l := t.level(now, service, priority)
	l.openings++
}

// RecordRequest notes that a request begins on a flow, with the time in seconds that it needs at an
// idle back end.
func (t *Tracker) RecordRequest(now time.Duration, service lb.ServiceName, priority uint16, id lb.FlowID, work float64) {
	l := t.level(now, service, priority)
	l.work += work
	known, open := t.flows[id]
	if open && known.level == l {
		l.openFlowWork += work
		t.flows[id] = flow{l, now}
		return
	}
	t.CloseFlow(id)
	if len(t.flows) < t.settings.MaxFlows {
		t.flows[id] = flow{l, now}
		l.flows++
	}
}

// CloseFlow notes that a flow has ended.
func (t *Tracker) CloseFlow(id lb.FlowID) {
	if known, open := t.flows[id]; open {
		known.level.flows--
		delete(t.flows, id)
	}
}

// level gives the level of a priority, which begins now if it is new.
func (t *Tracker) level(now time.Duration, service lb.ServiceName, priority uint16) *level {
	l := t.find(service, priority)
	if l == nil {
		l = &level{priority: priority, first: now, at: now}
		t.levels[service] = append(t.levels[service], l)
	}
	l.decay(now, t.settings.Window)
	return l
}

func (t *Tracker) find(service lb.ServiceName, priority uint16) *level {
	for _, l := range t.levels[service] {
		if l.priority == priority {
			return l
		}
	}
	return nil
}

func (l *level) decay(now, window time.Duration) {
	if now <= l.at {
		return
	}
	part := math.Exp(-(now - l.at).Seconds() / window.Seconds())
	l.at = now
	l.work *= part
	l.openFlowWork *= part
	l.openings *= part
}

// rate gives the slots that a faded count of slot seconds stands for.
func (t *Tracker) rate(now time.Duration, l *level, count float64) float64 {
	window := t.settings.Window.Seconds()
	age := max(now-l.first, t.settings.Window/3).Seconds()
	return count / (window * (1 - math.Exp(-age/window)))
}

// ExceedsSlots tells whether open flows are forecast to need more than this balancer's part of a service's
// slots, beside what the more important requests need. Callers of a priority who do not keep
// their flows never fill it.
func (t *Tracker) ExceedsSlots(now time.Duration, service lb.ServiceName, priority uint16, slots float64) bool {
	l := t.find(service, priority)
	if l == nil || slots <= 0 {
		return false
	}
	l.decay(now, t.settings.Window)
	seen := float64(l.flows) - l.openings // those whose requests the rate shows
	if seen < float64(t.settings.MinFlows) || l.openFlowWork < t.settings.LeastKept*l.work {
		return false
	}
	growth := min(float64(l.flows)/seen, t.settings.MaxGrowth)
	limit := t.settings.SteadyLimit
	if growth > t.settings.GrowthThreshold {
		limit = t.settings.GrowingLimit
	}
	return t.rate(now, l, l.openFlowWork)*growth+t.moreImportantSlots(now, service, priority) > limit*slots
}

// moreImportantSlots gives the slots that the more important requests need.
func (t *Tracker) moreImportantSlots(now time.Duration, service lb.ServiceName, priority uint16) float64 {
	slots := 0.0
	for _, l := range t.levels[service] {
		if l.priority < priority {
			l.decay(now, t.settings.Window)
			slots += t.rate(now, l, l.work)
		}
	}
	return slots
}

// sweepInterval is the time between looks for flows that have ended unseen.
const sweepInterval = 500 * time.Millisecond

// Tick forgets flows without requests.
func (t *Tracker) Tick(now time.Duration) {
	if now < t.sweepAt {
		return
	}
	t.sweepAt = now + sweepInterval
	for id, known := range t.flows {
		if now-known.at > t.settings.FlowTimeout {
			t.CloseFlow(id)
		}
	}
}

// Forget drops what is known of services but those to keep.
func (t *Tracker) Forget(keep func(lb.ServiceName) bool) {
	gone := make(map[*level]bool)
	for service, levels := range t.levels {
		if keep(service) {
			continue
		}
		for _, l := range levels {
			gone[l] = true
		}
		delete(t.levels, service)
	}
	if len(gone) == 0 {
		return
	}
	for id, known := range t.flows {
		if gone[known.level] {
			delete(t.flows, id)
		}
	}
}
