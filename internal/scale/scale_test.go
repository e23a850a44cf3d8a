package scale_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/scale"
)

func smallPlan() *scale.Plan {
	return &scale.Plan{
		Nodes: 12, Regions: 2, Zones: 4, Services: 20, Hosts: 30, Warmup: 20 * time.Second, Duration: 20 * time.Second,
		Changes: 5, Quiet: 5 * time.Second, Seed: 1, ControlBytesPerSecond: 14000,
	}
}

func TestChangesComeIntoForceEverywhere(t *testing.T) {
	is := is.New(t)
	report, err := scale.Run(smallPlan())
	is.NoErr(err)
	is.Equal(report.Changes, 5)
	is.Equal(report.Pending, 0)
	is.True(report.InForceMax <= 5*time.Second) // virtual time
	is.True(report.BytesOutMean > 0)
	is.True(report.BytesOutMax <= 14000)
}

func TestChangesComeIntoForceWhileNodesGo(t *testing.T) {
	is := is.New(t)
	plan := smallPlan()
	plan.Duration = 40 * time.Second
	plan.Quiet = 20 * time.Second
	plan.Deaths, plan.Restarts = 1, 1
	report, err := scale.Run(plan)
	is.NoErr(err)
	is.Equal(report.Pending, 0)
}

func TestPlanNamesWhatIsWrong(t *testing.T) {
	is := is.New(t)
	plan := smallPlan()
	plan.Zones = 13
	_, err := scale.Run(plan)
	is.True(err != nil)
	is.Equal(err.Error(), "zones 13 is not in 1..12")
}
