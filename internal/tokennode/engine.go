package tokennode

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"robinpulley.example/robinpulley/internal/config"
	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/disruption"
	"robinpulley.example/robinpulley/internal/fleetload"
	"robinpulley.example/robinpulley/internal/follower"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/logging"
	"robinpulley.example/robinpulley/internal/member"
	"robinpulley.example/robinpulley/internal/message"
	"robinpulley.example/robinpulley/internal/outlier"
	"robinpulley.example/robinpulley/internal/steering"
	"robinpulley.example/robinpulley/internal/transport"
	"robinpulley.example/robinpulley/internal/tree"
)

// engine owns the deterministic state machines of a node, such as the decision core, the
// membership and the follower of the store. One mutex guards all of them: every input acquires it,
// steps the state machines concerned and executes their effects, none of which blocks.
type engine struct {
	settings *config.Settings
	logger   zerolog.Logger
	clock    func() time.Duration // since the start of the process, monotonic
	transmit func([]netip.AddrPort, message.Message)
	// storeReads holds the next call to the store.
	storeReads chan follower.Read
	// publications holds the next snapshot to be written to the store.
	publications chan follower.Publication
	// openingHeld holds one element after an opening was held.
	openingHeld chan struct{}
	// releasedOpenings and releasedLines are the result of the last call of stepQueue and its log
	// lines. Node.queueMutex serializes these calls.
	releasedOpenings []core.Released
	releasedLines    []decisionLine
	// viewAvailable is closed when the first table is compiled, at firstTableAt.
	viewAvailable chan struct{}
	firstTableAt  time.Duration

	mutex    sync.Mutex
	lastStep time.Duration // time of the last step
	// outbox holds messages to other nodes until the mutex is released.
	outbox []follower.Outgoing

	core            *core.Core
	coreEffects     core.Effects
	member          *member.Core
	memberEffects   member.Effects
	follower        *follower.Core
	followerEffects follower.Effects
	compiler        *steering.Compiler
	table           *steering.Table // nil before the first view
	outliers        *outlier.Core
	outlierEffects  outlier.Effects
	outcomes        []outlier.Outcome
	load            *fleetload.Core
	loadEffects     fleetload.Effects
	loadLog         loadLog
	treePlace       tree.Place
	// flowsRequested contains the tree neighbours to which a request for open flows was sent.
	flowsRequested map[netip.AddrPort]bool
	// evaluatesOutliers is set while this node is the root of its zone's tree. The root node
	// evaluates the outcome reports of the zone.
	evaluatesOutliers bool
	zoneDisruption    *disruption.Zone
	otherMembers      int              // alive members, this node excluded
	contacts          []netip.AddrPort // nodes that the snapshot names which this node read at its start
	leavingMembers    int              // alive members in a planned stop, this node included
	calls             callCounts
	decisions         decisionLog
	decisionTime      durationHistogram
	callTime          durationHistogram
	readStarted       time.Duration // start of the current call to the store
	publishStarted    time.Duration // start of the current snapshot write
}

