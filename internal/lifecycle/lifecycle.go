// Package lifecycle contains the parts of a balancer's lifecycle that do not depend on its
// affinity: how a planned stop is requested, the log events of starting and stopping, and the
// closing of the endpoints. The steps of a planned stop depend on the affinity and are implemented
// by the nodes.
package lifecycle

import (
	"sync"

	"github.com/rs/zerolog"

	"robinpulley.example/robinpulley/internal/adminserver"
	"robinpulley.example/robinpulley/internal/dataplane"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/logging"
	"robinpulley.example/robinpulley/internal/transport"
)

// Reason is the reason for the end of a planned stop, as logged.
type Reason string

// The reasons for the end of a planned stop.
const (
	Idle       Reason = "quiet"       // all work is done and no packets arrive
	DrainLimit Reason = "drain_limit" // timings.drain_limit has passed
)

// Lifecycle is the lifecycle of one balancer's process.
type Lifecycle struct {
	logger   zerolog.Logger
	stopOnce sync.Once
	stopping chan struct{}
}

// New returns the lifecycle of a balancer that logs to logger.
func New(logger zerolog.Logger) *Lifecycle {
	return &Lifecycle{logger: logger, stopping: make(chan struct{})}
}

// Stop begins the planned stop. Further calls have no effect.
func (l *Lifecycle) Stop() { l.stopOnce.Do(func() { close(l.stopping) }) }

// Stopping returns a channel that is closed when the planned stop begins.
func (l *Lifecycle) Stopping() <-chan struct{} { return l.stopping }

// IsStopping reports whether the planned stop has begun.
func (l *Lifecycle) IsStopping() bool {
	select {
	case <-l.stopping:
		return true
	default:
		return false
	}
}

// LogEvent logs an event without further fields.
func (l *Lifecycle) LogEvent(event logging.Event) {
	l.logger.Info().Str(logging.FieldEvent, string(event)).Send()
}

// LogFailure logs the failure of a part of the process. It does nothing if err is nil.
func (l *Lifecycle) LogFailure(err error) {
	if err != nil {
		l.logger.Error().Err(err).Str(logging.FieldEvent, string(logging.EventFailed)).Send()
	}
}

// StoppedImmediately logs that the process ends without a planned stop or before the planned stop
// is complete, and returns lb.ErrStoppedImmediately.
func (l *Lifecycle) StoppedImmediately() error {
	l.LogEvent(logging.EventStoppedImmediately)
	return lb.ErrStoppedImmediately
}

// LogStopped logs that the planned stop is complete.
func (l *Lifecycle) LogStopped(reason Reason) {
	l.logger.Info().
		Str(logging.FieldEvent, string(logging.EventStopped)).
		Str(logging.FieldReason, string(reason)).
		Send()
}

// Endpoints holds the network endpoints of a balancer. An endpoint that is not open is nil.
type Endpoints struct {
	Admin     *adminserver.Server
	Transport *transport.Transport
	Plane     *dataplane.Plane
}

// Close closes the open endpoints.
func (e *Endpoints) Close() {
	if e.Plane != nil {
		_ = e.Plane.Close() // the process ends, so the error has no consequence
	}
	if e.Transport != nil {
		_ = e.Transport.Close()
	}
	if e.Admin != nil {
		e.Admin.Close()
	}
}
