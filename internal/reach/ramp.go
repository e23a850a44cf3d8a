package reach

import (
	"math"
	"time"
)

// ramp lets in what has been held during an outage bit by bit when it ends: at the
// usual rate at first, twice that after rampStep, and so on, openings that come for
// the first time before copies. The load that it answers: on a return all callers who
// have waited ask within a second, beside those who ask as ever; back ends that they
// crowd serve neither. Measured on one zone of three that returned after six seconds:
// 17% of the requests of the next two seconds failed in all zones without it, 5% with
// it, nearly all of the zone that had been cut off.
type ramp struct {
	// usual is how many new openings come, fading with rampMemory, as of at.
	usual float64
	at    time.Duration
	held  int // openings since the last return
	since time.Duration
	on    bool
	// tokens are the openings that may pass, as of filled.
	tokens float64
	filled time.Duration
}

const (
	// rampMemory is the half-life of the usual rate: some twenty openings a second
	// make it known within a quarter, and bursts double within a second.
	rampMemory = 2 * time.Second
	// rampStep is the time in which the rate grows by the usual one. At a second 1,008
	// of a day's requests failed, in place of 684: deadlines passed meanwhile.
	rampStep = 250 * time.Millisecond
	// rampBurst is for how long openings may come at once; a copy needs copyTokens left.
	rampBurst  = 200 * time.Millisecond
	copyTokens = 2
)

// rate is the usual one in openings a second.
func (r *ramp) rate() float64 { return r.usual * math.Ln2 / rampMemory.Seconds() }

// note counts a new opening that is let in outside of any trouble.
func (r *ramp) note(now time.Duration) {
	r.usual = r.usual*math.Exp2(-(now-r.at).Seconds()/rampMemory.Seconds()) + 1
	r.at = now
}

// begin starts to let in what was held, if anything was.
func (r *ramp) begin(now time.Duration) {
	if r.held == 0 || r.on {
		return
	}
	r.on, r.since, r.filled, r.tokens, r.held = true, now, now, 1, 0
}

// pass tells whether an opening may pass now.
func (r *ramp) pass(now time.Duration, first bool) bool {
	grown := 1 + (now-r.since).Seconds()/rampStep.Seconds()
	rate := r.rate() * grown
	r.tokens = min(r.tokens+rate*(now-r.filled).Seconds(), max(copyTokens+1, rate*rampBurst.Seconds()))
	r.filled = now
	least := 1.0
	if !first {
		least = 1 + copyTokens
	}
	if r.tokens < least {
		return false
	}
	r.tokens--
	return true
}

// Hold tells whether an opening without a back end in reach is to go unanswered, so
// that its caller waits for the zone's return. Otherwise it is refused at once.
func (t *Tracker) Hold(now time.Duration) bool {
	lost := never
	for _, known := range t.zones {
		if known.unreached {
			lost = max(lost, known.since)
		}
	}
	if lost == never || now-lost >= t.settings.HoldTime || t.alone(now) {
		return false
	}
	t.ramp.held++
	return true
}

// alone tells whether nothing is heard of the own zone's other balancers.
func (t *Tracker) alone(now time.Duration) bool {
	own := t.zones[t.settings.Own]
	return own == nil || own.heard == never || now-own.heard > t.settings.AloneTime
}

// Admit tells whether an opening may go to a back end now; first: it is the first
// copy. Those that may not are held: they come again.
func (t *Tracker) Admit(now time.Duration, first bool) bool {
	if t.ramp.on && now-t.ramp.since >= t.settings.RampTime {
		t.ramp.on = false
		t.ramp.at = now
	}
	if t.ramp.on {
		return t.ramp.pass(now, first)
	}
	if first && t.All() {
		t.ramp.note(now)
	}
	return true
}
