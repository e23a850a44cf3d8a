package outlier

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
	"robinpulley.example/robinpulley/internal/tree"
)

const (
	ms      = time.Millisecond
	tick    = 100 * ms
	service = lb.ServiceName("web")
)

// fleet runs cores in virtual time. Requests come to nodes and go to back ends by chance.
type fleet struct {
	random   *rand.Rand
	now      time.Duration
	nodes    []*fleetNode
	backends []Identity
	// fails gives the part of a back end's requests that go badly.
	fails func(Identity) float64
	// rate is how many requests a second come to all nodes.
	rate              float64
	messages, entries int // most in a message
	suspects          int // most that a verdict asks for, besides those that it has avoided
	bad               int // requests that went badly
}

type fleetNode struct {
	core    *Core
	zone    int
	address netip.AddrPort
	dead    bool
	// accuses: all requests go badly in the eyes of this node.
	accuses bool
	avoided map[Identity]bool
	inbox   []message.Message
	changes []Change
}

const zones = 3

func newFleet(seed uint64, perZone, backends int, rate float64, adjust func(*Settings)) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 6)), rate: rate, fails: func(Identity) float64 { return 0 }}
	for index := range backends {
		f.backends = append(f.backends, Identity(index+1))
	}
	for zone := range zones {
		for index := range perZone {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(zone), byte(index >> 8), byte(index)}), 7946)
			settings := DefaultSettings(lb.NodeID(fmt.Sprintf("n-%d-%d", zone, index)))
			adjust(&settings)
			f.nodes = append(f.nodes, &fleetNode{core: New(settings), zone: zone, address: address, avoided: map[Identity]bool{}})
		}
	}
	f.place()
	f.now = DefaultSettings("n").Youth
	return f
}

// place gives every living node its place, by its order in the zone.
func (f *fleet) place() {
	byZone := make([][]*fleetNode, zones)
	for _, node := range f.nodes {
		if !node.dead {
			byZone[node.zone] = append(byZone[node.zone], node)
		}
	}
	const width = 8
	for zone, nodes := range byZone {
		for rank, node := range nodes {
			place := &tree.Place{First: rank == 0, Nodes: len(f.nodes)}
			if rank > 0 {
				place.Parent = nodes[(rank-1)/width].address
			}
			for child := rank*width + 1; child <= (rank+1)*width && child < len(nodes); child++ {
				place.Children = append(place.Children, nodes[child].address)
			}
			for other, head := range byZone {
				if rank == 0 && other != zone && len(head) > 0 {
					place.Heads = append(place.Heads, head[0].address)
				}
			}
			f.step(node, &Event{Place: place})
			if rank == 0 {
				f.step(node, &Event{Services: map[lb.ServiceName][]Identity{service: f.backends}})
			}
		}
	}
}

func (f *fleet) step(node *fleetNode, event *Event) {
	var effects Effects
	node.core.Step(f.now, event, &effects)
	for _, outgoing := range effects.Messages {
		f.messages += len(outgoing.To)
		if report, ok := outgoing.Message.(message.OutcomeReport); ok {
			f.entries = max(f.entries, len(report.Backends))
		}
		if verdict, ok := outgoing.Message.(message.OutcomeVerdict); ok {
			f.suspects = max(f.suspects, len(verdict.Watched)-len(verdict.Avoided))
		}
		for _, to := range outgoing.To {
			for _, other := range f.nodes {
				if other.address == to && !other.dead {
					other.inbox = append(other.inbox, outgoing.Message)
				}
			}
		}
	}
	node.changes = append(node.changes, effects.Changes...)
	if effects.Changed {
		clear(node.avoided)
		for _, identity := range effects.Ejected {
			node.avoided[identity] = true
		}
	}
}

// run lets time pass in steps of 20 ms, a message's way.
func (f *fleet) run(duration time.Duration) {
	const step = 20 * ms
	for end := f.now + duration; f.now < end; f.now += step {
		for index, node := range f.nodes {
			if node.dead {
				continue
			}
			inbox := node.inbox
			node.inbox = nil
			for _, sent := range inbox {
				switch sent := sent.(type) {
				case message.OutcomeReport:
					f.step(node, &Event{Report: &sent})
				case message.OutcomeVerdict:
					f.step(node, &Event{Verdict: &sent})
				}
			}
			if (f.now/step+time.Duration(index))%(tick/step) == 0 {
				f.step(node, &Event{})
			}
		}
		for requests := f.rate * step.Seconds(); f.random.Float64() < requests; requests-- {
			f.request()
		}
	}
}

