package fleetload

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
	"robinpulley.example/robinpulley/internal/transport"
	"robinpulley.example/robinpulley/internal/tree"
)

// The size of a large fleet: 840 nodes in 12 zones.
const (
	fleetZones      = 12
	fleetZoneNodes  = 70
	fleetPriorities = 3
)

// randomWork returns the work of services near their limit, with the answers of the back ends of
// some zones. Numbers are random, so that they compress no better than real ones.
func randomWork(random *rand.Rand, services, answering int) []message.ServiceWork {
	work := make([]message.ServiceWork, services)
	for index := range work {
		work[index].Service = lb.ServiceName(fmt.Sprintf("service-%03d", 37*index%1000))
		for priority := range fleetPriorities {
			work[index].Levels = append(work[index].Levels, message.LevelWork{
				Priority: uint16(priority), Begun: random.IntN(30_000), Refused: random.IntN(3_000),
			})
		}
		for zone := range answering {
			work[index].Answers = append(work[index].Answers, message.ZoneAnswers{
				Zone: fleetZone(zone), Count: random.IntN(90_000), LogLoadSum: random.IntN(60_000),
			})
		}
	}
	return work
}

func fleetZone(zone int) lb.Zone {
	return lb.Zone(fmt.Sprintf("region-%d-zone-%c", zone/4, 'a'+zone%4))
}

// encodedSize returns the size of a message on the wire in bytes.
func encodedSize(t *testing.T, sent message.Message) int {
	t.Helper()
	line, err := message.Encode(nil, "front-region-1-zone-a-17", sent)
	is.New(t).NoErr(err)
	return len(transport.Pack(sent.MessageType(), line))
}

// treeLevel is the number of messages that the nodes of one level of the tree send.
type treeLevel struct {
	name                            string
	nodes                           int // per zone
	reports, zoneStates, treeStates float64
	bytes, messages                 float64
}

// treeLevels returns the messages that the nodes of each level send while services are near their
// limit.
func treeLevels(t *testing.T, services int) []treeLevel {
	random := rand.New(rand.NewPCG(12, 70))
	settings := DefaultSettings("n", "z")
	perSecond := 1 / settings.Window.Seconds()
	report := float64(encodedSize(t, message.LoadReport{Services: randomWork(random, services, fleetZones)}))
	own := message.ZoneWork{Zone: fleetZone(0), AgeMillis: 100, Services: randomWork(random, services, fleetZones)}
	between := float64(encodedSize(t, message.LoadState{Sender: "front-region-1-zone-a-17", Sequence: 12345, Zones: []message.ZoneWork{own}}))
	var zones []message.ZoneWork
	for zone := range fleetZones {
		// The answers of a zone's back ends are combined into one entry.
		zones = append(zones, message.ZoneWork{Zone: fleetZone(zone), AgeMillis: 140, Services: randomWork(random, services, 1)})
	}
	down := float64(encodedSize(t, message.LoadState{Sender: "front-region-1-zone-a-17", Sequence: 12345, Zones: zones}))
	levels := []treeLevel{{name: "root", nodes: 1}, {name: "inner", nodes: 8}, {name: "leaf", nodes: fleetZoneNodes - 9}}
	for index := range levels {
		l := &levels[index]
		children := float64(min(tree.Width, fleetZoneNodes-1))
		switch index {
		case 0:
			l.zoneStates, l.treeStates = fleetZones-1, children
		case 1:
			l.reports, l.treeStates = 1, float64(levels[2].nodes)/8
		default:
			l.reports = 1
		}
		l.messages = perSecond * (l.reports + l.zoneStates + l.treeStates)
		l.bytes = perSecond * (l.reports*report + l.zoneStates*between + l.treeStates*down)
	}
	t.Logf("%d services near their limit: %.0f bytes per report, %.0f per state between zones, %.0f per state down the tree", services, report, between, down)
	return levels
}

// TestTrafficOfLargeFleet computes the traffic of each level of the tree from the sizes of the
// messages. The budget of a node for all control traffic is 14 KB a second.
func TestTrafficOfLargeFleet(t *testing.T) {
	const budget = 14 << 10
	for _, services := range []int{1, 4, 32} {
		mean := 0.0
		for _, l := range treeLevels(t, services) {
			t.Logf("%-10s %2d nodes per zone: %4.0f messages and %7.0f bytes a second", l.name, l.nodes, l.messages, l.bytes)
			mean += l.bytes * float64(l.nodes) / fleetZoneNodes
		}
		t.Logf("mean per node: %.0f bytes a second", mean)
		if services == 1 && mean > budget {
			t.Errorf("one service near its limit costs a node %.0f bytes a second; the budget is %d", mean, budget)
		}
	}
}

// BenchmarkPackState packs the state that the root node of a zone sends down the tree, with four
// services near their limit.
func BenchmarkPackState(b *testing.B) {
	random := rand.New(rand.NewPCG(12, 70))
	var zones []message.ZoneWork
	for zone := range fleetZones {
		zones = append(zones, message.ZoneWork{Zone: fleetZone(zone), AgeMillis: 140, Services: randomWork(random, 4, 1)})
	}
	line, err := message.Encode(nil, "front-region-1-zone-a-17", message.LoadState{Sender: "front-region-1-zone-a-17", Sequence: 12345, Zones: zones})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		transport.Pack(message.TypeLoadState, line)
	}
}
