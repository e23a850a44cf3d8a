package passivehealth

import (
	"math"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// Smoothing factors of the moving averages.
const (
	latencyRate = 1.0 / 8
	// The typical response time follows fast answers quickly and slow answers slowly, so that it
	// remains the time of an idle back end even while all back ends are overloaded.
	typicalFallRate = 1.0 / 32
	typicalRiseRate = 1.0 / 1024
)

// Bounds of the weight factor of slow back ends.
const (
	// slowRatio is the ratio to the typical response time above which a back end is slow.
	slowRatio = 4.0
	// minFactor keeps some flows going to a slow back end, which show when it is fast again.
	minFactor = 1.0 / 32
)

// recordLatency adds the response time of one request to the moving averages.
func (o *Observer) recordLatency(now time.Duration, service lb.ServiceName, identity Identity, took time.Duration) {
	seconds := took.Seconds()
	typical, found := o.typical[service]
	switch {
	case !found:
		typical = seconds
	case seconds < typical:
		typical += (seconds - typical) * typicalFallRate
	default:
		typical += (seconds - typical) * typicalRiseRate
	}
	o.typical[service] = typical
	backend := o.stateOf(identity)
	if backend.sampledAt == 0 {
		backend.latency = seconds
	}
	backend.latency += (seconds - backend.latency) * latencyRate
	backend.sampledAt = now
}

// Factor returns the factor by which the weight of a back end is multiplied: 0 for an unresponsive
// back end, 1 for one without any known problem.
func (o *Observer) Factor(now time.Duration, service lb.ServiceName, identity Identity) float64 {
	factor := o.localFactor(now, service, identity)
	if o.ejected[identity] {
		factor = min(factor, ejectedFactor)
	}
	return factor
}

// ejectedFactor keeps a few flows going to ejected back ends, which show when they have recovered.
const ejectedFactor = 1.0 / 16

// localFactor returns the factor that follows from this balancer's own observations.
func (o *Observer) localFactor(now time.Duration, service lb.ServiceName, identity Identity) float64 {
	backend := o.backends[identity]
	if backend == nil {
		return 1
	}
	if now < backend.unresponsiveUntil {
		return 0
	}
	typical := o.typical[service]
	if backend.sampledAt == 0 || typical == 0 {
		return 1
	}
	if backend.latency <= slowRatio*typical {
		return 1 // time without requests can only lower the ratio
	}
	idle := (now - backend.sampledAt).Seconds() / o.settings.RecoveryHalfLife.Seconds()
	ratio := 1 + (backend.latency/typical-1)*math.Exp2(-idle)
	if ratio <= slowRatio {
		return 1
	}
	return max(minFactor, (slowRatio/ratio)*(slowRatio/ratio))
}
