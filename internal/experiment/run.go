package experiment

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"robinpulley.example/robinpulley/internal/baseline"
	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/sim"
)

// Factory makes the balancer of one node.
type Factory struct {
	Name string
	New  func(core.Settings) baseline.Balancer
}

// eventKind tells what an event of the run is.
type eventKind uint8

const (
	eventArrival eventKind = iota + 1
	eventRetry
	eventTimer
	eventPacket  // a packet reaches a balancer
	eventHost    // a packet reaches a host
	eventAnswer  // something reaches a caller
	eventMessage // a message reaches a balancer
	eventTick
	eventSample
	eventAction // anything rare
)

// event is one thing that happens at a time. Which fields are set depends on its kind.
type event struct {
	kind       eventKind
	packet     core.PacketKind
	index      int32 // flow, service or node
	other      int32 // host, node, traffic or answer
	generation uint32
	opening    uint32
	retryAfter time.Duration
	relay      lb.Relay
	message    *core.PeerEvent
	action     func()
}

// run is the state of one run.
type run struct {
	scenario *Scenario
	factory  Factory
	queue    sim.Queue[event]
	network  sim.Network
	workload *rand.Rand // arrivals, durations
	spray    *rand.Rand // which balancer gets a packet
	views    *rand.Rand // when nodes learn of things

	nodes    []*node
	byID     map[lb.NodeID]int32
	fabric   []int32 // the balancers that the fabric sends to
	hosts    []host
	byHost   map[netip.AddrPort]int32
	services []*service
	flows    []flow

	openFlows  int
	relayed    uint64
	ingress    uint64
	membership int // version of the membership
	latency    map[FlowKind]*hdrhistogram.Histogram
	effects    core.Effects
	stepEvent  core.Event
	packet     core.Packet
	peerEvent  core.PeerEvent
	delays     []time.Duration
	result     *Result
}

// Run runs one scenario with one seed on the balancers of the factory.
func Run(scenario *Scenario, factory Factory, seed uint64) (*Result, error) {
	run := &run{
		scenario: scenario,
		factory:  factory,
		workload: sim.NewRandom(seed),
		spray:    sim.NewRandom(seed + 1),
		views:    sim.NewRandom(seed + 2),
		byID:     make(map[lb.NodeID]int32),
		byHost:   make(map[netip.AddrPort]int32),
		latency:  map[FlowKind]*hdrhistogram.Histogram{Feed: newHistogram(), Tap: newHistogram(), Upload: newHistogram()},
		result: &Result{
			Scenario:  scenario.Name,
			Balancer:  factory.Name,
			Seed:      seed,
			Broken:    make(map[Cause]int),
			Refused:   make(map[string]int),
			Imbalance: make(map[lb.ServiceName]float64),
			Latency:   make(map[FlowKind]Latency),
		},
	}
	delays := scenario.Delays
	run.network = sim.Network{
		Within: delays.Within, Between: delays.Between, Jitter: delays.Jitter,
		Loss: delays.Loss, Duplication: delays.Duplication,
	}
	run.network.Start(sim.NewRandom(seed + 3))
	if err := run.setUp(seed); err != nil {
		return nil, err
	}
	run.loop()
	run.finish()
	return run.result, nil
}

func (run *run) setUp(seed uint64) error {
	for i := range run.scenario.Services {
		run.addService(int32(i))
	}
	for range run.scenario.BalancersPerZone {
		for _, zone := range run.scenario.Zones {
			run.addNode(zone)
		}
	}
	for _, service := range run.services {
		if err := service.start(); err != nil {
			return err
		}
	}
	for index := range run.nodes {
		run.startNode(int32(index))
	}
	for index, service := range run.services {
		for traffic := range service.spec.Traffic {
			run.prefill(int32(index), int32(traffic))
			run.queue.Add(0, event{kind: eventArrival, index: int32(index), other: int32(traffic)})
		}
	}
	run.scheduleFaults(seed)
	run.queue.Add(time.Second, event{kind: eventSample})
	return nil
}

