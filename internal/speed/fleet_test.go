package speed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
	"robinpulley.example/robinpulley/internal/tree"
)

const (
	ms      = time.Millisecond
	service = lb.ServiceName("web")
	zones   = 3
	slots   = 2
	work    = 20 * ms
	// spread is the deviation of the logarithms of the times of requests.
	spread = 0.47
	// runStep is a message's way.
	runStep = 20 * ms
)

// fleet runs cores in virtual time. Requests come to nodes by chance and go to back
// ends by the factors that the node knows; back ends have slots and a queue.
type fleet struct {
	random   *rand.Rand
	now      time.Duration
	nodes    []*fleetNode
	backends []*fleetBackend
	rate     float64 // requests a second, of all nodes
	answers  []fleetAnswer
	lossy    float64 // part of the messages that are lost
	delay    time.Duration
	bytes    int // of all messages
	entries  int // most in a message
}

type fleetNode struct {
	core    *Core
	id      lb.NodeID
	zone    int
	address netip.AddrPort
	dead    bool
	// lies says what this node reports of a back end in place of what it sees; nil: the truth.
	lies    func(Identity) (float64, bool)
	factors map[Identity]float64
	inbox   []fleetMessage
	changes []Change
}

type fleetMessage struct {
	at   time.Duration
	body message.Message
}

type fleetBackend struct {
	identity Identity
	slow     float64 // how many times as long it takes
	free     [slots]time.Duration
	got      int
}

type fleetAnswer struct {
	at       time.Duration
	node     *fleetNode
	identity Identity
	log      float64
}

func newFleet(seed uint64, perZone, backends int, rate float64, adjust func(*Settings)) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 9)), rate: rate}
	for index := range backends {
		f.backends = append(f.backends, &fleetBackend{identity: Identity(index + 1), slow: 1})
	}
	for zone := range zones {
		for index := range perZone {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(zone), byte(index >> 8), byte(index)}), 7946)
			id := lb.NodeID(fmt.Sprintf("n-%d-%d", zone, index))
			settings := DefaultSettings(id)
			if adjust != nil {
				adjust(&settings)
			}
			f.nodes = append(f.nodes, &fleetNode{core: New(settings), id: id, zone: zone, address: address, factors: map[Identity]float64{}})
		}
	}
	f.place()
	f.run(DefaultSettings("n").Youth + time.Second)
	return f
}

// place gives every living node its place, by its order in the zone.
func (f *fleet) place() {
	byZone := make([][]tree.Node, zones)
	for _, node := range f.nodes {
		if !node.dead {
			byZone[node.zone] = append(byZone[node.zone], tree.Node{ID: node.id, Control: node.address})
		}
	}
	for _, node := range f.nodes {
		if node.dead {
			continue
		}
		var heads []tree.Node
		for zone, nodes := range byZone {
			if zone != node.zone && len(nodes) > 0 {
				heads = append(heads, nodes[0])
			}
		}
		place := tree.PlaceOf(node.id, byZone[node.zone], heads, len(f.nodes))
		f.step(node, &Event{Place: &place})
		f.step(node, &Event{Services: f.services()})
	}
}

func (f *fleet) services() map[lb.ServiceName][]Identity {
	var identities []Identity
	for _, backend := range f.backends {
		identities = append(identities, backend.identity)
	}
	return map[lb.ServiceName][]Identity{service: identities}
}

func (f *fleet) step(node *fleetNode, event *Event) {
	var effects Effects
	node.core.Step(f.now, event, &effects)
	for _, outgoing := range effects.Messages {
		line, err := message.Encode(nil, node.id, outgoing.Message)
		if err != nil {
			panic(err)
		}
		_, decoded, err := message.Decode(line)
		if err != nil {
			panic(err)
		}
		switch sent := decoded.(type) {
		case message.SpeedReport:
			f.entries = max(f.entries, len(sent.Backends))
		case message.SpeedState:
			f.entries = max(f.entries, len(sent.Steps))
		}
		f.bytes += len(line) * len(outgoing.To)
		for _, other := range f.nodes {
			if slices.Contains(outgoing.To, other.address) && !other.dead && f.random.Float64() >= f.lossy {
				other.inbox = append(other.inbox, fleetMessage{at: f.now + f.delay, body: decoded})
			}
		}
	}
	node.changes = append(node.changes, effects.Changes...)
	if effects.Changed {
		clear(node.factors)
		for _, slow := range effects.Factors {
			node.factors[slow.Identity] = slow.Factor
		}
	}
}

