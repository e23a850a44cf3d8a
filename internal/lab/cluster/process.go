// Package cluster starts simulated components and real balancers as processes on loopback addresses
// with free ports, and stops them by their process IDs.
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

// Times for stopping processes and for polling conditions.
const (
	pollInterval = 20 * time.Millisecond
	stopTimeout  = 2 * time.Second // from SIGTERM to SIGKILL
)

// Process is one child process.
type Process struct {
	Name    string
	command *exec.Cmd
	done    chan struct{} // closed when the process has ended
}

// StartProcess starts a program and redirects its output to DIRECTORY/NAME.log.
func StartProcess(directory, name, program string, arguments ...string) (*Process, error) {
	log, err := os.Create(filepath.Join(directory, name+".log"))
	if err != nil {
		return nil, errors.Wrapf(err, "create log of %s", name)
	}
	defer func() { _ = log.Close() }() // the child has its own copy
	command := exec.Command(program, arguments...)
	command.Stdout = log
	command.Stderr = log
	command.SysProcAttr = processAttributes()
	if err := command.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	process := &Process{Name: name, command: command, done: make(chan struct{})}
	go func() {
		_ = command.Wait() // Process.Wait reads the exit code from ProcessState
		close(process.done)
	}()
	return process, nil
}

// Signal sends a signal to the process, but not to its process group.
func (process *Process) Signal(signal syscall.Signal) error {
	return errors.Wrapf(process.command.Process.Signal(signal), "signal %s to %s", signal, process.Name)
}

// Ended reports whether the process has ended.
func (process *Process) Ended() bool {
	select {
	case <-process.done:
		return true
	default:
		return false
	}
}

// Wait waits for the end of the process and returns its exit code.
func (process *Process) Wait(ctx context.Context) (int, error) {
	select {
	case <-process.done:
		return process.command.ProcessState.ExitCode(), nil
	case <-ctx.Done():
		return 0, errors.Wrapf(ctx.Err(), "wait for the end of %s", process.Name)
	}
}

// runProgram runs a program to its end and returns its standard output.
func runProgram(ctx context.Context, program string, arguments ...string) ([]byte, error) {
	command := exec.CommandContext(ctx, program, arguments...)
	command.SysProcAttr = processAttributes()
	output, err := command.Output()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return output, errors.Newf("%s: exit code %d: %s", command, exit.ExitCode(), exit.Stderr)
	}
	return output, errors.Wrapf(err, "%s", command)
}

// Stop stops the process, also if it is suspended or ignores SIGTERM.
func (process *Process) Stop() {
	if process.Ended() {
		return
	}
	_ = process.command.Process.Signal(syscall.SIGCONT)
	_ = process.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-process.done:
	case <-time.After(stopTimeout):
		_ = process.command.Process.Kill()
		<-process.done
	}
}

// AwaitServing waits until a GET request of the URL returns status 200. It fails immediately if the
// process has ended.
func (process *Process) AwaitServing(ctx context.Context, url string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-process.done:
			cancel(errors.Newf("%s has ended: see its log", process.Name))
		case <-ctx.Done():
		}
	}()
	return WaitUntil(ctx, process.Name+" serves", func() (bool, error) { return respondsOK(ctx, url) })
}

// WaitUntil polls a condition until it holds. If ctx ends first, the error contains the description
// of the condition and the last error from it.
func WaitUntil(ctx context.Context, description string, condition func() (bool, error)) error {
	var lastErr error
	for {
		holds, err := condition()
		if holds && err == nil {
			return nil
		}
		lastErr = err
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return errors.CombineErrors(errors.Wrapf(context.Cause(ctx), "waiting until %s", description), lastErr)
		}
	}
}

// respondsOK reports whether a GET request of the URL returns status 200.
func respondsOK(ctx context.Context, url string) (bool, error) {
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
