package controller

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/catalog"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
	"robinpulley.example/robinpulley/internal/placement"
)

func TestServiceIsPlacedAndOneLeaves(t *testing.T) {
	is := is.New(t)
	w := wallet(t, 3, 4, nil)
	before := w.store.placement("wallet-core").Version
	w.putBackend(4, "other")
	changed := w.now
	for len(activeNames(w.store.placement("wallet-core"))) != 3 {
		w.run(100 * time.Millisecond)
		is.True(w.now-changed < 3*time.Second) // a leaving back end gets no new flow after seconds
	}
	w.run(time.Second)
	document := w.store.placement("wallet-core")
	is.Equal(document.Version, before+2) // prepared, committed
	is.Equal(document.Backends[3].State, lb.BackendDraining)
	for _, p := range w.publishers {
		is.Equal(p.controller.PublishedRevision(), p.controller.seen)
		is.Equal(p.adopted["wallet-core"].Version, document.Version)
		is.Equal(len(p.problems), 0)
	}
}

// TestEvacuatedZoneTakesNoNewFlows: its back ends leave as if each were drained, and come back.
func TestEvacuatedZoneTakesNoNewFlows(t *testing.T) {
	is := is.New(t)
	w := wallet(t, 3, 4, nil)
	const zone = lb.Zone("zone-1")
	moved := newBackend(4, "wallet")
	moved.Zone = zone
	w.store.put(catalog.BackendKey(moved.Name), moved)
	w.run(5 * time.Second)
	w.store.put(catalog.ZoneKey(zone), catalog.EvacuatedZone{Name: zone})
	changed := w.now
	for len(activeNames(w.store.placement("wallet-core"))) != 3 {
		w.run(100 * time.Millisecond)
		is.True(w.now-changed < 3*time.Second)
	}
	w.store.remove(catalog.ZoneKey(zone))
	changed = w.now
	for len(activeNames(w.store.placement("wallet-core"))) != 4 {
		w.run(100 * time.Millisecond)
		is.True(w.now-changed < 3*time.Second)
	}
}

// TestPrepareLimitEndsTheWait: zones that do not answer cannot hold a change back.
func TestPrepareLimitEndsTheWait(t *testing.T) {
	is := is.New(t)
	w := wallet(t, 1, 4, nil)
	w.silent = true
	w.putBackend(4, "other")
	w.run(1500 * time.Millisecond)
	is.True(isPrepared(w.store.placement("wallet-core")))
	is.Equal(w.publishers[0].controller.PublishedRevision(), int64(0)+w.store.revision-2) // the change is not in force
	w.run(time.Second)
	is.True(!isPrepared(w.store.placement("wallet-core")))
}

// TestMoveSettlesAndClears follows a move to its end.
func TestMoveSettlesAndClears(t *testing.T) {
	is := is.New(t)
	w := wallet(t, 1, 3, nil)
	w.store.remove(catalog.BackendKey(backendName(3)))
	w.run(5 * time.Second)
	committed := w.now
	for len(w.store.placement("wallet-core").Generations) > 1 {
		w.run(time.Second)
	}
	is.True(w.now-committed > 300*time.Second)
	document := w.store.placement("wallet-core")
	is.True(len(document.History) != 0)
	is.Equal(len(document.Backends), 3) // flows may be left on the one that is gone
	buckets := make([]uint16, lb.BucketCount)
	for bucket := range buckets {
		buckets[bucket] = uint16(bucket)
	}
	clean := func(version lb.Version) {
		w.publishers[0].step(&Event{Clean: &CleanReport{
			From:  "node-0",
			Clean: message.Clean{Service: "wallet-core", Version: version, Buckets: buckets},
		}})
	}
	clean(document.Version - 1)
	w.run(30 * time.Second)
	is.True(len(w.store.placement("wallet-core").History) != 0) // a report on an older version is void
	clean(document.Version)
	w.run(30 * time.Second)
	document = w.store.placement("wallet-core")
	is.Equal(len(document.History), 0)
	is.Equal(len(document.Backends), 2)
}

func TestDeletedServiceEndsEmpty(t *testing.T) {
	is := is.New(t)
	w := wallet(t, 1, 2, nil)
	w.store.remove(catalog.ServiceKey("wallet-core"))
	w.run(5 * time.Second)
	document := w.store.placement("wallet-core")
	is.True(document.Deleted)
	is.Equal(len(activeNames(document)), 0)
	is.Equal(len(document.Frontends), 1) // its flows go on
	w.putService("wallet-next", "app=wallet")
	w.run(2 * time.Second)
	is.Equal(len(w.store.placement("wallet-core").Frontends), 0) // released to the other service
	is.Equal(len(w.store.placement("wallet-next").Frontends), 1)
}

// TestConstantChangeStaysBounded: changes stack up, collapse, and still settle.
func TestConstantChangeStaysBounded(t *testing.T) {
	is := is.New(t)
	w := wallet(t, 1, 3, nil)
	first := w.store.placement("wallet-core").Generations[0].Version
	for round := range 40 {
		w.putBackend(3, []string{"other", "wallet"}[round%2])
		w.run(20 * time.Second)
		document := w.store.placement("wallet-core")
		is.Equal(len(activeNames(document)), 2+round%2)
		is.True(len(document.Generations) <= placement.MaxGenerations)
	}
	is.True(w.store.placement("wallet-core").Generations[0].Version > first)
}

