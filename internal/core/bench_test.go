package core

import (
	"encoding/binary"
	"net/netip"
	"testing"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
	"robinpulley.example/robinpulley/internal/placement"
)

const testService lb.ServiceName = "wallet-core"

var (
	testFrontend    = lb.Frontend{Address: netip.MustParseAddrPort("198.18.0.1:443"), Protocol: lb.TCP}
	testFrontendUDP = lb.Frontend{Address: testFrontend.Address, Protocol: lb.UDP}
)

func testTargets(names string) []placement.Target {
	var targets []placement.Target
	for _, name := range names {
		host := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 19, 0, byte(name)}), 6081)
		targets = append(targets, placement.Target{Name: lb.BackendName(name), Host: host, Weight: 100})
	}
	return targets
}

// testPlacements returns the documents of a move from the back ends in before to those in after.
func testPlacements(tb testing.TB, before, after string) (calm, prepared, committed, settled *lb.Placement) {
	tb.Helper()
	must := func(document *lb.Placement, err error) *lb.Placement {
		if err != nil {
			tb.Fatal(err)
		}
		return document
	}
	frontends := placement.SetFrontends([]lb.Frontend{testFrontend, testFrontendUDP})
	calm = must(placement.New(testService, placement.WriteStamp{WriteID: "1"}, frontends, placement.Prepare(testTargets(before)), placement.Commit()))
	prepared = must(placement.Next(calm, placement.WriteStamp{WriteID: "2"}, placement.Prepare(testTargets(after))))
	committed = must(placement.Next(prepared, placement.WriteStamp{WriteID: "3"}, placement.Commit()))
	settled = must(placement.Next(committed, placement.WriteStamp{WriteID: "4"}, placement.Settle(prepared.Version)))
	return calm, prepared, committed, settled
}

func testKey(number int) lb.FlowKey {
	var address [4]byte
	binary.BigEndian.PutUint32(address[:], 0x0a000000|uint32(number>>14))
	source := netip.AddrPortFrom(netip.AddrFrom4(address), uint16(number&0x3fff)+1024)
	return lb.NewFlowKey(source, testFrontend.Address, testFrontend.Protocol)
}

var testMembers = []Member{{ID: "a", Zone: "1"}, {ID: "b", Zone: "2"}, {ID: "c", Zone: "3"}, {ID: "d", Zone: "1"}}

func benchCore(b *testing.B, documents ...*lb.Placement) *Core {
	b.Helper()
	core := New(settingsWithoutPauses("a", "1"))
	var effects Effects
	core.Step(0, &Event{Members: testMembers}, &effects)
	for _, document := range documents {
		core.Step(0, &Event{Placement: document}, &effects)
	}
	core.joinedAt = -joinGracePeriod // the grace period after joining is over
	return core
}

// benchPackets decides the packets in turn and checks that every decision has the wanted action.
func benchPackets(b *testing.B, core *Core, packets []Packet, want Action) {
	b.Helper()
	var effects Effects
	event := &Event{}
	b.ReportAllocs()
	b.ResetTimer()
	for index := range b.N {
		event.Packet = &packets[index%len(packets)]
		core.Step(time.Duration(index)*time.Microsecond, event, &effects)
		if effects.Decision.Action != want {
			b.Fatalf("action %d, want %d (%s)", effects.Decision.Action, want, effects.Decision.Reason)
		}
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "decisions/s")
}

// flowsWhere returns one packet for each of count flows whose buckets satisfy chosen.
func flowsWhere(count int, kind PacketKind, chosen func(index uint16) bool) []Packet {
	var packets []Packet
	for number := 0; len(packets) < count; number++ {
		key := testKey(number)
		if chosen(key.ID().Bucket()) {
			packets = append(packets, Packet{Key: key, Kind: kind, OpeningID: uint32(number + 1)})
		}
	}
	return packets
}

const benchFlows = 20_000

func BenchmarkCalmEstablished(b *testing.B) {
	calm, _, _, _ := testPlacements(b, "ABCDEF", "ABCDE")
	packets := flowsWhere(benchFlows, PacketMiddle, func(uint16) bool { return true })
	benchPackets(b, benchCore(b, calm), packets, ActionForward)
}

func BenchmarkOpeningAtHead(b *testing.B) {
	calm, _, _, _ := testPlacements(b, "ABCDEF", "ABCDE")
	core := benchCore(b, calm)
	service := core.services[testService]
	packets := flowsWhere(benchFlows, PacketOpening, func(index uint16) bool { return core.isHead(core.groupOf(service, index)) })
	benchPackets(b, core, packets, ActionRelay)
}

