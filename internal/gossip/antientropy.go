package gossip

import (
	"cmp"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
)

// These constants limit anti-entropy.
const (
	// maxGroupsCompared is the maximum number of groups that one exchange covers.
	maxGroupsCompared = 8
	// targetMessageBytes is the target size of one Placements message. It is above
	// transport.BulkLineBytes, so that an initial load uses the bulk budget.
	targetMessageBytes = 64 << 10
	// largeAnswerBytes limits the placements sent in answer to one request per second,
	// smallAnswerBytes those in answer to all other requests.
	largeAnswerBytes = 512 << 10
	smallAnswerBytes = 32 << 10
	// maxExchangeDelay is the time after which an exchange starts even if changes keep arriving.
	maxExchangeDelay = 10 * time.Second
	// snapshotRetryInterval is how long a starting node waits for more placements before it repeats
	// its requests.
	snapshotRetryInterval = 2 * time.Second
)

// antiEntropy is the state of anti-entropy and of the initial load.
type antiEntropy struct {
	synced          bool
	nextExchange    time.Duration // earliest time of the next exchange
	nextLargeAnswer time.Duration // earliest time of the next large answer
	nextSnapshot    time.Duration
	// differsSince contains, for each peer whose digest differs from this node's, the time at which
	// the difference was first seen. It is kept per peer because a few nodes that lack the same
	// placements agree with each other, but still differ from all others.
	differsSince map[lb.NodeID]time.Duration
}

// compareDigest evaluates the digest of a probe. Digests differ briefly after each change, so an
// exchange starts only after they have differed for a while.
func (core *Core) compareDigest(from lb.NodeID, digest uint64, effects *Effects) {
	if digest == core.digest {
		delete(core.antiEntropy.differsSince, from)
		// A peer without placements may be starting as well.
		if digest != 0 || core.now-core.startedAt >= core.settings.ContactTimeout {
			core.markSynced(effects)
		}
		return
	}
	since, known := core.antiEntropy.differsSince[from]
	if !known {
		since = core.now
		core.antiEntropy.differsSince[from] = since
	}
	stable := core.now-core.lastAdopted >= core.settings.StableInterval &&
		core.now-since >= core.settings.StableInterval
	overdue := core.now-since >= maxExchangeDelay
	if (!stable && !overdue) || core.now < core.antiEntropy.nextExchange {
		return
	}
	core.antiEntropy.nextExchange = core.now + core.settings.StableInterval + core.jitter(core.settings.StableInterval)
	core.send(effects, from, message.Digest{Groups: slices.Clone(core.groups[:]), All: core.digest})
}

func (core *Core) markSynced(effects *Effects) {
	if !core.antiEntropy.synced {
		core.antiEntropy.synced = true
		effects.Synced = true
	}
}

// compareGroups answers a Digest with this node's versions in the groups that differ.
func (core *Core) compareGroups(from lb.NodeID, received *message.Digest, effects *Effects) {
	if len(received.Groups) != Groups || received.All == core.digest {
		return
	}
	var differing []uint16
	offset := core.random.IntN(Groups)
	for index := range Groups {
		group := (offset + index) % Groups
		if received.Groups[group] != core.groups[group] && len(differing) < maxGroupsCompared {
			differing = append(differing, uint16(group))
		}
	}
	if len(differing) > 0 {
		core.send(effects, from, message.VersionList{Groups: differing, Versions: core.versionsIn(differing)})
	}
}

// versionsIn returns the versions of all services in some groups, sorted by name.
func (core *Core) versionsIn(groups []uint16) []message.ServiceVersion {
	var versions []message.ServiceVersion
	for service, document := range core.documents {
		if group, _ := groupOf(service); slices.Contains(groups, uint16(group)) {
			versions = append(versions, message.ServiceVersion{Service: service, Version: document.Version})
		}
	}
	slices.SortFunc(versions, func(left, right message.ServiceVersion) int { return cmp.Compare(left.Service, right.Service) })
	return versions[:min(len(versions), message.MaxVersions)]
}

