package node_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"robinpulley.example/robinpulley/internal/catalog"
	"robinpulley.example/robinpulley/internal/config"
	"robinpulley.example/robinpulley/internal/lab/storesim"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/node"
	"robinpulley.example/robinpulley/internal/store"
)

// fleet is a simulated store and the nodes of a test, in one process over loopback.
type fleet struct {
	t      *testing.T
	store  *storesim.Server
	url    string
	client *store.Client
	seeds  []string
	faults bool // nodes accept fault injection
	nodes  []*member
}

// member is one running node of a fleet.
type member struct {
	*node.Node
	name lb.NodeID
	done chan error // receives the result of Run
	// cancel makes Run return at once.
	cancel context.CancelFunc
	admin  string // admin address
}

func newFleet(t *testing.T) *fleet {
	is := is.New(t)
	simulator := storesim.NewServer(storesim.Faults{}, 1)
	server := httptest.NewServer(simulator)
	t.Cleanup(server.Close)
	settings := store.DefaultSettings([]string{server.URL}, 1)
	client, err := store.New(settings)
	is.NoErr(err)
	return &fleet{t: t, store: simulator, url: server.URL, client: client}
}

// freeAddresses returns distinct loopback addresses whose ports are free for UDP and TCP.
func freeAddresses(t *testing.T, count int) []string {
	var addresses []string
	for len(addresses) < count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close() // kept open until all addresses are found, so that each is found once
		address := listener.Addr().String()
		datagrams, err := net.ListenPacket("udp", address)
		if err == nil {
			datagrams.Close()
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// build creates a node whose seeds are the nodes created before it. It retries with other addresses
// if another process binds one of the addresses before the node does.
func (fleet *fleet) build(name, zone string) (*node.Node, *config.Settings) {
	is := is.New(fleet.t)
	for {
		addresses := freeAddresses(fleet.t, 3)
		settings, err := config.Load("", config.Overrides{
			Node: name, Zone: zone, Seeds: fleet.seeds, StoreEndpoints: []string{fleet.url},
			DataAddress: addresses[0], ControlAddress: addresses[1], AdminAddress: addresses[2],
			FabricReply: []string{"127.0.0.1:9"}, AllowFaultInjection: fleet.faults,
		})
		is.NoErr(err)
		settings.Timings.DrainGrace = time.Millisecond
		built, err := node.New(settings, zerolog.New(io.Discard))
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		is.NoErr(err)
		return built, settings
	}
}

// start creates a node and runs it.
func (fleet *fleet) start(name, zone string) *member {
	built, settings := fleet.build(name, zone)
	ctx, cancel := context.WithCancel(context.Background())
	started := &member{Node: built, name: lb.NodeID(name), done: make(chan error, 1), cancel: cancel, admin: settings.AdminAddress.String()}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		started.done <- built.Run(ctx)
	}()
	fleet.t.Cleanup(func() {
		cancel()
		<-ended
	})
	fleet.seeds = append(fleet.seeds, settings.ControlAddress.String())
	fleet.nodes = append(fleet.nodes, started)
	return started
}

// waitUntil waits for a condition. The time limit is far above the expected time and only ends a
// test that hangs.
func (fleet *fleet) waitUntil(description string, condition func() bool) {
	fleet.t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			for _, member := range fleet.nodes {
				fleet.t.Logf("%+v", member.State())
			}
			fleet.t.Fatalf("condition not met: %s", description)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// putDocument writes one configuration document into the store.
func (fleet *fleet) putDocument(key string, document []byte, writeID string) {
	is := is.New(fleet.t)
	current, err := fleet.client.Get(fleet.t.Context(), key)
	is.NoErr(err)
	_, err = fleet.client.CompareAndSwap(fleet.t.Context(), &current, document, writeID, 0)
	is.NoErr(err)
}

func (fleet *fleet) putBackend(name, host, writeID string, drain bool) {
	is := is.New(fleet.t)
	backend := catalog.Backend{
		Name: lb.BackendName(name), Host: netip.MustParseAddrPort(host), Zone: "za",
		Labels: map[string]string{"app": "wallet"}, Drain: drain, WriteID: writeID,
	}
	document, err := catalog.EncodeBackend(&backend)
	is.NoErr(err)
	fleet.putDocument(catalog.BackendKey(backend.Name), document, writeID)
}

func (fleet *fleet) putService(name, frontend string) {
	is := is.New(fleet.t)
	service := catalog.Service{
		Name:      lb.ServiceName(name),
		Frontends: []lb.Frontend{{Address: netip.MustParseAddrPort(frontend), Protocol: lb.TCP}},
		Selector:  "app=wallet",
		WriteID:   "service-1",
	}
	document, err := catalog.EncodeService(&service)
	is.NoErr(err)
	fleet.putDocument(catalog.ServiceKey(service.Name), document, service.WriteID)
}

// versionsAgree reports whether all nodes have the same version of the service's placement, and at
// least the given one.
func (fleet *fleet) versionsAgree(service lb.ServiceName, atLeast lb.Version) bool {
	first := fleet.nodes[0].State().Versions[service]
	for _, member := range fleet.nodes {
		if member.State().Versions[service] != first {
			return false
		}
	}
	return first >= atLeast
}

// allHaveMembers reports whether every node has the given number of members.
func (fleet *fleet) allHaveMembers(count int) bool {
	for _, member := range fleet.nodes {
		if len(member.State().Members) != count {
			return false
		}
	}
	return true
}

func TestConfigurationReachesAllNodes(t *testing.T) {
	fleet := newFleet(t)
	fleet.start("a", "za")
	fleet.start("b", "zb")
	fleet.start("c", "zc")
	fleet.waitUntil("three members everywhere", func() bool { return fleet.allHaveMembers(3) })
	fleet.putBackend("h1", "127.0.0.1:10001", "h1-1", false)
	fleet.putBackend("h2", "127.0.0.1:10002", "h2-1", false)
	fleet.putService("wallet", "192.0.2.10:443")
	fleet.waitUntil("first placement everywhere", func() bool { return fleet.versionsAgree("wallet", 1) })
	before := fleet.nodes[0].State().Versions["wallet"]
	fleet.putBackend("h2", "127.0.0.1:10002", "h2-2", true)
	fleet.waitUntil("drain everywhere", func() bool { return fleet.versionsAgree("wallet", before+1) })
}

func TestJoinWhileStoreIsDown(t *testing.T) {
	fleet := newFleet(t)
	fleet.putBackend("h1", "127.0.0.1:10001", "h1-1", false)
	fleet.putService("wallet", "192.0.2.10:443")
	fleet.start("a", "za")
	fleet.start("b", "zb")
	fleet.waitUntil("first placement everywhere", func() bool { return fleet.versionsAgree("wallet", 1) })
	fleet.store.SetFaults(storesim.Faults{Outage: true})
	fleet.waitUntil("outage noticed", func() bool {
		return !fleet.nodes[0].State().StoreUp && !fleet.nodes[1].State().StoreUp
	})
	joined := fleet.start("c", "zc")
	fleet.waitUntil("snapshot from a peer", func() bool { return joined.State().Ready && fleet.versionsAgree("wallet", 1) })

	fleet.store.SetFaults(storesim.Faults{})
	before := joined.State().Versions["wallet"]
	fleet.putBackend("h2", "127.0.0.1:10002", "h2-1", false)
	fleet.waitUntil("change after the outage", func() bool { return fleet.versionsAgree("wallet", before+1) })
}

// TestZoneStatusReportsConfigurationInForce checks that the status of each zone reports when a
// configuration change is in force, which robinctl wait relies on.
func TestZoneStatusReportsConfigurationInForce(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t)
	fleet.start("a", "za")
	fleet.start("b", "zb")
	fleet.waitUntil("two members everywhere", func() bool { return fleet.allHaveMembers(2) })
	fleet.putBackend("h1", "127.0.0.1:10001", "h1-1", false)
	fleet.putService("wallet", "192.0.2.10:443")
	change, err := fleet.client.Get(t.Context(), catalog.ServiceKey("wallet"))
	is.NoErr(err)
	for _, zone := range []lb.Zone{"za", "zb"} {
		fleet.waitUntil("change in force in zone "+string(zone), func() bool {
			report, err := fleet.client.Get(t.Context(), catalog.StatusKey(zone))
			if err != nil || !report.Exists() {
				return false
			}
			status, err := catalog.DecodeZoneStatus(report.Key, report.Value)
			is.NoErr(err)
			return status.ConfigRevision >= change.ModRevision
		})
	}
	is.True(fleet.versionsAgree("wallet", 1))
}

// get requests a path of the admin endpoint and returns status and body.
func (member *member) get(t *testing.T, path string) (int, string) {
	is := is.New(t)
	response, err := http.Get("http://" + member.admin + path)
	is.NoErr(err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	return response.StatusCode, string(body)
}

func TestAdminEndpoint(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t)
	started := fleet.start("a", "za")
	fleet.waitUntil("ready", func() bool {
		status, _ := started.get(t, "/readyz")
		return status == http.StatusOK
	})
	status, _ := started.get(t, "/healthz")
	is.Equal(status, http.StatusOK)
	status, text := started.get(t, "/metrics") // 500 if a sample does not fit its description
	is.Equal(status, http.StatusOK)
	is.True(strings.Contains(text, "robinpulley_ready 1"))
	status, text = started.get(t, "/debug/state")
	is.Equal(status, http.StatusOK)
	is.True(json.Valid([]byte(text)))
	status, _ = started.get(t, "/debug/cut")
	is.Equal(status, http.StatusNotFound) // fault injection is not allowed
}

func TestPartitionedZoneRejoins(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t)
	fleet.faults = true
	partitioned := fleet.start("a", "za")
	fleet.start("b", "zb")
	fleet.start("c", "zb")
	fleet.putBackend("h1", "127.0.0.1:10001", "h1-1", false)
	fleet.putService("wallet", "192.0.2.10:443")
	fleet.waitUntil("three members everywhere", func() bool { return fleet.allHaveMembers(3) })
	fleet.waitUntil("first placement everywhere", func() bool { return fleet.versionsAgree("wallet", 1) })
	setPartition := func(query string) {
		response, err := http.Post("http://"+partitioned.admin+"/debug/cut"+query, "", nil)
		is.NoErr(err)
		response.Body.Close()
		is.Equal(response.StatusCode, http.StatusNoContent)
	}
	setPartition("?zone=zb")
	fleet.waitUntil("the zones are partitioned", func() bool {
		return len(partitioned.State().Members) == 1 && len(fleet.nodes[1].State().Members) == 2 && len(fleet.nodes[2].State().Members) == 2
	})
	setPartition("")
	fleet.waitUntil("three members everywhere again", func() bool { return fleet.allHaveMembers(3) })
	fleet.waitUntil("the partitioned node has verified its view", func() bool { return partitioned.State().Core.Verified })
}

func TestPlannedStop(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t)
	fleet.start("a", "za")
	leaving := fleet.start("b", "zb")
	fleet.waitUntil("two members everywhere", func() bool { return fleet.allHaveMembers(2) })
	leaving.Stop()
	is.NoErr(<-leaving.done)
	fleet.waitUntil("the stopped node is no longer a member", func() bool { return len(fleet.nodes[0].State().Members) == 1 })
}

func TestCanceledContextStopsImmediately(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t)
	started := fleet.start("a", "za")
	fleet.waitUntil("ready", func() bool { return started.State().Ready })
	started.cancel()
	is.Equal(<-started.done, lb.ErrStoppedImmediately)
}
