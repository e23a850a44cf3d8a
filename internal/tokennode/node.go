// Package tokennode wires a balancer whose packets carry a token (docs/
// design-platform.md): the decision core, the data plane, the membership, the
// follower of the store and the admin address. It holds no rule of its own.
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

// Adapter is what a node needs of its platform.
type Adapter struct {
	// NewCodec gives the codec of one reader of the data address.
	NewCodec func() dataplane.Codec
	// Store reads the platform's store, and leaves snapshots of the view there.
	Store follower.Store
}

// Options are what a node is made of.
type Options struct {
	Settings *config.Settings
	Adapter  Adapter
	Logger   zerolog.Logger
	// Reload reads the settings again; nil: they cannot change.
	Reload func() (*config.Settings, error)
}

// Node is one balancer.
type Node struct {
	options   Options
	logger    zerolog.Logger
	engine    *engine
	endpoints lifecycle.Endpoints
	life      *lifecycle.Life

	opened atomic.Bool // all endpoints are open
	// settings are those in force: Options.Settings, or what was read again since.
	settings   atomic.Pointer[config.Settings]
	looking    sync.Mutex    // one look at the openings that wait at a time
	unready    atomic.Bool   // routers are told not to send packets here any more
	reload     chan struct{} // has one element after a request
	background sync.WaitGroup
}

