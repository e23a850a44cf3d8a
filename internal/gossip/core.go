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

// Core is the gossip state machine of one node. It is not safe for concurrent use.
type Core struct {
	settings  Settings
	random    *rand.Rand
	now       time.Duration
	started   bool
	startedAt time.Duration
	counters  Counters

	documents   map[lb.ServiceName]*lb.Placement
	groups      [Groups]uint64 // per group, the XOR of the hashes of all versions
	digest      uint64         // XOR of groups
	lastAdopted time.Duration

	members                 map[lb.NodeID]lb.Zone
	localPeers, remotePeers []lb.NodeID // members of the local and of other zones, without this node
	reporters               []lb.NodeID // reporters of all zones, including this node if it is one
	zoneReporters           []lb.NodeID // reporters of the local zone

	announcements []announcement
	unannounced   int // number of announcements at the front that have not been sent yet
	requests      map[lb.ServiceName]documentRequest
	antiEntropy   antiEntropy
	contact       contact

	recentAdoptions []adoption // adoptions to include in this node's reports
	reportDue       bool
	nextRound       time.Duration
	nextReport      time.Duration
	reporter        *reporter // nil unless this node is a reporter

	handoverBusy bool
	revision     int64

	// Tests disable these rules to verify that they detect a violation.
	acceptLower    bool // adopt lower versions
	acceptMajority bool // a reporter considers a version in force as soon as most nodes have it
}

// New returns the core of a node that has no placements yet.
func New(settings Settings) (*Core, error) {
	if err := settings.check(); err != nil {
		return nil, err
	}
	return &Core{
		settings:    settings,
		random:      rand.New(rand.NewPCG(settings.Seed, xxhash.Sum64String(string(settings.Self)))),
		documents:   make(map[lb.ServiceName]*lb.Placement),
		members:     make(map[lb.NodeID]lb.Zone),
		requests:    make(map[lb.ServiceName]documentRequest),
		antiEntropy: antiEntropy{differsSince: make(map[lb.NodeID]time.Duration)},
	}, nil
}

// Digest returns the hash of all versions, for the pings of the membership protocol. It is zero if
// there are no placements.
func (core *Core) Digest() uint64 { return core.digest }

// Counters returns the current counters.
func (core *Core) Counters() Counters { return core.counters }

// Placement returns the document of a service, or nil if there is none.
func (core *Core) Placement(service lb.ServiceName) *lb.Placement { return core.documents[service] }

// Len returns the number of known services, including deleted ones.
func (core *Core) Len() int { return len(core.documents) }

// Step applies one event and fills effects. now must not decrease between calls; lower values count
// as the highest one so far.
func (core *Core) Step(now time.Duration, event *Event, effects *Effects) {
	*effects = Effects{Messages: effects.Messages[:0], Adopted: effects.Adopted[:0], InForce: effects.InForce[:0]}
	core.now = max(now, core.now)
	core.start()
	switch {
	case event.Peer != nil:
		core.receive(event.Peer, effects)
	case event.Placements != nil:
		core.adoptPlacements(event.Placements, effects)
	case event.Members != nil:
		core.setMembers(event.Members)
	case event.ConfigRevision != 0:
		core.setRevision(event.ConfigRevision)
	default:
		core.tick(effects)
	}
	core.announceNew(effects)
}

func (core *Core) start() {
	if core.started {
		return
	}
	core.started = true
	core.startedAt = core.now
	core.contact.start(core.now)
	core.nextRound = core.now + core.jitter(core.settings.RoundInterval)
	core.nextReport = core.now + core.jitter(core.settings.ReportInterval)
}

func (core *Core) jitter(limit time.Duration) time.Duration {
	return time.Duration(core.random.Int64N(int64(limit)))
}