func (f *fleet) request() {
	node := f.nodes[f.random.IntN(len(f.nodes))]
	if node.dead {
		return
	}
	backend := f.backends[f.random.IntN(len(f.backends))]
	if node.avoided[backend] && f.random.IntN(16) > 0 {
		return
	}
	bad := f.random.Float64() < f.fails(backend) || node.accuses
	if bad {
		f.bad++
	}
	f.step(node, &Event{Outcomes: []Outcome{{Identity: backend, Bad: bad}}})
}

// avoidedBy gives how many living nodes avoid a back end.
func (f *fleet) avoidedBy(identity Identity) int {
	count := 0
	for _, node := range f.nodes {
		if !node.dead && node.avoided[identity] {
			count++
		}
	}
	return count
}

// wrongly counts the back ends that any node avoids though they do not fail.
func (f *fleet) wrongly() int {
	count := 0
	for _, identity := range f.backends {
		if f.fails(identity) < 0.1 && f.avoidedBy(identity) > 0 {
			count++
		}
	}
	return count
}

func asIs(*Settings) {}

// firstTen has the back ends up to ten fail this part of their requests.
func firstTen(part float64) func(Identity) float64 {
	return func(identity Identity) float64 {
		if identity <= 10 {
			return part
		}
		return 0
	}
}

// TestFailingBackendsAreAvoided: at ten requests a second of each of 120 back ends,
// of which each of 90 nodes sees one in nine seconds. What is lost in eight seconds is
// held against what would be lost without evidence.
func TestFailingBackendsAreAvoided(t *testing.T) {
	const lasts = 8 * time.Second
	for _, test := range []struct{ part, lost float64 }{{1, 0.25}, {0.45, 0.6}} {
		for _, perZone := range []int{2, 30, 100} {
			f := newFleet(1, perZone, 120, 1200, asIs)
			f.run(5 * time.Second)
			f.fails = firstTen(test.part)
			f.run(lasts)
			lost := float64(f.bad) / (f.rate * lasts.Seconds() * 10 / 120 * test.part)
			t.Logf("%v fail, %d nodes a zone: %.2f of what fails without evidence", test.part, perZone, lost)
			if wrong := f.wrongly(); lost > test.lost || wrong > 0 {
				t.Errorf("%v fail, %d nodes a zone: %.2f, at most %v allowed; %d others are avoided", test.part, perZone, lost, test.lost, wrong)
			}
			f.fails = firstTen(0)
			f.run(8 * time.Second)
			for identity := Identity(1); identity <= 10; identity++ {
				if by := f.avoidedBy(identity); by > 0 {
					t.Errorf("%v failed, %d nodes a zone: back end %d is still avoided by %d nodes", test.part, perZone, identity, by)
				}
			}
		}
	}
}

// hardTimes are troubles in which no back end fails.
var hardTimes = map[string]func(f *fleet){
	"calm":                             func(*fleet) {},
	"one node that sees only failures": func(f *fleet) { f.nodes[7].accuses = true },
	"a tenth of the nodes see only failures": func(f *fleet) {
		for index := 0; index < len(f.nodes); index += 10 {
			f.nodes[index].accuses = true
		}
	},
	"a quarter of the nodes see only failures": func(f *fleet) {
		for index := 0; index < len(f.nodes); index += 4 {
			f.nodes[index].accuses = true
		}
	},
	"a fifth of all requests vanish": func(f *fleet) { f.fails = func(Identity) float64 { return 0.2 } },
	"all nodes start, and a third of the back ends has a backlog for two seconds": func(f *fleet) {
		for _, node := range f.nodes {
			node.core.started = false
		}
		began := f.now
		f.fails = func(identity Identity) float64 {
			if identity%3 == 0 && f.now < began+2*time.Second {
				return 0.8
			}
			return 0.01
		}
	},
	"nodes that restart": func(f *fleet) {
		for index := range 9 {
			node := f.nodes[index*10]
			node.core = New(DefaultSettings(lb.NodeID(fmt.Sprintf("again-%d", index))))
			node.accuses = true
		}
		f.place()
	},
}

// TestNoBackendIsAvoidedWithoutFailing: over 40 seeds each.
func TestNoBackendIsAvoidedWithoutFailing(t *testing.T) {
	for name, befall := range hardTimes {
		for seed := range uint64(40) {
			f := newFleet(seed, 30, 120, 1200, asIs)
			f.fails = func(Identity) float64 { return 0.01 }
			f.run(2 * time.Second)
			befall(f)
			wrong := 0
			for range 10 {
				f.run(500 * ms)
				for _, identity := range f.backends {
					if f.avoidedBy(identity) > 0 {
						wrong++
					}
				}
			}
			if wrong > 0 {
				t.Errorf("%s, seed %d: %d", name, seed, wrong)
			}
		}
	}
}

