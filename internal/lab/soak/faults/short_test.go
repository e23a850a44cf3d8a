package faults_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lab/soak"
	"robinpulley.example/robinpulley/internal/lab/soak/faults"
)

// TestShortSoak plays a plan with all kinds of fault on real balancers, with flows that are used until
// their hosts are gone. Guarantees with a time limit are not judged, because a busy machine could
// violate them; all others are.
func TestShortSoak(t *testing.T) {
	is := is.New(t)
	const seed, duration = 703, 45 * time.Second // its plan has 29 of the 30 kinds
	size := soak.Size{Nodes: 5, Hosts: 4, Zones: 2, ShortFlows: 20, PersistentFlows: 8}
	report, err := soak.Run(t.Context(), soak.Settings{
		Seed:      seed,
		Duration:  duration,
		Steps:     soak.Plan(seed, duration, faults.All(), size),
		Size:      size,
		Bounds:    soak.Bounds{ChangeLimit: time.Hour, UndisturbedTime: time.Hour},
		Program:   buildProgram(t),
		Directory: t.TempDir(),
	}, faults.All(), t.Output())
	is.NoErr(err)
	is.NoErr(report.Print(t.Output()))
	is.Equal(report.Violations, nil)
	is.True(report.Counts.Answered.Load() > 0)
	is.True(report.Counts.Persistent.Load() > 0) // flows were kept until their hosts were gone
	is.True(report.Checked.Refusals > 0)
	is.True(report.Skipped < len(report.Steps)/2)
}
