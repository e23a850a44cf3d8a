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

// hop is the time of a packet on one link.
const hop = 2 * time.Millisecond

// tickInterval is the time between ticks of the cores.
const tickInterval = 100 * time.Millisecond

// tries is how often a caller tries one request.
const tries = 3

// node is one balancer.
type node struct {
	core    *core.Core
	effects core.Effects
	// underWay counts this node's requests at each host, for QueueLimit.
	underWay []int
	// held are openings that wait, and what follows on the decision; looks tells
	// that they are looked at.
	held  map[lb.FlowKey]func(core.Decision)
	looks bool
}

// host is one back end.
type host struct {
	busy  int
	queue []job
}

// job is a request at a host.
type job struct {
	work time.Duration
	done func(ran bool)
}

// flow is an open flow of a caller.
type flow struct {
	key   lb.FlowKey
	node  int
	host  int
	token steering.Token
	acked uint32
}

// caller has flows that rest, which it uses again.
type caller struct {
	address netip.Addr
	zone    int
	port    uint16
	idle    [][]*flow // by class
}

// world is one run under way.
type world struct {
	scenario Scenario
	random   *rand.Rand
	now      time.Duration
	events   sim.Queue[func()]
	order    int // counts the events
	nodes    []node
	byZone   [][]int // nodes
	hosts    []host
	callers  []caller
	result   *Result
	fleet    fleet
}

// Run plays a scenario.
func Run(scenario Scenario) *Result {
	w := newWorld(scenario)
	w.every(tickInterval, func() {
		for i := range w.nodes {
			w.step(i, &core.Event{Tick: true})
			w.fleet.note(w.nodes[i].effects.LoadSamples, w.zoneOf(i))
		}
		w.noteParts()
	})
	if scenario.News > 0 {
		w.every(newsInterval, w.tell)
	}
	if scenario.Restart > 0 {
		w.after(scenario.Restart, w.restart)
	}
	for i := range scenario.Classes {
		w.ask(i)
	}
	for {
		run, more := w.events.Next()
		w.now = w.events.Now()
		if !more || w.now > scenario.Duration {
			return w.finish()
		}
		run()
	}
}

// finish adds what the nodes have counted.
func (w *world) finish() *Result {
	for i := range w.nodes {
		waits := w.nodes[i].core.Stats().HeldOpenings
		w.result.Waits.Held += waits.Held
		w.result.Waits.Forwarded += waits.Forwarded
		w.result.Waits.ToFreedBackends += waits.ToFreedBackends
		w.result.Waits.HeldTime += waits.HeldTime
	}
	return w.result
}

func newWorld(scenario Scenario) *world {
	seconds := int(scenario.Duration/time.Second) + 1
	w := &world{
		scenario: scenario,
		random:   rand.New(rand.NewPCG(scenario.Seed, 1)),
		nodes:    make([]node, scenario.Nodes),
		byZone:   make([][]int, scenario.Zones),
		hosts:    make([]host, scenario.Hosts),
		callers:  make([]caller, int(math.Ceil(float64(scenario.Callers)*max(scenario.MostLoad, 1)))),
		result: &Result{
			Classes: make(map[string][]Count),
			Refused: make([]int, seconds), Admitted: make([]int, scenario.Nodes), Offered: make([]int, scenario.Nodes),
			HostBusy: make([]time.Duration, scenario.Hosts),
			Zones:    make([]map[string]Count, scenario.Zones),
		},
	}
	for _, class := range scenario.Classes {
		w.result.Classes[class.Name] = make([]Count, seconds)
	}
	for zone := range w.result.Zones {
		w.result.Zones[zone] = make(map[string]Count)
	}
	for i := range w.nodes {
		zone := i % scenario.Zones
		w.byZone[zone] = append(w.byZone[zone], i)
		w.start(i)
	}
	w.meet()
	for i := range w.callers {
		address := netip.AddrFrom4([4]byte{198, 51, byte(i >> 8), byte(i)})
		w.callers[i] = caller{address: address, zone: i % scenario.Zones, port: 1024, idle: make([][]*flow, len(scenario.Classes))}
	}
	return w
}

// meet has the nodes of each zone know each other.
func (w *world) meet() {
	for zone, nodes := range w.byZone {
		var members []core.Member
		for _, i := range nodes {
			members = append(members, core.Member{ID: nodeName(i), Zone: zoneName(zone)})
		}
		for _, i := range nodes {
			w.step(i, &core.Event{Members: members})
		}
	}
}

func nodeName(index int) lb.NodeID { return lb.NodeID(fmt.Sprintf("n%d", index)) }

