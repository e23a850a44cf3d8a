package tokennode

import (
	"context"

	"robinpulley.example/robinpulley/internal/logging"
)

// reloadUntil reads the settings again whenever it is asked for, until ctx ends.
func (node *Node) reloadUntil(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-node.reload:
			node.reloadOnce()
		}
	}
}

// reloadOnce takes what may change while running, the timings, and says what
// needs a restart. Settings that cannot be used change nothing.
func (node *Node) reloadOnce() {
	if node.options.Reload == nil {
		return
	}
	settings, err := node.options.Reload()
	if err != nil {
		node.logger.Error().Err(err).Str(logging.FieldEvent, string(logging.EventReloadFailed)).Send()
		return
	}
	node.timings.Store(&settings.Timings)
	running := node.options.Settings
	restart := settings.Node != running.Node || settings.Zone != running.Zone ||
		settings.DataAddress != running.DataAddress || settings.ControlAddress != running.ControlAddress ||
		settings.AdminAddress != running.AdminAddress
	node.logger.Info().
		Str(logging.FieldEvent, string(logging.EventReloaded)).
		Bool("restart_needed", restart).
		Send()
}
