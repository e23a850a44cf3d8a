// Package node assembles a balancer with affinity chain. It connects the decision core, the data
// plane, the messages between balancers, the membership, the gossip of placements, the store and
// the publisher of placements (package controller). The packages of these parts implement the
// protocol; this package contains none of its rules.
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

// tickInterval is the tick interval of the membership, which is shorter than that of the core.
const tickInterval = member.TickInterval

// Sources of the placements that made a node ready, for the log.
const (
	readyFromStore = "store"
	readyFromPeer  = "peer"
)

// Node is one balancer.
type Node struct {
	settings  *config.Settings
	logger    zerolog.Logger
	directory directory
	partition partition
	engine    *engine
	store     *store.Client
	guard     *dataplane.Guard
	prober    *health.Prober
	writes    writeCounts
	targets   probeTargets // owned by the goroutine that watches the store
	endpoints lifecycle.Endpoints
	lifecycle *lifecycle.Lifecycle

	statusMutex sync.Mutex  // held while the zone's status is written
	isOpen      atomic.Bool // all endpoints are open
	ready       atomic.Bool
	background  sync.WaitGroup
}

// New creates a balancer and opens its endpoints. The caller must call Run, which closes them.
func New(settings *config.Settings, logger zerolog.Logger) (*Node, error) {
	node := &Node{settings: settings, logger: logger, lifecycle: lifecycle.New(logger)}
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
		Resolve: node.directory.controlAddress,
		Blocked: node.partition.blocks,
	})
	if err != nil {
		return err
	}
	node.endpoints.Plane, err = dataplane.New(node.planeOptions())
	node.isOpen.Store(err == nil)
	return err
}

// transmit sends a message to a control address.
func (node *Node) transmit(to netip.AddrPort, outgoing message.Message) {
	node.endpoints.Transport.Send(to, outgoing)
}

// receive processes a message from a peer. It drops messages that arrive while this node is still
// opening its endpoints, as if they had been sent before the node was started.
func (node *Node) receive(from transport.Incoming) {
	if !node.isOpen.Load() {
		return
	}
	node.engine.receive(incoming{from: from.From, address: from.Address, message: from.Message})
}

// Stop starts a planned stop. Run returns when the stop is finished.
func (node *Node) Stop() { node.lifecycle.Stop() }

// Reload only logs that it is ignored: with affinity chain, a node reads its settings only at the
// start.
func (node *Node) Reload() { node.lifecycle.LogEvent(logging.EventReloadIgnored) }

// Run serves until a planned stop is finished or ctx ends. If ctx ends, Run stops immediately and
// returns lb.ErrStoppedImmediately.
func (node *Node) Run(ctx context.Context) error {
	running, cancel := context.WithCancel(ctx)
	defer node.background.Wait()
	defer node.endpoints.Close()
	defer cancel()
	node.lifecycle.LogEvent(logging.EventStarting)
	node.serveAdmin()
	node.background.Go(func() { node.runDataPlane(running) })
	node.background.Go(func() { node.watchStore(running) })
	node.background.Go(func() { node.serveStoreRequests(running) })
	node.background.Go(func() { node.tickUntil(running) })
	node.background.Go(func() { node.waitUntilReady(running) })
	if node.settings.Health.Enabled {
		node.background.Go(func() { node.prober.Run(running) })
	}
	node.background.Go(func() { node.reportLoad(running) })
	if len(node.settings.Seeds) > 0 {
		node.background.Go(func() { node.contactSeeds(running) })
	}
	if node.settings.MachinesURL != "" {
		node.background.Go(func() { node.pollMachines(running) })
	}
	select {
	case <-node.lifecycle.Stopping():
	case <-ctx.Done():
		return node.lifecycle.StoppedImmediately()
	}
	return node.runPlannedStop(ctx)
}

// runDataPlane runs the data plane until ctx ends.
func (node *Node) runDataPlane(ctx context.Context) {
	node.lifecycle.LogFailure(node.endpoints.Plane.Run(ctx))
}

// tickUntil steps the engine at the tick interval until ctx ends.
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
