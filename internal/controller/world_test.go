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

// TestMain fixes the seed of the property tests, so that every run has the same verdict.
func TestMain(m *testing.M) { os.Exit(rapidseed.Run(m)) }

// fakeStore is a key-value store with revisions; every change stays in its log.
type fakeStore struct {
	revision int64
	values   map[string]Document
	log      []Document
	decoded  map[int64]*lb.Placement // by mod revision
	keep     *[]Document             // when set, is given the log
	// ignoreRevision and ignoreEpoch switch off the conditions of writes.
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
	if store.keep != nil {
		*store.keep = store.log
	}
}

func (store *fakeStore) remove(key string) {
	store.revision++
	delete(store.values, key)
	store.log = append(store.log, Document{Key: key, ModRevision: store.revision, Deleted: true})
}

// swap executes the write if what it expects is so.
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

// placement gives what the store has, or nil.
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

// publisher is one controller with what is under way to and from it.
type publisher struct {
	controller *Controller
	world      *world
	cursor     int // log entries delivered
	writes     []Write
	reads      []lb.ServiceName
	epochs     []string
	kinds      []Kind
	problems   []Problem
	adopted    map[lb.ServiceName]*lb.Placement
	status     *catalog.ZoneStatus
	stopped    bool // takes and gives nothing (paused or dead)
}

// world joins publishers, one zone each, over one store in virtual time.
type world struct {
	store      *fakeStore
	now        time.Duration
	publishers []*publisher
	silent     bool // zones do not acknowledge
	// shuffle, when set, changes the order of lists, which must not matter.
	shuffle func([]Document)
}

func newWorld(count int, adjust func(*Settings)) *world {
	w := &world{store: newFakeStore()}
	var members []core.Member
	for number := range count {
		id, zone := lb.NodeID(fmt.Sprintf("node-%d", number)), lb.Zone(fmt.Sprintf("zone-%d", number))
		members = append(members, core.Member{ID: id, Zone: zone})
		settings := DefaultSettings(id, zone, "run")
		if adjust != nil {
			adjust(&settings)
		}
		w.publishers = append(w.publishers, &publisher{
			controller: New(settings),
			world:      w,
			adopted:    make(map[lb.ServiceName]*lb.Placement),
		})
	}
	for _, p := range w.publishers {
		p.step(&Event{Members: members})
		p.step(&Event{Store: StoreUp})
		p.list()
	}
	return w
}

func (p *publisher) step(event *Event) {
	var effects Effects
	p.controller.Step(p.world.now, event, &effects)
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

// list gives the controller everything in the store.
func (p *publisher) list() {
	event := &Documents{Complete: true, Revision: p.world.store.revision}
	for _, key := range slices.Sorted(maps.Keys(p.world.store.values)) {
		event.Changes = append(event.Changes, p.world.store.values[key])
	}
	if p.world.shuffle != nil {
		p.world.shuffle(event.Changes)
	}
	p.cursor = len(p.world.store.log)
	p.step(&Event{Documents: event})
}

// watch delivers up to count entries of the log.
func (p *publisher) watch(count int) {
	for ; count > 0 && p.cursor < len(p.world.store.log); count-- {
		document := p.world.store.log[p.cursor]
		p.cursor++
		p.step(&Event{Documents: &Documents{Revision: document.ModRevision, Changes: []Document{document}}})
	}
}

// apply executes the write at the store and gives the outcome that it had.
func (p *publisher) apply(write Write) *WriteResult {
	result := &WriteResult{Service: write.Placement.Service, WriteID: write.Placement.WriteID, Outcome: WriteConflict}
	if p.world.store.swap(write) {
		result.Outcome = WriteDone
		result.ModRevision = p.world.store.revision
	}
	return result
}

// changeEpoch executes the changes of the epoch that were asked for.
func (p *publisher) changeEpoch() {
	for _, id := range p.epochs {
		p.world.store.put(EpochKey, id)
	}
	p.epochs = nil
}

func (p *publisher) readBack(name lb.ServiceName) {
	p.step(&Event{ReadBack: &ReadBack{Service: name, Document: p.world.store.values[catalog.PlacementKey(name)]}})
}

// round executes all writes and reads, and delivers the whole log.
func (p *publisher) round() {
	if p.stopped {
		return
	}
	p.watch(len(p.world.store.log))
	writes := p.writes
	p.writes = nil
	for _, write := range writes {
		p.step(&Event{Result: p.apply(write)})
	}
	p.changeEpoch()
	reads := p.reads
	p.reads = nil
	for _, name := range reads {
		p.readBack(name)
	}
	p.step(&Event{Tick: true})
}

// acknowledge reports every zone's versions to every publisher.
func (w *world) acknowledge() {
	var versions []message.ServiceVersion
	for name := range w.publishers[0].controller.services {
		if document := w.store.placement(name); document != nil && isPrepared(document) {
			versions = append(versions, message.ServiceVersion{Service: name, Version: document.Version})
		}
	}
	for _, from := range w.publishers {
		for _, to := range w.publishers {
			if !to.stopped {
				to.step(&Event{InForce: &message.InForce{Zone: from.controller.settings.Zone, Nodes: 1, Versions: versions}})
			}
		}
	}
}

// run lets the time pass in small steps.
func (w *world) run(duration time.Duration) {
	const step = 100 * time.Millisecond
	for end := w.now + duration; w.now < end; w.now += step {
		for _, p := range w.publishers {
			p.round()
		}
		if !w.silent {
			w.acknowledge()
		}
	}
}

func (w *world) putService(name lb.ServiceName, selector string) {
	w.store.put(catalog.ServiceKey(name), catalog.Service{
		Name:      name,
		Frontends: []lb.Frontend{{Address: netip.MustParseAddrPort("192.0.2.1:443"), Protocol: lb.TCP}},
		Selector:  selector,
		WriteID:   "operator",
	})
}

func backendName(number int) lb.BackendName { return lb.BackendName(fmt.Sprintf("host-%d", number)) }

func (w *world) putBackend(number int, app string) {
	w.store.put(catalog.BackendKey(backendName(number)), newBackend(number, app))
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

// wallet gives a world with one service of the given number of back ends, placed.
func wallet(t *testing.T, publishers, backends int, adjust func(*Settings)) *world {
	t.Helper()
	w := newWorld(publishers, adjust)
	for number := 1; number <= backends; number++ {
		w.putBackend(number, "wallet")
	}
	w.putService("wallet-core", "app=wallet")
	w.run(10 * time.Second)
	is := is.New(t)
	is.True(w.store.placement("wallet-core") != nil)
	is.Equal(len(activeNames(w.store.placement("wallet-core"))), backends)
	return w
}

// activeNames gives the back ends that take new flows.
func activeNames(document *lb.Placement) map[lb.BackendName]uint16 {
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