// run lets time pass in steps of 20 ms, a message's way.
func (f *fleet) run(duration time.Duration) {
	for end := f.now + duration; f.now < end; f.now += runStep {
		for index, node := range f.nodes {
			f.receive(node)
			if !node.dead && (f.now/runStep+time.Duration(index))%5 == 0 {
				f.step(node, &Event{})
			}
		}
		for requests := f.rate * runStep.Seconds(); f.random.Float64() < requests; requests-- {
			f.request()
		}
		f.answers = slices.DeleteFunc(f.answers, func(answer fleetAnswer) bool {
			if answer.at > f.now {
				return false
			}
			f.answer(&answer)
			return true
		})
	}
}

func (f *fleet) receive(node *fleetNode) {
	inbox := node.inbox
	node.inbox = nil
	for _, sent := range inbox {
		if sent.at > f.now {
			node.inbox = append(node.inbox, sent)
			continue
		}
		switch body := sent.body.(type) {
		case message.SpeedReport:
			f.step(node, &Event{Report: &body})
		case message.SpeedState:
			f.step(node, &Event{State: &body})
		}
	}
}

func (f *fleet) answer(answer *fleetAnswer) {
	if answer.node.dead {
		return
	}
	if answer.node.lies != nil {
		if log, said := answer.node.lies(answer.identity); said {
			answer.log = log
		}
	}
	f.step(answer.node, &Event{Answers: []Answer{{Service: service, Identity: answer.identity, Log: answer.log}}})
}

// request comes to a node by chance and goes to a back end by the node's weights.
func (f *fleet) request() {
	node := f.nodes[f.random.IntN(len(f.nodes))]
	if node.dead {
		return
	}
	sum := 0.0
	weight := func(backend *fleetBackend) float64 {
		if factor, slow := node.factors[backend.identity]; slow {
			return factor
		}
		return 1
	}
	for _, backend := range f.backends {
		sum += weight(backend)
	}
	point := f.random.Float64() * sum
	chosen := f.backends[0]
	for _, backend := range f.backends {
		chosen = backend
		if point -= weight(backend); point < 0 {
			break
		}
	}
	chosen.got++
	const mostWaiting = 8 * work // what does not fit into the queue is rejected
	free := 0
	for slot := range chosen.free {
		if chosen.free[slot] < chosen.free[free] {
			free = slot
		}
	}
	begins := max(f.now, chosen.free[free])
	if begins-f.now > time.Duration(float64(mostWaiting)*chosen.slow) {
		return
	}
	took := time.Duration(float64(work) * chosen.slow * math.Exp(spread*f.random.NormFloat64()))
	chosen.free[free] = begins + took
	log := math.Log((begins + took - f.now).Seconds() / work.Seconds())
	f.answers = append(f.answers, fleetAnswer{at: begins + took, node: node, identity: chosen.identity, log: log})
}

// slow makes a part of the back ends slower.
func (f *fleet) slow(part, by float64) {
	for index, backend := range f.backends {
		if float64(index) < part*float64(len(f.backends)) {
			backend.slow = by
		}
	}
}

// part gives the mean of the factors of slow back ends, and of the others, over all nodes.
func (f *fleet) part() (slow, others float64) {
	count := [2]float64{}
	for _, node := range f.nodes {
		if node.dead {
			continue
		}
		for _, backend := range f.backends {
			factor, found := node.factors[backend.identity]
			if !found {
				factor = 1
			}
			if backend.slow > 1 {
				slow += factor
				count[0]++
			} else {
				others += factor
				count[1]++
			}
		}
	}
	return slow / max(count[0], 1), others / max(count[1], 1)
}