// start starts a node, which knows nothing.
func (w *world) start(index int) {
	zone := w.zoneOf(index)
	settings := core.DefaultSettings(nodeName(index), zone)
	settings.Affinity = core.AffinityToken
	settings.Overload.Off = w.scenario.Policy != Adaptive
	if w.scenario.Adjust != nil {
		w.scenario.Adjust(&settings)
	}
	settings.AdmissionQueue = w.scenario.Waiting
	settings.AdmissionQueue.Off = settings.AdmissionQueue.Off || settings.AdmissionQueue.Capacity == 0
	w.nodes[index] = node{
		core: core.New(settings), underWay: make([]int, w.scenario.Hosts), held: make(map[lb.FlowKey]func(core.Decision)),
	}
	replica := view.NewReplica()
	replica.ApplyListing(w.now, w.listing())
	w.step(index, &core.Event{Table: steering.Compile(replica, zone, w.now)})
}

// restart has every other node forget all.
func (w *world) restart() {
	for index := 0; index < len(w.nodes); index += 2 {
		w.start(index)
	}
	w.meet()
}

func (w *world) zoneOf(index int) lb.Zone { return zoneName(index % w.scenario.Zones) }

func zoneName(zone int) lb.Zone { return lb.Zone(fmt.Sprintf("zone-%d", zone)) }

// firstPort is the front end of the first class; the others follow.
const firstPort = 8000

func frontend(class int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("192.0.2.1"), uint16(firstPort+class))
}

func (w *world) listing() *view.Listing {
	listing := &view.Listing{Revision: 10, Configuration: &view.StoredConfiguration{
		Revision: 1, Configuration: view.Configuration{Version: 1},
	}}
	for i, class := range w.scenario.Classes {
		listing.Configuration.Configuration.Routes = append(listing.Configuration.Configuration.Routes, view.Route{
			Frontend:  lb.Frontend{Address: frontend(i), Protocol: lb.TCP},
			Targets:   []view.Target{{Service: "web", Weight: 1}},
			Objective: lb.Objective{Priority: class.Priority, TargetMillis: uint32(class.Target.Milliseconds())},
		})
	}
	for i := range w.hosts {
		listing.Backends = append(listing.Backends, view.StoredBackend{Revision: 2, Backend: view.Backend{
			Name: lb.BackendName(fmt.Sprintf("h-%d", i)), Identity: uint64(i + 1), Service: "web",
			Zone: zoneName(i % w.scenario.Zones), State: lb.BackendActive, Created: int64(i + 1), Slots: w.scenario.Slots,
			Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(7000+i)),
		}})
	}
	return listing
}

func (w *world) after(wait time.Duration, run func()) {
	w.order++
	w.events.After(wait, run)
}

func (w *world) every(interval time.Duration, run func()) {
	w.after(interval, func() {
		run()
		w.every(interval, run)
	})
}

func (w *world) step(index int, event *core.Event) core.Decision {
	n := &w.nodes[index]
	n.core.Step(w.now, event, &n.effects)
	decision := n.effects.Decision
	for i := range n.effects.Released {
		released := &n.effects.Released[i]
		then := n.held[released.Packet.Key]
		delete(n.held, released.Packet.Key)
		then(released.Decision)
	}
	return decision
}

// hold has an opening wait at a node until it is decided.
func (w *world) hold(index int, key lb.FlowKey, then func(core.Decision)) {
	n := &w.nodes[index]
	n.held[key] = then
	if !n.looks {
		n.looks = true
		w.after(w.scenario.Waiting.Interval, func() { w.look(index) })
	}
}

// look has a node look at what waits, as long as anything does.
func (w *world) look(index int) {
	n := &w.nodes[index]
	w.step(index, &core.Event{RetryQueued: true})
	if n.looks = n.core.HeldOpenings() > 0; n.looks {
		w.after(w.scenario.Waiting.Interval, func() { w.look(index) })
	}
}

// caller draws one of the first callers, more of them from the later zones where these ask for more.
func (w *world) caller(count int) *caller {
	if w.scenario.Uneven == 0 {
		return &w.callers[w.random.IntN(count)]
	}
	total := 0.0
	for zone := range w.scenario.Zones {
		total += math.Pow(w.scenario.Uneven, float64(zone))
	}
	point, zone := w.random.Float64()*total, 0
	for ; zone < w.scenario.Zones-1; zone++ {
		if point -= math.Pow(w.scenario.Uneven, float64(zone)); point < 0 {
			break
		}
	}
	return &w.callers[w.random.IntN(count/w.scenario.Zones)*w.scenario.Zones+zone]
}

// ask has a caller begin a request of a class now and then.
func (w *world) ask(class int) {
	load := w.scenario.Load(w.now)
	wait := time.Duration(w.random.ExpFloat64() / (w.scenario.Classes[class].Rate * max(load, 0.01)) * float64(time.Second))
	w.after(wait, func() {
		callers := int(math.Ceil(float64(w.scenario.Callers) * max(load, 1)))
		r := &request{world: w, class: class, caller: w.caller(min(callers, len(w.callers))), begun: w.now}
		r.count().Asked++
		r.try()
		w.ask(class)
	})
}
