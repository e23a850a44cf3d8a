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

// The services of a site.
const (
	ServiceWeb  = "web"
	ServiceDocs = "docs"
)

// Fronts are the front ends whose routes stay, and Toggled those that change.
var (
	Fronts  = []netip.AddrPort{netip.MustParseAddrPort("198.18.0.1:443"), netip.MustParseAddrPort("198.18.0.1:8443")}
	Toggled = []netip.AddrPort{
		netip.MustParseAddrPort("198.18.0.9:9001"),
		netip.MustParseAddrPort("198.18.0.9:9002"),
		netip.MustParseAddrPort("198.18.0.9:9003"),
	}
)

// callerAddress is that of the callers of a zone.
func callerAddress(zone int) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, 2, byte(zone + 1)}) }

// Node is one balancer process.
type Node struct {
	Name string
	Zone string
	Data netip.AddrPort
	Link *proxy.Proxy // to the store

	control   string
	ready     string
	arguments []string

	mutex   sync.Mutex // held while a fault has the process
	process *cluster.Process
}

// Slot is the place of one host of a service. Hosts in it come and go.
type Slot struct {
	Service string
	Zone    string

	mutex sync.Mutex // held while a fault has the host
	host  *platformsim.Host
}

// Site is a stand-in of the users' platform with real balancers.
type Site struct {
	Settings Settings
	Checker  *Checker
	Store    *platformsim.Store
	Router   *platformsim.Router
	Nodes    []*Node
	Slots    []*Slot

	callers []*platformsim.Caller // by zone
	port    uint16                // of all data addresses
	// crowd has callers of a zone ask more until ctx ends.
	crowd func(ctx context.Context, zone int)

	mutex    sync.Mutex
	version  Version
	services map[string]string   // by host
	hosts    []*platformsim.Host // all that there were
	closers  []func()

	evacuating sync.Mutex // held while a zone is evacuated
	loading    sync.Mutex // held by one fault that brings load
}

// newSite starts all. The function ends it, also what faults have added.
func newSite(ctx context.Context, settings Settings) (*Site, func(), error) {
	if err := os.MkdirAll(settings.Directory, 0o755); err != nil {
		return nil, nil, errors.Wrap(err, "directory of logs")
	}
	s := &Site{
		Settings: settings,
		Checker:  NewChecker(settings.Bounds),
		services: make(map[string]string),
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
	s.port = netip.MustParseAddrPort(free).Port()
	for _, service := range []string{ServiceWeb, ServiceDocs} {
		for index := range s.Settings.Size.Hosts {
			if err := s.addSlot(service, index); err != nil {
				return err
			}
		}
	}
	s.Change(func(routes map[netip.AddrPort]string) {
		routes[Fronts[0]] = ServiceWeb
		routes[Fronts[1]] = ServiceDocs
	})
	for index := range s.Settings.Size.Nodes {
		if err := s.addNode(index); err != nil {
			return err
		}
	}
	return s.startCallers(ctx)
}

func (s *Site) startCallers(ctx context.Context) error {
	var routed []platformsim.RouterNode
	for _, n := range s.Nodes {
		routed = append(routed, platformsim.RouterNode{Data: n.Data, Ready: n.ready, Zone: n.Zone})
	}
	routing, cancel := context.WithCancel(context.Background())
	s.onClose(cancel)
	s.Router = platformsim.NewRouter(routing, routed)
	for zone := range s.Settings.Size.Zones {
		caller, err := platformsim.NewCaller(callerAddress(zone), s.port, s.Router)
		if err != nil {
			return err
		}
		caller.SetZone(s.zone(zone))
		s.callers = append(s.callers, caller)
		s.onClose(caller.Close)
	}
	return cluster.Until(ctx, "all balancers are in", func() (bool, error) { return s.Router.In() == len(s.Nodes), nil })
}

// onClose has a function called when the site is closed, the last one first.
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

func (s *Site) zone(index int) string { return fmt.Sprintf("zone-%d", index%s.Settings.Size.Zones) }

func (s *Site) addNode(index int) error {
	control, err := cluster.FreeAddress()
	if err != nil {
		return err
	}
	admin, err := cluster.FreeAddress()
	if err != nil {
		return err
	}
	link, end, err := proxy.New(strings.TrimPrefix(s.Store.URL(), "http://"))
	if err != nil {
		return err
	}
	s.onClose(end)
	n := &Node{
		Name:    fmt.Sprintf("node-%d", index),
		Zone:    s.zone(index),
		Data:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(index + 1)}), s.port),
		Link:    link,
		control: control,
		ready:   "http://" + admin + "/readyz",
	}
	settings := fmt.Sprintf("node: %s\nzone: %s\naffinity: token\ndata_address: %s\ncontrol_address: %s\n"+
		"admin_address: %s\nstore_endpoints: [\"http://%s\"]\ntimings: {drain_grace: 500ms, drain_limit: 5s}\n"+
		"limits: {cold_overage: %v, cold_slack: %v}\n",
		n.Name, n.Zone, n.Data, control, admin, link.Address, coldOverage, coldSlack)
	if index > 0 {
		settings += fmt.Sprintf("seeds: [%q]\n", s.Nodes[0].control)
	}
	file := filepath.Join(s.Settings.Directory, n.Name+".yaml")
	if err := os.WriteFile(file, []byte(settings), 0o644); err != nil {
		return errors.Wrap(err, "settings")
	}
	n.arguments = []string{"run", "--config", file}
	s.Nodes = append(s.Nodes, n)
	s.onClose(func() {
		if n.process != nil {
			n.process.End()
		}
	})
	return s.Launch(n, 0)
}

