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

// kill ends a node at once and starts it again later.
type kill struct{ nodes }

func (kill) Name() string { return "kill" }

func (kill) Inject(ctx context.Context, s *soak.Site, target int) (func() error, error) {
	n, release, held := s.HoldNode(target)
	if !held {
		return nil, soak.ErrHeld
	}
	calm := s.Checker.Disturb(n.Data)
	if err := end(ctx, s, n, syscall.SIGKILL); err != nil {
		release()
		return nil, err
	}
	return func() error {
		defer release()
		defer calm()
		return relaunch(ctx, s, n)
	}, nil
}

// killAll ends all nodes at once that no other fault has, and starts them again together.
type killAll struct{ platform }

func (killAll) Name() string { return "kill_all" }

func (killAll) Inject(ctx context.Context, s *soak.Site, _ int) (func() error, error) {
	var ends []func() error
	for index := range s.Nodes {
		undo, err := kill{}.Inject(ctx, s, index)
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

// stop is a planned stop; the node is started again later.
type stop struct{ nodes }

func (stop) Name() string { return "stop" }

func (stop) Inject(ctx context.Context, s *soak.Site, target int) (func() error, error) {
	n, release, held := s.HoldNode(target)
	if !held {
		return nil, soak.ErrHeld
	}
	calm := s.Checker.Disturb(n.Data)
	if err := end(ctx, s, n, syscall.SIGTERM); err != nil {
		release()
		return nil, err
	}
	return func() error {
		defer release()
		defer calm()
		return relaunch(ctx, s, n)
	}, nil
}

// pause freezes a node.
type pause struct{ nodes }

func (pause) Name() string { return "pause" }

func (pause) Inject(_ context.Context, s *soak.Site, target int) (func() error, error) {
	n, release, held := s.HoldNode(target)
	if !held {
		return nil, soak.ErrHeld
	}
	calm := s.Checker.Disturb(n.Data)
	if err := n.Signal(syscall.SIGSTOP); err != nil {
		release()
		return nil, err
	}
	return func() error {
		defer release()
		defer calm()
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
