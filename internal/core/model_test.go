package core

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
)

// Each test of this file repeats a schedule in which a model of spec/, a fault run or a random
// schedule violated a property. Each runs with the rule that prevents the violation and, mostly,
// also without it.

// tickUntil sends ticks to a core between two times, so that no gap counts as a pause.
func tickUntil(core *Core, from, to time.Duration) {
	var effects Effects
	for now := from; now <= to; now += TickInterval {
		core.Step(now, &Event{Tick: true}, &effects)
	}
}

// TestPacketsQueuedDuringPauseAreDropped repeats a counterexample of refusal.pml with
// KEEPS_QUEUE_OVER_PAUSE: a node handles packets that waited in its socket while it was paused.
func TestPacketsQueuedDuringPauseAreDropped(t *testing.T) {
	is := is.New(t)
	for _, disabled := range []disabledRules{{}, {noDropAfterPause: true}} {
		core, key := movingFlowCore(t)
		core.disabled = disabled
		core.settings.PauseLimit = time.Second
		opening := Packet{Key: key, Kind: PacketOpening, OpeningID: 7}
		queued := decideAt(core, time.Minute, opening)
		is.Equal(queued.Action == ActionDrop, !disabled.noDropAfterPause)
		is.Equal(queued.Reason == ReasonPaused, !disabled.noDropAfterPause)
		var effects Effects
		core.Step(time.Minute, &Event{Contact: ContactRegained}, &effects)
		is.Equal(decideAt(core, time.Minute+TickInterval, opening).Action, ActionRelay) // packets after dropPacketsUntil are handled
	}
}

// TestLateReturnFromPreviousTailIsDropped repeats a counterexample of move.pml with
// HEAD_TAKES_ANY_RETURN: the answer of a previous tail arrives after the head proposed the opening
// to the next tail.
func TestLateReturnFromPreviousTailIsDropped(t *testing.T) {
	is := is.New(t)
	for _, disabled := range []disabledRules{{}, {noDropOfReturn: true}} {
		head, key := movingFlowCore(t)
		head.disabled = disabled
		opening := Packet{Key: key, Kind: PacketOpening, OpeningID: 7}
		proposed := decideAt(head, time.Second, opening)
		var remaining []Member
		for _, member := range testMembers {
			if member.ID != proposed.Peer {
				remaining = append(remaining, member)
			}
		}
		var effects Effects
		head.Step(2*time.Second, &Event{Members: remaining}, &effects)
		is.True(decideAt(head, 2*time.Second, opening).Peer != proposed.Peer) // the next tail may forward the opening
		late := opening
		late.Relay = lb.Relay{Hop: lb.HopReturn, FromRecord: true, Proposal: head.services[testService].table.Base(key.ID().Bucket())}
		is.True(late.Relay.Proposal != proposed.Relay.Proposal)
		is.Equal(decideAt(head, 2*time.Second, late).Action == ActionDrop, !disabled.noDropOfReturn)
	}
}

// historyCore returns a core that has headed a bucket for longer than the lifetime of a record, but
// has applied the bucket's history only now.
func historyCore(t *testing.T, disabled disabledRules) (*Core, lb.FlowKey, time.Duration) {
	t.Helper()
	calm, prepared, committed, settled := testPlacements(t, "ABCDEF", "ABCDE")
	core := New(settingsWithoutPauses("a", "1"))
	core.disabled = disabled
	var effects Effects
	for _, event := range []Event{{Members: testMembers}, {Placement: calm}, {Placement: prepared}, {Placement: committed}} {
		core.Step(0, &event, &effects)
	}
	now := core.recordLifetime() + time.Second
	core.Step(now, &Event{Placement: settled}, &effects)
	service := core.services[testService]
	packets := flowsWhere(1, PacketMiddle, func(index uint16) bool {
		return service.table.HasHistory(index) && !service.table.InMotion(index) && core.groupOf(service, index).chain.head == core.self
	})
	return core, packets[0].Key, now
}

func isCleanAt(core *Core, now time.Duration, key lb.FlowKey) bool {
	var effects Effects
	core.Step(now, &Event{}, &effects)
	return core.isClean(core.services[testService], key.ID().Bucket())
}

// TestBucketIsCleanOnlyAfterObservingHistory repeats a counterexample of settle.pml with
// CLEAN_WITHOUT_WAIT: a head reports a bucket as clean before it has observed the bucket's history
// for the lifetime of a record.
func TestBucketIsCleanOnlyAfterObservingHistory(t *testing.T) {
	is := is.New(t)
	for _, disabled := range []disabledRules{{}, {noCleanWait: true}} {
		core, key, now := historyCore(t, disabled)
		is.Equal(isCleanAt(core, now, key), disabled.noCleanWait)
		is.True(isCleanAt(core, now+core.recordLifetime(), key))
	}
}

// TestBucketWithUnconfirmedGuessIsNotClean repeats a counterexample of settle.pml: a head guesses
// the back end of a flow, and no tail has confirmed it.
func TestBucketWithUnconfirmedGuessIsNotClean(t *testing.T) {
	is := is.New(t)
	for _, disabled := range []disabledRules{{}, {noCleanOnlyConfirmed: true}} {
		core, key, now := historyCore(t, disabled)
		now += core.recordLifetime()
		is.Equal(decideAt(core, now, Packet{Key: key, Kind: PacketMiddle}).Action, ActionRelay)
		is.Equal(isCleanAt(core, now, key), disabled.noCleanOnlyConfirmed)
	}
}

