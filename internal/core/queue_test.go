package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/admissionqueue"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/passivehealth"
	"robinpulley.example/robinpulley/internal/reachability"
	"robinpulley.example/robinpulley/internal/view"
)

// holdableOpening gives an opening of port 443 that may be held.
func holdableOpening(number uint16) Packet {
	packet := tokenOpening(number, 443)
	packet.Datagram = make([]byte, 34)
	packet.Datagram[0] = byte(number)
	return packet
}

// coreWithHeldOpenings is a core whose web service is overloaded, and which holds openings.
func coreWithHeldOpenings(t testing.TB, openings int) (core *tokenCore, now time.Duration) {
	core, now, _ = overloadedCore(t, 4)
	for number := uint16(40000); core.Waiting() < openings; number++ {
		if number > 60000 {
			t.Fatalf("%d openings wait", core.Waiting())
		}
		core.send(now, holdableOpening(number))
	}
	return core, now
}

func (core *tokenCore) retryQueued(now time.Duration) []Released {
	core.Step(now, &Event{RetryQueued: true}, &core.effects)
	return core.effects.Released
}

// TestAnOpeningWaitsForRoom: it is held, and after its time, a fifth of its
// objective, refused as not run, with what was kept of it.
func TestAnOpeningWaitsForRoom(t *testing.T) {
	is := is.New(t)
	core, now := coreWithHeldOpenings(t, 1)
	is.Equal(core.effects.Decision.Action, ActionHold)
	is.Equal(len(core.retryQueued(now+10*time.Millisecond)), 0)
	released := core.retryQueued(now + 40*time.Millisecond)
	is.Equal(len(released), 1)
	is.Equal(released[0].Decision.Action, ActionRefuse)
	is.Equal(released[0].Decision.Reason, ReasonOverload)
	is.Equal(released[0].Decision.Refusal.Verdict, lb.NotRun)
	is.Equal(released[0].Decision.Waited, 40*time.Millisecond)
	is.Equal(len(released[0].Datagram()), 34)
	is.Equal(released[0].Datagram()[0], byte(released[0].Packet.Key.SourcePort))
	is.Equal(core.Waiting(), 0)
	is.Equal(core.Stats().Waited.Time, 40*time.Millisecond)
	is.Equal(core.Stats().Waited.Went, uint64(0))
}

// TestWhatIsNotHeld: later copies, which may have been forwarded elsewhere, and
// packets of paths that hold none.
func TestWhatIsNotHeld(t *testing.T) {
	is := is.New(t)
	core, now := coreWithHeldOpenings(t, 0)
	for number := range uint16(100) {
		packet := holdableOpening(40000 + number)
		packet.Copies = 1
		is.Equal(core.send(now, packet).Action, ActionForward)
		is.True(core.send(now, tokenOpening(42000+number, 443)).Action != ActionHold)
	}
	is.Equal(core.Waiting(), 0)
}

// TestAfterAPauseWhatWaitedIsDropped: its caller has sent copies elsewhere; to
// refuse it would reset the flow that they have opened.
func TestAfterAPauseWhatWaitedIsDropped(t *testing.T) {
	for _, pause := range []time.Duration{90 * time.Millisecond, 250 * time.Millisecond, 5 * time.Second} {
		is := is.New(t)
		core, now := coreWithHeldOpenings(t, 3)
		released := core.retryQueued(now + pause)
		is.Equal(len(released), 3)
		for _, one := range released {
			is.Equal(one.Decision.Action, ActionDrop)
			is.Equal(one.Decision.Reason, ReasonPaused)
		}
		is.Equal(core.Waiting(), 0)
	}
}

// TestTheViewChangesWhileOpeningsWait: they are decided by the new one at the next look.
func TestTheViewChangesWhileOpeningsWait(t *testing.T) {
	draining := tokenListing(20)
	for i := range 4 {
		name := lb.BackendName(fmt.Sprintf("i-%d", i))
		draining.Backends = append(draining.Backends, tokenBackend(name, "web", uint64(i+1), lb.BackendDraining))
		draining.Backends[i].Revision = 20
	}
	withoutRoutes := tokenListing(20)
	withoutRoutes.Configuration.Revision = 20
	withoutRoutes.Configuration.Configuration = view.Configuration{Version: 2}
	cases := map[Reason]*view.Listing{ReasonNoBackend: draining, ReasonUnknownService: withoutRoutes}
	for reason, listing := range cases {
		is := is.New(t)
		core, now := coreWithHeldOpenings(t, 3)
		core.list(now+time.Millisecond, listing)
		is.Equal(core.Waiting(), 3)
		released := core.retryQueued(now + 10*time.Millisecond)
		is.Equal(len(released), 3)
		for _, one := range released {
			is.Equal(one.Decision.Action, ActionRefuse)
			is.Equal(one.Decision.Reason, reason)
			is.Equal(one.Decision.Refusal.Verdict, lb.NotRun)
		}
	}
}

// copyHeldPacket copies the packet that waits.
func copyHeldPacket(packet *Packet) func(*admissionqueue.Waiter[heldOpening], admissionqueue.Chance) admissionqueue.Fate {
	return func(held *admissionqueue.Waiter[heldOpening], _ admissionqueue.Chance) admissionqueue.Fate {
		*packet = held.Kept.packet
		return admissionqueue.FateWaits
	}
}

