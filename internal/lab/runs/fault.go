package runs

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lab/check"
	"robinpulley.example/robinpulley/internal/lab/cluster"
	"robinpulley.example/robinpulley/internal/lb"
)

// maxListedFlows is the maximum number of broken flows, and of never opened flows, in the
// measurements of a run.
const maxListedFlows = 5

// Limits of a fault run.
const (
	faultLimit     = 15 * time.Minute // for one run
	inForceLimit   = 5 * time.Second  // for a change to be in force in every zone
	maxTransitTime = 2 * time.Second  // for openings that were forwarded before a change was in force
)

var faultSize = size{
	balancersPerZone: 2,
	walletHosts:      4,
	docVaultHosts:    2,
	load:             cluster.Load{Feeds: 60, UDPFlows: 10, TapRate: 60, UploadRate: 2},
}

// Fault defines a fault run.
type Fault struct {
	Name      string
	Guarantee string // description of the guarantee under test
	// Unplanned allows flows to break. Broken flows are counted, and no other guarantee is relaxed.
	Unplanned bool
	// ProbeHosts enables the health probes of the balancers.
	ProbeHosts bool
	// FabricFlags holds additional flags of the fabric.
	FabricFlags []string
	run         func(ctx context.Context, run *faultRun) error
}

// faultRun is the state of a fault run in progress.
type faultRun struct {
	*environment
	options      FaultOptions
	violations   []string
	measurements []string
}

// FaultOptions configures fault runs.
type FaultOptions struct {
	Cluster cluster.Options
	// Timed enables the checks of time limits: a change that takes longer than 5 s to be in force
	// is a violation. If Timed is false, a run waits as long as necessary.
	Timed bool
	// PlannedStops is the number of planned stops in the run planned-stop.
	PlannedStops int
	// Changes is the number of changes in the run racing-operators.
	Changes int
}

// FaultResult is the outcome of one fault run.
type FaultResult struct {
	Fault        Fault
	Check        check.Result
	Violations   []string
	Measurements []string
	Duration     time.Duration
	Err          error // failure of the run itself
}

// Passed reports whether the run was complete and every guarantee held.
func (result *FaultResult) Passed() bool { return result.Err == nil && len(result.Violations) == 0 }

// RunFault performs one fault run.
func RunFault(ctx context.Context, fault Fault, options FaultOptions) FaultResult {
	ctx, cancel := context.WithTimeout(ctx, faultLimit)
	defer cancel()
	start := time.Now()
	options.Cluster.Directory = filepath.Join(options.Cluster.Directory, fault.Name)
	options.Cluster.ProbeHosts = fault.ProbeHosts
	options.Cluster.FabricFlags = fault.FabricFlags
	result := FaultResult{Fault: fault}
	env, err := startEnvironment(ctx, options.Cluster, faultSize)
	if err != nil {
		result.Err = err
		return result
	}
	defer env.Close()
	run := &faultRun{environment: env, options: options}
	result.Err = run.execute(ctx, fault, &result)
	result.Violations = run.violations
	result.Measurements = run.measurements
	result.Duration = time.Since(start)
	return result
}

// execute starts the load, injects the fault, stops the load and checks the guarantees. Before and
// after the fault it waits until the load makes progress.
func (run *faultRun) execute(ctx context.Context, fault Fault, result *FaultResult) error {
	if err := run.startLoad(ctx); err != nil {
		return err
	}
	if err := run.awaitProgress(ctx); err != nil {
		return err
	}
	if err := fault.run(ctx, run); err != nil {
		return err
	}
	if err := run.awaitProgress(ctx); err != nil {
		return err
	}
	if err := run.StopClients(ctx); err != nil {
		return err
	}
	checked, err := run.Verify(ctx)
	result.Check = checked
	run.checkGuarantees(&checked, fault.Unplanned)
	return err
}

// checkGuarantees adds a violation for each guarantee that did not hold.
func (run *faultRun) checkGuarantees(checked *check.Result, unplanned bool) {
	if len(checked.BrokenFlows) > 0 && !unplanned {
		run.addViolation("%d flows broken", len(checked.BrokenFlows))
	}
	for _, failure := range checked.BrokenFlows[:min(maxListedFlows, len(checked.BrokenFlows))] {
		run.addMeasurement("broken: %s %s (%s) at %s by %s", failure.Kind, failure.ID, failure.Local, failure.Host, failure.Cause)
	}
	for _, failure := range checked.NeverOpened[:min(maxListedFlows, len(checked.NeverOpened))] {
		at := time.UnixMilli(failure.UnixMillis).UTC().Format(time.TimeOnly)
		run.addMeasurement("never opened: %s %s (%s), given up at %s", failure.Kind, failure.ID, failure.Local, at)
	}
	lists := []struct {
		name  string
		names []string
	}{
		{"requests run twice", checked.DuplicateRuns},
		{"openings at two hosts", checked.DuplicateOpenings},
		{"refused as not run, but ran", checked.FalseNotRun},
		{"answers of a wrong service", checked.WrongServiceAnswers},
		{"mixed-up answers", checked.MixedAnswers},
		{"truncated uploads", checked.TruncatedUploads},
	}
	for _, list := range lists {
		if len(list.names) > 0 {
			run.addViolation("%d %s, first %s", len(list.names), list.name, list.names[0])
		}
	}
	if checked.MisdeliveredPackets > 0 {
		run.addViolation("%d packets at a host of another service", checked.MisdeliveredPackets)
	}
}

func (run *faultRun) addViolation(format string, arguments ...any) {
	run.violations = append(run.violations, fmt.Sprintf(format, arguments...))
}

func (run *faultRun) addMeasurement(format string, arguments ...any) {
	run.measurements = append(run.measurements, fmt.Sprintf(format, arguments...))
}

