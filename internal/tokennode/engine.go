package tokennode

import (
	"net/netip"
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

// engine owns the deterministic parts of a node. One lock guards them all:
// every input takes it, steps the parts it concerns and carries out their
// effects, none of which blocks.
type engine struct {
	settings *config.Settings
	logger   zerolog.Logger
	clock    func() time.Duration // since the start of the process, monotonic
	transmit func([]netip.AddrPort, message.Message)
	// reads has the call to the store that is to be carried out.
	reads chan follower.Read
	// publications has the snapshot that is to be written.
	publications chan follower.Publication
	// holding has one element after an opening was held.
	holding chan struct{}
	// released are what look gave last, and notes their lines; one call at a time.
	released []core.Released
	notes    []note
	// viewed is closed when the first table is compiled.
	viewed chan struct{}

	mutex sync.Mutex
	last  time.Duration // of the last step
	// outbox holds messages to others until the lock is free.
	outbox []follower.Outgoing

	core            *core.Core
	coreEffects     core.Effects
	member          *member.Core
	memberEffects   member.Effects
	follower        *follower.Core
	followerEffects follower.Effects
	compiler        *steering.Compiler
	table           *steering.Table // nil: no view yet
	evidence        *outlier.Core
	evidenceEffects outlier.Effects
	outcomes        []outlier.Outcome
	load            *fleetload.Core
	loadEffects     fleetload.Effects
	loadLog         loadLog
	place           tree.Place
	asked           map[netip.AddrPort]bool // neighbours that were asked for open flows
	judges          bool                    // this node judges back ends for its zone
	zone            *disruption.Zone
	others          int // living members besides this node
	leaving         int // living members in a planned stop, this one included
	calls           callCounts
	decisions       decisionLog
	decisionTime    times
	callTime        times
	readAt          time.Duration // when the call under way was started
	publishAt       time.Duration // when the writing of a snapshot was started
}

// newEngine makes the deterministic parts. The caller sets clock and transmit.
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
	deciding := core.DefaultSettings(settings.Node, settings.Zone)
	deciding.Affinity = core.AffinityToken
	deciding.PauseLimit = settings.Timings.PauseLimit
	deciding.RetryAfter = settings.Timings.RetryAfter
	deciding.Overload.Off = settings.Admission == config.AdmissionOff
	deciding.AdmissionQueue.Off = deciding.Overload.Off || settings.Waiting == config.WaitingOff
	deciding.ColdStart.RateFactor = settings.Limits.ColdOverage
	deciding.ColdStart.Burst = settings.Limits.ColdSlack
	following := follower.DefaultSettings(settings.Node, settings.Zone, incarnation).
		ScaledTo(min(settings.Timings.ChangeLimit, settings.Timings.LeaveLimit, settings.Timings.EvacuationLimit))
	for _, seed := range settings.Seeds {
		if seed == settings.ControlAddress {
			following.IsSeed = true
			continue
		}
		following.Seeds = append(following.Seeds, seed)
	}
	deciding.ColdStart.SingleNode = len(following.Seeds) == 0
	return &engine{
		settings:     settings,
		logger:       logger,
		reads:        make(chan follower.Read, 1),
		publications: make(chan follower.Publication, 1),
		holding:      make(chan struct{}, 1),
		viewed:       make(chan struct{}),
		core:         core.New(deciding),
		compiler:     steering.NewCompiler(settings.Zone),
		member:       membership,
		follower:     follower.New(following),
		evidence:     outlier.New(outlier.DefaultSettings(settings.Node)),
		load:         fleetload.New(fleetload.DefaultSettings(settings.Node, settings.Zone)),
		loadLog:      newLoadLog(),
		zone:         disruption.New(disruption.DefaultSettings(settings.Node)),
		calls:        newCallCounts(),
		asked:        make(map[netip.AddrPort]bool),
		decisions:    newDecisionLog(logger),
	}, nil
}

// now gives the time of a step: it never goes back.
func (engine *engine) now() time.Duration {
	engine.last = max(engine.last, engine.clock())
	return engine.last
}

// input runs one input under the lock. Messages to others are sent when the
// lock is free again, since encoding takes time that packets would wait.
func (engine *engine) input(run func()) {
	for _, outgoing := range engine.locked(run) {
		engine.transmit(outgoing.To, outgoing.Message)
	}
}

func (engine *engine) locked(run func()) []follower.Outgoing {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	run()
	messages := engine.outbox
	engine.outbox = nil
	return messages
}

// decide is asked for each packet by the data plane.
func (engine *engine) decide(packet *core.Packet) core.Decision {
	begun := engine.clock()
	engine.mutex.Lock()
	engine.core.Step(engine.now(), &core.Event{Packet: packet}, &engine.coreEffects)
	decision := engine.coreEffects.Decision
	engine.logChanges()
	engine.decisionTime.add(engine.clock() - begun)
	note := engine.note(packet, &decision)
	engine.mutex.Unlock()
	engine.decisions.write(&note, packet, &decision)
	if decision.Action == core.ActionHold {
		engine.wakeLooking()
	}
	return decision
}

// note says what is to be written of a decision.
func (engine *engine) note(packet *core.Packet, decision *core.Decision) note {
	note := engine.decisions.note(engine.last, packet, decision)
	if note.kind != noteNone {
		note.revision, note.version = engine.viewOf()
		note.age, _ = engine.follower.Age(engine.last)
	}
	return note
}

func (engine *engine) viewOf() (revision int64, version uint64) {
	if engine.table == nil {
		return 0, 0
	}
	return engine.table.Revision(), engine.table.Version()
}