func (core *Core) tick(effects *Effects) {
	core.checkContact(effects)
	core.retryRequests(effects)
	core.advanceSnapshot(effects)
	if core.now >= core.nextRound {
		core.nextRound = core.now + core.settings.RoundInterval
		core.announceRound(effects)
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
	core.recordContact(effects)
	switch received := event.Message.(type) {
	case message.Ping:
		core.compareDigest(event.From, received.Digest, effects)
	case message.PingAck:
		core.compareDigest(event.From, received.Digest, effects)
	case message.Digest:
		core.compareGroups(event.From, &received, effects)
	case message.VersionList:
		core.handleVersionList(event.From, &received, effects)
	case message.Placements:
		core.handlePlacements(&received, effects)
	case message.InForce:
		core.handleInForce(event.From, &received, effects)
	}
}

// setMembers replaces the member list.
func (core *Core) setMembers(members []Member) {
	clear(core.members)
	core.localPeers, core.remotePeers = core.localPeers[:0], core.remotePeers[:0]
	candidates := make([]rendezvous.Candidate, 0, len(members))
	for _, member := range members {
		core.members[member.ID] = member.Zone
		if !member.Leaving {
			candidates = append(candidates, rendezvous.Candidate{ID: member.ID, Zone: member.Zone, Hash: member.ID.Hash()})
		}
		switch {
		case member.ID == core.settings.Self:
		case member.Zone == core.settings.Zone:
			core.localPeers = append(core.localPeers, member.ID)
		default:
			core.remotePeers = append(core.remotePeers, member.ID)
		}
	}
	slices.Sort(core.localPeers)
	slices.Sort(core.remotePeers)
	maps.DeleteFunc(core.antiEntropy.differsSince, func(id lb.NodeID, _ time.Duration) bool {
		_, present := core.members[id]
		return !present
	})
	var reporters, zoneReporters []lb.NodeID
	for _, watcher := range rendezvous.Watchers(candidates) {
		reporters = append(reporters, watcher.ID)
		if watcher.Zone == core.settings.Zone {
			zoneReporters = append(zoneReporters, watcher.ID)
		}
	}
	core.setReporters(reporters, zoneReporters)
}

// version returns the known version of a service, or zero if there is none.
func (core *Core) version(service lb.ServiceName) lb.Version {
	if known := core.documents[service]; known != nil {
		return known.Version
	}
	return 0
}

// adopt stores a valid document if its version is higher than the known one, and reports whether it
// did.
func (core *Core) adopt(document *lb.Placement, effects *Effects) bool {
	known := core.version(document.Service)
	if document.Version <= known && !(core.acceptLower && document.Version < known) {
		core.counters.Stale++
		return false
	}
	if err := core.settings.Validate(document); err != nil {
		core.counters.Invalid++
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
	delete(core.requests, document.Service)
	effects.Adopted = append(effects.Adopted, document)
	core.recordChange(document)
	return true
}

// adoptPlacements adopts documents and announces them, unless they are part of an initial load,
// which other nodes receive through anti-entropy.
func (core *Core) adoptPlacements(documents []*lb.Placement, effects *Effects) {
	announced := core.antiEntropy.synced && len(documents) <= maxAnnouncedDocuments
	for _, document := range documents {
		if !core.adopt(document, effects) {
			continue
		}
		if announced {
			core.announce(document)
		}
		if announced || isPrepared(document) {
			core.queueAdoption(document)
		}
	}
}

// groupOf returns the group of a service and the hash of its name.
func groupOf(service lb.ServiceName) (group int, hash uint64) {
	hash = xxhash.Sum64String(string(service))
	return int(hash % Groups), hash
}

// versionHash combines a version with the hash of the service's name.
func versionHash(serviceHash uint64, version lb.Version) uint64 {
	high, low := bits.Mul64(serviceHash^uint64(version)*0x9e3779b97f4a7c15, 0xd6e8feb86659fd93)
	return high ^ low
}

func (core *Core) send(effects *Effects, to lb.NodeID, outgoing message.Message) {
	effects.Messages = append(effects.Messages, Outgoing{To: to, Message: outgoing})
}
