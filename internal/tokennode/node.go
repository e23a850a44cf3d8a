// Package tokennode assembles a balancer with affinity token, whose packets carry a token that
// names their back end (docs/design-platform.md). It connects the decision core, the data plane,
// the membership, the follower of the store and the admin address. The packages of these parts
// implement the balancing rules; this package contains none.
package tokennode

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"robinpulley.example/robinpulley/internal/adminserver"
	"robinpulley.example/robinpulley/internal/config"
	"robinpulley.example/robinpulley/internal/dataplane"
	"robinpulley.example/robinpulley/internal/follower"
	"robinpulley.example/robinpulley/internal/lifecycle"
	"robinpulley.example/robinpulley/internal/logging"
	"robinpulley.example/robinpulley/internal/transport"
)

// Adapter contains the platform-specific parts of a node.
type Adapter struct {
	// NewCodec returns a packet codec for one reader of the data address.
	NewCodec func() dataplane.Codec
	// Store reads the platform's store and writes snapshots of the view to it.
	Store follower.Store
}

// Options configure a node.
type Options struct {
	Settings *config.Settings
	Adapter  Adapter
	Logger   zerolog.Logger
	// Reload reads the settings again. If it is nil, the settings cannot change.
	Reload func() (*config.Settings, error)
}

// Node is one balancer.
type Node struct {
	options   Options
	logger    zerolog.Logger
	engine    *engine
	endpoints lifecycle.Endpoints
	lifecycle *lifecycle.Lifecycle

	isOpen atomic.Bool // all endpoints are open
	// settings are the settings in force: Options.Settings at first, then the last ones that were
	// reloaded.
	settings   atomic.Pointer[config.Settings]
	queueMutex sync.Mutex    // serializes steps of the admission queue
	notReady   atomic.Bool   // set during a planned stop: routers must not send packets any more
	reload     chan struct{} // holds one element while a request is pending
	background sync.WaitGroup
}

// New creates a balancer and opens its endpoints. The caller must call Run, which closes them.
func New(options Options) (*Node, error) {
	node := &Node{
		options:   options,
		logger:    options.Logger,
		lifecycle: lifecycle.New(options.Logger),
		reload:    make(chan struct{}, 1),
	}
	node.settings.Store(options.Settings)
	started := time.Now()
	var err error
	node.engine, err = newEngine(options.Settings, options.Logger, uint64(started.UnixMilli()))
	if err != nil {
		return nil, err
	}
	node.engine.clock = func() time.Duration { return time.Since(started) }
	if err := node.open(); err != nil {
		node.endpoints.Close()
		return nil, err
	}
	return node, nil
}

// open opens the endpoints, starting with the data address.
func (node *Node) open() error {
	settings := node.options.Settings
	var err error
	node.endpoints.Plane, err = dataplane.New(dataplane.Options{
		Listen:      settings.DataAddress,
		Decide:      node.engine.decide,
		PeerAddress: noPeerAddress,
		NewCodec:    node.options.Adapter.NewCodec,
	})
	if err != nil {
		return err
	}
	if node.endpoints.Admin, err = adminserver.Open(settings.AdminAddress); err != nil {
		return err
	}
	node.endpoints.Transport, err = transport.Open(transport.Settings{
		Self:    settings.Node,
		Listen:  settings.ControlAddress,
		Budget:  budgetOf(settings),
		Handle:  node.receive,
		Resolve: node.engine.resolve,
	})
	if err != nil {
		return err
	}
	node.engine.transmit = node.endpoints.Transport.SendAll
	node.isOpen.Store(true)
	return nil
}

// burstSeconds is the burst that a node may send after a quiet period, in seconds of its budget.
// The designated watcher publishes many changes in quick succession, but few over hours.
const burstSeconds = 16

// budgetOf returns the budget for messages to other nodes.
func budgetOf(settings *config.Settings) transport.Budget {
	budget := transport.DefaultBudget()
	budget.BytesPerSecond = settings.Limits.ControlBytesPerSecond
	budget.BurstBytes = max(budget.BurstBytes, burstSeconds*budget.BytesPerSecond)
	return budget
}

// receive processes a message from a peer. It drops messages that arrive while this node is still
// opening its endpoints, as if they had been sent before the node was started.
func (node *Node) receive(incoming transport.Incoming) {
	if node.isOpen.Load() {
		node.engine.receive(incoming)
	}
}

// Stop starts a planned stop. Run returns when the stop is finished.
func (node *Node) Stop() { node.lifecycle.Stop() }

// Reload requests a reload of the settings. It does not wait for it.
func (node *Node) Reload() {
	select {
	case node.reload <- struct{}{}:
	default: // a request is pending already
	}
}

// Run serves until a planned stop is finished or ctx ends. If ctx ends, Run stops immediately and
// returns lb.ErrStoppedImmediately.
func (node *Node) Run(ctx context.Context) error {
	running, cancel := context.WithCancel(ctx)
	defer node.background.Wait()
	defer node.endpoints.Close()
	defer cancel()
	node.background.Go(func() { node.readStore(running) })
	node.background.Go(func() { node.writeSnapshots(running) })
	node.engine.tick()
	node.background.Go(func() { node.runDataPlane(running) })
	node.serveAdmin()
	node.logger.Info().
		Str(logging.FieldEvent, string(logging.EventStarting)).
		Str(logging.FieldAdmission, string(node.options.Settings.Admission)).
		Str(logging.FieldAdmissionQueue, string(node.options.Settings.AdmissionQueue)).
		Send()
	node.background.Go(func() { node.tickUntil(running) })
	node.background.Go(func() { node.retryQueueUntil(running) })
	node.background.Go(func() { node.reloadUntil(running) })
	node.background.Go(func() { node.joinSeeds(running) })
	node.background.Go(func() { node.logFaultsUntil(running) })
	select {
	case <-node.lifecycle.Stopping():
	case <-ctx.Done():
		return node.lifecycle.StoppedImmediately()
	}
	return node.runPlannedStop(ctx)
}

