package core

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
)

// The tests of this file cover faults that random schedules detected.

// settingsWithoutPauses returns settings with which large time steps do not count as pauses.
// Packets that arrive right after a pause would be dropped.
func settingsWithoutPauses(id lb.NodeID, zone lb.Zone) Settings {
	settings := DefaultSettings(id, zone)
	settings.PauseLimit = time.Hour
	return settings
}

// movingFlowCore returns a core that heads a moving bucket, and a flow of that bucket.
func movingFlowCore(t *testing.T) (*Core, lb.FlowKey) {
	t.Helper()
	calm, prepared, committed, _ := testPlacements(t, "ABCDEF", "ABCDE")
	core := New(settingsWithoutPauses("a", "1"))
	var effects Effects
	for _, event := range []Event{{Members: testMembers}, {Placement: calm}, {Placement: prepared}, {Placement: committed}} {
		core.Step(0, &event, &effects)
	}
	service := core.services[testService]
	packets := flowsWhere(1, PacketMiddle, func(index uint16) bool {
		return service.table.InMotion(index) && core.groupOf(service, index).chain.head == core.self
	})
	return core, packets[0].Key
}

func decideAt(core *Core, now time.Duration, packet Packet) Decision {
	var effects Effects
	core.Step(now, &Event{Packet: &packet}, &effects)
	return effects.Decision
}

func deliver(core *Core, now time.Duration, from lb.NodeID, content message.Message) {
	var effects Effects
	core.Step(now, &Event{Peer: &PeerEvent{From: from, Message: content}}, &effects)
}

// TestGuessFromLaterPacketDoesNotRefuseOpening covers a head that has guessed the back end of a
// flow from a later packet. The guess must not cause the refusal of a new opening of the 5-tuple.
func TestGuessFromLaterPacketDoesNotRefuseOpening(t *testing.T) {
	is := is.New(t)
	core, key := movingFlowCore(t)
	later := decideAt(core, time.Second, Packet{Key: key, Kind: PacketMiddle})
	is.Equal(later.Action, ActionRelay) // the head guesses the base back end
	opening := decideAt(core, time.Second, Packet{Key: key, Kind: PacketOpening, OpeningID: 7})
	is.Equal(opening.Action, ActionRelay) // the tail may have a different record
}

// TestRecordOfLaterFlowReplacesEarlierOne checks that of two handed-over records for openings of
// one 5-tuple, the one seen later is kept, in whatever order the records arrive.
func TestRecordOfLaterFlowReplacesEarlierOne(t *testing.T) {
	earlier := message.Records{
		Service: testService, Sequence: 1, IdleSeconds: []uint32{9},
		Flows: []message.FlowRecord{{Backend: 1, OpeningID: 7}},
	}
	later := message.Records{
		Service: testService, Sequence: 2, IdleSeconds: []uint32{0},
		Flows: []message.FlowRecord{{Backend: 2, OpeningID: 8}},
	}
	for _, order := range [][]message.Records{{earlier, later}, {later, earlier}} {
		is := is.New(t)
		core, key := movingFlowCore(t)
		for _, records := range order {
			records.Flows[0].Flow = key.ID()
			deliver(core, 20*time.Second, "d", records)
		}
		entry := core.services[testService].buckets[key.ID().Bucket()].records.get(key.ID())
		is.Equal(entry.backend, lb.BackendID(2))
		is.Equal(entry.openingID, uint32(8))
	}
}

// TestHandedOverRecordIsNotTailConfirmation checks that a head with a record from another node
// still relays packets to the tail until the tail itself confirms the record.
func TestHandedOverRecordIsNotTailConfirmation(t *testing.T) {
	is := is.New(t)
	core, key := movingFlowCore(t)
	group := core.groupOf(core.services[testService], key.ID().Bucket())
	records := message.Records{Service: testService, Flows: []message.FlowRecord{{Flow: key.ID(), Backend: 1, OpeningID: 7}}}
	deliver(core, 20*time.Second, "d", records)
	is.Equal(decideAt(core, 20*time.Second, Packet{Key: key, Kind: PacketMiddle}).Action, ActionRelay)
	answer := message.Pins{Service: testService, Confirm: true, Flows: records.Flows}
	deliver(core, 20*time.Second, group.chain.tail.ID, answer)
	is.Equal(decideAt(core, 20*time.Second, Packet{Key: key, Kind: PacketMiddle}).Action, ActionForward)
}

