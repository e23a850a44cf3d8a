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

// The size that decides the design: 840 nodes in 12 zones.
const (
	targetZones      = 12
	targetZoneNodes  = 70
	targetPriorities = 3
)

// targetWork is what is told of services near their limit, with the answers of some zones' back
// ends. Numbers are by chance, so that they do not pack better than real ones.
func targetWork(random *rand.Rand, services, answering int) []message.ServiceWork {
	work := make([]message.ServiceWork, services)
	for index := range work {
		work[index].Service = lb.ServiceName(fmt.Sprintf("service-%03d", 37*index%1000))
		for priority := range targetPriorities {
			work[index].Levels = append(work[index].Levels, message.LevelWork{
				Priority: uint16(priority), Begun: random.IntN(30_000), Refused: random.IntN(3_000),
			})
		}
		for zone := range answering {
			work[index].Answers = append(work[index].Answers, message.ZoneAnswers{
				Zone: targetZone(zone), Count: random.IntN(90_000), Logs: random.IntN(60_000),
			})
		}
	}
	return work
}

func targetZone(zone int) lb.Zone {
	return lb.Zone(fmt.Sprintf("region-%d-zone-%c", zone/4, 'a'+zone%4))
}

// sizeOf is how many bytes a message has on its way.
func sizeOf(t *testing.T, sent message.Message) int {
	t.Helper()
	line, err := message.Encode(nil, "front-region-1-zone-a-17", sent)
	is.New(t).NoErr(err)
	return len(transport.Pack(sent.MessageType(), line))
}

// level is what nodes of one level of the tree send in a second.
type level struct {
	name                   string
	nodes                  int // of a zone
	reports, states, tells float64
	bytes, messages        float64
}

// levelsOf gives what the nodes of each level send while services are near their limit.
func levelsOf(t *testing.T, services int) []level {
	random := rand.New(rand.NewPCG(12, 70))
	settings := DefaultSettings("n", "z")
	perSecond := 1 / settings.Window.Seconds()
	report := float64(sizeOf(t, message.LoadReport{Services: targetWork(random, services, targetZones)}))
	own := message.ZoneWork{Zone: targetZone(0), AgeMillis: 100, Services: targetWork(random, services, targetZones)}
	between := float64(sizeOf(t, message.LoadState{Sender: "front-region-1-zone-a-17", Number: 12345, Zones: []message.ZoneWork{own}}))
	var zones []message.ZoneWork
	for zone := range targetZones {
		// All that is known of a zone's back ends is summed up: one entry each.
		zones = append(zones, message.ZoneWork{Zone: targetZone(zone), AgeMillis: 140, Services: targetWork(random, services, 1)})
	}
	down := float64(sizeOf(t, message.LoadState{Sender: "front-region-1-zone-a-17", Number: 12345, Zones: zones}))
	levels := []level{{name: "the first", nodes: 1}, {name: "between", nodes: 8}, {name: "the last", nodes: targetZoneNodes - 9}}
	for index := range levels {
		l := &levels[index]
		children := float64(min(tree.Width, targetZoneNodes-1))
		switch index {
		case 0:
			l.states, l.tells = targetZones-1, children
		case 1:
			l.reports, l.tells = 1, float64(levels[2].nodes)/8
		default:
			l.reports = 1
		}
		l.messages = perSecond * (l.reports + l.states + l.tells)
		l.bytes = perSecond * (l.reports*report + l.states*between + l.tells*down)
	}
	t.Logf("%d services near their limit: a report has %.0f bytes, a state between zones %.0f, one down the tree %.0f", services, report, between, down)
	return levels
}

// TestCostAtTheTargetSize: what each level of the tree sends, by the sizes of the messages.
// The budget of a node for all control is 14 KB a second.
func TestCostAtTheTargetSize(t *testing.T) {
	const budget = 14 << 10
	for _, services := range []int{1, 4, 32} {
		mean := 0.0
		for _, l := range levelsOf(t, services) {
			t.Logf("%-10s %2d of a zone's nodes: %4.0f messages and %7.0f bytes a second", l.name, l.nodes, l.messages, l.bytes)
			mean += l.bytes * float64(l.nodes) / targetZoneNodes
		}
		t.Logf("the mean node: %.0f bytes a second", mean)
		if services == 1 && mean > budget {
			t.Errorf("one service near its limit costs a node %.0f bytes a second, of %d", mean, budget)
		}
	}
}

// BenchmarkPackState packs what the first node of a zone tells down the tree, four services near their limit.
func BenchmarkPackState(b *testing.B) {
	random := rand.New(rand.NewPCG(12, 70))
	var zones []message.ZoneWork
	for zone := range targetZones {
		zones = append(zones, message.ZoneWork{Zone: targetZone(zone), AgeMillis: 140, Services: targetWork(random, 4, 1)})
	}
	line, err := message.Encode(nil, "front-region-1-zone-a-17", message.LoadState{Sender: "front-region-1-zone-a-17", Number: 12345, Zones: zones})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		transport.Pack(message.TypeLoadState, line)
	}
}
