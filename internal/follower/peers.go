package follower

import (
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
	core.zone = nil
	core.heads = nil
	core.rank = 0
	zones := make(map[lb.Zone]Peer)
	self := rendezvous.Candidate{ID: core.settings.Self, Hash: core.settings.Self.Hash()}
	stays := false
	for _, peer := range peers {
		if peer.ID == core.settings.Self {
			stays = true
			continue
		}
		core.peers = append(core.peers, peer)
		candidate := candidateOf(&peer)
		if peer.Zone == core.settings.Zone {
			core.zone = append(core.zone, peer)
			if rendezvous.Before(readerKey, &candidate, &self) {
				core.rank++
			}
			continue
		}
		head, found := zones[peer.Zone]
		headCandidate := candidateOf(&head)
		if !found || rendezvous.Before(readerKey, &candidate, &headCandidate) {
			zones[peer.Zone] = peer
		}
	}
	if !stays {
		core.rank = len(core.zone) // others read first while this node leaves
	}
	for _, head := range zones {
		core.heads = append(core.heads, head)
	}
	slices.SortFunc(core.heads, func(left, right Peer) int { return left.Control.Compare(right.Control) })
}

func candidateOf(peer *Peer) rendezvous.Candidate {
	return rendezvous.Candidate{ID: peer.ID, Hash: peer.ID.Hash()}
}

// tells tells whether this node is one that others hear of the view from: the
// first of its zone, or one that reads the store.
func (core *Core) tells() bool {
	return core.rank == 0 || core.hasRead && core.now-core.readAt < core.settings.Patience
}

// sendDigest tells the zone, and the first nodes of the others, how new the view is.
func (core *Core) sendDigest(effects *Effects) {
	crowd := len(core.zone) + len(core.heads)
	core.nextDigest = core.now + max(core.settings.DigestInterval, core.settings.DigestPerPeer*time.Duration(crowd))
	digest := message.ViewDigest{
		Revision:  core.replica.Revision(),
		Changed:   core.replica.Changed(),
		AgeMillis: core.age().Milliseconds(),
	}
	core.spread(digest, effects)
}

func (core *Core) spread(told message.Message, effects *Effects) {
	for _, peers := range [...][]Peer{core.zone, core.heads} {
		for _, peer := range peers {
			effects.Messages = append(effects.Messages, Outgoing{To: peer.Control, Message: told})
		}
	}
}

// push tells the zone what changed after a revision, unasked.
func (core *Core) push(after int64, effects *Effects) {
	if after == 0 {
		return // this node has just started; others know it already
	}
	core.spread(core.delta(after), effects)
}

func (core *Core) delta(after int64) message.ViewDelta {
	return message.ViewDelta{AgeMillis: core.age().Milliseconds(), Delta: *core.replica.Delta(core.now, after)}
}

// askForView asks seeds and peers for the whole view.
func (core *Core) askForView(effects *Effects) {
	if core.now < core.nextWant {
		return
	}
	core.nextWant = core.now + 2*wantInterval
	for _, seed := range core.settings.Seeds {
		effects.Messages = append(effects.Messages, Outgoing{To: seed, Message: message.ViewWant{}})
	}
	if len(core.peers) > 0 {
		peer := core.peers[core.random.IntN(len(core.peers))]
		effects.Messages = append(effects.Messages, Outgoing{To: peer.Control, Message: message.ViewWant{}})
	}
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
	core.heardAt = core.now
	switch {
	case digest.Changed > core.replica.Revision():
		core.want(from.Address, effects)
	case digest.Revision >= core.replica.Revision() && core.replica.Revision() > 0:
		core.replica.Advance(digest.Revision)
		core.confirm(core.now - time.Duration(digest.AgeMillis)*time.Millisecond)
	}
}

// want asks a peer for what this node lacks.
func (core *Core) want(address netip.AddrPort, effects *Effects) {
	if !address.IsValid() || core.now < core.nextWant {
		return
	}
	core.nextWant = core.now + wantInterval
	wanted := message.ViewWant{After: core.replica.Revision()}
	effects.Messages = append(effects.Messages, Outgoing{To: address, Message: wanted})
}

func (core *Core) answerWant(from *PeerMessage, want *message.ViewWant, effects *Effects) {
	if !from.Address.IsValid() || core.replica.Revision() <= want.After {
		return
	}
	effects.Messages = append(effects.Messages, Outgoing{To: from.Address, Message: core.delta(want.After)})
}

func (core *Core) takeDelta(from *PeerMessage, told *message.ViewDelta, effects *Effects) {
	core.heardAt = core.now
	if told.Delta.After > core.replica.Revision() {
		core.want(from.Address, effects)
		return
	}
	applied, changed := core.replica.ApplyDelta(core.now, &told.Delta)
	if !applied {
		return
	}
	core.confirm(core.now - time.Duration(told.AgeMillis)*time.Millisecond)
	if !changed {
		return
	}
	core.noteChange(effects, string(from.From))
	if core.tells() {
		core.sendDigest(effects)
	}
}