// changed tells how often back ends were taken for slow.
func (f *fleet) changed() int {
	count := 0
	for _, node := range f.nodes {
		for _, change := range node.changes {
			if change.Slow {
				count++
			}
		}
	}
	return count
}

const (
	fleetBackends = 60
	// calmRate uses 45% of the slots, hardRate 75%.
	calmRate = 0.30 * fleetBackends * slots / 0.02234
	busyRate = 0.45 * fleetBackends * slots / 0.02234
	hardRate = 0.75 * fleetBackends * slots / 0.02234
)

// seeds are those of all fleets here.
var seeds = []uint64{1, 2, 3}

// slowPart of the back ends turn slower by slowBy in these tests.
const slowPart, slowBy = 0.3, 5.0

// othersGet is what the back ends that are not slow get, over their even part, where
// slow ones have a factor.
func othersGet(slow float64) float64 { return 1 / (1 - slowPart + slowPart*slow) }

// TestSlowThirdIsMetWithinTwoSeconds: what the others get is within 10% of what the
// speeds ask for after two seconds, and does not swing past it by more than that.
func TestSlowThirdIsMetWithinTwoSeconds(t *testing.T) {
	for _, rate := range []float64{busyRate, hardRate} {
		for _, seed := range seeds {
			is := is.New(t)
			f := newFleet(seed, 12, fleetBackends, rate, nil)
			f.slow(slowPart, slowBy)
			right := othersGet(1 / slowBy)
			f.run(2 * time.Second)
			for range 24 {
				slow, others := f.part()
				got := othersGet(slow / others)
				is.True(got > 0.9*right && got < 1.1*right)
				f.run(250 * ms)
			}
		}
	}
}

// TestRecoveredBackendsGetTheirPart: some flows go on to slow ones, which show that
// they are fast again.
func TestRecoveredBackendsGetTheirPart(t *testing.T) {
	for _, seed := range seeds {
		is := is.New(t)
		f := newFleet(seed, 12, fleetBackends, busyRate, nil)
		f.slow(slowPart, slowBy)
		f.run(4 * time.Second)
		f.slow(slowPart, 1)
		f.run(3 * time.Second)
		_, all := f.part()
		is.True(all > 0.97)
		f.run(4 * time.Second)
		for _, node := range f.nodes {
			is.True(node.core.Slow() <= 2)
		}
	}
}

// TestCalmFleetsFindNothingSlow, and say next to nothing: requests of widely
// spread times among them.
func TestCalmFleetsFindNothingSlow(t *testing.T) {
	for _, seed := range seeds {
		is := is.New(t)
		f := newFleet(seed, 12, fleetBackends, calmRate, nil)
		const length = 30
		f.run(length * time.Second)
		is.Equal(f.changed(), 0)
		is.True(f.bytes/length/len(f.nodes) < 100) // a second, of 14,000 for all control
	}
}

// TestLyingNodesSlowNothing: what one node says takes no back end out, nor does a
// node that is slow itself.
func TestLyingNodesSlowNothing(t *testing.T) {
	lies := map[string]func(Identity) (float64, bool){
		"of one back end": func(identity Identity) (float64, bool) { return 3, identity == 7 },
		"of a third":      func(identity Identity) (float64, bool) { return 3, identity%3 == 0 },
		"of all":          func(Identity) (float64, bool) { return 3, true },
		"of quick ones":   func(Identity) (float64, bool) { return -3, true },
	}
	for name, lie := range lies {
		t.Run(name, func(t *testing.T) {
			for _, seed := range seeds {
				is := is.New(t)
				f := newFleet(seed, 12, fleetBackends, calmRate, nil)
				f.nodes[5].lies = lie
				f.run(20 * time.Second)
				is.Equal(f.changed(), 0)
			}
		})
	}
}

