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

// holdableOpening returns an opening for port 443 that may be held.
func holdableOpening(number uint16) Packet {
	packet := tokenOpening(number, 443)
	packet.Datagram = make([]byte, 34)
	packet.Datagram[0] = byte(number)
	return packet
}

// coreWithHeldOpenings returns a core whose web service is overloaded and which holds the given
// number of openings.
func coreWithHeldOpenings(t testing.TB, openings int) (core *tokenCore, now time.Duration) {
	core, now, _ = overloadedCore(t, 4)
	for number := uint16(40000); core.HeldOpenings() < openings; number++ {
		if number > 60000 {
			t.Fatalf("%d openings are held", core.HeldOpenings())
		}
		core.send(now, holdableOpening(number))
	}
	return core, now
}

func (core *tokenCore) retryQueued(now time.Duration) []Released {
	core.Step(now, &Event{RetryQueued: true}, &core.effects)
	return core.effects.Released
}

// TestHeldOpeningIsRefusedAfterTimeout checks that an opening is held for a fifth of its objective
// and then refused as not run, together with its datagram.
func TestHeldOpeningIsRefusedAfterTimeout(t *testing.T) {
	is := is.New(t)
	core, now := coreWithHeldOpenings(t, 1)
	is.Equal(core.effects.Decision.Action, ActionHold)
	is.Equal(len(core.retryQueued(now+10*time.Millisecond)), 0)
	released := core.retryQueued(now + 40*time.Millisecond)
	is.Equal(len(released), 1)
	is.Equal(released[0].Decision.Action, ActionRefuse)
	is.Equal(released[0].Decision.Reason, ReasonOverload)
	is.Equal(released[0].Decision.Refusal.Verdict, lb.NotRun)
	is.Equal(released[0].Decision.HeldFor, 40*time.Millisecond)
	is.Equal(len(released[0].Datagram()), 34)
	is.Equal(released[0].Datagram()[0], byte(released[0].Packet.Key.SourcePort))
	is.Equal(core.HeldOpenings(), 0)
	is.Equal(core.Stats().HeldOpenings.HeldTime, 40*time.Millisecond)
	is.Equal(core.Stats().HeldOpenings.Forwarded, uint64(0))
}

// TestCopiesAndPacketsWithoutDatagramAreNotHeld covers later copies, which another node may have
// forwarded, and packets of paths that provide no datagram to hold.
func TestCopiesAndPacketsWithoutDatagramAreNotHeld(t *testing.T) {
	is := is.New(t)
	core, now := coreWithHeldOpenings(t, 0)
	for number := range uint16(100) {
		packet := holdableOpening(40000 + number)
		packet.Copies = 1
		is.Equal(core.send(now, packet).Action, ActionForward)
		is.True(core.send(now, tokenOpening(42000+number, 443)).Action != ActionHold)
	}
	is.Equal(core.HeldOpenings(), 0)
}

// TestHeldOpeningsAreDroppedAfterPause checks that openings that were held during a pause are
// dropped. Meanwhile their clients have sent copies to other nodes, and a refusal would reset the
// flows that those copies opened.
func TestHeldOpeningsAreDroppedAfterPause(t *testing.T) {
	for _, pause := range []time.Duration{90 * time.Millisecond, 250 * time.Millisecond, 5 * time.Second} {
		is := is.New(t)
		core, now := coreWithHeldOpenings(t, 3)
		released := core.retryQueued(now + pause)
		is.Equal(len(released), 3)
		for _, opening := range released {
			is.Equal(opening.Decision.Action, ActionDrop)
			is.Equal(opening.Decision.Reason, ReasonPaused)
		}
		is.Equal(core.HeldOpenings(), 0)
	}
}

// TestHeldOpeningsAreDecidedByNewView checks that the next retry decides held openings by the view
// that has changed since.
func TestHeldOpeningsAreDecidedByNewView(t *testing.T) {
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
		core.applyListing(now+time.Millisecond, listing)
		is.Equal(core.HeldOpenings(), 3)
		released := core.retryQueued(now + 10*time.Millisecond)
		is.Equal(len(released), 3)
		for _, opening := range released {
			is.Equal(opening.Decision.Action, ActionRefuse)
			is.Equal(opening.Decision.Reason, reason)
			is.Equal(opening.Decision.Refusal.Verdict, lb.NotRun)
		}
	}
}

// copyHeldPacket returns a function that copies a held packet.
func copyHeldPacket(packet *Packet) func(*admissionqueue.QueuedOpening[heldOpening], admissionqueue.Phase) admissionqueue.Outcome {
	return func(held *admissionqueue.QueuedOpening[heldOpening], _ admissionqueue.Phase) admissionqueue.Outcome {
		*packet = held.Data.packet
		return admissionqueue.OutcomeQueued
	}
}

