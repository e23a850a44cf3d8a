package surge

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/sim"
	"robinpulley.example/robinpulley/internal/steering"
	"robinpulley.example/robinpulley/internal/view"
)

// linkDelay is the time that a packet takes on one link.
const linkDelay = 2 * time.Millisecond

// tickInterval is the time between ticks of the cores.
const tickInterval = 100 * time.Millisecond

// maxAttempts is the number of attempts after which a client gives up a request.
const maxAttempts = 3

// node is one balancer.
type node struct {
	core    *core.Core
	effects core.Effects
	// inFlight counts this node's requests at each host, for QueueLimit.
	inFlight []int
	// held maps each opening in the admission queue to the function that is called with its
	// decision. retryScheduled is set while the next retry of the queue is scheduled.
	held           map[lb.FlowKey]func(core.Decision)
	retryScheduled bool
}

// host is one back end.
type host struct {
	busy  int
	queue []job
}

// job is a request that a host serves or has in its queue.
type job struct {
	work time.Duration
	done func(ran bool)
}

// flow is a flow of a client.
type flow struct {
	key   lb.FlowKey
	node  int
	host  int
	token steering.Token
	acked uint32
}

// client sends requests. It keeps idle flows for reuse.
type client struct {
	address netip.Addr
	zone    int
	port    uint16
	idle    [][]*flow // by class
}

// simulation is the state of one run.
type simulation struct {
	scenario   Scenario
	random     *rand.Rand
	now        time.Duration
	events     sim.Queue[func()]
	eventCount int // number of scheduled events
	nodes      []node
	byZone     [][]int // node indexes by zone
	hosts      []host
	clients    []client
	result     *Result
	fleet      fleetSums
}

// Run simulates a scenario and returns its results.
func Run(scenario Scenario) *Result {
	s := newSimulation(scenario)
	s.every(tickInterval, func() {
		for i := range s.nodes {
			s.step(i, &core.Event{Tick: true})
			s.fleet.add(s.nodes[i].effects.LoadSamples, s.zoneOf(i))
		}
		s.recordAdmissionRates()
	})
	if scenario.FleetLoadDelay > 0 {
		s.every(summaryInterval, s.publishFleetLoad)
	}
	if scenario.Restart > 0 {
		s.after(scenario.Restart, s.restartNodes)
	}
	for i := range scenario.Classes {
		s.scheduleRequest(i)
	}
	for {
		run, more := s.events.Next()
		s.now = s.events.Now()
		if !more || s.now > scenario.Duration {
			return s.finish()
		}
		run()
	}
}

// finish adds the counters of the nodes to the result.
func (s *simulation) finish() *Result {
	for i := range s.nodes {
		held := s.nodes[i].core.Stats().HeldOpenings
		s.result.HeldOpenings.Held += held.Held
		s.result.HeldOpenings.Forwarded += held.Forwarded
		s.result.HeldOpenings.ToFreedBackends += held.ToFreedBackends
		s.result.HeldOpenings.HeldTime += held.HeldTime
	}
	return s.result
}

func newSimulation(scenario Scenario) *simulation {
	seconds := int(scenario.Duration/time.Second) + 1
	s := &simulation{
		scenario: scenario,
		random:   rand.New(rand.NewPCG(scenario.Seed, 1)),
		nodes:    make([]node, scenario.Nodes),
		byZone:   make([][]int, scenario.Zones),
		hosts:    make([]host, scenario.Hosts),
		clients:  make([]client, int(math.Ceil(float64(scenario.Clients)*max(scenario.MaxLoad, 1)))),
		result: &Result{
			Classes: make(map[string][]Count),
			Refused: make([]int, seconds), Admitted: make([]int, scenario.Nodes), Offered: make([]int, scenario.Nodes),
			HostBusy: make([]time.Duration, scenario.Hosts),
			Zones:    make([]map[string]Count, scenario.Zones),
		},
	}
	for _, class := range scenario.Classes {
		s.result.Classes[class.Name] = make([]Count, seconds)
	}
	for zone := range s.result.Zones {
		s.result.Zones[zone] = make(map[string]Count)
	}
	for i := range s.nodes {
		zone := i % scenario.Zones
		s.byZone[zone] = append(s.byZone[zone], i)
		s.startNode(i)
	}
	s.setMembers()
	for i := range s.clients {
		address := netip.AddrFrom4([4]byte{198, 51, byte(i >> 8), byte(i)})
		s.clients[i] = client{address: address, zone: i % scenario.Zones, port: 1024, idle: make([][]*flow, len(scenario.Classes))}
	}
	return s
}

// setMembers sends each node the list of the nodes in its zone.
func (s *simulation) setMembers() {
	for zone, nodes := range s.byZone {
		var members []core.Member
		for _, i := range nodes {
			members = append(members, core.Member{ID: nodeName(i), Zone: zoneName(zone)})
		}
		for _, i := range nodes {
			s.step(i, &core.Event{Members: members})
		}
	}
}

func nodeName(index int) lb.NodeID { return lb.NodeID(fmt.Sprintf("n%d", index)) }

