package transport_test

import (
	"bytes"
	"fmt"
	"net"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
	"robinpulley.example/robinpulley/internal/placement"
	"robinpulley.example/robinpulley/internal/transport"
	"robinpulley.example/robinpulley/internal/view"
)

// document returns a placement with 14 back ends, one of which is being replaced.
func document(t testing.TB) lb.Placement {
	targets := func(first int) []placement.Target {
		list := make([]placement.Target, 14)
		for index := range list {
			list[index] = placement.Target{
				Name:   lb.BackendName(fmt.Sprintf("wallet-host-%d", first+index)),
				Host:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 7, 0, byte(first + index)}), 6081),
				Weight: 100,
			}
		}
		return list
	}
	frontend := lb.Frontend{Address: netip.MustParseAddrPort("192.0.2.7:443"), Protocol: lb.TCP}
	made, err := placement.New("wallet-core", placement.WriteStamp{WriteID: "node-0007/3f9a/12", ConfigRevision: 7},
		placement.SetFrontends([]lb.Frontend{frontend}), placement.Prepare(targets(1)), placement.Commit())
	if err != nil {
		t.Fatal(err)
	}
	next, err := placement.Next(made, placement.WriteStamp{WriteID: "node-0007/3f9a/13", ConfigRevision: 9}, placement.Prepare(targets(2)))
	if err != nil {
		t.Fatal(err)
	}
	return *next
}

func TestPackedPlacementFitsADatagram(t *testing.T) {
	is := is.New(t)
	sent := message.Placements{Placements: []lb.Placement{document(t)}}
	line, err := message.Encode(nil, "one", sent)
	is.NoErr(err)
	packed := transport.Pack(message.TypePlacements, line)
	t.Logf("%d bytes packed into %d", len(line), len(packed))
	is.True(len(line) > transport.MaxDatagramBytes)
	is.True(len(packed) <= transport.MaxDatagramBytes)

	one, two := open(t, "one", nil), open(t, "two", nil)
	one.Send(two.Address(), sent)
	incoming := <-two.received
	is.Equal(incoming.Message, sent)
	is.Equal(incoming.Address, one.Address()) // the message arrived as a datagram
}

func TestPackKeepsShortAndIncompressibleLines(t *testing.T) {
	is := is.New(t)
	short := []byte("{}\n")
	is.Equal(transport.Pack(message.TypePlacements, short), short)
	records := make([]byte, 2000)
	is.Equal(transport.Pack(message.TypeRecords, records), records)
}

func TestInvalidCompressedDataIsCounted(t *testing.T) {
	is := is.New(t)
	receiver := open(t, "receiver", nil)
	connection, err := net.Dial("udp", receiver.Address().String())
	is.NoErr(err)
	defer connection.Close()
	_, err = connection.Write([]byte("\x01\xff\xff\xff not deflate"))
	is.NoErr(err)
	receiver.waitFault(transport.FaultDecode, 1)
}

// FuzzUnpack decompresses arbitrary bytes. Unpack must not panic, its result must be of limited
// size, and packing and unpacking the result must return the same bytes.
func FuzzUnpack(f *testing.F) {
	line, err := message.Encode(nil, "one", message.Placements{Placements: []lb.Placement{document(f)}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(transport.Pack(message.TypePlacements, line))
	f.Add(line)
	f.Add([]byte("\x01\xff\xff"))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, packed []byte) {
		plain, err := transport.Unpack(packed)
		if err != nil || len(plain) == 0 || plain[0] == 1 {
			return
		}
		again, err := transport.Unpack(transport.Pack(message.TypePlacements, plain))
		if err != nil || !bytes.Equal(plain, again) {
			t.Fatalf("%d bytes became %d bytes after Pack and Unpack (%v)", len(plain), len(again), err)
		}
	})
}

func BenchmarkPack(b *testing.B) {
	line, err := message.Encode(nil, "one", message.Placements{Placements: []lb.Placement{document(b)}})
	if err != nil {
		b.Fatal(err)
	}
	packed := 0
	for b.Loop() {
		packed = len(transport.Pack(message.TypePlacements, line))
	}
	b.ReportMetric(float64(len(line)), "line-bytes")
	b.ReportMetric(float64(packed), "packed-bytes")
}

// TestSmallDeltaCompressesWell checks the compressed size of a delta with one changed back end.
// During a surge of changes, a node sends many such deltas to many nodes.
func TestSmallDeltaCompressesWell(t *testing.T) {
	is := is.New(t)
	sent := message.ViewDelta{AgeMillis: 3, Route: message.Route{Origin: "front-a-5"}, Delta: view.Delta{
		After: 600, Revision: 612, Version: 18, ConfigurationRevision: 590,
		Backends: []view.BackendEntry{{Revision: 611, Backend: view.Backend{
			Name: "i-3c40f6c319", Identity: 0x3c40f6c319, Service: "wallet-core", Address: netip.MustParseAddrPort("10.1.64.10:8384"),
			Zone: "tx-central-a", State: lb.BackendDraining, Created: 500, Slots: 2,
		}}},
	}}
	line, err := message.Encode(nil, "front-a-5", sent)
	is.NoErr(err)
	packed := transport.Pack(message.TypeViewDelta, line)
	t.Logf("%d bytes packed into %d", len(line), len(packed))
	is.True(5*len(packed) < 2*len(line))
}
