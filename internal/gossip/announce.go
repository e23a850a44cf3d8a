package gossip

import (
	"math"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
)

// These constants limit announcements. Anti-entropy covers the placements beyond the limits.
const (
	// maxAnnouncedVersions is the maximum number of versions in one announcement, so that it fits
	// into a datagram.
	maxAnnouncedVersions = 24
	// maxAnnouncements is the maximum number of versions being announced.
	maxAnnouncements = 512
	// maxAnnouncedDocuments is the maximum number of documents of one step that are announced.
	maxAnnouncedDocuments = 128
)

// announcement is a version that the node still announces.
type announcement struct {
	message.ServiceVersion
	remainingRounds int
}

// documentRequest is a pending request for a document.
type documentRequest struct {
	version   lb.Version
	announcer lb.NodeID // the node that announced the document last
	deadline  time.Duration
}

// minRounds is the minimum number of rounds in which a version is announced, regardless of
// duplicate announcements from peers.
const minRounds = 2

// rounds returns in how many rounds a node announces a version. ln(n) announcements per node,
// Fanout of them in each round, reach all nodes with high probability. Twice as many compensate for
// message loss, and for small fleets, in which some nodes would receive too few.
func (core *Core) rounds() int {
	announcements := 2 * math.Log(float64(len(core.members)+2))
	return minRounds + int(math.Ceil(announcements/float64(core.settings.Fanout)))
}

// announce starts the announcement of a document and ends the announcement of its older version.
func (core *Core) announce(document *lb.Placement) {
	core.dropAnnouncement(document.Service)
	version := message.ServiceVersion{Service: document.Service, Version: document.Version}
	core.announcements = slices.Insert(core.announcements, core.unannounced, announcement{ServiceVersion: version, remainingRounds: core.rounds()})
	core.unannounced++
	core.announcements = core.announcements[:min(len(core.announcements), maxAnnouncements)]
	core.unannounced = min(core.unannounced, len(core.announcements))
}

func (core *Core) dropAnnouncement(service lb.ServiceName) {
	index := slices.IndexFunc(core.announcements, func(current announcement) bool { return current.Service == service })
	if index < 0 {
		return
	}
	core.announcements = slices.Delete(core.announcements, index, index+1)
	if index < core.unannounced {
		core.unannounced--
	}
}

// announceNew immediately announces the versions that this step has added.
func (core *Core) announceNew(effects *Effects) {
	for core.unannounced > 0 {
		core.announceFirst(min(core.unannounced, maxAnnouncedVersions), effects)
	}
}

// announceRound sends the announcements of one round.
func (core *Core) announceRound(effects *Effects) {
	if len(core.announcements) > 0 {
		core.announceFirst(min(len(core.announcements), maxAnnouncedVersions), effects)
	}
}

// announceFirst announces the first versions and moves them behind the others.
func (core *Core) announceFirst(count int, effects *Effects) {
	versions := make([]message.ServiceVersion, count)
	rest := slices.Clone(core.announcements[count:])
	for index, current := range core.announcements[:count] {
		versions[index] = current.ServiceVersion
		current.remainingRounds--
		if current.remainingRounds > 0 {
			rest = append(rest, current)
		}
	}
	core.announcements = rest
	core.unannounced = max(0, core.unannounced-count)
	for _, target := range core.targets() {
		core.send(effects, target, message.VersionList{Versions: versions})
	}
}

// targets returns Fanout random nodes: one of another zone and the others of the local zone, or
// more of other zones if the local zone has too few.
func (core *Core) targets() []lb.NodeID {
	targets := make([]lb.NodeID, 0, core.settings.Fanout)
	remoteCount := min(1, len(core.remotePeers))
	localCount := min(core.settings.Fanout-remoteCount, len(core.localPeers))
	targets = core.pick(targets, core.localPeers, localCount)
	return core.pick(targets, core.remotePeers, min(core.settings.Fanout-localCount, len(core.remotePeers)))
}

// pick appends distinct random nodes.
func (core *Core) pick(targets, from []lb.NodeID, count int) []lb.NodeID {
	for wanted := len(targets) + count; len(targets) < wanted; {
		if target := from[core.random.IntN(len(from))]; !slices.Contains(targets, target) {
			targets = append(targets, target)
		}
	}
	return targets
}

// handleVersionList handles a VersionList, which is an announcement or a request.
func (core *Core) handleVersionList(from lb.NodeID, list *message.VersionList, effects *Effects) {
	if len(list.Groups) == 0 && !list.Reply {
		core.handleAnnouncement(from, list.Versions, effects)
		return
	}
	core.answerVersionList(from, list, effects)
}

// handleAnnouncement requests the documents that are newer at the peer, and announces the versions
// that are newer at this node.
func (core *Core) handleAnnouncement(from lb.NodeID, versions []message.ServiceVersion, effects *Effects) {
	var requested, newer []message.ServiceVersion
	for _, announced := range versions {
		known := message.ServiceVersion{Service: announced.Service, Version: core.version(announced.Service)}
		switch {
		case known.Version < announced.Version:
			if core.shouldRequest(from, announced) {
				requested = append(requested, known)
			}
		case known.Version > announced.Version:
			newer = append(newer, known)
		default:
			core.recordDuplicate(announced.Service)
		}
	}
	if len(requested) > 0 {
		core.send(effects, from, message.VersionList{Versions: requested, Reply: true})
	}
	if len(newer) > 0 {
		core.send(effects, from, message.VersionList{Versions: newer})
	}
}

// shouldRequest reports whether to request the document from this node now. If a request is
// pending, it records the node as the one to send the next request to.
func (core *Core) shouldRequest(from lb.NodeID, announced message.ServiceVersion) bool {
	pending, found := core.requests[announced.Service]
	if found && pending.version >= announced.Version && core.now < pending.deadline {
		pending.announcer = from
		core.requests[announced.Service] = pending
		return false
	}
	core.requests[announced.Service] = documentRequest{version: announced.Version, announcer: from, deadline: core.now + core.settings.RequestTimeout}
	return true
}

// retryRequests requests each overdue document from the node that announced it last.
func (core *Core) retryRequests(effects *Effects) {
	var late []lb.ServiceName
	for service, pending := range core.requests {
		if core.now >= pending.deadline {
			late = append(late, service)
		}
	}
	slices.Sort(late) // map iteration order is random
	for _, service := range late {
		pending := core.requests[service]
		delete(core.requests, service)
		if _, alive := core.members[pending.announcer]; !alive || core.version(service) >= pending.version {
			continue
		}
		core.send(effects, pending.announcer, message.VersionList{
			Versions: []message.ServiceVersion{{Service: service, Version: core.version(service)}},
			Reply:    true,
		})
	}
}

// recordDuplicate counts an announcement of a known version as a sign that the version has spread:
// it reduces the remaining rounds by one, but not below minRounds.
func (core *Core) recordDuplicate(service lb.ServiceName) {
	for index := range core.announcements {
		if core.announcements[index].Service != service || index < core.unannounced {
			continue
		}
		core.announcements[index].remainingRounds = max(core.announcements[index].remainingRounds-1, min(core.announcements[index].remainingRounds, minRounds))
		return
	}
}

// handlePlacements adopts documents from a peer.
func (core *Core) handlePlacements(received *message.Placements, effects *Effects) {
	documents := make([]*lb.Placement, len(received.Placements))
	for index := range received.Placements {
		documents[index] = &received.Placements[index]
	}
	core.adoptPlacements(documents, effects)
	core.antiEntropy.nextSnapshot = max(core.antiEntropy.nextSnapshot, core.now+snapshotRetryInterval/2)
}
