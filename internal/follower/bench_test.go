package follower

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
	"robinpulley.example/robinpulley/internal/view/viewtest"
)

// fleetSizes are the numbers of nodes in docs/CAPACITY.md.
var fleetSizes = []int{300, 1000, 12875}

// manyPeers returns peers that are spread over zones.
func manyPeers(count, zones int) []Peer {
	peers := make([]Peer, count)
	for index := range peers {
		peers[index] = Peer{
			ID:      lb.NodeID(fmt.Sprintf("n-%05d", index)),
			Zone:    lb.Zone(fmt.Sprintf("zone-%d", index%zones)),
			Control: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(index >> 8), byte(index)}), 7946),
		}
	}
	return peers
}

// BenchmarkPeers measures the processing of a membership change.
func BenchmarkPeers(b *testing.B) {
	for _, count := range fleetSizes {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			core := New(DefaultSettings("n-00000", "zone-0", 1))
			event := &Event{Peers: manyPeers(count, 12)}
			var effects Effects
			b.ReportAllocs()
			for b.Loop() {
				core.Step(time.Second, event, &effects)
			}
		})
	}
}

// BenchmarkDigest measures the processing of a digest that is forwarded in the zone.
func BenchmarkDigest(b *testing.B) {
	for _, count := range fleetSizes {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			peers := manyPeers(count, 12)
			core := New(DefaultSettings("n-00000", "zone-0", 1))
			store := viewtest.NewStore()
			store.Configure(1, 80)
			var effects Effects
			core.Step(0, &Event{}, &effects)
			core.Step(0, &Event{Read: &ReadResult{Read: Read{Kind: ReadList}, Listing: store.List()}}, &effects)
			core.Step(0, &Event{Peers: peers}, &effects)
			digest := message.ViewDigest{
				Revision: store.Revision(), MinCurrentRevision: store.Revision(),
				WatcherStatus: message.WatcherStatus{Watcher: "n-00001"}, Route: message.Route{ForZone: true},
			}
			event := &Event{Message: &PeerMessage{From: "n-00001", Address: peers[1].Control, Message: digest}}
			now := time.Second
			b.ReportAllocs()
			for b.Loop() {
				now += time.Second
				core.Step(now, event, &effects)
			}
		})
	}
}
