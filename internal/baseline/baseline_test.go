package baseline_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/baseline"
	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/placement"
)

var frontend = lb.Frontend{Address: netip.MustParseAddrPort("198.18.0.1:443"), Protocol: lb.TCP}

func targets(count int) []placement.Target {
	var list []placement.Target
	for number := range count {
		host := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 19, 0, byte(number)}), 6081)
		list = append(list, placement.Target{Name: lb.BackendName('A' + rune(number)), Host: host, Weight: 100})
	}
	return list
}

// decide returns the decision on a packet of the flow with the given number.
func decide(balancer baseline.Balancer, number int, kind core.PacketKind) core.Decision {
	source := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), uint16(1024+number))
	packet := &core.Packet{Key: lb.NewFlowKey(source, frontend.Address, lb.TCP), Kind: kind, OpeningID: 1}
	var effects core.Effects
	balancer.Step(time.Second, &core.Event{Packet: packet}, &effects)
	return effects.Decision
}

// TestMovedFlows counts the flows that each method moves to another back end when one of ten back
// ends is removed.
func TestMovedFlows(t *testing.T) {
	const flows = 10_000
	first, err := placement.New("web", placement.WriteStamp{WriteID: "1"},
		placement.SetFrontends([]lb.Frontend{frontend}), placement.Prepare(targets(10)), placement.Commit())
	is.New(t).NoErr(err)
	second, err := placement.Next(first, placement.WriteStamp{WriteID: "2"}, placement.Prepare(targets(9)), placement.Commit())
	is.New(t).NoErr(err)
	cases := []struct {
		method    baseline.Method
		low, high int // bounds of the number of moved flows: about 90%, a little over 10%, none
	}{
		{baseline.ModuloHash, 8500, 9500},
		{baseline.ConsistentHash, 900, 2500},
		{baseline.ConsistentHashWithTable, 0, 0},
	}
	for _, test := range cases {
		t.Run(string(test.method), func(t *testing.T) {
			is := is.New(t)
			balancer := baseline.New(test.method, core.DefaultSettings("a", "1"))
			var effects core.Effects
			balancer.Step(0, &core.Event{Placement: first}, &effects)
			before := make([]lb.BackendID, flows)
			for number := range before {
				before[number] = decide(balancer, number, core.PacketOpening).Backend
			}
			balancer.Step(0, &core.Event{Placement: second}, &effects)
			moved := 0
			for number := range before {
				decision := decide(balancer, number, core.PacketMiddle)
				is.Equal(decision.Action, core.ActionForward)
				if decision.Backend != before[number] {
					moved++
				}
			}
			t.Logf("%d of %d flows moved", moved, flows)
			is.True(moved >= test.low && moved <= test.high)
			balancer.Step(0, &core.Event{Placement: first}, &effects) // an older version must not be adopted
			for number := range flows {
				decision := decide(balancer, flows+number, core.PacketOpening)
				is.True(decision.Backend != 10) // the removed back end
			}
		})
	}
}

// TestLimit checks that openings above a node's share of the admission limit are refused.
func TestLimit(t *testing.T) {
	is := is.New(t)
	document, err := placement.New("web", placement.WriteStamp{WriteID: "1"}, placement.SetFrontends([]lb.Frontend{frontend}),
		placement.SetOpensPerSecond(40), placement.Prepare(targets(3)), placement.Commit())
	is.NoErr(err)
	balancer := baseline.New(baseline.ConsistentHash, core.DefaultSettings("a", "1"))
	var effects core.Effects
	balancer.Step(0, &core.Event{Placement: document}, &effects)
	balancer.Step(0, &core.Event{Members: []core.Member{{ID: "a"}, {ID: "b"}}}, &effects)
	refused := 0
	for number := range 50 {
		if decide(balancer, number, core.PacketOpening).Action == core.ActionRefuse {
			refused++
		}
	}
	is.Equal(refused, 30)
	is.Equal(baseline.New("none", core.DefaultSettings("a", "1")), nil) // unknown method
}
