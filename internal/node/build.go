package node

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"robinpulley.example/robinpulley/internal/config"
	"robinpulley.example/robinpulley/internal/controller"
	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/dataplane"
	"robinpulley.example/robinpulley/internal/gossip"
	"robinpulley.example/robinpulley/internal/member"
)

// buildEngine creates the engine from the settings, with the real clock.
func (node *Node) buildEngine() error {
	started := time.Now()
	var err error
	node.engine, err = newEngine(node.settings, node.logger, uint64(started.UnixMilli()))
	if err != nil {
		return err
	}
	node.engine.clock = func() time.Duration { return time.Since(started) }
	node.engine.transmit = node.transmit
	node.engine.directory = &node.directory
	node.engine.partition = &node.partition
	node.guard = dataplane.NewGuard()
	node.engine.beforeAdoption = node.guard.Set
	node.prober, err = newProber(node.settings, node.engine.collectOpeningCounts)
	return err
}

// newEngine creates the engine and its state machines. The caller sets clock, transmit, directory
// and partition.
func newEngine(settings *config.Settings, logger zerolog.Logger, incarnation uint64) (*engine, error) {
	membership, err := member.New(memberSettings(settings, incarnation))
	if err != nil {
		return nil, err
	}
	gossipCore, err := gossip.New(gossip.DefaultSettings(settings.Node, settings.Zone, incarnation))
	if err != nil {
		return nil, err
	}
	publisherSettings := controllerSettings(settings, incarnation)
	publisherSettings.InForce = gossipCore.Placement
	return &engine{
		settings:       settings,
		logger:         logger,
		core:           core.New(coreSettings(settings)),
		member:         membership,
		controller:     controller.New(publisherSettings),
		storeRequests:  newStoreRequestQueue(),
		openings:       newOpeningMonitor(),
		gossip:         gossipCore,
		viewCheck:      viewCheck{random: rand.New(rand.NewPCG(incarnation, uint64(settings.Node.Hash())))},
		watcherChanged: make(chan struct{}, 1),
	}, nil
}

// coreSettings returns the settings of the core for the settings of the node.
func coreSettings(settings *config.Settings) core.Settings {
	result := core.DefaultSettings(settings.Node, settings.Zone)
	result.OpeningHold = settings.Timings.OpeningHold
	result.IdleTimeout = settings.Timings.IdleTimeout
	result.PinLifetime = settings.Timings.PinLifetime
	result.PauseLimit = settings.Timings.PauseLimit
	result.RetryAfter = settings.Timings.RetryAfter
	result.PinBytesPerSecond = settings.Limits.PinBytesPerSecond
	result.HandoverBytesPerSecond = settings.Limits.PinBytesPerSecond
	return result
}

// memberSettings returns the settings of the membership for the settings of the node.
func memberSettings(settings *config.Settings, incarnation uint64) member.Settings {
	self := member.Machine{
		ID:      settings.Node,
		Zone:    settings.Zone,
		Control: settings.ControlAddress,
		Data:    settings.DataAddress,
	}
	return member.DefaultSettings(self, incarnation, incarnation)
}

// controllerSettings returns the settings of the controller for the settings of the node.
func controllerSettings(settings *config.Settings, incarnation uint64) controller.Settings {
	result := controller.DefaultSettings(settings.Node, settings.Zone, strconv.FormatUint(incarnation, 36))
	result.IdleTimeout = settings.Timings.IdleTimeout
	result.PrepareLimit = settings.Timings.PrepareLimit
	return result
}