// TestLiesHideNoSlowBackend: a node that says that all is well is one of many.
func TestLiesHideNoSlowBackend(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 12, fleetBackends, busyRate, nil)
	f.nodes[5].lies = func(Identity) (float64, bool) { return 0, true }
	f.slow(slowPart, slowBy)
	f.run(2500 * ms)
	slow, others := f.part()
	is.True(slow < 0.3 && others > 0.95)
}

// TestLateAndLostMessages: half a second on the way each time and a third of all
// messages lost: later, and without swinging.
func TestLateAndLostMessages(t *testing.T) {
	for _, seed := range seeds {
		is := is.New(t)
		f := newFleet(seed, 12, fleetBackends, busyRate, nil)
		f.delay, f.lossy = 500*ms, 0.33
		f.slow(slowPart, slowBy)
		right := othersGet(1 / slowBy)
		f.run(5 * time.Second)
		for range 24 {
			slow, others := f.part()
			got := othersGet(slow / others)
			is.True(got > 0.85*right && got < 1.1*right)
			f.run(250 * ms)
		}
	}
}

// TestWhatIsNotRenewedIsForgotten: the first node of a zone ends, and nobody takes
// its place.
func TestWhatIsNotRenewedIsForgotten(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 12, fleetBackends, busyRate, nil)
	f.slow(slowPart, slowBy)
	f.run(3 * time.Second)
	node := f.nodes[3] // of the first zone
	is.True(len(node.factors) > 0)
	f.nodes[0].dead = true
	f.run(DefaultSettings("n").HoldTime + time.Second)
	is.Equal(len(node.factors), 0)
	f.place() // the next one in rank is first now
	f.run(2500 * ms)
	slow, _ := f.part()
	is.True(slow < 0.3)
}

// TestRestartsOfHalf: half of the nodes end and begin again while nothing is slow, and
// see the backlog of a quarter of the back ends for some seconds: nobody is taken for slow.
func TestRestartsOfHalf(t *testing.T) {
	for _, seed := range seeds {
		is := is.New(t)
		f := newFleet(seed, 12, fleetBackends, calmRate, nil)
		for index, node := range f.nodes {
			if index%2 == 0 {
				node.core = New(DefaultSettings(node.id))
				clear(node.factors)
				backlog := f.now + 4*time.Second
				node.lies = func(identity Identity) (float64, bool) {
					return 2, identity%4 == 0 && f.now < backlog
				}
			}
		}
		f.place()
		f.run(15 * time.Second)
		is.Equal(f.changed(), 0)
	}
}

// TestFewRequestsShowNothing: two requests a second of a service, of times that
// spread widely.
func TestFewRequestsShowNothing(t *testing.T) {
	for _, seed := range seeds {
		is := is.New(t)
		f := newFleet(seed, 4, 20, 2, nil)
		for _, node := range f.nodes {
			node.lies = func(Identity) (float64, bool) { return 1.3 * f.random.NormFloat64(), true }
		}
		f.run(120 * time.Second)
		is.Equal(f.changed(), 0)
	}
}

// TestReplacedBackendsAreForgotten: a new run of a back end owes nothing.
func TestReplacedBackendsAreForgotten(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 12, fleetBackends, busyRate, nil)
	f.slow(slowPart, slowBy)
	f.run(3 * time.Second)
	for _, backend := range f.backends {
		backend.slow = 1
		backend.identity += 1000
	}
	for _, node := range f.nodes {
		f.step(node, &Event{Services: f.services()})
	}
	f.run(DefaultSettings("n").HoldTime + time.Second)
	for _, node := range f.nodes {
		is.Equal(len(node.factors), 0)
	}
}

