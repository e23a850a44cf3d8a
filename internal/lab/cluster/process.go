// Package cluster starts the stand-ins and real balancers as processes on
// loopback, with free ports, and ends them by their process ids.
package cluster

import (
	"context"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Times of the processes and of waiting on them.
const (
	pollInterval = 20 * time.Millisecond
	endLimit     = 2 * time.Second // between SIGTERM and SIGKILL at the end of a run
)

// Process is one child process.
type Process struct {
	Name    string
	command *exec.Cmd
	done    chan struct{} // closed when it has ended
}

// StartProcess runs a program, its output in DIRECTORY/NAME.log.
func StartProcess(directory, name, program string, arguments ...string) (*Process, error) {
	log, err := os.Create(filepath.Join(directory, name+".log"))
	if err != nil {
		return nil, errors.Wrapf(err, "log of %s", name)
	}
	defer func() { _ = log.Close() }() // the child has its own copy
	command := exec.Command(program, arguments...)
	command.Stdout = log
	command.Stderr = log
	command.SysProcAttr = attributes()
	if err := command.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	process := &Process{Name: name, command: command, done: make(chan struct{})}
	go func() {
		_ = command.Wait() // its exit code is read from ProcessState
		close(process.done)
	}()
	return process, nil
}

// Signal sends a signal to the process alone.
func (process *Process) Signal(signal syscall.Signal) error {
	return errors.Wrapf(process.command.Process.Signal(signal), "signal %s to %s", signal, process.Name)
}

// Ended tells whether the process has ended.
func (process *Process) Ended() bool {
	select {
	case <-process.done:
		return true
	default:
		return false
	}
}

// Wait waits for the end of the process and gives its exit code.
func (process *Process) Wait(ctx context.Context) (int, error) {
	select {
	case <-process.done:
		return process.command.ProcessState.ExitCode(), nil
	case <-ctx.Done():
		return 0, errors.Wrapf(ctx.Err(), "wait for the end of %s", process.Name)
	}
}

// runProgram runs a program to its end and gives what it printed.
func runProgram(ctx context.Context, program string, arguments ...string) ([]byte, error) {
	command := exec.CommandContext(ctx, program, arguments...)
	command.SysProcAttr = attributes()
	output, err := command.Output()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return output, errors.Newf("%s: exit code %d: %s", command, exit.ExitCode(), exit.Stderr)
	}
	return output, errors.Wrapf(err, "%s", command)
}

// End stops the process whatever its state.
func (process *Process) End() {
	if process.Ended() {
		return
	}
	_ = process.command.Process.Signal(syscall.SIGCONT)
	_ = process.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-process.done:
	case <-time.After(endLimit):
		_ = process.command.Process.Kill()
		<-process.done
	}
}

// Serves waits until the URL answers 200. It fails at once when the process has ended.
func (process *Process) Serves(ctx context.Context, url string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-process.done:
			cancel(errors.Newf("%s has ended: see its log", process.Name))
		case <-ctx.Done():
		}
	}()
	return Until(ctx, process.Name+" serves", func() (bool, error) { return ok(ctx, url) })
}

// Until polls a condition until it holds. The error names what was waited for.
func Until(ctx context.Context, what string, condition func() (bool, error)) error {
	var last error
	for {
		holds, err := condition()
		if holds && err == nil {
			return nil
		}
		last = err
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return errors.CombineErrors(errors.Wrapf(context.Cause(ctx), "waiting until %s", what), last)
		}
	}
}

// ok tells whether the URL answers 200.
func ok(ctx context.Context, url string) (bool, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false, err
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK, nil
}
