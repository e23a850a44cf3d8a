package runs

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lab/cluster"
	"robinpulley.example/robinpulley/internal/lab/platformsim"
)

// Size and times of the demo of the users' platform.
const (
	platformNodes     = 4
	platformHosts     = 6
	platformFlows     = 40 // open at any time
	flowRequests      = 20 // of each flow, before it is closed
	requestPause      = 40 * time.Millisecond
	platformPhase     = 2 * time.Second
	platformTimeLimit = 60 * time.Second
	platformCallers   = "127.0.2.1"
)

var platformFront = netip.MustParseAddrPort("198.18.0.1:443")

// platformCounts is what the callers saw.
type platformCounts struct {
	opened, notOpened, reset atomic.Uint64
	answered, lost, moved    atomic.Uint64
}

// platformNode is one balancer process.
type platformNode struct {
	name      string
	arguments []string
	ready     string
	process   *cluster.Process
}

// platformWorld is the stand-in of the users' platform with real balancers.
type platformWorld struct {
	options cluster.Options
	store   *platformsim.Store
	hosts   []*platformsim.Host
	nodes   []*platformNode
	caller  *platformsim.Caller
	counts  platformCounts
	next    atomic.Uint64 // request ids
	cancel  context.CancelFunc
}

// Platform runs real balancers with affinity token on the stand-in of the
// users' platform, under load: a host drains, one balancer is stopped as
// planned, one is killed, the store falls silent and comes back. The error is
// ErrBroken when a flow was reset or moved, or a request was lost or ran twice.
func Platform(ctx context.Context, options cluster.Options, output io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, platformTimeLimit)
	defer cancel()
	world, err := startPlatform(ctx, options)
	if err != nil {
		return err
	}
	defer world.close()
	fmt.Fprintf(output, "%d balancers, %d hosts, store and routers are up\n", platformNodes, platformHosts)
	loading, stopLoad := context.WithCancel(ctx)
	var load sync.WaitGroup
	for range platformFlows {
		load.Go(func() { world.load(loading) })
	}
	err = world.play(ctx, output)
	stopLoad()
	load.Wait()
	if err != nil {
		return err
	}
	return world.report(output)
}

func startPlatform(ctx context.Context, options cluster.Options) (*platformWorld, error) {
	if err := os.MkdirAll(options.Directory, 0o755); err != nil {
		return nil, errors.Wrap(err, "directory of logs")
	}
	store, err := platformsim.NewStore()
	if err != nil {
		return nil, err
	}
	routing, cancel := context.WithCancel(ctx)
	world := &platformWorld{options: options, store: store, cancel: cancel}
	if err := world.start(ctx, routing); err != nil {
		world.close()
		return nil, err
	}
	return world, nil
}

func (world *platformWorld) start(ctx, routing context.Context) error {
	free, err := cluster.FreeAddress()
	if err != nil {
		return err
	}
	port := netip.MustParseAddrPort(free).Port()
	for index := range platformHosts {
		host, err := platformsim.NewHost(fmt.Sprintf("i-%04x", index+1), "wallet", fmt.Sprintf("zone-%d", index%2),
			netip.MustParseAddrPort("127.0.0.1:0"), port)
		if err != nil {
			return err
		}
		world.hosts = append(world.hosts, host)
		host.StartCold(platformPhase)
		host.Announce(world.store, "ready")
	}
	world.configure(1)
	var routed []platformsim.RouterNode
	for index := range platformNodes {
		node, data, err := world.newNode(index, port)
		if err != nil {
			return err
		}
		routed = append(routed, platformsim.RouterNode{Data: data, Ready: node.ready})
	}
	router := platformsim.NewRouter(routing, routed)
	world.caller, err = platformsim.NewCaller(netip.MustParseAddr(platformCallers), port, router)
	if err != nil {
		return err
	}
	return cluster.Until(ctx, "all balancers are in", func() (bool, error) { return router.In() == platformNodes, nil })
}

func (world *platformWorld) configure(version int) {
	world.store.Put("op/config", map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "wallet", "hostname": platformFront.Addr().String(),
			"path_prefix": fmt.Sprintf("/%d/", platformFront.Port()), "service": "wallet",
		}},
	})
}

// newNode starts one balancer and waits until it is ready.
func (world *platformWorld) newNode(index int, port uint16) (*platformNode, netip.AddrPort, error) {
	data := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(index + 1)}), port)
	control, err := cluster.FreeAddress()
	if err != nil {
		return nil, data, err
	}
	admin, err := cluster.FreeAddress()
	if err != nil {
		return nil, data, err
	}
	node := &platformNode{name: fmt.Sprintf("node-%d", index), ready: "http://" + admin + "/readyz"}
	settings := fmt.Sprintf("node: %s\nzone: zone-%d\naffinity: token\ndata_address: %s\ncontrol_address: %s\n"+
		"admin_address: %s\nstore_endpoints: [%q]\ntimings: {drain_grace: 500ms, drain_limit: 4s}\n",
		node.name, index%2, data, control, admin, world.store.URL())
	if len(world.nodes) > 0 {
		settings += fmt.Sprintf("seeds: [%q]\n", world.nodes[0].control())
	}
	file := filepath.Join(world.options.Directory, node.name+".yaml")
	if err := os.WriteFile(file, []byte(settings), 0o644); err != nil {
		return nil, data, errors.Wrap(err, "settings")
	}
	node.arguments = []string{"run", "--config", file, "--control-address", control}
	world.nodes = append(world.nodes, node)
	return node, data, world.launch(node)
}

