package view

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lb"
)

// ColdRate is how many new flows a second a back end of a service bears while it
// is cold, which it is for some time after its start.
type ColdRate struct {
	Service   lb.ServiceName `json:"service"`
	PerSecond float64        `json:"per_second"`
}

// ColdRates are those of all services that state one, sorted by service. They
// change with the configuration, but seldom, and are told whole when they do.
type ColdRates struct {
	Revision int64      `json:"revision"` // of the last change
	Rates    []ColdRate `json:"rates"`
}

// maxColdRates bounds the rates in a delta: a service without a back end needs none.
const maxColdRates = maxBackends

// Validate names the first value that cannot be used.
func (c *ColdRates) Validate() error {
	if len(c.Rates) > maxColdRates {
		return errors.Newf("%d of them are too many", len(c.Rates))
	}
	for index, rate := range c.Rates {
		if rate.Service == "" {
			return errors.Newf("rates[%d]: service is missing", index)
		}
		if !(rate.PerSecond > 0) || math.IsInf(rate.PerSecond, 0) {
			return errors.Newf("rates[%d]: per_second %v is not above 0", index, rate.PerSecond)
		}
	}
	return nil
}

// ColdRates gives how many new flows a second cold back ends bear, by service;
// a service that is not there states no bound.
func (r *Replica) ColdRates() map[lb.ServiceName]float64 {
	rates := make(map[lb.ServiceName]float64, len(r.coldRates.Rates))
	for _, rate := range r.coldRates.Rates {
		rates[rate.Service] = rate.PerSecond
	}
	return rates
}

// setColdRates takes those of a newer configuration.
func (r *Replica) setColdRates(revision int64, rates []ColdRate) {
	sorted := slices.Clone(rates)
	slices.SortFunc(sorted, func(left, right ColdRate) int { return cmp.Compare(left.Service, right.Service) })
	if r.coldRates.Revision > 0 && slices.Equal(r.coldRates.Rates, sorted) {
		return
	}
	r.coldRates = ColdRates{Revision: revision, Rates: sorted}
}

// coldRatesAfter gives them if they have changed after a revision, or, if all are to be
// told, those of the configuration in force.
func (r *Replica) coldRatesAfter(after int64, all bool) *ColdRates {
	if all && r.Configured() {
		return &ColdRates{Revision: r.configurationRevision, Rates: r.coldRates.Rates}
	}
	if r.coldRates.Revision <= after {
		return nil
	}
	told := r.coldRates
	return &told
}

func (r *Replica) applyColdRates(delta *Delta) {
	if told := delta.ColdRates; told != nil && told.Revision > r.coldRates.Revision {
		r.coldRates = *told
	}
}

// coldMillis is how much longer a back end stays cold, rounded up.
func coldMillis(now, until time.Duration) int64 {
	left := max(0, until-now)
	return int64((left + time.Millisecond - 1) / time.Millisecond)
}
