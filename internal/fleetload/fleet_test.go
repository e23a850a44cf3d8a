package fleetload

import (
	"fmt"
	"math"
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
	ms          = time.Millisecond
	zoneCount   = 3
	zoneNodes   = 20
	webSlots    = 80.0
	requestWork = 0.06 // seconds of work per request
	transit     = 2 * ms
	sampleTime  = 100 * ms
)

// fleet simulates communicating nodes in virtual time. Demand is in slots, by zone.
type fleet struct {
	random      *rand.Rand
	now         time.Duration
	nodes       []*fakeNode
	byAddr      map[netip.AddrPort]*fakeNode
	inbox       []delivery
	demand      [zoneCount]float64
	refused     [zoneCount]float64
	loss        float64                     // probability of losing a message
	partitioned func(from, to lb.Zone) bool // whether messages are dropped; nil: none
	tamper      func(*fakeNode, message.Message) message.Message
	sent        int
	bytes       int
}

type fakeNode struct {
	id      lb.NodeID
	zone    lb.Zone
	address netip.AddrPort
	core    *Core
	effects Effects
	phase   time.Duration
	dead    bool
	known   map[lb.ServiceName]Service
}

type delivery struct {
	at   time.Duration
	to   *fakeNode
	sent message.Message
}

func zoneName(zone int) lb.Zone { return lb.Zone(fmt.Sprintf("zone-%d", zone)) }

func newFleet(seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 5)), byAddr: map[netip.AddrPort]*fakeNode{}}
	for index := range zoneCount * zoneNodes {
		zone := index / zoneNodes
		n := &fakeNode{
			id: lb.NodeID(fmt.Sprintf("n-%d", index)), zone: zoneName(zone),
			address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(zone), 0, byte(index)}), 7946),
			phase:   time.Duration(f.random.IntN(100)) * ms,
		}
		f.nodes = append(f.nodes, n)
		f.byAddr[n.address] = n
		f.start(n)
	}
	f.assignPlaces()
	return f
}

func (f *fleet) start(n *fakeNode) {
	n.core = New(DefaultSettings(n.id, n.zone))
	n.known = nil
	capacity := map[lb.Zone]float64{}
	for zone := range zoneCount {
		capacity[zoneName(zone)] = webSlots
	}
	f.step(n, &Event{Capacity: map[lb.ServiceName]map[lb.Zone]float64{"web": capacity, "idle": capacity}})
}

// assignPlaces sends all living nodes their places in the tree.
func (f *fleet) assignPlaces() {
	living := make([][]tree.Node, zoneCount)
	count := 0
	for index, n := range f.nodes {
		if !n.dead {
			living[index/zoneNodes] = append(living[index/zoneNodes], tree.Node{ID: n.id, Control: n.address})
			count++
		}
	}
	for index, n := range f.nodes {
		if n.dead {
			continue
		}
		var roots []tree.Node
		for zone := range living {
			if zone != index/zoneNodes && len(living[zone]) > 0 {
				roots = append(roots, living[zone][0])
			}
		}
		place := tree.PlaceOf(n.id, living[index/zoneNodes], roots, count)
		f.step(n, &Event{Place: &place})
	}
}

func (f *fleet) step(n *fakeNode, event *Event) {
	n.core.Step(f.now, event, &n.effects)
	if n.effects.Changed {
		n.known = n.effects.Services
	}
	for _, outgoing := range n.effects.Messages {
		for _, to := range outgoing.To {
			f.send(n, f.byAddr[to], outgoing.Message)
		}
	}
}

func (f *fleet) send(from, to *fakeNode, sent message.Message) {
	if f.tamper != nil {
		sent = f.tamper(from, sent)
	}
	line, err := message.Encode(nil, from.id, sent)
	if err != nil {
		panic(err)
	}
	f.sent++
	f.bytes += len(line)
	if f.random.Float64() < f.loss || f.partitioned != nil && f.partitioned(from.zone, to.zone) {
		return
	}
	_, read, err := message.Decode(line)
	if err != nil {
		panic(err)
	}
	f.inbox = append(f.inbox, delivery{at: f.now + transit, to: to, sent: read})
}

// run simulates a span of time in steps of 10 ms.
func (f *fleet) run(span time.Duration) {
	for end := f.now + span; f.now < end; f.now += 10 * ms {
		due := f.inbox
		f.inbox = nil
		for _, d := range due {
			if d.at > f.now {
				f.inbox = append(f.inbox, d)
				continue
			}
			f.deliver(d)
		}
		for index, n := range f.nodes {
			if !n.dead && f.now%sampleTime == n.phase/(10*ms)*(10*ms)%sampleTime {
				f.step(n, &Event{Samples: f.sample(index)})
				f.step(n, &Event{})
			}
		}
	}
}