func (run *run) loop() {
	for {
		next, ok := run.queue.Next()
		if !ok || run.queue.Now() > run.scenario.Duration {
			return
		}
		run.result.Events++
		run.handle(&next)
	}
}

func (run *run) handle(next *event) {
	switch next.kind {
	case eventArrival:
		run.arrive(next.index, next.other)
	case eventRetry:
		run.open(run.newFlow(next.index, next.other))
	case eventTimer:
		run.timer(next.index, next.generation)
	case eventPacket:
		run.packetAtNode(next)
	case eventHost:
		run.atHost(next.other, next.index, next.packet)
	case eventAnswer:
		run.answered(next.index, answerKind(next.other), next.retryAfter)
	case eventMessage:
		run.messageAtNode(next)
	case eventTick:
		run.tick(next)
	case eventSample:
		run.sample()
	case eventAction:
		next.action()
	}
}

// act schedules a rare event.
func (run *run) act(after time.Duration, action func()) {
	run.queue.After(after, event{kind: eventAction, action: action})
}

// lag draws the time until one node learns of something.
func (run *run) lag() time.Duration {
	return time.Duration(run.views.Int64N(int64(run.scenario.Timings.Spread) + 1))
}

// send sprays one packet of a flow onto a random balancer.
func (run *run) send(flowIndex int32, kind core.PacketKind) {
	if len(run.fabric) == 0 {
		return
	}
	nodeIndex := run.fabric[run.spray.IntN(len(run.fabric))]
	zone := run.nodes[nodeIndex].zone
	run.delays = run.network.Delays(zone, zone, run.delays)
	for _, delay := range run.delays {
		run.queue.After(delay+run.scenario.Delays.Client, event{
			kind: eventPacket, packet: kind, index: flowIndex, other: nodeIndex,
			opening: run.openingID(flowIndex, kind),
		})
	}
}

func (run *run) openingID(flowIndex int32, kind core.PacketKind) uint32 {
	if kind == core.PacketOpening {
		return run.flows[flowIndex].openingID
	}
	return 0
}

// sample notes the imbalance and the open flows, once a second.
func (run *run) sample() {
	run.result.Samples = append(run.result.Samples, Sample{
		Second:    int(run.queue.Now() / time.Second),
		Imbalance: run.worstImbalance(),
		Open:      run.openFlows,
		Broken:    run.result.BrokenTotal,
	})
	run.queue.After(time.Second, event{kind: eventSample})
}

func (run *run) worstImbalance() float64 {
	worst := 0.0
	for index := range run.services {
		worst = max(worst, run.imbalance(int32(index)))
	}
	return worst
}

// leastMean is the mean of open flows per back end below which imbalance says
// more of chance than of the balancer: a service below it counts as zero.
const leastMean = 50

// imbalance is the busiest active back end's open flows over their mean.
func (run *run) imbalance(service int32) float64 {
	busiest, total, count := 0, 0, 0
	for i := range run.hosts {
		host := &run.hosts[i]
		if host.service != service || host.leaving {
			continue
		}
		busiest = max(busiest, len(host.flows))
		total += len(host.flows)
		count++
	}
	if total < count*leastMean {
		return 0
	}
	return float64(busiest) * float64(count) / float64(total)
}

func (run *run) finish() {
	result := run.result
	for index, service := range run.services {
		result.Imbalance[service.spec.Name] = run.imbalance(int32(index))
		result.InForceMillis = append(result.InForceMillis, service.inForce...)
	}
	for kind, histogram := range run.latency {
		if histogram.TotalCount() > 0 {
			result.Latency[kind] = summarise(histogram)
		}
	}
	seconds := run.scenario.Duration.Seconds()
	for _, node := range run.nodes {
		rate := float64(node.bytes) / seconds
		result.ControlBytesMax = max(result.ControlBytesMax, rate)
		result.ControlBytesMean += rate / float64(len(run.nodes))
	}
	if run.ingress > 0 {
		result.RelayedShare = float64(run.relayed) / float64(run.ingress)
	}
}
