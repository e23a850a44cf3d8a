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

// buildEngine makes the deterministic parts from the settings, on the real clock.
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
	node.engine.cuts = &node.cuts
	node.guard = dataplane.NewGuard()
	node.engine.beforeAdoption = node.guard.Set
	node.prober, err = newProber(node.settings, node.engine.takeEvidence)
	return err
}

// newEngine makes the deterministic parts. The caller sets the clock, the
// transmitter, the directory and the cuts.
func newEngine(settings *config.Settings, logger zerolog.Logger, incarnation uint64) (*engine, error) {
	membership, err := member.New(memberSettings(settings, incarnation))
	if err != nil {
		return nil, err
	}
	spread, err := gossip.New(gossip.DefaultSettings(settings.Node, settings.Zone, incarnation))
	if err != nil {
		return nil, err
	}
	publishing := controllerSettings(settings, incarnation)
	publishing.InForce = spread.Placement
	return &engine{
		settings:       settings,
		logger:         logger,
		core:           core.New(coreSettings(settings)),
		member:         membership,
		controller:     controller.New(publishing),
		work:           newStoreQueue(),
		evidence:       newEvidence(),
		gossip:         spread,
		check:          check{random: rand.New(rand.NewPCG(incarnation, uint64(settings.Node.Hash())))},
		watcherChanged: make(chan struct{}, 1),
	}, nil
}

// coreSettings turns the settings of the node into those of the core.
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

// memberSettings turns the settings of the node into those of the membership.
func memberSettings(settings *config.Settings, incarnation uint64) member.Settings {
	self := member.Machine{
		ID:      settings.Node,
		Zone:    settings.Zone,
		Control: settings.ControlAddress,
		Data:    settings.DataAddress,
	}
	return member.DefaultSettings(self, incarnation, incarnation)
}

// controllerSettings turns the settings of the node into those of the publisher.
func controllerSettings(settings *config.Settings, incarnation uint64) controller.Settings {
	result := controller.DefaultSettings(settings.Node, settings.Zone, strconv.FormatUint(incarnation, 36))
	result.IdleTimeout = settings.Timings.IdleTimeout
	result.PrepareLimit = settings.Timings.PrepareLimit
	return result
}
