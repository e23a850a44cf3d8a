package follower

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/message"
)

// minRequestInterval is the minimum time between two requests for missing changes.
const minRequestInterval = 100 * time.Millisecond

// A node requests the view from peers before it reads the store itself. These are the fractions of
// the respective limits after which it does so.
const (
	requestNoUpdateFraction = 0.75
	requestAgeFraction      = 0.9 // of TakeoverAge; larger than the age of a view at the end of the designated watcher's watch
)

// shouldRequestView reports whether this node should request the view from peers: its view has not
// been verified yet, or the node would soon have to read the store itself.
func (core *Core) shouldRequestView() bool {
	if !core.verified {
		return true
	}
	if core.active {
		return false
	}
	noUpdateLimit := time.Duration(requestNoUpdateFraction * float64(core.settings.NoUpdateTimeout))
	ageLimit := time.Duration(requestAgeFraction * float64(core.settings.TakeoverAge))
	return core.age() >= ageLimit || core.age() >= noUpdateLimit && core.now-core.lastUpdateAt >= noUpdateLimit
}

// requestView requests the view, or the changes that this node lacks, from the nodes that
// requestTargets selects. It sends nothing shortly after the start, when a read of the store is
// under way and will be answered sooner, or shortly after the last request.
func (core *Core) requestView(effects *Effects) {
	if core.now < core.nextRequest || core.now-core.startAt < minRequestInterval {
		return
	}
	core.nextRequest = core.now + core.nextRequestInterval()
	if targets := core.requestTargets(); len(targets) > 0 {
		effects.Messages = append(effects.Messages, Outgoing{To: targets, Message: core.viewRequest()})
	}
}

// maxRequestDoublings bounds the growth of the time between two requests while nobody verifies the
// first view: all nodes may have started at the same time.
const maxRequestDoublings = 2

// nextRequestInterval returns the time until the next request, which grows until the first view is
// verified.
func (core *Core) nextRequestInterval() time.Duration {
	if core.verified {
		return core.settings.DigestInterval
	}
	interval := 2 * minRequestInterval << min(core.requestCount, maxRequestDoublings)
	core.requestCount++
	return interval
}

// sufficientPeers is the number of peers from which on a node no longer sends requests to the
// seeds.
const sufficientPeers = 8

// requestTargets returns the addresses of two random peers. If few peers are known, a random seed
// replaces one of them.
func (core *Core) requestTargets() []netip.AddrPort {
	var targets []netip.AddrPort
	count := len(core.peers)
	if seeds := len(core.settings.Seeds); seeds > 0 && count < sufficientPeers {
		targets = append(targets, core.settings.Seeds[core.random.IntN(seeds)])
	} else if count > 0 {
		targets = append(targets, core.randomPeer().Control)
	}
	if count > 0 {
		targets = append(targets, core.randomPeer().Control)
	}
	return targets
}

// crossZoneDivisor defines the fraction of requests, one in crossZoneDivisor, that go to a node of
// any zone if there are enough nodes in the local zone. While hundreds of nodes start together,
// each receives about six whole views before its view is verified. With 299 nodes and 3,000 back
// ends, starting twice, such answers were two thirds of all control traffic between zones (11.8 MB
// of 18 MB). The local zone receives the state of other zones through its first node.
const crossZoneDivisor = 8

// randomPeer returns a random peer, in most cases from the local zone if it has enough nodes.
func (core *Core) randomPeer() Peer {
	self := core.position(core.settings.Self)
	localCount := len(core.zoneNodes)
	if self >= 0 {
		localCount--
	}
	if localCount < sufficientPeers || core.random.IntN(crossZoneDivisor) == 0 {
		return core.peers[core.random.IntN(len(core.peers))]
	}
	index := core.random.IntN(localCount)
	if self >= 0 && index >= self {
		index++
	}
	return core.zoneNodes[index]
}

// requestFrom requests the changes that this node lacks from one peer.
func (core *Core) requestFrom(address netip.AddrPort, effects *Effects) {
	if !address.IsValid() || core.now < core.nextRequest {
		return
	}
	core.nextRequest = core.now + minRequestInterval
	effects.Messages = append(effects.Messages, Outgoing{To: []netip.AddrPort{address}, Message: core.viewRequest()})
}

// viewRequest returns the request for the changes after this node's revision, or for the next part
// of them if some parts have been received.
func (core *Core) viewRequest() message.ViewRequest {
	return message.ViewRequest{After: core.replica.Revision(), PartStart: core.assembly.NextBucket()}
}

// answerRequest answers a request of a peer. A peer at the same revision receives a digest, and a
// small delta is sent at once. Larger answers are queued. A node with an older view does not
// answer.
func (core *Core) answerRequest(from *PeerMessage, request *message.ViewRequest, effects *Effects) {
	if !from.Address.IsValid() || core.replica.Revision() == 0 || core.replica.Revision() < request.After {
		return
	}
	if core.replica.Revision() == request.After {
		if core.verified {
			core.send(core.digest(message.Route{}), []Peer{{Control: from.Address}}, effects)
		}
		return
	}
	if core.replica.HasHistorySince(request.After) && request.PartStart == 0 {
		if delta := core.replica.DeltaPart(core.now, request.After, 0); delta.Part == nil {
			effects.Messages = append(effects.Messages, Outgoing{To: []netip.AddrPort{from.Address}, Message: core.deltaMessage(delta)})
			return
		}
	}
	core.queueLargeRequest(largeRequest{address: from.Address, ViewRequest: *request})
}

// largeRequest is a request for the whole view, or for a delta that is sent in parts, with the
// address of the requester.
type largeRequest struct {
	address netip.AddrPort
	message.ViewRequest
}

// queueLargeRequest queues a request for the whole view or for a part. At most maxLargeAnswers
// requests are answered, together, at the next tick. Requesters that are left out repeat the
// request, also to other nodes, so that a start of the whole fleet costs its seeds only a few views
// per second. A request that was answered a short time ago is ignored, because the answer is still
// in transit.
func (core *Core) queueLargeRequest(request largeRequest) {
	answeredAt, answered := core.answeredAt[request]
	if answered && core.now-answeredAt < largeAnswerInterval {
		return
	}
	if len(core.largeRequests) < maxLargeAnswers && !slices.Contains(core.largeRequests, request) {
		core.largeRequests = append(core.largeRequests, request)
	}
}

// largeAnswerInterval is the minimum time between two answers to the same large request of a node.
const largeAnswerInterval = time.Second

// maxLargeAnswers is the maximum number of large requests that are answered at one tick.
const maxLargeAnswers = 8

// answerLargeRequests answers the queued requests. Equal requests of several nodes share one
// message.
func (core *Core) answerLargeRequests(effects *Effects) {
	if len(core.largeRequests) == 0 {
		return
	}
	maps.DeleteFunc(core.answeredAt, func(_ largeRequest, at time.Duration) bool { return core.now-at >= largeAnswerInterval })
	requesters := make(map[message.ViewRequest][]netip.AddrPort)
	var distinct []message.ViewRequest
	for _, request := range core.largeRequests {
		core.answeredAt[request] = core.now
		if requesters[request.ViewRequest] == nil {
			distinct = append(distinct, request.ViewRequest)
		}
		requesters[request.ViewRequest] = append(requesters[request.ViewRequest], request.address)
	}
	for _, request := range distinct {
		answer := core.deltaMessage(core.replica.DeltaPart(core.now, request.After, request.PartStart))
		effects.Messages = append(effects.Messages, Outgoing{To: requesters[request], Message: answer})
	}
	core.largeRequests = nil
}
