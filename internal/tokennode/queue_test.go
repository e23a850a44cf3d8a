package tokennode

import (
	"bytes"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/steering"
	"robinpulley.example/robinpulley/internal/view"
)

// newOverloadedEngine returns an engine whose only service is overloaded: its requests take 300 ms
// instead of 20 ms.
func newOverloadedEngine(t *testing.T, logger zerolog.Logger, now *time.Duration) *engine {
	e := newEngineWithView(t, logger, now)
	listing := &view.Listing{Revision: 40, Configuration: &view.StoredConfiguration{Revision: 40, Configuration: view.Configuration{
		Version: 2,
		Routes: []view.Route{{
			Frontend: lb.Frontend{Address: testFrontend, Protocol: lb.TCP}, Targets: []view.Target{{Service: "web", Weight: 1}},
			Objective: lb.Objective{Priority: 1, TargetMillis: 400},
		}},
	}}}
	for index := range 4 {
		listing.Backends = append(listing.Backends, view.StoredBackend{Revision: 40, Backend: view.Backend{
			Name: lb.BackendName(fmt.Sprintf("i-%d", index)), Identity: uint64(index + 1), Service: "web", State: lb.BackendActive,
			Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(7000+index)), Created: int64(index + 2),
		}})
	}
	replica := view.NewReplica()
	replica.ApplyListing(*now, listing)
	e.core.Step(*now, &core.Event{Table: steering.Compile(replica, "za", *now)}, &e.coreEffects)
	number := 0
	answer := func(flows int, duration time.Duration) {
		for range flows {
			number++
			*now += 5 * time.Millisecond
			packet := openingPacket(number, testFrontend)
			decision := e.decide(packet)
			if decision.Action != core.ActionForward {
				continue
			}
			packet.Kind, packet.Token, packet.HasData, packet.Acknowledged = core.PacketMiddle, decision.Token, true, 1
			e.decide(packet)
			*now += duration
			packet.HasData, packet.Acknowledged = false, 2
			e.decide(packet)
			e.core.Step(*now, &core.Event{Tick: true}, &e.coreEffects)
		}
	}
	answer(200, 20*time.Millisecond)
	answer(60, 300*time.Millisecond)
	return e
}

// holdOpenings sends openings to the engine until it holds count of them.
func holdOpenings(t *testing.T, e *engine, count int) {
	for number := range 5000 {
		packet := openingPacket(100_000+number, testFrontend)
		packet.Datagram = make([]byte, 34)
		e.decide(packet)
		if e.core.HeldOpenings() == count {
			return
		}
	}
	t.Fatalf("%d openings are held", e.core.HeldOpenings())
}

// TestHeldOpeningsAreRetried checks that the first held opening wakes the retry loop, that each
// decision on a held opening is returned once, and that its log line contains the waiting time.
func TestHeldOpeningsAreRetried(t *testing.T) {
	is := is.New(t)
	var lines bytes.Buffer
	now := time.Duration(0)
	e := newOverloadedEngine(t, zerolog.New(&lines), &now)
	is.Equal(len(e.openingHeld), 0)
	holdOpenings(t, e, 3)
	is.Equal(len(e.openingHeld), 1)
	now += 10 * time.Millisecond
	released, more := e.stepQueue(&core.Event{RetryQueued: true})
	is.Equal(len(released), 0)
	is.True(more)
	lines.Reset()
	now += 75 * time.Millisecond
	released, more = e.stepQueue(&core.Event{RetryQueued: true})
	is.Equal(len(released), 3)
	is.True(!more)
	is.True(strings.Contains(lines.String(), `"waited_ms":85`))
	released, _ = e.stepQueue(&core.Event{RetryQueued: true})
	is.Equal(len(released), 0)
	state := e.state()
	is.Equal(state.heldOpenings, 0)
	is.Equal(state.stats.HeldOpenings.Held, uint64(3))
	is.Equal(state.stats.HeldOpenings.HeldTime, 255*time.Millisecond)
}

// TestPlannedStopDecidesAllHeldOpenings checks that closing the queue decides on all held openings
// at once, and that no opening is held afterwards.
func TestPlannedStopDecidesAllHeldOpenings(t *testing.T) {
	is := is.New(t)
	now := time.Duration(0)
	e := newOverloadedEngine(t, zerolog.Nop(), &now)
	holdOpenings(t, e, 5)
	released, more := e.stepQueue(&core.Event{CloseQueue: true})
	is.Equal(len(released), 5)
	is.True(!more)
	for number := range 200 {
		packet := openingPacket(200_000+number, testFrontend)
		packet.Datagram = make([]byte, 34)
		is.True(e.decide(packet).Action != core.ActionHold)
	}
}
