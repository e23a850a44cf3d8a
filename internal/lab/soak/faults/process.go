package faults

import (
	"context"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lab/soak"
)

// lastProcessNumber is the number of the last restarted process of any node. The numbers are part
// of the log names.
var lastProcessNumber atomic.Int64

// restartProcess starts a new process of a node and waits until the node is ready.
func restartProcess(ctx context.Context, s *soak.Site, n *soak.Node) error {
	if err := s.StartNode(n, int(lastProcessNumber.Add(1))); err != nil {
		return err
	}
	return awaitReady(ctx, n)
}

// endProcess sends a signal to a node's process and waits until the process has ended. After
// SIGTERM, an exit code other than 0 is a violation.
func endProcess(ctx context.Context, s *soak.Site, n *soak.Node, signal syscall.Signal) error {
	if err := n.Signal(signal); err != nil {
		return err
	}
	code, err := n.AwaitEnd(ctx)
	if err == nil && signal == syscall.SIGTERM && code != 0 {
		s.Checker.AddViolation(time.Now(), soak.RuleNodeExit, "%s ended a planned stop with exit code %d", n.Name, code)
	}
	return err
}

// restartNode ends a node's process by a signal and later starts a new one.
type restartNode struct {
	nodeFault
	name   string
	signal syscall.Signal
}

var (
	killNode = restartNode{name: "kill", signal: syscall.SIGKILL}
	stopNode = restartNode{name: "stop", signal: syscall.SIGTERM} // planned stop
)

func (f restartNode) Name() string { return f.name }

func (f restartNode) Inject(ctx context.Context, s *soak.Site, target int) (func() error, error) {
	n, release, err := lockAndDisturb(s, target)
	if err != nil {
		return nil, err
	}
	if err := endProcess(ctx, s, n, f.signal); err != nil {
		release()
		return nil, err
	}
	return func() error {
		defer release()
		return restartProcess(ctx, s, n)
	}, nil
}

// lockAndDisturb reserves a node's process for one fault and records the disturbance. The returned
// function records the end of the disturbance and releases the node.
func lockAndDisturb(s *soak.Site, target int) (n *soak.Node, release func(), err error) {
	n, unlock, locked := s.LockNode(target)
	if !locked {
		return nil, nil, soak.ErrTargetLocked
	}
	endDisturbance := s.Checker.BeginDisturbance(n.Data)
	return n, func() {
		endDisturbance()
		unlock()
	}, nil
}

// killAllNodes kills all nodes that no other fault has reserved, and later starts them all again at
// the same time.
type killAllNodes struct{ platformFault }

func (killAllNodes) Name() string { return "kill_all" }

func (killAllNodes) Inject(ctx context.Context, s *soak.Site, _ int) (func() error, error) {
	var ends []func() error
	for index := range s.Nodes {
		end, err := killNode.Inject(ctx, s, index)
		switch {
		case errors.Is(err, soak.ErrTargetLocked):
		case err != nil:
			return nil, err
		default:
			ends = append(ends, end)
		}
	}
	return func() error { return runConcurrently(ends) }, nil
}

// runConcurrently calls the functions concurrently and returns their combined errors.
func runConcurrently(functions []func() error) error {
	results := make(chan error, len(functions))
	for _, f := range functions {
		go func() { results <- f() }()
	}
	var combined error
	for range functions {
		combined = errors.CombineErrors(combined, <-results)
	}
	return combined
}

// pauseNode suspends a node's process.
type pauseNode struct{ nodeFault }

func (pauseNode) Name() string { return "pause" }

func (pauseNode) Inject(_ context.Context, s *soak.Site, target int) (func() error, error) {
	n, release, err := lockAndDisturb(s, target)
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

// reloadNode makes a node reload its settings.
type reloadNode struct{ nodeFault }

func (reloadNode) Name() string { return "reload" }

func (reloadNode) Inject(_ context.Context, s *soak.Site, target int) (func() error, error) {
	n, release, locked := s.LockNode(target)
	if !locked {
		return nil, soak.ErrTargetLocked
	}
	defer release()
	return func() error { return nil }, n.Signal(syscall.SIGHUP)
}