func TestUnknownBackendStaysPlaced(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, nil)
	w.putBackend(1, "wallet")
	w.putBackend(2, "wallet")
	w.putService("wallet-core", "app=wallet")
	w.run(5 * time.Second)
	w.store.put(catalog.BackendKey(backendName(2)), "not a back end")
	fresh := newWorld(1, nil)
	fresh.store = w.store
	fresh.publishers[0].list()
	fresh.run(5 * time.Second)
	is.Equal(len(activeNames(w.store.placement("wallet-core"))), 2)
	is.True(len(fresh.publishers[0].problems) > 0)
}

// TestLostPlacementIsRestoredHigher: the version does not go back when the store does.
func TestLostPlacementIsRestoredHigher(t *testing.T) {
	is := is.New(t)
	w := wallet(t, 2, 2, nil)
	newer, restored := w.restoreOlder()
	is.True(restored.Version > newer.Version)
	is.Equal(len(activeNames(restored)), 1)
	w.store.remove(catalog.PlacementKey(racedService))
	w.run(5 * time.Second)
	is.True(w.store.placement(racedService).Version > restored.Version)

	mutant := wallet(t, 2, 2, nil)
	for _, p := range mutant.publishers {
		p.controller.off.noVersionMemory = true
	}
	newer, restored = mutant.restoreOlder()
	is.True(restored.Version <= newer.Version) // the rule is what makes the difference
}

// TestNewPublisherGoesOnFromWhatIsInForce: the store has lost a placement, and
// no publisher is left that saw it there; nodes still have it.
func TestNewPublisherGoesOnFromWhatIsInForce(t *testing.T) {
	is := is.New(t)
	w := wallet(t, 1, 3, nil)
	w.putBackend(3, "other")
	w.run(3 * time.Second)
	inForce := w.store.placement(racedService)
	w.store.remove(catalog.PlacementKey(racedService))
	restart := func(known func(lb.ServiceName) *lb.Placement) *lb.Placement {
		fresh := newWorld(1, func(settings *Settings) { settings.InForce = known })
		for _, key := range slices.Sorted(maps.Keys(w.store.values)) {
			fresh.store.values[key] = w.store.values[key]
		}
		fresh.store.revision = w.store.revision
		fresh.publishers[0].list()
		fresh.run(5 * time.Second)
		return fresh.store.placement(racedService)
	}
	restored := restart(func(lb.ServiceName) *lb.Placement { return inForce })
	is.Equal(restored.Version, inForce.Version+1)
	is.Equal(restored.Backends, inForce.Backends)    // the one that drains is not forgotten
	is.True(restart(nil).Version <= inForce.Version) // the rule is what makes the difference
}

// restoreOlder puts an older placement into the store, and gives the newer one
// that was there and what is there in the end.
func (w *world) restoreOlder() (newer, restored *lb.Placement) {
	older := w.store.placement(racedService)
	w.putBackend(2, "other")
	w.run(5 * time.Second)
	newer = w.store.placement(racedService)
	w.store.put(catalog.PlacementKey(racedService), older)
	w.run(2 * time.Second)
	return newer, w.store.placement(racedService)
}

// TestOutageLeavesNothingUnknown: a write whose answer was lost at the start of
// an outage is resolved, and a change made meanwhile is in force, soon after it.
func TestOutageLeavesNothingUnknown(t *testing.T) {
	is := is.New(t)
	w := wallet(t, 1, 3, nil)
	p := w.publishers[0]
	w.putBackend(3, "other")
	p.watch(1)
	write := p.writes[0]
	p.writes = nil
	p.apply(write) // it takes effect, the answer is lost
	p.step(&Event{Store: StoreDown})
	p.step(&Event{Result: &WriteResult{Service: racedService, WriteID: write.Placement.WriteID, Outcome: WriteUnknown}})
	for range 600 {
		w.now += 100 * time.Millisecond
		p.step(&Event{Tick: true})
		for _, name := range p.reads {
			p.step(&Event{ReadBack: &ReadBack{Service: name, Failed: true}})
		}
		p.reads = nil
		is.Equal(len(p.writes), 0) // nothing is written while the store is down
	}
	w.putBackend(2, "other")
	p.step(&Event{Store: StoreUp})
	w.run(4 * time.Second)
	is.Equal(len(activeNames(w.store.placement(racedService))), 1)
	is.Equal(p.controller.PublishedRevision(), w.store.revision)
}

func TestTooManyBackendsAreReportedAndTheRestServes(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, nil)
	for number := range placement.MaxActive + 2 {
		w.putBackend(number, "wallet")
	}
	w.putService(racedService, "app=wallet")
	w.run(5 * time.Second)
	is.Equal(len(activeNames(w.store.placement(racedService))), placement.MaxActive)
	is.Equal(len(w.publishers[0].problems), 1)
	is.Equal(w.publishers[0].controller.PublishedRevision(), w.store.revision)
}

func TestStatusComesFromOneReporterOfTheZone(t *testing.T) {
	is := is.New(t)
	w := wallet(t, 2, 2, nil)
	report := message.InForce{Zone: "zone-0", Nodes: 4, ConfigRevision: 7}
	w.now += time.Minute
	for _, p := range w.publishers {
		p.status = nil
		p.step(&Event{InForce: &report})
	}
	is.Equal(*w.publishers[0].status, catalog.ZoneStatus{Zone: "zone-0", Writer: "node-0", ConfigRevision: 7, Nodes: 4})
	is.Equal(w.publishers[1].status, nil) // of another zone
}
