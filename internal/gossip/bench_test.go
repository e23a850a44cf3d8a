package gossip_test

import (
	"fmt"
	"testing"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
)

// BenchmarkChange measures, in virtual time and per fleet size, how long it takes until every node
// has adopted a change, and the traffic per node of a day with 3,400 changes of four versions each,
// including reports.
func BenchmarkChange(b *testing.B) {
	for _, size := range []int{12, 48, 192, 840} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				fleet := newFleet(b, size, 3, nil)
				fleet.runFor(5 * time.Second)
				const changes = 20
				document := newDocument(b, 0)
				const interval = 86400 * time.Second / (3400 * 4)
				fleet.resetBytes()
				startedAt, wall := fleet.queue.Now(), time.Now()
				var sum, longest time.Duration
				for change := range changes {
					fleet.publish(fleet.nodes[(change*5)%size], document)
					took, ok := fleet.runUntil(30*time.Second, func() bool { return fleet.allNodesHave(document) })
					if !ok {
						b.Fatalf("change %d has not reached all nodes after 30 s", change)
					}
					sum += took
					longest = max(longest, took)
					fleet.runFor(interval - took)
					document = nextDocument(b, document)
				}
				mean, highest := fleet.bytesPerSecond(fleet.queue.Now() - startedAt)
				spanned := (fleet.queue.Now() - startedAt).Seconds()
				perNode := time.Since(wall).Seconds() / spanned / float64(size)
				b.ReportMetric(perNode*1e6, "us/node-s") // includes the simulation
				b.ReportMetric((sum / changes).Seconds(), "change-mean-s")
				b.ReportMetric(longest.Seconds(), "change-max-s")
				b.ReportMetric(mean, "day-B/s")
				b.ReportMetric(highest, "day-max-B/s")
			}
		})
	}
}

// BenchmarkBurst measures how long simultaneous changes of many services take to reach all nodes.
func BenchmarkBurst(b *testing.B) {
	for _, size := range []int{12, 192} {
		for _, services := range []int{10, 100} {
			b.Run(fmt.Sprintf("%d/%d", size, services), func(b *testing.B) {
				for b.Loop() {
					fleet := newFleet(b, size, 3, nil)
					fleet.runFor(5 * time.Second)
					var documents []*lb.Placement
					for service := range services {
						documents = append(documents, newDocument(b, service))
					}
					fleet.resetBytes()
					fleet.publish(fleet.nodes[0], documents...)
					took, ok := fleet.runUntil(300*time.Second, func() bool { return fleet.allNodesHave(documents...) })
					if !ok {
						b.Fatal("the burst has not reached all nodes after 300 s")
					}
					mean, highest := fleet.bytesPerSecond(took)
					b.ReportMetric(took.Seconds(), "burst-s")
					b.ReportMetric(mean, "burst-B/s")
					b.ReportMetric(highest, "burst-max-B/s")
				}
			})
		}
	}
}

// BenchmarkFirstLoad measures how long a starting node takes to load the placements of 3,300
// services from its peers, without the store.
func BenchmarkFirstLoad(b *testing.B) {
	for b.Loop() {
		const services = 3300
		fleet := newFleet(b, 12, 3, nil)
		documents := make([]*lb.Placement, services)
		for service := range services {
			documents[service] = newDocument(b, service)
		}
		for _, node := range fleet.nodes {
			fleet.publish(node, documents...)
		}
		fleet.runFor(10 * time.Second)
		fleet.resetBytes()
		starting := fleet.nodes[4]
		fleet.start(starting)
		took, ok := fleet.runUntil(300*time.Second, func() bool { return starting.synced })
		if !ok {
			b.Fatal("the node has not loaded all placements after 300 s")
		}
		sum := 0
		for _, node := range fleet.nodes {
			sum += node.bytes
		}
		b.ReportMetric(took.Seconds(), "load-s")
		b.ReportMetric(float64(sum)/services, "bytes/service")
	}
}
