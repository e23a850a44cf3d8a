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

func TestBadInputStopsNothing(t *testing.T) {
	is := is.New(t)
	site := newSite(t, 2)
	flows := site.open(webFront, 4)
	socket, err := net.Dial("udp", site.nodes[0].settings.DataAddress.String())
	is.NoErr(err)
	defer socket.Close()
	for size := range 60 {
		_, err := socket.Write(make([]byte, size))
		is.NoErr(err)
	}
	site.store.PutBytes("op/config", []byte(`{"version":`))
	site.store.PutBytes("servers/i-bad", []byte(`[]`))
	site.store.PutBytes("servers/none", []byte(`{}`))
	site.until("malformed packets are counted", func() bool {
		return site.shows(0, `robinpulley_malformed_packets_total{cause="truncated"}`)
	})
	site.until("the bad entries are counted", func() bool {
		return site.shows(0, "robinpulley_documents_rejected_total 3\n") || site.shows(1, "robinpulley_documents_rejected_total 3\n")
	})
	site.useAll(flows)
	flows = append(flows, site.open(webFront, 4)...) // the last good configuration holds
	site.configure(map[netip.AddrPort]string{webFront: "web"})
	site.everywhere()
	site.useAll(flows)
	site.check()
}

func TestNodeWithoutAnyViewIsNotReady(t *testing.T) {
	is := is.New(t)
	store, err := platformsim.NewStore()
	is.NoErr(err)
	t.Cleanup(store.Close)
	store.SetFault(platformsim.FaultBusy)
	site := &site{t: t, store: store, port: freePort(t), logger: zerolog.Nop()}
	site.nodes = append(site.nodes, site.newNode(0))
	site.until("the node says why", func() bool {
		status, body := site.get(0, "/readyz")
		return status == http.StatusServiceUnavailable && strings.Contains(body, "no configuration known yet")
	})
	store.SetFault(platformsim.FaultNone)
	site.configure(map[netip.AddrPort]string{webFront: "web"})
	site.until("the node is ready", func() bool { return site.ready(0) })
}

// blockedWriter is a standard output that nobody reads.
type blockedWriter struct{ released chan struct{} }

func (writer blockedWriter) Write(line []byte) (int, error) {
	<-writer.released
	return len(line), nil
}

// TestBlockedLogHoldsUpNothing: every line waits for a reader that never comes,
// and flows are served all the same.
func TestBlockedLogHoldsUpNothing(t *testing.T) {
	is := is.New(t)
	site := newSite(t, 2)
	blocked := blockedWriter{released: make(chan struct{})}
	output := logging.NonBlocking(blocked, func(int) {})
	t.Cleanup(func() {
		close(blocked.released)
		_ = output.Close()
	})
	logger, err := logging.New(output, "info", "n0", "zone-0")
	is.NoErr(err)
	site.logger = logger
	for _, node := range site.nodes {
		site.kill(node)
		site.launch(node)
	}
	site.until("the nodes are back", func() bool { return site.ready(0) && site.ready(1) })
	flows := site.open(webFront, 100)
	for range 20 {
		_, err := site.caller.Open(netip.MustParseAddrPort("198.18.0.9:9"))
		is.True(errors.Is(err, platformsim.ErrReset))
	}
	site.useAll(flows)
	site.check()
}
