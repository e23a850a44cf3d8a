package main

import (
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// runMain is an environment variable that makes the test binary run the robinpulley command.
const runMain = "ROBINPULLEY_TEST_RUN_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMain) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// freeAddresses returns different loopback addresses with unused ports.
func freeAddresses(t *testing.T, count int) []string {
	is := is.New(t)
	addresses := make([]string, count)
	for index := range addresses {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		defer listener.Close() // not before all are found, so that they differ
		addresses[index] = listener.Addr().String()
	}
	return addresses
}

// balancer is a balancer process without a reachable store or peers.
type balancer struct {
	command *exec.Cmd
	admin   string
	ended   chan struct{}
	log     string // path of the file with its standard output
}

// waitForLog waits until the log contains a text.
func (balancer *balancer) waitForLog(t *testing.T, text string) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		log, err := os.ReadFile(balancer.log)
		if err == nil && strings.Contains(string(log), text) {
			return
		}
	}
	t.Fatalf("the log does not contain %s", text)
}

// startBalancer starts a balancer and returns it once it serves its admin address.
func startBalancer(t *testing.T, drainGrace string, settings ...string) *balancer {
	deadline := time.Now().Add(30 * time.Second)
	for time.Now().Before(deadline) {
		started := launch(t, drainGrace, settings...)
		if started.serves(deadline) {
			return started
		}
		// The process has exited, since another one has bound one of its addresses meanwhile.
	}
	t.Fatal("no balancer serves its admin address")
	return nil
}

// launch starts a balancer process with unused addresses and additional settings.
func launch(t *testing.T, drainGrace string, additional ...string) *balancer {
	is := is.New(t)
	addresses := freeAddresses(t, 3)
	file := filepath.Join(t.TempDir(), "node.yaml")
	settings := strings.Join([]string{
		"node: b1", "zone: za", "data_address: " + addresses[0], "control_address: " + addresses[1],
		"admin_address: " + addresses[2], "fabric_reply_addresses: [127.0.0.1:9]",
		"store_endpoints: [http://127.0.0.1:9]", "timings: {drain_grace: " + drainGrace + "}", strings.Join(additional, "\n"), "",
	}, "\n")
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	is.NoErr(err)
	defer log.Close() // the process has its own descriptor
	is.NoErr(os.WriteFile(file, []byte(settings), 0o600))
	command := exec.Command(os.Args[0], "run", "--config", file)
	command.Env = append(os.Environ(), runMain+"=1")
	command.Stdout = log
	is.NoErr(command.Start())
	started := &balancer{command: command, admin: addresses[2], ended: make(chan struct{}), log: log.Name()}
	go func() {
		defer close(started.ended)
		_ = command.Wait() // exitCode returns the result
	}()
	t.Cleanup(func() {
		_ = command.Process.Kill() // an error means that the process has already exited
		<-started.ended
	})
	return started
}

// serves waits until the balancer serves its admin address. It returns false if the process exits
// or the deadline passes first.
func (balancer *balancer) serves(deadline time.Time) bool {
	for time.Now().Before(deadline) {
		response, err := http.Get("http://" + balancer.admin + "/healthz")
		if err == nil {
			response.Body.Close()
			return true
		}
		select {
		case <-balancer.ended:
			return false
		case <-time.After(10 * time.Millisecond):
		}
	}
	return false
}

// exitCode waits for the process to exit and returns its exit code.
func (balancer *balancer) exitCode() int {
	<-balancer.ended
	return balancer.command.ProcessState.ExitCode()
}

func TestFirstSignalStartsPlannedStop(t *testing.T) {
	is := is.New(t)
	balancer := startBalancer(t, "10ms")
	is.NoErr(balancer.command.Process.Signal(syscall.SIGTERM))
	is.Equal(balancer.exitCode(), exitDone)
}

func TestSecondSignalStopsImmediately(t *testing.T) {
	is := is.New(t)
	balancer := startBalancer(t, "200s")
	for {
		// The kernel may merge signals in quick succession, so the signal is repeated.
		_ = balancer.command.Process.Signal(syscall.SIGTERM)
		select {
		case <-balancer.ended:
			is.Equal(balancer.exitCode(), exitStoppedImmediately)
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// TestHangupReloadsSettings checks that SIGHUP ends no balancer. With token affinity the balancer
// reloads its settings and logs the result; with chain affinity it logs that it ignores the signal.
func TestHangupReloadsSettings(t *testing.T) {
	for _, affinity := range []string{"chain", "token"} {
		t.Run(affinity, func(t *testing.T) {
			is := is.New(t)
			balancer := startBalancer(t, "10ms", "affinity: "+affinity)
			events := map[string]string{"chain": `"event":"reload_ignored"`, "token": `"event":"reloaded","restart_needed":false`}
			is.NoErr(balancer.command.Process.Signal(syscall.SIGHUP))
			balancer.waitForLog(t, events[affinity])
			is.NoErr(balancer.command.Process.Signal(syscall.SIGTERM))
			is.Equal(balancer.exitCode(), exitDone)
		})
	}
}