// Launch starts a run of the node's process; the log has the run's number.
func (s *Site) Launch(n *Node, run int) error {
	name := fmt.Sprintf("%s.%d", n.Name, run)
	var err error
	n.process, err = cluster.StartProcess(s.Settings.Directory, name, s.Settings.Program, n.arguments...)
	return err
}

// Change writes a new version of the routes, made from the last one.
func (s *Site) Change(change func(routes map[netip.AddrPort]string)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	routes := make(map[netip.AddrPort]string)
	for front, service := range s.version.Routes {
		routes[front] = service
	}
	change(routes)
	s.version = Version{Number: s.version.Number + 1, Routes: routes}
	var documents []any
	for front, service := range routes {
		documents = append(documents, map[string]any{
			"name": front.String(), "hostname": front.Addr().String(),
			"path_prefix": fmt.Sprintf("/%d/", front.Port()), "service": service,
			"target_latency_ms": targetTime.Milliseconds(), "priority": priorities[service],
		})
	}
	services := []any{
		map[string]any{"name": ServiceWeb, "cold_start_s": coldTime.Seconds(), "cold_per_s": coldPerSecond},
		map[string]any{"name": ServiceDocs, "cold_start_s": coldTime.Seconds(), "cold_per_s": coldPerSecond},
	}
	s.Store.Put("op/config", map[string]any{"version": s.version.Number, "routes": documents, "services": services})
	s.version.At = time.Now()
	s.Checker.Changed(s.version)
}

// Evacuate takes a zone out of use; false: another one is. The function takes it
// back. One zone at a time, so that each service has hosts that take new flows.
func (s *Site) Evacuate(index int) (restore func(), held bool) {
	if !s.evacuating.TryLock() {
		return nil, false
	}
	zone := s.zone(index)
	s.Store.PutBytes(evacuationPrefix+zone, nil)
	s.Checker.Evacuated(time.Now(), zone)
	return func() {
		s.Checker.Restored(zone)
		s.Store.Delete(evacuationPrefix + zone)
		s.evacuating.Unlock()
	}, true
}

// evacuationPrefix is that of the entries of evacuated zones.
const evacuationPrefix = "op/evacuate/"

func (s *Site) addSlot(service string, index int) error {
	slot := &Slot{Service: service, Zone: s.zone(index)}
	s.Slots = append(s.Slots, slot)
	var err error
	slot.host, err = s.NewHost(service, slot.Zone, netip.MustParseAddrPort("127.0.0.1:0"))
	return err
}

// NewHost starts a host at an address and has it announce itself.
func (s *Site) NewHost(service, zone string, address netip.AddrPort) (*platformsim.Host, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	id := fmt.Sprintf("i-%06x", firstHost+len(s.hosts))
	s.services[id] = service
	h, err := platformsim.NewHost(id, service, zone, address, s.port)
	if err != nil {
		return nil, err
	}
	h.SetWork(RequestWork)
	h.SetSlots(hostSlots)
	h.Observe(s.Checker.HostSaw)
	if len(s.Nodes) > 0 { // it starts while flows are there
		h.StartCold(coldTime)
	}
	h.Announce(s.Store, "ready")
	s.hosts = append(s.hosts, h)
	s.closers = append(s.closers, h.Close)
	return h, nil
}

// What hosts say of themselves when they have just started.
const (
	coldTime      = 2 * time.Second
	coldPerSecond = 2.0 // new flows
	coldOverage   = 1.5
	coldSlack     = 5.0
	coldOpenings  = coldPerSecond*coldOverage + coldSlack
)

// What requests need: long enough that a busy machine's delays do not pass for load. All
// hosts together of the usual size do 1,600 a second, a third of it those of a zone. The usual
// flows ask for 400, so that half of the hosts may be away; callers of one zone who crowd for 880 alone.
const (
	RequestWork = 40 * time.Millisecond
	hostSlots   = 8
	targetTime  = 400 * time.Millisecond
)

// priorities are those of the services' requests: web goes first.
var priorities = map[string]int{ServiceWeb: 0, ServiceDocs: 1}

// firstHost is the number of the first host.
const firstHost = 0x100

// checkPackets reports packets that somebody changed on their way, and
// openings without a token, and gives how many later packets came to a host
// that does not hold their flow.
func (s *Site) checkPackets() (unknown uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	forged := uint64(0)
	for _, caller := range s.callers {
		forged += caller.Forged()
	}
	for _, h := range s.hosts {
		counts := h.Counts()
		forged += counts.Forged + counts.NoToken
		unknown += counts.Unknown
	}
	if forged > 0 {
		s.Checker.Report(time.Now(), RuleForged, "%d packets came that nobody wrote that way, or opened a flow without a token", forged)
	}
	return unknown
}

// service gives that of a host.
func (s *Site) service(host string) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.services[host]
}

// hostsAt gives the ids of the newest hosts at some addresses, with the addresses.
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
