package tokennode

import (
	"context"
	"reflect"
	"time"

	"robinpulley.example/robinpulley/internal/config"
	"robinpulley.example/robinpulley/internal/logging"
)

// reloadInterval is the time between looks at settings that changed without a signal.
const reloadInterval = 5 * time.Second

// reloadUntil reads the settings again whenever it is asked for, and now and
// then, until ctx ends.
func (node *Node) reloadUntil(ctx context.Context) {
	if node.options.Reload == nil {
		return
	}
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-node.reload:
			node.reloadOnce(true)
		case <-ticker.C:
			node.reloadOnce(false)
		}
	}
}

// reloadOnce takes what may change while running, timings and seeds, and says
// whether the rest needs a restart. Settings that cannot be used change
// nothing. Unless it was asked for, it says nothing of settings that are as before.
func (node *Node) reloadOnce(asked bool) {
	settings, err := node.options.Reload()
	if err != nil {
		node.logger.Error().Err(err).Str(logging.FieldEvent, string(logging.EventReloadFailed)).Send()
		return
	}
	if !asked && reflect.DeepEqual(settings, node.settings.Load()) {
		return
	}
	node.settings.Store(settings)
	node.logger.Info().
		Str(logging.FieldEvent, string(logging.EventReloaded)).
		Bool("restart_needed", needsRestart(node.options.Settings, settings)).
		Send()
}

// needsRestart tells whether the two differ in more than timings and seeds.
func needsRestart(running, settings *config.Settings) bool {
	adapted := *settings
	adapted.Timings = running.Timings
	adapted.Seeds = running.Seeds
	return !reflect.DeepEqual(&adapted, running)
}
