package controller

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/catalog"
	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
	"robinpulley.example/robinpulley/internal/rapidseed"
)

// TestMain fixes the seed of the property tests, so that every run has the same result.
func TestMain(m *testing.M) { os.Exit(rapidseed.Run(m)) }

// fakeStore is a key-value store with revisions. Its log holds every change.
type fakeStore struct {
	revision int64
	values   map[string]Document
	log      []Document
	decoded  map[int64]*lb.Placement // by mod revision
	logCopy  *[]Document             // if set, receives the log after each put
	// ignoreRevision and ignoreEpoch disable the conditions of writes.
	ignoreRevision, ignoreEpoch bool
}

func newFakeStore() *fakeStore {
	return &fakeStore{values: make(map[string]Document), decoded: make(map[int64]*lb.Placement)}
}

func (store *fakeStore) put(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	store.revision++
	document := Document{Key: key, Value: encoded, ModRevision: store.revision}
	store.values[key] = document
	store.log = append(store.log, document)
	if store.logCopy != nil {
		*store.logCopy = store.log
	}
}

func (store *fakeStore) remove(key string) {
	store.revision++
	delete(store.values, key)
	store.log = append(store.log, Document{Key: key, ModRevision: store.revision, Deleted: true})
}

// swap executes the write if the mod revisions that it expects are the current ones. It reports
// whether it did.
func (store *fakeStore) swap(write Write) bool {
	key := catalog.PlacementKey(write.Placement.Service)
	if store.values[key].ModRevision != write.ExpectedModRevision && !store.ignoreRevision {
		return false
	}
	if store.values[EpochKey].ModRevision != write.ExpectedEpoch && !store.ignoreEpoch {
		return false
	}
	store.put(key, write.Placement)
	return true
}

// placement returns the stored placement of the service, or nil.
func (store *fakeStore) placement(name lb.ServiceName) *lb.Placement {
	document, found := store.values[catalog.PlacementKey(name)]
	if !found {
		return nil
	}
	if known, cached := store.decoded[document.ModRevision]; cached {
		return known
	}
	decoded := new(lb.Placement)
	if err := json.Unmarshal(document.Value, decoded); err != nil {
		panic(err)
	}
	store.decoded[document.ModRevision] = decoded
	return decoded
}

// publisher is one controller with its inputs and outputs that are in flight.
type publisher struct {
	controller *Controller
	cluster    *cluster
	cursor     int // number of log entries delivered
	writes     []Write
	reads      []lb.ServiceName
	epochs     []string
	kinds      []Kind
	problems   []Problem
	adopted    map[lb.ServiceName]*lb.Placement
	status     *catalog.ZoneStatus
	paused     bool // paused or dead: gets no events
}

// cluster simulates publishers, one in each zone, with a common store in virtual time.
type cluster struct {
	store              *fakeStore
	now                time.Duration
	publishers         []*publisher
	noAcknowledgements bool // zones do not acknowledge
	// shuffle, if set, changes the order of documents in lists, which must not matter.
	shuffle func([]Document)
}

func newCluster(count int, adjust func(*Settings)) *cluster {
	c := &cluster{store: newFakeStore()}
	var members []core.Member
	for number := range count {
		id, zone := lb.NodeID(fmt.Sprintf("node-%d", number)), lb.Zone(fmt.Sprintf("zone-%d", number))
		members = append(members, core.Member{ID: id, Zone: zone})
		settings := DefaultSettings(id, zone, "run")
		if adjust != nil {
			adjust(&settings)
		}
		c.publishers = append(c.publishers, &publisher{
			controller: New(settings),
			cluster:    c,
			adopted:    make(map[lb.ServiceName]*lb.Placement),
		})
	}
	for _, p := range c.publishers {
		p.deliver(&Event{Members: members})
		p.deliver(&Event{Store: StoreUp})
		p.deliverList()
	}
	return c
}

func (p *publisher) deliver(event *Event) {
	var effects Effects
	p.controller.Step(p.cluster.now, event, &effects)
	p.writes = append(p.writes, effects.Writes...)
	p.reads = append(p.reads, effects.Reads...)
	p.problems = append(p.problems, effects.Problems...)
	if effects.Epoch != "" {
		p.epochs = append(p.epochs, effects.Epoch)
	}
	for _, write := range effects.Writes {
		p.kinds = append(p.kinds, write.Kind)
	}
	for _, document := range effects.Placements {
		p.adopted[document.Service] = document
	}
	if effects.Status != nil {
		p.status = effects.Status
	}
}

// deliverList delivers a complete list of the store.
func (p *publisher) deliverList() {
	event := &Documents{Complete: true, Revision: p.cluster.store.revision}
	for _, key := range slices.Sorted(maps.Keys(p.cluster.store.values)) {
		event.Changes = append(event.Changes, p.cluster.store.values[key])
	}
	if p.cluster.shuffle != nil {
		p.cluster.shuffle(event.Changes)
	}
	p.cursor = len(p.cluster.store.log)
	p.deliver(&Event{Documents: event})
}