// tick drives everything that is due without input.
func (engine *engine) tick() {
	engine.input(func() {
		engine.memberStep(&member.Event{})
		engine.followerStep(&follower.Event{})
		engine.core.Step(engine.now(), &core.Event{Tick: true, ZoneContacts: engine.zonesHeard()}, &engine.coreEffects)
		engine.announceFlows(engine.coreEffects.OpenFlows, engine.place.Neighbours(netip.AddrPort{}))
		engine.noteSamples() // before others step the core, which resets its effects
		engine.logChanges()
		engine.evidenceStep(&outlier.Event{})
		engine.loadStep(&fleetload.Event{})
		if engine.table != nil && engine.loadLog.admitted.away > 0 {
			engine.logAdmitted() // it goes on rising when there is no news any more
		}
		if engine.table != nil && engine.table.Expires() != 0 && engine.last >= engine.table.Expires() {
			engine.compile()
		}
	})
}

// receive takes one message from a peer.
func (engine *engine) receive(incoming transport.Incoming) {
	engine.input(func() {
		switch received := incoming.Message.(type) {
		case message.OutcomeReport:
			engine.evidenceStep(&outlier.Event{Report: &received})
		case message.OutcomeVerdict:
			engine.evidenceStep(&outlier.Event{Verdict: &received})
		case message.LoadReport:
			engine.loadStep(&fleetload.Event{Report: &received})
		case message.LoadState:
			engine.loadStep(&fleetload.Event{State: &received})
		case message.OpenFlows:
			engine.learnFlows(&received, incoming.Address)
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

// finishRead takes the end of a call to the store.
func (engine *engine) finishRead(result *follower.ReadResult) {
	engine.input(func() {
		engine.callTime.add(engine.now() - engine.readAt)
		engine.noteCall(result)
		engine.followerStep(&follower.Event{Read: result})
	})
}

// finishPublication takes the end of the writing of a snapshot.
func (engine *engine) finishPublication(result *follower.PublishResult) {
	engine.input(func() {
		engine.now()
		engine.notePublication(result)
		engine.followerStep(&follower.Event{Published: result})
	})
}

// leave announces the planned stop; end says that this node ends now.
func (engine *engine) leave() {
	engine.input(func() {
		engine.zone.Stop(engine.now())
		engine.memberStep(&member.Event{Leave: true})
	})
}

// canSpare tells whether the zone can do without this node now.
func (engine *engine) canSpare() bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.zone.MayStop(engine.now())
}

func (engine *engine) end() {
	engine.input(func() { engine.memberStep(&member.Event{Stop: true}) })
}

// memberStep gives one event to the membership, and a changed list to the follower.
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
		engine.followerStep(&follower.Event{Peers: engine.noteMembers()})
		engine.placeInTree()
	}
}

// noteMembers tells the core and the zone of the members, gives them to the follower, and
// logs how many there are and stay.
func (engine *engine) noteMembers() []follower.Peer {
	members := engine.member.Members(nil)
	peers := make([]follower.Peer, 0, len(members))
	var known []core.Member // of the own zone: only these matter to the core with tokens
	var zone []disruption.Member
	leaving := 0
	for _, entry := range members {
		if entry.Zone == engine.settings.Zone {
			zone = append(zone, disruption.Member{ID: entry.ID, Leaving: entry.Leaving})
			known = append(known, core.Member{ID: entry.ID, Zone: entry.Zone, Leaving: entry.Leaving})
		}
		if entry.Leaving {
			leaving++
		}
		peers = append(peers, follower.Peer{ID: entry.ID, Zone: entry.Zone, Control: entry.Control, Leaving: entry.Leaving})
	}
	engine.zone.SetMembers(engine.last, zone)
	engine.core.Step(engine.last, &core.Event{Members: known}, &engine.coreEffects)
	engine.logChanges()
	engine.others = len(members) - 1
	engine.leaving = leaving
	engine.logger.Info().
		Str(logging.FieldEvent, string(logging.EventMemberChanged)).
		Int("alive", len(members)).
		Int("staying", len(members)-leaving).
		Send()
	return peers
}

// followerStep gives one event to the follower and carries out its effects.
func (engine *engine) followerStep(event *follower.Event) {
	engine.follower.Step(engine.now(), event, &engine.followerEffects)
	engine.outbox = append(engine.outbox, engine.followerEffects.Messages...)
	if engine.followerEffects.Changed {
		engine.compile()
		engine.logView(engine.followerEffects.Source)
	}
	if read := engine.followerEffects.Read; read != nil {
		engine.readAt = engine.last
		engine.reads <- *read // there is one at a time, so that it never blocks
	}
	if publication := engine.followerEffects.Publication; publication != nil {
		engine.publishAt = engine.last
		engine.publications <- *publication // likewise
	}
}

// compile gives the core the table of the present view.
func (engine *engine) compile() {
	replica := engine.follower.Replica()
	if !replica.Configured() {
		return
	}
	if engine.table == nil {
		close(engine.viewed)
	}
	engine.table = engine.compiler.Compile(replica, engine.last)
	engine.core.Step(engine.now(), &core.Event{Table: engine.table}, &engine.coreEffects)
	engine.giveServices()
	engine.giveCapacity()
}

// resolve gives the control address of a known node.
func (engine *engine) resolve(id lb.NodeID) (netip.AddrPort, bool) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.member.Resolve(id)
}

// joinRequest gives what is to be sent to seeds, and whether this node knows no other.
func (engine *engine) joinRequest() (request message.Ping, alone bool) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.member.JoinRequest(), engine.others == 0
}

// readiness tells whether this node may be sent packets, and why not.
func (engine *engine) readiness() (ready bool, reason string) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.table == nil {
		return false, "no configuration known yet"
	}
	return true, ""
}

func noPeer(lb.NodeID) (netip.AddrPort, bool) { return netip.AddrPort{}, false }