// startNode starts a node without any state and compiles its table.
func (s *simulation) startNode(index int) {
	zone := s.zoneOf(index)
	settings := core.DefaultSettings(nodeName(index), zone)
	settings.Affinity = core.AffinityToken
	settings.Overload.Off = s.scenario.Policy != Adaptive
	if s.scenario.Adjust != nil {
		s.scenario.Adjust(&settings)
	}
	settings.AdmissionQueue = s.scenario.AdmissionQueue
	settings.AdmissionQueue.Off = settings.AdmissionQueue.Off || settings.AdmissionQueue.Capacity == 0
	s.nodes[index] = node{
		core: core.New(settings), inFlight: make([]int, s.scenario.Hosts), held: make(map[lb.FlowKey]func(core.Decision)),
	}
	replica := view.NewReplica()
	replica.ApplyListing(s.now, s.listing())
	s.step(index, &core.Event{Table: steering.Compile(replica, zone, s.now)})
}

// restartNodes restarts every other node, which loses its state.
func (s *simulation) restartNodes() {
	for index := 0; index < len(s.nodes); index += 2 {
		s.startNode(index)
	}
	s.setMembers()
}

func (s *simulation) zoneOf(index int) lb.Zone { return zoneName(index % s.scenario.Zones) }

func zoneName(zone int) lb.Zone { return lb.Zone(fmt.Sprintf("zone-%d", zone)) }

// firstPort is the front-end port of the first class. The following classes use the next ports.
const firstPort = 8000

func frontend(class int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("192.0.2.1"), uint16(firstPort+class))
}

func (s *simulation) listing() *view.Listing {
	listing := &view.Listing{Revision: 10, Configuration: &view.StoredConfiguration{
		Revision: 1, Configuration: view.Configuration{Version: 1},
	}}
	for i, class := range s.scenario.Classes {
		listing.Configuration.Configuration.Routes = append(listing.Configuration.Configuration.Routes, view.Route{
			Frontend:  lb.Frontend{Address: frontend(i), Protocol: lb.TCP},
			Targets:   []view.Target{{Service: "web", Weight: 1}},
			Objective: lb.Objective{Priority: class.Priority, TargetMillis: uint32(class.Target.Milliseconds())},
		})
	}
	for i := range s.hosts {
		listing.Backends = append(listing.Backends, view.StoredBackend{Revision: 2, Backend: view.Backend{
			Name: lb.BackendName(fmt.Sprintf("h-%d", i)), Identity: uint64(i + 1), Service: "web",
			Zone: zoneName(i % s.scenario.Zones), State: lb.BackendActive, Created: int64(i + 1), Slots: s.scenario.Slots,
			Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(7000+i)),
		}})
	}
	return listing
}

func (s *simulation) after(wait time.Duration, run func()) {
	s.eventCount++
	s.events.After(wait, run)
}

func (s *simulation) every(interval time.Duration, run func()) {
	s.after(interval, func() {
		run()
		s.every(interval, run)
	})
}

func (s *simulation) step(index int, event *core.Event) core.Decision {
	n := &s.nodes[index]
	n.core.Step(s.now, event, &n.effects)
	decision := n.effects.Decision
	for i := range n.effects.Released {
		released := &n.effects.Released[i]
		onDecision := n.held[released.Packet.Key]
		delete(n.held, released.Packet.Key)
		onDecision(released.Decision)
	}
	return decision
}

// holdOpening records an opening that waits in a node's admission queue and schedules the retry of
// the queue. It calls onDecision with the decision once the node has made it.
func (s *simulation) holdOpening(index int, key lb.FlowKey, onDecision func(core.Decision)) {
	n := &s.nodes[index]
	n.held[key] = onDecision
	if !n.retryScheduled {
		n.retryScheduled = true
		s.after(s.scenario.AdmissionQueue.Interval, func() { s.retryQueued(index) })
	}
}

// retryQueued lets a node decide again on its queued openings, and repeats this until the queue is
// empty.
func (s *simulation) retryQueued(index int) {
	n := &s.nodes[index]
	s.step(index, &core.Event{RetryQueued: true})
	if n.retryScheduled = n.core.HeldOpenings() > 0; n.retryScheduled {
		s.after(s.scenario.AdmissionQueue.Interval, func() { s.retryQueued(index) })
	}
}

// pickClient returns a random client among the first count clients. The zones are weighted by their
// demand according to ZoneDemandRatio.
func (s *simulation) pickClient(count int) *client {
	if s.scenario.ZoneDemandRatio == 0 {
		return &s.clients[s.random.IntN(count)]
	}
	total := 0.0
	for zone := range s.scenario.Zones {
		total += math.Pow(s.scenario.ZoneDemandRatio, float64(zone))
	}
	point, zone := s.random.Float64()*total, 0
	for ; zone < s.scenario.Zones-1; zone++ {
		if point -= math.Pow(s.scenario.ZoneDemandRatio, float64(zone)); point < 0 {
			break
		}
	}
	return &s.clients[s.random.IntN(count/s.scenario.Zones)*s.scenario.Zones+zone]
}

// scheduleRequest schedules the next request of a class after a random, exponentially distributed
// time. When that request starts, it schedules the next one in turn.
func (s *simulation) scheduleRequest(class int) {
	load := s.scenario.Load(s.now)
	wait := time.Duration(s.random.ExpFloat64() / (s.scenario.Classes[class].Rate * max(load, 0.01)) * float64(time.Second))
	s.after(wait, func() {
		clients := int(math.Ceil(float64(s.scenario.Clients) * max(load, 1)))
		r := &request{simulation: s, class: class, client: s.pickClient(min(clients, len(s.clients))), startedAt: s.now}
		r.count().Requests++
		r.try()
		s.scheduleRequest(class)
	})
}