// deliverChanges delivers up to count entries of the log.
func (p *publisher) deliverChanges(count int) {
	for ; count > 0 && p.cursor < len(p.cluster.store.log); count-- {
		document := p.cluster.store.log[p.cursor]
		p.cursor++
		p.deliver(&Event{Documents: &Documents{Revision: document.ModRevision, Changes: []Document{document}}})
	}
}

// execute executes the write at the store and returns its result.
func (p *publisher) execute(write Write) *WriteResult {
	result := &WriteResult{Service: write.Placement.Service, WriteID: write.Placement.WriteID, Outcome: WriteConflict}
	if p.cluster.store.swap(write) {
		result.Outcome = WriteDone
		result.ModRevision = p.cluster.store.revision
	}
	return result
}

// changeEpoch executes the requested changes of the epoch.
func (p *publisher) changeEpoch() {
	for _, id := range p.epochs {
		p.cluster.store.put(EpochKey, id)
	}
	p.epochs = nil
}

func (p *publisher) readBack(name lb.ServiceName) {
	p.deliver(&Event{ReadBack: &ReadBack{Service: name, Document: p.cluster.store.values[catalog.PlacementKey(name)]}})
}

// runOnce delivers the whole log, executes all writes and reads, and ends with a tick.
func (p *publisher) runOnce() {
	if p.paused {
		return
	}
	p.deliverChanges(len(p.cluster.store.log))
	writes := p.writes
	p.writes = nil
	for _, write := range writes {
		p.deliver(&Event{Result: p.execute(write)})
	}
	p.changeEpoch()
	reads := p.reads
	p.reads = nil
	for _, name := range reads {
		p.readBack(name)
	}
	p.deliver(&Event{Tick: true})
}

// acknowledge reports to every publisher that all prepared versions are in force in every zone.
func (c *cluster) acknowledge() {
	var versions []message.ServiceVersion
	for name := range c.publishers[0].controller.services {
		if document := c.store.placement(name); document != nil && isPrepared(document) {
			versions = append(versions, message.ServiceVersion{Service: name, Version: document.Version})
		}
	}
	for _, from := range c.publishers {
		for _, to := range c.publishers {
			if !to.paused {
				to.deliver(&Event{InForce: &message.InForce{Zone: from.controller.settings.Zone, Nodes: 1, Versions: versions}})
			}
		}
	}
}

// run advances the time in small steps and runs all publishers at each of them.
func (c *cluster) run(duration time.Duration) {
	const step = 100 * time.Millisecond
	for end := c.now + duration; c.now < end; c.now += step {
		for _, p := range c.publishers {
			p.runOnce()
		}
		if !c.noAcknowledgements {
			c.acknowledge()
		}
	}
}

func (c *cluster) putService(name lb.ServiceName, selector string) {
	c.store.put(catalog.ServiceKey(name), catalog.Service{
		Name:      name,
		Frontends: []lb.Frontend{{Address: netip.MustParseAddrPort("192.0.2.1:443"), Protocol: lb.TCP}},
		Selector:  selector,
		WriteID:   "operator",
	})
}

func backendName(number int) lb.BackendName { return lb.BackendName(fmt.Sprintf("host-%d", number)) }

func (c *cluster) putBackend(number int, app string) {
	c.store.put(catalog.BackendKey(backendName(number)), newBackend(number, app))
}

func newBackend(number int, app string) catalog.Backend {
	return catalog.Backend{
		Name:    backendName(number),
		Host:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(number / 200), byte(number%200 + 1)}), 6081),
		Zone:    "zone-0",
		Labels:  map[string]string{"app": app},
		WriteID: "operator",
	}
}

// newServiceCluster returns a cluster with one service, testService, that has been placed with the
// given number of back ends.
func newServiceCluster(t *testing.T, publishers, backends int, adjust func(*Settings)) *cluster {
	t.Helper()
	c := newCluster(publishers, adjust)
	for number := 1; number <= backends; number++ {
		c.putBackend(number, "wallet")
	}
	c.putService("wallet-core", "app=wallet")
	c.run(10 * time.Second)
	is := is.New(t)
	is.True(c.store.placement("wallet-core") != nil)
	is.Equal(len(activeWeights(c.store.placement("wallet-core"))), backends)
	return c
}

// activeWeights returns the weights of the back ends that get new flows.
func activeWeights(document *lb.Placement) map[lb.BackendName]uint16 {
	names := make(map[lb.BackendName]uint16)
	for _, weighted := range currentBackends(document) {
		for _, backend := range document.Backends {
			if backend.ID == weighted.ID {
				names[backend.Name] = weighted.Weight
			}
		}
	}
	return names
}
