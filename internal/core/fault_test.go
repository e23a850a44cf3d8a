package core

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
)

// The tests of this file are named after faults that random schedules found.

// settingsWithoutPauses gives settings with which the jumps in time of these tests are no
// pauses: packets that come right after a pause are dropped.
func settingsWithoutPauses(id lb.NodeID, zone lb.Zone) Settings {
	settings := DefaultSettings(id, zone)
	settings.PauseLimit = time.Hour
	return settings
}

// movingFlow gives a core that heads a moving bucket, and a flow of it.
func movingFlow(t *testing.T) (*Core, lb.FlowKey) {
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

func TestHeadRefusesNoOpeningByItsGuessForALaterPacket(t *testing.T) {
	is := is.New(t)
	core, key := movingFlow(t)
	later := decideAt(core, time.Second, Packet{Key: key, Kind: PacketMiddle})
	is.Equal(later.Action, ActionRelay) // the base back end is a guess
	opening := decideAt(core, time.Second, Packet{Key: key, Kind: PacketOpening, OpeningID: 7})
	is.Equal(opening.Action, ActionRelay) // the tail may know better
}

func TestRecordOfAnEarlierFlowKeepsOutNoLaterOne(t *testing.T) {
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
		core, key := movingFlow(t)
		for _, records := range order {
			records.Flows[0].Flow = key.ID()
			deliver(core, 20*time.Second, "d", records)
		}
		entry := core.services[testService].buckets[key.ID().Bucket()].records.get(key.ID())
		is.Equal(entry.backend, lb.BackendID(2))
		is.Equal(entry.openingID, uint32(8))
	}
}

func TestRecordHandedOverIsNotTheTailsAnswer(t *testing.T) {
	is := is.New(t)
	core, key := movingFlow(t)
	member := core.groupOf(core.services[testService], key.ID().Bucket())
	records := message.Records{Service: testService, Flows: []message.FlowRecord{{Flow: key.ID(), Backend: 1, OpeningID: 7}}}
	deliver(core, 20*time.Second, "d", records)
	is.Equal(decideAt(core, 20*time.Second, Packet{Key: key, Kind: PacketMiddle}).Action, ActionRelay)
	answer := message.Pins{Service: testService, Confirm: true, Flows: records.Flows}
	deliver(core, 20*time.Second, member.chain.tail.ID, answer)
	is.Equal(decideAt(core, 20*time.Second, Packet{Key: key, Kind: PacketMiddle}).Action, ActionForward)
}

func TestLeavingNodeHandsOverKnownUDPFlowsAndYoungOpenings(t *testing.T) {
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
	handed := make(map[lb.FlowID]bool)
	for _, outgoing := range effects.Messages {
		records := outgoing.Message.(message.Records)
		handed[records.Flows[0].Flow] = records.Established
		deliver(core, 5*time.Second, outgoing.To, message.RecordsAck{Sequence: records.Sequence})
	}
	is.Equal(handed, map[lb.FlowID]bool{udp.ID(): true, opening.Key.ID(): false})
	core.Step(5*time.Second, &Event{Tick: true}, &effects)
	is.True(effects.HandoverDone)
}

// TestReturnToTheHead checks that a head knows the tail's answer before any back
// end has the packet, so that it proposes the same when the tail is gone, and
// that it would not if the tail just carried its answer out.
func TestReturnToTheHead(t *testing.T) {
	for _, off := range []disabledRules{{}, {noReturnToHead: true}} {
		is := is.New(t)
		head, key := movingFlow(t)
		service := head.services[testService]
		index := key.ID().Bucket()
		base := service.table.Base(index)
		pair := head.groupOf(service, index).chain
		tail := New(settingsWithoutPauses(pair.tail.ID, pair.tail.Zone))
		tail.disabled = off
		var effects Effects
		tail.Step(0, &Event{Members: testMembers}, &effects)
		tail.Step(0, &Event{Placement: service.table.Document()}, &effects)
		deliver(tail, 0, "d", message.Records{Service: testService, Flows: []message.FlowRecord{{Flow: key.ID(), Backend: base, OpeningID: 7}}})

		opening := Packet{Key: key, Kind: PacketOpening, OpeningID: 7}
		relayed := opening
		relayed.Relay = decideAt(head, time.Second, opening).Relay
		is.True(relayed.Relay.Proposal != base) // the head would have it elsewhere
		answer := decideAt(tail, time.Second, relayed)
		if !off.noReturnToHead {
			is.Equal(answer.Action, ActionRelay)
			is.Equal(answer.Peer, head.self.ID)
			relayed.Relay = answer.Relay
			answer = decideAt(head, time.Second, relayed)
		}
		is.Equal(answer.Action, ActionForward)
		is.Equal(answer.Backend, base)

		var left []Member
		for _, member := range testMembers {
			if member.ID != tail.self.ID {
				left = append(left, member)
			}
		}
		head.Step(time.Second, &Event{Members: left}, &effects)
		is.Equal(decideAt(head, time.Second, opening).Relay.Proposal == base, !off.noReturnToHead)
	}
}