// New opens the endpoints of a balancer. Run must follow, which closes them.
func New(options Options) (*Node, error) {
	node := &Node{
		options: options,
		logger:  options.Logger,
		life:    lifecycle.New(options.Logger),
		reload:  make(chan struct{}, 1),
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

// open opens the endpoints, the data address first.
func (node *Node) open() error {
	settings := node.options.Settings
	var err error
	node.endpoints.Plane, err = dataplane.New(dataplane.Options{
		Listen:      settings.DataAddress,
		Decide:      node.engine.decide,
		PeerAddress: noPeer,
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
	node.opened.Store(true)
	return nil
}

// burstSeconds is for how many seconds of the budget a node may send at once
// after silence: the readers of a zone tell of many changes in quick
// succession, and of few over hours.
const burstSeconds = 16

// budgetOf gives what a node may send to others.
func budgetOf(settings *config.Settings) transport.Budget {
	budget := transport.DefaultBudget()
	budget.BytesPerSecond = settings.Limits.ControlBytesPerSecond
	budget.BurstBytes = max(budget.BurstBytes, burstSeconds*budget.BytesPerSecond)
	return budget
}

// receive takes a message from a peer. Those that come while this node is
// still opening its endpoints are lost, as if sent before it was there.
func (node *Node) receive(incoming transport.Incoming) {
	if node.opened.Load() {
		node.engine.receive(incoming)
	}
}

// Stop begins a planned stop. Run returns when it is finished.
func (node *Node) Stop() { node.life.Stop() }

// Reload asks for the settings to be read again.
func (node *Node) Reload() {
	select {
	case node.reload <- struct{}{}:
	default: // asked for already
	}
}

// Run serves until a planned stop is finished, or until ctx ends, which stops
// it at once with lb.ErrStoppedAtOnce.
func (node *Node) Run(ctx context.Context) error {
	running, cancel := context.WithCancel(ctx)
	defer node.background.Wait()
	defer node.endpoints.Close()
	defer cancel()
	node.background.Go(func() { node.readStore(running) })
	node.background.Go(func() { node.writeSnapshots(running) })
	node.engine.tick()
	node.background.Go(func() { node.movePackets(running) })
	node.serveAdmin()
	node.logger.Info().
		Str(logging.FieldEvent, string(logging.EventStarting)).
		Str(logging.FieldAdmission, string(node.options.Settings.Admission)).
		Str(logging.FieldWaiting, string(node.options.Settings.Waiting)).
		Send()
	node.background.Go(func() { node.tickUntil(running) })
	node.background.Go(func() { node.lookUntil(running) })
	node.background.Go(func() { node.reloadUntil(running) })
	node.background.Go(func() { node.joinSeeds(running) })
	node.background.Go(func() { node.reportMalformed(running) })
	select {
	case <-node.life.Stopping():
	case <-ctx.Done():
		return node.life.StoppedAtOnce()
	}
	return node.stopAsPlanned(ctx)
}

// viewWait is how long packets wait in the socket of a node that has just
// started for the first view, without which they could only be dropped.
const viewWait = 300 * time.Millisecond

// movePackets runs the data plane until ctx ends.
func (node *Node) movePackets(ctx context.Context) {
	select {
	case <-node.engine.viewed:
	case <-time.After(viewWait):
	case <-ctx.Done():
	}
	node.life.Failed(node.endpoints.Plane.Run(ctx))
}

// readStore carries out the calls that the follower asks for until ctx ends.
func (node *Node) readStore(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case read := <-node.engine.reads:
			result := node.options.Adapter.Store.Read(ctx, read)
			if ctx.Err() == nil {
				node.engine.finishRead(&result)
			}
		}
	}
}

// writeSnapshots writes the snapshots that the follower gives until ctx ends.
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

// tickUntil ticks the engine until ctx ends.
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

// malformedInterval is the time between log lines about malformed packets.
const malformedInterval = 10 * time.Second

// reportControl logs how many messages between nodes were not sent or not taken since the
// last time, by what they met: a bound that nobody hears of holds news up unseen.
func (node *Node) reportControl(reported map[transport.Fault]uint64) {
	for _, known := range node.endpoints.Transport.Counters().Faults {
		if count := known.Count - reported[known.Fault]; count > 0 {
			node.logger.Warn().
				Str(logging.FieldEvent, string(logging.EventControlFaults)).
				Str("fault", string(known.Fault)).
				Uint64("count", count).
				Send()
			reported[known.Fault] = known.Count
		}
	}
}

// reportMalformed logs now and then how many malformed packets have come, and messages
// between nodes that were lost, until ctx ends.
func (node *Node) reportMalformed(ctx context.Context) {
	ticker := time.NewTicker(malformedInterval)
	defer ticker.Stop()
	reported := uint64(0)
	faults := make(map[transport.Fault]uint64)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		node.reportControl(faults)
		if count := malformed(node.endpoints.Plane.Counters()); count > reported {
			node.logger.Warn().
				Str(logging.FieldEvent, string(logging.EventMalformed)).
				Uint64("count", count-reported).
				Send()
			reported = count
		}
	}
}

func malformed(counters dataplane.Counters) uint64 {
	sum := uint64(0)
	for _, count := range counters.Malformed {
		sum += count
	}
	return sum
}

// Times between attempts to reach the seeds.
const (
	// seedInterval is the mean while no other member is known. Where hundreds
	// start at once, a seed's socket holds some fifty questions (seen on the
	// users' bench): those that are lost come again spread over the interval.
	seedInterval       = 300 * time.Millisecond
	joinedSeedInterval = 10 * time.Second // when other members are known
)

// joinSeeds asks seeds for their membership until ctx ends: all of them at
// first, one often while this node knows no other member, and later one now and
// then, so that two parts of a fleet that lost each other come together again.
func (node *Node) joinSeeds(ctx context.Context) {
	for first := true; ; first = false {
		request, alone := node.engine.joinRequest()
		for _, seed := range seedsToAsk(node.settings.Load(), first) {
			node.endpoints.Transport.Send(seed, request)
		}
		interval := joinedSeedInterval
		if alone {
			interval = seedInterval/2 + rand.N(seedInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
	}
}

// seedsToAsk gives the seeds besides this node: all, or one of them by chance.
func seedsToAsk(settings *config.Settings, all bool) []netip.AddrPort {
	seeds := slices.DeleteFunc(slices.Clone(settings.Seeds), func(seed netip.AddrPort) bool {
		return seed == settings.ControlAddress
	})
	if all || len(seeds) < 2 {
		return seeds
	}
	return []netip.AddrPort{seeds[rand.IntN(len(seeds))]}
}