// TestOtherDatagramsOfHeldFlow checks that a repeated datagram is dropped while the first remains
// held, and that a later copy is decided in place of the held one.
func TestOtherDatagramsOfHeldFlow(t *testing.T) {
	is := is.New(t)
	core, now := coreWithHeldOpenings(t, 1)
	var packet Packet
	core.affinity.(*tokenAffinity).admissionQueue.Retry(now, false, copyHeldPacket(&packet))
	packet.Datagram = make([]byte, 34)
	repeated := core.send(now, packet)
	is.Equal(repeated.Action, ActionDrop)
	is.Equal(repeated.Reason, ReasonDuplicate)
	is.Equal(core.HeldOpenings(), 1)

	copied := packet
	copied.Copies = 1
	is.Equal(core.send(now+time.Millisecond, copied).Action, ActionForward)
	is.Equal(len(core.effects.Released), 1)
	is.Equal(core.effects.Released[0].Decision.Action, ActionDrop)
	is.Equal(core.effects.Released[0].Decision.Reason, ReasonDuplicate)
	is.Equal(core.HeldOpenings(), 0)
	is.Equal(len(core.retryQueued(now+40*time.Millisecond)), 0)
}

// TestCloseQueueDecidesAllHeldOpenings checks that closing the queue decides all held openings at
// once and that no more are held afterwards.
func TestCloseQueueDecidesAllHeldOpenings(t *testing.T) {
	is := is.New(t)
	core, now := coreWithHeldOpenings(t, 3)
	core.Step(now, &Event{CloseQueue: true}, &core.effects)
	is.Equal(len(core.effects.Released), 3)
	for _, opening := range core.effects.Released {
		is.True(opening.Decision.Action == ActionRefuse || opening.Decision.Action == ActionForward)
	}
	for number := range uint16(100) {
		is.True(core.send(now, holdableOpening(45000+number)).Action != ActionHold)
	}
	is.Equal(core.HeldOpenings(), 0)
}

// TestHeldOpeningGoesToFreedBackend checks that a held opening goes to a back end that has just
// freed a slot, as shown by a quick answer.
func TestHeldOpeningGoesToFreedBackend(t *testing.T) {
	is := is.New(t)
	core, now := coreWithHeldOpenings(t, 2)
	key := tokenFlow(1, 443)
	host := core.affinity.(*tokenAffinity).table.Service(&key).Ready[0]
	objective := lb.Objective{Priority: 1, TargetMillis: 200}
	core.affinity.(*tokenAffinity).freeSlots.RecordAnswer(now, "web", objective, host.Identity, true)
	released := core.retryQueued(now + 10*time.Millisecond)
	is.Equal(len(released), 1)
	is.Equal(released[0].Decision.Action, ActionForward)
	is.Equal(released[0].Decision.Identity, host.Identity)
	is.Equal(released[0].Decision.Token, host.Token(frontendOf(&released[0].Packet)))
	is.Equal(core.HeldOpenings(), 1)
	is.Equal(core.Stats().HeldOpenings.Forwarded, uint64(1))
}

// TestUnknownAndEjectedBackendsAreNotFree checks that freed slots of back ends that are unknown or
// ejected by now are not used.
func TestUnknownAndEjectedBackendsAreNotFree(t *testing.T) {
	is := is.New(t)
	core, now := coreWithHeldOpenings(t, 2)
	affinity := core.affinity.(*tokenAffinity)
	affinity.freeSlots.RecordAnswer(now, "web", lb.Objective{Priority: 1, TargetMillis: 200}, 99, true)
	affinity.freeSlots.RecordAnswer(now, "web", lb.Objective{Priority: 1, TargetMillis: 200}, 1, true)
	core.Step(now, &Event{Ejected: []passivehealth.Identity{1}}, &core.effects)
	is.Equal(len(core.retryQueued(now+10*time.Millisecond)), 0)
	is.Equal(core.HeldOpenings(), 2)
}

func frontendOf(packet *Packet) *lb.FrontendKey {
	frontend := packet.Key.Frontend()
	return &frontend
}

// TestFullQueueHoldsNoMoreOpenings checks that openings are not held once the queue is full.
func TestFullQueueHoldsNoMoreOpenings(t *testing.T) {
	is := is.New(t)
	core, now := coreWithHeldOpenings(t, 128)
	for number := range uint16(50) {
		is.True(core.send(now, holdableOpening(50000+number)).Action != ActionHold)
	}
	is.Equal(core.HeldOpenings(), 128)
}

// TestHeldOpeningsToUnreachableZonesAreRefused checks that the next retry refuses held openings,
// apart from a probe, once all zones with back ends are unreachable.
func TestHeldOpeningsToUnreachableZonesAreRefused(t *testing.T) {
	is := is.New(t)
	core, now := coreWithHeldOpenings(t, 3)
	tracker := core.affinity.(*tokenAffinity).reachability
	sent := now
	now += 5 * time.Millisecond
	for identity := range reachability.Identity(4) {
		tracker.RecordUnanswered(sent+300*time.Millisecond, "", identity+1, sent+time.Duration(identity))
	}
	tracker.Tick(sent + 300*time.Millisecond)
	is.True(!tracker.Reachable(""))
	released := core.retryQueued(now)
	is.Equal(len(released), 3)
	refused := 0
	for _, opening := range released {
		if opening.Decision.Action == ActionRefuse {
			is.Equal(opening.Decision.Reason, ReasonUnreachable)
			refused++
		}
	}
	is.True(refused >= 2)
}
