package soak

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lab/cluster"
	"robinpulley.example/robinpulley/internal/lab/platformsim"
	"robinpulley.example/robinpulley/internal/lab/proxy"
)

// The names of the two services of a site.
const (
	ServiceWeb  = "web"
	ServiceDocs = "docs"
)

// StableFrontends are the front ends with constant routes. ToggledFrontends are the front ends
// whose routes are changed by faults.
var (
	StableFrontends  = []netip.AddrPort{netip.MustParseAddrPort("198.18.0.1:443"), netip.MustParseAddrPort("198.18.0.1:8443")}
	ToggledFrontends = []netip.AddrPort{
		netip.MustParseAddrPort("198.18.0.9:9001"),
		netip.MustParseAddrPort("198.18.0.9:9002"),
		netip.MustParseAddrPort("198.18.0.9:9003"),
	}
)

// clientAddress returns the address of the clients of a zone.
func clientAddress(zone int) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, 2, byte(zone + 1)}) }

// Node is one balancer process.
type Node struct {
	Name       string
	Zone       string
	Data       netip.AddrPort
	StoreProxy *proxy.Proxy // between the node and the store

	controlAddress   string
	readyURL         string
	programArguments []string

	mutex   sync.Mutex // held while a fault has reserved the process
	process *cluster.Process
}

// Replica is one replica of a service. Faults may replace its host.
type Replica struct {
	Service string
	Zone    string

	mutex sync.Mutex // held while a fault has reserved the host
	host  *platformsim.Host
}

// Site is a simulation of the users' platform with real balancer processes.
type Site struct {
	Settings Settings
	Checker  *Checker
	Store    *platformsim.Store
	Router   *platformsim.Router
	Nodes    []*Node
	Replicas []*Replica

	clients  []*platformsim.Client // by zone
	dataPort uint16                // the port of all data addresses
	// generateSurge adds load from the clients of a zone until ctx ends.
	generateSurge func(ctx context.Context, zone int)

	mutex         sync.Mutex
	version       Version
	serviceByHost map[string]string   // service name by host ID
	hosts         []*platformsim.Host // all hosts, including those that have stopped
	closers       []func()

	evacuationMutex sync.Mutex // held while a zone is evacuated
	loadMutex       sync.Mutex // held by the fault that adds load or removes capacity
}

// newSite starts a site. The returned function stops everything, including the hosts that faults
// have added.
func newSite(ctx context.Context, settings Settings) (*Site, func(), error) {
	if err := os.MkdirAll(settings.Directory, 0o755); err != nil {
		return nil, nil, errors.Wrap(err, "create the log directory")
	}
	s := &Site{
		Settings:      settings,
		Checker:       NewChecker(settings.Bounds),
		serviceByHost: make(map[string]string),
	}
	if err := s.start(ctx); err != nil {
		s.close()
		return nil, nil, err
	}
	return s, s.close, nil
}

func (s *Site) start(ctx context.Context) error {
	store, err := platformsim.NewStore()
	if err != nil {
		return err
	}
	s.Store = store
	s.onClose(store.Close)
	free, err := cluster.FreeAddress()
	if err != nil {
		return err
	}
	s.dataPort = netip.MustParseAddrPort(free).Port()
	for _, service := range []string{ServiceWeb, ServiceDocs} {
		for index := range s.Settings.Size.Hosts {
			if err := s.addReplica(service, index); err != nil {
				return err
			}
		}
	}
	s.UpdateRoutes(func(routes map[netip.AddrPort]string) {
		routes[StableFrontends[0]] = ServiceWeb
		routes[StableFrontends[1]] = ServiceDocs
	})
	for index := range s.Settings.Size.Nodes {
		if err := s.addNode(index); err != nil {
			return err
		}
	}
	return s.startClients(ctx)
}

// startClients starts the router and the clients of each zone, and waits until the router sends
// packets to all nodes.
func (s *Site) startClients(ctx context.Context) error {
	var routerNodes []platformsim.RouterNode
	for _, n := range s.Nodes {
		routerNodes = append(routerNodes, platformsim.RouterNode{DataAddress: n.Data, ReadyURL: n.readyURL, Zone: n.Zone})
	}
	routerCtx, cancel := context.WithCancel(context.Background())
	s.onClose(cancel)
	s.Router = platformsim.NewRouter(routerCtx, routerNodes)
	for zone := range s.Settings.Size.Zones {
		client, err := platformsim.NewClient(clientAddress(zone), s.dataPort, s.Router)
		if err != nil {
			return err
		}
		client.SetZone(s.zoneName(zone))
		s.clients = append(s.clients, client)
		s.onClose(client.Close)
	}
	return cluster.WaitUntil(ctx, "the router has admitted all balancers", func() (bool, error) { return s.Router.ReadyCount() == len(s.Nodes), nil })
}

