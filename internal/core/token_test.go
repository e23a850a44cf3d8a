package core

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"robinpulley.example/robinpulley/internal/coldstart"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/passivehealth"
	"robinpulley.example/robinpulley/internal/steering"
	"robinpulley.example/robinpulley/internal/view"
)

// tokenPorts are the ports of the front ends in these tests.
var tokenPorts = []uint16{443, 8443}

func tokenBackend(name lb.BackendName, service lb.ServiceName, identity uint64, state lb.BackendState) view.StoredBackend {
	return view.StoredBackend{Revision: int64(identity), Backend: view.Backend{
		Name: name, Identity: identity, Service: service, State: state, Created: int64(identity),
		Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(7000+identity)),
	}}
}

// tokenListing returns a listing that routes port 443 to web and port 8443 to docs.
func tokenListing(revision int64, backends ...view.StoredBackend) *view.Listing {
	configuration := view.Configuration{Version: 1}
	for index, service := range []lb.ServiceName{"web", "docs"} {
		configuration.Routes = append(configuration.Routes, view.Route{
			Frontend: lb.Frontend{Address: tokenFrontend(tokenPorts[index]), Protocol: lb.TCP},
			Targets:  []view.Target{{Service: service, Weight: 1}},
		})
	}
	return &view.Listing{
		Revision: revision, Backends: backends,
		Configuration: &view.StoredConfiguration{Revision: 1, Configuration: configuration},
	}
}

func tokenFrontend(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("192.0.2.1"), port)
}

// tokenCore is a core with AffinityToken and its view.
type tokenCore struct {
	*Core
	replica *view.Replica
	effects Effects
}

func newTokenCore() *tokenCore {
	settings := DefaultSettings("n1", "za")
	settings.Affinity = AffinityToken
	return &tokenCore{Core: New(settings), replica: view.NewReplica()}
}

func (core *tokenCore) applyListing(now time.Duration, listing *view.Listing) {
	core.replica.ApplyListing(now, listing)
	core.Step(now, &Event{Table: steering.Compile(core.replica, "za", now)}, &core.effects)
}

func (core *tokenCore) send(now time.Duration, packet Packet) Decision {
	core.Step(now, &Event{Packet: &packet}, &core.effects)
	return core.effects.Decision
}

func tokenFlow(number uint16, port uint16) lb.FlowKey {
	source := netip.AddrPortFrom(netip.MustParseAddr("198.51.100.1"), number)
	return lb.NewFlowKey(source, tokenFrontend(port), lb.TCP)
}

func tokenOpening(number, port uint16) Packet {
	return Packet{Key: tokenFlow(number, port), Kind: PacketOpening, OpeningID: 7}
}

// TestPacketsBeforeAnyViewAreDropped checks that a node without a configuration refuses nothing,
// since other nodes may know the service.
func TestPacketsBeforeAnyViewAreDropped(t *testing.T) {
	is := is.New(t)
	core := newTokenCore()
	for _, packet := range []Packet{tokenOpening(1, 443), {Key: tokenFlow(1, 443), Kind: PacketMiddle, Token: 5}} {
		decision := core.send(0, packet)
		is.Equal(decision.Action, ActionDrop)
		is.Equal(decision.Reason, ReasonNoView)
	}
}

// TestTokenRefusals checks the action, reason and verdict for packets that no back end can receive,
// and that retry times are spread over twice the base time.
func TestTokenRefusals(t *testing.T) {
	core := newTokenCore()
	core.applyListing(0, tokenListing(9, tokenBackend("i-1", "web", 1, lb.BackendActive)))
	cases := []struct {
		name    string
		packet  Packet
		copies  uint32
		action  Action
		reason  Reason
		verdict lb.Verdict
	}{
		{"unknown front end", tokenOpening(1, 80), 0, ActionRefuse, ReasonUnknownService, lb.NotRun},
		{"a copy may have been forwarded elsewhere", tokenOpening(1, 80), 1, ActionRefuse, ReasonUnknownService, lb.MayHaveRun},
		{"no back end", tokenOpening(1, 8443), 0, ActionRefuse, ReasonNoBackend, lb.NotRun},
		{"token that was never issued", Packet{Key: tokenFlow(1, 443), Kind: PacketMiddle, Token: 12345}, 0, ActionDrop, ReasonUnknownToken, 0},
		{"no token", Packet{Key: tokenFlow(1, 443), Kind: PacketClosing}, 0, ActionDrop, ReasonUnknownToken, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			packet := test.packet
			packet.Copies = test.copies
			decision := core.send(0, packet)
			is.Equal(decision.Action, test.action)
			is.Equal(decision.Reason, test.reason)
			is.Equal(decision.Refusal.Verdict, test.verdict)
			if decision.Action == ActionRefuse {
				base := core.settings.RetryAfter
				is.True(decision.Refusal.RetryAfter >= base && decision.Refusal.RetryAfter < 2*base)
			}
		})
	}
}

