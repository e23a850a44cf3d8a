// Package admission computes the admission rate of each priority of a service from the load reports
// of the whole fleet. It handles the case in which clients request more work than all back ends
// together can do. A single node receives some twenty openings a second, too few to measure the
// excess; the sums over all nodes suffice. Since the rates depend on these sums only, they are the
// same at all nodes, in all zones, and at a node that has just started. The package has no clock
// and no I/O. See docs/design/admission.md.
package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/fleetload"
)

// Settings are the parameters of the computation. See DefaultSettings.
type Settings struct {
	// Limit is the target load while openings are refused: the ratio of response times to the
	// longest allowed ones.
	Limit float64
	// Gain is the proportional gain: the reduction of the admitted work, on a natural logarithmic
	// scale, at a load of one above the limit. LookAhead is how far the load is extrapolated from
	// its change. IntegralGain is the reduction per second at that load; it compensates errors in
	// the assumed work per request.
	Gain, IntegralGain float64
	LookAhead          time.Duration
	// MaxError bounds the difference between load and limit.
	MaxError float64
	// ToleratedRejections is the fraction of requests that full back ends may reject without a
	// reduction: the client's next try is served elsewhere. RejectionGain corresponds to Gain, for
	// the fraction of rejections above that.
	ToleratedRejections, RejectionGain float64
	// MaxWork and MinWork bound the admitted work as a multiple of the number of slots, whatever
	// loads are reported.
	MaxWork, MinWork float64
	// UnloadedShare is the fraction of the limit below which response times prove spare capacity,
	// even if the assumed work per request is wrong. Nothing is refused then.
	UnloadedShare float64
	// NeutralAnswers is the number of answers per second, at half the limit, that is added to the
	// reported ones. Without it a service with few requests could look overloaded.
	NeutralAnswers float64
}

// DefaultSettings returns the default parameters.
func DefaultSettings() Settings {
	return Settings{
		Limit: 0.8,
		// Excess work accumulates in queues: within some 1.5 s an excess of 1% lengthens requests
		// by a tenth of the allowed time, and reports about it are 0.8 s old. Higher gains
		// oscillate.
		Gain:                0.2,
		IntegralGain:        0.06,
		LookAhead:           200 * time.Millisecond,
		MaxError:            1,
		ToleratedRejections: 0.05,
		RejectionGain:       1.5,
		MaxWork:             1.3,
		MinWork:             0.3,
		UnloadedShare:       0.6,
		NeutralAnswers:      30,
	}
}

// Service computes the admission rates of one service. The zero value has no state and refuses
// nothing.
type Service struct {
	// capacityRatio is the estimated work that back ends can do, as a multiple of their slots; 0
	// means unknown.
	capacityRatio float64
	load          float64 // of the most recent report
	at            time.Duration
	// rates is the result of the most recent Update.
	rates []Rate
}

// Rate is the admission rate of the openings of one priority.
type Rate struct {
	Priority uint16
	Admitted float64
}

// assumedTries is the assumed number of times that a client sends a refused opening: clients retry
// immediately, once or twice. It affects only how fast the rates converge and not the result, since
// the requested work is computed with the same number. With 3 the rates oscillate where clients try
// only twice.
const assumedTries = 2

// demand is the work that clients request at one priority, in slots, without retries.
type demand struct {
	priority    uint16
	begun       float64
	requested   float64
	onOpenFlows float64 // part of begun that arrives on flows opened earlier
}

// Update recomputes the rates from the reported state of the service. slots is the number of slots
// of its ready back ends; 0 means unknown. openFlowShare returns the fraction of a priority's
// requests that arrive on flows opened earlier, which refusing openings can't reduce.
func (s *Service) Update(now time.Duration, state *fleetload.Service, slots float64, openFlowShare func(uint16) float64, settings *Settings) {
	demands := demandsOf(state)
	remaining := 0.0 // work that back ends do for this priority and the less important ones
	for index := range demands {
		demands[index].onOpenFlows = demands[index].begun * max(0, min(openFlowShare(demands[index].priority), 1))
		remaining += demands[index].begun
	}
	available := s.targetWork(now, state, demands, slots, settings)
	s.rates = s.rates[:0]
	maxRate := 1.0 // limits the rate of a priority to that of the next more important one
	for index := range demands {
		d := &demands[index]
		usable := available
		if index < len(demands)-1 {
			// Capacity that is used for less important priorities is available to this one, whose
			// openings displace theirs. This also holds where their open flows use all the capacity
			// and the assumed work is too high.
			usable = max(available, remaining)
		}
		remaining -= d.begun
		granted := min(d.requested, usable)
		available = max(0, available-granted)
		maxRate = min(maxRate, d.admissionRate(granted))
		s.rates = append(s.rates, Rate{Priority: d.priority, Admitted: maxRate})
	}
}

// Rates returns the admission rate of each priority, the most important first.
func (s *Service) Rates() []Rate { return s.rates }

// RateOf returns the admission rate of a priority. An unknown priority has the rate of the next
// more important one.
func (s *Service) RateOf(priority uint16) float64 {
	admitted := 1.0
	for _, rate := range s.rates {
		if rate.Priority > priority {
			break
		}
		admitted = rate.Admitted
	}
	return admitted
}

