package scale

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/catalog"
	"robinpulley.example/robinpulley/internal/config"
	"robinpulley.example/robinpulley/internal/controller"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/member"
	"robinpulley.example/robinpulley/internal/message"
	"robinpulley.example/robinpulley/internal/node"
	"robinpulley.example/robinpulley/internal/sim"
	"robinpulley.example/robinpulley/internal/transport"
)

// hollow is one node of the run.
type hollow struct {
	node     *node.Hollow
	machine  member.Machine
	alive    bool
	watching int64 // log position of its watch, plus one; zero when it does not watch
	bytesOut uint64
	bytesIn  uint64
	messages uint64
	queue    *transport.Queue
	waking   bool // a wake-up for the queue is due
	zone     int
	leaving  bool
	cut      bool // its zone is cut off: changes are not expected there
}

// run is the state of one run.
type run struct {
	plan      *Plan
	queue     sim.Queue[func()]
	network   sim.Network
	random    *rand.Rand
	store     *store
	nodes     []*hollow
	byAddress map[netip.AddrPort]*hollow
	measuring bool
	byType    map[message.Type]uint64
	statuses  map[lb.Zone]catalog.ZoneStatus
	changes   []*change
	delays    []time.Duration
	nextNode  int
	failure   error
}

// Delays of the virtual network, one way, and its loss.
const (
	delayWithin  = 200 * time.Microsecond
	delayBetween = time.Millisecond
	delayRegion  = 30 * time.Millisecond
	jitter       = time.Millisecond
	lossRate     = 0.001
)

// listInterval is how often a node reads the platform's machine list.
const listInterval = 5 * time.Second

// Run carries out the plan.
func Run(plan *Plan) (*Report, error) {
	if err := plan.Validate(); err != nil {
		return nil, err
	}
	run := &run{
		plan:      plan,
		network:   sim.Network{Within: delayWithin, Between: delayBetween, Region: delayRegion, RegionOf: plan.regions(), Jitter: jitter, Loss: lossRate},
		random:    sim.NewRandom(plan.Seed),
		store:     newStore(),
		byAddress: make(map[netip.AddrPort]*hollow),
		byType:    make(map[message.Type]uint64),
		statuses:  make(map[lb.Zone]catalog.ZoneStatus),
	}
	run.network.Start(sim.NewRandom(plan.Seed + 1))
	if err := run.fillStore(); err != nil {
		return nil, err
	}
	for index := range plan.Nodes {
		run.queue.Add(time.Duration(index)*startInterval, func() { run.start(index % plan.Zones) })
	}
	return run.measure()
}

// startInterval is the time between the starts of two nodes: a fleet is not
// started at one moment, and what it costs then is not what is asked for here.
const startInterval = 25 * time.Millisecond

// start adds a node; a failure ends the run.
func (run *run) start(zone int) {
	if err := run.addNode(zone); err != nil {
		run.failure = errors.CombineErrors(run.failure, err)
	}
}

// fillStore puts the operators' documents into the store.
func (run *run) fillStore() error {
	services, backends := run.plan.documents()
	for i := range services {
		if err := run.putDocument(catalog.ServicePrefix+string(services[i].Name), &services[i]); err != nil {
			return err
		}
	}
	for i := range backends {
		if err := run.putDocument(catalog.BackendPrefix+string(backends[i].Name), &backends[i]); err != nil {
			return err
		}
	}
	return nil
}

func (run *run) putDocument(key string, document any) error {
	value, err := json.Marshal(document)
	if err != nil {
		return errors.Wrapf(err, "document %s", key)
	}
	run.store.put(key, value)
	return nil
}

// addNode starts a new node in a zone.
func (run *run) addNode(zone int) error {
	machine := machineOf(run.nextNode, zone)
	run.nextNode++
	budget := transport.DefaultBudget()
	budget.BytesPerSecond = run.plan.ControlBytesPerSecond
	added := &hollow{machine: machine, zone: zone, alive: true, queue: transport.NewQueue(budget)}
	settings, err := settingsOf(machine)
	if err != nil {
		return err
	}
	added.node, err = node.NewHollow(node.HollowOptions{
		Settings:    settings,
		Incarnation: uint64(run.nextNode),
		Clock:       run.queue.Now,
		Transmit:    func(to netip.AddrPort, sent message.Message) { run.transmit(added, to, sent) },
	})
	if err != nil {
		return errors.Wrapf(err, "node %s", machine.ID)
	}
	run.nodes = append(run.nodes, added)
	run.byAddress[machine.Control] = added
	run.queue.After(time.Duration(run.random.Int64N(int64(node.TickInterval))), func() { run.tick(added) })
	run.queue.After(time.Duration(run.random.Int64N(int64(node.TickInterval))), func() { run.list(added) })
	return nil
}

// settingsOf gives the settings that a real node on the machine would have.
func settingsOf(machine member.Machine) (*config.Settings, error) {
	text := fmt.Sprintf("node: %s\nzone: %s\ndata_address: %s\ncontrol_address: %s\nstore_endpoints: [\"http://127.0.0.1:2379\"]\nfabric_reply_addresses: [\"127.0.0.1:6080\"]\n",
		machine.ID, machine.Zone, machine.Data, machine.Control)
	return config.Parse([]byte(text), config.Overrides{})
}

// tick drives one node.
func (run *run) tick(node *hollow) {
	if !node.alive {
		return
	}
	node.node.Tick(true)
	run.serveStore(node)
	run.queue.After(tickInterval, func() { run.tick(node) })
}

const tickInterval = node.TickInterval

