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

// ticksPerCoreTick is the number of ticks of the membership and the gossip per tick of the core and
// the controller.
const ticksPerCoreTick = uint64(core.TickInterval / tickInterval)

// engine owns the deterministic state machines of a node: the decision core, the membership, the
// controller and the gossip. One mutex guards all of them: every input acquires it, steps the state
// machines concerned and executes their effects, none of which blocks.
type engine struct {
	settings  *config.Settings
	logger    zerolog.Logger
	clock     func() time.Duration // since the start of the process, monotonic
	transmit  transmitter
	directory *directory
	partition *partition
	// beforeAdoption, if set, is called with each placement before the core adopts it.
	beforeAdoption func(*lb.Placement)

	mutex    sync.Mutex
	lastStep time.Duration // time of the last step
	// outbox holds messages to other nodes until the mutex is released.
	outbox []outgoing
	// selfMessages holds messages of this node to itself, which are processed at the end of each
	// input.
	selfMessages []message.Message

	core        *core.Core
	coreEffects core.Effects
	handedOver  bool

	member        *member.Core
	memberEffects member.Effects

	controller        *controller.Controller
	controllerEffects controller.Effects
	storeRequests     *storeRequestQueue
	storeUp           bool

	gossip        *gossip.Core
	gossipEffects gossip.Effects
	synced        bool // has received all placements of a peer, or there is no peer
	storeListed   bool // has received a complete list from the store

	openings  openingMonitor
	viewCheck viewCheck
	// rejoined is set after other members had removed this node or its zone. The next change of
	// members then marks the view as unverified.
	rejoined          bool
	publishedRevision int64
	// zoneReport is the last in-force report on the local zone.
	zoneReport *message.InForce
	ticks      uint64

	watcher        bool          // this node watches the store
	watcherChanged chan struct{} // holds one element after a change
}

// now returns the time of a step. It never decreases.
func (engine *engine) now() time.Duration {
	engine.lastStep = max(engine.lastStep, engine.clock())
	return engine.lastStep
}

// runInput runs one input under the mutex and processes the resulting messages of this node to
// itself. It sends messages to other nodes after it has released the mutex, because encoding a
// large message takes time during which packets would wait.
func (engine *engine) runInput(run func()) {
	for _, outgoing := range engine.runLocked(run) {
		engine.transmit(outgoing.to, outgoing.message)
	}
}

// runLocked runs one input under the mutex and returns the messages to send.
func (engine *engine) runLocked(run func()) []outgoing {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	run()
	engine.processSelfMessages()
	messages := engine.outbox
	engine.outbox = nil
	return messages
}

// processSelfMessages dispatches the messages of this node to itself, including those that they
// result in.
func (engine *engine) processSelfMessages() {
	for len(engine.selfMessages) > 0 {
		next := engine.selfMessages[0]
		engine.selfMessages = engine.selfMessages[1:]
		engine.dispatch(incoming{from: engine.settings.Node, address: engine.settings.ControlAddress, message: next})
	}
}

// decide returns the decision on a packet. The data plane calls it for each packet.
func (engine *engine) decide(packet *core.Packet) core.Decision {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.coreStep(&core.Event{Packet: packet})
	engine.openings.recordDecision(engine.lastStep, packet, &engine.coreEffects.Decision)
	return engine.coreEffects.Decision
}

// coreStep steps the core with an event and sends the resulting messages.
func (engine *engine) coreStep(event *core.Event) {
	engine.core.Step(engine.now(), event, &engine.coreEffects)
	for _, outgoing := range engine.coreEffects.Messages {
		engine.send(outgoing.To, outgoing.Message)
	}
	engine.handedOver = engine.coreEffects.HandoverDone
	engine.updateUnverified()
}

// tick steps all state machines, for their work that is triggered by time instead of input.
// circuitClosed is whether the store is available.
func (engine *engine) tick(circuitClosed bool) {
	engine.runInput(func() {
		engine.memberStep(&member.Event{})
		engine.gossipStep(&gossip.Event{})
		engine.ticks++
		if engine.ticks%ticksPerCoreTick != 0 {
			return
		}
		engine.coreStep(&core.Event{Tick: true})
		engine.requestDigests()
		engine.setStoreUp(circuitClosed)
		engine.reapplyZoneReport()
		engine.controllerStep(&controller.Event{Tick: true})
	})
}

// receive processes one message from a peer.
func (engine *engine) receive(from incoming) {
	engine.runInput(func() { engine.dispatch(from) })
}

// beginLeave starts the planned stop: it announces the stop to the other members, and makes the
// core hand over its records.
func (engine *engine) beginLeave() {
	engine.runInput(func() {
		engine.memberStep(&member.Event{Leave: true})
		engine.coreStep(&core.Event{Leave: true})
	})
}

// announceStop announces to the other members that this node stops now.
func (engine *engine) announceStop() {
	engine.runInput(func() { engine.memberStep(&member.Event{Stop: true}) })
}

// handoverDone reports whether every record has been handed over.
func (engine *engine) handoverDone() bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.handedOver
}
