package runs

import (
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lab/cluster"
)

// shortSet is the fixed set of fault runs of every CI run.
var shortSet = []string{"drain", "planned-stop", "store-outage", "racing-operators", "freeze", "kill"}

// runsAtOnce bounds the runs under way: each has some 20 processes.
const runsAtOnce = 3

// TestFaultsShort runs the short set on real processes. It waits on conditions
// only: how long a change takes is judged by the long set.
func TestFaultsShort(t *testing.T) {
	binaries := t.TempDir()
	build := exec.Command("go", "build", "-o", binaries, "robinpulley.example/robinpulley/cmd/...")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%s\n%s", err, output)
	}
	options := FaultOptions{
		Cluster: cluster.Options{Binaries: binaries, Directory: logDirectory(t), StallLimit: 20 * time.Second},
		Stops:   2,
		Changes: 100,
	}
	atOnce := make(chan struct{}, runsAtOnce)
	for _, fault := range AllFaults() {
		for _, name := range shortSet {
			if fault.Name != name {
				continue
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				atOnce <- struct{}{}
				defer func() { <-atOnce }()
				is := is.New(t)
				result := RunFault(t.Context(), fault, options)
				t.Logf("figures: %q, opened %d, broken %d", result.Figures, result.Check.Opened, len(result.Check.Broken))
				is.NoErr(result.Err)
				is.Equal(result.Violations, nil)
				is.True(result.Check.Opened > 0)
			})
		}
	}
}

// logDirectory gives a directory for the logs of a test, which stay where it fails.
func logDirectory(t *testing.T) string {
	is := is.New(t)
	directory, err := os.MkdirTemp("", "robinpulley-faults-*")
	is.NoErr(err)
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("logs are in %s", directory)
			return
		}
		is.NoErr(os.RemoveAll(directory))
	})
	return directory
}

func TestRegisterModelSeesALostChange(t *testing.T) {
	is := is.New(t)
	at := func(second int64) int64 { return time.Unix(second, 0).UnixNano() }
	operation := func(read, write string, outcome cluster.Outcome, called int64) porcupine.Operation {
		change := cluster.Change{Read: read, Write: write, Outcome: outcome}
		return porcupine.Operation{Input: change, Output: outcome, Call: at(called), Return: at(called + 1)}
	}
	good := []porcupine.Operation{
		operation("a", "b", cluster.OutcomeAccepted, 0),
		operation("a", "c", cluster.OutcomeConflict, 2),
		operation("b", "d", cluster.OutcomeUnknown, 4),
		operation("d", "e", cluster.OutcomeAccepted, 6),
	}
	is.True(porcupine.CheckOperations(registerModel("a"), good))
	both := []porcupine.Operation{
		operation("a", "b", cluster.OutcomeAccepted, 0),
		operation("a", "c", cluster.OutcomeAccepted, 2),
	}
	is.True(!porcupine.CheckOperations(registerModel("a"), both))
	falseConflict := []porcupine.Operation{operation("a", "b", cluster.OutcomeConflict, 0)}
	is.True(!porcupine.CheckOperations(registerModel("a"), falseConflict))
}