// list gives a node the platform's machine list.
func (run *run) list(node *hollow) {
	if !node.alive {
		return
	}
	machines := make([]member.Machine, 0, len(run.nodes))
	for _, other := range run.nodes {
		if other.alive {
			machines = append(machines, other.machine)
		}
	}
	node.node.Machines(machines)
	run.queue.After(listInterval, func() { run.list(node) })
}

// transmit puts one message into the sender's queue, which keeps its byte budget.
func (run *run) transmit(from *hollow, to netip.AddrPort, sent message.Message) {
	line, err := message.Encode(nil, from.machine.ID, sent)
	if err != nil {
		run.failure = errors.CombineErrors(run.failure, err)
		return
	}
	kind := sent.MessageType()
	from.queue.Push(transport.Queued{
		To: to, Type: kind, Class: transport.ClassOf(sent, len(line)), Line: transport.Pack(kind, line),
	})
	run.drain(from)
}

// drain sends what the sender's budget lets go.
func (run *run) drain(from *hollow) {
	for {
		item, ready, wait := from.queue.Pop(time.Unix(0, 0).Add(run.queue.Now()))
		if !ready {
			if wait > 0 && !from.waking {
				from.waking = true
				run.queue.After(wait, func() {
					from.waking = false
					run.drain(from)
				})
			}
			return
		}
		run.deliver(from, item)
	}
}

func (run *run) deliver(from *hollow, item transport.Queued) {
	size := uint64(transport.Cost(len(item.Line)))
	if run.measuring {
		from.bytesOut += size
		from.messages++
		run.byType[item.Type] += size
	}
	receiver := run.byAddress[item.To]
	if receiver == nil || !receiver.alive || !from.alive {
		return
	}
	run.delays = run.network.Delays(from.machine.Zone, receiver.machine.Zone, run.delays)
	for _, delay := range run.delays {
		run.queue.After(delay, func() { run.receive(receiver, from, item.Line) })
	}
}

func (run *run) receive(receiver, from *hollow, packed []byte) {
	if !receiver.alive {
		return
	}
	if run.measuring {
		receiver.bytesIn += uint64(transport.Cost(len(packed)))
	}
	line, err := transport.Unpack(packed)
	if err != nil {
		run.failure = errors.CombineErrors(run.failure, err)
		return
	}
	sender, received, err := message.Decode(line)
	if err != nil {
		run.failure = errors.CombineErrors(run.failure, err)
		return
	}
	receiver.node.Receive(sender, from.machine.Control, received)
	run.serveStore(receiver)
}

// serveStore carries out what a node's publisher asks of the store, and its watch.
func (run *run) serveStore(node *hollow) {
	for _, request := range node.node.StoreRequests() {
		run.queue.After(storeDelay, func() { run.request(node, request) })
	}
	run.watch(node)
}

func (run *run) request(node *hollow, request node.StoreRequest) {
	switch {
	case request.Write != nil:
		run.write(node, request.Write)
	case request.Status != nil:
		run.status(request.Status)
	case request.Epoch != "":
		run.store.put(controller.EpochKey, []byte(request.Epoch))
		run.wakeWatchers()
	default:
		document := run.store.values[catalog.PlacementPrefix+string(request.Read)]
		run.answer(node, &controller.Event{ReadBack: &controller.ReadBack{Service: request.Read, Document: document}})
	}
}

func (run *run) write(node *hollow, write *controller.Write) {
	result := &controller.WriteResult{
		Service: write.Placement.Service, WriteID: write.Placement.WriteID, Outcome: controller.WriteConflict,
	}
	value, err := json.Marshal(write.Placement)
	if err != nil {
		run.failure = errors.CombineErrors(run.failure, err)
		return
	}
	key := catalog.PlacementPrefix + string(write.Placement.Service)
	if revision, done := run.store.compareAndSwap(key, write, value); done {
		result.Outcome, result.ModRevision = controller.WriteDone, revision
	}
	run.answer(node, &controller.Event{Result: result})
	run.wakeWatchers()
}

// status takes a zone's report. A node's watch passes over these, so that they are not logged.
func (run *run) status(status *catalog.ZoneStatus) {
	run.store.revision++
	run.statuses[status.Zone] = *status
}

// answer gives an event to a node's publisher after the way back from the store.
func (run *run) answer(node *hollow, event *controller.Event) {
	run.queue.After(storeDelay, func() {
		if node.alive {
			node.node.Publisher(event)
			run.serveStore(node)
		}
	})
}

// wakeWatchers lets every watcher have what is new in the store.
func (run *run) wakeWatchers() {
	for _, node := range run.nodes {
		if node.watching > 0 && node.alive {
			run.queue.After(storeDelay, func() { run.watch(node) })
		}
	}
}

// watch gives a watcher what it has not seen: at first a list, then changes in order.
func (run *run) watch(node *hollow) {
	if !node.alive {
		return
	}
	if !node.node.Watching() {
		node.watching = 0
		return
	}
	next := int64(len(run.store.log)) + 1
	switch {
	case node.watching == 0:
		node.watching = next
		node.node.Publisher(&controller.Event{Documents: run.store.all()})
	case node.watching < next:
		changes := run.store.log[node.watching-1:]
		node.watching = next
		node.node.Publisher(&controller.Event{Documents: &controller.Documents{Revision: run.store.revision, Changes: changes}})
	default:
		return
	}
	run.serveStore(node)
}

// zoneNodes gives the live nodes of a zone.
func (run *run) zoneNodes(zone lb.Zone) []*hollow {
	var nodes []*hollow
	for _, node := range run.nodes {
		if node.alive && node.machine.Zone == zone {
			nodes = append(nodes, node)
		}
	}
	return nodes
}