// TestLeavingNodeHandsOverKnownUDPFlowsAndRecentOpenings checks that a leaving node hands over its
// known UDP flows and the openings that may be retransmitted, and that its handover then ends.
func TestLeavingNodeHandsOverKnownUDPFlowsAndRecentOpenings(t *testing.T) {
	is := is.New(t)
	calm, _, _, _ := testPlacements(t, "ABC", "AB")
	core := New(settingsWithoutPauses("a", "1"))
	var effects Effects
	core.Step(0, &Event{Members: testMembers}, &effects)
	core.Step(0, &Event{Placement: calm}, &effects)
	service := core.services[testService]
	opening := flowsWhere(1, PacketOpening, func(index uint16) bool { return core.groupOf(service, index).chain.head == core.self })[0]
	is.Equal(decideAt(core, 5*time.Second, opening).Action, ActionRelay)
	udp := testKey(1)
	udp.Protocol = lb.UDP
	is.Equal(decideAt(core, 5*time.Second, Packet{Key: udp, Kind: PacketUnmarked}).Action, ActionForward)
	core.Step(5*time.Second, &Event{Leave: true}, &effects)
	is.True(!effects.HandoverDone)
	core.Step(5*time.Second, &Event{Tick: true}, &effects)
	handedOver := make(map[lb.FlowID]bool)
	for _, outgoing := range effects.Messages {
		records := outgoing.Message.(message.Records)
		handedOver[records.Flows[0].Flow] = records.Established
		deliver(core, 5*time.Second, outgoing.To, message.RecordsAck{Sequence: records.Sequence})
	}
	is.Equal(handedOver, map[lb.FlowID]bool{udp.ID(): true, opening.Key.ID(): false})
	core.Step(5*time.Second, &Event{Tick: true}, &effects)
	is.True(effects.HandoverDone)
}

// TestTailAnswerReachesHeadBeforeBackend checks that a head records the tail's answer before any
// back end receives the packet, so that it proposes the same back end after the tail is lost. With
// noReturnToHead, the head proposes a different one.
func TestTailAnswerReachesHeadBeforeBackend(t *testing.T) {
	for _, disabled := range []disabledRules{{}, {noReturnToHead: true}} {
		is := is.New(t)
		head, key := movingFlowCore(t)
		service := head.services[testService]
		index := key.ID().Bucket()
		base := service.table.Base(index)
		pair := head.groupOf(service, index).chain
		tail := New(settingsWithoutPauses(pair.tail.ID, pair.tail.Zone))
		tail.disabled = disabled
		var effects Effects
		tail.Step(0, &Event{Members: testMembers}, &effects)
		tail.Step(0, &Event{Placement: service.table.Document()}, &effects)
		deliver(tail, 0, "d", message.Records{Service: testService, Flows: []message.FlowRecord{{Flow: key.ID(), Backend: base, OpeningID: 7}}})

		opening := Packet{Key: key, Kind: PacketOpening, OpeningID: 7}
		relayed := opening
		relayed.Relay = decideAt(head, time.Second, opening).Relay
		is.True(relayed.Relay.Proposal != base) // the head proposes another back end
		answer := decideAt(tail, time.Second, relayed)
		if !disabled.noReturnToHead {
			is.Equal(answer.Action, ActionRelay)
			is.Equal(answer.Peer, head.self.ID)
			relayed.Relay = answer.Relay
			answer = decideAt(head, time.Second, relayed)
		}
		is.Equal(answer.Action, ActionForward)
		is.Equal(answer.Backend, base)

		var remaining []Member
		for _, member := range testMembers {
			if member.ID != tail.self.ID {
				remaining = append(remaining, member)
			}
		}
		head.Step(time.Second, &Event{Members: remaining}, &effects)
		is.Equal(decideAt(head, time.Second, opening).Relay.Proposal == base, !disabled.noReturnToHead)
	}
}
