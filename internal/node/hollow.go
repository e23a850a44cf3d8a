package node

import (
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"robinpulley.example/robinpulley/internal/catalog"
	"robinpulley.example/robinpulley/internal/config"
	"robinpulley.example/robinpulley/internal/controller"
	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/member"
	"robinpulley.example/robinpulley/internal/message"
)

// Hollow is a node without sockets, goroutines or a clock of its own: all the
// deterministic parts of a real one, driven by its owner. It is not safe for
// concurrent use. See docs/CAPACITY.md.
type Hollow struct {
	engine    *engine
	directory directory
	cuts      cuts
}

// TickInterval is the time between two ticks of a node.
const TickInterval = tickInterval

// HollowOptions say what a hollow node uses in place of the outside.
type HollowOptions struct {
	Settings *config.Settings
	// Incarnation must be higher than in earlier runs under the same name.
	Incarnation uint64
	// Clock gives the time since a fixed origin.
	Clock func() time.Duration
	// Transmit sends a message to a control address.
	Transmit func(to netip.AddrPort, sent message.Message)
}

// StoreRequest is one request of the node's publisher. One field is set.
type StoreRequest struct {
	Write  *controller.Write   // answer with a controller.WriteResult
	Read   lb.ServiceName      // answer with a controller.ReadBack
	Status *catalog.ZoneStatus // no answer
	Epoch  string              // to be put under controller.EpochKey; the watch shows it
}

// NewHollow makes a hollow node.
func NewHollow(options HollowOptions) (*Hollow, error) {
	built, err := newEngine(options.Settings, zerolog.Nop(), options.Incarnation)
	if err != nil {
		return nil, err
	}
	hollow := &Hollow{engine: built}
	built.clock = options.Clock
	built.transmit = options.Transmit
	built.directory = &hollow.directory
	built.cuts = &hollow.cuts
	return hollow, nil
}

// Tick is due every TickInterval; storeUp tells whether the store answers.
func (hollow *Hollow) Tick(storeUp bool) { hollow.engine.tick(storeUp) }

// Receive takes one message from a peer.
func (hollow *Hollow) Receive(from lb.NodeID, address netip.AddrPort, received message.Message) {
	hollow.engine.receive(incoming{from: from, address: address, message: received})
}

// Machines takes the platform's list of machines.
func (hollow *Hollow) Machines(machines []member.Machine) { hollow.engine.setMachines(machines) }

// Watching tells whether the node is to watch the store.
func (hollow *Hollow) Watching() bool { return hollow.engine.isWatcher() }

// Publisher gives one event to the node's publisher: documents, results, read-backs.
func (hollow *Hollow) Publisher(event *controller.Event) { hollow.engine.publisherInput(event) }

// StoreRequests takes the requests of the publisher that wait.
func (hollow *Hollow) StoreRequests() []StoreRequest {
	taken := hollow.engine.work.take()
	requests := make([]StoreRequest, len(taken))
	for index, work := range taken {
		requests[index] = StoreRequest{Write: work.write, Read: work.read, Status: work.status, Epoch: work.epoch}
	}
	return requests
}

// Decide gives one packet to the core.
func (hollow *Hollow) Decide(packet *core.Packet) core.Decision { return hollow.engine.decide(packet) }

// Leave begins the planned stop; End tells the others that the node ends now.
func (hollow *Hollow) Leave() { hollow.engine.leave() }

// End tells the others that the node ends now.
func (hollow *Hollow) End() { hollow.engine.end() }

// HandoverDone tells whether every record has been handed over.
func (hollow *Hollow) HandoverDone() bool { return hollow.engine.handoverDone() }

// Placement gives the placement of a service that is in force at this node, or nil.
func (hollow *Hollow) Placement(service lb.ServiceName) *lb.Placement {
	return hollow.engine.gossip.Placement(service)
}

// Digest is the hash over the versions of all placements in force at this node.
func (hollow *Hollow) Digest() uint64 { return hollow.engine.gossip.Digest() }

// Members is the number of nodes that this node takes as alive, itself included.
func (hollow *Hollow) Members() int { return len(hollow.directory.all()) }
