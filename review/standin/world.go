package main

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// world is a small deployment: 8 balancers in 3 zones as in further/kfr-accra.toml, with the
// platform's store, routers, hosts and clients as stand-ins.
type world struct {
	rec     *recorder
	dir     string
	words   []string
	store   *store
	nodes   []*node
	hosts   []*host
	clients []*client
	router  *router
	port    uint16 // of datagram_addr at all nodes
	// hostPort is the port of all hosts.
	hostPort uint16

	mutex    sync.Mutex
	openings []opening
	runs     map[string][]*host // by request
	openAt   map[flowKey]*host  // the host of each open flow
	resets   map[flowKey]reset  // the last reset that a host sent on a flow
	version  int
	routes   []map[string]any
	acked    time.Time // of the last configuration
}

var zones = []string{"tema-hall", "kaneshie-hall", "spintex-hall"}

// reset is a reset that a host sent because of a packet of a flow that it does not hold.
type reset struct {
	host *host
	via  netip.Addr // the machine that the packet came through
}

// plan says how many machines and hosts a deployment has.
type plan struct {
	nodes    []int // by zone
	services []service
	routes   int // further routes that see no traffic
	// staleSeeds is how many of the three seeds are stale: no machine is there any more.
	staleSeeds int
}

type service struct {
	name  string
	hosts []int // by zone
}

// The services of further/kfr-accra.toml.
const (
	driverGateway = "driver-gateway"
	routingDesk   = "routing-desk"
)

// kfrAccra is the deployment of further/kfr-accra.toml.
var kfrAccra = plan{
	nodes: []int{3, 3, 2},
	services: []service{
		{driverGateway, []int{5, 5, 4}},
		{routingDesk, []int{2, 1, 1}},
	},
	routes: 8,
}

const (
	confirmPort = 443  // delivery drop confirmations, at driverGateway
	sheetPort   = 8443 // route sheets, at routingDesk
)

// routeAddr is the address of the platform that routes name. It stands only in packets.
var routeAddr = netip.MustParseAddr("127.50.0.1")

// newWorld starts the store, the hosts with their entries, the first configuration, the balancers
// and the clients.
func newWorld(rec *recorder, dir string, p plan) (*world, error) {
	w := &world{rec: rec, dir: dir, runs: map[string][]*host{}, openAt: map[flowKey]*host{}, resets: map[flowKey]reset{}}
	words, template, err := runLine()
	if err != nil {
		return nil, err
	}
	w.words = words
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	var nodeAddrs, clientAddrs []netip.Addr
	for z, count := range p.nodes {
		clientAddrs = append(clientAddrs, netip.AddrFrom4([4]byte{127, 20, byte(z + 1), 1}))
		for i := range count {
			nodeAddrs = append(nodeAddrs, netip.AddrFrom4([4]byte{127, 10, byte(z + 1), byte(i + 1)}))
		}
	}
	storeAddr := netip.MustParseAddr("127.40.0.1")
	taken := map[uint16]bool{}
	all := append(append([]netip.Addr{storeAddr}, nodeAddrs...), clientAddrs...)
	var ports [5]uint16 // data, control, ready, store, hosts
	for index := range ports {
		if ports[index], err = freePort(all, taken); err != nil {
			return nil, err
		}
	}
	w.port, w.hostPort = ports[0], ports[4]
	if w.store, err = newStore(netip.AddrPortFrom(storeAddr, ports[3]).String(), 20*time.Second); err != nil {
		return nil, err
	}
	if err := w.startHosts(p); err != nil {
		return nil, err
	}
	w.routes = append(w.routes, route("r-confirm", confirmPort, driverGateway, "unsafe"), route("r-sheet", sheetPort, routingDesk, "download"))
	w.addRoutes(p.routes)
	w.configure()
	if err := w.startNodes(p, string(text), nodeAddrs, ports); err != nil {
		return nil, err
	}
	w.router = newRouter(rec, w.nodes)
	for z, addr := range clientAddrs {
		c, err := startClient(rec, zones[z], addr, w.port, w.router)
		if err != nil {
			return nil, err
		}
		w.clients = append(w.clients, c)
	}
	return w, nil
}

func (w *world) startHosts(p plan) error {
	for _, s := range p.services {
		if _, err := w.addHosts(s); err != nil {
			return err
		}
	}
	return nil
}

