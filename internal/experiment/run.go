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

// Factory creates balancers of one kind. New is called once per node.
type Factory struct {
	Name string
	New  func(core.Settings) baseline.Balancer
}

// eventKind is the kind of an event.
type eventKind uint8

const (
	eventArrival        eventKind = iota + 1 // a client opens a flow
	eventRetry                               // a client opens a new flow after a refusal
	eventTimer                               // the timer of a flow expires
	eventPacketAtNode                        // a packet reaches a balancer
	eventPacketAtHost                        // a packet reaches a host
	eventAnswerAtClient                      // an answer reaches a client
	eventMessageAtNode                       // a control message reaches a balancer
	eventTick                                // a balancer's tick
	eventSample                              // a sample is due
	eventAction                              // any other event; its action is called
)

// event is one event of the run. Its kind determines which fields are set.
type event struct {
	kind       eventKind
	packetKind core.PacketKind
	index      int32 // flow or service
	other      int32 // host, node, traffic or answerKind
	generation uint32
	openingID  uint32
	retryAfter time.Duration
	relay      lb.Relay
	message    *core.PeerEvent
	action     func()
}

// run is the state of one run of a scenario.
type run struct {
	scenario       *Scenario
	factory        Factory
	queue          sim.Queue[event]
	network        sim.Network
	workloadRandom *rand.Rand // arrivals and durations of flows
	sprayRandom    *rand.Rand // the balancer that receives each packet
	lagRandom      *rand.Rand // the lag of each node's views

	nodes         []*node
	nodeByID      map[lb.NodeID]int32
	fabric        []int32 // balancers to which the fabric sends packets
	hosts         []host
	hostByAddress map[netip.AddrPort]int32
	services      []*service
	flows         []flow

	openFlows         int    // number of established and closing flows
	relayedPackets    uint64 // client packets that their ingress balancer relayed
	ingressPackets    uint64 // client packets that balancers handled
	membershipVersion int    // version of the membership
	latency           map[FlowKind]*hdrhistogram.Histogram
	effects           core.Effects // this field and the next four are reused by every step
	stepEvent         core.Event
	packet            core.Packet
	peerEvent         core.PeerEvent
	delays            []time.Duration
	result            *Result
}

// Run runs a scenario once, with the given seed, on balancers that the factory creates.
func Run(scenario *Scenario, factory Factory, seed uint64) (*Result, error) {
	run := &run{
		scenario:       scenario,
		factory:        factory,
		workloadRandom: sim.NewRandom(seed),
		sprayRandom:    sim.NewRandom(seed + 1),
		lagRandom:      sim.NewRandom(seed + 2),
		nodeByID:       make(map[lb.NodeID]int32),
		hostByAddress:  make(map[netip.AddrPort]int32),
		latency:        map[FlowKind]*hdrhistogram.Histogram{Feed: newHistogram(), Tap: newHistogram(), Upload: newHistogram()},
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
	if err := run.initialize(seed); err != nil {
		return nil, err
	}
	run.loop()
	run.finish()
	return run.result, nil
}

// initialize creates the services, hosts, balancers and initial flows, and schedules the first
// events.
func (run *run) initialize(seed uint64) error {
	for i := range run.scenario.Services {
		run.addService(int32(i))
	}
	for range run.scenario.BalancersPerZone {
		for _, zone := range run.scenario.Zones {
			run.addNode(zone)
		}
	}
	for _, service := range run.services {
		if err := service.createPlacement(); err != nil {
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

// loop handles events until the duration of the scenario is over.
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

// handle dispatches an event by its kind.
func (run *run) handle(next *event) {
	switch next.kind {
	case eventArrival:
		run.handleArrival(next.index, next.other)
	case eventRetry:
		run.openFlow(run.newFlow(next.index, next.other))
	case eventTimer:
		run.handleTimer(next.index, next.generation)
	case eventPacketAtNode:
		run.packetAtNode(next)
	case eventPacketAtHost:
		run.packetAtHost(next.other, next.index, next.packetKind)
	case eventAnswerAtClient:
		run.handleAnswer(next.index, answerKind(next.other), next.retryAfter)
	case eventMessageAtNode:
		run.messageAtNode(next)
	case eventTick:
		run.tick(next)
	case eventSample:
		run.recordSample()
	case eventAction:
		next.action()
	}
}

// schedule schedules a call of the action.
func (run *run) schedule(after time.Duration, action func()) {
	run.queue.After(after, event{kind: eventAction, action: action})
}

// randomLag draws the delay after which a node adopts a new view: uniform from zero to
// Timings.Spread.
func (run *run) randomLag() time.Duration {
	return time.Duration(run.lagRandom.Int64N(int64(run.scenario.Timings.Spread) + 1))
}

// send sends one packet of a flow from the client to a random balancer. The fabric sprays packets:
// it selects the balancer anew for each packet of a flow.
func (run *run) send(flowIndex int32, kind core.PacketKind) {
	if len(run.fabric) == 0 {
		return
	}
	nodeIndex := run.fabric[run.sprayRandom.IntN(len(run.fabric))]
	zone := run.nodes[nodeIndex].zone
	run.delays = run.network.Delays(zone, zone, run.delays)
	for _, delay := range run.delays {
		run.queue.After(delay+run.scenario.Delays.Client, event{
			kind: eventPacketAtNode, packetKind: kind, index: flowIndex, other: nodeIndex,
			openingID: run.openingID(flowIndex, kind),
		})
	}
}

// openingID returns the opening ID that a packet carries: only openings carry one.
func (run *run) openingID(flowIndex int32, kind core.PacketKind) uint32 {
	if kind == core.PacketOpening {
		return run.flows[flowIndex].openingID
	}
	return 0
}

// recordSample records a Sample and schedules the next one.
func (run *run) recordSample() {
	run.result.Samples = append(run.result.Samples, Sample{
		Second:    int(run.queue.Now() / time.Second),
		Imbalance: run.maxImbalance(),
		Open:      run.openFlows,
		Broken:    run.result.BrokenTotal,
	})
	run.queue.After(time.Second, event{kind: eventSample})
}

// maxImbalance returns the highest imbalance of a service.
func (run *run) maxImbalance() float64 {
	worst := 0.0
	for index := range run.services {
		worst = max(worst, run.imbalance(int32(index)))
	}
	return worst
}

// minMeanFlows is the mean number of open flows per back end below which the imbalance of a service
// counts as zero, because random variation of a few flows outweighs the balancer's effect.
const minMeanFlows = 50

// imbalance returns the maximum number of open flows on an active back end of the service, divided
// by the mean over its active back ends.
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
	if total < count*minMeanFlows {
		return 0
	}
	return float64(busiest) * float64(count) / float64(total)
}

// finish completes the result at the end of the run.
func (run *run) finish() {
	result := run.result
	for index, service := range run.services {
		result.Imbalance[service.spec.Name] = run.imbalance(int32(index))
		result.InForceMillis = append(result.InForceMillis, service.inForceMillis...)
	}
	for kind, histogram := range run.latency {
		if histogram.TotalCount() > 0 {
			result.Latency[kind] = summarize(histogram)
		}
	}
	seconds := run.scenario.Duration.Seconds()
	for _, node := range run.nodes {
		rate := float64(node.controlBytes) / seconds
		result.ControlBytesMax = max(result.ControlBytesMax, rate)
		result.ControlBytesMean += rate / float64(len(run.nodes))
	}
	if run.ingressPackets > 0 {
		result.RelayedShare = float64(run.relayedPackets) / float64(run.ingressPackets)
	}
}