// TestOpeningsOfEvacuatedServicesAreRefusedAtOnce checks that no back end of an evacuated service
// receives openings, and that first copies are refused as not run. Open flows continue.
func TestOpeningsOfEvacuatedServicesAreRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	core := newTokenCore()
	stored := tokenBackend("i-1", "web", 1, lb.BackendActive)
	stored.Backend.Zone = "za"
	core.applyListing(0, tokenListing(9, stored))
	opened := core.send(0, tokenOpening(1, 443))
	is.Equal(opened.Action, ActionForward)

	listing := tokenListing(10, stored)
	listing.Evacuations = []view.StoredEvacuation{{Revision: 10, Zone: "za"}}
	core.applyListing(time.Second, listing)
	refused := core.send(time.Second, tokenOpening(2, 443))
	is.Equal(refused.Action, ActionRefuse)
	is.Equal(refused.Reason, ReasonEvacuated)
	is.Equal(refused.Refusal.Verdict, lb.NotRun)
	copied := core.send(time.Second, tokenOpening(1, 443)) // a copy would open a flow, too
	is.Equal(copied.Action, ActionRefuse)
	laterDecision := core.send(time.Second, Packet{Key: tokenFlow(1, 443), Kind: PacketMiddle, Token: opened.Token})
	is.Equal(laterDecision.Action, ActionForward)
	is.Equal(laterDecision.Identity, uint64(1))
}

// coldListing returns a listing with one service whose back ends accept one new flow per second
// while they are cold.
func coldListing(revision int64, cold ...time.Duration) *view.Listing {
	listing := tokenListing(revision)
	listing.Configuration.Configuration.ColdRates = []view.ColdRate{{Service: "web", PerSecond: 1}}
	for index, remaining := range cold {
		stored := tokenBackend(lb.BackendName(fmt.Sprintf("i-%d", index)), "web", uint64(index+1), lb.BackendActive)
		stored.Backend.Zone = "za"
		stored.Backend.ColdMillis = remaining.Milliseconds()
		listing.Backends = append(listing.Backends, stored)
	}
	return listing
}

// TestColdBackendsGetFewFlows checks that cold back ends receive no flows while others are ready.
// If none is ready, they receive this node's part of their limit, and other openings are refused at
// once as not run.
func TestColdBackendsGetFewFlows(t *testing.T) {
	is := is.New(t)
	core := newTokenCore()
	core.affinity.(*tokenAffinity).coldStart = coldstart.New(coldstart.Settings{
		Zone: "za", RateFactor: 1, Burst: 5, MaxOwners: 3, Window: time.Second, SingleNode: true,
	})
	core.Step(0, &Event{Members: []Member{{Zone: "za"}}}, &core.effects)
	core.applyListing(0, coldListing(9, time.Hour, 0))
	for number := range uint16(100) {
		is.Equal(core.send(0, tokenOpening(number+1, 443)).Identity, uint64(2))
	}
	now := 1800 * time.Millisecond
	core.applyListing(0, coldListing(10, time.Hour))
	core.applyListing(now/2, coldListing(10, time.Hour))
	core.applyListing(now, coldListing(11, time.Hour)) // the other one is no longer a last resort
	forwarded := 0
	for number := range uint16(100) {
		decision := core.send(now, tokenOpening(number+200, 443))
		if decision.Action == ActionForward {
			forwarded++
			continue
		}
		is.Equal(decision.Action, ActionRefuse)
		is.Equal(decision.Reason, ReasonCold)
		is.Equal(decision.Refusal.Verdict, lb.NotRun)
	}
	is.Equal(forwarded, 2) // (1 + 5) / 3
	is.Equal(core.send(now+time.Second, tokenOpening(400, 443)).Action, ActionForward)
}

