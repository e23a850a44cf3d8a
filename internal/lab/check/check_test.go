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

// Addresses and constants of the simulation. Nothing is sent to these addresses.
var (
	frontend       = netip.MustParseAddrPort("192.0.2.1:443")
	fabricAddress  = netip.MustParseAddrPort("127.0.0.1:1")
	balancer       = netip.MustParseAddrPort("127.0.0.1:2")
	clientAddress  = netip.MustParseAddrPort("127.0.0.1:3")
	hostCount      = 3
	simulatedStart = time.UnixMilli(1_000_000)
)

// balancerPolicy replaces the balancer in the simulation. It returns the indexes of the hosts that
// receive a packet, and a verdict other than 0 to refuse it.
type balancerPolicy func(decoded *packet.Packet) (hosts []int, refuse lb.Verdict)

// chooseByFlow is the correct policy: it sends all packets of a flow to the same host.
func chooseByFlow(decoded *packet.Packet) ([]int, lb.Verdict) {
	return []int{int(decoded.Key.ID().Bucket()) % hostCount}, 0
}

// simulation connects a client, a fabric and hosts to a balancer policy. It runs in one goroutine
// and in simulated time.
type simulation struct {
	now    time.Time
	queue  []delivery
	client *clientsim.Client
	fabric *fabricsim.Fabric
	hosts  []*hostsim.Host
	policy balancerPolicy
}

type delivery struct {
	to       netip.AddrPort
	datagram []byte
}

func newSimulation(faults fabricsim.Faults, policy balancerPolicy, services ...string) *simulation {
	sim := &simulation{now: simulatedStart, policy: policy}
	send := func(to netip.AddrPort, datagram []byte) { sim.queue = append(sim.queue, delivery{to, datagram}) }
	sim.fabric = fabricsim.New(faults, 1, send)
	sim.fabric.SetMachines(sim.now, []storesim.Machine{{Node: "b", Zone: "z1", Data: balancer.String()}})
	sim.client = clientsim.New(clientsim.Settings{
		Name: "c", Service: "wallet", Frontend: frontend, Fabric: fabricAddress, Port: clientAddress.Port(),
		Feeds: 20, UDPFlows: 5, TapRate: 100, UploadRate: 5, UploadBytes: 20_000,
		StallLimit: 5 * time.Second, OpenLimit: 5 * time.Second, Seed: 1,
	}, send)
	for i := range hostCount {
		service := "wallet"
		if i < len(services) {
			service = services[i]
		}
		sim.hosts = append(sim.hosts, hostsim.New(sim.now, hostsim.Settings{
			Name: string(rune('a' + i)), Service: service, Frontends: []netip.AddrPort{frontend},
			Slots: 2, Queue: 64, Conns: 2000, ServiceTime: 5 * time.Millisecond,
			PushInterval: 100 * time.Millisecond, Seed: uint64(i),
		}, send))
	}
	return sim
}

func (sim *simulation) deliver() {
	for len(sim.queue) > 0 {
		next := sim.queue[0]
		sim.queue = sim.queue[1:]
		switch next.to {
		case fabricAddress:
			sim.fabric.Receive(next.datagram)
		case clientAddress:
			sim.client.Receive(sim.now, next.datagram)
		case balancer:
			sim.handleAtBalancer(next.datagram)
		}
	}
}

func (sim *simulation) handleAtBalancer(datagram []byte) {
	var decoded packet.Packet
	if err := packet.Decode(datagram, &decoded); err != nil {
		panic(err)
	}
	hosts, verdict := sim.policy(&decoded)
	for _, index := range hosts {
		sim.hosts[index].Receive(sim.now, datagram)
	}
	if verdict == 0 {
		return
	}
	reset := wire.Segment{Source: decoded.Destination(), Destination: decoded.Source(), Protocol: lb.TCP}
	reset.Flags = packet.FlagRST | packet.FlagACK
	encoded, err := wire.Encode(&reset)
	if err != nil {
		panic(err)
	}
	var decodedReset packet.Packet
	if err := packet.Decode(encoded, &decodedReset); err != nil {
		panic(err)
	}
	refusal := lb.Refusal{Verdict: verdict, RetryAfter: 10 * time.Millisecond}
	answer, err := packet.Encode(nil, decodedReset.Inner, &packet.Header{Refusal: refusal})
	if err != nil {
		panic(err)
	}
	sim.fabric.Receive(answer)
}