// onClose registers a function to be called when the site is closed, in reverse order of
// registration.
func (s *Site) onClose(f func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closers = append(s.closers, f)
}

func (s *Site) close() {
	for len(s.closers) > 0 {
		last := len(s.closers) - 1
		f := s.closers[last]
		s.closers = s.closers[:last]
		f()
	}
}

func (s *Site) zoneName(index int) string { return fmt.Sprintf("zone-%d", index%s.Settings.Size.Zones) }

// addNode starts a node with a proxy of its own to the store. All nodes but the first join the
// first one.
func (s *Site) addNode(index int) error {
	control, err := cluster.FreeAddress()
	if err != nil {
		return err
	}
	admin, err := cluster.FreeAddress()
	if err != nil {
		return err
	}
	storeProxy, closeProxy, err := proxy.New(strings.TrimPrefix(s.Store.URL(), "http://"))
	if err != nil {
		return err
	}
	s.onClose(closeProxy)
	n := &Node{
		Name:           fmt.Sprintf("node-%d", index),
		Zone:           s.zoneName(index),
		Data:           netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(index + 1)}), s.dataPort),
		StoreProxy:     storeProxy,
		controlAddress: control,
		readyURL:       "http://" + admin + "/readyz",
	}
	settings := fmt.Sprintf("node: %s\nzone: %s\naffinity: token\ndata_address: %s\ncontrol_address: %s\n"+
		"admin_address: %s\nstore_endpoints: [\"http://%s\"]\ntimings: {drain_grace: 500ms, drain_limit: 5s}\n"+
		"limits: {cold_overage: %v, cold_slack: %v}\n",
		n.Name, n.Zone, n.Data, control, admin, storeProxy.Address, coldOverage, coldSlack)
	if index > 0 {
		settings += fmt.Sprintf("seeds: [%q]\n", s.Nodes[0].controlAddress)
	}
	file := filepath.Join(s.Settings.Directory, n.Name+".yaml")
	if err := os.WriteFile(file, []byte(settings), 0o644); err != nil {
		return errors.Wrap(err, "write the settings file")
	}
	n.programArguments = []string{"run", "--config", file}
	s.Nodes = append(s.Nodes, n)
	s.onClose(func() {
		if n.process != nil {
			n.process.Stop()
		}
	})
	return s.StartNode(n, 0)
}

// StartNode starts a process of the node. The number becomes part of the log's name.
func (s *Site) StartNode(n *Node, number int) error {
	name := fmt.Sprintf("%s.%d", n.Name, number)
	var err error
	n.process, err = cluster.StartProcess(s.Settings.Directory, name, s.Settings.Program, n.programArguments...)
	return err
}

// UpdateRoutes applies a change to the current routes and writes the result to the store as a new
// version.
func (s *Site) UpdateRoutes(change func(routes map[netip.AddrPort]string)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	routes := make(map[netip.AddrPort]string)
	for frontend, service := range s.version.Routes {
		routes[frontend] = service
	}
	change(routes)
	s.version = Version{Number: s.version.Number + 1, Routes: routes}
	var documents []any
	for frontend, service := range routes {
		documents = append(documents, map[string]any{
			"name": frontend.String(), "hostname": frontend.Addr().String(),
			"path_prefix": fmt.Sprintf("/%d/", frontend.Port()), "service": service,
			"target_latency_ms": targetLatency.Milliseconds(), "priority": priorities[service],
		})
	}
	services := []any{
		map[string]any{"name": ServiceWeb, "cold_start_s": coldStartTime.Seconds(), "cold_per_s": coldPerSecond},
		map[string]any{"name": ServiceDocs, "cold_start_s": coldStartTime.Seconds(), "cold_per_s": coldPerSecond},
	}
	s.Store.Put("op/config", map[string]any{"version": s.version.Number, "routes": documents, "services": services})
	s.version.At = time.Now()
	s.Checker.RecordVersion(s.version)
}

