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

func TestLeavingBackendGetsNoNewFlowsWithinThreeSeconds(t *testing.T) {
	is := is.New(t)
	c := newServiceCluster(t, 3, 4, nil)
	before := c.store.placement("wallet-core").Version
	c.putBackend(4, "other")
	changed := c.now
	for len(activeWeights(c.store.placement("wallet-core"))) != 3 {
		c.run(100 * time.Millisecond)
		is.True(c.now-changed < 3*time.Second) // the limit for a leaving back end
	}
	c.run(time.Second)
	document := c.store.placement("wallet-core")
	is.Equal(document.Version, before+2) // one version to prepare and one to commit
	is.Equal(document.Backends[3].State, lb.BackendDraining)
	for _, p := range c.publishers {
		is.Equal(p.controller.PublishedRevision(), p.controller.seenRevision)
		is.Equal(p.adopted["wallet-core"].Version, document.Version)
		is.Equal(len(p.problems), 0)
	}
}

// TestEvacuatedZoneGetsNoNewFlows checks that the back ends of an evacuated zone are drained within
// seconds, and get new flows again after the evacuation.
func TestEvacuatedZoneGetsNoNewFlows(t *testing.T) {
	is := is.New(t)
	c := newServiceCluster(t, 3, 4, nil)
	const zone = lb.Zone("zone-1")
	moved := newBackend(4, "wallet")
	moved.Zone = zone
	c.store.put(catalog.BackendKey(moved.Name), moved)
	c.run(5 * time.Second)
	c.store.put(catalog.ZoneKey(zone), catalog.EvacuatedZone{Name: zone})
	changed := c.now
	for len(activeWeights(c.store.placement("wallet-core"))) != 3 {
		c.run(100 * time.Millisecond)
		is.True(c.now-changed < 3*time.Second)
	}
	c.store.remove(catalog.ZoneKey(zone))
	changed = c.now
	for len(activeWeights(c.store.placement("wallet-core"))) != 4 {
		c.run(100 * time.Millisecond)
		is.True(c.now-changed < 3*time.Second)
	}
}

// TestPrepareLimitBoundsCommit checks that a change is committed after PrepareLimit although no
// zone acknowledges it.
func TestPrepareLimitBoundsCommit(t *testing.T) {
	is := is.New(t)
	c := newServiceCluster(t, 1, 4, nil)
	c.noAcknowledgements = true
	c.putBackend(4, "other")
	c.run(1500 * time.Millisecond)
	is.True(isPrepared(c.store.placement("wallet-core")))
	is.Equal(c.publishers[0].controller.PublishedRevision(), int64(0)+c.store.revision-2) // the change is not in force
	c.run(time.Second)
	is.True(!isPrepared(c.store.placement("wallet-core")))
}

// TestDeletedBackendIsForgottenAfterSettleAndClear checks the phases after the deletion of a back
// end: its generation settles after the idle timeout, and the back end leaves the document only
// after all buckets were reported clean.
func TestDeletedBackendIsForgottenAfterSettleAndClear(t *testing.T) {
	is := is.New(t)
	c := newServiceCluster(t, 1, 3, nil)
	c.store.remove(catalog.BackendKey(backendName(3)))
	c.run(5 * time.Second)
	committed := c.now
	for len(c.store.placement("wallet-core").Generations) > 1 {
		c.run(time.Second)
	}
	is.True(c.now-committed > 300*time.Second)
	document := c.store.placement("wallet-core")
	is.True(len(document.History) != 0)
	is.Equal(len(document.Backends), 3) // the deleted back end may still have flows
	buckets := make([]uint16, lb.BucketCount)
	for bucket := range buckets {
		buckets[bucket] = uint16(bucket)
	}
	reportClean := func(version lb.Version) {
		c.publishers[0].deliver(&Event{Clean: &CleanReport{
			From:  "node-0",
			Clean: message.Clean{Service: "wallet-core", Version: version, Buckets: buckets},
		}})
	}
	reportClean(document.Version - 1)
	c.run(30 * time.Second)
	is.True(len(c.store.placement("wallet-core").History) != 0) // wrong version: ignored
	reportClean(document.Version)
	c.run(30 * time.Second)
	document = c.store.placement("wallet-core")
	is.Equal(len(document.History), 0)
	is.Equal(len(document.Backends), 2)
}