// TestFlowsKeepBackendWhileViewsChange checks that every node that knows a flow's back end sends
// the flow's packets there, whatever else its view contains. No packet may go to a service to which
// its front end was not routed when the flow was opened.
func TestFlowsKeepBackendWhileViewsChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := []*tokenCore{newTokenCore(), newTokenCore(), newTokenCore()}
		var history []*view.Listing
		present := map[lb.BackendName]view.StoredBackend{}
		identity := uint64(1)
		revision := int64(1)
		change := func() {
			identity++
			revision++
			name := lb.BackendName(rapid.StringMatching(`i-[0-9a-f]{6}`).Draw(t, "name"))
			service := rapid.SampledFrom([]lb.ServiceName{"web", "docs"}).Draw(t, "service")
			state := rapid.SampledFrom([]lb.BackendState{lb.BackendActive, lb.BackendActive, lb.BackendDraining}).Draw(t, "state")
			if _, known := present[name]; !known {
				present[name] = tokenBackend(name, service, identity, state)
			}
			if len(present) > 4 && rapid.Bool().Draw(t, "remove") {
				for _, removed := range history[len(history)-1].Backends {
					delete(present, removed.Backend.Name)
					break
				}
			}
			listing := tokenListing(revision)
			for _, stored := range present {
				listing.Backends = append(listing.Backends, stored)
			}
			history = append(history, listing)
		}
		type openFlow struct {
			key      lb.FlowKey
			token    steering.Token
			identity uint64
		}
		var flows []openFlow
		change()
		seen := make([]int, len(nodes))
		for step := range rapid.IntRange(5, 60).Draw(t, "steps") {
			now := time.Duration(step) * 100 * time.Millisecond
			index := rapid.IntRange(0, len(nodes)-1).Draw(t, "node")
			node := nodes[index]
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				change()
			case 1:
				seen[index] = rapid.IntRange(seen[index], len(history)-1).Draw(t, "view")
				node.applyListing(now, history[seen[index]])
			case 2:
				packet := tokenOpening(uint16(step+1), rapid.SampledFrom(tokenPorts).Draw(t, "port"))
				decision := node.send(now, packet)
				if decision.Action != ActionForward {
					continue
				}
				wanted := lb.ServiceName("web")
				if packet.Key.DestinationPort == 8443 {
					wanted = "docs"
				}
				if decision.Service != wanted {
					t.Fatalf("opening for %s went to %s", wanted, decision.Service)
				}
				flows = append(flows, openFlow{packet.Key, decision.Token, decision.Identity})
			case 3:
				if len(flows) == 0 {
					continue
				}
				flow := flows[rapid.IntRange(0, len(flows)-1).Draw(t, "flow")]
				decision := node.send(now, Packet{Key: flow.key, Kind: PacketMiddle, Token: flow.token})
				switch {
				case decision.Action == ActionForward && decision.Identity != flow.identity:
					t.Fatalf("flow of back end %d went to %d", flow.identity, decision.Identity)
				case decision.Action == ActionRefuse:
					t.Fatalf("an open flow was refused: %s", decision.Reason)
				}
			}
		}
	})
}

// BenchmarkTokenFollow measures the decision on a later packet.
func BenchmarkTokenFollow(b *testing.B) {
	core := newTokenCore()
	core.applyListing(0, tokenListing(9, tokenBackend("i-1", "web", 1, lb.BackendActive), tokenBackend("i-2", "web", 2, lb.BackendActive)))
	opened := core.send(0, tokenOpening(1, 443))
	packet := Packet{Key: tokenFlow(1, 443), Kind: PacketMiddle, Token: opened.Token}
	event := Event{Packet: &packet}
	b.ReportAllocs()
	for b.Loop() {
		core.Step(0, &event, &core.effects)
	}
	if core.effects.Decision.Action != ActionForward {
		b.Fatal("not forwarded")
	}
}

