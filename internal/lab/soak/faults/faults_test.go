package faults_test

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lab/soak"
	"robinpulley.example/robinpulley/internal/lab/soak/faults"
)

// buildProgram builds the balancer and returns its path.
func buildProgram(t *testing.T) string {
	program := filepath.Join(t.TempDir(), "robinpulley")
	build := exec.Command("go", "build", "-o", program, "robinpulley.example/robinpulley/cmd/robinpulley")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%s\n%s", err, output)
	}
	return program
}

func TestPlanIsDeterministic(t *testing.T) {
	is := is.New(t)
	size := soak.DefaultSize()
	plan := soak.Plan(7, time.Hour, faults.All(), size)
	is.Equal(plan, soak.Plan(7, time.Hour, faults.All(), size))
	other := soak.Plan(8, time.Hour, faults.All(), size)
	is.True(len(plan) != len(other) || plan[0] != other[0])
	drawn := make(map[string]bool)
	for index, step := range plan {
		drawn[step.Fault] = true
		is.True(step.At < time.Hour)
		is.True(index == 0 || step.At > plan[index-1].At)
	}
	for _, kind := range faults.All() {
		is.True(drawn[kind.Name()]) // an hour is long enough for every kind to be drawn
	}
}

// TestEveryKindOfFault injects each kind once on real balancers, with many faults at the same time.
// The time limits are so large that they never expire, so that a slow machine cannot violate a
// guarantee that this test verifies.
func TestEveryKindOfFault(t *testing.T) {
	is := is.New(t)
	size := soak.Size{Nodes: 4, Hosts: 3, Zones: 2, ShortFlows: 10, PersistentFlows: 4}
	var steps []soak.Step
	for index, kind := range faults.All() {
		steps = append(steps, soak.Step{
			At:       time.Duration(index) * 50 * time.Millisecond,
			Duration: 100 * time.Millisecond,
			Fault:    kind.Name(),
			Target:   index % kind.Targets(size),
		})
	}
	report, err := soak.Run(t.Context(), soak.Settings{
		Seed:      1,
		Steps:     steps,
		Size:      size,
		Bounds:    soak.Bounds{ChangeLimit: time.Hour, UndisturbedTime: time.Hour},
		Program:   buildProgram(t),
		Directory: t.TempDir(),
	}, faults.All(), t.Output())
	is.NoErr(err)
	is.Equal(report.Violations, nil)
	is.True(report.Counts.Answered.Load() > 0)
}