func TestDeletedServiceReleasesFrontends(t *testing.T) {
	is := is.New(t)
	c := newServiceCluster(t, 1, 2, nil)
	c.store.remove(catalog.ServiceKey("wallet-core"))
	c.run(5 * time.Second)
	document := c.store.placement("wallet-core")
	is.True(document.Deleted)
	is.Equal(len(activeWeights(document)), 0)
	is.Equal(len(document.Frontends), 1) // its flows continue
	c.putService("wallet-next", "app=wallet")
	c.run(2 * time.Second)
	is.Equal(len(c.store.placement("wallet-core").Frontends), 0) // released to the new service
	is.Equal(len(c.store.placement("wallet-next").Frontends), 1)
}

// TestConstantChangeBoundsGenerations checks that with frequent changes the number of generations
// stays within its limit, and that generations still settle.
func TestConstantChangeBoundsGenerations(t *testing.T) {
	is := is.New(t)
	c := newServiceCluster(t, 1, 3, nil)
	first := c.store.placement("wallet-core").Generations[0].Version
	for round := range 40 {
		c.putBackend(3, []string{"other", "wallet"}[round%2])
		c.run(20 * time.Second)
		document := c.store.placement("wallet-core")
		is.Equal(len(activeWeights(document)), 2+round%2)
		is.True(len(document.Generations) <= placement.MaxGenerations)
	}
	is.True(c.store.placement("wallet-core").Generations[0].Version > first)
}

func TestBackendWithInvalidDocumentStaysPlaced(t *testing.T) {
	is := is.New(t)
	c := newCluster(1, nil)
	c.putBackend(1, "wallet")
	c.putBackend(2, "wallet")
	c.putService("wallet-core", "app=wallet")
	c.run(5 * time.Second)
	c.store.put(catalog.BackendKey(backendName(2)), "not a back end")
	fresh := newCluster(1, nil)
	fresh.store = c.store
	fresh.publishers[0].deliverList()
	fresh.run(5 * time.Second)
	is.Equal(len(activeWeights(c.store.placement("wallet-core"))), 2)
	is.True(len(fresh.publishers[0].problems) > 0)
}

// TestLostPlacementIsRestoredWithHigherVersion checks that a placement which the store has lost, or
// replaced by an older one, is written again with a higher version.
func TestLostPlacementIsRestoredWithHigherVersion(t *testing.T) {
	is := is.New(t)
	c := newServiceCluster(t, 2, 2, nil)
	newer, restored := c.restoreOlder()
	is.True(restored.Version > newer.Version)
	is.Equal(len(activeWeights(restored)), 1)
	c.store.remove(catalog.PlacementKey(testService))
	c.run(5 * time.Second)
	is.True(c.store.placement(testService).Version > restored.Version)

	unprotected := newServiceCluster(t, 2, 2, nil)
	for _, p := range unprotected.publishers {
		p.controller.disabled.noVersionMemory = true
	}
	newer, restored = unprotected.restoreOlder()
	is.True(restored.Version <= newer.Version) // without the rule the version decreases
}

