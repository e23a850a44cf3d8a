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

// shortSet is the set of fault runs in CI.
var shortSet = []string{"drain", "planned-stop", "store-outage", "racing-operators", "freeze", "kill"}

// maxConcurrentRuns is the maximum number of concurrent runs, as each run has about 20 processes.
const maxConcurrentRuns = 3

// TestFaultsShort performs the runs of the short set on real processes. It does not check time
// limits; the complete set of runs checks how long a change takes.
func TestFaultsShort(t *testing.T) {
	binaries := t.TempDir()
	build := exec.Command("go", "build", "-o", binaries, "robinpulley.example/robinpulley/cmd/...")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%s\n%s", err, output)
	}
	options := FaultOptions{
		Cluster:      cluster.Options{Binaries: binaries, Directory: logDirectory(t), StallLimit: 20 * time.Second},
		PlannedStops: 2,
		Changes:      100,
	}
	slots := make(chan struct{}, maxConcurrentRuns)
	for _, fault := range AllFaults() {
		for _, name := range shortSet {
			if fault.Name != name {
				continue
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				slots <- struct{}{}
				defer func() { <-slots }()
				is := is.New(t)
				result := RunFault(t.Context(), fault, options)
				t.Logf("measurements: %q, opened %d, broken %d", result.Measurements, result.Check.Opened, len(result.Check.BrokenFlows))
				is.NoErr(result.Err)
				is.Equal(result.Violations, nil)
				is.True(result.Check.Opened > 0)
			})
		}
	}
}

// logDirectory returns a directory for the logs of a test. The directory is removed if the test
// passes.
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

func TestRegisterModelDetectsLostChange(t *testing.T) {
	is := is.New(t)
	at := func(second int64) int64 { return time.Unix(second, 0).UnixNano() }
	operation := func(read, write string, outcome cluster.Outcome, startedAt int64) porcupine.Operation {
		change := cluster.Change{PreviousWriteID: read, WriteID: write, Outcome: outcome}
		return porcupine.Operation{Input: change, Output: outcome, Call: at(startedAt), Return: at(startedAt + 1)}
	}
	linearizable := []porcupine.Operation{
		operation("a", "b", cluster.OutcomeAccepted, 0),
		operation("a", "c", cluster.OutcomeConflict, 2),
		operation("b", "d", cluster.OutcomeUnknown, 4),
		operation("d", "e", cluster.OutcomeAccepted, 6),
	}
	is.True(porcupine.CheckOperations(writeIDRegisterModel("a"), linearizable))
	lostChange := []porcupine.Operation{
		operation("a", "b", cluster.OutcomeAccepted, 0),
		operation("a", "c", cluster.OutcomeAccepted, 2),
	}
	is.True(!porcupine.CheckOperations(writeIDRegisterModel("a"), lostChange))
	falseConflict := []porcupine.Operation{operation("a", "b", cluster.OutcomeConflict, 0)}
	is.True(!porcupine.CheckOperations(writeIDRegisterModel("a"), falseConflict))
}
