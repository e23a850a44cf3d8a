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

// runMain in the environment makes the test binary run the command itself.
const runMain = "ROBINPULLEY_TEST_RUN_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMain) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// startProcess runs a balancer without store and peers as a process of its
// own, and gives it back once it serves its admin address.
func startProcess(t *testing.T, drainGrace string) *exec.Cmd {
	is := is.New(t)
	addresses := make([]string, 3)
	for index := range addresses {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		addresses[index] = listener.Addr().String()
		is.NoErr(listener.Close())
	}
	file := filepath.Join(t.TempDir(), "node.yaml")
	settings := strings.Join([]string{
		"node: b1", "zone: za", "data_address: " + addresses[0], "control_address: " + addresses[1],
		"admin_address: " + addresses[2], "fabric_reply_addresses: [127.0.0.1:9]",
		"store_endpoints: [http://127.0.0.1:9]", "timings: {drain_grace: " + drainGrace + "}", "",
	}, "\n")
	is.NoErr(os.WriteFile(file, []byte(settings), 0o600))
	process := exec.Command(os.Args[0], "run", "--config", file)
	process.Env = append(os.Environ(), runMain+"=1")
	is.NoErr(process.Start())
	t.Cleanup(func() { _ = process.Process.Kill() }) // it has ended, or the test has failed
	deadline := time.Now().Add(30 * time.Second)
	for {
		response, err := http.Get("http://" + addresses[2] + "/healthz")
		if err == nil {
			response.Body.Close()
			return process
		}
		if time.Now().After(deadline) {
			t.Fatal("the process does not serve its admin address")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func TestSignalBeginsPlannedStop(t *testing.T) {
	is := is.New(t)
	process := startProcess(t, "10ms")
	is.NoErr(process.Process.Signal(syscall.SIGTERM))
	_ = process.Wait() // its result is in the exit code
	is.Equal(process.ProcessState.ExitCode(), exitDone)
}

func TestSecondSignalEndsAtOnce(t *testing.T) {
	is := is.New(t)
	process := startProcess(t, "200s")
	is.NoErr(process.Process.Signal(syscall.SIGTERM))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = process.Wait() // its result is in the exit code
	}()
	for {
		select {
		case <-ended:
			is.Equal(process.ProcessState.ExitCode(), exitStoppedAtOnce)
			return
		case <-time.After(10 * time.Millisecond):
			// Signals in quick succession may be merged, so it is repeated.
			_ = process.Process.Signal(syscall.SIGTERM)
		}
	}
}