func (node *platformNode) control() string { return node.arguments[len(node.arguments)-1] }

func (world *platformWorld) launch(node *platformNode) error {
	program := filepath.Join(world.options.Binaries, "robinpulley")
	process, err := cluster.StartProcess(world.options.Directory, node.name, program, node.arguments...)
	node.process = process
	return err
}

func (world *platformWorld) close() {
	world.cancel()
	for _, node := range world.nodes {
		if node.process != nil {
			node.process.End()
		}
	}
	if world.caller != nil {
		world.caller.Close()
	}
	for _, host := range world.hosts {
		host.Close()
	}
	world.store.Close()
}

// load opens flows one after the other and uses each for a while.
func (world *platformWorld) load(ctx context.Context) {
	for ctx.Err() == nil {
		flow, err := world.caller.Open(platformFront)
		if err != nil {
			world.counts.notOpened.Add(1) // and tried again from another port
			continue
		}
		world.counts.opened.Add(1)
		world.use(ctx, flow)
		flow.Close()
	}
}

func (world *platformWorld) use(ctx context.Context, flow *platformsim.Flow) {
	first := ""
	for range flowRequests {
		host, err := flow.Request(world.next.Add(1))
		switch {
		case errors.Is(err, platformsim.ErrReset):
			world.counts.reset.Add(1)
			return
		case err != nil:
			world.counts.lost.Add(1)
			return
		case first != "" && host != first:
			world.counts.moved.Add(1)
			return
		}
		world.counts.answered.Add(1)
		first = host
		select {
		case <-ctx.Done():
			return
		case <-time.After(requestPause):
		}
	}
}

// play does what may befall a platform, one thing after the other.
func (world *platformWorld) play(ctx context.Context, output io.Writer) error {
	steps := []struct {
		what string
		do   func() error
	}{
		{"load alone", func() error { return nil }},
		{"host i-0001 drains", func() error { world.hosts[0].Announce(world.store, "draining"); return nil }},
		{"stopping node-1 as planned, and starting it again", func() error { return world.restart(ctx, world.nodes[1], syscall.SIGTERM) }},
		{"killing node-2, and starting it again", func() error { return world.restart(ctx, world.nodes[2], syscall.SIGKILL) }},
		{"the store falls silent", func() error { world.store.SetFault(platformsim.FaultSilent); return nil }},
		{"the store is back, with a new configuration", func() error {
			world.configure(2)
			world.store.SetFault(platformsim.FaultNone)
			return nil
		}},
	}
	for _, step := range steps {
		fmt.Fprintln(output, step.what)
		if err := step.do(); err != nil {
			return errors.Wrap(err, step.what)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(platformPhase):
		}
	}
	return nil
}

func (world *platformWorld) restart(ctx context.Context, node *platformNode, signal syscall.Signal) error {
	if err := node.process.Signal(signal); err != nil {
		return err
	}
	if _, err := node.process.Wait(ctx); err != nil {
		return err
	}
	if err := world.launch(node); err != nil {
		return err
	}
	return node.process.Serves(ctx, node.ready)
}

// report prints the table and tells whether a guarantee was broken.
func (world *platformWorld) report(output io.Writer) error {
	counts := &world.counts
	var ran, unknown, forged uint64
	for _, host := range world.hosts {
		seen := host.Counts()
		ran += seen.Ran
		unknown += seen.Unknown
		forged += seen.Forged
	}
	forged += world.caller.Forged()
	twice := ran - min(ran, world.next.Load())
	rows := []struct {
		name  string
		value uint64
	}{
		{"flows opened", counts.opened.Load()},
		{"requests answered", counts.answered.Load()},
		{"never opened", counts.notOpened.Load()},
		{"flows reset", counts.reset.Load()},
		{"flows moved to another host", counts.moved.Load()},
		{"packets of flows at a host that does not hold them", unknown},
		{"requests without an answer", counts.lost.Load()},
		{"requests that ran more often than they were sent", twice},
		{"packets changed on the way", forged},
		{"calls to the store", uint64(world.store.Calls())},
	}
	fmt.Fprintln(output)
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintf(table, "%s\t%d\n", row.name, row.value)
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "print the table")
	}
	if counts.reset.Load()+counts.moved.Load()+counts.lost.Load()+unknown+twice+forged > 0 {
		return ErrBroken
	}
	return nil
}
