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

// fleet runs the cores of a fleet in virtual time. Requests reach random nodes and go to random
// back ends.
type fleet struct {
	random   *rand.Rand
	now      time.Duration
	nodes    []*fleetNode
	backends []Identity
	// failureRate returns the ratio of a back end's requests that fail.
	failureRate func(Identity) float64
	// requestRate is the number of requests a second at all nodes together.
	requestRate                float64
	messages, maxReportEntries int // messages sent; largest number of entries in a report
	maxSuspects                int // largest number of suspects in a verdict
	badRequests                int // requests with a bad outcome
}

type fleetNode struct {
	core    *Core
	zone    int
	address netip.AddrPort
	dead    bool
	// seesOnlyFailures makes the node observe every request as failed.
	seesOnlyFailures bool
	ejected          map[Identity]bool
	inbox            []message.Message
	changes          []Change
}

const zones = 3

func newFleet(seed uint64, perZone, backends int, rate float64, adjust func(*Settings)) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 6)), requestRate: rate, failureRate: func(Identity) float64 { return 0 }}
	for index := range backends {
		f.backends = append(f.backends, Identity(index+1))
	}
	for zone := range zones {
		for index := range perZone {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(zone), byte(index >> 8), byte(index)}), 7946)
			settings := DefaultSettings(lb.NodeID(fmt.Sprintf("n-%d-%d", zone, index)))
			adjust(&settings)
			f.nodes = append(f.nodes, &fleetNode{core: New(settings), zone: zone, address: address, ejected: map[Identity]bool{}})
		}
	}
	f.assignPlaces()
	f.now = DefaultSettings("n").WarmUp
	return f
}

