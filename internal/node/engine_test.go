package node

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"robinpulley.example/robinpulley/internal/config"
	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/gossip"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/member"
	"robinpulley.example/robinpulley/internal/message"
	"robinpulley.example/robinpulley/internal/placement"
	"robinpulley.example/robinpulley/internal/transport"
)

var frontend = netip.MustParseAddrPort("192.0.2.10:443")

// newTestEngine returns the engine of a node without peers, with one service.
func newTestEngine(t testing.TB) *engine {
	is := is.New(t)
	settings, err := config.Load("", config.Overrides{
		Node: "a", Zone: "za", DataAddress: "127.0.0.1:1", ControlAddress: "127.0.0.1:2",
		FabricReply: []string{"127.0.0.1:3"}, StoreEndpoints: []string{"http://127.0.0.1:4"},
	})
	is.NoErr(err)
	node := &Node{settings: settings, logger: zerolog.Nop()}
	is.NoErr(node.buildEngine())
	node.engine.transmit = func(netip.AddrPort, message.Message) {}
	document, err := placement.New("wallet", placement.WriteStamp{WriteID: "w1"},
		placement.SetFrontends([]lb.Frontend{{Address: frontend, Protocol: lb.TCP}}),
		placement.Prepare([]placement.Target{{Name: "h1", Host: netip.MustParseAddrPort("127.0.0.1:5"), Weight: 100}}),
		placement.Commit())
	is.NoErr(err)
	node.engine.runInput(func() {
		node.engine.memberStep(&member.Event{})
		node.engine.gossipStep(&gossip.Event{Placements: []*lb.Placement{document}})
	})
	return node.engine
}

func testPacket(port uint16, kind core.PacketKind) *core.Packet {
	source := netip.AddrPortFrom(netip.MustParseAddr("198.51.100.1"), port)
	return &core.Packet{Key: lb.NewFlowKey(source, frontend, lb.TCP), Kind: kind}
}

func TestLoneNodeForwards(t *testing.T) {
	is := is.New(t)
	engine := newTestEngine(t)
	decision := engine.decide(testPacket(1024, core.PacketOpening))
	is.Equal(decision.Action, core.ActionForward)
	is.Equal(decision.Host.String(), "127.0.0.1:5")
	is.Equal(len(engine.openings.byAge), 1) // the opening is monitored
}

func TestStepTimeNeverDecreases(t *testing.T) {
	is := is.New(t)
	engine := newTestEngine(t)
	engine.clock = func() time.Duration { return time.Second }
	engine.tick(true)
	engine.clock = func() time.Duration { return time.Millisecond }
	engine.tick(true)
	is.Equal(engine.lastStep, time.Second)
}

// BenchmarkDecide measures the decision on a packet of an open flow: mutex, clock and core.
func BenchmarkDecide(b *testing.B) {
	engine := newTestEngine(b)
	packets := make([]*core.Packet, 1024)
	for index := range packets {
		packets[index] = testPacket(uint16(1024+index), core.PacketMiddle)
	}
	b.ReportAllocs()
	for index := 0; b.Loop(); index++ {
		engine.decide(packets[index%len(packets)])
	}
}

// TestMessageBeforeEndpointsAreOpenIsDropped checks that a request is dropped while the transport,
// which would send the answer, is still being opened.
func TestMessageBeforeEndpointsAreOpenIsDropped(t *testing.T) {
	is := is.New(t)
	engine := newTestEngine(t)
	node := &Node{settings: engine.settings, engine: engine}
	engine.transmit = node.transmit
	request := transport.Incoming{
		From:    "b",
		Address: netip.MustParseAddrPort("127.0.0.1:9"),
		Message: message.Ping{Incarnation: 1, RequestMembers: true},
	}
	node.receive(request)
	is.Equal(len(engine.outbox), 0)
	answers := 0
	engine.transmit = func(netip.AddrPort, message.Message) { answers++ }
	node.isOpen.Store(true)
	node.receive(request)
	is.True(answers > 0)
}
