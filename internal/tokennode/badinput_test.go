package tokennode_test

import (
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"robinpulley.example/robinpulley/internal/lab/platformsim"
	"robinpulley.example/robinpulley/internal/logging"
)

func TestBadInputDoesNotAffectFlows(t *testing.T) {
	is := is.New(t)
	testbed := newTestbed(t, 2)
	flows := testbed.openFlows(webFrontend, 4)
	socket, err := net.Dial("udp", testbed.nodes[0].settings.DataAddress.String())
	is.NoErr(err)
	defer socket.Close()
	for size := range 60 {
		_, err := socket.Write(make([]byte, size))
		is.NoErr(err)
	}
	testbed.store.PutBytes("op/config", []byte(`{"version":`))
	testbed.store.PutBytes("servers/i-bad", []byte(`[]`))
	testbed.store.PutBytes("servers/none", []byte(`{}`))
	testbed.waitUntil("malformed packets are counted", func() bool {
		return testbed.metricsContain(0, `robinpulley_malformed_packets_total{cause="truncated"}`)
	})
	testbed.waitUntil("the invalid entries are counted", func() bool {
		return testbed.metricsContain(0, "robinpulley_documents_rejected_total 3\n") || testbed.metricsContain(1, "robinpulley_documents_rejected_total 3\n")
	})
	testbed.requestOnAll(flows)
	flows = append(flows, testbed.openFlows(webFrontend, 4)...) // the last valid configuration stays in force
	testbed.configure(map[netip.AddrPort]string{webFrontend: "web"})
	testbed.waitForConfiguration()
	testbed.requestOnAll(flows)
	testbed.checkCounts()
}

func TestNodeWithoutAnyViewIsNotReady(t *testing.T) {
	is := is.New(t)
	store, err := platformsim.NewStore()
	is.NoErr(err)
	t.Cleanup(store.Close)
	store.SetFault(platformsim.FaultBusy)
	testbed := &testbed{t: t, store: store, dataPort: freeUDPPort(t), logger: zerolog.Nop()}
	testbed.nodes = append(testbed.nodes, testbed.newNode(0))
	testbed.waitUntil("the node returns the reason why it is not ready", func() bool {
		status, body := testbed.get(0, "/readyz")
		return status == http.StatusServiceUnavailable && strings.Contains(body, "no configuration known yet")
	})
	store.SetFault(platformsim.FaultNone)
	testbed.configure(map[netip.AddrPort]string{webFrontend: "web"})
	testbed.waitUntil("the node is ready", func() bool { return testbed.ready(0) })
}

// blockedWriter is a standard output that nobody reads.
type blockedWriter struct{ released chan struct{} }

func (writer blockedWriter) Write(line []byte) (int, error) {
	<-writer.released
	return len(line), nil
}

// TestBlockedLogDoesNotBlockFlows checks that flows are served while all log writes block because
// nobody reads standard output.
func TestBlockedLogDoesNotBlockFlows(t *testing.T) {
	is := is.New(t)
	testbed := newTestbed(t, 2)
	blocked := blockedWriter{released: make(chan struct{})}
	output := logging.NewNonBlockingWriter(blocked, func(int) {})
	t.Cleanup(func() {
		close(blocked.released)
		_ = output.Close()
	})
	logger, err := logging.New(output, "info", "n0", "zone-0")
	is.NoErr(err)
	testbed.logger = logger
	for _, node := range testbed.nodes {
		testbed.stopImmediately(node)
		testbed.start(node)
	}
	testbed.waitUntil("the nodes are ready again", func() bool { return testbed.ready(0) && testbed.ready(1) })
	flows := testbed.openFlows(webFrontend, 100)
	for range 20 {
		_, err := testbed.client.Open(netip.MustParseAddrPort("198.18.0.9:9"))
		is.True(errors.Is(err, platformsim.ErrReset))
	}
	testbed.requestOnAll(flows)
	testbed.checkCounts()
}