// addHosts starts the hosts of a service with ids and addresses of their own, and writes their
// entries.
func (w *world) addHosts(s service) ([]*host, error) {
	var added []*host
	for z, count := range s.hosts {
		for range count {
			number := len(w.hosts) + 1
			addr := netip.AddrFrom4([4]byte{127, 30, byte(z + 1), byte(number)})
			id := fmt.Sprintf("i-%08x", 0x7f3a9000+number*0x1357)
			h, err := startHost(w.rec, id, s.name, zones[z], netip.AddrPortFrom(addr, w.hostPort), w.port, 20*time.Millisecond)
			if err != nil {
				return nil, err
			}
			h.onOpening = func(o opening) {
				w.mutex.Lock()
				w.openings = append(w.openings, o)
				w.mutex.Unlock()
			}
			h.onRun = func(h *host, id string, _ netip.Addr) {
				w.mutex.Lock()
				w.runs[id] = append(w.runs[id], h)
				w.mutex.Unlock()
			}
			h.onOpen = func(h *host, key flowKey) {
				w.mutex.Lock()
				w.openAt[key] = h
				w.mutex.Unlock()
			}
			h.onReset = func(h *host, key flowKey, via netip.Addr) {
				w.mutex.Lock()
				w.resets[key] = reset{host: h, via: via}
				w.mutex.Unlock()
			}
			w.hosts = append(w.hosts, h)
			added = append(added, h)
			w.announce(h)
		}
	}
	return added, nil
}

// announce writes a host's entry to the store, and returns when the store has acknowledged it.
func (w *world) announce(h *host) time.Time { return w.store.put("servers/"+h.id, h.entry()) }

func (w *world) startNodes(p plan, template string, addrs []netip.Addr, ports [5]uint16) error {
	index := 0
	var seeds []string
	for z, count := range p.nodes {
		seed := addrs[index]
		if z < p.staleSeeds {
			seed = netip.AddrFrom4([4]byte{127, 10, byte(z + 1), 99})
		}
		seeds = append(seeds, fmt.Sprintf("%s:%d", seed, ports[1]))
		for i := range count {
			n := &node{
				name: fmt.Sprintf("front-%s-%d", zones[z], i+1), zone: zones[z], addr: addrs[index],
				dataPort: ports[0], controlPort: ports[1], readyPort: ports[2],
			}
			index++
			log, err := os.Create(filepath.Join(w.dir, n.name+".log"))
			if err != nil {
				return err
			}
			n.log = log
			w.nodes = append(w.nodes, n)
		}
	}
	for _, n := range w.nodes {
		if err := n.write(template, w.dir, w.store.listener.Addr().String(), seeds); err != nil {
			return err
		}
		if err := n.start(w.words); err != nil {
			return err
		}
	}
	return nil
}

// route returns one route as the operator writes it.
func route(name string, port int, service, class string) map[string]any {
	return map[string]any{
		"name": name, "hostname": routeAddr.String(), "path_prefix": fmt.Sprintf("/%d/", port), "route_class": class,
		"timeout_ms": 1500, "target_latency_ms": 250, "priority": 1, "service": service, "max_attempts": 2,
	}
}

// addRoutes adds further routes that see no traffic to the next configuration.
func (w *world) addRoutes(count int) {
	for range count {
		number := len(w.routes)
		w.routes = append(w.routes, route(fmt.Sprintf("r-idle%05d", number), 10000+number, routingDesk, "safe"))
	}
}

// configure writes the next version of the configuration and returns when the store has
// acknowledged it.
func (w *world) configure() time.Time {
	w.version += 1 + w.version%3
	value, err := json.Marshal(map[string]any{
		"version": w.version, "routes": w.routes,
		"services": []map[string]any{
			{"name": driverGateway, "health_path": "/health", "max_conns": 2000},
			{"name": routingDesk, "health_path": "/health", "max_conns": 2000},
		},
		"limits": map[string]any{"idle_timeout_ms": 30000},
	})
	if err != nil {
		panic(err) // the value can be encoded
	}
	w.acked = w.store.put("op/config", value)
	w.rec.logAt(w.acked, "the store acknowledges configuration %d (%d routes, %d bytes)", w.version, len(w.routes), len(value))
	return w.acked
}

// awaitReady waits until the routers use all nodes.
func (w *world) awaitReady(limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range w.nodes {
			if w.router.in(n) {
				ready++
			}
		}
		if ready == len(w.nodes) {
			return nil
		}
	}
	return fmt.Errorf("not all balancers became ready")
}

// openingsAt returns the openings that reached a host after a time.
func (w *world) openingsAt(h *host, after time.Time) []opening {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var found []opening
	for _, o := range w.openings {
		if o.host == h && o.at.After(after) {
			found = append(found, o)
		}
	}
	return found
}

// nodeAt returns the node at an address, or nil.
func (w *world) nodeAt(addr netip.Addr) *node {
	for _, n := range w.nodes {
		if n.addr == addr {
			return n
		}
	}
	return nil
}

// stop ends all processes that were started.
func (w *world) stop() {
	for _, n := range w.nodes {
		n.signal(syscall.SIGCONT)
		n.kill()
		n.log.Close()
	}
}
