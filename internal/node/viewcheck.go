package node

import (
	"math/rand/v2"
	"time"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/logging"
	"robinpulley.example/robinpulley/internal/message"
)

// digestRequestInterval is the time between digest requests to the peers of a zone.
const digestRequestInterval = 200 * time.Millisecond

// viewCheck determines whether this node's placements are up to date after the process was paused
// or the node lost contact with others. It requests the digests of peers' placements. A peer of
// every zone must have the same digest, because the peers on this node's side of a network
// partition may have missed the same changes. Only answers to requests that were sent after the
// pause or the loss of contact count.
type viewCheck struct {
	random         *rand.Rand
	unverified     bool
	lastSequence   uint64 // sequence number of the last request
	firstValid     uint64 // lowest sequence number of a request whose answer counts
	nextRequestAt  time.Duration
	confirmedZones map[lb.Zone]bool
}

// restart invalidates the answers to all earlier requests.
func (check *viewCheck) restart() {
	check.firstValid = check.lastSequence + 1
	check.nextRequestAt = 0
	check.confirmedZones = make(map[lb.Zone]bool)
}

// markUnverified makes the core treat its view as unverified until peers have confirmed it.
func (engine *engine) markUnverified() {
	engine.coreStep(&core.Event{Contact: core.ContactLost})
	engine.viewCheck.restart()
}

// updateUnverified applies the core's verification state to the view check, and logs changes. The
// core also marks its view as unverified by itself, after a pause of the process.
func (engine *engine) updateUnverified() {
	unverified := engine.coreEffects.Unverified
	if unverified == engine.viewCheck.unverified {
		return
	}
	engine.viewCheck.unverified = unverified
	state := "regained"
	if unverified {
		state = "lost"
		engine.viewCheck.restart()
	}
	engine.logger.Info().
		Str(logging.FieldEvent, string(logging.EventContactChanged)).
		Str(logging.FieldState, state).
		Send()
}

// requestDigests requests the digest of a random peer in each zone that has not confirmed the view
// yet, while the view is unverified.
func (engine *engine) requestDigests() {
	check := &engine.viewCheck
	if !check.unverified || engine.lastStep < check.nextRequestAt {
		return
	}
	check.nextRequestAt = engine.lastStep + digestRequestInterval
	for zone, peers := range engine.directory.peersByZone(engine.settings.Node) {
		if check.confirmedZones[zone] {
			continue
		}
		peer := peers[check.random.IntN(len(peers))]
		check.lastSequence++
		engine.enqueue(peer.Control, message.Ping{
			Sequence:    check.lastSequence,
			Incarnation: engine.member.Incarnation(),
			Digest:      engine.gossip.Digest(),
		})
	}
}

// applyDigestAnswer processes the answer to a digest request. Once a peer of every zone has
// answered with this node's digest, it marks the core's view as verified.
func (engine *engine) applyDigestAnswer(from lb.NodeID, answer *message.PingAck) {
	check := &engine.viewCheck
	if !check.unverified || answer.Sequence < check.firstValid || answer.Sequence > check.lastSequence {
		return
	}
	if answer.Digest != engine.gossip.Digest() {
		return
	}
	peer, known := engine.directory.member(from)
	if !known {
		return
	}
	check.confirmedZones[peer.Zone] = true
	for zone := range engine.directory.peersByZone(engine.settings.Node) {
		if !check.confirmedZones[zone] {
			return
		}
	}
	engine.coreStep(&core.Event{Contact: core.ContactRegained})
}