// TestEachRuleIsNeeded: without it back ends that do not fail are avoided.
func TestEachRuleIsNeeded(t *testing.T) {
	for name, adjust := range map[string]func(*Settings){
		"no hearing":                func(s *Settings) { s.Conviction = -1; s.Clearing = -2 },
		"no others to compare with": func(s *Settings) { s.Ratio = 0 },
	} {
		wrong := 0
		for _, befall := range hardTimes {
			f := newFleet(3, 30, 120, 1200, adjust)
			f.fails = func(Identity) float64 { return 0.01 }
			befall(f)
			f.run(8 * time.Second)
			wrong += f.wrongly()
			for _, node := range f.nodes {
				wrong += len(node.changes)
			}
		}
		if wrong == 0 {
			t.Errorf("%s: no back end is avoided wrongly", name)
		}
	}
}

func TestNoMoreThanAThirdIsAvoided(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 10, 12, 300, asIs)
	f.run(2 * time.Second)
	f.fails = func(identity Identity) float64 {
		if identity <= 7 {
			return 1
		}
		return 0
	}
	for range 20 {
		f.run(500 * ms)
		for _, node := range f.nodes {
			is.True(len(node.avoided) <= 4)
		}
	}
}

// TestNothingIsSentWhileNothingFails, and a bounded amount when all fails.
func TestNothingIsSentWhileNothingFails(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 30, 400, 1200, asIs)
	f.run(5 * time.Second)
	is.Equal(f.messages, 0)
	f.fails = func(Identity) float64 { return 1 }
	f.run(5 * time.Second)
	is.True(f.entries <= DefaultSettings("n").ReportEntries)
	f.fails = func(Identity) float64 { return 0 }
	f.run(20 * time.Second)
	f.messages = 0
	f.run(5 * time.Second)
	is.Equal(f.messages, 0)
}

// TestSuspectsAreBounded: a third of the back ends, or half of them, fails at once, as when
// a rack or a zone is lost. No verdict asks for more suspects than its bytes are bounded by,
// and most of those that may be are avoided within seconds.
func TestSuspectsAreBounded(t *testing.T) {
	for _, failing := range []int{120, 200} {
		is := is.New(t)
		f := newFleet(1, 30, 400, 4000, asIs)
		f.run(2 * time.Second)
		f.fails = firstOf(failing)
		f.run(8 * time.Second)
		avoided := 0
		for _, identity := range f.backends {
			if f.avoidedBy(identity) == len(f.nodes) {
				avoided++
			}
		}
		t.Logf("%d fail, %d avoided by all nodes, %d suspects at the most", failing, avoided, f.suspects)
		is.True(f.suspects > 0)
		is.True(f.suspects <= DefaultSettings("n").Suspects)
		is.True(5*avoided >= 4*min(failing, 400/3)) // each is tried again now and then
		is.Equal(f.wrongly(), 0)
	}
}

// TestSuspectsThatCannotBeAvoidedHoldNoPlace, since a third of their service is avoided.
func TestSuspectsThatCannotBeAvoidedHoldNoPlace(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 10, 60, 1200, asIs)
	f.run(2 * time.Second)
	f.fails = firstOf(22)
	f.run(3 * time.Second)
	is.Equal(f.nodes[0].core.EjectedCount(), 20)
	is.Equal(f.nodes[0].core.judge.watching(), 0)
}

// firstOf has all requests of that many back ends fail.
func firstOf(count int) func(Identity) float64 {
	return func(identity Identity) float64 {
		if identity <= Identity(count) {
			return 1
		}
		return 0
	}
}

// TestFirstNodeThatDies: its verdict is void soon, and the next one judges.
func TestFirstNodeThatDies(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 10, 120, 1200, asIs)
	f.fails = firstTen(1)
	f.run(3 * time.Second)
	is.True(f.avoidedBy(1) > 25)
	f.nodes[0].dead = true
	f.fails = firstTen(0)
	f.run(verdictTime + 500*ms) // nobody has noticed
	for _, node := range f.nodes[1:10] {
		is.Equal(len(node.avoided), 0)
	}
	f.place()
	f.fails = firstTen(1)
	f.run(3 * time.Second)
	is.True(f.avoidedBy(1) >= 28)
}

// TestFirstNodeThatRestarts counts its verdicts from one again, and is heard.
func TestFirstNodeThatRestarts(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 10, 120, 1200, asIs)
	f.fails = firstTen(1)
	f.run(15 * time.Second)
	f.nodes[0].core = New(DefaultSettings("n-0-0"))
	f.place()
	f.run(4 * time.Second)
	is.True(f.avoidedBy(1) >= 29)
}
