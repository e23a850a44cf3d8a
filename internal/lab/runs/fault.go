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

// mostListed is how many broken flows, and flows never opened, a run lists.
const mostListed = 5

// Limits of a fault run.
const (
	faultLimit   = 15 * time.Minute // of one run
	inForceLimit = 5 * time.Second  // a change is in force in every zone
	onItsWay     = 2 * time.Second  // an opening decided before a change was in force has arrived
)

var faultSize = size{
	balancersPerZone: 2,
	walletHosts:      4,
	docVaultHosts:    2,
	load:             cluster.Load{Feeds: 60, UDPFlows: 10, TapRate: 60, UploadRate: 2},
}

// Fault is one fault run.
type Fault struct {
	Name      string
	Guarantee string // what must hold
	// Unplanned: flows may break (they are counted); no other guarantee is relaxed.
	Unplanned bool
	// Probe has the balancers probe the hosts.
	Probe bool
	// Fabric are flags of the fabric.
	Fabric []string
	run    func(ctx context.Context, run *faultRun) error
}

// faultRun is one run under way.
type faultRun struct {
	*world
	options    FaultOptions
	violations []string
	figures    []string
}

// FaultOptions say how fault runs are done.
type FaultOptions struct {
	Cluster cluster.Options
	// Timed makes a change that takes longer than 5 s to be in force a
	// violation. Without it the run waits on the condition alone.
	Timed bool
	// Stops is the number of planned stops in the run of that name.
	Stops int
	// Changes is the number of changes that racing operators make.
	Changes int
}

// FaultResult is the outcome of one fault run.
type FaultResult struct {
	Fault      Fault
	Check      check.Result
	Violations []string
	Figures    []string
	Took       time.Duration
	Err        error // the run itself failed
}

// Passed tells whether the run was whole and every guarantee held.
func (result *FaultResult) Passed() bool { return result.Err == nil && len(result.Violations) == 0 }

// RunFault does one fault run.
func RunFault(ctx context.Context, fault Fault, options FaultOptions) FaultResult {
	ctx, cancel := context.WithTimeout(ctx, faultLimit)
	defer cancel()
	began := time.Now()
	options.Cluster.Directory = filepath.Join(options.Cluster.Directory, fault.Name)
	options.Cluster.Probe = fault.Probe
	options.Cluster.FabricFlags = fault.Fabric
	result := FaultResult{Fault: fault}
	running, err := startWorld(ctx, options.Cluster, faultSize)
	if err != nil {
		result.Err = err
		return result
	}
	defer running.Close()
	run := &faultRun{world: running, options: options}
	result.Err = run.whole(ctx, fault, &result)
	result.Violations = run.violations
	result.Figures = run.figures
	result.Took = time.Since(began)
	return result
}

func (run *faultRun) whole(ctx context.Context, fault Fault, result *FaultResult) error {
	if err := run.startLoad(ctx); err != nil {
		return err
	}
	if err := run.progress(ctx); err != nil {
		return err
	}
	if err := fault.run(ctx, run); err != nil {
		return err
	}
	if err := run.progress(ctx); err != nil {
		return err
	}
	if err := run.StopCallers(ctx); err != nil {
		return err
	}
	checked, err := run.Check(ctx)
	result.Check = checked
	run.judge(&checked, fault.Unplanned)
	return err
}

func (run *faultRun) judge(checked *check.Result, unplanned bool) {
	if len(checked.Broken) > 0 && !unplanned {
		run.violate("%d flows broken", len(checked.Broken))
	}
	for _, failure := range checked.Broken[:min(mostListed, len(checked.Broken))] {
		run.figure("broken: %s %s (%s) at %s by %s", failure.Kind, failure.ID, failure.Local, failure.Host, failure.Cause)
	}
	for _, failure := range checked.Unanswered[:min(mostListed, len(checked.Unanswered))] {
		at := time.UnixMilli(failure.UnixMillis).UTC().Format(time.TimeOnly)
		run.figure("never opened: %s %s (%s), given up at %s", failure.Kind, failure.ID, failure.Local, at)
	}
	lists := []struct {
		name  string
		names []string
	}{
		{"requests run twice", checked.RunTwice},
		{"openings at two hosts", checked.OpenedTwice},
		{"refused as not run, but ran", checked.FalseNotRun},
		{"answers of a wrong service", checked.WrongService},
		{"mixed-up answers", checked.Mixed},
		{"truncated uploads", checked.Truncated},
	}
	for _, list := range lists {
		if len(list.names) > 0 {
			run.violate("%d %s, first %s", len(list.names), list.name, list.names[0])
		}
	}
	if checked.Misdelivered > 0 {
		run.violate("%d packets at a host of another service", checked.Misdelivered)
	}
}

