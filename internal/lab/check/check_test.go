package check

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lab/clientsim"
	"robinpulley.example/robinpulley/internal/lab/fabricsim"
	"robinpulley.example/robinpulley/internal/lab/hostsim"
	"robinpulley.example/robinpulley/internal/lab/storesim"
	"robinpulley.example/robinpulley/internal/lab/wire"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/packet"
)

// Addresses in the tests; nothing is sent to them.
var (
	frontend       = netip.MustParseAddrPort("192.0.2.1:443")
	fabricAddress  = netip.MustParseAddrPort("127.0.0.1:1")
	balancer       = netip.MustParseAddrPort("127.0.0.1:2")
	callerAddress  = netip.MustParseAddrPort("127.0.0.1:3")
	hostCount      = 3
	simulatedStart = time.UnixMilli(1_000_000)
)

// policy is a balancer of the tests: it chooses the hosts that get a packet
// (by index), or refuses it.
type policy func(decoded *packet.Packet) (hosts []int, refuse lb.Verdict)

// byFlow is the good policy: all packets of a flow go to one host.
func byFlow(decoded *packet.Packet) ([]int, lb.Verdict) {
	return []int{int(decoded.Key.ID().Bucket()) % hostCount}, 0
}

// lab is caller, fabric and hosts around a policy, in one goroutine and simulated time.
type lab struct {
	now    time.Time
	queue  []delivery
	caller *clientsim.Caller
	fabric *fabricsim.Fabric
	hosts  []*hostsim.Host
	policy policy
}

type delivery struct {
	to       netip.AddrPort
	datagram []byte
}

func newLab(faults fabricsim.Faults, policy policy, services ...string) *lab {
	world := &lab{now: simulatedStart, policy: policy}
	send := func(to netip.AddrPort, datagram []byte) { world.queue = append(world.queue, delivery{to, datagram}) }
	world.fabric = fabricsim.New(faults, 1, send)
	world.fabric.SetMachines(world.now, []storesim.Machine{{Node: "b", Zone: "z1", Data: balancer.String()}})
	world.caller = clientsim.New(clientsim.Settings{
		Name: "c", Service: "wallet", Frontend: frontend, Fabric: fabricAddress, Port: callerAddress.Port(),
		Feeds: 20, UDPFlows: 5, TapRate: 100, UploadRate: 5, UploadBytes: 20_000,
		StallLimit: 5 * time.Second, OpenLimit: 5 * time.Second, Seed: 1,
	}, send)
	for i := range hostCount {
		service := "wallet"
		if i < len(services) {
			service = services[i]
		}
		world.hosts = append(world.hosts, hostsim.New(world.now, hostsim.Settings{
			Name: string(rune('a' + i)), Service: service, Frontends: []netip.AddrPort{frontend},
			Slots: 2, Queue: 64, Conns: 2000, ServiceTime: 5 * time.Millisecond,
			PushEvery: 100 * time.Millisecond, Seed: uint64(i),
		}, send))
	}
	return world
}

func (world *lab) deliver() {
	for len(world.queue) > 0 {
		next := world.queue[0]
		world.queue = world.queue[1:]
		switch next.to {
		case fabricAddress:
			world.fabric.Receive(next.datagram)
		case callerAddress:
			world.caller.Receive(world.now, next.datagram)
		case balancer:
			world.balance(next.datagram)
		}
	}
}

func (world *lab) balance(datagram []byte) {
	var decoded packet.Packet
	if err := packet.Decode(datagram, &decoded); err != nil {
		panic(err)
	}
	hosts, verdict := world.policy(&decoded)
	for _, index := range hosts {
		world.hosts[index].Receive(world.now, datagram)
	}
	if verdict == 0 {
		return
	}
	reset := wire.Segment{Source: decoded.Destination(), Destination: decoded.Source(), Protocol: lb.TCP}
	reset.Flags = packet.FlagRST | packet.FlagACK
	plain, err := wire.Encode(&reset)
	if err != nil {
		panic(err)
	}
	var inner packet.Packet
	if err := packet.Decode(plain, &inner); err != nil {
		panic(err)
	}
	refusal := lb.Refusal{Verdict: verdict, RetryAfter: 10 * time.Millisecond}
	answer, err := packet.Encode(nil, inner.Inner, &packet.Header{Refusal: refusal})
	if err != nil {
		panic(err)
	}
	world.fabric.Receive(answer)
}

