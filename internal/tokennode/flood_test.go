package tokennode

import (
	"fmt"
	"io"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"robinpulley.example/robinpulley/internal/config"
	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/follower"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/logging"
	"robinpulley.example/robinpulley/internal/view"
)

var (
	floodFront   = netip.MustParseAddrPort("198.18.0.1:443")
	floodNoFront = netip.MustParseAddrPort("198.18.0.9:9")
)

// viewedEngine gives an engine with a view and a clock that the caller sets.
func viewedEngine(tb testing.TB, logger zerolog.Logger, now *time.Duration) *engine {
	is := is.New(tb)
	settings := &config.Settings{Node: "n1", Zone: "za", Affinity: core.AffinityToken}
	settings.Timings.PauseLimit = time.Hour
	settings.Timings.RetryAfter = time.Second
	settings.Timings.ChangeLimit = 3 * time.Second
	settings.Timings.LeaveLimit = 3 * time.Second
	settings.Timings.EvacuationLimit = 3 * time.Second
	settings.ControlAddress = netip.MustParseAddrPort("127.0.0.1:1")
	settings.DataAddress = netip.MustParseAddrPort("127.0.0.1:2")
	e, err := newEngine(settings, logger, 1)
	is.NoErr(err)
	e.clock = func() time.Duration { return *now }
	listing := &view.Listing{Revision: 9, Configuration: &view.StoredConfiguration{Revision: 1, Configuration: view.Configuration{
		Version: 1,
		Routes:  []view.Route{{Frontend: lb.Frontend{Address: floodFront, Protocol: lb.TCP}, Targets: []view.Target{{Service: "web", Weight: 1}}}},
	}}}
	for index := range 14 {
		listing.Backends = append(listing.Backends, view.StoredBackend{Revision: int64(index + 2), Backend: view.Backend{
			Name: lb.BackendName(fmt.Sprintf("i-%d", index)), Identity: uint64(index + 1), Service: "web", State: lb.BackendActive,
			Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(7000+index)), Created: int64(index + 2),
		}})
	}
	e.tick()
	read := <-e.reads
	e.finishRead(&follower.ReadResult{Read: read, Listing: listing})
	is.True(e.table != nil)
	return e
}

// opening gives the packet that opens one of many flows.
func opening(number int, front netip.AddrPort) *core.Packet {
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(number >> 16), byte(number >> 8)}), uint16(1024+number&0xff))
	return &core.Packet{Key: lb.NewFlowKey(caller, front, lb.TCP), Kind: core.PacketOpening, OpeningID: uint32(number)}
}

// countingWriter counts lines.
type countingWriter struct{ lines atomic.Int64 }

func (writer *countingWriter) Write(line []byte) (int, error) {
	writer.lines.Add(1)
	return len(line), nil
}

// TestFloodOfOpeningsIsLoggedWithinBounds: ten times a day's load a second, half
// of it refused, writes no more lines than the bounds say, and the lines left
// out are told.
func TestFloodOfOpeningsIsLoggedWithinBounds(t *testing.T) {
	is := is.New(t)
	writer := &countingWriter{}
	var now time.Duration
	e := viewedEngine(t, zerolog.New(writer), &now)
	const seconds, perSecond = 5, 4000
	before := writer.lines.Load()
	for number := range seconds * perSecond {
		now = time.Duration(number) * time.Second / perSecond
		front := floodFront
		if number%2 == 0 {
			front = floodNoFront
		}
		decision := e.decide(opening(number, front))
		is.Equal(decision.Action == core.ActionRefuse, front == floodNoFront)
	}
	written := writer.lines.Load() - before
	// Nothing answers here, so that back ends fall silent; each such change is a line of its own.
	silent := int64(14 * seconds * 2)
	is.True(written <= seconds*(openingLinesPerSecond+failedLinesPerSecond)+silent)
	is.True(written >= seconds*(openingLinesPerSecond+failedLinesPerSecond))
	is.Equal(e.decisions.quotas[noteOpening].omitted, uint64(perSecond/2-openingLinesPerSecond))
}

// stuckWriter never ends a write.
type stuckWriter struct{ released chan struct{} }

func (writer stuckWriter) Write([]byte) (int, error) {
	<-writer.released
	return 0, io.ErrClosedPipe
}

// BenchmarkOpening is one decision on an opening at 4,000 of them a second: without logs, with logs, and with a standard output that nobody reads.
func BenchmarkOpening(b *testing.B) {
	stuck := stuckWriter{released: make(chan struct{})}
	defer close(stuck.released)
	outputs := []struct {
		name   string
		logger func() zerolog.Logger
	}{
		{"silent", zerolog.Nop},
		{"logged", func() zerolog.Logger { return zerolog.New(logging.NonBlocking(io.Discard, func(int) {})) }},
		{"blocked", func() zerolog.Logger { return zerolog.New(logging.NonBlocking(stuck, func(int) {})) }},
	}
	for _, output := range outputs {
		b.Run(output.name, func(b *testing.B) {
			var now time.Duration
			e := viewedEngine(b, output.logger(), &now)
			b.ReportAllocs()
			number := 0
			for b.Loop() {
				number++
				now += 250 * time.Microsecond
				e.decide(opening(number, floodFront))
			}
		})
	}
}