func (run *faultRun) violate(format string, arguments ...any) {
	run.violations = append(run.violations, fmt.Sprintf(format, arguments...))
}

func (run *faultRun) figure(format string, arguments ...any) {
	run.figures = append(run.figures, fmt.Sprintf(format, arguments...))
}

// progress waits until the load has gone on for a while: some more requests
// were answered and, on average, each feed got two more pushes.
func (run *faultRun) progress(ctx context.Context) error {
	answered, pushes, err := run.served(ctx)
	if err != nil {
		return err
	}
	wantAnswered := answered + int(run.size.load.TapRate)
	wantPushes := pushes + 2*run.size.load.Feeds
	return cluster.Until(ctx, "the load goes on", func() (bool, error) {
		answered, pushes, err := run.served(ctx)
		return answered >= wantAnswered && pushes >= wantPushes, err
	})
}

func (run *faultRun) served(ctx context.Context) (answered, pushes int, err error) {
	reports, err := run.CallerReports(ctx)
	for _, report := range reports {
		answered += report.Answered
		pushes += report.Pushes
	}
	return answered, pushes, err
}

// inForce waits until a change is in force in all zones and records how long it took.
func (run *faultRun) inForce(ctx context.Context, revision int64, since time.Time) error {
	if _, err := run.Operator.InForce(ctx, revision, zones, since); err != nil {
		return err
	}
	took := time.Since(since).Round(time.Millisecond)
	run.figure("in force in all zones after %s", took)
	if run.options.Timed && took > inForceLimit {
		run.violate("change in force after %s, limit %s", took, inForceLimit)
	}
	return nil
}

// drainAndCheck drains a host, waits until that is in force and checks that no
// new flow comes to it from three seconds after the change on. A run without
// limits of time counts from when the change was seen to be in force, if that
// is later, and leaves what is on its way the time to arrive.
func (run *faultRun) drainAndCheck(ctx context.Context, host *cluster.Host) error {
	changed := time.Now()
	revision, err := run.drain(ctx, host)
	if err != nil {
		return err
	}
	if err := run.inForce(ctx, revision, changed); err != nil {
		return err
	}
	limit := changed.Add(drainedWithin)
	if settled := time.Now().Add(onItsWay); !run.options.Timed && settled.After(limit) {
		limit = settled
	}
	return run.noNewFlows(ctx, host, limit)
}

// noNewFlows lets the load run beyond the given time and checks that the
// host opened no flow after it.
func (run *faultRun) noNewFlows(ctx context.Context, host *cluster.Host, after time.Time) error {
	if err := underLoad(ctx, time.Until(after)); err != nil {
		return err
	}
	if err := run.progress(ctx); err != nil {
		return err
	}
	late, last, err := run.openedAfter(ctx, host, after)
	if late > 0 {
		run.violate("%d new flows at drained %s, the last one %s after the limit", late, host.Name, last.Round(time.Millisecond))
	}
	return err
}

// change makes one label change there and back, each until it is in force.
func (run *faultRun) change(ctx context.Context, host *cluster.Host) error {
	began := time.Now()
	revision, err := run.drain(ctx, host)
	if err != nil {
		return err
	}
	if err := run.inForce(ctx, revision, began); err != nil {
		return err
	}
	began = time.Now()
	if revision, err = run.undrain(ctx, host); err != nil {
		return err
	}
	return run.inForce(ctx, revision, began)
}

// Faults runs the named faults (all when none is named) one after the other
// and prints a table. The error is ErrBroken when any of them did not pass.
func Faults(ctx context.Context, names []string, options FaultOptions, output io.Writer) error {
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
	for _, figure := range result.Figures {
		fmt.Fprintf(output, "  %s\n", figure)
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
			result.Fault.Name, verdict, checked.Opened, checked.Answered, len(checked.Broken), len(checked.Unanswered),
			len(checked.RunTwice)+len(checked.OpenedTwice), len(checked.FalseNotRun), result.Took.Seconds())
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "print the table")
	}
	if !passed {
		return ErrBroken
	}
	return nil
}

// otherZones gives the zones besides one.
func otherZones(zone lb.Zone) []lb.Zone {
	return slices.DeleteFunc(slices.Clone(zones), func(other lb.Zone) bool { return other == zone })
}
