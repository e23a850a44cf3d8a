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
	testFrontend    = netip.MustParseAddrPort("198.18.0.1:443")
	unknownFrontend = netip.MustParseAddrPort("198.18.0.9:9")
)

// newEngineWithView returns an engine that has a view, with now as its clock.
func newEngineWithView(tb testing.TB, logger zerolog.Logger, now *time.Duration) *engine {
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
		Routes:  []view.Route{{Frontend: lb.Frontend{Address: testFrontend, Protocol: lb.TCP}, Targets: []view.Target{{Service: "web", Weight: 1}}}},
	}}}
	for index := range 14 {
		listing.Backends = append(listing.Backends, view.StoredBackend{Revision: int64(index + 2), Backend: view.Backend{
			Name: lb.BackendName(fmt.Sprintf("i-%d", index)), Identity: uint64(index + 1), Service: "web", State: lb.BackendActive,
			Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(7000+index)), Created: int64(index + 2),
		}})
	}
	e.tick()
	read := <-e.storeReads
	e.finishRead(&follower.ReadResult{Read: read, Listing: listing})
	is.True(e.table != nil)
	return e
}

// openingPacket returns the opening packet of flow number.
func openingPacket(number int, frontend netip.AddrPort) *core.Packet {
	client := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(number >> 16), byte(number >> 8)}), uint16(1024+number&0xff))
	return &core.Packet{Key: lb.NewFlowKey(client, frontend, lb.TCP), Kind: core.PacketOpening, OpeningID: uint32(number)}
}

// countingWriter counts lines.
type countingWriter struct{ lines atomic.Int64 }

func (writer *countingWriter) Write(line []byte) (int, error) {
	writer.lines.Add(1)
	return len(line), nil
}

// TestOpeningFloodLogIsBounded checks that openings at ten times the usual rate, half of which are
// refused, write no more log lines than the limits allow, and that omitted lines are counted.
func TestOpeningFloodLogIsBounded(t *testing.T) {
	is := is.New(t)
	writer := &countingWriter{}
	var now time.Duration
	e := newEngineWithView(t, zerolog.New(writer), &now)
	const seconds, perSecond = 5, 4000
	before := writer.lines.Load()
	for number := range seconds * perSecond {
		now = time.Duration(number) * time.Second / perSecond
		frontend := testFrontend
		if number%2 == 0 {
			frontend = unknownFrontend
		}
		decision := e.decide(openingPacket(number, frontend))
		is.Equal(decision.Action == core.ActionRefuse, frontend == unknownFrontend)
	}
	written := writer.lines.Load() - before
	// No back end answers, so that they become unresponsive. Each such change writes a line, too.
	unresponsive := int64(14 * seconds * 2)
	is.True(written <= seconds*(maxOpeningLinesPerSecond+maxFailureLinesPerSecond)+unresponsive)
	is.True(written >= seconds*(maxOpeningLinesPerSecond+maxFailureLinesPerSecond))
	is.Equal(e.decisions.limiters[lineOpening].omitted, uint64(perSecond/2-maxOpeningLinesPerSecond))
}

// blockedWriter blocks each write until the test ends.
type blockedWriter struct{ released chan struct{} }

func (writer blockedWriter) Write([]byte) (int, error) {
	<-writer.released
	return 0, io.ErrClosedPipe
}

// BenchmarkOpening measures a decision on an opening at 4,000 openings per second: without log
// lines, with log lines, and with a standard output that nobody reads.
func BenchmarkOpening(b *testing.B) {
	blocked := blockedWriter{released: make(chan struct{})}
	defer close(blocked.released)
	outputs := []struct {
		name   string
		logger func() zerolog.Logger
	}{
		{"silent", zerolog.Nop},
		{"logged", func() zerolog.Logger { return zerolog.New(logging.NewNonBlockingWriter(io.Discard, func(int) {})) }},
		{"blocked", func() zerolog.Logger { return zerolog.New(logging.NewNonBlockingWriter(blocked, func(int) {})) }},
	}
	for _, output := range outputs {
		b.Run(output.name, func(b *testing.B) {
			var now time.Duration
			e := newEngineWithView(b, output.logger(), &now)
			b.ReportAllocs()
			number := 0
			for b.Loop() {
				number++
				now += 250 * time.Microsecond
				e.decide(openingPacket(number, testFrontend))
			}
		})
	}
}