// TestMessagesAreBounded, whatever is slow: 240 back ends of which a third is.
func TestMessagesAreBounded(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 24, 240, 4*busyRate, nil)
	f.bytes = 0
	f.slow(slowPart, slowBy)
	const length = 5
	f.run(length * time.Second)
	is.True(f.entries <= DefaultSettings("n").Entries)
	is.True(f.bytes/length/len(f.nodes) < 2800) // a fifth of 14 KB a second
	slow, others := f.part()
	is.True(slow < 0.35 && others > 0.97)
}

// TestSmallFleet: a single node has nobody who agrees.
func TestSmallFleet(t *testing.T) {
	is := is.New(t)
	core := New(DefaultSettings("n"))
	var effects Effects
	place := &tree.Place{First: true, Nodes: 1, ZoneNodes: 1}
	core.Step(0, &Event{Place: place}, &effects)
	core.Step(0, &Event{Services: map[lb.ServiceName][]Identity{service: {1, 2, 3, 4}}}, &effects)
	for now := 6 * time.Second; now < 10*time.Second; now += 20 * ms {
		for identity := range Identity(4) {
			log := 0.0
			if identity == 0 {
				log = math.Log(slowBy)
			}
			core.Step(now, &Event{Answers: []Answer{{Service: service, Identity: identity + 1, Log: log}}}, &effects)
		}
		core.Step(now, &Event{}, &effects)
	}
	is.Equal(core.Slow(), 1)
	is.Equal(stepOf(math.Log(factorOf(7))), uint8(7))
}

// TestSlowBackendsStaySlowUnderLoad: the others' queues do not make them look even,
// so that they are not given more than they can do again and again.
func TestSlowBackendsStaySlowUnderLoad(t *testing.T) {
	for _, seed := range seeds {
		is := is.New(t)
		f := newFleet(seed, 12, fleetBackends, 1.3*hardRate, nil)
		f.slow(0.2, 4) // 85% of what could be done is left, 115% of that is asked for
		f.run(3 * time.Second)
		before := f.evened()
		f.run(8 * time.Second)
		slow, _ := f.part()
		is.True(slow < 0.27) // a quarter is right
		is.Equal(f.evened(), before)
	}
}

// evened tells how often slow back ends were taken for even, that still are slow.
func (f *fleet) evened() int {
	count := 0
	for _, node := range f.nodes {
		for _, change := range node.changes {
			if !change.Slow && f.backends[change.Identity-1].slow > 1 {
				count++
			}
		}
	}
	return count
}

// TestNothingHeardForgives: a slow back end gets its part again when nobody hears of it.
func TestNothingHeardForgives(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 12, fleetBackends, busyRate, nil)
	f.slow(slowPart, slowBy)
	f.run(3 * time.Second)
	f.rate = 0
	f.run(20 * time.Second)
	slow, others := f.part()
	is.True(slow > 0.9)
	is.Equal(others, 1.0)
}

// TestSayOfANodeIsBounded: whatever it sees, a node says no more than a few answers' worth.
func TestSayOfANodeIsBounded(t *testing.T) {
	is := is.New(t)
	own := newOwn(DefaultSettings("n"))
	for index := range 1000 {
		own.note(time.Second, &Answer{Service: service, Identity: Identity(1 + index%10), Log: -50})
		own.note(time.Second, &Answer{Service: service, Identity: 99, Log: 50})
	}
	report := &message.SpeedReport{}
	own.report(time.Second, func(Identity) bool { return true }, report)
	is.Equal(len(report.Backends), 11)
	for _, entry := range report.Backends {
		is.True(entry.Count <= 8)
		is.True(entry.Logs <= 8*300 && entry.Logs >= -8*100)
	}
	rest := &message.SpeedReport{}
	own.note(2*time.Second, &Answer{Service: service, Identity: 99, Log: 50})
	for range 1000 {
		own.note(2*time.Second, &Answer{Service: service, Identity: 1, Log: 0})
	}
	own.report(2*time.Second, func(identity Identity) bool { return identity == 99 }, rest)
	is.Equal(len(rest.Services), 1)
	is.True(rest.Services[0].Count <= 64)
}
