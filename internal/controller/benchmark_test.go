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

// The sizes of the fleet that the costs are stated for.
const (
	fleetServices = 3300
	fleetHosts    = 4800
)

// fleetDocuments gives the store's content: each host serves one service.
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

// fleet gives one publisher of a whole fleet, with everything placed.
func fleet(b *testing.B) *world {
	b.Helper()
	documents := fleetDocuments(b)
	w := newWorld(1, nil)
	for _, document := range documents {
		w.store.values[document.Key] = document
	}
	w.store.revision = int64(len(documents))
	w.publishers[0].list()
	for w.store.revision < int64(len(documents)+fleetServices) {
		w.publishers[0].round()
		w.now += 10 * time.Millisecond
	}
	w.run(time.Second)
	return w
}

// BenchmarkChange is one relabelled back end, which changes two services: all
// events up to both commits, with the encoding and decoding of the documents.
func BenchmarkChange(b *testing.B) {
	w := fleet(b)
	p := w.publishers[0]
	p.controller.settings.WeightInterval = 1000 * time.Hour // only the change itself
	before := p.controller.writes
	number := 0
	b.ReportAllocs()
	for b.Loop() {
		number++
		host := number % fleetHosts
		w.putBackend(host, fmt.Sprintf("app-%d", number%fleetServices))
		p.round()
		w.now += 3 * time.Second // the prepared version waits for its limit
		p.round()
		p.round()
	}
	b.ReportMetric(float64(p.controller.writes-before)/float64(b.N), "writes/op")
}

// BenchmarkLoad is one zone's report on 100 back ends.
func BenchmarkLoad(b *testing.B) {
	w := fleet(b)
	p := w.publishers[0]
	load := &message.Load{Zone: "zone-0"}
	for number := range 100 {
		load.Backends = append(load.Backends, message.BackendLoad{Backend: backendName(number), Healthy: true, Load: 300})
	}
	b.ReportAllocs()
	for b.Loop() {
		p.step(&Event{Load: load})
	}
}

// BenchmarkTick is a tick with nothing to do.
func BenchmarkTick(b *testing.B) {
	w := fleet(b)
	b.ReportAllocs()
	for b.Loop() {
		w.publishers[0].step(&Event{Tick: true})
	}
}

// BenchmarkMemory reports the heap that a controller holds for a whole fleet,
// placements included, which it shares with the other parts of a node.
func BenchmarkMemory(b *testing.B) {
	documents := fleetDocuments(b)
	for b.Loop() {
		w := newWorld(1, nil)
		for _, document := range documents {
			w.store.values[document.Key] = document
		}
		w.store.revision = int64(len(documents))
		before := liveHeap()
		w.publishers[0].list()
		for len(w.publishers[0].adopted) < fleetServices {
			w.publishers[0].round()
			w.now += 10 * time.Millisecond
		}
		w.store = newFakeStore()
		w.publishers[0].kinds = nil
		held := liveHeap()
		b.ReportMetric(float64(held-before)/1e6, "MB")
		runtime.KeepAlive(w)
	}
}

func liveHeap() uint64 {
	var statistics runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&statistics)
	return statistics.HeapAlloc
}
