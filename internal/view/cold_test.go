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

func coldUntil(replica *view.Replica) time.Duration { return replica.Backends()[0].ColdUntil }

// TestColdTimeIsNeverToldTooShort: what waits on its way makes it longer.
func TestColdTimeIsNeverToldTooShort(t *testing.T) {
	is := is.New(t)
	store := viewtest.NewStore()
	store.PutCold("a", 2*time.Second)
	reader := view.NewReplica()
	reader.ApplyListing(time.Second, store.List())
	is.Equal(coldUntil(reader), 3*time.Second)
	is.Equal(reader.ApplyListing(2500*time.Millisecond, store.List()), false)
	is.Equal(coldUntil(reader), 3*time.Second) // the same entry, read again

	told := view.NewReplica()
	told.ApplyDelta(2200*time.Millisecond, reader.Delta(2*time.Second, 0)) // 200 ms on the way
	is.Equal(coldUntil(told), 3200*time.Millisecond)
	snapshot := reader.Snapshot(2 * time.Second)
	started := view.NewReplica()
	started.ApplySnapshot(10*time.Second, snapshot)
	is.Equal(coldUntil(started), 11*time.Second)
	warm := view.NewReplica()
	warm.ApplyDelta(4*time.Second, reader.Delta(4*time.Second, 0))
	is.Equal(coldUntil(warm), 4*time.Second)
}

func configuration(version uint64, rates ...view.ColdRate) *view.Configuration {
	return &view.Configuration{Version: version, Routes: []view.Route{viewtest.Route(80, "web")}, ColdRates: rates}
}

// TestColdRatesFollowTheConfiguration: told when they have changed, and only then.
func TestColdRatesFollowTheConfiguration(t *testing.T) {
	is := is.New(t)
	reader, told := view.NewReplica(), view.NewReplica()
	apply := func(revision int64, configuration *view.Configuration) {
		changes := &view.Changes{Revision: revision, Changes: []view.Change{{Revision: revision, Configuration: configuration}}}
		reader.ApplyChanges(0, changes)
	}
	rate := view.ColdRate{Service: "web", PerSecond: 7.5}
	apply(2, configuration(1, rate))
	told.ApplyDelta(0, reader.Delta(0, 0))
	is.Equal(told.ColdRates(), map[lb.ServiceName]float64{"web": 7.5})

	apply(3, configuration(2, rate))
	is.Equal(reader.Delta(0, 2).ColdRates, nil) // as before
	told.ApplyDelta(0, reader.Delta(0, 2))
	apply(4, configuration(3))
	told.ApplyDelta(0, reader.Delta(0, 3))
	is.Equal(len(told.ColdRates()), 0)
	is.Equal(told.Revision(), int64(4))
}

func TestColdRatesAreChecked(t *testing.T) {
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

// TestNumberOfColdRatesIsBounded: as those of all else that a delta holds.
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
	is.Equal(err.Error(), "cold_rates: 16385 of them are too many")
}