// TestRestartedBackendHasNoStateOfPreviousInstance covers back ends that crash and restart under
// their names. Outcomes and late ejections of the previous instance must not reduce the traffic of
// the new one. Packets of the previous instance's flows go to the new one, which resets them, so
// that clients learn at once that these flows are lost.
func TestRestartedBackendHasNoStateOfPreviousInstance(t *testing.T) {
	is := is.New(t)
	core := newTokenCore()
	core.settings.PauseLimit = time.Hour // the test skips minutes
	observer := core.affinity.(*tokenAffinity).observer
	old := tokenBackend("i-1", "web", 1, lb.BackendActive)
	old.Backend.StartUnixMillis = 1000
	core.applyListing(0, tokenListing(9, old))
	oldInstance := passivehealth.Identity(old.Backend.InstanceID())
	opened := core.send(0, tokenOpening(1, 443))
	is.Equal(opened.Action, ActionForward)
	is.Equal(opened.Identity, uint64(1)) // the identity in packets does not change with the instance
	core.Step(200*time.Millisecond, &Event{Tick: true}, &core.effects)
	is.Equal(observer.Factor(200*time.Millisecond, "web", oldInstance), 0.0) // the back end has left the opening unanswered
	is.Equal(observer.InFlight(oldInstance), 1)

	restarted := old
	restarted.Revision = 10
	restarted.Backend.StartUnixMillis = 2000
	core.applyListing(200*time.Millisecond, tokenListing(10, restarted))
	// A late ejection of the previous instance.
	core.Step(200*time.Millisecond, &Event{Ejected: []passivehealth.Identity{oldInstance}}, &core.effects)
	newInstance := passivehealth.Identity(restarted.Backend.InstanceID())
	is.Equal(observer.Factor(200*time.Millisecond, "web", newInstance), 1.0)
	is.Equal(observer.InFlight(newInstance), 0)
	is.Equal(observer.InFlight(oldInstance), 0)
	is.Equal(core.send(200*time.Millisecond, tokenOpening(2, 443)).Action, ActionForward)

	busy := observer.InFlight(newInstance)
	laterDecision := core.send(200*time.Millisecond, Packet{Key: tokenFlow(1, 443), Kind: PacketMiddle, Token: opened.Token, HasData: true})
	is.Equal(laterDecision.Action, ActionForward)
	is.Equal(laterDecision.Identity, uint64(1))
	is.Equal(laterDecision.Token, opened.Token)
	is.Equal(observer.InFlight(newInstance), busy) // the back end resets the flow, so no answer is outstanding
	is.Equal(len(core.effects.Outcomes), 0)

	core.replica.Prune(time.Second + view.TombstoneRetention) // clients have given up by then
	core.Step(2*view.TombstoneRetention, &Event{Table: steering.Compile(core.replica, "za", 2*view.TombstoneRetention)}, &core.effects)
	forgotten := core.send(2*view.TombstoneRetention, Packet{Key: tokenFlow(1, 443), Kind: PacketMiddle, Token: opened.Token})
	is.Equal(forgotten.Reason, ReasonUnknownToken)
}

// TestRestartUnderOtherServiceGetsNoOldPackets covers a back end that restarts for another service
// under the same name and identity.
func TestRestartUnderOtherServiceGetsNoOldPackets(t *testing.T) {
	is := is.New(t)
	core := newTokenCore()
	old := tokenBackend("i-1", "web", 1, lb.BackendActive)
	old.Backend.StartUnixMillis = 1000
	core.applyListing(0, tokenListing(9, old))
	opened := core.send(0, tokenOpening(1, 443))
	restarted := old
	restarted.Revision = 10
	restarted.Backend.StartUnixMillis, restarted.Backend.Service = 2000, "docs"
	core.applyListing(time.Second, tokenListing(10, restarted))
	laterDecision := core.send(time.Second, Packet{Key: tokenFlow(1, 443), Kind: PacketMiddle, Token: opened.Token})
	is.Equal(laterDecision.Action, ActionDrop)
	is.Equal(laterDecision.Reason, ReasonUnknownToken)
}