func (f *fleet) deliver(d delivery) {
	if d.to.dead {
		return
	}
	switch received := d.sent.(type) {
	case message.LoadReport:
		f.step(d.to, &Event{Report: &received})
	case message.LoadState:
		f.step(d.to, &Event{State: &received})
	}
}

// sample draws a random number of requests that a node observes in one sample interval.
func (f *fleet) sample(index int) []Sample {
	zone := index / zoneNodes
	begun := f.poisson(f.demand[zone] / requestWork / zoneNodes * sampleTime.Seconds())
	refused := f.poisson(f.refused[zone] / requestWork / zoneNodes * sampleTime.Seconds())
	if begun+refused == 0 {
		return []Sample{}
	}
	return []Sample{{
		Service: "web",
		Levels:  []Level{{Priority: 1, Begun: float64(begun) * requestWork, Refused: float64(refused) * requestWork}},
		Answers: []Answers{{Zone: zoneName(zone), Count: float64(begun), LogSum: float64(begun) * math.Log(0.8)}},
	}}
}

func (f *fleet) poisson(mean float64) int {
	count, left := 0, f.random.ExpFloat64()
	for left < mean {
		count++
		left += f.random.ExpFloat64()
	}
	return count
}

// knownDemand returns the demand of a zone known to a node, or -1 if it is unknown.
func knownDemand(n *fakeNode, zone int) float64 {
	for _, known := range n.known["web"].Zones {
		if known.Zone == zoneName(zone) {
			return known.Demand()
		}
	}
	return -1
}

// meanDemand returns the mean demand known to living nodes, and the number of nodes that do not
// know it.
func (f *fleet) meanDemand(zone int) (mean float64, unknown int) {
	count := 0
	for _, n := range f.nodes {
		if n.dead {
			continue
		}
		known := knownDemand(n, zone)
		if known < 0 {
			unknown++
			continue
		}
		mean += known
		count++
	}
	return mean / float64(max(count, 1)), unknown
}

// TestNoMessagesFarFromLimit checks that fleet load costs no traffic in a fleet far from its limit.
func TestNoMessagesFarFromLimit(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	f.demand = [zoneCount]float64{15, 15, 15}
	f.run(10 * time.Second)
	is.Equal(f.sent, 0)
}

// TestDemandStepReachesAllNodes covers a surge in which one zone's clients triple their demand at
// once. Two seconds later all nodes of all zones must know it within 5%, without a large overshoot
// before.
func TestDemandStepReachesAllNodes(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	f.demand = [zoneCount]float64{20, 25, 20}
	f.run(5 * time.Second)
	f.demand[0] = 90
	highest := 0.0
	for range 20 {
		f.run(100 * ms)
		known, _ := f.meanDemand(0)
		highest = max(highest, known)
	}
	for zone, demand := range f.demand {
		known, unknown := 0.0, 0
		// The known demand is averaged, since one value rests on some 450 requests only.
		for range 10 {
			mean, missing := f.meanDemand(zone)
			known += mean / 10
			unknown += missing
			f.run(100 * ms)
		}
		is.Equal(unknown, 0)
		is.True(math.Abs(known/demand-1) < 0.05)
	}
	is.True(highest < 1.1*90)
}

// TestBackEndLoadIsSummedOverZones checks that answers are attributed to the zone of the back end.
func TestBackEndLoadIsSummedOverZones(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	f.demand = [zoneCount]float64{70, 70, 70}
	f.run(4 * time.Second)
	for _, n := range f.nodes {
		is.Equal(len(n.known["web"].Zones), zoneCount)
		for _, zone := range n.known["web"].Zones {
			is.True(math.Abs(zone.Load-0.8) < 0.01)
			is.True(zone.Answers > 800 && zone.Answers < 1600) // 70 slots at 0.06 s each: 1,167
		}
	}
}

// TestMessagesStopAfterSurge checks that after a surge the data expires and no more messages are
// sent.
func TestMessagesStopAfterSurge(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	f.demand = [zoneCount]float64{90, 20, 20}
	f.run(4 * time.Second)
	_, unknown := f.meanDemand(0)
	is.Equal(unknown, 0)
	f.demand[0] = 15
	f.run(8 * time.Second)
	f.sent = 0
	f.run(4 * time.Second)
	is.Equal(f.sent, 0)
	_, unknown = f.meanDemand(0)
	is.Equal(unknown, zoneCount*zoneNodes)
}

