// Package weight computes the weights of back ends from reports of their health and load, and from
// unanswered openings on the data path. Reports are late and may be wrong: they count less with
// age, change weights only in bounded steps, and never remove a back end by themselves. The package
// is pure: it has no clock and does no I/O.
package weight

import (
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
)

// FullFactor is the factor of a back end that has the full weight set by the operator. Factors are
// in thousandths.
const FullFactor = 1000

// Settings are the parameters of the policy. Zero values are not valid; see DefaultSettings.
type Settings struct {
	// MaxAge is the age at which a report is ignored. The weight of a report decreases linearly to
	// zero until then.
	MaxAge time.Duration
	// OpeningsHalfLife is the time after which the counts of openings are halved.
	OpeningsHalfLife time.Duration
	// MinOpenings is the minimum number of counted openings for a decision.
	MinOpenings uint32
	// UnansweredPerMille is the fraction of unanswered openings that marks a back end as failed.
	UnansweredPerMille uint32
	// MaxStep is the maximum change of a factor in one step, in thousandths.
	MaxStep uint16
	// MinStep is the minimum change of a factor, in thousandths; smaller changes are skipped.
	MinStep uint16
	// SlowStart is the initial factor of a back end that starts to accept flows.
	SlowStart uint16
	// UnhealthyFloor is the minimum factor that unhealthy reports lead to.
	UnhealthyFloor uint16
	// LoadFloor is the minimum factor that load reports lead to.
	LoadFloor uint16
	// Deadband is the deviation from the mean load that is ignored, in thousandths.
	Deadband uint32
	// PanicThresholdPerMille is the fraction of a service's back ends above which unhealthy reports
	// are ignored, so that all back ends stay in use.
	PanicThresholdPerMille int
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		MaxAge:                 15 * time.Second,
		OpeningsHalfLife:       10 * time.Second,
		MinOpenings:            10,
		UnansweredPerMille:     900,
		MaxStep:                100,
		MinStep:                20,
		SlowStart:              100,
		UnhealthyFloor:         100,
		LoadFloor:              300,
		Deadband:               100,
		PanicThresholdPerMille: 500,
	}
}

// zoneReport is the latest report from one zone.
type zoneReport struct {
	zone    lb.Zone
	takenAt time.Duration // when the back end created it
	healthy bool
	load    uint16
}

// Backend holds the reports about one back end. The zero value holds none.
type Backend struct {
	reports    []zoneReport
	openings   uint32
	unanswered uint32
	decayedAt  time.Duration // when the counts were last halved
}

// View summarizes the reports about a back end at one time.
type View struct {
	// Freshness is in thousandths: 0 without valid reports, 1000 for reports of this moment.
	Freshness uint32
	// Unhealthy is set if the majority of reports, weighted by age, is unhealthy.
	Unhealthy bool
	// Load is the mean load, weighted by age, in thousandths of capacity.
	Load uint32
}

// AddReport adds one report. If the zone has sent a newer report, only the counts of openings are
// used.
func (backend *Backend) AddReport(now time.Duration, zone lb.Zone, load message.BackendLoad, settings *Settings) {
	backend.decay(now, settings)
	backend.openings += load.Openings
	backend.unanswered += min(load.UnansweredOpenings, load.Openings)
	latest := zoneReport{
		zone:    zone,
		takenAt: now - time.Duration(load.AgeMillis)*time.Millisecond,
		healthy: load.Healthy,
		load:    load.Load,
	}
	for index := range backend.reports {
		known := &backend.reports[index]
		if known.zone != zone {
			continue
		}
		if latest.takenAt >= known.takenAt {
			*known = latest
		}
		return
	}
	backend.reports = append(backend.reports, latest)
}

// decay halves the counts once per half-life.
func (backend *Backend) decay(now time.Duration, settings *Settings) {
	for backend.openings > 0 && now-backend.decayedAt >= settings.OpeningsHalfLife {
		backend.openings /= 2
		backend.unanswered /= 2
		backend.decayedAt += settings.OpeningsHalfLife
	}
	if backend.openings == 0 {
		backend.unanswered = 0
		backend.decayedAt = now
	}
}

// View returns the reports' summary, weighted by age.
func (backend *Backend) View(now time.Duration, settings *Settings) View {
	var total, unhealthy, load, freshest uint64
	for _, report := range backend.reports {
		left := settings.MaxAge - (now - report.takenAt)
		if left <= 0 {
			continue
		}
		weight := uint64(left) * FullFactor / uint64(settings.MaxAge)
		freshest = max(freshest, weight)
		total += weight
		load += weight * uint64(report.load)
		if !report.healthy {
			unhealthy += weight
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

// Unanswered reports whether the data path shows that the back end does not answer, whatever its
// reports state.
func (backend *Backend) Unanswered(now time.Duration, settings *Settings) bool {
	backend.decay(now, settings)
	if backend.openings < settings.MinOpenings {
		return false
	}
	return uint64(backend.unanswered)*FullFactor >= uint64(backend.openings)*uint64(settings.UnansweredPerMille)
}

// ResetOpenings resets the counts of openings. It is called when the back end is tried again.
func (backend *Backend) ResetOpenings() { backend.openings, backend.unanswered = 0, 0 }
