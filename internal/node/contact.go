package node

import (
	"math/rand/v2"
	"time"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/logging"
	"robinpulley.example/robinpulley/internal/message"
)

// checkInterval is the time between questions to the peers of one zone.
const checkInterval = 200 * time.Millisecond

// check finds out whether this node's placements are up to date, after a pause
// or lost contact: it asks peers for the digest of theirs. A peer of every zone
// must agree, since those of this node's own part of a cut know no more than
// it does. Only an answer to a question asked since then counts.
type check struct {
	random    *rand.Rand
	unsure    bool
	sequence  uint64 // of the questions so far
	first     uint64 // lowest sequence that counts
	next      time.Duration
	confirmed map[lb.Zone]bool
}

// restart makes earlier answers not count.
func (check *check) restart() {
	check.first = check.sequence + 1
	check.next = 0
	check.confirmed = make(map[lb.Zone]bool)
}

// distrust makes the core unsure of its view until a peer confirms it.
func (engine *engine) distrust() {
	engine.coreStep(&core.Event{Contact: core.ContactLost})
	engine.check.restart()
}

// noteUnsure follows the core, which becomes unsure by itself after a pause.
func (engine *engine) noteUnsure() {
	unsure := engine.coreEffects.Unverified
	if unsure == engine.check.unsure {
		return
	}
	engine.check.unsure = unsure
	state := "regained"
	if unsure {
		state = "lost"
		engine.check.restart()
	}
	engine.logger.Info().
		Str(logging.FieldEvent, string(logging.EventContactChanged)).
		Str(logging.FieldState, state).
		Send()
}

// askPeers asks a random peer of each zone that has not confirmed yet for its
// digest while this node is unsure.
func (engine *engine) askPeers() {
	check := &engine.check
	if !check.unsure || engine.last < check.next {
		return
	}
	check.next = engine.last + checkInterval
	for zone, peers := range engine.directory.zones(engine.settings.Node) {
		if check.confirmed[zone] {
			continue
		}
		peer := peers[check.random.IntN(len(peers))]
		check.sequence++
		engine.post(peer.Control, message.Ping{
			Sequence:    check.sequence,
			Incarnation: engine.member.Incarnation(),
			Digest:      engine.gossip.Digest(),
		})
	}
}

// takeAnswer regains contact when peers of all zones that were asked since have
// the same placements.
func (engine *engine) takeAnswer(from lb.NodeID, answer *message.PingAck) {
	check := &engine.check
	if !check.unsure || answer.Sequence < check.first || answer.Sequence > check.sequence {
		return
	}
	if answer.Digest != engine.gossip.Digest() {
		return
	}
	peer, known := engine.directory.member(from)
	if !known {
		return
	}
	check.confirmed[peer.Zone] = true
	for zone := range engine.directory.zones(engine.settings.Node) {
		if !check.confirmed[zone] {
			return
		}
	}
	engine.coreStep(&core.Event{Contact: core.ContactRegained})
}
