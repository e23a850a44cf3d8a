// Package lifecycle is what the life of every balancer has in common: the planned
// stop and how it is asked for, the events of the log that tell of it, and the
// closing of the endpoints. What a node does in a planned stop is its affinity's.
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

// Reason says why a planned stop ended, in the log.
type Reason string

// The reasons.
const (
	Quiet      Reason = "quiet"       // nothing is left to do, and no packet comes
	DrainLimit Reason = "drain_limit" // timings.drain_limit has passed
)

// Life is that of one balancer's process.
type Life struct {
	logger   zerolog.Logger
	stopOnce sync.Once
	stopping chan struct{}
}

// New gives the life of a balancer that logs to logger.
func New(logger zerolog.Logger) *Life {
	return &Life{logger: logger, stopping: make(chan struct{})}
}

// Stop begins a planned stop.
func (l *Life) Stop() { l.stopOnce.Do(func() { close(l.stopping) }) }

// Stopping is closed when the planned stop begins.
func (l *Life) Stopping() <-chan struct{} { return l.stopping }

// IsStopping tells whether the planned stop has begun.
func (l *Life) IsStopping() bool {
	select {
	case <-l.stopping:
		return true
	default:
		return false
	}
}

// Log logs an event without further fields.
func (l *Life) Log(event logging.Event) {
	l.logger.Info().Str(logging.FieldEvent, string(event)).Send()
}

// Failed logs that a part of the process has failed, if it has.
func (l *Life) Failed(err error) {
	if err != nil {
		l.logger.Error().Err(err).Str(logging.FieldEvent, string(logging.EventFailed)).Send()
	}
}

// StoppedAtOnce logs that the process ends without a planned stop, or in the middle
// of one, and gives lb.ErrStoppedAtOnce.
func (l *Life) StoppedAtOnce() error {
	l.Log(logging.EventStoppedAtOnce)
	return lb.ErrStoppedAtOnce
}

// Stopped logs that the planned stop is finished.
func (l *Life) Stopped(reason Reason) {
	l.logger.Info().
		Str(logging.FieldEvent, string(logging.EventStopped)).
		Str(logging.FieldReason, string(reason)).
		Send()
}

// Endpoints are those of a balancer; nil: not opened, or not any more.
type Endpoints struct {
	Admin     *adminserver.Server
	Transport *transport.Transport
	Plane     *dataplane.Plane
}

// Close closes what is open.
func (e *Endpoints) Close() {
	if e.Plane != nil {
		_ = e.Plane.Close() // nothing is left to be done about it
	}
	if e.Transport != nil {
		_ = e.Transport.Close()
	}
	if e.Admin != nil {
		e.Admin.Close()
	}
}