// Evacuate evacuates a zone. It returns started=false if another zone is evacuated: with one
// evacuation at a time, each service keeps hosts that accept new flows. The returned function ends
// the evacuation.
func (s *Site) Evacuate(index int) (restore func(), started bool) {
	if !s.evacuationMutex.TryLock() {
		return nil, false
	}
	zone := s.zoneName(index)
	s.Store.PutBytes(evacuationPrefix+zone, nil)
	s.Checker.RecordEvacuation(time.Now(), zone)
	return func() {
		s.Checker.RecordRestoration(zone)
		s.Store.Delete(evacuationPrefix + zone)
		s.evacuationMutex.Unlock()
	}, true
}

// evacuationPrefix is the prefix of the keys of evacuated zones in the store.
const evacuationPrefix = "op/evacuate/"

// addReplica starts the first host of a replica.
func (s *Site) addReplica(service string, index int) error {
	replica := &Replica{Service: service, Zone: s.zoneName(index)}
	s.Replicas = append(s.Replicas, replica)
	var err error
	replica.host, err = s.NewHost(service, replica.Zone, netip.MustParseAddrPort("127.0.0.1:0"))
	return err
}

// NewHost starts a host at an address and announces it in the store.
func (s *Site) NewHost(service, zone string, address netip.AddrPort) (*platformsim.Host, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	id := fmt.Sprintf("i-%06x", firstHostNumber+len(s.hosts))
	s.serviceByHost[id] = service
	h, err := platformsim.NewHost(id, service, zone, address, s.dataPort)
	if err != nil {
		return nil, err
	}
	h.SetWork(RequestServiceTime)
	h.SetSlots(requestSlotsPerHost)
	h.Observe(s.Checker.RecordHostEvent)
	if len(s.Nodes) > 0 { // the host starts under load
		h.StartCold(coldStartTime)
	}
	h.Announce(s.Store, "ready")
	s.hosts = append(s.hosts, h)
	s.closers = append(s.closers, h.Close)
	return h, nil
}

// Settings of the cold start: the duration and the rate that hosts announce, and the tolerance of
// the balancers' limit. coldOpenings is the resulting maximum of openings in any second.
const (
	coldStartTime = 2 * time.Second
	coldPerSecond = 2.0 // new flows per second
	coldOverage   = 1.5
	coldSlack     = 5.0
	coldOpenings  = coldPerSecond*coldOverage + coldSlack
)

// Work of the requests. The service time is long enough that scheduling delays of a busy machine
// are not mistaken for load. At the default size, all hosts together serve 1,600 requests per
// second, and the hosts of one zone a third of that. The regular flows send 400 requests per
// second, so that half of the hosts may be unavailable. The clients of one zone in a surge send
// 880 requests per second by themselves.
const (
	RequestServiceTime  = 40 * time.Millisecond
	requestSlotsPerHost = 8
	targetLatency       = 400 * time.Millisecond
)

// priorities holds the request priority of each service. Requests of ServiceWeb have the highest.
var priorities = map[string]int{ServiceWeb: 0, ServiceDocs: 1}

// firstHostNumber is the number in the ID of the first host.
const firstHostNumber = 0x100

// checkPackets adds a violation if packets were modified in transit or openings arrived without a
// token. It returns the number of packets after the opening that reached a host that does not hold
// their flow.
func (s *Site) checkPackets() (unknownFlow uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	forged := uint64(0)
	for _, client := range s.clients {
		forged += client.Forged()
	}
	for _, h := range s.hosts {
		counts := h.Counts()
		forged += counts.Forged + counts.NoToken
		unknownFlow += counts.UnknownFlow
	}
	if forged > 0 {
		s.Checker.AddViolation(time.Now(), RuleForged, "%d packets were modified in transit or opened a flow without a token", forged)
	}
	return unknownFlow
}

// serviceOf returns the service of a host.
func (s *Site) serviceOf(host string) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.serviceByHost[host]
}

// hostsAt returns, for each address, the ID of its newest host followed by the address.
func (s *Site) hostsAt(addresses []netip.AddrPort) []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	names := make([]string, len(addresses))
	for index, address := range addresses {
		for _, host := range s.hosts {
			if host.Address() == address {
				names[index] = fmt.Sprintf("%s (%s)", host.ID, address)
			}
		}
	}
	return names
}
