package passivehealth

import (
	"math"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// Rates of the moving means.
const (
	latencyRate = 1.0 / 8
	// The typical time follows fast answers quickly and slow ones slowly, so
	// that it stays what an idle back end takes while all are crowded.
	typicalFallRate = 1.0 / 32
	typicalRiseRate = 1.0 / 1024
)

// Bounds of the factor of slow back ends.
const (
	// slowRatio is the ratio to the typical time above which a back end is slow.
	slowRatio = 4.0
	// lowestFactor keeps some flows going to a slow back end, which show when
	// it has become fast again.
	lowestFactor = 1.0 / 32
)

// sample takes the time that a request took.
func (o *Observer) sample(now time.Duration, service lb.ServiceName, identity Identity, took time.Duration) {
	seconds := took.Seconds()
	typical, known := o.typical[service]
	switch {
	case !known:
		typical = seconds
	case seconds < typical:
		typical += (seconds - typical) * typicalFallRate
	default:
		typical += (seconds - typical) * typicalRiseRate
	}
	o.typical[service] = typical
	backend := o.health(identity)
	if backend.sampled == 0 {
		backend.latency = seconds
	}
	backend.latency += (seconds - backend.latency) * latencyRate
	backend.sampled = now
}

// Factor is by how much the weight of a back end is lowered: 0 for one that is
// silent, 1 for one of which nothing bad is known.
func (o *Observer) Factor(now time.Duration, service lb.ServiceName, identity Identity) float64 {
	factor := o.ownFactor(now, service, identity)
	if o.avoided[identity] {
		factor = min(factor, avoidedFactor)
	}
	return factor
}

// avoidedFactor keeps a trickle of flows going to back ends that the nodes together
// avoid, which shows when they have recovered.
const avoidedFactor = 1.0 / 16

// ownFactor is Factor by what this balancer has seen itself.
func (o *Observer) ownFactor(now time.Duration, service lb.ServiceName, identity Identity) float64 {
	backend := o.backends[identity]
	if backend == nil {
		return 1
	}
	if now < backend.silent {
		return 0
	}
	typical := o.typical[service]
	if backend.sampled == 0 || typical == 0 {
		return 1
	}
	if backend.latency <= slowRatio*typical {
		return 1 // being forgiven lowers the ratio only
	}
	idle := (now - backend.sampled).Seconds() / o.settings.RecoverTime.Seconds()
	ratio := 1 + (backend.latency/typical-1)*math.Exp2(-idle)
	if ratio <= slowRatio {
		return 1
	}
	return max(lowestFactor, (slowRatio/ratio)*(slowRatio/ratio))
}
