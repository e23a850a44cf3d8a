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

// patience bounds the waits for conditions; none is meant to last so long.
const patience = 20 * time.Second

var (
	webFront  = netip.MustParseAddrPort("198.18.0.1:443")
	docsFront = netip.MustParseAddrPort("198.18.0.1:8443")
)

// testNode is one balancer of a test.
type testNode struct {
	*tokennode.Node
	settings config.Settings
	cancel   context.CancelFunc
	ended    chan error
}

// site is a platform with balancers.
type site struct {
	t       *testing.T
	store   *platformsim.Store
	port    uint16 // of all data addresses
	hosts   []*platformsim.Host
	nodes   []*testNode
	router  *platformsim.Router
	caller  *platformsim.Caller
	version int
	ids     uint64
	logger  zerolog.Logger // of nodes launched from now on
}

// newSite starts balancers in two zones, hosts of two services and a caller.
func newSite(t *testing.T, nodes int) *site {
	is := is.New(t)
	site := &site{t: t, logger: zerolog.Nop()}
	var err error
	site.store, err = platformsim.NewStore()
	is.NoErr(err)
	t.Cleanup(site.store.Close)
	site.port = freePort(t)
	for index := range 6 {
		service := "web"
		if index >= 4 {
			service = "docs"
		}
		site.addHost(fmt.Sprintf("i-%04x", 0x100+index), service, netip.MustParseAddrPort("127.0.0.1:0"))
	}
	site.configure(map[netip.AddrPort]string{webFront: "web", docsFront: "docs"})
	var routed []platformsim.RouterNode
	for index := range nodes {
		node := site.newNode(index)
		site.nodes = append(site.nodes, node)
		routed = append(routed, platformsim.RouterNode{
			Data:  node.settings.DataAddress,
			Ready: "http://" + node.settings.AdminAddress.String() + "/readyz",
			Zone:  string(node.settings.Zone),
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	site.router = platformsim.NewRouter(ctx, routed)
	site.caller, err = platformsim.NewCaller(netip.MustParseAddr("127.0.2.1"), site.port, site.router)
	is.NoErr(err)
	t.Cleanup(site.caller.Close)
	site.until("all nodes are ready", func() bool {
		for index := range site.nodes {
			if !site.ready(index) {
				return false
			}
		}
		return true
	})
	return site
}

// freePort gives a UDP port; the same one is used at several loopback addresses.
func freePort(t *testing.T) uint16 {
	is := is.New(t)
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.2.1:0")))
	is.NoErr(err)
	defer socket.Close()
	return socket.LocalAddr().(*net.UDPAddr).AddrPort().Port()
}

// freeControl gives a control address, whose port must be free for TCP and UDP.
// It is at a loopback address of its own, since other test programs take UDP ports of
// 127.0.0.1 at any time.
func freeControl(t *testing.T) netip.AddrPort {
	is := is.New(t)
	for {
		listener, err := net.Listen("tcp", "127.0.4.1:0")
		is.NoErr(err)
		address := listener.Addr().(*net.TCPAddr).AddrPort()
		socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
		_ = listener.Close() // it was open to find the port only
		if err != nil {
			continue // somebody has the UDP port
		}
		_ = socket.Close() // likewise
		return address
	}
}

func freeTCP(t *testing.T) netip.AddrPort {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

func (site *site) newNode(index int) *testNode {
	node := &testNode{settings: config.Settings{
		Node:           lb.NodeID(fmt.Sprintf("n%d", index)),
		Zone:           lb.Zone(fmt.Sprintf("zone-%d", index%2)),
		Affinity:       core.AffinityToken,
		DataAddress:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(index + 1)}), site.port),
		ControlAddress: freeControl(site.t),
		AdminAddress:   freeTCP(site.t),
		StoreEndpoints: []string{site.store.URL()},
		LogLevel:       "info",
		Limits:         config.Limits{ControlBytesPerSecond: 14000},
		Timings: config.Timings{
			ChangeLimit: 3 * time.Second, LeaveLimit: 3 * time.Second, EvacuationLimit: 3 * time.Second, PauseLimit: time.Minute, RetryAfter: 500 * time.Millisecond,
			DrainGrace: 300 * time.Millisecond, DrainLimit: 20 * time.Second,
		},
	}}
	for _, other := range site.nodes {
		node.settings.Seeds = append(node.settings.Seeds, other.settings.ControlAddress)
	}
	site.launch(node)
	return node
}

// launch starts a node's run.
func (site *site) launch(node *testNode) {
	is := is.New(site.t)
	settings := node.settings
	var err error
	node.Node, err = tokennode.New(tokennode.Options{
		Settings: &settings,
		Logger:   site.logger,
		Adapter: tokennode.Adapter{
			NewCodec: func() dataplane.Codec { return platform.NewCodec(site.port) },
			Store:    platform.NewStore(site.store.URL()),
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
	site.t.Cleanup(func() {
		cancel()
		<-ended
	})
}

// kill ends a node at once.
func (site *site) kill(node *testNode) {
	node.cancel()
	<-node.ended
}

func (site *site) addHost(id, service string, listen netip.AddrPort) *platformsim.Host {
	is := is.New(site.t)
	host, err := platformsim.NewHost(id, service, "zone-0", listen, site.port)
	is.NoErr(err)
	site.t.Cleanup(host.Close)
	host.Announce(site.store, "ready")
	site.hosts = append(site.hosts, host)
	return host
}

// configure puts a configuration into the store.
func (site *site) configure(routes map[netip.AddrPort]string) {
	site.version++
	document := map[string]any{"version": site.version, "limits": map[string]any{"idle_timeout_ms": 15000}}
	var list []any
	for front, service := range routes {
		list = append(list, map[string]any{
			"name": "r", "hostname": front.Addr().String(), "path_prefix": fmt.Sprintf("/%d/", front.Port()), "service": service,
		})
	}
	document["routes"] = list
	site.store.Put("op/config", document)
}

func (site *site) until(what string, condition func() bool) {
	site.t.Helper()
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	site.t.Fatalf("not in %s: %s", patience, what)
}

func (site *site) get(index int, path string) (int, string) {
	response, err := http.Get("http://" + site.nodes[index].settings.AdminAddress.String() + path)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body) // a part is as good
	return response.StatusCode, string(body)
}

func (site *site) ready(index int) bool {
	status, _ := site.get(index, "/readyz")
	return status == http.StatusOK
}

func (site *site) shows(index int, line string) bool {
	_, body := site.get(index, "/metrics")
	return strings.Contains(body, line)
}

// everywhere waits until all nodes have the store's last configuration.
func (site *site) everywhere() {
	site.until(fmt.Sprintf("version %d is in force at all nodes", site.version), func() bool {
		for index := range site.nodes {
			if !site.shows(index, fmt.Sprintf("robinpulley_configuration_version %d\n", site.version)) {
				return false
			}
		}
		return true
	})
}

// request runs one request on a flow and checks that it came to the host.
func (site *site) request(flow *platformsim.Flow, host string) string {
	site.t.Helper()
	site.ids++
	answered, err := flow.Request(site.ids)
	if err != nil {
		site.t.Fatalf("request on a flow of %s: %v", host, err)
	}
	if host != "" && host != answered {
		site.t.Fatalf("a flow of %s was answered by %s", host, answered)
	}
	return answered
}

// openFlow is an open flow and its host.
type openFlow struct {
	*platformsim.Flow
	host string
}

func (site *site) open(front netip.AddrPort, count int) []openFlow {
	site.t.Helper()
	is := is.New(site.t)
	flows := make([]openFlow, count)
	for index := range flows {
		flow, err := site.caller.Open(front)
		is.NoErr(err)
		flows[index] = openFlow{flow, site.request(flow, "")}
	}
	return flows
}

// useAll has each flow used once.
func (site *site) useAll(flows []openFlow) {
	site.t.Helper()
	for _, flow := range flows {
		site.request(flow.Flow, flow.host)
	}
}

// check compares what hosts and caller saw with what must hold.
func (site *site) check() {
	site.t.Helper()
	is := is.New(site.t)
	ran := uint64(0)
	for _, host := range site.hosts {
		counts := host.Counts()
		is.Equal(counts.Forged, uint64(0))
		is.Equal(counts.Unknown, uint64(0))
		is.Equal(counts.NoToken, uint64(0))
		ran += counts.Ran
	}
	is.Equal(site.caller.Forged(), uint64(0))
	is.Equal(ran, site.ids) // each request ran once
}

// settle waits until all nodes know what has been written to the store: a
// configuration written now is in force only after all that was written before.
func (site *site) settle() {
	site.t.Helper()
	site.configure(map[netip.AddrPort]string{webFront: "web", docsFront: "docs"})
	site.everywhere()
}