// answerVersionList sends the documents that are newer at this node, and requests the ones that are
// newer at the peer.
func (core *Core) answerVersionList(from lb.NodeID, list *message.VersionList, effects *Effects) {
	listed := make(map[lb.ServiceName]bool, len(list.Versions))
	var newer []*lb.Placement
	var requested []message.ServiceVersion
	for _, peerVersion := range list.Versions {
		listed[peerVersion.Service] = true
		known := core.documents[peerVersion.Service]
		switch {
		case known != nil && known.Version > peerVersion.Version:
			newer = append(newer, known)
		case !list.Reply && peerVersion.Version > core.version(peerVersion.Service):
			requested = append(requested, message.ServiceVersion{Service: peerVersion.Service, Version: core.version(peerVersion.Service)})
		}
	}
	if len(list.Groups) > 0 {
		for _, own := range core.versionsIn(list.Groups) {
			if !listed[own.Service] {
				newer = append(newer, core.documents[own.Service])
			}
		}
	}
	core.sendDocuments(from, newer, effects)
	if len(requested) > 0 {
		core.send(effects, from, message.VersionList{Versions: requested, Reply: true})
	}
}

// sendDocuments sends placements in messages of limited size. It omits documents beyond the limit;
// the receiver requests them again, from this node or from another one.
func (core *Core) sendDocuments(to lb.NodeID, documents []*lb.Placement, effects *Effects) {
	allowed := smallAnswerBytes
	if core.now >= core.antiEntropy.nextLargeAnswer {
		allowed = largeAnswerBytes
	}
	var batch []lb.Placement
	batchBytes, sent := 0, 0
	for _, document := range documents {
		size := documentBytes(document)
		if sent > 0 && sent+size > allowed {
			break
		}
		if len(batch) > 0 && batchBytes+size > targetMessageBytes {
			core.send(effects, to, message.Placements{Placements: batch})
			batch, batchBytes = nil, 0
		}
		batch = append(batch, *document)
		batchBytes += size
		sent += size
	}
	if len(batch) > 0 {
		core.send(effects, to, message.Placements{Placements: batch})
	}
	if sent > smallAnswerBytes {
		core.antiEntropy.nextLargeAnswer = core.now + time.Second
	}
}

// These are the sizes of the JSON of a placement, rounded up from documents with 14 back ends.
const (
	placementBytes         = 250
	placedBackendBytes     = 110
	weightedBackendBytes   = 22
	frontendBytes          = 60
	generationBytes        = 24
	historyTextNumerator   = 4
	historyTextDenominator = 3
)

// documentBytes returns an estimate of the size of a placement on the wire.
func documentBytes(document *lb.Placement) int {
	size := placementBytes + len(document.Service) + frontendBytes*len(document.Frontends) +
		placedBackendBytes*len(document.Backends) + len(document.History)*historyTextNumerator/historyTextDenominator
	for index := range document.Generations {
		size += generationBytes + weightedBackendBytes*len(document.Generations[index].Backends)
	}
	return size
}

// advanceSnapshot requests a different part of the groups from each of a few peers, until this node
// has once agreed with a peer.
func (core *Core) advanceSnapshot(effects *Effects) {
	if core.antiEntropy.synced {
		return
	}
	if len(core.members) <= 1 {
		if core.now-core.startedAt >= core.settings.ContactTimeout {
			core.markSynced(effects)
		}
		return
	}
	if core.now < core.antiEntropy.nextSnapshot {
		return
	}
	core.antiEntropy.nextSnapshot = core.now + snapshotRetryInterval
	peers := core.snapshotPeers()
	groupsPerPeer := (Groups + len(peers) - 1) / len(peers)
	for index, peer := range peers {
		var groups []uint16
		for group := index * groupsPerPeer; group < min((index+1)*groupsPerPeer, Groups); group++ {
			groups = append(groups, uint16(group))
		}
		core.send(effects, peer, message.VersionList{Groups: groups, Versions: core.versionsIn(groups), Reply: true})
	}
}

// snapshotPeers returns distinct random peers, the peers of the local zone first.
func (core *Core) snapshotPeers() []lb.NodeID {
	local, remote := slices.Clone(core.localPeers), slices.Clone(core.remotePeers)
	core.random.Shuffle(len(local), func(i, j int) { local[i], local[j] = local[j], local[i] })
	core.random.Shuffle(len(remote), func(i, j int) { remote[i], remote[j] = remote[j], remote[i] })
	peers := append(local, remote...)
	return peers[:min(len(peers), core.settings.SnapshotPeers)]
}