// firstViewTimeout is how long a node that has just started leaves packets in the socket's buffer
// while it waits for its first view. Without a view it would have to drop them.
const firstViewTimeout = 300 * time.Millisecond

// runDataPlane waits for the first view, up to firstViewTimeout, and runs the data plane until ctx
// ends.
func (node *Node) runDataPlane(ctx context.Context) {
	select {
	case <-node.engine.viewAvailable:
	case <-time.After(firstViewTimeout):
	case <-ctx.Done():
	}
	node.lifecycle.LogFailure(node.endpoints.Plane.Run(ctx))
}

// readStore executes the calls to the store that the follower requests, until ctx ends.
func (node *Node) readStore(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case read := <-node.engine.storeReads:
			result := node.options.Adapter.Store.Read(ctx, read)
			if ctx.Err() == nil {
				node.engine.finishRead(&result)
			}
		}
	}
}

// writeSnapshots writes the follower's snapshots to the store, until ctx ends.
func (node *Node) writeSnapshots(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case publication := <-node.engine.publications:
			result := node.options.Adapter.Store.Publish(ctx, publication)
			if ctx.Err() == nil {
				node.engine.finishPublication(&result)
			}
		}
	}
}

// tickUntil steps the engine at the tick interval until ctx ends.
func (node *Node) tickUntil(ctx context.Context) {
	ticker := time.NewTicker(follower.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			node.engine.tick()
		}
	}
}

// faultLogInterval is the time between log lines about malformed packets and about faults of
// messages between nodes.
const faultLogInterval = 10 * time.Second

// logControlFaults logs, for each kind of fault, how many messages between nodes were not sent or
// not accepted since the last call. Without these lines, a limit that delays updates between nodes
// would go unnoticed.
func (node *Node) logControlFaults(reported map[transport.Fault]uint64) {
	for _, faultCount := range node.endpoints.Transport.Counters().Faults {
		if count := faultCount.Count - reported[faultCount.Fault]; count > 0 {
			node.logger.Warn().
				Str(logging.FieldEvent, string(logging.EventControlFaults)).
				Str("fault", string(faultCount.Fault)).
				Uint64("count", count).
				Send()
			reported[faultCount.Fault] = faultCount.Count
		}
	}
}

// logFaultsUntil logs the numbers of malformed packets and of lost messages between nodes, at an
// interval until ctx ends.
func (node *Node) logFaultsUntil(ctx context.Context) {
	ticker := time.NewTicker(faultLogInterval)
	defer ticker.Stop()
	reported := uint64(0)
	faults := make(map[transport.Fault]uint64)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		node.logControlFaults(faults)
		if count := malformedCount(node.endpoints.Plane.Counters()); count > reported {
			node.logger.Warn().
				Str(logging.FieldEvent, string(logging.EventMalformed)).
				Uint64("count", count-reported).
				Send()
			reported = count
		}
	}
}

func malformedCount(counters dataplane.Counters) uint64 {
	sum := uint64(0)
	for _, count := range counters.Malformed {
		sum += count
	}
	return sum
}

// Times between join requests to the seeds.
const (
	// seedInterval is the mean interval while no other member is known. When hundreds of nodes
	// start at once, a seed's socket buffer holds only about fifty requests. The nodes whose
	// requests were lost repeat them at random times spread over the interval.
	seedInterval       = 300 * time.Millisecond
	joinedSeedInterval = 10 * time.Second // interval while other members are known
	// contactInterval is the mean time from the requests to all seeds to those to contacts.
	contactInterval = 100 * time.Millisecond
	contactsAtOnce  = 2
)

// joinSeeds sends join requests until ctx ends, at a short interval while this node knows no other
// member. It continues at a long interval afterwards, so that two parts of a fleet that lost each
// other merge again.
func (node *Node) joinSeeds(ctx context.Context) {
	for attempt := 0; ; attempt++ {
		request, alone, contacts := node.engine.joinRequest()
		for _, target := range joinTargets(node.settings.Load(), attempt, alone, contacts) {
			node.endpoints.Transport.Send(target, request)
		}
		interval := joinedSeedInterval
		switch {
		case attempt == 0:
			interval = contactInterval/2 + rand.N(contactInterval)
		case alone:
			interval = seedInterval/2 + rand.N(seedInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
	}
}

// joinTargets returns the receivers of a join request: first all seeds, then a random seed. Seeds may be
// down or replaced, so that every other request of a node that knows no other member goes to contacts.
func joinTargets(settings *config.Settings, attempt int, alone bool, contacts []netip.AddrPort) []netip.AddrPort {
	if alone && attempt%2 == 1 {
		return randomContacts(settings.ControlAddress, contacts)
	}
	return seedsToContact(settings, attempt == 0)
}

// randomContacts returns a few random contacts other than this node.
func randomContacts(self netip.AddrPort, contacts []netip.AddrPort) []netip.AddrPort {
	others := slices.DeleteFunc(slices.Clone(contacts), func(contact netip.AddrPort) bool { return contact == self })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(contactsAtOnce, len(others))]
}

// seedsToContact returns the seeds other than this node: all of them, or a random one.
func seedsToContact(settings *config.Settings, all bool) []netip.AddrPort {
	seeds := slices.DeleteFunc(slices.Clone(settings.Seeds), func(seed netip.AddrPort) bool {
		return seed == settings.ControlAddress
	})
	if all || len(seeds) < 2 {
		return seeds
	}
	return []netip.AddrPort{seeds[rand.IntN(len(seeds))]}
}
