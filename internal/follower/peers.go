package follower

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
	"robinpulley.example/robinpulley/internal/rendezvous"
)

// readerKey ranks the nodes of a zone for reading the store.
var readerKey = rendezvous.NewKey("readers")

// wantInterval is the shortest time between two requests for what is missing.
const wantInterval = 100 * time.Millisecond

// setPeers ranks the nodes of each zone.
func (core *Core) setPeers(peers []Peer) {
	core.peers = core.peers[:0]
	core.ranked = nil
	core.leaves = false
	for _, peer := range peers {
		if peer.ID != core.settings.Self {
			core.peers = append(core.peers, peer)
		} else {
			core.leaves = peer.Leaving
		}
		if peer.Zone == core.settings.Zone {
			core.ranked = append(core.ranked, peer)
		}
	}
	slices.SortFunc(core.ranked, compareRank)
	core.rank = core.position(core.settings.Self)
	if core.rank < 0 {
		core.rank = len(core.ranked) // it has been taken for dead: others read first
	}
	core.setHeads()
	core.checkReader()
}

// position is the place of a node of the own zone by rank; -1: it is not there.
func (core *Core) position(id lb.NodeID) int {
	return slices.IndexFunc(core.ranked, func(peer Peer) bool { return peer.ID == id })
}

// setHeads finds the first node of each other zone.
func (core *Core) setHeads() {
	first := make(map[lb.Zone]Peer)
	for _, peer := range core.peers {
		head, found := first[peer.Zone]
		if !found || compareRank(peer, head) < 0 {
			first[peer.Zone] = peer
		}
	}
	delete(first, core.settings.Zone)
	core.zoneRank = 0
	for _, head := range first {
		if len(core.ranked) == 0 || compareRank(head, core.ranked[0]) < 0 {
			core.zoneRank++
		}
	}
	core.heads = slices.SortedFunc(maps.Values(first), func(left, right Peer) int {
		return left.Control.Compare(right.Control)
	})
}

// compareRank orders nodes by rank, those that leave behind the others.
func compareRank(left, right Peer) int {
	if left.Leaving != right.Leaving {
		if right.Leaving {
			return -1
		}
		return 1
	}
	first, second := candidateOf(&left), candidateOf(&right)
	if rendezvous.Before(readerKey, &first, &second) {
		return -1
	}
	return 1
}

func candidateOf(peer *Peer) rendezvous.Candidate {
	return rendezvous.Candidate{ID: peer.ID, Hash: peer.ID.Hash()}
}

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
	delta := core.delta(after)
	core.spread(effects, func(route message.Route) message.Message {
		delta.Route = route
		return delta
	})
}

func (core *Core) delta(after int64) message.ViewDelta {
	delta := message.ViewDelta{Reading: core.readingNow(), Delta: *core.replica.Delta(core.now, after)}
	if !core.confirmed {
		delta.Unconfirmed = true
		return delta
	}
	delta.AgeMillis = core.age().Milliseconds()
	return delta
}

// Parts of the time after which a node reads by itself, when it asks others first.
const (
	askSilenceParts  = 0.75
	askPatienceParts = 0.9 // above the age that a view has when the reader's watch ends
)

// lacksWord tells whether this node is to ask others for the view: it has none
// that anybody has confirmed, or will soon have to read by itself.
func (core *Core) lacksWord() bool {
	if !core.confirmed {
		return true
	}
	if core.acting {
		return false
	}
	silence := time.Duration(askSilenceParts * float64(core.settings.SilenceLimit))
	return core.age() >= core.askAge() || core.age() >= silence && core.now-core.heardAt >= silence
}

// askAge is the age of the view from which on this node asks others, since its patience ends soon.
func (core *Core) askAge() time.Duration {
	return time.Duration(askPatienceParts * float64(core.settings.Patience))
}

// askForView asks a seed and a peer for the view, or for what is missing in
// one that nobody has confirmed, unless the store has just been asked and will
// answer sooner.
func (core *Core) askForView(effects *Effects) {
	if core.now < core.nextWant || core.now-core.startAt < wantInterval {
		return
	}
	core.nextWant = core.now + core.askInterval()
	if asked := core.whomToAsk(); len(asked) > 0 {
		wanted := message.ViewWant{After: core.replica.Revision()}
		effects.Messages = append(effects.Messages, Outgoing{To: asked, Message: wanted})
	}
}