// newEngine creates the engine and its state machines. The caller sets clock and transmit.
func newEngine(settings *config.Settings, logger zerolog.Logger, incarnation uint64) (*engine, error) {
	self := member.Machine{
		ID:      settings.Node,
		Zone:    settings.Zone,
		Control: settings.ControlAddress,
		Data:    settings.DataAddress,
	}
	membership, err := member.New(member.DefaultSettings(self, incarnation, incarnation))
	if err != nil {
		return nil, err
	}
	coreSettings := core.DefaultSettings(settings.Node, settings.Zone)
	coreSettings.Affinity = core.AffinityToken
	coreSettings.PauseLimit = settings.Timings.PauseLimit
	coreSettings.RetryAfter = settings.Timings.RetryAfter
	coreSettings.Overload.Off = settings.Admission == config.AdmissionOff
	coreSettings.AdmissionQueue.Off = coreSettings.Overload.Off || settings.AdmissionQueue == config.AdmissionQueueOff
	coreSettings.ColdStart.RateFactor = settings.Limits.ColdOverage
	coreSettings.ColdStart.Burst = settings.Limits.ColdSlack
	followerSettings := follower.DefaultSettings(settings.Node, settings.Zone, incarnation).
		ScaledTo(min(settings.Timings.ChangeLimit, settings.Timings.LeaveLimit, settings.Timings.EvacuationLimit))
	for _, seed := range settings.Seeds {
		if seed == settings.ControlAddress {
			followerSettings.IsSeed = true
			continue
		}
		followerSettings.Seeds = append(followerSettings.Seeds, seed)
	}
	coreSettings.ColdStart.SingleNode = len(followerSettings.Seeds) == 0
	return &engine{
		settings:       settings,
		logger:         logger,
		storeReads:     make(chan follower.Read, 1),
		publications:   make(chan follower.Publication, 1),
		openingHeld:    make(chan struct{}, 1),
		viewAvailable:  make(chan struct{}),
		core:           core.New(coreSettings),
		compiler:       steering.NewCompiler(steering.Settings{Zone: settings.Zone, LeaveLimit: settings.Timings.LeaveLimit}),
		member:         membership,
		follower:       follower.New(followerSettings),
		outliers:       outlier.New(outlier.DefaultSettings(settings.Node)),
		load:           fleetload.New(fleetload.DefaultSettings(settings.Node, settings.Zone)),
		loadLog:        newLoadLog(),
		zoneDisruption: disruption.New(disruption.DefaultSettings(settings.Node)),
		calls:          newCallCounts(),
		flowsRequested: make(map[netip.AddrPort]bool),
		decisions:      newDecisionLog(logger),
	}, nil
}

// now returns the time of a step. It never decreases.
func (engine *engine) now() time.Duration {
	engine.lastStep = max(engine.lastStep, engine.clock())
	return engine.lastStep
}

// runInput runs one input under the mutex. It sends the resulting messages to other nodes after it
// has released the mutex, because encoding them takes time during which packets would wait.
func (engine *engine) runInput(run func()) {
	for _, outgoing := range engine.runLocked(run) {
		engine.transmit(outgoing.To, outgoing.Message)
	}
}

// runLocked runs one input under the mutex and returns the messages to send.
func (engine *engine) runLocked(run func()) []follower.Outgoing {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	run()
	messages := engine.outbox
	engine.outbox = nil
	return messages
}

// decide returns the decision on a packet. The data plane calls it for each packet.
func (engine *engine) decide(packet *core.Packet) core.Decision {
	started := engine.clock()
	engine.mutex.Lock()
	engine.compileExpired()
	engine.core.Step(engine.lastStep, &core.Event{Packet: packet}, &engine.coreEffects)
	decision := engine.coreEffects.Decision
	engine.processCoreChanges()
	engine.decisionTime.observe(engine.clock() - started)
	line := engine.decisionLine(packet, &decision)
	engine.mutex.Unlock()
	engine.decisions.write(&line, packet, &decision)
	if decision.Action == core.ActionHold {
		engine.wakeQueueRetry()
	}
	return decision
}

// decisionLine returns the log line for a decision, with the revision, version and age of the view.
func (engine *engine) decisionLine(packet *core.Packet, decision *core.Decision) decisionLine {
	line := engine.decisions.prepare(engine.lastStep, packet, decision)
	if line.kind != lineNone {
		line.revision, line.version = engine.viewVersion()
		line.age, _ = engine.follower.Age(engine.lastStep)
	}
	return line
}

// viewVersion returns the store revision and the configuration version of the current table, or
// zeros before the first view.
func (engine *engine) viewVersion() (revision int64, version uint64) {
	if engine.table == nil {
		return 0, 0
	}
	return engine.table.Revision(), engine.table.Version()
}

// tick steps all state machines, for their work that is triggered by time instead of input.
func (engine *engine) tick() {
	engine.runInput(func() {
		engine.memberStep(&member.Event{})
		engine.followerStep(&follower.Event{})
		engine.core.Step(engine.now(), &core.Event{Tick: true, ZoneContacts: engine.zoneContacts()}, &engine.coreEffects)
		engine.announceFlows(engine.coreEffects.OpenFlows, engine.treePlace.Neighbours(netip.AddrPort{}))
		engine.forwardLoadSamples() // before the next step of the core, which resets its effects
		engine.processCoreChanges()
		engine.outlierStep(&outlier.Event{})
		engine.loadStep(&fleetload.Event{})
		if engine.table != nil && engine.loadLog.admissionRates.deviating > 0 {
			engine.logAdmissionRates() // admission rates go on rising without further load updates
		}
		engine.compileExpired()
	})
}

