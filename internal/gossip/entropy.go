package gossip

import (
	"cmp"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
)

// Bounds of anti-entropy.
const (
	// maxGroupsCompared bounds the groups settled in one exchange.
	maxGroupsCompared = 8
	// lineBytes is the aim for the size of one message of placements: above
	// transport.BulkLineBytes, so that a first load has the bulk budget.
	lineBytes = 64 << 10
	// answerBytes bounds the placements sent for one request a second, and
	// smallAnswerBytes those for the others.
	answerBytes      = 512 << 10
	smallAnswerBytes = 32 << 10
	// entropyPatience begins an exchange even though changes keep coming.
	entropyPatience = 10 * time.Second
	// snapshotRetry is how long a starting node waits for more before it asks again.
	snapshotRetry = 2 * time.Second
)

// entropy is the state of anti-entropy and of the first load.
type entropy struct {
	synced       bool
	next         time.Duration // earliest next exchange
	nextLarge    time.Duration // earliest next large answer
	nextSnapshot time.Duration
	// differs tells since when a peer's digest differs from this node's. It is
	// kept by peer: a few nodes that lack the same placements agree with each
	// other, and differ from all others no less.
	differs map[lb.NodeID]time.Duration
}

// compareDigest looks at the digest on a probe. It differs for a moment after
// each change, so an exchange begins only when it has differed for a while.
func (core *Core) compareDigest(from lb.NodeID, digest uint64, effects *Effects) {
	if digest == core.digest {
		delete(core.entropy.differs, from)
		// A peer without placements may be starting as well.
		if digest != 0 || core.now-core.began >= core.settings.ContactTimeout {
			core.markSynced(effects)
		}
		return
	}
	since, known := core.entropy.differs[from]
	if !known {
		since = core.now
		core.entropy.differs[from] = since
	}
	calm := core.now-core.lastAdopted >= core.settings.CalmInterval &&
		core.now-since >= core.settings.CalmInterval
	overdue := core.now-since >= entropyPatience
	if (!calm && !overdue) || core.now < core.entropy.next {
		return
	}
	core.entropy.next = core.now + core.settings.CalmInterval + core.jitter(core.settings.CalmInterval)
	core.send(effects, from, message.Digest{Groups: slices.Clone(core.groups[:]), All: core.digest})
}

func (core *Core) markSynced(effects *Effects) {
	if !core.entropy.synced {
		core.entropy.synced = true
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
		core.send(effects, from, message.Want{Groups: differing, Versions: core.versionsIn(differing)})
	}
}

// versionsIn lists the versions of all services in some groups, sorted by name.
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

// answerWant sends what is newer here, and asks for what is newer there.
func (core *Core) answerWant(from lb.NodeID, want *message.Want, effects *Effects) {
	listed := make(map[lb.ServiceName]bool, len(want.Versions))
	var newer []*lb.Placement
	var ask []message.ServiceVersion
	for _, theirs := range want.Versions {
		listed[theirs.Service] = true
		known := core.documents[theirs.Service]
		switch {
		case known != nil && known.Version > theirs.Version:
			newer = append(newer, known)
		case !want.Reply && theirs.Version > core.version(theirs.Service):
			ask = append(ask, message.ServiceVersion{Service: theirs.Service, Version: core.version(theirs.Service)})
		}
	}
	if len(want.Groups) > 0 {
		for _, own := range core.versionsIn(want.Groups) {
			if !listed[own.Service] {
				newer = append(newer, core.documents[own.Service])
			}
		}
	}
	core.sendDocuments(from, newer, effects)
	if len(ask) > 0 {
		core.send(effects, from, message.Want{Versions: ask, Reply: true})
	}
}

// sendDocuments sends placements in messages of bounded size. What does not
// fit the bounds is left out, and the receiver asks again: here or elsewhere.
func (core *Core) sendDocuments(to lb.NodeID, documents []*lb.Placement, effects *Effects) {
	allowed := smallAnswerBytes
	if core.now >= core.entropy.nextLarge {
		allowed = answerBytes
	}
	var batch []lb.Placement
	batchBytes, sent := 0, 0
	for _, document := range documents {
		size := documentBytes(document)
		if sent > 0 && sent+size > allowed {
			break
		}
		if len(batch) > 0 && batchBytes+size > lineBytes {
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
		core.entropy.nextLarge = core.now + time.Second
	}
}

// Sizes of the JSON of a placement, as measured on documents of 14 back ends
// and rounded up.
const (
	placementBytes         = 250
	placedBackendBytes     = 110
	weightedBackendBytes   = 22
	frontendBytes          = 60
	generationBytes        = 24
	historyTextNumerator   = 4
	historyTextDenominator = 3
)

// documentBytes estimates the size of a placement on the wire.
func documentBytes(document *lb.Placement) int {
	size := placementBytes + len(document.Service) + frontendBytes*len(document.Frontends) +
		placedBackendBytes*len(document.Backends) + len(document.History)*historyTextNumerator/historyTextDenominator
	for index := range document.Generations {
		size += generationBytes + weightedBackendBytes*len(document.Generations[index].Backends)
	}
	return size
}

// advanceSnapshot asks a few peers for a share of the groups each, until this
// node has once agreed with a peer.
func (core *Core) advanceSnapshot(effects *Effects) {
	if core.entropy.synced {
		return
	}
	if len(core.members) <= 1 {
		if core.now-core.began >= core.settings.ContactTimeout {
			core.markSynced(effects)
		}
		return
	}
	if core.now < core.entropy.nextSnapshot {
		return
	}
	core.entropy.nextSnapshot = core.now + snapshotRetry
	peers := core.snapshotPeers()
	share := (Groups + len(peers) - 1) / len(peers)
	for index, peer := range peers {
		var groups []uint16
		for group := index * share; group < min((index+1)*share, Groups); group++ {
			groups = append(groups, uint16(group))
		}
		core.send(effects, peer, message.Want{Groups: groups, Versions: core.versionsIn(groups), Reply: true})
	}
}

// snapshotPeers picks distinct peers at random, of the own zone first.
func (core *Core) snapshotPeers() []lb.NodeID {
	near, far := slices.Clone(core.near), slices.Clone(core.far)
	core.random.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	core.random.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	peers := append(near, far...)
	return peers[:min(len(peers), core.settings.SnapshotPeers)]
}