// lateAnswerCore returns a core with three back ends and a flow whose first copy was left
// unanswered until a second copy was placed at another back end. It also returns the decisions on
// both copies.
func lateAnswerCore(is *is.I) (core *tokenCore, first, second Decision) {
	core = newTokenCore()
	core.applyListing(0, tokenListing(9, tokenBackend("i-1", "web", 1, lb.BackendActive),
		tokenBackend("i-2", "web", 2, lb.BackendActive), tokenBackend("i-3", "web", 3, lb.BackendActive)))
	opening := tokenOpening(1, 443)
	first = core.send(time.Millisecond, opening)
	opening.Copies = 1
	second = core.send(201*time.Millisecond, opening)
	is.True(first.Identity != second.Identity)
	return core, first, second
}

// laterPacket returns a later packet of the flow of lateReplyCore.
func laterPacket(token steering.Token, acknowledged uint32) Packet {
	return Packet{Key: tokenFlow(1, 443), Kind: PacketMiddle, Token: token, Acknowledged: acknowledged, HasData: true}
}

// TestLateAnswerDoesNotMoveFlow guards against resets of open flows: a back end answers late to an
// earlier copy, and the client then repeats that back end's token.
func TestLateAnswerDoesNotMoveFlow(t *testing.T) {
	is := is.New(t)
	core, first, second := lateAnswerCore(is)
	decision := core.send(202*time.Millisecond, laterPacket(second.Token, 5001))
	is.Equal(decision.Corrected, false)
	decision = core.send(300*time.Millisecond, laterPacket(first.Token, 5001))
	is.Equal(decision.Identity, second.Identity)
	is.Equal(decision.Token, second.Token)
	is.True(decision.Corrected)
	is.Equal(core.TrackedFlowStats().Corrected, uint64(1))
}

// TestSlowAnswerToFirstCopyOpensFlow covers a client that accepts the answer to the first copy
// although a second copy was placed.
func TestSlowAnswerToFirstCopyOpensFlow(t *testing.T) {
	is := is.New(t)
	core, first, second := lateAnswerCore(is)
	is.Equal(core.send(202*time.Millisecond, laterPacket(first.Token, 5001)).Identity, first.Identity)
	is.Equal(core.send(203*time.Millisecond, laterPacket(second.Token, 5001)).Identity, first.Identity)
}

// secondBalancerCore returns a core with two back ends that has placed the first copy of the flow
// of lateReplyCore at one of them. It also returns that decision and the decision with which
// another balancer would place a copy at the other back end.
func secondBalancerCore() (core *tokenCore, first, other Decision) {
	core = newTokenCore()
	core.applyListing(0, tokenListing(9, tokenBackend("i-1", "web", 1, lb.BackendActive), tokenBackend("i-2", "web", 2, lb.BackendActive)))
	first = core.send(time.Millisecond, tokenOpening(1, 443))
	host := core.affinity.(*tokenAffinity).table.HostOfInstance(3 - first.Identity)
	key := tokenFlow(1, 443)
	frontend := key.Frontend()
	return core, first, Decision{Identity: host.Identity, Token: host.Token(&frontend)}
}

// TestLateAnswerDoesNotMoveFlowOpenedByOtherBalancer covers a flow whose opening copy was placed by
// another balancer and whose later packets arrive here.
func TestLateAnswerDoesNotMoveFlowOpenedByOtherBalancer(t *testing.T) {
	is := is.New(t)
	core, first, other := secondBalancerCore()
	is.Equal(core.send(300*time.Millisecond, laterPacket(other.Token, 5001)).Identity, other.Identity)
	is.Equal(core.send(400*time.Millisecond, laterPacket(first.Token, 5001)).Identity, other.Identity)
}