// receive processes one message from a peer.
func (engine *engine) receive(incoming transport.Incoming) {
	engine.runInput(func() {
		switch received := incoming.Message.(type) {
		case message.OutcomeReport:
			engine.outlierStep(&outlier.Event{Report: &received})
		case message.OutcomeVerdict:
			engine.outlierStep(&outlier.Event{Verdict: &received})
		case message.LoadReport:
			engine.loadStep(&fleetload.Event{Report: &received})
		case message.LoadState:
			engine.loadStep(&fleetload.Event{State: &received})
		case message.OpenFlows:
			engine.applyOpenFlows(&received, incoming.Address)
		case message.Ping, message.PingAck, message.PingReq, message.Members:
			engine.memberStep(&member.Event{Peer: &member.PeerEvent{
				From: incoming.From, Address: incoming.Address, Message: incoming.Message,
			}})
		default:
			engine.followerStep(&follower.Event{Message: &follower.PeerMessage{
				From: incoming.From, Address: incoming.Address, Message: incoming.Message,
			}})
		}
	})
}

// finishRead processes the result of a call to the store.
func (engine *engine) finishRead(result *follower.ReadResult) {
	engine.runInput(func() {
		engine.callTime.observe(engine.now() - engine.readStarted)
		engine.recordCall(result)
		engine.followerStep(&follower.Event{Read: result})
	})
}

// finishPublication processes the result of writing a snapshot.
func (engine *engine) finishPublication(result *follower.PublishResult) {
	engine.runInput(func() {
		engine.now()
		engine.recordPublication(result)
		engine.followerStep(&follower.Event{Published: result})
	})
}

// announceLeave announces a planned stop to the other members.
func (engine *engine) announceLeave() {
	engine.runInput(func() {
		engine.zoneDisruption.Stop(engine.now())
		engine.memberStep(&member.Event{Leave: true})
	})
}

// mayStop reports whether the zone can serve without this node now.
func (engine *engine) mayStop() bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.zoneDisruption.MayStop(engine.now())
}

// announceStop announces to the other members that this node stops now.
func (engine *engine) announceStop() {
	engine.runInput(func() { engine.memberStep(&member.Event{Stop: true}) })
}

// memberStep steps the membership with an event and executes the effects. If the list of members
// has changed, it passes the list on to the other state machines.
func (engine *engine) memberStep(event *member.Event) {
	engine.member.Step(engine.now(), event, &engine.memberEffects)
	for _, outgoing := range engine.memberEffects.Messages {
		engine.outbox = append(engine.outbox, follower.Outgoing{
			To: []netip.AddrPort{outgoing.Address}, Message: outgoing.Message,
		})
	}
	for _, batch := range engine.memberEffects.Batches {
		engine.outbox = append(engine.outbox, follower.Outgoing{To: batch.To, Message: batch.Message})
	}
	if engine.memberEffects.Changed {
		engine.followerStep(&follower.Event{Peers: engine.applyMembers()})
		engine.updateTreePlace()
	}
}

// applyMembers passes the current members to the core and to the zone's disruption state, logs
// their number, and returns them in the form of the follower.
func (engine *engine) applyMembers() []follower.Peer {
	members := engine.member.Members(nil)
	peers := make([]follower.Peer, 0, len(members))
	var coreMembers []core.Member // of the local zone; with affinity token the core uses no others
	var zoneMembers []disruption.Member
	leaving := 0
	for _, entry := range members {
		if entry.Zone == engine.settings.Zone {
			zoneMembers = append(zoneMembers, disruption.Member{ID: entry.ID, Leaving: entry.Leaving})
			coreMembers = append(coreMembers, core.Member{ID: entry.ID, Zone: entry.Zone, Leaving: entry.Leaving})
		}
		if entry.Leaving {
			leaving++
		}
		peers = append(peers, follower.Peer{ID: entry.ID, Zone: entry.Zone, Control: entry.Control, Leaving: entry.Leaving})
	}
	engine.zoneDisruption.SetMembers(engine.lastStep, zoneMembers)
	engine.core.Step(engine.lastStep, &core.Event{Members: coreMembers}, &engine.coreEffects)
	engine.processCoreChanges()
	engine.otherMembers = len(members) - 1
	engine.leavingMembers = leaving
	engine.logger.Info().
		Str(logging.FieldEvent, string(logging.EventMemberChanged)).
		Int("alive", len(members)).
		Int("staying", len(members)-leaving).
		Send()
	return peers
}

