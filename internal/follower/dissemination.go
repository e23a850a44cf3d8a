package follower

import (
	"net/netip"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
	"robinpulley.example/robinpulley/internal/view"
)

// sendsDigests tells whether this node is one that others hear of the view from: who
// reads for them, and where nobody is heard to, the first of each zone.
func (core *Core) sendsDigests() bool {
	if !core.verified {
		return false
	}
	return core.active || core.rank == 0 && core.now-core.lastUpdateAt >= missedDigestLimit*core.settings.DigestInterval
}

// missedDigestLimit is how many digest intervals without a word make the first of
// a zone tell it what it knows: one may be lost.
const missedDigestLimit = 2

// digest says how new the view is.
func (core *Core) digest(route message.Route) message.ViewDigest {
	return message.ViewDigest{
		Revision:  core.replica.Revision(),
		LastNews:  core.replica.MinCurrentRevision(),
		AgeMillis: core.age().Milliseconds(),
		Reading:   core.watcherStatus(),
		Route:     route,
	}
}

// sendDigest tells the fleet how new the view is.
func (core *Core) sendDigest(effects *Effects) {
	core.nextDigest = core.now + core.settings.DigestInterval
	core.disseminate(effects, func(route message.Route) message.Message { return core.digest(route) })
}

// disseminate tells the first nodes of the other zones, which pass it on there, and
// the own zone, through the tree of which this node is the root.
func (core *Core) disseminate(effects *Effects, told func(message.Route) message.Message) {
	core.send(told(message.Route{ForZone: true}), core.relays, effects)
	core.sendToZone(effects, told)
}

func (core *Core) sendToZone(effects *Effects, told func(message.Route) message.Message) {
	core.send(told(message.Route{Origin: core.settings.Self}), core.children(core.settings.Self), effects)
}

// forward tells those whom a route names, with this node in its place in the tree.
func (core *Core) forward(route message.Route, effects *Effects, told func(message.Route) message.Message) {
	switch {
	case route.ForZone:
		core.sendToZone(effects, told)
	case route.Origin != "":
		core.send(told(route), core.children(route.Origin), effects)
	}
}

func (core *Core) send(told message.Message, peers []Peer, effects *Effects) {
	if len(peers) == 0 {
		return
	}
	addresses := make([]netip.AddrPort, len(peers))
	for index := range peers {
		addresses[index] = peers[index].Control
	}
	effects.Messages = append(effects.Messages, Outgoing{To: addresses, Message: told})
}

// children gives the nodes of the zone that this one tells of what the origin
// has said: a tree of TreeWidth over the nodes by rank, with the origin as its
// root, so that no node sends more than TreeWidth messages, however many nodes
// the zone has. Nodes whose views of the zone differ may leave somebody out;
// that one reads by itself or asks after the next digest.
func (core *Core) children(origin lb.NodeID) []Peer {
	position := core.position(core.settings.Self)
	root := core.position(origin)
	count := len(core.zoneNodes)
	if position < 0 || root < 0 {
		return nil
	}
	place := (position - root + count) % count
	var children []Peer
	for child := place*core.settings.TreeFanout + 1; child <= (place+1)*core.settings.TreeFanout && child < count; child++ {
		children = append(children, core.zoneNodes[(child+root)%count])
	}
	return children
}

// pushDelta tells the zone what changed after a revision, unasked.
func (core *Core) pushDelta(after int64, effects *Effects) {
	if after == 0 {
		return // this node has just started; others know it already
	}
	changed := core.replica.DeltaPart(core.now, after, 0)
	if changed.Part != nil {
		core.sendDigest(effects) // they ask for it, in parts
		return
	}
	delta := core.deltaMessage(changed)
	core.disseminate(effects, func(route message.Route) message.Message {
		delta.Route = route
		return delta
	})
}

