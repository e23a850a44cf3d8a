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

// ErrGuaranteeViolated is returned for a run in which a guarantee did not hold.
var ErrGuaranteeViolated = errors.New("a guarantee did not hold")

// Times of the demo.
const (
	demoLimit           = 90 * time.Second
	initialLoadTime     = 3 * time.Second
	loadTimeAfterChange = 4 * time.Second // longer than the clients' stall limit
	loadTimeAfterKill   = 6 * time.Second
	machineListLag      = time.Second     // time that the platform takes to detect a failed machine
	drainLimit          = 3 * time.Second // maximum time until a draining back end receives no new flows
)

var demoSize = size{
	balancersPerZone: 2,
	walletHosts:      6,
	docVaultHosts:    3,
	load:             cluster.Load{Feeds: 150, UDPFlows: 20, TapRate: 150, UploadRate: 4},
}

// demoOutcome holds the results in the demo's table.
type demoOutcome struct {
	result    check.Result
	inForce   map[lb.Zone]time.Duration
	killedAt  time.Time
	lateFlows int // new flows at the drained host after drainLimit
	elapsed   time.Duration
}

// RunDemo runs the demo and prints its table. It returns ErrGuaranteeViolated if a planned change
// broke a flow or another guarantee did not hold.
func RunDemo(ctx context.Context, options cluster.Options, output io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, demoLimit)
	defer cancel()
	env, err := startEnvironment(ctx, options, demoSize)
	if err != nil {
		return err
	}
	defer env.Close()
	fmt.Fprintf(output, "%d balancers in %d zones, %d hosts, store and fabric are up\n",
		len(env.Balancers), len(zones), len(env.Hosts))
	outcome, err := env.demo(ctx, output)
	if err != nil {
		return err
	}
	return outcome.print(output)
}

// demo drains a host, stops a balancer as planned and kills another one, all under load.
func (env *environment) demo(ctx context.Context, output io.Writer) (*demoOutcome, error) {
	start := time.Now()
	outcome := &demoOutcome{}
	if err := env.startLoad(ctx); err != nil {
		return nil, err
	}
	if err := runLoadFor(ctx, initialLoadTime); err != nil {
		return nil, err
	}
	drained := env.Hosts[0]
	fmt.Fprintf(output, "draining %s by a label change\n", drained.Name)
	changedAt := time.Now()
	revision, err := env.SetLabel(ctx, drained.Backend.Name, "app=none")
	if err != nil {
		return nil, err
	}
	if outcome.inForce, err = env.Operator.AwaitInForce(ctx, revision, zones, changedAt); err != nil {
		return nil, err
	}
	if err := runLoadFor(ctx, loadTimeAfterChange); err != nil {
		return nil, err
	}
	leaving := env.Balancers[0]
	fmt.Fprintf(output, "stopping %s as planned\n", leaving.Name)
	if err := env.StopPlanned(ctx, leaving); err != nil {
		return nil, err
	}
	if err := runLoadFor(ctx, loadTimeAfterChange); err != nil {
		return nil, err
	}
	killed := env.Balancers[len(env.Balancers)-1]
	fmt.Fprintf(output, "killing %s\n", killed.Name)
	outcome.killedAt = time.Now()
	if err := env.Kill(ctx, killed, machineListLag); err != nil {
		return nil, err
	}
	if err := runLoadFor(ctx, loadTimeAfterKill); err != nil {
		return nil, err
	}
	outcome.elapsed = time.Since(start)
	if err := env.StopClients(ctx); err != nil {
		return nil, err
	}
	if outcome.lateFlows, _, err = env.openedAfter(ctx, drained, changedAt.Add(drainLimit)); err != nil {
		return nil, err
	}
	outcome.result, err = env.Verify(ctx, drained)
	return outcome, err
}

// brokenBeforeKill returns the flows that broke before the kill. Planned changes broke them.
func (outcome *demoOutcome) brokenBeforeKill() []clientsim.Failure {
	return slices.DeleteFunc(slices.Clone(outcome.result.BrokenFlows), func(failure clientsim.Failure) bool {
		return failure.UnixMillis >= outcome.killedAt.UnixMilli()
	})
}

func (outcome *demoOutcome) print(output io.Writer) error {
	result := &outcome.result
	brokenByChanges := outcome.brokenBeforeKill()
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	row := func(name string, value any) { fmt.Fprintf(table, "%s\t%v\n", name, value) }
	fmt.Fprintln(table)
	row("load ran for", outcome.elapsed.Round(100*time.Millisecond))
	row("flows opened", result.Opened)
	row("requests answered", result.Answered)
	row("pushes on feeds", result.Pushes)
	row("broken by planned changes", len(brokenByChanges))
	row("broken by the kill", len(result.BrokenFlows)-len(brokenByChanges))
	row("never opened", len(result.NeverOpened))
	row("refused as not run / may have run", fmt.Sprintf("%d / %d", result.NotRun, result.MayHaveRun))
	row("run twice", len(result.DuplicateRuns)+len(result.DuplicateOpenings))
	row("refused as not run, but ran", len(result.FalseNotRun))
	row("wrong back end", len(result.WrongServiceAnswers)+result.MisdeliveredPackets)
	row("mixed-up answers / truncated uploads", fmt.Sprintf("%d / %d", len(result.MixedAnswers), len(result.TruncatedUploads)))
	row(fmt.Sprintf("new flows at the drained host after %s", drainLimit), outcome.lateFlows)
	for _, zone := range zones {
		row("change in force in "+string(zone)+" after", outcome.inForce[zone].Round(time.Millisecond))
	}
	for _, service := range []lb.ServiceName{serviceWallet, serviceDocVault} {
		row("imbalance of "+string(service)+" (most flows at a host / mean)", fmt.Sprintf("%.2f", result.Imbalance[string(service)]))
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "print the table")
	}
	if len(brokenByChanges) > 0 || outcome.lateFlows > 0 || !result.Clean() {
		printFailures(output, result)
		return ErrGuaranteeViolated
	}
	return nil
}

// printFailures lists the first failures of each kind.
func printFailures(output io.Writer, result *check.Result) {
	const maxListed = 10
	for _, failure := range result.BrokenFlows[:min(maxListed, len(result.BrokenFlows))] {
		fmt.Fprintf(output, "broken: %+v\n", failure)
	}
	lists := []struct {
		name  string
		names []string
	}{
		{"run twice", result.DuplicateRuns},
		{"opened twice", result.DuplicateOpenings},
		{"false not-run", result.FalseNotRun},
		{"wrong service", result.WrongServiceAnswers},
		{"mixed up", result.MixedAnswers},
		{"truncated", result.TruncatedUploads},
	}
	for _, list := range lists {
		for _, name := range list.names[:min(maxListed, len(list.names))] {
			fmt.Fprintf(output, "%s: %s\n", list.name, name)
		}
	}
}