// followerStep steps the follower with an event and executes its effects.
func (engine *engine) followerStep(event *follower.Event) {
	engine.follower.Step(engine.now(), event, &engine.followerEffects)
	engine.outbox = append(engine.outbox, engine.followerEffects.Messages...)
	if contacts := engine.followerEffects.Contacts; len(contacts) > 0 {
		engine.contacts = contacts
	}
	if engine.followerEffects.Changed {
		engine.compile()
		engine.logView(engine.followerEffects.Source)
	}
	if read := engine.followerEffects.Read; read != nil {
		engine.readStarted = engine.lastStep
		engine.storeReads <- *read // never blocks: there is at most one call at a time
	}
	if publication := engine.followerEffects.Publication; publication != nil {
		engine.publishStarted = engine.lastStep
		engine.publications <- *publication // never blocks, for the same reason
	}
}

// compile compiles the current view into a table and passes it to the core.
func (engine *engine) compile() {
	replica := engine.follower.Replica()
	if !replica.Configured() {
		return
	}
	if engine.table == nil {
		engine.firstTableAt = engine.lastStep
		close(engine.viewAvailable)
	}
	engine.table = engine.compiler.Compile(replica, engine.lastStep)
	engine.core.Step(engine.now(), &core.Event{Table: engine.table}, &engine.coreEffects)
	engine.updateOutlierServices()
	engine.updateCapacity()
}

// compileExpired compiles the view again if the roles of back ends in the table have changed with
// time alone. Decisions must not wait for the next tick with this: ticks may be late, and a back end
// that has left must get no opening after its time.
func (engine *engine) compileExpired() {
	now := engine.now()
	if engine.table != nil && engine.table.Expires() != 0 && now >= engine.table.Expires() {
		engine.compile()
	}
}

// resolve returns the control address of a known node.
func (engine *engine) resolve(id lb.NodeID) (netip.AddrPort, bool) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.member.Resolve(id)
}

// joinRequest returns the request to send to seeds, or to the contacts if this node knows no other
// member, which alone states.
func (engine *engine) joinRequest() (request message.Ping, alone bool, contacts []netip.AddrPort) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.member.JoinRequest(), engine.otherMembers == 0, engine.contacts
}

// aloneTimeout is how long after its first view a node without contact to another one is not ready.
// It would send packets of open flows by tokens that others know to be wrong. If no other node is
// alive, waiting longer would help nobody.
const aloneTimeout = 400 * time.Millisecond

// readiness reports whether this node can decide on packets, and the reason if not.
func (engine *engine) readiness() (ready bool, reason string) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	switch {
	case engine.table == nil:
		return false, "no configuration known yet"
	case engine.otherMembers == 0 && engine.clock() < engine.firstTableAt+aloneTimeout && engine.expectsMembers():
		return false, "no other balancer known yet"
	}
	return true, ""
}

// expectsMembers reports whether this node knows an address of another node.
func (engine *engine) expectsMembers() bool {
	isOther := func(address netip.AddrPort) bool { return address != engine.settings.ControlAddress }
	return slices.ContainsFunc(engine.settings.Seeds, isOther) || slices.ContainsFunc(engine.contacts, isOther)
}

// noPeerAddress is the data plane's lookup of peer addresses. With affinity token, nodes do not
// relay packets to each other.
func noPeerAddress(lb.NodeID) (netip.AddrPort, bool) { return netip.AddrPort{}, false }
