package node

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"robinpulley.example/robinpulley/internal/config"
	"robinpulley.example/robinpulley/internal/controller"
	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/gossip"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/member"
	"robinpulley.example/robinpulley/internal/message"
)

// slowTicks is how many ticks of the membership and the gossip make one of
// the core and the publisher.
const slowTicks = uint64(core.TickInterval / tickInterval)

// engine owns the deterministic parts of a node. One lock guards them all:
// every input takes it, steps the parts it concerns and carries out their
// effects, none of which blocks.
type engine struct {
	settings  *config.Settings
	logger    zerolog.Logger
	clock     func() time.Duration // since the start of the process, monotonic
	transmit  transmitter
	directory *directory
	cuts      *cuts
	// beforeAdoption, if set, is told of each placement before the core is.
	beforeAdoption func(*lb.Placement)

	mutex sync.Mutex
	last  time.Duration // of the last step
	// outbox holds messages to others until the lock is free.
	outbox []outgoing
	// local holds messages of this node to itself, taken at the end of each input.
	local []message.Message

	core        *core.Core
	coreEffects core.Effects
	handedOver  bool

	member        *member.Core
	memberEffects member.Effects

	controller        *controller.Controller
	controllerEffects controller.Effects
	work              *storeQueue
	storeUp           bool

	gossip        *gossip.Core
	gossipEffects gossip.Effects
	synced        bool // has had all placements of a peer, or is alone
	listed        bool // has had a list of the store

	evidence  evidence
	check     check
	rejoined  bool // others had lost this node; distrust the view when it changes
	published int64
	// zoneReport is the last statement on this node's own zone.
	zoneReport *message.InForce
	ticks      uint64

	watcher        bool          // this node watches the store
	watcherChanged chan struct{} // has one element after a change
}

// now gives the time of a step: it never goes back.
func (engine *engine) now() time.Duration {
	engine.last = max(engine.last, engine.clock())
	return engine.last
}

// input runs one input under the lock, and what it made this node tell itself.
// Messages to others are sent when the lock is free again, since encoding a
// large one takes time that packets would wait.
func (engine *engine) input(run func()) {
	for _, outgoing := range engine.locked(run) {
		engine.transmit(outgoing.to, outgoing.message)
	}
}

// locked runs one input and gives the messages to be sent.
func (engine *engine) locked(run func()) []outgoing {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	run()
	engine.takeLocal()
	messages := engine.outbox
	engine.outbox = nil
	return messages
}

func (engine *engine) takeLocal() {
	for len(engine.local) > 0 {
		next := engine.local[0]
		engine.local = engine.local[1:]
		engine.route(incoming{from: engine.settings.Node, address: engine.settings.ControlAddress, message: next})
	}
}

// decide is asked for each packet by the data plane.
func (engine *engine) decide(packet *core.Packet) core.Decision {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.coreStep(&core.Event{Packet: packet})
	engine.evidence.note(engine.last, packet, &engine.coreEffects.Decision)
	return engine.coreEffects.Decision
}

// coreStep gives one event to the core and sends the messages it asks for.
func (engine *engine) coreStep(event *core.Event) {
	engine.core.Step(engine.now(), event, &engine.coreEffects)
	for _, outgoing := range engine.coreEffects.Messages {
		engine.send(outgoing.To, outgoing.Message)
	}
	engine.handedOver = engine.coreEffects.HandoverDone
	engine.noteUnsure()
}

// tick drives everything that is due without input.
func (engine *engine) tick(circuitClosed bool) {
	engine.input(func() {
		engine.memberStep(&member.Event{})
		engine.gossipStep(&gossip.Event{})
		engine.ticks++
		if engine.ticks%slowTicks != 0 {
			return
		}
		engine.coreStep(&core.Event{Tick: true})
		engine.askPeers()
		engine.noteStore(circuitClosed)
		engine.repeatZoneReport()
		engine.controllerStep(&controller.Event{Tick: true})
	})
}

// receive takes one message from a peer.
func (engine *engine) receive(from incoming) {
	engine.input(func() { engine.route(from) })
}

// leave begins the planned stop.
func (engine *engine) leave() {
	engine.input(func() {
		engine.memberStep(&member.Event{Leave: true})
		engine.coreStep(&core.Event{Leave: true})
	})
}

// end tells the others that this node ends now.
func (engine *engine) end() {
	engine.input(func() { engine.memberStep(&member.Event{Stop: true}) })
}

// handoverDone tells whether every record has been handed over.
func (engine *engine) handoverDone() bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.handedOver
}