// run simulates the given time, then stops the client, lets the open requests end, and returns the
// result.
func (sim *simulation) run(length time.Duration) Result {
	end := sim.now.Add(length)
	for sim.now.Before(end.Add(3 * time.Second)) {
		if sim.now.Equal(end) {
			sim.client.Stop(sim.now)
		}
		sim.now = sim.now.Add(5 * time.Millisecond)
		sim.client.Tick(sim.now)
		for _, host := range sim.hosts {
			host.Tick(sim.now)
		}
		sim.deliver()
	}
	reports := make([]hostsim.Report, 0, len(sim.hosts))
	for _, host := range sim.hosts {
		reports = append(reports, host.Report())
	}
	return Verify([]clientsim.Report{sim.client.Report()}, reports)
}

func TestCorrectBalancerIsClean(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(fabricsim.Faults{Loss: 50, Duplicate: 50}, chooseByFlow)
	result := sim.run(5 * time.Second)
	t.Logf("%+v", result)
	is.True(result.Clean())
	is.Equal(len(result.BrokenFlows), 0)
	is.Equal(len(result.NeverOpened), 0)
	is.True(result.Answered > 450) // 500 taps and 25 uploads are due
	is.True(result.Pushes > 500)
	is.Equal(result.Answered, result.Started-25) // all except the feeds and UDP flows
}

func TestBrokenFlowsAreDetected(t *testing.T) {
	is := is.New(t)
	offset := 0
	sim := newSimulation(fabricsim.Faults{}, nil)
	sim.policy = func(decoded *packet.Packet) ([]int, lb.Verdict) {
		if sim.now.After(simulatedStart.Add(time.Second)) {
			offset = 1
		}
		return []int{(int(decoded.Key.ID().Bucket()) + offset) % hostCount}, 0
	}
	result := sim.run(2 * time.Second)
	causes := map[clientsim.Cause]int{}
	for _, failure := range result.BrokenFlows {
		causes[failure.Cause]++
	}
	is.True(causes[clientsim.CauseReset] >= 20) // the feeds
	is.Equal(causes[clientsim.CauseMoved], 5)   // the UDP flows
}

func TestStallIsDetected(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(fabricsim.Faults{}, nil)
	sim.policy = func(decoded *packet.Packet) ([]int, lb.Verdict) {
		if sim.now.After(simulatedStart.Add(time.Second)) {
			return nil, 0
		}
		return chooseByFlow(decoded)
	}
	result := sim.run(8 * time.Second)
	is.True(len(result.BrokenFlows) >= 5)  // no answer to UDP flows, nothing acknowledged on feeds
	is.True(len(result.NeverOpened) > 100) // taps that never opened
}

func TestDuplicateRunIsDetected(t *testing.T) {
	is := is.New(t)
	duplicating := func(decoded *packet.Packet) ([]int, lb.Verdict) {
		hosts, _ := chooseByFlow(decoded)
		if decoded.Kind == core.PacketOpening {
			hosts = append(hosts, (hosts[0]+1)%hostCount)
		}
		return hosts, 0
	}
	result := newSimulation(fabricsim.Faults{}, duplicating).run(time.Second)
	is.True(len(result.DuplicateRuns) > 50)
	is.True(len(result.DuplicateOpenings) > 50)
	is.True(!result.Clean())
}

func TestFalseNotRunIsDetected(t *testing.T) {
	is := is.New(t)
	openings := 0
	refuseAndForward := func(decoded *packet.Packet) ([]int, lb.Verdict) {
		hosts, _ := chooseByFlow(decoded)
		if decoded.Kind == core.PacketOpening {
			openings++
			if openings%10 == 0 {
				return hosts, lb.NotRun
			}
		}
		return hosts, 0
	}
	result := newSimulation(fabricsim.Faults{}, refuseAndForward).run(time.Second)
	is.True(len(result.FalseNotRun) >= 10)
	is.True(len(result.DuplicateRuns) >= 5) // the client retried a request that had run
}

func TestRefusalsAreRetried(t *testing.T) {
	is := is.New(t)
	openings := 0
	refuseSome := func(decoded *packet.Packet) ([]int, lb.Verdict) {
		if decoded.Kind == core.PacketOpening {
			openings++
			if openings%3 == 0 {
				return nil, lb.NotRun
			}
		}
		return chooseByFlow(decoded)
	}
	result := newSimulation(fabricsim.Faults{}, refuseSome).run(2 * time.Second)
	is.True(result.Clean())
	is.True(result.Retried > 50)
	is.Equal(len(result.BrokenFlows), 0)
}

func TestWrongServiceIsDetected(t *testing.T) {
	is := is.New(t)
	result := newSimulation(fabricsim.Faults{}, chooseByFlow, "docvault").run(time.Second)
	is.True(len(result.WrongServiceAnswers) > 0)
	is.True(!result.Clean())
}
