package tokennode_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"robinpulley.example/robinpulley/internal/config"
	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/dataplane"
	"robinpulley.example/robinpulley/internal/lab/platformsim"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/tokennode"
	"robinpulley.example/robinpulley/platform"
)

// waitTimeout is the maximum wait for a condition. It is far above the expected time.
const waitTimeout = 20 * time.Second

var (
	webFrontend  = netip.MustParseAddrPort("198.18.0.1:443")
	docsFrontend = netip.MustParseAddrPort("198.18.0.1:8443")
)

// testNode is one balancer of a testbed.
type testNode struct {
	*tokennode.Node
	settings config.Settings
	cancel   context.CancelFunc
	ended    chan error
}

// testbed is a simulated platform with balancers.
type testbed struct {
	t         *testing.T
	store     *platformsim.Store
	dataPort  uint16 // port of all data addresses
	hosts     []*platformsim.Host
	nodes     []*testNode
	router    *platformsim.Router
	client    *platformsim.Client
	version   int
	requestID uint64
	logger    zerolog.Logger // logger of nodes that are started from now on
}

// newTestbed starts balancers in two zones, hosts of two services and a client.
func newTestbed(t *testing.T, nodes int) *testbed {
	is := is.New(t)
	testbed := &testbed{t: t, logger: zerolog.Nop()}
	var err error
	testbed.store, err = platformsim.NewStore()
	is.NoErr(err)
	t.Cleanup(testbed.store.Close)
	testbed.dataPort = freeUDPPort(t)
	for index := range 6 {
		service := "web"
		if index >= 4 {
			service = "docs"
		}
		testbed.addHost(fmt.Sprintf("i-%04x", 0x100+index), service, netip.MustParseAddrPort("127.0.0.1:0"))
	}
	testbed.configure(map[netip.AddrPort]string{webFrontend: "web", docsFrontend: "docs"})
	var routed []platformsim.RouterNode
	for index := range nodes {
		node := testbed.newNode(index)
		testbed.nodes = append(testbed.nodes, node)
		routed = append(routed, platformsim.RouterNode{
			DataAddress: node.settings.DataAddress,
			ReadyURL:    "http://" + node.settings.AdminAddress.String() + "/readyz",
			Zone:        string(node.settings.Zone),
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	testbed.router = platformsim.NewRouter(ctx, routed)
	testbed.client, err = platformsim.NewClient(netip.MustParseAddr("127.0.2.1"), testbed.dataPort, testbed.router)
	is.NoErr(err)
	t.Cleanup(testbed.client.Close)
	testbed.waitUntil("all nodes are ready", func() bool {
		for index := range testbed.nodes {
			if !testbed.ready(index) {
				return false
			}
		}
		return true
	})
	return testbed
}

// freeUDPPort returns a free UDP port, which is used at several loopback addresses.
func freeUDPPort(t *testing.T) uint16 {
	is := is.New(t)
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.2.1:0")))
	is.NoErr(err)
	defer socket.Close()
	return socket.LocalAddr().(*net.UDPAddr).AddrPort().Port()
}

// freeControlAddress returns a control address whose port is free for TCP and UDP. It uses a
// loopback address of its own, because other test programs may bind UDP ports of 127.0.0.1 at any
// time.
func freeControlAddress(t *testing.T) netip.AddrPort {
	is := is.New(t)
	for {
		listener, err := net.Listen("tcp", "127.0.4.1:0")
		is.NoErr(err)
		address := listener.Addr().(*net.TCPAddr).AddrPort()
		socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
		_ = listener.Close() // it was opened only to find a port
		if err != nil {
			continue // another process uses the UDP port
		}
		_ = socket.Close() // for the same reason
		return address
	}
}

func freeTCPAddress(t *testing.T) netip.AddrPort {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// newNode starts a node whose seeds are all nodes before it.
func (testbed *testbed) newNode(index int) *testNode {
	var seeds []netip.AddrPort
	for _, other := range testbed.nodes {
		seeds = append(seeds, other.settings.ControlAddress)
	}
	return testbed.newNodeWithSeeds(index, seeds)
}

func (testbed *testbed) newNodeWithSeeds(index int, seeds []netip.AddrPort) *testNode {
	node := &testNode{settings: config.Settings{
		Node:           lb.NodeID(fmt.Sprintf("n%d", index)),
		Zone:           lb.Zone(fmt.Sprintf("zone-%d", index%2)),
		Affinity:       core.AffinityToken,
		DataAddress:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(index + 1)}), testbed.dataPort),
		ControlAddress: freeControlAddress(testbed.t),
		AdminAddress:   freeTCPAddress(testbed.t),
		StoreEndpoints: []string{testbed.store.URL()},
		Seeds:          seeds,
		LogLevel:       "info",
		Limits:         config.Limits{ControlBytesPerSecond: 14000},
		Timings: config.Timings{
			ChangeLimit: 3 * time.Second, LeaveLimit: 3 * time.Second, EvacuationLimit: 3 * time.Second, PauseLimit: time.Minute, RetryAfter: 500 * time.Millisecond,
			DrainGrace: 300 * time.Millisecond, DrainLimit: 20 * time.Second,
		},
	}}
	testbed.start(node)
	return node
}

// start creates a node and runs it.
func (testbed *testbed) start(node *testNode) {
	is := is.New(testbed.t)
	settings := node.settings
	var err error
	node.Node, err = tokennode.New(tokennode.Options{
		Settings: &settings,
		Logger:   testbed.logger,
		Adapter: tokennode.Adapter{
			NewCodec: func() dataplane.Codec { return platform.NewCodec(testbed.dataPort) },
			Store:    platform.NewStore(testbed.store.URL()),
		},
	})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	node.cancel = cancel
	ended := make(chan error, 1)
	node.ended = ended
	running := node.Node
	go func() {
		ended <- running.Run(ctx)
		close(ended)
	}()
	testbed.t.Cleanup(func() {
		cancel()
		<-ended
	})
}

// stopImmediately stops a node without a planned stop.
func (testbed *testbed) stopImmediately(node *testNode) {
	node.cancel()
	<-node.ended
}

func (testbed *testbed) addHost(id, service string, listen netip.AddrPort) *platformsim.Host {
	is := is.New(testbed.t)
	host, err := platformsim.NewHost(id, service, "zone-0", listen, testbed.dataPort)
	is.NoErr(err)
	testbed.t.Cleanup(host.Close)
	host.Announce(testbed.store, "ready")
	testbed.hosts = append(testbed.hosts, host)
	return host
}

// configure writes a configuration with the next version into the store.
func (testbed *testbed) configure(routes map[netip.AddrPort]string) {
	testbed.version++
	document := map[string]any{"version": testbed.version, "limits": map[string]any{"idle_timeout_ms": 15000}}
	var list []any
	for frontend, service := range routes {
		list = append(list, map[string]any{
			"name": "r", "hostname": frontend.Addr().String(), "path_prefix": fmt.Sprintf("/%d/", frontend.Port()), "service": service,
		})
	}
	document["routes"] = list
	testbed.store.Put("op/config", document)
}

func (testbed *testbed) waitUntil(description string, condition func() bool) {
	testbed.t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	testbed.t.Fatalf("condition not met within %s: %s", waitTimeout, description)
}

func (testbed *testbed) get(index int, path string) (int, string) {
	response, err := http.Get("http://" + testbed.nodes[index].settings.AdminAddress.String() + path)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body) // a partial body is sufficient
	return response.StatusCode, string(body)
}

