package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
)

// overloadedCore returns a core whose web service is overloaded: its requests take 300 ms instead
// of 20 ms. It also returns the time and a packet of an open flow.
func overloadedCore(t testing.TB, backends int) (core *tokenCore, now time.Duration, open Packet) {
	is := is.New(t)
	core = newTokenCore()
	listing := tokenListing(9)
	for i := range backends {
		name := lb.BackendName(fmt.Sprintf("i-%d", i))
		listing.Backends = append(listing.Backends, tokenBackend(name, "web", uint64(i+1), lb.BackendActive))
	}
	routes := listing.Configuration.Configuration.Routes
	for i := range routes {
		routes[i].Objective = lb.Objective{Priority: 1, TargetMillis: 200}
	}
	core.applyListing(0, listing)
	serveFlows := func(flows int, latency time.Duration) {
		for range flows {
			now += 5 * time.Millisecond
			opening := tokenOpening(uint16(now/time.Millisecond), 443)
			decision := core.send(now, opening)
			if decision.Action != ActionForward {
				continue
			}
			open = opening
			open.Kind, open.Token, open.HasData, open.Acknowledged = PacketMiddle, decision.Token, true, 1
			core.send(now, open)
			open.HasData, open.Acknowledged = false, 2
			core.send(now+latency, open)
			core.Step(now+latency, &Event{Tick: true}, &core.effects)
			now += latency
		}
	}
	serveFlows(200, 20*time.Millisecond)
	serveFlows(10*backends, 300*time.Millisecond)
	is.True(core.OverloadStatus()[0].Pressure > 1)
	return core, now, open
}

// countRefusals sends openings at one moment and counts the refused ones.
func countRefusals(core *tokenCore, now time.Duration, openings int, copies uint32) (refused int, last Decision) {
	for i := range openings {
		packet := tokenOpening(uint16(40000+i), 443)
		packet.Copies = copies
		if decision := core.send(now, packet); decision.Action == ActionRefuse {
			refused++
			last = decision
		}
	}
	return refused, last
}

// TestOverloadRefusesFirstCopiesOnly checks that first copies are refused at once as not run, with
// a retry time. Later copies are not refused, because another node may have forwarded an earlier
// copy.
func TestOverloadRefusesFirstCopiesOnly(t *testing.T) {
	is := is.New(t)
	core, now, _ := overloadedCore(t, 4)
	refused, decision := countRefusals(core, now, 200, 0)
	is.True(refused > 150)
	is.Equal(decision.Reason, ReasonOverload)
	is.Equal(decision.Pressure, core.OverloadStatus()[0].Pressure)
	is.Equal(decision.Refusal.Verdict, lb.NotRun)
	is.True(decision.Refusal.RetryAfter > 0)
	refused, _ = countRefusals(core, now, 200, 1)
	is.Equal(refused, 0)
}

// TestOverloadDoesNotAffectOpenFlows checks that all later packets of open flows are still
// forwarded.
func TestOverloadDoesNotAffectOpenFlows(t *testing.T) {
	is := is.New(t)
	core, now, open := overloadedCore(t, 4)
	for i := range 100 {
		open.Acknowledged, open.HasData = uint32(10+i), i%2 == 0
		is.Equal(core.send(now, open).Action, ActionForward)
	}
}

// TestOverloadOfOneServiceDoesNotAffectAnother covers two services on the same node.
func TestOverloadOfOneServiceDoesNotAffectAnother(t *testing.T) {
	is := is.New(t)
	core, now, _ := overloadedCore(t, 4)
	listing := tokenListing(19, tokenBackend("i-docs", "docs", 90, lb.BackendActive))
	for i := range 4 {
		name := lb.BackendName(fmt.Sprintf("i-%d", i))
		listing.Backends = append(listing.Backends, tokenBackend(name, "web", uint64(i+1), lb.BackendActive))
	}
	core.applyListing(now, listing)
	for i := range 100 {
		is.Equal(core.send(now, tokenOpening(uint16(50000+i), 8443)).Action, ActionForward)
	}
}

// BenchmarkTokenOpen measures the decision on an opening among 18 back ends, while the service is
// not overloaded and while it is.
func BenchmarkTokenOpen(b *testing.B) {
	bench := func(b *testing.B, core *tokenCore, now time.Duration) {
		packet := tokenOpening(1, 443)
		event := Event{Packet: &packet}
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			packet.Key.SourcePort = uint16(i)
			core.Step(now, &event, &core.effects)
		}
	}
	b.Run("calm", func(b *testing.B) {
		core := newTokenCore()
		listing := tokenListing(9)
		for i := range 18 {
			listing.Backends = append(listing.Backends, tokenBackend(lb.BackendName(fmt.Sprintf("i-%d", i)), "web", uint64(i+1), lb.BackendActive))
		}
		core.applyListing(0, listing)
		bench(b, core, 0)
	})
	b.Run("overloaded", func(b *testing.B) {
		core, now, _ := overloadedCore(b, 18)
		bench(b, core, now)
	})
}