// TestOtherDatagramsOfAFlowThatWaits: a repeated one waits with the first; a copy
// is decided in its place, and so is a new opening of the same port.
func TestOtherDatagramsOfAFlowThatWaits(t *testing.T) {
	is := is.New(t)
	core, now := coreWithHeldOpenings(t, 1)
	var packet Packet
	core.affinity.(*tokenAffinity).admissionQueue.Look(now, false, copyHeldPacket(&packet))
	packet.Datagram = make([]byte, 34)
	repeated := core.send(now, packet)
	is.Equal(repeated.Action, ActionDrop)
	is.Equal(repeated.Reason, ReasonCopied)
	is.Equal(core.Waiting(), 1)

	copied := packet
	copied.Copies = 1
	is.Equal(core.send(now+time.Millisecond, copied).Action, ActionForward)
	is.Equal(len(core.effects.Released), 1)
	is.Equal(core.effects.Released[0].Decision.Action, ActionDrop)
	is.Equal(core.effects.Released[0].Decision.Reason, ReasonCopied)
	is.Equal(core.Waiting(), 0)
	is.Equal(len(core.retryQueued(now+40*time.Millisecond)), 0)
}

// TestAtTheEndNothingWaits: all is decided at once, and nothing held any more.
func TestAtTheEndNothingWaits(t *testing.T) {
	is := is.New(t)
	core, now := coreWithHeldOpenings(t, 3)
	core.Step(now, &Event{CloseQueue: true}, &core.effects)
	is.Equal(len(core.effects.Released), 3)
	for _, one := range core.effects.Released {
		is.True(one.Decision.Action == ActionRefuse || one.Decision.Action == ActionForward)
	}
	for number := range uint16(100) {
		is.True(core.send(now, holdableOpening(45000+number)).Action != ActionHold)
	}
	is.Equal(core.Waiting(), 0)
}

// TestWhatWaitsGoesWhereABackendHasBecomeFree, as this node sees by an answer that came quickly.
func TestWhatWaitsGoesWhereABackendHasBecomeFree(t *testing.T) {
	is := is.New(t)
	core, now := coreWithHeldOpenings(t, 2)
	key := tokenFlow(1, 443)
	host := core.affinity.(*tokenAffinity).table.Service(&key).Ready[0]
	objective := lb.Objective{Priority: 1, TargetMillis: 200}
	core.affinity.(*tokenAffinity).freeSlots.Answered(now, "web", objective, host.Identity, true)
	released := core.retryQueued(now + 10*time.Millisecond)
	is.Equal(len(released), 1)
	is.Equal(released[0].Decision.Action, ActionForward)
	is.Equal(released[0].Decision.Identity, host.Identity)
	is.Equal(released[0].Decision.Token, host.Token(frontendOf(&released[0].Packet)))
	is.Equal(core.Waiting(), 1)
	is.Equal(core.Stats().Waited.Went, uint64(1))
}

// TestABackendThatHasGoneIsNotFree: one that is unknown by now gets nothing, nor
// one of which something bad is known.
func TestABackendThatHasGoneIsNotFree(t *testing.T) {
	is := is.New(t)
	core, now := coreWithHeldOpenings(t, 2)
	affinity := core.affinity.(*tokenAffinity)
	affinity.freeSlots.Answered(now, "web", lb.Objective{Priority: 1, TargetMillis: 200}, 99, true)
	affinity.freeSlots.Answered(now, "web", lb.Objective{Priority: 1, TargetMillis: 200}, 1, true)
	core.Step(now, &Event{Ejected: []passivehealth.Identity{1}}, &core.effects)
	is.Equal(len(core.retryQueued(now+10*time.Millisecond)), 0)
	is.Equal(core.Waiting(), 2)
}

func frontendOf(packet *Packet) *lb.FrontendKey {
	frontend := packet.Key.Frontend()
	return &frontend
}

// TestAQueueThatIsFullRefusesAtOnce, as does one that is off.
func TestAQueueThatIsFullRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	core, now := coreWithHeldOpenings(t, 128)
	for number := range uint16(50) {
		is.True(core.send(now, holdableOpening(50000+number)).Action != ActionHold)
	}
	is.Equal(core.Waiting(), 128)
}

// TestWhatWaitsIsRefusedOutOfReach: an opening that waits while all zones with back
// ends are lost is decided at the next look as one that comes is: refused, but for a probe.
func TestWhatWaitsIsRefusedOutOfReach(t *testing.T) {
	is := is.New(t)
	core, now := coreWithHeldOpenings(t, 3)
	tracker := core.affinity.(*tokenAffinity).reachability
	sent := now
	now += 5 * time.Millisecond
	for identity := range reachability.Identity(4) {
		tracker.Unanswered(sent+300*time.Millisecond, "", identity+1, sent+time.Duration(identity))
	}
	tracker.Tick(sent + 300*time.Millisecond)
	is.True(!tracker.Reaches(""))
	released := core.retryQueued(now)
	is.Equal(len(released), 3)
	refused := 0
	for _, one := range released {
		if one.Decision.Action == ActionRefuse {
			is.Equal(one.Decision.Reason, ReasonUnreachable)
			refused++
		}
	}
	is.True(refused >= 2)
}
