package node

import (
	"math/rand/v2"
	"time"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/logging"
	"robinpulley.example/robinpulley/internal/message"
)

// Exchanges that regain contact.
const (
	checkInterval = 200 * time.Millisecond // between questions
	checkPeers    = 2                      // asked at once
)

// check finds out whether this node's placements are up to date, after a pause
// or lost contact: it asks peers for the digest of theirs. Only an answer to a
// question asked since then counts.
type check struct {
	random   *rand.Rand
	unsure   bool
	sequence uint64 // of the questions since; higher for each round
	first    uint64 // lowest sequence that counts
	next     time.Duration
}

// distrust makes the core unsure of its view until a peer confirms it.
func (engine *engine) distrust() {
	engine.coreStep(&core.Event{Contact: core.ContactLost})
	engine.check.first = engine.check.sequence + 1
}

// noteUnsure follows the core, which becomes unsure by itself after a pause.
func (engine *engine) noteUnsure() {
	unsure := engine.coreEffects.Unsure
	if unsure == engine.check.unsure {
		return
	}
	engine.check.unsure = unsure
	state := "regained"
	if unsure {
		state = "lost"
		engine.check.first = engine.check.sequence + 1
		engine.check.next = 0
	}
	engine.logger.Info().
		Str(logging.FieldEvent, string(logging.EventContactChanged)).
		Str(logging.FieldState, state).
		Send()
}

// askPeers asks a few random peers for their digest while this node is unsure.
func (engine *engine) askPeers() {
	check := &engine.check
	if !check.unsure || engine.last < check.next {
		return
	}
	check.next = engine.last + checkInterval
	peers := engine.directory.others(engine.settings.Node)
	check.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, peer := range peers[:min(len(peers), checkPeers)] {
		check.sequence++
		engine.post(peer.Control, message.Ping{
			Sequence:    check.sequence,
			Incarnation: engine.member.Incarnation(),
			Digest:      engine.gossip.Digest(),
		})
	}
}

// takeAnswer regains contact when a peer that was asked since has the same placements.
func (engine *engine) takeAnswer(from lb.NodeID, answer *message.PingAck) {
	check := &engine.check
	if !check.unsure || answer.Sequence < check.first || answer.Sequence > check.sequence {
		return
	}
	if answer.Digest != engine.gossip.Digest() {
		return
	}
	if _, known := engine.directory.member(from); known {
		engine.coreStep(&core.Event{Contact: core.ContactRegained})
	}
}
