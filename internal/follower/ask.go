package follower

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/message"
)

// wantInterval is the shortest time between two requests for what is missing.
const wantInterval = 100 * time.Millisecond

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
	patience := time.Duration(askPatienceParts * float64(core.settings.Patience))
	return core.age() >= patience || core.age() >= silence && core.now-core.heardAt >= silence
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
		effects.Messages = append(effects.Messages, Outgoing{To: asked, Message: core.wanted()})
	}
}

// maxAskDoublings bounds how far the time between two questions grows while
// nobody confirms the first view: all nodes may have started at once.
const maxAskDoublings = 2

func (core *Core) askInterval() time.Duration {
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
		asked = append(asked, core.anyPeer().Control)
	}
	if count > 0 {
		asked = append(asked, core.anyPeer().Control)
	}
	return asked
}

// farParts is the part of questions, one in so many, that go to nodes of all zones
// where the own one has enough. While hundreds start at once, a node is answered with
// some six whole views before one is confirmed: of 299 nodes before 3,000 back ends,
// starting twice, two thirds of all bytes of control between zones were such answers
// (11.8 MB of 18). The own zone hears what others know through its first node.
const farParts = 8

// anyPeer gives a peer by chance, of the own zone mostly if enough are known there.
func (core *Core) anyPeer() Peer {
	self := core.position(core.settings.Self)
	near := len(core.ranked)
	if self >= 0 {
		near--
	}
	if near < enoughPeers || core.random.IntN(farParts) == 0 {
		return core.peers[core.random.IntN(len(core.peers))]
	}
	index := core.random.IntN(near)
	if self >= 0 && index >= self {
		index++
	}
	return core.ranked[index]
}

// want asks a peer for what this node lacks.
func (core *Core) want(address netip.AddrPort, effects *Effects) {
	if !address.IsValid() || core.now < core.nextWant {
		return
	}
	core.nextWant = core.now + wantInterval
	effects.Messages = append(effects.Messages, Outgoing{To: []netip.AddrPort{address}, Message: core.wanted()})
}

// wanted is what this node asks for: what has changed after its own view, or the next
// part of that if some have come.
func (core *Core) wanted() message.ViewWant {
	return message.ViewWant{After: core.replica.Revision(), From: core.assembly.Next()}
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
	if core.replica.Follows(want.After) && want.From == 0 {
		if told := core.replica.Tell(core.now, want.After, 0); told.Part == nil {
			effects.Messages = append(effects.Messages, Outgoing{To: []netip.AddrPort{from.Address}, Message: core.telling(told)})
			return
		}
	}
	core.noteLong(longWant{address: from.Address, ViewWant: *want})
}

// longWant is who wants the whole view, or so much that it is told in parts.
type longWant struct {
	address netip.AddrPort
	message.ViewWant
}

// noteLong remembers who wants the whole view, or a part. They are answered together at
// the next tick, longAnswers of them; the others ask again, elsewhere too. So a
// start of the whole fleet costs its seeds no more than a few views a second.
// Who has been answered a short time ago has the answer on the way.
func (core *Core) noteLong(want longWant) {
	answeredAt, answered := core.answeredAt[want]
	if answered && core.now-answeredAt < longInterval {
		return
	}
	if len(core.wants) < longAnswers && !slices.Contains(core.wants, want) {
		core.wants = append(core.wants, want)
	}
}

// longInterval is the shortest time between two answers to the same long question of a node.
const longInterval = time.Second

// longAnswers is how many of them are sent at a tick at the most.
const longAnswers = 8

func (core *Core) answerLong(effects *Effects) {
	if len(core.wants) == 0 {
		return
	}
	maps.DeleteFunc(core.answeredAt, func(_ longWant, at time.Duration) bool { return core.now-at >= longInterval })
	askers := make(map[message.ViewWant][]netip.AddrPort)
	var asked []message.ViewWant
	for _, want := range core.wants {
		core.answeredAt[want] = core.now
		if askers[want.ViewWant] == nil {
			asked = append(asked, want.ViewWant)
		}
		askers[want.ViewWant] = append(askers[want.ViewWant], want.address)
	}
	for _, want := range asked {
		told := core.telling(core.replica.Tell(core.now, want.After, want.From))
		effects.Messages = append(effects.Messages, Outgoing{To: askers[want], Message: told})
	}
	core.wants = nil
}
