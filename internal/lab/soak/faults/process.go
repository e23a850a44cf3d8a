package faults

import (
	"context"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lab/soak"
)

// runs numbers the runs of all nodes, for the names of their logs.
var runs atomic.Int64

// relaunch starts a node again and waits until it is ready.
func relaunch(ctx context.Context, s *soak.Site, n *soak.Node) error {
	if err := s.Launch(n, int(runs.Add(1))); err != nil {
		return err
	}
	return awaitReady(ctx, n)
}

// end ends a node's process by a signal and waits for that.
func end(ctx context.Context, s *soak.Site, n *soak.Node, signal syscall.Signal) error {
	if err := n.Signal(signal); err != nil {
		return err
	}
	code, err := n.AwaitEnd(ctx)
	if err == nil && signal == syscall.SIGTERM && code != 0 {
		s.Checker.Report(time.Now(), soak.RuleExit, "%s ended a planned stop with exit code %d", n.Name, code)
	}
	return err
}

// restart ends a node by a signal and starts it again later.
type restart struct {
	nodes
	name   string
	signal syscall.Signal
}

var (
	kill = restart{name: "kill", signal: syscall.SIGKILL}
	stop = restart{name: "stop", signal: syscall.SIGTERM} // a planned stop
)

func (f restart) Name() string { return f.name }

func (f restart) Inject(ctx context.Context, s *soak.Site, target int) (func() error, error) {
	n, release, err := disturb(s, target)
	if err != nil {
		return nil, err
	}
	if err := end(ctx, s, n, f.signal); err != nil {
		release()
		return nil, err
	}
	return func() error {
		defer release()
		return relaunch(ctx, s, n)
	}, nil
}

// disturb takes a node's process for one fault. The function gives it back.
func disturb(s *soak.Site, target int) (n *soak.Node, release func(), err error) {
	n, free, held := s.HoldNode(target)
	if !held {
		return nil, nil, soak.ErrHeld
	}
	calm := s.Checker.Disturb(n.Data)
	return n, func() {
		calm()
		free()
	}, nil
}

// killAll ends all nodes at once that no other fault has, and starts them again together.
type killAll struct{ platform }

func (killAll) Name() string { return "kill_all" }

func (killAll) Inject(ctx context.Context, s *soak.Site, _ int) (func() error, error) {
	var ends []func() error
	for index := range s.Nodes {
		undo, err := kill.Inject(ctx, s, index)
		switch {
		case errors.Is(err, soak.ErrHeld):
		case err != nil:
			return nil, err
		default:
			ends = append(ends, undo)
		}
	}
	return func() error { return together(ends) }, nil
}

// together calls functions at once and gives their errors.
func together(functions []func() error) error {
	results := make(chan error, len(functions))
	for _, f := range functions {
		go func() { results <- f() }()
	}
	var all error
	for range functions {
		all = errors.CombineErrors(all, <-results)
	}
	return all
}

// pause freezes a node.
type pause struct{ nodes }

func (pause) Name() string { return "pause" }

func (pause) Inject(_ context.Context, s *soak.Site, target int) (func() error, error) {
	n, release, err := disturb(s, target)
	if err != nil {
		return nil, err
	}
	if err := n.Signal(syscall.SIGSTOP); err != nil {
		release()
		return nil, err
	}
	return func() error {
		defer release()
		return n.Signal(syscall.SIGCONT)
	}, nil
}

// reload tells a node that its settings have changed.
type reload struct{ nodes }

func (reload) Name() string { return "reload" }

func (reload) Inject(_ context.Context, s *soak.Site, target int) (func() error, error) {
	n, release, held := s.HoldNode(target)
	if !held {
		return nil, soak.ErrHeld
	}
	defer release()
	return func() error { return nil }, n.Signal(syscall.SIGHUP)
}
