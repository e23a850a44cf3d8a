package follower

import (
	"net/netip"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
	"robinpulley.example/robinpulley/internal/view"
)

// tells tells whether this node is one that others hear of the view from: who
// reads for them, and where nobody is heard to, the first of each zone.
func (core *Core) tells() bool {
	if !core.confirmed {
		return false
	}
	return core.acting || core.rank == 0 && core.now-core.heardAt >= missedDigests*core.settings.DigestInterval
}

// missedDigests is how many digest intervals without a word make the first of
// a zone tell it what it knows: one may be lost.
const missedDigests = 2

// digest says how new the view is.
func (core *Core) digest(route message.Route) message.ViewDigest {
	return message.ViewDigest{
		Revision:  core.replica.Revision(),
		LastNews:  core.replica.LastNews(),
		AgeMillis: core.age().Milliseconds(),
		Reading:   core.readingNow(),
		Route:     route,
	}
}

// sendDigest tells the fleet how new the view is.
func (core *Core) sendDigest(effects *Effects) {
	core.nextDigest = core.now + core.settings.DigestInterval
	core.spread(effects, func(route message.Route) message.Message { return core.digest(route) })
}

// spread tells the first nodes of the other zones, which pass it on there, and
// the own zone, through the tree of which this node is the root.
func (core *Core) spread(effects *Effects, told func(message.Route) message.Message) {
	core.send(told(message.Route{ForZone: true}), core.heads, effects)
	core.tellZone(effects, told)
}

func (core *Core) tellZone(effects *Effects, told func(message.Route) message.Message) {
	core.send(told(message.Route{Origin: core.settings.Self}), core.children(core.settings.Self), effects)
}

// passOn tells those whom a route names, with this node in its place in the tree.
func (core *Core) passOn(route message.Route, effects *Effects, told func(message.Route) message.Message) {
	switch {
	case route.ForZone:
		core.tellZone(effects, told)
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
	count := len(core.ranked)
	if position < 0 || root < 0 {
		return nil
	}
	place := (position - root + count) % count
	var children []Peer
	for child := place*core.settings.TreeWidth + 1; child <= (place+1)*core.settings.TreeWidth && child < count; child++ {
		children = append(children, core.ranked[(child+root)%count])
	}
	return children
}

// push tells the zone what changed after a revision, unasked.
func (core *Core) push(after int64, effects *Effects) {
	if after == 0 {
		return // this node has just started; others know it already
	}
	changed := core.replica.Tell(core.now, after, 0)
	if changed.Part != nil {
		core.sendDigest(effects) // they ask for it, in parts
		return
	}
	delta := core.telling(changed)
	core.spread(effects, func(route message.Route) message.Message {
		delta.Route = route
		return delta
	})
}

// telling says who reads and how old the view is with what it tells.
func (core *Core) telling(told *view.Delta) message.ViewDelta {
	delta := message.ViewDelta{Reading: core.readingNow(), Delta: *told}
	if !core.confirmed {
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
		core.takeDigest(from, &received, effects)
	case message.ViewWant:
		core.answerWant(from, &received, effects)
	case message.ViewDelta:
		core.takeDelta(from, &received, effects)
	}
}

func (core *Core) takeDigest(from *PeerMessage, digest *message.ViewDigest, effects *Effects) {
	news := core.now-core.heardAt >= core.settings.DigestInterval/2
	core.heardAt = core.now
	reader := core.reader
	core.noteReader(digest.Reading, digest.Route)
	news = news || core.reader != reader
	confirmedAt := core.now - time.Duration(digest.AgeMillis)*time.Millisecond
	switch {
	case digest.LastNews > core.replica.Revision():
		core.want(from.Address, effects)
		news = true
	case digest.Revision >= core.replica.Revision() && core.replica.Revision() > 0:
		news = news || confirmedAt-core.confirmedAt >= leastNews
		core.replica.Advance(digest.Revision)
		core.confirm(confirmedAt)
	}
	if news {
		core.passOn(digest.Route, effects, func(route message.Route) message.Message {
			passed := *digest
			passed.Route = route
			return passed
		})
	}
}

// leastNews is by how much a digest must make a node's view younger to be
// passed on: when many nodes read, as at the start of a fleet, one word does.
const leastNews = 200 * time.Millisecond

func (core *Core) takeDelta(from *PeerMessage, told *message.ViewDelta, effects *Effects) {
	core.heardAt = core.now
	core.noteReader(told.Reading, told.Route)
	if told.Delta.After > core.replica.Revision() {
		core.want(from.Address, effects)
		return
	}
	if told.Delta.Part != nil {
		core.takePart(from, told, effects)
		return
	}
	core.noteAge()
	applied, changed := core.replica.ApplyDelta(core.now, &told.Delta)
	core.passOn(told.Route, effects, func(route message.Route) message.Message {
		passed := *told
		passed.Route = route
		return passed
	})
	if !applied {
		return
	}
	core.assembly = view.Assembly{} // its parts were asked for after an older revision
	if !told.Unconfirmed {
		core.confirm(core.now - time.Duration(told.AgeMillis)*time.Millisecond)
	}
	if !changed {
		return
	}
	core.noteChange(effects, string(from.From))
	if core.confirmed && told.Route == (message.Route{}) && core.rank == 0 {
		// It was asked for: the zone may lack it, too.
		core.tellZone(effects, func(route message.Route) message.Message { return core.digest(route) })
	}
}

// takePart takes a part of what this node lacks and asks for the next one, or takes it
// all when that was the last. What it gives is as old as the oldest part, so that
// nobody has confirmed it yet.
func (core *Core) takePart(from *PeerMessage, told *message.ViewDelta, effects *Effects) {
	if told.Delta.Revision <= core.replica.Revision() {
		core.assembly = view.Assembly{} // this node has learned as much in another way
		return
	}
	before := core.assembly.Next()
	delta := core.assembly.Add(&told.Delta)
	if delta == nil && core.assembly.Next() == before {
		return // it was asked for twice, or is of another delta
	}
	if delta != nil {
		core.noteAge()
		if _, changed := core.replica.ApplyDelta(core.now, delta); changed {
			core.noteChange(effects, string(from.From))
		}
	}
	core.nextWant = core.now // the question before has been answered
	core.want(from.Address, effects)
}