func (testbed *testbed) ready(index int) bool {
	status, _ := testbed.get(index, "/readyz")
	return status == http.StatusOK
}

func (testbed *testbed) metricsContain(index int, line string) bool {
	_, body := testbed.get(index, "/metrics")
	return strings.Contains(body, line)
}

// waitForConfiguration waits until all nodes use the last configuration in the store.
func (testbed *testbed) waitForConfiguration() {
	testbed.waitUntil(fmt.Sprintf("version %d is in force at all nodes", testbed.version), func() bool {
		for index := range testbed.nodes {
			if !testbed.metricsContain(index, fmt.Sprintf("robinpulley_configuration_version %d\n", testbed.version)) {
				return false
			}
		}
		return true
	})
}

// request sends one request on a flow and checks that the given host, unless empty, answers it. It
// returns the host that answered.
func (testbed *testbed) request(flow *platformsim.Flow, host string) string {
	testbed.t.Helper()
	testbed.requestID++
	answered, err := flow.Request(testbed.requestID)
	if err != nil {
		testbed.t.Fatalf("request on a flow of %s: %v", host, err)
	}
	if host != "" && host != answered {
		testbed.t.Fatalf("a flow of %s was answered by %s", host, answered)
	}
	return answered
}

// openFlow is an open flow and its host.
type openFlow struct {
	*platformsim.Flow
	host string
}

func (testbed *testbed) openFlows(frontend netip.AddrPort, count int) []openFlow {
	testbed.t.Helper()
	is := is.New(testbed.t)
	flows := make([]openFlow, count)
	for index := range flows {
		flow, err := testbed.client.Open(frontend)
		is.NoErr(err)
		flows[index] = openFlow{flow, testbed.request(flow, "")}
	}
	return flows
}

// requestOnAll sends one request on each flow.
func (testbed *testbed) requestOnAll(flows []openFlow) {
	testbed.t.Helper()
	for _, flow := range flows {
		testbed.request(flow.Flow, flow.host)
	}
}

// checkCounts checks that hosts and client received no forged packet, that the hosts received no
// packet of an unknown flow or without a token, and that each request ran exactly once.
func (testbed *testbed) checkCounts() {
	testbed.t.Helper()
	is := is.New(testbed.t)
	ran := uint64(0)
	for _, host := range testbed.hosts {
		counts := host.Counts()
		is.Equal(counts.Forged, uint64(0))
		is.Equal(counts.UnknownFlow, uint64(0))
		is.Equal(counts.NoToken, uint64(0))
		ran += counts.Requests
	}
	is.Equal(testbed.client.Forged(), uint64(0))
	is.Equal(ran, testbed.requestID) // each request ran once
}

// synchronize waits until all nodes have applied everything that has been written to the store. It
// writes a new configuration, which takes effect only after all earlier writes.
func (testbed *testbed) synchronize() {
	testbed.t.Helper()
	testbed.configure(map[netip.AddrPort]string{webFrontend: "web", docsFrontend: "docs"})
	testbed.waitForConfiguration()
}
