package follower

import (
	"net/netip"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
	"robinpulley.example/robinpulley/internal/view"
)

// sendsDigests reports whether this node publishes digests: the designated watcher does, and if no
// messages about the view arrive, so does the first node of each zone.
func (core *Core) sendsDigests() bool {
	if !core.verified {
		return false
	}
	return core.active || core.rank == 0 && core.now-core.lastUpdateAt >= missedDigestLimit*core.settings.DigestInterval
}

// missedDigestLimit is the number of digest intervals without a message after which the first node
// of a zone sends digests to it. One digest may be lost.
const missedDigestLimit = 2

// digest returns a message that states how current the view is.
func (core *Core) digest(route message.Route) message.ViewDigest {
	return message.ViewDigest{
		Revision:           core.replica.Revision(),
		MinCurrentRevision: core.replica.MinCurrentRevision(),
		AgeMillis:          core.age().Milliseconds(),
		WatcherStatus:      core.watcherStatus(),
		Route:              route,
	}
}

// sendDigest sends a digest to the fleet.
func (core *Core) sendDigest(effects *Effects) {
	core.nextDigest = core.now + core.settings.DigestInterval
	core.disseminate(effects, func(route message.Route) message.Message { return core.digest(route) })
}

// disseminate sends a message to the first nodes of the other zones, which forward it there, and to
// the local zone through the tree rooted at this node. newMessage creates the message for a route.
func (core *Core) disseminate(effects *Effects, newMessage func(message.Route) message.Message) {
	core.send(newMessage(message.Route{ForZone: true}), core.relays, effects)
	core.sendToZone(effects, newMessage)
}

// sendToZone sends a message to the local zone through the tree rooted at this node.
func (core *Core) sendToZone(effects *Effects, newMessage func(message.Route) message.Message) {
	core.send(newMessage(message.Route{Origin: core.settings.Self}), core.children(core.settings.Self), effects)
}

// forward forwards a message along its route, from this node's position in the tree.
func (core *Core) forward(route message.Route, effects *Effects, newMessage func(message.Route) message.Message) {
	switch {
	case route.ForZone:
		core.sendToZone(effects, newMessage)
	case route.Origin != "":
		core.send(newMessage(route), core.children(route.Origin), effects)
	}
}

// send adds a message to several peers to effects.
func (core *Core) send(outgoing message.Message, peers []Peer, effects *Effects) {
	if len(peers) == 0 {
		return
	}
	addresses := make([]netip.AddrPort, len(peers))
	for index := range peers {
		addresses[index] = peers[index].Control
	}
	effects.Messages = append(effects.Messages, Outgoing{To: addresses, Message: outgoing})
}

// children returns the nodes of the zone to which this node forwards a message from the origin. The
// nodes of the zone form a tree with TreeFanout children per node, ordered by rank and rooted at
// the origin, so that no node sends more than TreeFanout copies, however large the zone is. If the
// memberships of nodes differ, the trees may omit a node; it then sends a request after the next
// digest, or reads the store itself.
func (core *Core) children(origin lb.NodeID) []Peer {
	position := core.position(core.settings.Self)
	root := core.position(origin)
	count := len(core.zoneNodes)
	if position < 0 || root < 0 {
		return nil
	}
	treeIndex := (position - root + count) % count
	var children []Peer
	for child := treeIndex*core.settings.TreeFanout + 1; child <= (treeIndex+1)*core.settings.TreeFanout && child < count; child++ {
		children = append(children, core.zoneNodes[(child+root)%count])
	}
	return children
}

// pushDelta sends the changes after a revision to the fleet without a request.
func (core *Core) pushDelta(after int64, effects *Effects) {
	if after == 0 {
		return // this node has just started; the others have this view already
	}
	update := core.replica.DeltaPart(core.now, after, 0)
	if update.Part != nil {
		core.sendDigest(effects) // the receivers request the delta in parts
		return
	}
	outgoing := core.deltaMessage(update)
	core.disseminate(effects, func(route message.Route) message.Message {
		outgoing.Route = route
		return outgoing
	})
}