// Calm returns true if the service is far from the limit.
func (s *Service) Calm(settings *Settings) bool {
	return len(s.rates) > 0 && !s.Refuses() && s.load < calmShare*settings.Limit
}

// calmShare is the fraction of the limit below which back ends are certain to have spare capacity:
// half-used back ends answer in the idle time plus a fifth.
const calmShare = 0.8

// Refuses returns true if some openings are refused.
func (s *Service) Refuses() bool {
	return slices.ContainsFunc(s.rates, func(rate Rate) bool { return rate.Admitted < 1 })
}

// admissionRate returns the fraction of tries to admit so that, of the requested work, the granted
// amount is begun. Work on open flows is subtracted first, as it can't be refused.
func (d *demand) admissionRate(granted float64) float64 {
	if granted >= d.requested {
		return 1
	}
	if granted <= d.onOpenFlows {
		return 0
	}
	served := (granted - d.onOpenFlows) / (d.requested - d.onOpenFlows)
	return 1 - math.Pow(1-served, 1.0/assumedTries)
}

// demandsOf sums up what the clients of all zones request, by priority.
func demandsOf(state *fleetload.Service) []demand {
	sums := make(map[uint16]fleetload.Level)
	for index := range state.Zones {
		for _, level := range state.Zones[index].Levels {
			sum := sums[level.Priority]
			sum.Begun += max(0, level.Begun)
			sum.Refused += max(0, level.Refused)
			sums[level.Priority] = sum
		}
	}
	demands := make([]demand, 0, len(sums))
	for priority, sum := range sums {
		demands = append(demands, demand{priority: priority, begun: sum.Begun, requested: requestedWork(sum)})
	}
	slices.SortFunc(demands, func(a, b demand) int { return cmp.Compare(a.priority, b.priority) })
	return demands
}

// minBegun is the minimum fraction of requests assumed to begin, for the case that nearly all are
// refused.
const minBegun = 0.01

// requestedWork returns the work that clients request. Part of the refused work was begun at a
// later try and must not be counted twice.
func requestedWork(level fleetload.Level) float64 {
	if level.Refused == 0 {
		return level.Begun
	}
	refused := level.Refused / (level.Begun + level.Refused)
	begun := max(minBegun, 1-math.Pow(refused, assumedTries))
	return min(level.Begun/begun, level.Begun+level.Refused)
}

// targetWork returns the work to admit, in slots: the estimated capacity of the back ends,
// corrected by the load and by the fraction of rejected requests, within bounds.
func (s *Service) targetWork(now time.Duration, state *fleetload.Service, demands []demand, slots float64, settings *Settings) float64 {
	begun, requested := 0.0, 0.0
	for index := range demands {
		begun += demands[index].begun
		requested += demands[index].requested
	}
	load, rejected := loadOf(state, settings)
	elapsed := min(now-s.at, maxStep).Seconds()
	extrapolated := load
	if s.at > 0 && elapsed > 0 {
		extrapolated += (load - s.load) / elapsed * settings.LookAhead.Seconds()
	}
	refuses := requested > begun
	if s.capacityRatio == 0 || now-s.at > stateTimeout {
		s.initialize(begun, slots, refuses, settings)
		elapsed, extrapolated = 0, load
	}
	s.at, s.load = now, load
	if slots <= 0 || load < settings.UnloadedShare*settings.Limit && !refuses {
		return math.Inf(1)
	}
	if refuses || load > settings.Limit {
		s.capacityRatio *= math.Exp(-settings.IntegralGain * elapsed * settings.loadError(load))
		s.capacityRatio = max(settings.MinWork, min(s.capacityRatio, settings.MaxWork))
	}
	reduction := settings.Gain*settings.loadError(extrapolated) + settings.RejectionGain*max(0, rejected-settings.ToleratedRejections)
	return slots * max(settings.MinWork, min(s.capacityRatio*math.Exp(-reduction), settings.MaxWork))
}

const (
	// maxStep bounds the time between two reports: if it is longer, the load in between is unknown.
	maxStep = 500 * time.Millisecond
	// stateTimeout is how long after the most recent report the estimated capacity remains valid.
	stateTimeout = 10 * time.Second
)

// initialize sets the estimated capacity to the work that other nodes admit, if they refuse
// openings already.
func (s *Service) initialize(begun, slots float64, refuses bool, settings *Settings) {
	s.capacityRatio = 1
	if refuses && slots > 0 {
		s.capacityRatio = max(settings.MinWork, min(begun/slots, settings.MaxWork))
	}
}

// loadError returns the difference between a load and the limit, bounded by MaxError.
func (s *Settings) loadError(load float64) float64 {
	return max(-s.MaxError, min(load-s.Limit, s.MaxError))
}

// loadOf returns the load of all back ends, and the fraction of requests that they reject.
func loadOf(state *fleetload.Service, settings *Settings) (load, rejected float64) {
	logSum, answers := settings.NeutralAnswers*math.Log(settings.Limit/2), settings.NeutralAnswers
	for index := range state.Zones {
		zone := &state.Zones[index]
		rejected += max(0, zone.Rejected)
		if zone.Answers > 0 && zone.Load > 0 {
			logSum += zone.Answers * math.Log(zone.Load)
			answers += zone.Answers
		}
	}
	return math.Exp(logSum / answers), rejected / (answers + rejected)
}
