package core

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
)

// The tests of this file repeat schedules in which the models of spec/ refuted
// a rule, or found that one is needed: each also with the rule switched off.

// tickUntil steps a core by ticks to a time, so that no gap counts as a pause.
func tickUntil(core *Core, from, to time.Duration) {
	var effects Effects
	for now := from; now <= to; now += TickInterval {
		core.Step(now, &Event{Tick: true}, &effects)
	}
}

// TestPacketsThatWaitedOverAPauseAreDropped: refusal.pml, KEEPS_QUEUE_OVER_PAUSE.
func TestPacketsThatWaitedOverAPauseAreDropped(t *testing.T) {
	is := is.New(t)
	for _, off := range []disabledRules{{}, {noDropAfterPause: true}} {
		core, key := movingFlow(t)
		core.disabled = off
		core.settings.PauseLimit = time.Second
		opening := Packet{Key: key, Kind: PacketOpening, OpeningID: 7}
		queued := decideAt(core, time.Minute, opening)
		is.Equal(queued.Action == ActionDrop, !off.noDropAfterPause)
		is.Equal(queued.Reason == ReasonPaused, !off.noDropAfterPause)
		var effects Effects
		core.Step(time.Minute, &Event{Contact: ContactRegained}, &effects)
		is.Equal(decideAt(core, time.Minute+TickInterval, opening).Action, ActionRelay) // later ones are new
	}
}

// TestLateReturnOfAnotherTailIsDropped: move.pml, HEAD_TAKES_ANY_RETURN.
func TestLateReturnOfAnotherTailIsDropped(t *testing.T) {
	is := is.New(t)
	for _, off := range []disabledRules{{}, {noDropOfReturn: true}} {
		head, key := movingFlow(t)
		head.disabled = off
		opening := Packet{Key: key, Kind: PacketOpening, OpeningID: 7}
		proposed := decideAt(head, time.Second, opening)
		var left []Member
		for _, member := range testMembers {
			if member.ID != proposed.Peer {
				left = append(left, member)
			}
		}
		var effects Effects
		head.Step(2*time.Second, &Event{Members: left}, &effects)
		is.True(decideAt(head, 2*time.Second, opening).Peer != proposed.Peer) // the next tail may forward it
		late := opening
		late.Relay = lb.Relay{Hop: lb.HopReturn, Known: true, Proposal: head.services[testService].table.Base(key.ID().Bucket())}
		is.True(late.Relay.Proposal != proposed.Relay.Proposal)
		is.Equal(decideAt(head, 2*time.Second, late).Action == ActionDrop, !off.noDropOfReturn)
	}
}

