package gossip

import (
	"maps"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
	"robinpulley.example/robinpulley/internal/rendezvous"
)

// Core is the gossip of one node. It is not safe for concurrent use.
type Core struct {
	settings Settings
	random   *rand.Rand
	now      time.Duration
	started  bool
	began    time.Duration
	counters Counters

	documents   map[lb.ServiceName]*lb.Placement
	groups      [Groups]uint64 // exclusive or of the hashes of versions
	digest      uint64         // exclusive or of groups
	lastAdopted time.Duration

	members   map[lb.NodeID]lb.Zone
	near, far []lb.NodeID // of the own zone and of others, self not included
	reporters []lb.NodeID // of all zones, self included when it is one
	nearby    []lb.NodeID // reporters of the own zone

	hot     []hotVersion
	fresh   int // hot versions at the front not announced yet
	asked   map[lb.ServiceName]question
	entropy entropy
	contact contact

	recent     []adopted // for this node's reports
	reportDue  bool
	nextRound  time.Duration
	nextReport time.Duration
	reporter   *reporter // nil unless this node is one

	handoverBusy bool
	revision     int64

	// Rules switched off by tests, to show that the tests need them.
	acceptLower bool // a lower version is adopted
	trustMost   bool // a reporter takes a version as in force when most nodes have it
}

// New gives the core of a node that has no placements yet.
func New(settings Settings) (*Core, error) {
	if err := settings.check(); err != nil {
		return nil, err
	}
	return &Core{
		settings:  settings,
		random:    rand.New(rand.NewPCG(settings.Seed, xxhash.Sum64String(string(settings.Self)))),
		documents: make(map[lb.ServiceName]*lb.Placement),
		members:   make(map[lb.NodeID]lb.Zone),
		asked:     make(map[lb.ServiceName]question),
		entropy:   entropy{differs: make(map[lb.NodeID]time.Duration)},
	}, nil
}

// Digest is the hash of all versions, for the pings of the membership. It is
// zero without placements.
func (core *Core) Digest() uint64 { return core.digest }

// Counters gives the counters so far.
func (core *Core) Counters() Counters { return core.counters }

// Placement gives the document of a service, or nil.
func (core *Core) Placement(service lb.ServiceName) *lb.Placement { return core.documents[service] }

// Len is the number of services known, deleted ones included.
func (core *Core) Len() int { return len(core.documents) }

// Step takes one event at a time that never goes back and fills effects.
func (core *Core) Step(now time.Duration, event *Event, effects *Effects) {
	*effects = Effects{Messages: effects.Messages[:0], Adopted: effects.Adopted[:0], InForce: effects.InForce[:0]}
	core.now = max(now, core.now)
	core.start()
	switch {
	case event.Peer != nil:
		core.receive(event.Peer, effects)
	case event.Placements != nil:
		core.takePlacements(event.Placements, effects)
	case event.Members != nil:
		core.setMembers(event.Members)
	case event.ConfigRevision != 0:
		core.setRevision(event.ConfigRevision)
	default:
		core.tick(effects)
	}
	core.announceFresh(effects)
}

func (core *Core) start() {
	if core.started {
		return
	}
	core.started = true
	core.began = core.now
	core.contact.start(core.now)
	core.nextRound = core.now + core.jitter(core.settings.RoundInterval)
	core.nextReport = core.now + core.jitter(core.settings.ReportInterval)
}

func (core *Core) jitter(limit time.Duration) time.Duration {
	return time.Duration(core.random.Int64N(int64(limit)))
}

func (core *Core) tick(effects *Effects) {
	core.checkContact(effects)
	core.askAgain(effects)
	core.advanceSnapshot(effects)
	if core.now >= core.nextRound {
		core.nextRound = core.now + core.settings.RoundInterval
		core.announceHot(effects)
	}
	if core.reportDue || core.now >= core.nextReport {
		core.report(effects)
	}
	core.advanceReporter(effects)
}