// awaitProgress waits until the load has made progress: as many more requests are answered as the
// short requests of one second, and each feed has received two more pushes on average.
func (run *faultRun) awaitProgress(ctx context.Context) error {
	answered, pushes, err := run.loadCounters(ctx)
	if err != nil {
		return err
	}
	wantAnswered := answered + int(run.size.load.TapRate)
	wantPushes := pushes + 2*run.size.load.Feeds
	return cluster.WaitUntil(ctx, "the load makes progress", func() (bool, error) {
		answered, pushes, err := run.loadCounters(ctx)
		return answered >= wantAnswered && pushes >= wantPushes, err
	})
}

// loadCounters returns the total numbers of answered requests and received pushes.
func (run *faultRun) loadCounters(ctx context.Context) (answered, pushes int, err error) {
	reports, err := run.ClientReports(ctx)
	for _, report := range reports {
		answered += report.Answered
		pushes += report.Pushes
	}
	return answered, pushes, err
}

// awaitInForce waits until a change is in force in all zones and records the time since the change.
func (run *faultRun) awaitInForce(ctx context.Context, revision int64, since time.Time) error {
	if _, err := run.Operator.AwaitInForce(ctx, revision, zones, since); err != nil {
		return err
	}
	elapsed := time.Since(since).Round(time.Millisecond)
	run.addMeasurement("in force in all zones after %s", elapsed)
	if run.options.Timed && elapsed > inForceLimit {
		run.addViolation("change in force after %s, limit %s", elapsed, inForceLimit)
	}
	return nil
}

// drainAndCheck drains a host, waits until the change is in force and checks that the host receives
// no new flow later than drainLimit after the change. In a run without time limits, the check may
// start later: when the change has been observed to be in force and openings in transit have
// arrived.
func (run *faultRun) drainAndCheck(ctx context.Context, host *cluster.Host) error {
	changedAt := time.Now()
	revision, err := run.drain(ctx, host)
	if err != nil {
		return err
	}
	if err := run.awaitInForce(ctx, revision, changedAt); err != nil {
		return err
	}
	limit := changedAt.Add(drainLimit)
	if settled := time.Now().Add(maxTransitTime); !run.options.Timed && settled.After(limit) {
		limit = settled
	}
	return run.checkNoNewFlows(ctx, host, limit)
}

// checkNoNewFlows lets the load run beyond the given time and checks that the host has opened no
// flow after it.
func (run *faultRun) checkNoNewFlows(ctx context.Context, host *cluster.Host, after time.Time) error {
	if err := runLoadFor(ctx, time.Until(after)); err != nil {
		return err
	}
	if err := run.awaitProgress(ctx); err != nil {
		return err
	}
	late, last, err := run.openedAfter(ctx, host, after)
	if late > 0 {
		run.addViolation("%d new flows at drained %s, the last one %s after the limit", late, host.Name, last.Round(time.Millisecond))
	}
	return err
}

// drainAndRestore drains a host and restores it. After each change it waits until the change is in
// force.
func (run *faultRun) drainAndRestore(ctx context.Context, host *cluster.Host) error {
	start := time.Now()
	revision, err := run.drain(ctx, host)
	if err != nil {
		return err
	}
	if err := run.awaitInForce(ctx, revision, start); err != nil {
		return err
	}
	start = time.Now()
	if revision, err = run.undrain(ctx, host); err != nil {
		return err
	}
	return run.awaitInForce(ctx, revision, start)
}

// RunFaults performs the named fault runs, or all if no name is given, one after the other, and
// prints a table. It returns ErrGuaranteeViolated if any run did not pass.
func RunFaults(ctx context.Context, names []string, options FaultOptions, output io.Writer) error {
	chosen := slices.DeleteFunc(AllFaults(), func(fault Fault) bool {
		return len(names) > 0 && !slices.Contains(names, fault.Name)
	})
	if len(chosen) == 0 {
		return errors.Newf("no fault run has one of the names %q", names)
	}
	results := make([]FaultResult, 0, len(chosen))
	for _, fault := range chosen {
		fmt.Fprintf(output, "%s: %s\n", fault.Name, fault.Guarantee)
		results = append(results, RunFault(ctx, fault, options))
		results[len(results)-1].print(output)
		if ctx.Err() != nil {
			break
		}
	}
	return printSummary(output, results)
}

func (result *FaultResult) print(output io.Writer) {
	for _, measurement := range result.Measurements {
		fmt.Fprintf(output, "  %s\n", measurement)
	}
	for _, violation := range result.Violations {
		fmt.Fprintf(output, "  VIOLATION: %s\n", violation)
	}
	if result.Err != nil {
		fmt.Fprintf(output, "  FAILED: %s\n", result.Err)
	}
}

func printSummary(output io.Writer, results []FaultResult) error {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nrun\tverdict\topened\tanswered\tbroken\tnever opened\trun twice\tfalse not-run\tseconds")
	passed := true
	for i := range results {
		result := &results[i]
		verdict := "passed"
		if !result.Passed() {
			verdict = "FAILED"
			passed = false
		}
		checked := &result.Check
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\n",
			result.Fault.Name, verdict, checked.Opened, checked.Answered, len(checked.BrokenFlows), len(checked.NeverOpened),
			len(checked.DuplicateRuns)+len(checked.DuplicateOpenings), len(checked.FalseNotRun), result.Duration.Seconds())
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "print the table")
	}
	if !passed {
		return ErrGuaranteeViolated
	}
	return nil
}

// otherZones returns all zones except the given one.
func otherZones(zone lb.Zone) []lb.Zone {
	return slices.DeleteFunc(slices.Clone(zones), func(other lb.Zone) bool { return other == zone })
}