// historyCore gives a core that heads a bucket with history, for longer than
// the life of a record, but which adopted that history only now.
func historyCore(t *testing.T, off disabledRules) (*Core, lb.FlowKey, time.Duration) {
	t.Helper()
	calm, prepared, committed, settled := testPlacements(t, "ABCDEF", "ABCDE")
	core := New(settingsWithoutPauses("a", "1"))
	core.disabled = off
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

// TestBucketIsCleanOnlyAfterItsHistoryWasWatched: settle.pml, CLEAN_WITHOUT_WAIT.
func TestBucketIsCleanOnlyAfterItsHistoryWasWatched(t *testing.T) {
	is := is.New(t)
	for _, off := range []disabledRules{{}, {noCleanWait: true}} {
		core, key, now := historyCore(t, off)
		is.Equal(isCleanAt(core, now, key), off.noCleanWait)
		is.True(isCleanAt(core, now+core.recordLifetime(), key))
	}
}

// TestGuessIsNotClean: settle.pml, a head's own guess that no tail has confirmed.
func TestGuessIsNotClean(t *testing.T) {
	is := is.New(t)
	for _, off := range []disabledRules{{}, {noCleanOnlyConfirmed: true}} {
		core, key, now := historyCore(t, off)
		now += core.recordLifetime()
		is.Equal(decideAt(core, now, Packet{Key: key, Kind: PacketMiddle}).Action, ActionRelay)
		is.Equal(isCleanAt(core, now, key), off.noCleanOnlyConfirmed)
	}
}

// TestNoVouchingWhileANodeIsMissing: a cut zone may have forwarded a copy that
// this side did not see.
func TestNoVouchingWhileANodeIsMissing(t *testing.T) {
	is := is.New(t)
	for _, off := range []disabledRules{{}, {noVouchOnlyComplete: true}} {
		core, key := movingFlow(t)
		core.disabled = off
		service := core.services[testService]
		member := core.groupOf(service, key.ID().Bucket())
		hold := core.settings.OpeningHold
		tickUntil(core, 0, hold)
		is.True(core.vouches(service, member))
		var rest []Member
		for _, known := range testMembers {
			if known.ID == core.self.ID || member.chain.tail.ID == known.ID {
				rest = append(rest, known)
			}
		}
		var effects Effects
		core.Step(hold, &Event{Members: rest}, &effects)
		is.Equal(core.vouches(service, member), off.noVouchOnlyComplete)
		core.Step(hold, &Event{Members: testMembers}, &effects) // the cut is over
		is.Equal(core.vouches(service, member), off.noVouchOnlyComplete)
		tickUntil(core, hold, 2*hold+TickInterval)
		is.True(core.vouches(service, member))
	}
}

// TestANodeThatHasJustJoinedAsksTheChain: a placement that was prepared before
// it counted as a member was committed without its acknowledgement.
func TestANodeThatHasJustJoinedAsksTheChain(t *testing.T) {
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

// TestUnansweredOpeningIsRefusedOnceItsBackendDrains: an opening whose tail
// died or froze is neither sent to a back end that has begun to drain, nor
// anywhere else. Found by the fault run freeze and the scenario tally-wallet-freeze.
func TestUnansweredOpeningIsRefusedOnceItsBackendDrains(t *testing.T) {
	is := is.New(t)
	for _, off := range []disabledRules{{}, {noLateOpeningRefused: true}} {
		calm, prepared, committed, _ := testPlacements(t, "ABCDEF", "ABCDE")
		core := New(settingsWithoutPauses("a", "1"))
		core.disabled = off
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
		is.Equal(decideAt(core, 2*time.Second+drainGrace, opening).Relay.Proposal, drained) // in time
		late := decideAt(core, 2*time.Second+drainGrace+1, opening)
		is.Equal(late.Action == ActionRefuse, !off.noLateOpeningRefused)
		is.Equal(late.Refusal.Verdict == lb.MayHaveRun, !off.noLateOpeningRefused)
	}
}

// TestResumedHeadDecidesNothingNew: a head that was paused may have old
// placements until it has heard from its peers again.
func TestResumedHeadDecidesNothingNew(t *testing.T) {
	is := is.New(t)
	core, key := movingFlow(t)
	core.settings.PauseLimit = time.Second
	opening := Packet{Key: key, Kind: PacketOpening, OpeningID: 7}
	tickUntil(core, time.Minute, time.Minute+time.Second)
	is.Equal(decideAt(core, time.Minute+time.Second, opening).Reason, ReasonPaused)
	var effects Effects
	core.Step(time.Minute+time.Second, &Event{Contact: ContactRegained}, &effects)
	is.Equal(decideAt(core, time.Minute+time.Second, opening).Action, ActionRelay)
}

// TestReturnDoesNotUndoAConfirmedRecord: another tail has forwarded the opening
// by the head's own record. Found by random schedules (planned, seed 11).
func TestReturnDoesNotUndoAConfirmedRecord(t *testing.T) {
	is := is.New(t)
	for _, off := range []disabledRules{{}, {noDropOfReturn: true}} {
		head, key := movingFlow(t)
		head.disabled = off
		opening := Packet{Key: key, Kind: PacketOpening, OpeningID: 7}
		proposed := decideAt(head, time.Second, opening)
		flow := message.FlowRecord{Flow: key.ID(), Backend: proposed.Relay.Proposal, OpeningID: 7}
		deliver(head, time.Second, proposed.Peer, message.Pins{Service: testService, Confirm: true, Flows: []message.FlowRecord{flow}})
		late := opening
		late.Relay = lb.Relay{Hop: lb.HopReturn, Known: true, Proposal: head.services[testService].table.Base(key.ID().Bucket())}
		is.Equal(decideAt(head, time.Second, late).Action == ActionDrop, !off.noDropOfReturn)
	}
}
