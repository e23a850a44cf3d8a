package tokennode

import (
	"context"
	"reflect"
	"time"

	"robinpulley.example/robinpulley/internal/config"
	"robinpulley.example/robinpulley/internal/logging"
)

// reloadInterval is the time between periodic reloads, which detect changes of the settings without
// a signal.
const reloadInterval = 5 * time.Second

// reloadUntil reloads the settings at each request and at a fixed interval, until ctx ends.
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

// reloadOnce reads the settings and applies those that may change at run time, which are the
// timings and the seeds. It logs whether the other settings have changed, which needs a restart.
// Invalid settings change nothing. A periodic reload, as opposed to a requested one, logs nothing
// if the settings are unchanged.
func (node *Node) reloadOnce(requested bool) {
	settings, err := node.options.Reload()
	if err != nil {
		node.logger.Error().Err(err).Str(logging.FieldEvent, string(logging.EventReloadFailed)).Send()
		return
	}
	if !requested && reflect.DeepEqual(settings, node.settings.Load()) {
		return
	}
	node.settings.Store(settings)
	node.logger.Info().
		Str(logging.FieldEvent, string(logging.EventReloaded)).
		Bool("restart_needed", needsRestart(node.options.Settings, settings)).
		Send()
}

// needsRestart reports whether new settings differ from the running ones in more than the timings
// and the seeds.
func needsRestart(running, settings *config.Settings) bool {
	withRunning := *settings
	withRunning.Timings = running.Timings
	withRunning.Seeds = running.Seeds
	return !reflect.DeepEqual(&withRunning, running)
}