func BenchmarkRelayToHead(b *testing.B) {
	calm, _, _, _ := testPlacements(b, "ABCDEF", "ABCDE")
	core := benchCore(b, calm)
	service := core.services[testService]
	packets := flowsWhere(benchFlows, PacketOpening, func(index uint16) bool { return !core.isHead(core.groupOf(service, index)) })
	benchPackets(b, core, packets, ActionRelay)
}

func BenchmarkOpeningAtTail(b *testing.B) {
	calm, _, _, _ := testPlacements(b, "ABCDEF", "ABCDE")
	core := benchCore(b, calm)
	service := core.services[testService]
	packets := flowsWhere(benchFlows, PacketOpening, func(index uint16) bool { return core.groupOf(service, index).chain.tail == core.self })
	for index := range packets {
		packets[index].Relay = lb.Relay{Hop: lb.HopTail, Proposal: service.table.Current(packets[index].Key.ID().Bucket())}
	}
	benchPackets(b, core, packets, ActionForward)
}

func BenchmarkInMotionWithPin(b *testing.B) {
	calm, prepared, committed, _ := testPlacements(b, "ABCDEF", "ABCDE")
	core := benchCore(b, calm, prepared, committed)
	service := core.services[testService]
	packets := flowsWhere(benchFlows, PacketMiddle, func(index uint16) bool {
		return service.table.InMotion(index) && !core.isHead(core.groupOf(service, index))
	})
	pins := message.Pins{Service: testService}
	for index := range packets {
		flow := packets[index].Key.ID()
		pins.Flows = append(pins.Flows, message.FlowRecord{Flow: flow, Backend: service.table.Base(flow.Bucket())})
	}
	var effects Effects
	core.Step(0, &Event{Peer: &PeerEvent{From: "b", Message: pins}}, &effects)
	core.settings.PinLifetime = time.Hour
	benchPackets(b, core, packets, ActionForward)
}

// BenchmarkStatePerFlow opens flows through head and tail. It reports the bytes of state and the
// bytes of control messages per flow, in buckets that moved and in others. The state is measured
// again after OpeningHold, when the openings can no longer be retransmitted.
func BenchmarkStatePerFlow(b *testing.B) {
	for _, moved := range []bool{false, true} {
		name := "unmoved"
		if moved {
			name = "moved"
		}
		b.Run(name, func(b *testing.B) {
			for range b.N {
				benchState(b, moved)
			}
		})
	}
}

func benchState(b *testing.B, moved bool) {
	calm, prepared, committed, _ := testPlacements(b, "ABCDEF", "ABCDE")
	pair := []*Core{benchCore(b, calm, prepared, committed), nil}
	pair[1] = New(settingsWithoutPauses("b", "2"))
	var effects Effects
	now := time.Second
	for _, member := range []Event{{Members: testMembers}, {Placement: committed}} {
		pair[1].Step(0, &member, &effects)
	}
	service := pair[0].services[testService]
	packets := flowsWhere(benchFlows, PacketOpening, func(index uint16) bool {
		chain := pair[0].groupOf(service, index).chain
		return service.table.InMotion(index) == moved && chain.head.ID == "a" && chain.tail.ID == "b"
	})
	var control int
	tick := func(tickNow time.Duration) {
		for _, core := range pair {
			core.Step(tickNow, &Event{Tick: true}, &effects)
			for _, outgoing := range effects.Messages {
				line, err := message.Encode(nil, core.self.ID, outgoing.Message)
				if err != nil {
					b.Fatal(err)
				}
				control += len(line)
			}
		}
	}
	for index := range packets {
		now += time.Second / 3000
		packet := packets[index]
		pair[0].Step(now, &Event{Packet: &packet}, &effects)
		packet.Relay = effects.Decision.Relay
		pair[1].Step(now, &Event{Packet: &packet}, &effects)
		if index%600 == 0 {
			tick(now)
		}
	}
	opening := stateBytes(pair)
	if opening == 0 {
		b.Fatal("the openings left no records")
	}
	for end := now + 90*time.Second; now < end; now += TickInterval {
		tick(now)
	}
	b.ReportMetric(float64(opening)/benchFlows, "bytes/opening-flow")
	b.ReportMetric(float64(stateBytes(pair))/benchFlows, "bytes/open-flow")
	b.ReportMetric(float64(control)/benchFlows, "control-bytes/flow")
}

func stateBytes(cores []*Core) int {
	total := 0
	for _, core := range cores {
		for _, service := range core.State().Services {
			total += service.Bytes
		}
	}
	return total
}
