package view

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lb"
)

// ColdRate is the number of new flows per second that a back end of a service sustains while it is
// cold, that is, for some time after its start.
type ColdRate struct {
	Service   lb.ServiceName `json:"service"`
	PerSecond float64        `json:"per_second"`
}

// ColdRates contains the rates of all services that state one, sorted by service. The rates change
// rarely, together with the configuration, and a delta contains all of them when they do.
type ColdRates struct {
	Revision int64      `json:"revision"` // of the last change
	Rates    []ColdRate `json:"rates"`
}

// maxColdRates bounds the rates in a delta. A service without a back end needs no rate.
const maxColdRates = maxBackends

// Validate returns an error that names the first unusable value.
func (c *ColdRates) Validate() error {
	if len(c.Rates) > maxColdRates {
		return errors.Newf("%d rates are too many", len(c.Rates))
	}
	for index, coldRate := range c.Rates {
		if coldRate.Service == "" {
			return errors.Newf("rates[%d]: service is missing", index)
		}
		if !(coldRate.PerSecond > 0) || math.IsInf(coldRate.PerSecond, 0) {
			return errors.Newf("rates[%d]: per_second %v is not above 0", index, coldRate.PerSecond)
		}
	}
	return nil
}

// ColdRates returns the number of new flows per second that cold back ends sustain, by service. A
// service that is missing from the map states no bound.
func (r *Replica) ColdRates() map[lb.ServiceName]float64 {
	rates := make(map[lb.ServiceName]float64, len(r.coldRates.Rates))
	for _, rate := range r.coldRates.Rates {
		rates[rate.Service] = rate.PerSecond
	}
	return rates
}

// setColdRates applies the rates of a newer configuration. Unchanged rates keep their revision.
func (r *Replica) setColdRates(revision int64, rates []ColdRate) {
	sorted := slices.Clone(rates)
	slices.SortFunc(sorted, func(left, right ColdRate) int { return cmp.Compare(left.Service, right.Service) })
	if r.coldRates.Revision > 0 && slices.Equal(r.coldRates.Rates, sorted) {
		return
	}
	r.coldRates = ColdRates{Revision: revision, Rates: sorted}
}

// coldRatesAfter returns the rates if they changed after a revision, else nil. With all set, it
// returns the rates of the configuration in force, whenever they changed.
func (r *Replica) coldRatesAfter(after int64, all bool) *ColdRates {
	if all && r.Configured() {
		return &ColdRates{Revision: r.configurationRevision, Rates: r.coldRates.Rates}
	}
	if r.coldRates.Revision <= after {
		return nil
	}
	changed := r.coldRates
	return &changed
}

// applyColdRates applies the rates of a delta if they are newer.
func (r *Replica) applyColdRates(delta *Delta) {
	if received := delta.ColdRates; received != nil && received.Revision > r.coldRates.Revision {
		r.coldRates = *received
	}
}

// coldMillis returns how much longer a back end stays cold, rounded up.
func coldMillis(now, until time.Duration) int64 {
	left := max(0, until-now)
	return int64((left + time.Millisecond - 1) / time.Millisecond)
}