func (core *Core) receive(event *PeerEvent, effects *Effects) {
	if event.From == core.settings.Self {
		return
	}
	core.touch(effects)
	switch received := event.Message.(type) {
	case message.Ping:
		core.compareDigest(event.From, received.Digest, effects)
	case message.PingAck:
		core.compareDigest(event.From, received.Digest, effects)
	case message.Digest:
		core.compareGroups(event.From, &received, effects)
	case message.Want:
		core.takeWant(event.From, &received, effects)
	case message.Placements:
		core.takeDocuments(&received, effects)
	case message.InForce:
		core.takeInForce(event.From, &received, effects)
	}
}

// setMembers takes a new view.
func (core *Core) setMembers(members []Member) {
	clear(core.members)
	core.near, core.far = core.near[:0], core.far[:0]
	candidates := make([]rendezvous.Candidate, 0, len(members))
	for _, member := range members {
		core.members[member.ID] = member.Zone
		if !member.Leaving {
			candidates = append(candidates, rendezvous.Candidate{ID: member.ID, Zone: member.Zone, Hash: member.ID.Hash()})
		}
		switch {
		case member.ID == core.settings.Self:
		case member.Zone == core.settings.Zone:
			core.near = append(core.near, member.ID)
		default:
			core.far = append(core.far, member.ID)
		}
	}
	slices.Sort(core.near)
	slices.Sort(core.far)
	maps.DeleteFunc(core.entropy.differs, func(id lb.NodeID, _ time.Duration) bool {
		_, present := core.members[id]
		return !present
	})
	var reporters, nearby []lb.NodeID
	for _, watcher := range rendezvous.Watchers(candidates) {
		reporters = append(reporters, watcher.ID)
		if watcher.Zone == core.settings.Zone {
			nearby = append(nearby, watcher.ID)
		}
	}
	core.setReporters(reporters, nearby)
}

// version gives the version known of a service, zero when there is none.
func (core *Core) version(service lb.ServiceName) lb.Version {
	if known := core.documents[service]; known != nil {
		return known.Version
	}
	return 0
}

// adopt takes a document with a higher version than the known one.
func (core *Core) adopt(document *lb.Placement, effects *Effects) bool {
	known := core.version(document.Service)
	if document.Version <= known && !(core.acceptLower && document.Version < known) {
		core.counters.Stale++
		return false
	}
	if err := core.settings.Validate(document); err != nil {
		core.counters.Refused++
		return false
	}
	group, serviceHash := groupOf(document.Service)
	delta := versionHash(serviceHash, document.Version)
	if known != 0 {
		delta ^= versionHash(serviceHash, known)
	}
	core.groups[group] ^= delta
	core.digest ^= delta
	core.documents[document.Service] = document
	core.lastAdopted = core.now
	delete(core.asked, document.Service)
	effects.Adopted = append(effects.Adopted, document)
	core.noteChange(document)
	return true
}

// takePlacements adopts documents and makes them news, unless they are part of
// a first load, which others get by anti-entropy.
func (core *Core) takePlacements(documents []*lb.Placement, effects *Effects) {
	news := core.entropy.synced && len(documents) <= maxNews
	for _, document := range documents {
		if !core.adopt(document, effects) {
			continue
		}
		if news {
			core.announce(document)
		}
		if news || isPrepared(document) {
			core.noteAdopted(document)
		}
	}
}

// groupOf gives the group of a service and the hash of its name.
func groupOf(service lb.ServiceName) (group int, hash uint64) {
	hash = xxhash.Sum64String(string(service))
	return int(hash % Groups), hash
}

// versionHash mixes a version into the hash of a service's name.
func versionHash(serviceHash uint64, version lb.Version) uint64 {
	high, low := bits.Mul64(serviceHash^uint64(version)*0x9e3779b97f4a7c15, 0xd6e8feb86659fd93)
	return high ^ low
}

func (core *Core) send(effects *Effects, to lb.NodeID, outgoing message.Message) {
	effects.Messages = append(effects.Messages, Outgoing{To: to, Message: outgoing})
}
