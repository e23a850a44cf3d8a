package controller

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"robinpulley.example/robinpulley/internal/catalog"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
)

// The size of the fleet that the benchmarks simulate.
const (
	fleetServices = 3300
	fleetHosts    = 4800
)

// fleetDocuments returns the store's content for a whole fleet, in which each host serves one
// service.
func fleetDocuments(b *testing.B) []Document {
	b.Helper()
	var documents []Document
	add := func(key string, value any) {
		encoded, err := json.Marshal(value)
		if err != nil {
			b.Fatal(err)
		}
		documents = append(documents, Document{Key: key, Value: encoded, ModRevision: int64(len(documents) + 1)})
	}
	for number := range fleetHosts {
		backend := newBackend(number, fmt.Sprintf("app-%d", number%fleetServices))
		backend.Host = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(number >> 16), byte(number >> 8), byte(number)}), 6081)
		add(catalog.BackendKey(backend.Name), backend)
	}
	for number := range fleetServices {
		name := lb.ServiceName(fmt.Sprintf("service-%d", number))
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(number >> 8), byte(number)}), 443)
		add(catalog.ServiceKey(name), catalog.Service{
			Name:      name,
			Frontends: []lb.Frontend{{Address: address, Protocol: lb.TCP}},
			Selector:  fmt.Sprintf("app=app-%d", number),
			WriteID:   "operator",
		})
	}
	return documents
}

// newFleet returns a cluster with one publisher for a whole fleet, after all services were placed.
func newFleet(b *testing.B) *cluster {
	b.Helper()
	documents := fleetDocuments(b)
	c := newCluster(1, nil)
	for _, document := range documents {
		c.store.values[document.Key] = document
	}
	c.store.revision = int64(len(documents))
	c.publishers[0].deliverList()
	for c.store.revision < int64(len(documents)+fleetServices) {
		c.publishers[0].runOnce()
		c.now += 10 * time.Millisecond
	}
	c.run(time.Second)
	return c
}

// BenchmarkChange measures the relabelling of one back end, which changes two services: all events
// up to both commits, with the encoding and decoding of the documents.
func BenchmarkChange(b *testing.B) {
	c := newFleet(b)
	p := c.publishers[0]
	p.controller.settings.WeightInterval = 1000 * time.Hour // no weight steps
	before := p.controller.writeCount
	number := 0
	b.ReportAllocs()
	for b.Loop() {
		number++
		host := number % fleetHosts
		c.putBackend(host, fmt.Sprintf("app-%d", number%fleetServices))
		p.runOnce()
		c.now += 3 * time.Second // no zone acknowledges, so the commit waits for PrepareLimit
		p.runOnce()
		p.runOnce()
	}
	b.ReportMetric(float64(p.controller.writeCount-before)/float64(b.N), "writes/op")
}

// BenchmarkLoad measures the processing of one zone's load report for 100 back ends.
func BenchmarkLoad(b *testing.B) {
	c := newFleet(b)
	p := c.publishers[0]
	load := &message.Load{Zone: "zone-0"}
	for number := range 100 {
		load.Backends = append(load.Backends, message.BackendLoad{Backend: backendName(number), Healthy: true, Load: 300})
	}
	b.ReportAllocs()
	for b.Loop() {
		p.deliver(&Event{Load: load})
	}
}

// BenchmarkTick measures a tick at which no write is due.
func BenchmarkTick(b *testing.B) {
	c := newFleet(b)
	b.ReportAllocs()
	for b.Loop() {
		c.publishers[0].deliver(&Event{Tick: true})
	}
}

// BenchmarkMemory reports the heap that a controller uses for a whole fleet, including the
// placements, which it shares with the other parts of a node.
func BenchmarkMemory(b *testing.B) {
	documents := fleetDocuments(b)
	for b.Loop() {
		c := newCluster(1, nil)
		for _, document := range documents {
			c.store.values[document.Key] = document
		}
		c.store.revision = int64(len(documents))
		before := liveHeap()
		c.publishers[0].deliverList()
		for len(c.publishers[0].adopted) < fleetServices {
			c.publishers[0].runOnce()
			c.now += 10 * time.Millisecond
		}
		c.store = newFakeStore()
		c.publishers[0].kinds = nil
		held := liveHeap()
		b.ReportMetric(float64(held-before)/1e6, "MB")
		runtime.KeepAlive(c)
	}
}

func liveHeap() uint64 {
	var statistics runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&statistics)
	return statistics.HeapAlloc
}