// TestLateAnswerToCopyOfOtherBalancerDoesNotMoveFlow covers a flow that the first copy opened here
// while another balancer placed a second copy at another back end.
func TestLateAnswerToCopyOfOtherBalancerDoesNotMoveFlow(t *testing.T) {
	is := is.New(t)
	core, first, other := secondBalancerCore()
	is.Equal(core.send(220*time.Millisecond, laterPacket(first.Token, 5001)).Identity, first.Identity)
	moved := core.send(300*time.Millisecond, laterPacket(other.Token, 5400))
	is.Equal(moved.Identity, first.Identity)
	is.True(moved.Corrected)
	// A new flow with the same ports has distant acknowledgement numbers, or its opening arrives
	// here.
	is.Equal(core.send(400*time.Millisecond, laterPacket(other.Token, 1<<31)).Identity, other.Identity)
}

// TestReusedPortsUseNewToken checks that the state of an earlier flow with the same ports has no
// effect.
func TestReusedPortsUseNewToken(t *testing.T) {
	is := is.New(t)
	core, first, _ := secondBalancerCore()
	core.send(10*time.Millisecond, laterPacket(first.Token, 5001))
	again := tokenOpening(1, 443)
	again.OpeningID = 8
	for range 4 {
		again.OpeningID++
		second := core.send(time.Second, again)
		is.Equal(core.send(1010*time.Millisecond, laterPacket(second.Token, 5001)).Identity, second.Identity)
	}
}

// TestNewFlowWithSamePortsUsesItsToken also covers a new flow that another balancer has placed.
func TestNewFlowWithSamePortsUsesItsToken(t *testing.T) {
	is := is.New(t)
	core, first, second := lateAnswerCore(is)
	core.send(202*time.Millisecond, laterPacket(second.Token, 5001))
	is.Equal(core.send(time.Second, laterPacket(first.Token, 1<<31)).Identity, first.Identity)
	core.send(2*time.Second, laterPacket(second.Token, 5001))
	opening := tokenOpening(1, 443)
	opening.OpeningID = 8
	core.send(3*time.Second, opening)
	is.Equal(core.send(4*time.Second, laterPacket(first.Token, 5001)).Identity, first.Identity)
}

// TestCopiesDoNotProbeUnresponsiveBackends guards against openings that remain unanswered although
// other back ends answer. New openings probe a back end that has left openings unanswered and has
// not answered since, but copies must not.
func TestCopiesDoNotProbeUnresponsiveBackends(t *testing.T) {
	is := is.New(t)
	for steps := range 60 {
		s := &coreWithUnresponsiveBackends{tokenCore: newTokenCore()}
		s.applyListing(0, tokenListing(9, tokenBackend("i-1", "web", 1, lb.BackendActive), tokenBackend("i-2", "web", 2, lb.BackendActive),
			tokenBackend("i-3", "web", 3, lb.BackendActive), tokenBackend("i-4", "web", 4, lb.BackendActive)))
		now := time.Duration(0)
		for range 20 + steps {
			now += 50 * time.Millisecond
			s.open(now)
			s.Step(now, &Event{Tick: true}, &s.effects)
		}
		for s.open(now).Identity > lastUnresponsiveIdentity {
			now += time.Millisecond
		}
		copied := tokenOpening(s.number, 443)
		copied.Copies = 1
		now += 200 * time.Millisecond
		s.open(now - time.Millisecond)
		is.True(s.send(now, copied).Identity > lastUnresponsiveIdentity)
	}
}

// lastUnresponsiveIdentity is the highest identity of the back ends that never answer.
const lastUnresponsiveIdentity = 2

// coreWithUnresponsiveBackends is a core with four back ends, two of which never answer.
type coreWithUnresponsiveBackends struct {
	*tokenCore
	number uint16 // of the last flow
}

// open opens a flow and, if its back end answers, sends the next packet.
func (s *coreWithUnresponsiveBackends) open(now time.Duration) Decision {
	s.number++
	decision := s.send(now, tokenOpening(s.number, 443))
	if decision.Identity > lastUnresponsiveIdentity {
		s.send(now, Packet{Key: tokenFlow(s.number, 443), Kind: PacketMiddle, Token: decision.Token, Acknowledged: 1})
	}
	return decision
}
