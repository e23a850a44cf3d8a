package view_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/view"
	"robinpulley.example/robinpulley/internal/view/viewtest"
)

// coldUntil returns when the first back end has warmed up.
func coldUntil(replica *view.Replica) time.Duration { return replica.Backends()[0].ColdUntil }

// TestColdPeriodIsNeverShortened checks that delays in transit only lengthen the cold period of a
// back end.
func TestColdPeriodIsNeverShortened(t *testing.T) {
	is := is.New(t)
	store := viewtest.NewStore()
	store.PutCold("a", 2*time.Second)
	sender := view.NewReplica()
	sender.ApplyListing(time.Second, store.List())
	is.Equal(coldUntil(sender), 3*time.Second)
	is.Equal(sender.ApplyListing(2500*time.Millisecond, store.List()), false)
	is.Equal(coldUntil(sender), 3*time.Second) // listing the same entry again does not extend the period

	receiver := view.NewReplica()
	receiver.ApplyDelta(2200*time.Millisecond, sender.Delta(2*time.Second, 0)) // the delta takes 200 ms
	is.Equal(coldUntil(receiver), 3200*time.Millisecond)
	snapshot := sender.Snapshot(2 * time.Second)
	started := view.NewReplica()
	started.ApplySnapshot(10*time.Second, snapshot)
	is.Equal(coldUntil(started), 11*time.Second)
	warm := view.NewReplica()
	warm.ApplyDelta(4*time.Second, sender.Delta(4*time.Second, 0))
	is.Equal(coldUntil(warm), 4*time.Second)
}

// configuration returns a configuration with one route and the given rates.
func configuration(version uint64, rates ...view.ColdRate) *view.Configuration {
	return &view.Configuration{Version: version, Routes: []view.Route{viewtest.Route(80, "web")}, ColdRates: rates}
}

// TestColdRatesAreSentWhenTheyChange checks that a delta contains the rates if they have changed,
// and only then.
func TestColdRatesAreSentWhenTheyChange(t *testing.T) {
	is := is.New(t)
	sender, receiver := view.NewReplica(), view.NewReplica()
	apply := func(revision int64, configuration *view.Configuration) {
		changes := &view.Changes{Revision: revision, Changes: []view.Change{{Revision: revision, Configuration: configuration}}}
		sender.ApplyChanges(0, changes)
	}
	rate := view.ColdRate{Service: "web", PerSecond: 7.5}
	apply(2, configuration(1, rate))
	receiver.ApplyDelta(0, sender.Delta(0, 0))
	is.Equal(receiver.ColdRates(), map[lb.ServiceName]float64{"web": 7.5})

	apply(3, configuration(2, rate))
	is.Equal(sender.Delta(0, 2).ColdRates, nil) // unchanged
	receiver.ApplyDelta(0, sender.Delta(0, 2))
	apply(4, configuration(3))
	receiver.ApplyDelta(0, sender.Delta(0, 3))
	is.Equal(len(receiver.ColdRates()), 0)
	is.Equal(receiver.Revision(), int64(4))
}

func TestInvalidColdRatesAreRejected(t *testing.T) {
	is := is.New(t)
	for want, rate := range map[string]view.ColdRate{
		"cold_rates: rates[0]: service is missing":           {PerSecond: 1},
		"cold_rates: rates[0]: per_second -1 is not above 0": {Service: "web", PerSecond: -1},
	} {
		delta := &view.Delta{Revision: 2, ColdRates: &view.ColdRates{Revision: 2, Rates: []view.ColdRate{rate}}}
		err := delta.Validate()
		is.True(err != nil)
		is.Equal(err.Error(), want)
	}
}

// TestNumberOfColdRatesIsBounded checks that a delta with too many rates is rejected.
func TestNumberOfColdRatesIsBounded(t *testing.T) {
	is := is.New(t)
	rates := make([]view.ColdRate, 1<<14)
	for index := range rates {
		rates[index] = view.ColdRate{Service: lb.ServiceName(strconv.Itoa(index)), PerSecond: 1}
	}
	delta := &view.Delta{Revision: 2, ColdRates: &view.ColdRates{Revision: 2, Rates: rates}}
	is.NoErr(delta.Validate())
	delta.ColdRates.Rates = append(rates, view.ColdRate{Service: "more", PerSecond: 1})
	err := delta.Validate()
	is.True(err != nil)
	is.Equal(err.Error(), "cold_rates: 16385 rates are too many")
}
