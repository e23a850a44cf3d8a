package runs

import (
	"context"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lab/check"
	"robinpulley.example/robinpulley/internal/lab/clientsim"
	"robinpulley.example/robinpulley/internal/lab/cluster"
	"robinpulley.example/robinpulley/internal/lb"
)

// ErrBroken is the error of a run in which a guarantee did not hold.
var ErrBroken = errors.New("a guarantee did not hold")

// Times of the demo.
const (
	demoLimit      = 90 * time.Second
	steadyTime     = 3 * time.Second
	afterChange    = 4 * time.Second // longer than the callers' stall limit
	afterKill      = 6 * time.Second
	machineListLag = time.Second     // until the platform notices a dead machine
	drainedWithin  = 3 * time.Second // no new flow at a leaving back end after this
)

var demoSize = size{
	balancersPerZone: 2,
	walletHosts:      6,
	docVaultHosts:    3,
	load:             cluster.Load{Feeds: 150, UDPFlows: 20, TapRate: 150, UploadRate: 4},
}

// demoOutcome is what the demo's table shows.
type demoOutcome struct {
	result    check.Result
	inForce   map[lb.Zone]time.Duration
	killed    time.Time
	lateFlows int // at the drained host
	elapsed   time.Duration
}

// Demo runs the demo and prints its table. The error is ErrBroken when a
// planned change broke a flow or any guarantee did not hold.
func Demo(ctx context.Context, options cluster.Options, output io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, demoLimit)
	defer cancel()
	running, err := startWorld(ctx, options, demoSize)
	if err != nil {
		return err
	}
	defer running.Close()
	fmt.Fprintf(output, "%d balancers in %d zones, %d hosts, store and fabric are up\n",
		len(running.Balancers), len(zones), len(running.Hosts))
	outcome, err := running.demo(ctx, output)
	if err != nil {
		return err
	}
	return outcome.print(output)
}

func (running *world) demo(ctx context.Context, output io.Writer) (*demoOutcome, error) {
	began := time.Now()
	outcome := &demoOutcome{}
	if err := running.startLoad(ctx); err != nil {
		return nil, err
	}
	if err := underLoad(ctx, steadyTime); err != nil {
		return nil, err
	}
	drained := running.Hosts[0]
	fmt.Fprintf(output, "draining %s by a label change\n", drained.Name)
	changed := time.Now()
	revision, err := running.Label(ctx, drained.Backend.Name, "app=none")
	if err != nil {
		return nil, err
	}
	if outcome.inForce, err = running.Operator.InForce(ctx, revision, zones, changed); err != nil {
		return nil, err
	}
	if err := underLoad(ctx, afterChange); err != nil {
		return nil, err
	}
	leaving := running.Balancers[0]
	fmt.Fprintf(output, "stopping %s as planned\n", leaving.Name)
	if err := running.StopPlanned(ctx, leaving); err != nil {
		return nil, err
	}
	if err := underLoad(ctx, afterChange); err != nil {
		return nil, err
	}
	killed := running.Balancers[len(running.Balancers)-1]
	fmt.Fprintf(output, "killing %s\n", killed.Name)
	outcome.killed = time.Now()
	if err := running.Kill(ctx, killed, machineListLag); err != nil {
		return nil, err
	}
	if err := underLoad(ctx, afterKill); err != nil {
		return nil, err
	}
	outcome.elapsed = time.Since(began)
	if err := running.StopCallers(ctx); err != nil {
		return nil, err
	}
	if outcome.lateFlows, _, err = running.openedAfter(ctx, drained, changed.Add(drainedWithin)); err != nil {
		return nil, err
	}
	outcome.result, err = running.Check(ctx, drained)
	return outcome, err
}

// planned gives the flows broken before the kill.
func (outcome *demoOutcome) planned() []clientsim.Failure {
	return slices.DeleteFunc(slices.Clone(outcome.result.Broken), func(failure clientsim.Failure) bool {
		return failure.UnixMillis >= outcome.killed.UnixMilli()
	})
}

func (outcome *demoOutcome) print(output io.Writer) error {
	result := &outcome.result
	planned := outcome.planned()
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	row := func(name string, value any) { fmt.Fprintf(table, "%s\t%v\n", name, value) }
	fmt.Fprintln(table)
	row("load ran for", outcome.elapsed.Round(100*time.Millisecond))
	row("flows opened", result.Opened)
	row("requests answered", result.Answered)
	row("pushes on feeds", result.Pushes)
	row("broken by planned changes", len(planned))
	row("broken by the kill", len(result.Broken)-len(planned))
	row("never opened", len(result.Unanswered))
	row("refused as not run / may have run", fmt.Sprintf("%d / %d", result.NotRun, result.MayHaveRun))
	row("run twice", len(result.RunTwice)+len(result.OpenedTwice))
	row("refused as not run, but ran", len(result.FalseNotRun))
	row("wrong back end", len(result.WrongService)+result.Misdelivered)
	row("mixed-up answers / truncated uploads", fmt.Sprintf("%d / %d", len(result.Mixed), len(result.Truncated)))
	row(fmt.Sprintf("new flows at the drained host after %s", drainedWithin), outcome.lateFlows)
	for _, zone := range zones {
		row("change in force in "+string(zone)+" after", outcome.inForce[zone].Round(time.Millisecond))
	}
	for _, service := range []lb.ServiceName{serviceWallet, serviceDocVault} {
		row("imbalance of "+string(service)+" (most flows at a host / mean)", fmt.Sprintf("%.2f", result.Imbalance[string(service)]))
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "print the table")
	}
	if len(planned) > 0 || outcome.lateFlows > 0 || !result.Clean() {
		printFailures(output, result)
		return ErrBroken
	}
	return nil
}

// printFailures lists the first failures of each sort.
func printFailures(output io.Writer, result *check.Result) {
	const most = 10
	for _, failure := range result.Broken[:min(most, len(result.Broken))] {
		fmt.Fprintf(output, "broken: %+v\n", failure)
	}
	lists := []struct {
		name  string
		names []string
	}{
		{"run twice", result.RunTwice},
		{"opened twice", result.OpenedTwice},
		{"false not-run", result.FalseNotRun},
		{"wrong service", result.WrongService},
		{"mixed up", result.Mixed},
		{"truncated", result.Truncated},
	}
	for _, list := range lists {
		for _, name := range list.names[:min(most, len(list.names))] {
			fmt.Fprintf(output, "%s: %s\n", list.name, name)
		}
	}
}