// run simulates the given time, then lets the requests that are open end.
func (world *lab) run(length time.Duration) Result {
	end := world.now.Add(length)
	for world.now.Before(end.Add(3 * time.Second)) {
		if world.now.Equal(end) {
			world.caller.Stop(world.now)
		}
		world.now = world.now.Add(5 * time.Millisecond)
		world.caller.Tick(world.now)
		for _, host := range world.hosts {
			host.Tick(world.now)
		}
		world.deliver()
	}
	reports := make([]hostsim.Report, 0, len(world.hosts))
	for _, host := range world.hosts {
		reports = append(reports, host.Report())
	}
	return Run([]clientsim.Report{world.caller.Report()}, reports)
}

func TestGoodBalancerIsClean(t *testing.T) {
	is := is.New(t)
	world := newLab(fabricsim.Faults{Loss: 50, Duplicate: 50}, byFlow)
	result := world.run(5 * time.Second)
	t.Logf("%+v", result)
	is.True(result.Clean())
	is.Equal(len(result.Broken), 0)
	is.Equal(len(result.Unanswered), 0)
	is.True(result.Answered > 450) // 500 taps and 25 uploads are due
	is.True(result.Pushes > 500)
	is.Equal(result.Answered, result.Started-25) // all but the feeds and UDP flows
}

func TestBrokenFlowsAreSeen(t *testing.T) {
	is := is.New(t)
	moved := 0
	world := newLab(fabricsim.Faults{}, nil)
	world.policy = func(decoded *packet.Packet) ([]int, lb.Verdict) {
		if world.now.After(simulatedStart.Add(time.Second)) {
			moved = 1
		}
		return []int{(int(decoded.Key.ID().Bucket()) + moved) % hostCount}, 0
	}
	result := world.run(2 * time.Second)
	causes := map[clientsim.Cause]int{}
	for _, failure := range result.Broken {
		causes[failure.Cause]++
	}
	is.True(causes[clientsim.CauseReset] >= 20) // the feeds
	is.Equal(causes[clientsim.CauseMoved], 5)   // the UDP flows
}

func TestStallIsSeen(t *testing.T) {
	is := is.New(t)
	world := newLab(fabricsim.Faults{}, nil)
	world.policy = func(decoded *packet.Packet) ([]int, lb.Verdict) {
		if world.now.After(simulatedStart.Add(time.Second)) {
			return nil, 0
		}
		return byFlow(decoded)
	}
	result := world.run(8 * time.Second)
	is.True(len(result.Broken) >= 5)      // no answer to UDP flows, nothing acknowledged on feeds
	is.True(len(result.Unanswered) > 100) // taps that never opened
}

func TestDoubleRunIsSeen(t *testing.T) {
	is := is.New(t)
	copies := func(decoded *packet.Packet) ([]int, lb.Verdict) {
		hosts, _ := byFlow(decoded)
		if decoded.Kind == core.PacketOpening {
			hosts = append(hosts, (hosts[0]+1)%hostCount)
		}
		return hosts, 0
	}
	result := newLab(fabricsim.Faults{}, copies).run(time.Second)
	is.True(len(result.RunTwice) > 50)
	is.True(len(result.OpenedTwice) > 50)
	is.True(!result.Clean())
}

func TestFalseNotRunIsSeen(t *testing.T) {
	is := is.New(t)
	openings := 0
	lying := func(decoded *packet.Packet) ([]int, lb.Verdict) {
		hosts, _ := byFlow(decoded)
		if decoded.Kind == core.PacketOpening {
			openings++
			if openings%10 == 0 {
				return hosts, lb.NotRun
			}
		}
		return hosts, 0
	}
	result := newLab(fabricsim.Faults{}, lying).run(time.Second)
	is.True(len(result.FalseNotRun) >= 10)
	is.True(len(result.RunTwice) >= 5) // tried again, although it ran
}

func TestTrueRefusalsAreTriedAgain(t *testing.T) {
	is := is.New(t)
	openings := 0
	refusing := func(decoded *packet.Packet) ([]int, lb.Verdict) {
		if decoded.Kind == core.PacketOpening {
			openings++
			if openings%3 == 0 {
				return nil, lb.NotRun
			}
		}
		return byFlow(decoded)
	}
	result := newLab(fabricsim.Faults{}, refusing).run(2 * time.Second)
	is.True(result.Clean())
	is.True(result.Retried > 50)
	is.Equal(len(result.Broken), 0)
}

func TestWrongServiceIsSeen(t *testing.T) {
	is := is.New(t)
	result := newLab(fabricsim.Faults{}, byFlow, "docvault").run(time.Second)
	is.True(len(result.WrongService) > 0)
	is.True(!result.Clean())
}
