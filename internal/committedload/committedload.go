// Package committedload forecasts the work that a balancer's open flows will bring to a service. It
// handles a surge of clients that keep their flows open: in the first moments these flows carry
// only a fraction of the requests that they carry as long as they stay open, and an open flow can't
// be refused. Each balancer admits no more than its own share of the slots can serve, so that no
// balancer and no zone is served at the expense of the others. The package has no I/O and no clock.
package committedload

import (
	"math"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// Settings are the parameters of a tracker. See DefaultSettings.
type Settings struct {
	// Window is the time constant over which the rate of requests is averaged.
	Window time.Duration
	// GrowingLimit is the maximum forecast use of the slots, as a multiple of their number, while
	// the number of flows grows by more than a factor of GrowthThreshold. SteadyLimit is the
	// maximum at other times, when response times show the spare capacity.
	GrowingLimit, SteadyLimit, GrowthThreshold float64
	// MaxGrowth bounds the factor by which work is forecast to grow.
	MaxGrowth float64
	// MinOpenFlowShare is the minimum fraction of work on flows opened earlier from which a
	// priority's clients are treated as keeping their flows.
	MinOpenFlowShare float64
	// MinFlows is the minimum number of flows for a forecast.
	MinFlows int
	// FlowTimeout is how long a flow counts as open after its last request.
	FlowTimeout time.Duration
	// MaxFlows bounds the number of tracked flows.
	MaxFlows int
}

// DefaultSettings returns the default parameters.
func DefaultSettings() Settings {
	return Settings{
		Window:           300 * time.Millisecond,
		GrowingLimit:     1,
		SteadyLimit:      1.5,
		GrowthThreshold:  1.1,
		MaxGrowth:        3,
		MinOpenFlowShare: 0.1,
		MinFlows:         4,
		FlowTimeout:      5 * time.Second,
		MaxFlows:         1 << 14,
	}
}

// level holds the request counts of one priority at a service. All but flows decay with the window.
type level struct {
	priority     uint16
	first        time.Duration // start of the first request
	at           time.Duration // time of the last decay of the counts
	work         float64       // of all requests, in slot seconds
	openFlowWork float64       // part of work that arrived on flows opened earlier
	openings     float64       // number of admitted openings
	flows        int           // number of open flows
}

// flow is an open flow.
type flow struct {
	level *level
	at    time.Duration // time of its most recent request
}

// Tracker forecasts the committed load of one balancer. It is not safe for concurrent use.
type Tracker struct {
	settings Settings
	levels   map[lb.ServiceName][]*level
	flows    map[lb.FlowID]flow
	sweepAt  time.Duration
}

// New returns a tracker without flows.
func New(settings Settings) *Tracker {
	return &Tracker{settings: settings, levels: make(map[lb.ServiceName][]*level), flows: make(map[lb.FlowID]flow)}
}

// RecordOpening records that an opening was admitted.
func (t *Tracker) RecordOpening(now time.Duration, service lb.ServiceName, priority uint16) {
	l := t.level(now, service, priority)
	l.openings++
}

// RecordRequest records that a request begins on a flow. work is the time in seconds that the
// request takes at an idle back end.
func (t *Tracker) RecordRequest(now time.Duration, service lb.ServiceName, priority uint16, id lb.FlowID, work float64) {
	l := t.level(now, service, priority)
	l.work += work
	tracked, open := t.flows[id]
	if open && tracked.level == l {
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

// CloseFlow records that a flow has ended.
func (t *Tracker) CloseFlow(id lb.FlowID) {
	if tracked, open := t.flows[id]; open {
		tracked.level.flows--
		delete(t.flows, id)
	}
}

// level returns the level of a priority, and creates it if needed.
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
	factor := math.Exp(-(now - l.at).Seconds() / window.Seconds())
	l.at = now
	l.work *= factor
	l.openFlowWork *= factor
	l.openings *= factor
}

// rate converts a decayed count of slot seconds to the number of slots in use.
func (t *Tracker) rate(now time.Duration, l *level, count float64) float64 {
	window := t.settings.Window.Seconds()
	age := max(now-l.first, t.settings.Window/3).Seconds()
	return count / (window * (1 - math.Exp(-age/window)))
}

// ExceedsSlots returns true if the open flows of a priority, together with the requests of more
// important priorities, are forecast to need more of this balancer's share of a service's slots
// than the settings allow. It returns false for a priority whose clients do not keep their flows.
func (t *Tracker) ExceedsSlots(now time.Duration, service lb.ServiceName, priority uint16, slots float64) bool {
	l := t.find(service, priority)
	if l == nil || slots <= 0 {
		return false
	}
	l.decay(now, t.settings.Window)
	active := float64(l.flows) - l.openings // flows with requests that the rate includes
	if active < float64(t.settings.MinFlows) || l.openFlowWork < t.settings.MinOpenFlowShare*l.work {
		return false
	}
	growth := min(float64(l.flows)/active, t.settings.MaxGrowth)
	limit := t.settings.SteadyLimit
	if growth > t.settings.GrowthThreshold {
		limit = t.settings.GrowingLimit
	}
	return t.rate(now, l, l.openFlowWork)*growth+t.moreImportantSlots(now, service, priority) > limit*slots
}

// moreImportantSlots returns the slots that the requests of more important priorities need.
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

// sweepInterval is the interval between searches for flows that ended unnoticed.
const sweepInterval = 500 * time.Millisecond

// Tick removes flows without requests for FlowTimeout.
func (t *Tracker) Tick(now time.Duration) {
	if now < t.sweepAt {
		return
	}
	t.sweepAt = now + sweepInterval
	for id, tracked := range t.flows {
		if now-tracked.at > t.settings.FlowTimeout {
			t.CloseFlow(id)
		}
	}
}

// Forget deletes the state of all services for which keep returns false.
func (t *Tracker) Forget(keep func(lb.ServiceName) bool) {
	forgotten := make(map[*level]bool)
	for service, levels := range t.levels {
		if keep(service) {
			continue
		}
		for _, l := range levels {
			forgotten[l] = true
		}
		delete(t.levels, service)
	}
	if len(forgotten) == 0 {
		return
	}
	for id, tracked := range t.flows {
		if forgotten[tracked.level] {
			delete(t.flows, id)
		}
	}
}