// assignPlaces sets the tree position of every living node, by its order in the zone.
func (f *fleet) assignPlaces() {
	byZone := make([][]*fleetNode, zones)
	for _, node := range f.nodes {
		if !node.dead {
			byZone[node.zone] = append(byZone[node.zone], node)
		}
	}
	const width = 8
	for zone, nodes := range byZone {
		for rank, node := range nodes {
			place := &tree.Place{IsRoot: rank == 0, Nodes: len(f.nodes)}
			if rank > 0 {
				place.Parent = nodes[(rank-1)/width].address
			}
			for child := rank*width + 1; child <= (rank+1)*width && child < len(nodes); child++ {
				place.Children = append(place.Children, nodes[child].address)
			}
			for other, others := range byZone {
				if rank == 0 && other != zone && len(others) > 0 {
					place.OtherRoots = append(place.OtherRoots, others[0].address)
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
			f.maxReportEntries = max(f.maxReportEntries, len(report.Backends))
		}
		if verdict, ok := outgoing.Message.(message.OutcomeVerdict); ok {
			f.maxSuspects = max(f.maxSuspects, len(verdict.Watched)-len(verdict.Ejected))
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
	if effects.EjectedChanged {
		clear(node.ejected)
		for _, identity := range effects.Ejected {
			node.ejected[identity] = true
		}
	}
}

// run advances the time in steps of 20 ms, the delay of a message.
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
		for requests := f.requestRate * step.Seconds(); f.random.Float64() < requests; requests-- {
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
	if node.ejected[backend] && f.random.IntN(16) > 0 {
		return
	}
	bad := f.random.Float64() < f.failureRate(backend) || node.seesOnlyFailures
	if bad {
		f.badRequests++
	}
	f.step(node, &Event{Outcomes: []Outcome{{Identity: backend, Bad: bad}}})
}

// countEjecting returns the number of living nodes that consider a back end ejected.
func (f *fleet) countEjecting(identity Identity) int {
	count := 0
	for _, node := range f.nodes {
		if !node.dead && node.ejected[identity] {
			count++
		}
	}
	return count
}

// countWronglyEjected counts the back ends that any node considers ejected though they do not fail.
func (f *fleet) countWronglyEjected() int {
	count := 0
	for _, identity := range f.backends {
		if f.failureRate(identity) < 0.1 && f.countEjecting(identity) > 0 {
			count++
		}
	}
	return count
}

func defaults(*Settings) {}

// failFirstTen makes back ends 1 to 10 fail the given ratio of their requests.
func failFirstTen(rate float64) func(Identity) float64 {
	return func(identity Identity) float64 {
		if identity <= 10 {
			return rate
		}
		return 0
	}
}

// TestFailingBackendsAreEjected sends ten requests a second to each of 120 back ends; with 90
// nodes, each node sees each back end once in nine seconds. It compares the requests that fail in
// eight seconds with those that would fail without outlier detection.
func TestFailingBackendsAreEjected(t *testing.T) {
	const duration = 8 * time.Second
	for _, test := range []struct{ rate, remaining float64 }{{1, 0.25}, {0.45, 0.6}} {
		for _, perZone := range []int{2, 30, 100} {
			f := newFleet(1, perZone, 120, 1200, defaults)
			f.run(5 * time.Second)
			f.failureRate = failFirstTen(test.rate)
			f.run(duration)
			remaining := float64(f.badRequests) / (f.requestRate * duration.Seconds() * 10 / 120 * test.rate)
			t.Logf("failure rate %v, %d nodes a zone: %.2f of the failures without outlier detection", test.rate, perZone, remaining)
			if wronglyEjected := f.countWronglyEjected(); remaining > test.remaining || wronglyEjected > 0 {
				t.Errorf("failure rate %v, %d nodes a zone: %.2f of the failures remain, want at most %v; %d healthy back ends are ejected", test.rate, perZone, remaining, test.remaining, wronglyEjected)
			}
			f.failureRate = failFirstTen(0)
			f.run(8 * time.Second)
			for identity := Identity(1); identity <= 10; identity++ {
				if nodes := f.countEjecting(identity); nodes > 0 {
					t.Errorf("failure rate %v, %d nodes a zone: back end %d is still ejected at %d nodes", test.rate, perZone, identity, nodes)
				}
			}
		}
	}
}

// harmlessFaults are conditions in which no single back end fails.
var harmlessFaults = map[string]func(f *fleet){
	"no faults":                        func(*fleet) {},
	"one node that sees only failures": func(f *fleet) { f.nodes[7].seesOnlyFailures = true },
	"a tenth of the nodes see only failures": func(f *fleet) {
		for index := 0; index < len(f.nodes); index += 10 {
			f.nodes[index].seesOnlyFailures = true
		}
	},
	"a quarter of the nodes see only failures": func(f *fleet) {
		for index := 0; index < len(f.nodes); index += 4 {
			f.nodes[index].seesOnlyFailures = true
		}
	},
	"a fifth of all requests are lost": func(f *fleet) { f.failureRate = func(Identity) float64 { return 0.2 } },
	"all nodes start, and a third of the back ends have a backlog for two seconds": func(f *fleet) {
		for _, node := range f.nodes {
			node.core.started = false
		}
		start := f.now
		f.failureRate = func(identity Identity) float64 {
			if identity%3 == 0 && f.now < start+2*time.Second {
				return 0.8
			}
			return 0.01
		}
	},
	"restarting nodes": func(f *fleet) {
		for index := range 9 {
			node := f.nodes[index*10]
			node.core = New(DefaultSettings(lb.NodeID(fmt.Sprintf("again-%d", index))))
			node.seesOnlyFailures = true
		}
		f.assignPlaces()
	},
}

// TestHealthyBackendsAreNotEjected runs 40 seeds for each condition in harmlessFaults.
func TestHealthyBackendsAreNotEjected(t *testing.T) {
	for name, inject := range harmlessFaults {
		for seed := range uint64(40) {
			f := newFleet(seed, 30, 120, 1200, defaults)
			f.failureRate = func(Identity) float64 { return 0.01 }
			f.run(2 * time.Second)
			inject(f)
			wronglyEjected := 0
			for range 10 {
				f.run(500 * ms)
				for _, identity := range f.backends {
					if f.countEjecting(identity) > 0 {
						wronglyEjected++
					}
				}
			}
			if wronglyEjected > 0 {
				t.Errorf("%s, seed %d: healthy back ends were ejected %d times", name, seed, wronglyEjected)
			}
		}
	}
}

// TestEachRuleIsNeeded switches off one rule at a time and checks that back ends that do not fail
// are then ejected.
func TestEachRuleIsNeeded(t *testing.T) {
	for name, adjust := range map[string]func(*Settings){
		"no sequential test":              func(s *Settings) { s.EjectThreshold = -1; s.ClearThreshold = -2 },
		"no comparison with the baseline": func(s *Settings) { s.BaselineRatio = 0 },
	} {
		wronglyEjected := 0
		for _, inject := range harmlessFaults {
			f := newFleet(3, 30, 120, 1200, adjust)
			f.failureRate = func(Identity) float64 { return 0.01 }
			inject(f)
			f.run(8 * time.Second)
			wronglyEjected += f.countWronglyEjected()
			for _, node := range f.nodes {
				wronglyEjected += len(node.changes)
			}
		}
		if wronglyEjected == 0 {
			t.Errorf("%s: no healthy back end is ejected", name)
		}
	}
}

func TestAtMostAThirdOfAServiceIsEjected(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 10, 12, 300, defaults)
	f.run(2 * time.Second)
	f.failureRate = func(identity Identity) float64 {
		if identity <= 7 {
			return 1
		}
		return 0
	}
	for range 20 {
		f.run(500 * ms)
		for _, node := range f.nodes {
			is.True(len(node.ejected) <= 4)
		}
	}
}

// TestNoMessagesWhileNothingFails also checks that reports are bounded while everything fails.
func TestNoMessagesWhileNothingFails(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 30, 400, 1200, defaults)
	f.run(5 * time.Second)
	is.Equal(f.messages, 0)
	f.failureRate = func(Identity) float64 { return 1 }
	f.run(5 * time.Second)
	is.True(f.maxReportEntries <= DefaultSettings("n").MaxReportEntries)
	f.failureRate = func(Identity) float64 { return 0 }
	f.run(20 * time.Second)
	f.messages = 0
	f.run(5 * time.Second)
	is.Equal(f.messages, 0)
}

// TestSuspectsAreBounded makes a third or half of the back ends fail at once, as when a rack or a
// zone is lost. No verdict may watch more than MaxSuspects suspects, and most of the back ends that
// may be ejected must be ejected within seconds.
func TestSuspectsAreBounded(t *testing.T) {
	for _, failing := range []int{120, 200} {
		is := is.New(t)
		f := newFleet(1, 30, 400, 4000, defaults)
		f.run(2 * time.Second)
		f.failureRate = failFirst(failing)
		f.run(8 * time.Second)
		ejected := 0
		for _, identity := range f.backends {
			if f.countEjecting(identity) == len(f.nodes) {
				ejected++
			}
		}
		t.Logf("%d fail, %d ejected at all nodes, at most %d suspects", failing, ejected, f.maxSuspects)
		is.True(f.maxSuspects > 0)
		is.True(f.maxSuspects <= DefaultSettings("n").MaxSuspects)
		is.True(5*ejected >= 4*min(failing, 400/3)) // ejected back ends are retried from time to time
		is.Equal(f.countWronglyEjected(), 0)
	}
}

// TestSuspectsBeyondTheEjectionLimitAreNotWatched checks that suspects take no slot when a third of
// their service is ejected already.
func TestSuspectsBeyondTheEjectionLimitAreNotWatched(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 10, 60, 1200, defaults)
	f.run(2 * time.Second)
	f.failureRate = failFirst(22)
	f.run(3 * time.Second)
	is.Equal(f.nodes[0].core.EjectedCount(), 20)
	is.Equal(f.nodes[0].core.detector.countSuspects(), 0)
}

// failFirst makes all requests of the first count back ends fail.
func failFirst(count int) func(Identity) float64 {
	return func(identity Identity) float64 {
		if identity <= Identity(count) {
			return 1
		}
		return 0
	}
}

// TestDetectorNodeDies checks that the verdict of a dead root node expires and that the next node
// takes over.
func TestDetectorNodeDies(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 10, 120, 1200, defaults)
	f.failureRate = failFirstTen(1)
	f.run(3 * time.Second)
	is.True(f.countEjecting(1) > 25)
	f.nodes[0].dead = true
	f.failureRate = failFirstTen(0)
	f.run(verdictTTL + 500*ms) // no node has detected the death yet
	for _, node := range f.nodes[1:10] {
		is.Equal(len(node.ejected), 0)
	}
	f.assignPlaces()
	f.failureRate = failFirstTen(1)
	f.run(3 * time.Second)
	is.True(f.countEjecting(1) >= 28)
}

// TestDetectorNodeRestarts checks that verdicts are accepted from a root node that restarted and
// numbers its verdicts from one again.
func TestDetectorNodeRestarts(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 10, 120, 1200, defaults)
	f.failureRate = failFirstTen(1)
	f.run(15 * time.Second)
	f.nodes[0].core = New(DefaultSettings("n-0-0"))
	f.assignPlaces()
	f.run(4 * time.Second)
	is.True(f.countEjecting(1) >= 29)
}