// maxAskDoublings bounds how far the time between two questions grows while
// nobody confirms the first view: all nodes may have started at once.
const maxAskDoublings = 2

func (core *Core) askInterval() time.Duration {
	if core.confirmed && core.age() >= core.askAge() && core.age() < core.settings.PatienceLimit {
		return wantInterval // there is little time, and no outage yet
	}
	if core.confirmed {
		return core.settings.DigestInterval
	}
	interval := 2 * wantInterval << min(core.asked, maxAskDoublings)
	core.asked++
	return interval
}

// enoughPeers is how many peers a node must know to leave the seeds in peace.
const enoughPeers = 8

// whomToAsk gives a peer by chance, and another one or, where few are known, a seed.
func (core *Core) whomToAsk() []netip.AddrPort {
	var asked []netip.AddrPort
	count := len(core.peers)
	if seeds := len(core.settings.Seeds); seeds > 0 && count < enoughPeers {
		asked = append(asked, core.settings.Seeds[core.random.IntN(seeds)])
	} else if count > 0 {
		asked = append(asked, core.peers[core.random.IntN(count)].Control)
	}
	if count > 0 {
		asked = append(asked, core.peers[core.random.IntN(count)].Control)
	}
	return asked
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

// want asks a peer for what this node lacks.
func (core *Core) want(address netip.AddrPort, effects *Effects) {
	if !address.IsValid() || core.now < core.nextWant {
		return
	}
	core.nextWant = core.now + wantInterval
	wanted := message.ViewWant{After: core.replica.Revision()}
	effects.Messages = append(effects.Messages, Outgoing{To: []netip.AddrPort{address}, Message: wanted})
}

func (core *Core) answerWant(from *PeerMessage, want *message.ViewWant, effects *Effects) {
	if !from.Address.IsValid() || core.replica.Revision() == 0 || core.replica.Revision() < want.After {
		return
	}
	if core.replica.Revision() == want.After {
		if core.confirmed {
			core.send(core.digest(message.Route{}), []Peer{{Control: from.Address}}, effects)
		}
		return
	}
	if want.After == 0 || !core.replica.Follows(want.After) {
		core.noteWhole(from.Address)
		return
	}
	effects.Messages = append(effects.Messages, Outgoing{To: []netip.AddrPort{from.Address}, Message: core.delta(want.After)})
}

// noteWhole remembers who wants the whole view. They are answered together at
// the next tick, wholeAnswers of them; the others ask again, elsewhere too. So a
// start of the whole fleet costs its seeds no more than a few views a second.
// Who has been answered a short time ago has the answer on the way.
func (core *Core) noteWhole(address netip.AddrPort) {
	answeredAt, answered := core.answeredAt[address]
	if answered && core.now-answeredAt < wholeInterval {
		return
	}
	if len(core.wholes) < wholeAnswers && !slices.Contains(core.wholes, address) {
		core.wholes = append(core.wholes, address)
	}
}

// wholeInterval is the shortest time between two whole views for one node.
const wholeInterval = time.Second

// wholeAnswers is how many whole views are sent at a tick at the most.
const wholeAnswers = 8

func (core *Core) answerWholes(effects *Effects) {
	if len(core.wholes) == 0 {
		return
	}
	effects.Messages = append(effects.Messages, Outgoing{To: core.wholes, Message: core.delta(0)})
	maps.DeleteFunc(core.answeredAt, func(_ netip.AddrPort, at time.Duration) bool { return core.now-at >= wholeInterval })
	for _, address := range core.wholes {
		core.answeredAt[address] = core.now
	}
	core.wholes = nil
}

func (core *Core) takeDelta(from *PeerMessage, told *message.ViewDelta, effects *Effects) {
	core.heardAt = core.now
	core.noteReader(told.Reading, told.Route)
	if told.Delta.After > core.replica.Revision() {
		core.want(from.Address, effects)
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
