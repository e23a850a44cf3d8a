package follower

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/message"
)

// minRequestInterval is the shortest time between two requests for what is missing.
const minRequestInterval = 100 * time.Millisecond

// Parts of the time after which a node reads by itself, when it asks others first.
const (
	requestSilenceFraction  = 0.75
	requestAgeFraction = 0.9 // above the age that a view has when the reader's watch ends
)

// shouldRequestView tells whether this node is to ask others for the view: it has none
// that anybody has confirmed, or will soon have to read by itself.
func (core *Core) shouldRequestView() bool {
	if !core.verified {
		return true
	}
	if core.active {
		return false
	}
	silence := time.Duration(requestSilenceFraction * float64(core.settings.SilenceTimeout))
	patience := time.Duration(requestAgeFraction * float64(core.settings.TakeoverAge))
	return core.age() >= patience || core.age() >= silence && core.now-core.lastUpdateAt >= silence
}

// requestView asks a seed and a peer for the view, or for what is missing in
// one that nobody has confirmed, unless the store has just been asked and will
// answer sooner.
func (core *Core) requestView(effects *Effects) {
	if core.now < core.nextRequest || core.now-core.startAt < minRequestInterval {
		return
	}
	core.nextRequest = core.now + core.nextRequestInterval()
	if asked := core.requestTargets(); len(asked) > 0 {
		effects.Messages = append(effects.Messages, Outgoing{To: asked, Message: core.viewRequest()})
	}
}

// maxRequestDoublings bounds how far the time between two questions grows while
// nobody confirms the first view: all nodes may have started at once.
const maxRequestDoublings = 2

func (core *Core) nextRequestInterval() time.Duration {
	if core.verified {
		return core.settings.DigestInterval
	}
	interval := 2 * minRequestInterval << min(core.requestCount, maxRequestDoublings)
	core.requestCount++
	return interval
}

// sufficientPeers is how many peers a node must know to leave the seeds in peace.
const sufficientPeers = 8

// requestTargets gives a peer by chance, and another one or, where few are known, a seed.
func (core *Core) requestTargets() []netip.AddrPort {
	var asked []netip.AddrPort
	count := len(core.peers)
	if seeds := len(core.settings.Seeds); seeds > 0 && count < sufficientPeers {
		asked = append(asked, core.settings.Seeds[core.random.IntN(seeds)])
	} else if count > 0 {
		asked = append(asked, core.randomPeer().Control)
	}
	if count > 0 {
		asked = append(asked, core.randomPeer().Control)
	}
	return asked
}

// crossZoneDivisor is the part of questions, one in so many, that go to nodes of all zones
// where the own one has enough. While hundreds start at once, a node is answered with
// some six whole views before one is confirmed: of 299 nodes before 3,000 back ends,
// starting twice, two thirds of all bytes of control between zones were such answers
// (11.8 MB of 18). The own zone hears what others know through its first node.
const crossZoneDivisor = 8

// randomPeer gives a peer by chance, of the own zone mostly if enough are known there.
func (core *Core) randomPeer() Peer {
	self := core.position(core.settings.Self)
	near := len(core.zoneNodes)
	if self >= 0 {
		near--
	}
	if near < sufficientPeers || core.random.IntN(crossZoneDivisor) == 0 {
		return core.peers[core.random.IntN(len(core.peers))]
	}
	index := core.random.IntN(near)
	if self >= 0 && index >= self {
		index++
	}
	return core.zoneNodes[index]
}

// requestFrom asks a peer for what this node lacks.
func (core *Core) requestFrom(address netip.AddrPort, effects *Effects) {
	if !address.IsValid() || core.now < core.nextRequest {
		return
	}
	core.nextRequest = core.now + minRequestInterval
	effects.Messages = append(effects.Messages, Outgoing{To: []netip.AddrPort{address}, Message: core.viewRequest()})
}

// viewRequest is what this node asks for: what has changed after its own view, or the next
// part of that if some have come.
func (core *Core) viewRequest() message.ViewWant {
	return message.ViewWant{After: core.replica.Revision(), From: core.assembly.NextBucket()}
}

func (core *Core) answerRequest(from *PeerMessage, want *message.ViewWant, effects *Effects) {
	if !from.Address.IsValid() || core.replica.Revision() == 0 || core.replica.Revision() < want.After {
		return
	}
	if core.replica.Revision() == want.After {
		if core.verified {
			core.send(core.digest(message.Route{}), []Peer{{Control: from.Address}}, effects)
		}
		return
	}
	if core.replica.HasHistorySince(want.After) && want.From == 0 {
		if told := core.replica.DeltaPart(core.now, want.After, 0); told.Part == nil {
			effects.Messages = append(effects.Messages, Outgoing{To: []netip.AddrPort{from.Address}, Message: core.deltaMessage(told)})
			return
		}
	}
	core.queueLargeRequest(largeRequest{address: from.Address, ViewWant: *want})
}

// largeRequest is who wants the whole view, or so much that it is told in parts.
type largeRequest struct {
	address netip.AddrPort
	message.ViewWant
}

// queueLargeRequest remembers who wants the whole view, or a part. They are answered together at
// the next tick, longAnswers of them; the others ask again, elsewhere too. So a
// start of the whole fleet costs its seeds no more than a few views a second.
// Who has been answered a short time ago has the answer on the way.
func (core *Core) queueLargeRequest(want largeRequest) {
	answeredAt, answered := core.answeredAt[want]
	if answered && core.now-answeredAt < largeAnswerInterval {
		return
	}
	if len(core.largeRequests) < maxLargeAnswers && !slices.Contains(core.largeRequests, want) {
		core.largeRequests = append(core.largeRequests, want)
	}
}

// largeAnswerInterval is the shortest time between two answers to the same long question of a node.
const largeAnswerInterval = time.Second

// maxLargeAnswers is how many of them are sent at a tick at the most.
const maxLargeAnswers = 8

func (core *Core) answerLargeRequests(effects *Effects) {
	if len(core.largeRequests) == 0 {
		return
	}
	maps.DeleteFunc(core.answeredAt, func(_ largeRequest, at time.Duration) bool { return core.now-at >= largeAnswerInterval })
	askers := make(map[message.ViewWant][]netip.AddrPort)
	var asked []message.ViewWant
	for _, want := range core.largeRequests {
		core.answeredAt[want] = core.now
		if askers[want.ViewWant] == nil {
			asked = append(asked, want.ViewWant)
		}
		askers[want.ViewWant] = append(askers[want.ViewWant], want.address)
	}
	for _, want := range asked {
		told := core.deltaMessage(core.replica.DeltaPart(core.now, want.After, want.From))
		effects.Messages = append(effects.Messages, Outgoing{To: askers[want], Message: told})
	}
	core.largeRequests = nil
}
