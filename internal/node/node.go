// Package node wires one balancer together: the decision core, the data plane,
// the messages between balancers, the membership, the gossip of placements,
// the store and the publisher. It holds no rule of the protocol itself.
package node

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"robinpulley.example/robinpulley/internal/adminserver"
	"robinpulley.example/robinpulley/internal/config"
	"robinpulley.example/robinpulley/internal/dataplane"
	"robinpulley.example/robinpulley/internal/health"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/logging"
	"robinpulley.example/robinpulley/internal/member"
	"robinpulley.example/robinpulley/internal/message"
	"robinpulley.example/robinpulley/internal/store"
	"robinpulley.example/robinpulley/internal/transport"
)

// tickInterval is the shorter of those that the core and the membership ask for.
const tickInterval = member.TickInterval

// What made a node ready, in the log.
const (
	readyFromStore = "store"
	readyFromPeer  = "peer"
)

// Node is one balancer.
type Node struct {
	settings  *config.Settings
	logger    zerolog.Logger
	directory directory
	cuts      cuts
	engine    *engine
	store     *store.Client
	transport *transport.Transport
	guard     *dataplane.Guard
	plane     *dataplane.Plane
	prober    *health.Prober
	writes    writeCounts
	targets   probeTargets // owned by the watch of the store
	admin     *adminserver.Server

	statusMutex sync.Mutex  // held while the zone's report is written
	opened      atomic.Bool // all endpoints are open
	ready       atomic.Bool
	stopping    chan struct{} // closed when the planned stop begins
	stopOnce    sync.Once
	background  sync.WaitGroup
}

// New opens the endpoints of a balancer. Run must follow, which closes them.
func New(settings *config.Settings, logger zerolog.Logger) (*Node, error) {
	node := &Node{settings: settings, logger: logger, stopping: make(chan struct{})}
	if err := node.buildEngine(); err != nil {
		return nil, err
	}
	if err := node.open(); err != nil {
		node.close()
		return nil, err
	}
	return node, nil
}

// open opens the store client and the endpoints.
func (node *Node) open() error {
	var err error
	seed := uint64(node.settings.Node.Hash())
	if node.store, err = store.New(store.DefaultSettings(node.settings.StoreEndpoints, seed)); err != nil {
		return err
	}
	if node.admin, err = adminserver.Open(node.settings.AdminAddress); err != nil {
		return err
	}
	budget := transport.DefaultBudget()
	budget.BytesPerSecond = node.settings.Limits.ControlBytesPerSecond
	node.transport, err = transport.Open(transport.Settings{
		Self:    node.settings.Node,
		Listen:  node.settings.ControlAddress,
		Budget:  budget,
		Handle:  node.receive,
		Resolve: node.directory.control,
		Blocked: node.cuts.blocks,
	})
	if err != nil {
		return err
	}
	node.plane, err = dataplane.New(node.planeOptions())
	node.opened.Store(err == nil)
	return err
}

// close closes what open opened.
func (node *Node) close() {
	if node.plane != nil {
		_ = node.plane.Close() // nothing is left to be done about it
	}
	if node.transport != nil {
		_ = node.transport.Close()
	}
	if node.admin != nil {
		node.admin.Close()
	}
}

// transmit sends a message to a control address.
func (node *Node) transmit(to netip.AddrPort, outgoing message.Message) {
	node.transport.Send(to, outgoing)
}

// receive takes a message from a peer. Those that come while this node is
// still opening its endpoints are lost, as if sent before it was there.
func (node *Node) receive(from transport.Incoming) {
	if !node.opened.Load() {
		return
	}
	node.engine.receive(incoming{from: from.From, address: from.Address, message: from.Message})
}

// Stop begins a planned stop. Run returns when it is finished.
func (node *Node) Stop() {
	node.stopOnce.Do(func() { close(node.stopping) })
}

// Reload does nothing but say so: the settings of this affinity are read at the start.
func (node *Node) Reload() { node.logEvent(logging.EventReloadIgnored) }

// Run serves until a planned stop is finished, or until ctx ends, which stops
// it at once with lb.ErrStoppedAtOnce.
func (node *Node) Run(ctx context.Context) error {
	running, cancel := context.WithCancel(ctx)
	defer node.background.Wait()
	defer node.close()
	defer cancel()
	node.logEvent(logging.EventStarting)
	node.serveAdmin()
	node.background.Go(func() { node.movePackets(running) })
	node.background.Go(func() { node.watchStore(running) })
	node.background.Go(func() { node.workStore(running) })
	node.background.Go(func() { node.tickUntil(running) })
	node.background.Go(func() { node.becomeReady(running) })
	if node.settings.Health.Enabled {
		node.background.Go(func() { node.prober.Run(running) })
	}
	node.background.Go(func() { node.reportLoad(running) })
	if len(node.settings.Seeds) > 0 {
		node.background.Go(func() { node.askSeeds(running) })
	}
	if node.settings.MachinesURL != "" {
		node.background.Go(func() { node.followMachines(running) })
	}
	select {
	case <-node.stopping:
	case <-ctx.Done():
		node.logEvent(logging.EventStoppedAtOnce)
		return lb.ErrStoppedAtOnce
	}
	return node.stopAsPlanned(ctx)
}

// movePackets runs the data plane until ctx ends.
func (node *Node) movePackets(ctx context.Context) {
	if err := node.plane.Run(ctx); err != nil {
		node.logger.Error().Err(err).Str(logging.FieldEvent, string(logging.EventFailed)).Send()
	}
}

// tickUntil ticks the engine until ctx ends.
func (node *Node) tickUntil(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			node.engine.tick(node.store.Stats().Circuit == store.CircuitClosed)
		}
	}
}

func (node *Node) logEvent(event logging.Event) {
	node.logger.Info().Str(logging.FieldEvent, string(event)).Send()
}