// TestNewPublisherContinuesFromPlacementInForce covers a store that has lost a placement while no
// publisher is left that saw it there. Nodes still have the placement in force.
func TestNewPublisherContinuesFromPlacementInForce(t *testing.T) {
	is := is.New(t)
	c := newServiceCluster(t, 1, 3, nil)
	c.putBackend(3, "other")
	c.run(3 * time.Second)
	inForce := c.store.placement(testService)
	c.store.remove(catalog.PlacementKey(testService))
	restart := func(known func(lb.ServiceName) *lb.Placement) *lb.Placement {
		fresh := newCluster(1, func(settings *Settings) { settings.InForce = known })
		for _, key := range slices.Sorted(maps.Keys(c.store.values)) {
			fresh.store.values[key] = c.store.values[key]
		}
		fresh.store.revision = c.store.revision
		fresh.publishers[0].deliverList()
		fresh.run(5 * time.Second)
		return fresh.store.placement(testService)
	}
	restored := restart(func(lb.ServiceName) *lb.Placement { return inForce })
	is.Equal(restored.Version, inForce.Version+1)
	is.Equal(restored.Backends, inForce.Backends)    // the draining back end is still in it
	is.True(restart(nil).Version <= inForce.Version) // without Settings.InForce the version decreases
}

// restoreOlder replaces a placement in the store by an older one. It returns the newer placement
// and the one that is in the store in the end.
func (c *cluster) restoreOlder() (newer, restored *lb.Placement) {
	older := c.store.placement(testService)
	c.putBackend(2, "other")
	c.run(5 * time.Second)
	newer = c.store.placement(testService)
	c.store.put(catalog.PlacementKey(testService), older)
	c.run(2 * time.Second)
	return newer, c.store.placement(testService)
}

// TestOutageIsResolvedAfterwards checks the state soon after a store outage: a write whose response
// was lost at the start of the outage is resolved, and a change made during it is in force.
func TestOutageIsResolvedAfterwards(t *testing.T) {
	is := is.New(t)
	c := newServiceCluster(t, 1, 3, nil)
	p := c.publishers[0]
	c.putBackend(3, "other")
	p.deliverChanges(1)
	write := p.writes[0]
	p.writes = nil
	p.execute(write) // the write takes effect, and its response is lost
	p.deliver(&Event{Store: StoreDown})
	p.deliver(&Event{Result: &WriteResult{Service: testService, WriteID: write.Placement.WriteID, Outcome: WriteUnknown}})
	for range 600 {
		c.now += 100 * time.Millisecond
		p.deliver(&Event{Tick: true})
		for _, name := range p.reads {
			p.deliver(&Event{ReadBack: &ReadBack{Service: name, Failed: true}})
		}
		p.reads = nil
		is.Equal(len(p.writes), 0) // nothing is written while the store is down
	}
	c.putBackend(2, "other")
	p.deliver(&Event{Store: StoreUp})
	c.run(4 * time.Second)
	is.Equal(len(activeWeights(c.store.placement(testService))), 1)
	is.Equal(p.controller.PublishedRevision(), c.store.revision)
}

func TestExcessBackendsAreReportedAndOthersServe(t *testing.T) {
	is := is.New(t)
	c := newCluster(1, nil)
	for number := range placement.MaxGenerationBackends + 2 {
		c.putBackend(number, "wallet")
	}
	c.putService(testService, "app=wallet")
	c.run(5 * time.Second)
	is.Equal(len(activeWeights(c.store.placement(testService))), placement.MaxGenerationBackends)
	is.Equal(len(c.publishers[0].problems), 1)
	is.Equal(c.publishers[0].controller.PublishedRevision(), c.store.revision)
}

func TestOnlyZoneReporterWritesStatus(t *testing.T) {
	is := is.New(t)
	c := newServiceCluster(t, 2, 2, nil)
	report := message.InForce{Zone: "zone-0", Nodes: 4, ConfigRevision: 7}
	c.now += time.Minute
	for _, p := range c.publishers {
		p.status = nil
		p.deliver(&Event{InForce: &report})
	}
	is.Equal(*c.publishers[0].status, catalog.ZoneStatus{Zone: "zone-0", Writer: "node-0", ConfigRevision: 7, Nodes: 4})
	is.Equal(c.publishers[1].status, nil) // the reporter of another zone
}
