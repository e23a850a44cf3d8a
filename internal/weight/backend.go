// Package weight turns reports of health and load, and evidence from the data
// path, into weights of back ends. Reports lag and mislead: they are weighed by
// age, move weights in bounded steps, and alone never take a back end out. The
// package is pure: it has no clock and does no I/O.
package weight

import (
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
)

// FullFactor is the factor of a back end that has the operator's whole weight;
// factors are in thousandths.
const FullFactor = 1000

// Settings are the parameters of the policy. Zero values are not valid; see DefaultSettings.
type Settings struct {
	// MaxAge is the age at which a report counts no more. A report counts in
	// proportion to what is left until then.
	MaxAge time.Duration
	// EvidenceHalfLife halves the counted openings.
	EvidenceHalfLife time.Duration
	// MinOpenings is the least number of counted openings to judge by.
	MinOpenings uint32
	// UnansweredPerMille of counted openings mark a back end as failed.
	UnansweredPerMille uint32
	// MaxStep bounds the change of a factor in one step, in thousandths.
	MaxStep uint16
	// MinStep is the least change worth a step, in thousandths.
	MinStep uint16
	// SlowStart is the factor of a back end that begins to take flows.
	SlowStart uint16
	// UnhealthyFloor is the least factor that bad health reports lead to.
	UnhealthyFloor uint16
	// LoadFloor is the least factor that load reports lead to.
	LoadFloor uint16
	// Deadband is the distance from the mean load that is let be, in thousandths.
	Deadband uint32
	// PanicPerMille of a service's back ends that look unhealthy make health
	// reports void: all keep being served.
	PanicPerMille int
}

// DefaultSettings gives the defaults.
func DefaultSettings() Settings {
	return Settings{
		MaxAge:             15 * time.Second,
		EvidenceHalfLife:   10 * time.Second,
		MinOpenings:        10,
		UnansweredPerMille: 900,
		MaxStep:            100,
		MinStep:            20,
		SlowStart:          100,
		UnhealthyFloor:     100,
		LoadFloor:          300,
		Deadband:           100,
		PanicPerMille:      500,
	}
}

// report is the latest that one zone reported.
type report struct {
	zone    lb.Zone
	taken   time.Duration // when the host gave it
	healthy bool
	load    uint16
}

// Backend holds what is known of one back end. The zero value knows nothing.
type Backend struct {
	reports    []report
	openings   uint32
	unanswered uint32
	decayed    time.Duration // when the counts were last halved
}

// View is what the reports say of a back end at one time.
type View struct {
	// Freshness is in thousandths: 0 when nothing is known, 1000 for reports of this moment.
	Freshness uint32
	// Unhealthy tells whether most reports, weighed by age, say so.
	Unhealthy bool
	// Load is the mean load, weighed by age, in thousandths of capacity.
	Load uint32
}

// Observe takes in one report. A report taken before the zone's last one is
// only counted for its evidence.
func (backend *Backend) Observe(now time.Duration, zone lb.Zone, load message.BackendLoad, settings *Settings) {
	backend.decay(now, settings)
	backend.openings += load.Openings
	backend.unanswered += min(load.UnansweredOpenings, load.Openings)
	latest := report{
		zone:    zone,
		taken:   now - time.Duration(load.AgeMillis)*time.Millisecond,
		healthy: load.Healthy,
		load:    load.Load,
	}
	for index := range backend.reports {
		known := &backend.reports[index]
		if known.zone != zone {
			continue
		}
		if latest.taken >= known.taken {
			*known = latest
		}
		return
	}
	backend.reports = append(backend.reports, latest)
}

// decay halves the counts once per half-life.
func (backend *Backend) decay(now time.Duration, settings *Settings) {
	for backend.openings > 0 && now-backend.decayed >= settings.EvidenceHalfLife {
		backend.openings /= 2
		backend.unanswered /= 2
		backend.decayed += settings.EvidenceHalfLife
	}
	if backend.openings == 0 {
		backend.unanswered = 0
		backend.decayed = now
	}
}

// View weighs the reports by age.
func (backend *Backend) View(now time.Duration, settings *Settings) View {
	var total, unhealthy, load, freshest uint64
	for _, known := range backend.reports {
		left := settings.MaxAge - (now - known.taken)
		if left <= 0 {
			continue
		}
		share := uint64(left) * FullFactor / uint64(settings.MaxAge)
		freshest = max(freshest, share)
		total += share
		load += share * uint64(known.load)
		if !known.healthy {
			unhealthy += share
		}
	}
	if total == 0 {
		return View{}
	}
	return View{
		Freshness: uint32(freshest),
		Unhealthy: unhealthy*2 > total,
		Load:      uint32(load / total),
	}
}

// Unanswered tells whether the data path shows that the back end does not
// answer, whatever it reports of itself.
func (backend *Backend) Unanswered(now time.Duration, settings *Settings) bool {
	backend.decay(now, settings)
	if backend.openings < settings.MinOpenings {
		return false
	}
	return uint64(backend.unanswered)*FullFactor >= uint64(backend.openings)*uint64(settings.UnansweredPerMille)
}

// Forgive drops the evidence, when the back end is tried again.
func (backend *Backend) Forgive() { backend.openings, backend.unanswered = 0, 0 }