// deltaMessage returns a message with a delta, the designated watcher and the age of the view.
func (core *Core) deltaMessage(update *view.Delta) message.ViewDelta {
	outgoing := message.ViewDelta{WatcherStatus: core.watcherStatus(), Delta: *update}
	if !core.verified {
		outgoing.Unverified = true
		return outgoing
	}
	outgoing.AgeMillis = core.age().Milliseconds()
	return outgoing
}

// receive processes a message from a peer.
func (core *Core) receive(from *PeerMessage, effects *Effects) {
	switch received := from.Message.(type) {
	case message.ViewDigest:
		core.applyDigest(from, &received, effects)
	case message.ViewRequest:
		core.answerRequest(from, &received, effects)
	case message.ViewDelta:
		core.applyDelta(from, &received, effects)
	}
}

// applyDigest applies a digest. It forwards the digest only if it contains something new to this
// node: if it is the first one after a pause, names another watcher, announces changes that this
// node lacks, or makes the view's age noticeably lower.
func (core *Core) applyDigest(from *PeerMessage, digest *message.ViewDigest, effects *Effects) {
	relevant := core.now-core.lastUpdateAt >= core.settings.DigestInterval/2
	core.lastUpdateAt = core.now
	previousWatcher := core.watcher
	core.updateWatcher(digest.WatcherStatus, digest.Route)
	relevant = relevant || core.watcher != previousWatcher
	verifiedAt := core.timeBefore(digest.AgeMillis)
	switch {
	case digest.MinCurrentRevision > core.replica.Revision():
		core.requestFrom(from.Address, effects)
		relevant = true
	case digest.Revision >= core.replica.Revision() && core.replica.Revision() > 0:
		relevant = relevant || verifiedAt-core.verifiedAt >= minAgeGain
		core.replica.Advance(digest.Revision)
		core.markVerified(verifiedAt)
	}
	if relevant {
		core.forward(digest.Route, effects, func(route message.Route) message.Message {
			forwarded := *digest
			forwarded.Route = route
			return forwarded
		})
	}
}

// minAgeGain is the minimum amount by which a digest must reduce the age of a node's view to be
// forwarded. When many nodes read at once, as at the start of a fleet, one digest is enough.
const minAgeGain = 200 * time.Millisecond

// applyDelta applies a delta and forwards it along its route.
func (core *Core) applyDelta(from *PeerMessage, received *message.ViewDelta, effects *Effects) {
	core.lastUpdateAt = core.now
	core.updateWatcher(received.WatcherStatus, received.Route)
	if received.Delta.After > core.replica.Revision() {
		core.requestFrom(from.Address, effects)
		return
	}
	if received.Delta.Part != nil {
		core.applyPart(from, received, effects)
		return
	}
	core.setReplicaContact(core.mayHaveWaited())
	applied, changed := core.replica.ApplyDelta(core.now, &received.Delta)
	core.forward(received.Route, effects, func(route message.Route) message.Message {
		forwarded := *received
		forwarded.Route = route
		return forwarded
	})
	if !applied {
		return
	}
	core.assembly = view.Assembly{} // its parts start at an older revision
	if !received.Unverified {
		core.markVerified(core.timeBefore(received.AgeMillis))
	}
	if !changed {
		return
	}
	core.recordChange(effects, string(from.From))
	if core.verified && received.Route == (message.Route{}) && core.rank == 0 {
		// This node requested the delta, so the rest of the zone may lack it too.
		core.sendToZone(effects, func(route message.Route) message.Message { return core.digest(route) })
	}
}

// applyPart adds a part of the requested delta and requests the next one. After the last part, it
// applies the complete delta. The delta is only as current as its oldest part, so that it does not
// verify the view.
func (core *Core) applyPart(from *PeerMessage, received *message.ViewDelta, effects *Effects) {
	if received.Delta.Revision <= core.replica.Revision() {
		core.assembly = view.Assembly{} // the view has reached this revision by other means
		return
	}
	expected := core.assembly.NextBucket()
	delta := core.assembly.Add(&received.Delta)
	if delta == nil && core.assembly.NextBucket() == expected {
		return // a duplicate, or a part of another delta
	}
	if delta != nil {
		core.setReplicaContact(true)
		if _, changed := core.replica.ApplyDelta(core.now, delta); changed {
			core.recordChange(effects, string(from.From))
		}
	}
	core.nextRequest = core.now // the previous request has been answered
	core.requestFrom(from.Address, effects)
}
