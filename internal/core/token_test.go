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

// tokenRoutes are the ports of the front ends in these tests.
var tokenRoutes = []uint16{443, 8443}

func tokenBackend(name lb.BackendName, service lb.ServiceName, identity uint64, state lb.BackendState) view.StoredBackend {
	return view.StoredBackend{Revision: int64(identity), Backend: view.Backend{
		Name: name, Identity: identity, Service: service, State: state, Created: int64(identity),
		Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(7000+identity)),
	}}
}

// tokenListing sends port 443 to web and port 8443 to docs.
func tokenListing(revision int64, backends ...view.StoredBackend) *view.Listing {
	configuration := view.Configuration{Version: 1}
	for index, service := range []lb.ServiceName{"web", "docs"} {
		configuration.Routes = append(configuration.Routes, view.Route{
			Frontend: lb.Frontend{Address: tokenFrontend(tokenRoutes[index]), Protocol: lb.TCP},
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

// tokenCore is a core with a view.
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

func (core *tokenCore) list(now time.Duration, listing *view.Listing) {
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

func TestTokenBeforeAnyView(t *testing.T) {
	is := is.New(t)
	core := newTokenCore()
	for _, packet := range []Packet{tokenOpening(1, 443), {Key: tokenFlow(1, 443), Kind: PacketMiddle, Token: 5}} {
		decision := core.send(0, packet)
		is.Equal(decision.Action, ActionDrop)
		is.Equal(decision.Reason, ReasonNoView)
	}
}

func TestTokenRefusals(t *testing.T) {
	core := newTokenCore()
	core.list(0, tokenListing(9, tokenBackend("i-1", "web", 1, lb.BackendActive)))
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
		{"token that nobody gave", Packet{Key: tokenFlow(1, 443), Kind: PacketMiddle, Token: 12345}, 0, ActionDrop, ReasonUnknownToken, 0},
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

// TestOpeningsOfEvacuatedServicesAreRefusedAtOnce: no back end gets them, and the
// first copy is known not to have run. Open flows go on.
func TestOpeningsOfEvacuatedServicesAreRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	core := newTokenCore()
	stored := tokenBackend("i-1", "web", 1, lb.BackendActive)
	stored.Backend.Zone = "za"
	core.list(0, tokenListing(9, stored))
	opened := core.send(0, tokenOpening(1, 443))
	is.Equal(opened.Action, ActionForward)

	listing := tokenListing(10, stored)
	listing.Evacuations = []view.StoredEvacuation{{Revision: 10, Zone: "za"}}
	core.list(time.Second, listing)
	refused := core.send(time.Second, tokenOpening(2, 443))
	is.Equal(refused.Action, ActionRefuse)
	is.Equal(refused.Reason, ReasonEvacuated)
	is.Equal(refused.Refusal.Verdict, lb.NotRun)
	copied := core.send(time.Second, tokenOpening(1, 443)) // a copy would open a flow there, too
	is.Equal(copied.Action, ActionRefuse)
	later := core.send(time.Second, Packet{Key: tokenFlow(1, 443), Kind: PacketMiddle, Token: opened.Token})
	is.Equal(later.Action, ActionForward)
	is.Equal(later.Identity, uint64(1))
}

// coldListing has one service whose back ends bear a new flow a second while cold.
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

// TestColdBackendsGetFewFlows: none while others are ready; where none is, what this
// node's part of the bound allows, and the rest is refused at once as not run.
func TestColdBackendsGetFewFlows(t *testing.T) {
	is := is.New(t)
	core := newTokenCore()
	core.affinity.(*tokenAffinity).coldStart = coldstart.New(coldstart.Settings{
		Zone: "za", Overage: 1, Slack: 5, Owners: 3, Window: time.Second, Alone: true,
	})
	core.Step(0, &Event{Members: []Member{{Zone: "za"}}}, &core.effects)
	core.list(0, coldListing(9, time.Hour, 0))
	for number := range uint16(100) {
		is.Equal(core.send(0, tokenOpening(number+1, 443)).Identity, uint64(2))
	}
	now := 1800 * time.Millisecond
	core.list(0, coldListing(10, time.Hour))
	core.list(now/2, coldListing(10, time.Hour))
	core.list(now, coldListing(11, time.Hour)) // the other one is no last resort any more
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

// TestTokenKeepsFlowsWhileViewsChange: any node that knows the flow's back end
// sends its packets there, whatever else its view says, and no packet goes to
// a service that its front end did not name when the flow was opened.
func TestTokenKeepsFlowsWhileViewsChange(t *testing.T) {
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
				for _, victim := range history[len(history)-1].Backends {
					delete(present, victim.Backend.Name)
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
				node.list(now, history[seen[index]])
			case 2:
				packet := tokenOpening(uint16(step+1), rapid.SampledFrom(tokenRoutes).Draw(t, "port"))
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

// BenchmarkTokenFollow is the decision on a later packet.
func BenchmarkTokenFollow(b *testing.B) {
	core := newTokenCore()
	core.list(0, tokenListing(9, tokenBackend("i-1", "web", 1, lb.BackendActive), tokenBackend("i-2", "web", 2, lb.BackendActive)))
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

// TestRestartedBackendIsAStranger: the load is that of back ends that crash and start again
// under their names. What was learned of the old run, and is told of it late, does not
// hold the new one back. Packets of the old run's flows go to it, which resets them at
// once: their callers learn that they are gone without waiting.
func TestRestartedBackendIsAStranger(t *testing.T) {
	is := is.New(t)
	core := newTokenCore()
	core.settings.PauseLimit = time.Hour // the test passes over minutes
	observer := core.affinity.(*tokenAffinity).observer
	old := tokenBackend("i-1", "web", 1, lb.BackendActive)
	old.Backend.Born = 1000
	core.list(0, tokenListing(9, old))
	run := passivehealth.Identity(old.Backend.Run())
	opened := core.send(0, tokenOpening(1, 443))
	is.Equal(opened.Action, ActionForward)
	is.Equal(opened.Identity, uint64(1)) // what packets say does not change with the run
	core.Step(200*time.Millisecond, &Event{Tick: true}, &core.effects)
	is.Equal(observer.Factor(200*time.Millisecond, "web", run), 0.0) // it has left the opening unanswered
	is.Equal(observer.Busy(run), 1)

	restarted := old
	restarted.Revision = 10
	restarted.Backend.Born = 2000
	core.list(200*time.Millisecond, tokenListing(10, restarted))
	core.Step(200*time.Millisecond, &Event{Ejected: []passivehealth.Identity{run}}, &core.effects) // a late verdict
	started := passivehealth.Identity(restarted.Backend.Run())
	is.Equal(observer.Factor(200*time.Millisecond, "web", started), 1.0)
	is.Equal(observer.Busy(started), 0)
	is.Equal(observer.Busy(run), 0)
	is.Equal(core.send(200*time.Millisecond, tokenOpening(2, 443)).Action, ActionForward)

	busy := observer.Busy(started)
	later := core.send(200*time.Millisecond, Packet{Key: tokenFlow(1, 443), Kind: PacketMiddle, Token: opened.Token, HasData: true})
	is.Equal(later.Action, ActionForward)
	is.Equal(later.Identity, uint64(1))
	is.Equal(later.Token, opened.Token)
	is.Equal(observer.Busy(started), busy) // it will reset the flow, not answer
	is.Equal(len(core.effects.Outcomes), 0)

	core.replica.Prune(time.Second + view.GoneRetention) // callers have given up by then
	core.Step(2*view.GoneRetention, &Event{Table: steering.Compile(core.replica, "za", 2*view.GoneRetention)}, &core.effects)
	forgotten := core.send(2*view.GoneRetention, Packet{Key: tokenFlow(1, 443), Kind: PacketMiddle, Token: opened.Token})
	is.Equal(forgotten.Reason, ReasonUnknownToken)
}

// TestRestartUnderAnotherServiceGetsNoPacketOfTheOld: its name and number are the same.
func TestRestartUnderAnotherServiceGetsNoPacketOfTheOld(t *testing.T) {
	is := is.New(t)
	core := newTokenCore()
	old := tokenBackend("i-1", "web", 1, lb.BackendActive)
	old.Backend.Born = 1000
	core.list(0, tokenListing(9, old))
	opened := core.send(0, tokenOpening(1, 443))
	restarted := old
	restarted.Revision = 10
	restarted.Backend.Born, restarted.Backend.Service = 2000, "docs"
	core.list(time.Second, tokenListing(10, restarted))
	later := core.send(time.Second, Packet{Key: tokenFlow(1, 443), Kind: PacketMiddle, Token: opened.Token})
	is.Equal(later.Action, ActionDrop)
	is.Equal(later.Reason, ReasonUnknownToken)
}

// lateAnswerCore has three back ends, and a flow whose first copy one of them has left
// unanswered until a copy was placed at another. It gives the decisions on both.
func lateAnswerCore(is *is.I) (core *tokenCore, first, second Decision) {
	core = newTokenCore()
	core.list(0, tokenListing(9, tokenBackend("i-1", "web", 1, lb.BackendActive),
		tokenBackend("i-2", "web", 2, lb.BackendActive), tokenBackend("i-3", "web", 3, lb.BackendActive)))
	opening := tokenOpening(1, 443)
	first = core.send(time.Millisecond, opening)
	opening.Copies = 1
	second = core.send(201*time.Millisecond, opening)
	is.True(first.Identity != second.Identity)
	return core, first, second
}

// laterPacket is a packet of the flow of lateAnswerCore.
func laterPacket(token steering.Token, acknowledged uint32) Packet {
	return Packet{Key: tokenFlow(1, 443), Kind: PacketMiddle, Token: token, Acknowledged: acknowledged, HasData: true}
}

// TestLateAnswerMovesNoFlow guards against resets of open flows: a back end that answers an earlier
// copy late has the caller repeat its token.
func TestLateAnswerMovesNoFlow(t *testing.T) {
	is := is.New(t)
	core, first, second := lateAnswerCore(is)
	decision := core.send(202*time.Millisecond, laterPacket(second.Token, 5001))
	is.Equal(decision.Corrected, false)
	decision = core.send(300*time.Millisecond, laterPacket(first.Token, 5001))
	is.Equal(decision.Identity, second.Identity)
	is.Equal(decision.Token, second.Token)
	is.True(decision.Corrected)
	is.Equal(core.Tracked().Corrected, uint64(1))
}

// TestSlowAnswerOpensTheFlow: the caller may accept the answer to the first copy.
func TestSlowAnswerOpensTheFlow(t *testing.T) {
	is := is.New(t)
	core, first, second := lateAnswerCore(is)
	is.Equal(core.send(202*time.Millisecond, laterPacket(first.Token, 5001)).Identity, first.Identity)
	is.Equal(core.send(203*time.Millisecond, laterPacket(second.Token, 5001)).Identity, first.Identity)
}

// secondBalancerCore has two back ends, and has placed the first copy of the flow of lateAnswerCore at one of
// them. It gives that decision, and the one by which another balancer would place a copy at the other.
func secondBalancerCore() (core *tokenCore, first, other Decision) {
	core = newTokenCore()
	core.list(0, tokenListing(9, tokenBackend("i-1", "web", 1, lb.BackendActive), tokenBackend("i-2", "web", 2, lb.BackendActive)))
	first = core.send(time.Millisecond, tokenOpening(1, 443))
	host := core.affinity.(*tokenAffinity).table.HostOfRun(3 - first.Identity)
	key := tokenFlow(1, 443)
	frontend := key.Frontend()
	return core, first, Decision{Identity: host.Identity, Token: host.Token(&frontend)}
}

// TestLateAnswerMovesNoFlowOpenedElsewhere: the copy that opened the flow was placed by
// another balancer, and the flow's packets come to this one later.
func TestLateAnswerMovesNoFlowOpenedElsewhere(t *testing.T) {
	is := is.New(t)
	core, first, other := secondBalancerCore()
	is.Equal(core.send(300*time.Millisecond, laterPacket(other.Token, 5001)).Identity, other.Identity)
	is.Equal(core.send(400*time.Millisecond, laterPacket(first.Token, 5001)).Identity, other.Identity)
}

// TestLateAnswerOfAnotherBalancersHostMovesNoFlow: the first copy opened the flow here, and a second one
// was placed elsewhere by another balancer.
func TestLateAnswerOfAnotherBalancersHostMovesNoFlow(t *testing.T) {
	is := is.New(t)
	core, first, other := secondBalancerCore()
	is.Equal(core.send(220*time.Millisecond, laterPacket(first.Token, 5001)).Identity, first.Identity)
	moved := core.send(300*time.Millisecond, laterPacket(other.Token, 5400))
	is.Equal(moved.Identity, first.Identity)
	is.True(moved.Corrected)
	// A new flow of the same ports has other acknowledgements, or begins here.
	is.Equal(core.send(400*time.Millisecond, laterPacket(other.Token, 1<<31)).Identity, other.Identity)
}

// TestReopenedPortsGoByTheNewToken: what was known of the flow before does not count.
func TestReopenedPortsGoByTheNewToken(t *testing.T) {
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

// TestNewFlowOfTheSamePortsGoesByItsToken: also one that another balancer has placed.
func TestNewFlowOfTheSamePortsGoesByItsToken(t *testing.T) {
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

// TestCopiesAreNoProbes guards against openings that go unanswered while back ends answer: a copy does not go to
// a back end that left openings unanswered and has not answered since, though new openings try it again.
func TestCopiesAreNoProbes(t *testing.T) {
	is := is.New(t)
	for steps := range 60 {
		s := &coreWithSilentBackends{tokenCore: newTokenCore()}
		s.list(0, tokenListing(9, tokenBackend("i-1", "web", 1, lb.BackendActive), tokenBackend("i-2", "web", 2, lb.BackendActive),
			tokenBackend("i-3", "web", 3, lb.BackendActive), tokenBackend("i-4", "web", 4, lb.BackendActive)))
		now := time.Duration(0)
		for range 20 + steps {
			now += 50 * time.Millisecond
			s.open(now)
			s.Step(now, &Event{Tick: true}, &s.effects)
		}
		for s.open(now).Identity > lastSilentIdentity {
			now += time.Millisecond
		}
		copied := tokenOpening(s.number, 443)
		copied.Copies = 1
		now += 200 * time.Millisecond
		s.open(now - time.Millisecond)
		is.True(s.send(now, copied).Identity > lastSilentIdentity)
	}
}

// lastSilentIdentity is the identity of the last back end that leaves everything unanswered.
const lastSilentIdentity = 2

// coreWithSilentBackends is a core two of whose four back ends are silent.
type coreWithSilentBackends struct {
	*tokenCore
	number uint16 // of the last flow
}

// open opens a flow, if its back end answers.
func (s *coreWithSilentBackends) open(now time.Duration) Decision {
	s.number++
	decision := s.send(now, tokenOpening(s.number, 443))
	if decision.Identity > lastSilentIdentity {
		s.send(now, Packet{Key: tokenFlow(s.number, 443), Kind: PacketMiddle, Token: decision.Token, Acknowledged: 1})
	}
	return decision
}