// deltaMessage says who reads and how old the view is with what it tells.
func (core *Core) deltaMessage(told *view.Delta) message.ViewDelta {
	delta := message.ViewDelta{Reading: core.watcherStatus(), Delta: *told}
	if !core.verified {
		delta.Unconfirmed = true
		return delta
	}
	delta.AgeMillis = core.age().Milliseconds()
	return delta
}

// receive takes a message of a peer.
func (core *Core) receive(from *PeerMessage, effects *Effects) {
	switch received := from.Message.(type) {
	case message.ViewDigest:
		core.applyDigest(from, &received, effects)
	case message.ViewWant:
		core.answerRequest(from, &received, effects)
	case message.ViewDelta:
		core.applyDelta(from, &received, effects)
	}
}

func (core *Core) applyDigest(from *PeerMessage, digest *message.ViewDigest, effects *Effects) {
	news := core.now-core.lastUpdateAt >= core.settings.DigestInterval/2
	core.lastUpdateAt = core.now
	reader := core.watcher
	core.updateWatcher(digest.Reading, digest.Route)
	news = news || core.watcher != reader
	confirmedAt := core.now - time.Duration(digest.AgeMillis)*time.Millisecond
	switch {
	case digest.LastNews > core.replica.Revision():
		core.requestFrom(from.Address, effects)
		news = true
	case digest.Revision >= core.replica.Revision() && core.replica.Revision() > 0:
		news = news || confirmedAt-core.verifiedAt >= minAgeGain
		core.replica.Advance(digest.Revision)
		core.markVerified(confirmedAt)
	}
	if news {
		core.forward(digest.Route, effects, func(route message.Route) message.Message {
			passed := *digest
			passed.Route = route
			return passed
		})
	}
}

// minAgeGain is by how much a digest must make a node's view younger to be
// passed on: when many nodes read, as at the start of a fleet, one word does.
const minAgeGain = 200 * time.Millisecond

func (core *Core) applyDelta(from *PeerMessage, told *message.ViewDelta, effects *Effects) {
	core.lastUpdateAt = core.now
	core.updateWatcher(told.Reading, told.Route)
	if told.Delta.After > core.replica.Revision() {
		core.requestFrom(from.Address, effects)
		return
	}
	if told.Delta.Part != nil {
		core.applyPart(from, told, effects)
		return
	}
	core.setReplicaAge()
	applied, changed := core.replica.ApplyDelta(core.now, &told.Delta)
	core.forward(told.Route, effects, func(route message.Route) message.Message {
		passed := *told
		passed.Route = route
		return passed
	})
	if !applied {
		return
	}
	core.assembly = view.Assembly{} // its parts were asked for after an older revision
	if !told.Unconfirmed {
		core.markVerified(core.now - time.Duration(told.AgeMillis)*time.Millisecond)
	}
	if !changed {
		return
	}
	core.recordChange(effects, string(from.From))
	if core.verified && told.Route == (message.Route{}) && core.rank == 0 {
		// It was asked for: the zone may lack it, too.
		core.sendToZone(effects, func(route message.Route) message.Message { return core.digest(route) })
	}
}

// applyPart takes a part of what this node lacks and asks for the next one, or takes it
// all when that was the last. What it gives is as old as the oldest part, so that
// nobody has confirmed it yet.
func (core *Core) applyPart(from *PeerMessage, told *message.ViewDelta, effects *Effects) {
	if told.Delta.Revision <= core.replica.Revision() {
		core.assembly = view.Assembly{} // this node has learned as much in another way
		return
	}
	before := core.assembly.NextBucket()
	delta := core.assembly.Add(&told.Delta)
	if delta == nil && core.assembly.NextBucket() == before {
		return // it was asked for twice, or is of another delta
	}
	if delta != nil {
		core.setReplicaAge()
		if _, changed := core.replica.ApplyDelta(core.now, delta); changed {
			core.recordChange(effects, string(from.From))
		}
	}
	core.nextRequest = core.now // the question before has been answered
	core.requestFrom(from.Address, effects)
}