// TestNoVouchingWhileNodeIsMissing covers a network partition: a zone on the other side may have
// forwarded a copy that the nodes of this side did not see.
func TestNoVouchingWhileNodeIsMissing(t *testing.T) {
	is := is.New(t)
	for _, disabled := range []disabledRules{{}, {noVouchOnlyComplete: true}} {
		core, key := movingFlowCore(t)
		core.disabled = disabled
		service := core.services[testService]
		group := core.groupOf(service, key.ID().Bucket())
		hold := core.settings.OpeningHold
		tickUntil(core, 0, hold)
		is.True(core.vouches(service, group))
		var remaining []Member
		for _, known := range testMembers {
			if known.ID == core.self.ID || group.chain.tail.ID == known.ID {
				remaining = append(remaining, known)
			}
		}
		var effects Effects
		core.Step(hold, &Event{Members: remaining}, &effects)
		is.Equal(core.vouches(service, group), disabled.noVouchOnlyComplete)
		core.Step(hold, &Event{Members: testMembers}, &effects) // the partition has healed
		is.Equal(core.vouches(service, group), disabled.noVouchOnlyComplete)
		tickUntil(core, hold, 2*hold+TickInterval)
		is.True(core.vouches(service, group))
	}
}

// TestRecentlyJoinedNodeUsesChain covers a placement that was prepared before a node counted as a
// member: it was committed without an acknowledgement from that node.
func TestRecentlyJoinedNodeUsesChain(t *testing.T) {
	is := is.New(t)
	calm, _, _, _ := testPlacements(t, "ABCDEF", "ABCDE")
	core := New(settingsWithoutPauses("a", "1"))
	var effects Effects
	core.Step(0, &Event{Members: testMembers}, &effects)
	core.Step(0, &Event{Placement: calm}, &effects)
	service := core.services[testService]
	packet := flowsWhere(1, PacketMiddle, func(index uint16) bool { return !core.isHead(core.groupOf(service, index)) })[0]
	is.Equal(decideAt(core, joinGracePeriod-1, packet).Action, ActionRelay)
	is.Equal(decideAt(core, joinGracePeriod+1, packet).Action, ActionForward)
}

// TestUnansweredOpeningIsRefusedOnceItsBackendDrains covers an opening whose tail died or froze, as
// in the fault run freeze and the scenario tally-wallet-freeze. The head must neither send it to a
// back end that has begun to drain, nor to any other.
func TestUnansweredOpeningIsRefusedOnceItsBackendDrains(t *testing.T) {
	is := is.New(t)
	for _, disabled := range []disabledRules{{}, {noLateOpeningRefused: true}} {
		calm, prepared, committed, _ := testPlacements(t, "ABCDEF", "ABCDE")
		core := New(settingsWithoutPauses("a", "1"))
		core.disabled = disabled
		var effects Effects
		for _, event := range []Event{{Members: testMembers}, {Placement: calm}, {Placement: prepared}} {
			core.Step(0, &event, &effects)
		}
		service := core.services[testService]
		drained := service.table.Document().Backends[5].ID
		opening := flowsWhere(1, PacketOpening, func(index uint16) bool {
			return service.table.Current(index) == drained && core.groupOf(service, index).chain.head == core.self
		})[0]
		is.Equal(decideAt(core, time.Second, opening).Relay.Proposal, drained)
		core.Step(2*time.Second, &Event{Placement: committed}, &effects)
		is.Equal(decideAt(core, 2*time.Second+drainGrace, opening).Relay.Proposal, drained) // within drainGrace
		late := decideAt(core, 2*time.Second+drainGrace+1, opening)
		is.Equal(late.Action == ActionRefuse, !disabled.noLateOpeningRefused)
		is.Equal(late.Refusal.Verdict == lb.MayHaveRun, !disabled.noLateOpeningRefused)
	}
}

// TestHeadWithUnverifiedViewDropsNewOpenings covers a head that was paused: its placements may be
// stale until it regains contact with its peers.
func TestHeadWithUnverifiedViewDropsNewOpenings(t *testing.T) {
	is := is.New(t)
	core, key := movingFlowCore(t)
	core.settings.PauseLimit = time.Second
	opening := Packet{Key: key, Kind: PacketOpening, OpeningID: 7}
	tickUntil(core, time.Minute, time.Minute+time.Second)
	is.Equal(decideAt(core, time.Minute+time.Second, opening).Reason, ReasonPaused)
	var effects Effects
	core.Step(time.Minute+time.Second, &Event{Contact: ContactRegained}, &effects)
	is.Equal(decideAt(core, time.Minute+time.Second, opening).Action, ActionRelay)
}

// TestReturnDoesNotReplaceConfirmedRecord covers an answer that arrives at the head after another
// tail has forwarded the opening by the head's own record.
func TestReturnDoesNotReplaceConfirmedRecord(t *testing.T) {
	is := is.New(t)
	for _, disabled := range []disabledRules{{}, {noDropOfReturn: true}} {
		head, key := movingFlowCore(t)
		head.disabled = disabled
		opening := Packet{Key: key, Kind: PacketOpening, OpeningID: 7}
		proposed := decideAt(head, time.Second, opening)
		flow := message.FlowRecord{Flow: key.ID(), Backend: proposed.Relay.Proposal, OpeningID: 7}
		deliver(head, time.Second, proposed.Peer, message.Pins{Service: testService, Confirm: true, Flows: []message.FlowRecord{flow}})
		late := opening
		late.Relay = lb.Relay{Hop: lb.HopReturn, FromRecord: true, Proposal: head.services[testService].table.Base(key.ID().Bucket())}
		is.Equal(decideAt(head, time.Second, late).Action == ActionDrop, !disabled.noDropOfReturn)
	}
}
