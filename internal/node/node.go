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
	"robinpulley.example/robinpulley/internal/lifecycle"
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
	guard     *dataplane.Guard
	prober    *health.Prober
	writes    writeCounts
	targets   probeTargets // owned by the watch of the store
	endpoints lifecycle.Endpoints
	life      *lifecycle.Life

	statusMutex sync.Mutex  // held while the zone's report is written
	opened      atomic.Bool // all endpoints are open
	ready       atomic.Bool
	background  sync.WaitGroup
}

// New opens the endpoints of a balancer. Run must follow, which closes them.
func New(settings *config.Settings, logger zerolog.Logger) (*Node, error) {
	node := &Node{settings: settings, logger: logger, life: lifecycle.New(logger)}
	if err := node.buildEngine(); err != nil {
		return nil, err
	}
	if err := node.open(); err != nil {
		node.endpoints.Close()
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
	if node.endpoints.Admin, err = adminserver.Open(node.settings.AdminAddress); err != nil {
		return err
	}
	budget := transport.DefaultBudget()
	budget.BytesPerSecond = node.settings.Limits.ControlBytesPerSecond
	node.endpoints.Transport, err = transport.Open(transport.Settings{
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
	node.endpoints.Plane, err = dataplane.New(node.planeOptions())
	node.opened.Store(err == nil)
	return err
}

// transmit sends a message to a control address.
func (node *Node) transmit(to netip.AddrPort, outgoing message.Message) {
	node.endpoints.Transport.Send(to, outgoing)
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
func (node *Node) Stop() { node.life.Stop() }

// Reload does nothing but say so: the settings of this affinity are read at the start.
func (node *Node) Reload() { node.life.Log(logging.EventReloadIgnored) }

// Run serves until a planned stop is finished, or until ctx ends, which stops
// it at once with lb.ErrStoppedAtOnce.
func (node *Node) Run(ctx context.Context) error {
	running, cancel := context.WithCancel(ctx)
	defer node.background.Wait()
	defer node.endpoints.Close()
	defer cancel()
	node.life.Log(logging.EventStarting)
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
	case <-node.life.Stopping():
	case <-ctx.Done():
		return node.life.StoppedAtOnce()
	}
	return node.stopAsPlanned(ctx)
}

// movePackets runs the data plane until ctx ends.
func (node *Node) movePackets(ctx context.Context) {
	node.life.Failed(node.endpoints.Plane.Run(ctx))
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