// TestZoneDataExpiresWhenRootDies checks that the demand of a zone expires after its root node
// dies, and is known again after the next node has become the root.
func TestZoneDataExpiresWhenRootDies(t *testing.T) {
	is := is.New(t)
	f := newFleet(5)
	f.demand = [zoneCount]float64{90, 20, 20}
	f.run(4 * time.Second)
	f.nodes[0].dead = true
	f.run(1500 * ms)
	_, unknown := f.meanDemand(0)
	is.Equal(unknown, zoneCount*zoneNodes-1) // no node uses expired sums
	f.assignPlaces()
	f.run(2 * time.Second)
	known, unknown := f.meanDemand(0)
	is.Equal(unknown, 0)
	is.True(math.Abs(known/90-1) < 0.1)
}

// TestPartitionedZoneExpires checks that each side of a partition continues with its own data, and
// that both know all zones again after it heals.
func TestPartitionedZoneExpires(t *testing.T) {
	is := is.New(t)
	f := newFleet(6)
	f.demand = [zoneCount]float64{90, 60, 60}
	f.run(4 * time.Second)
	f.partitioned = func(from, to lb.Zone) bool { return from != to && (from == zoneName(0) || to == zoneName(0)) }
	f.run(1500 * ms)
	for index, n := range f.nodes {
		inside := index < zoneNodes
		is.Equal(knownDemand(n, 0) >= 0, inside)
		is.Equal(knownDemand(n, 1) >= 0, !inside)
	}
	f.partitioned = nil
	f.run(1500 * ms)
	for zone := range zoneCount {
		_, unknown := f.meanDemand(zone)
		is.Equal(unknown, 0)
	}
}

// TestLostMessagesHaveLittleEffect checks that with a fifth of all messages lost, the known demand
// may be too low, but is never much too high, and is never unknown for long.
func TestLostMessagesHaveLittleEffect(t *testing.T) {
	is := is.New(t)
	f := newFleet(7)
	f.demand = [zoneCount]float64{90, 70, 70}
	f.loss = 0.2
	f.run(3 * time.Second)
	for range 20 {
		f.run(100 * ms)
		known, unknown := f.meanDemand(0)
		is.True(known < 1.1*90)
		is.True(known > 0.5*90)
		is.True(unknown < zoneNodes)
	}
}

// TestRestartedNodesRecoverWithinASecond checks that half of the nodes, restarted together, soon
// know the fleet's load.
func TestRestartedNodesRecoverWithinASecond(t *testing.T) {
	is := is.New(t)
	f := newFleet(8)
	f.demand = [zoneCount]float64{90, 70, 70}
	f.run(4 * time.Second)
	for index := 1; index < len(f.nodes); index += 2 {
		f.start(f.nodes[index])
	}
	f.assignPlaces()
	f.run(time.Second)
	for zone := range zoneCount {
		_, unknown := f.meanDemand(zone)
		is.Equal(unknown, 0)
	}
}

// TestFalseReportsAffectOwnZoneOnly covers a faulty node that adds a thousand requests a second to
// its reports. This may change the demand of its own zone only.
func TestFalseReportsAffectOwnZoneOnly(t *testing.T) {
	is := is.New(t)
	f := newFleet(9)
	f.demand = [zoneCount]float64{50, 50, 50}
	faulty := f.nodes[zoneNodes-1]
	f.tamper = func(from *fakeNode, sent message.Message) message.Message {
		report, ok := sent.(message.LoadReport)
		if from != faulty || !ok {
			return sent
		}
		report.Services = append(report.Services, message.ServiceWork{
			Service: "web", Levels: []message.LevelWork{{Priority: 0, Begun: 12_000}},
		})
		return report
	}
	f.run(4 * time.Second)
	other, _ := f.meanDemand(1)
	is.True(math.Abs(other/50-1) < 0.1)
	own, _ := f.meanDemand(0)
	is.True(own > 50) // accepted as it is: users of the data bound its effect
}

// TestTrafficNearLimit measures the bytes that a node sends per second while the fleet is near
// its limit.
func TestTrafficNearLimit(t *testing.T) {
	is := is.New(t)
	f := newFleet(10)
	f.demand = [zoneCount]float64{90, 70, 70}
	f.run(2 * time.Second)
	f.bytes, f.sent = 0, 0
	f.run(10 * time.Second)
	perNode := float64(f.bytes) / 10 / float64(len(f.nodes))
	t.Logf("%.0f bytes and %.1f messages a second per node", perNode, float64(f.sent)/10/float64(len(f.nodes)))
	is.True(perNode < 4000) // of 14 KB/s for all control traffic
}
