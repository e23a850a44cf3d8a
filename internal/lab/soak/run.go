package soak

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lab/cluster"
	"robinpulley.example/robinpulley/internal/lab/platformsim"
)

// Times of the callers.
const (
	requestPause = 60 * time.Millisecond
	crowdPause   = 30 * time.Millisecond // of callers who crowd
	// refusedPause is long enough for nodes to have a line in their logs for each refusal.
	refusedPause = 150 * time.Millisecond
	longestFlow  = 20 // requests
	keptPause    = 120 * time.Millisecond
	toggledPart  = 4 // one flow in so many goes to a front end that changes
)

// Counts is what the callers saw.
type Counts struct {
	Opened, NotOpened, Refused, Answered atomic.Uint64
	// Kept are flows that were used until their hosts were gone, or the run ended.
	Kept atomic.Uint64
}

// Report is how a soak went.
type Report struct {
	Seed       uint64
	Steps      []Step
	Skipped    int // steps whose target another fault had
	Counts     *Counts
	StoreCalls int
	// Unknown is how many later packets came to a host that does not hold their
	// flow, such as those that were late and met a flow that had ended.
	Unknown uint64
	// Checked is how many openings were held against the routes, and the
	// draining hosts, that had to be in force.
	Checked    Checked
	Unopened   map[Cause]int // openings that nobody answered
	Violations []Violation
}

// Unchecked names the promises bound to a time that were never checked: such a
// run shows nothing of them.
func (report *Report) Unchecked() []Rule {
	var rules []Rule
	if report.Checked.Routes == 0 {
		rules = append(rules, RuleChange)
	}
	if report.Checked.Drains == 0 {
		rules = append(rules, RuleDrain)
	}
	if report.has("crowd") && report.Checked.Settled == 0 {
		rules = append(rules, RuleCrowd)
	}
	return rules
}

// Unreached names the promises that a fault of the run was meant to test, but that no
// opening came to: most nodes were disturbed, or had just started, whenever it was there.
func (report *Report) Unreached() []Rule {
	var rules []Rule
	if report.has("evacuate") && report.Checked.Evacuations == 0 {
		rules = append(rules, RuleZone)
	}
	if report.has("cold_most") && report.Checked.Cold == 0 {
		rules = append(rules, RuleCold)
	}
	return rules
}

// has tells whether a kind of fault was among the steps.
func (report *Report) has(kind string) bool {
	return slices.ContainsFunc(report.Steps, func(step Step) bool { return step.Fault == kind })
}

// run is one soak under way.
type run struct {
	*Site
	counts  Counts
	next    atomic.Uint64 // request ids
	skipped atomic.Int64
}

// Run does one soak. The error is that of the soak itself; what the balancers
// did wrong is in the report.
func Run(ctx context.Context, settings Settings, kinds []Fault, output io.Writer) (*Report, error) {
	site, end, err := newSite(ctx, settings)
	if err != nil {
		return nil, err
	}
	defer end()
	r := &run{Site: site}
	report := &Report{Seed: settings.Seed, Steps: settings.Steps, Counts: &r.counts}
	if report.Steps == nil {
		report.Steps = Plan(settings.Seed, settings.Duration, kinds, settings.Size)
	}
	loading, stopLoad := context.WithCancel(ctx)
	var load sync.WaitGroup
	for index := range settings.Size.Flows {
		caller := site.callers[index%len(site.callers)]
		load.Go(func() { r.load(loading, caller, uint64(index), habits{longestFlow, requestPause}) })
	}
	for index := range settings.Size.Kept {
		load.Go(func() { r.keep(loading, site.callers[index%len(site.callers)], index) })
	}
	site.crowd = r.crowd
	err = r.play(ctx, report.Steps, kinds, output)
	if err == nil {
		err = r.recover(ctx)
	}
	stopLoad()
	load.Wait()
	report.Unknown = site.checkPackets()
	site.explain()
	report.Skipped = int(r.skipped.Load())
	report.StoreCalls = site.Store.Calls()
	report.Checked = site.Checker.Checked()
	report.Unopened = site.Checker.Unopened()
	report.Violations = site.Checker.Violations()
	return report, err
}

// play injects the steps at their times and waits for their ends.
func (r *run) play(ctx context.Context, steps []Step, kinds []Fault, output io.Writer) error {
	byName := make(map[string]Fault)
	for _, kind := range kinds {
		byName[kind.Name()] = kind
	}
	begun := time.Now()
	failures := make(chan error, len(steps))
	var injected sync.WaitGroup
	for _, step := range steps {
		if err := sleep(ctx, step.At-time.Since(begun)); err != nil {
			return err
		}
		fmt.Fprintf(output, "%8s  %-16s target %d for %s\n", step.At, step.Fault, step.Target, step.Lasts)
		injected.Go(func() { failures <- r.inject(ctx, byName[step.Fault], step) })
	}
	injected.Wait()
	close(failures)
	var all error
	for err := range failures {
		all = errors.CombineErrors(all, err)
	}
	return all
}

// ErrHeld is given by Inject when another fault has the target.
var ErrHeld = errors.New("another fault has the target")

func (r *run) inject(ctx context.Context, kind Fault, step Step) error {
	end, err := kind.Inject(ctx, r.Site, step.Target)
	if errors.Is(err, ErrHeld) {
		r.skipped.Add(1)
		return nil
	}
	if err != nil {
		return errors.Wrapf(err, "%s at %s", step.Fault, step.At)
	}
	_ = sleep(ctx, step.Lasts) // the fault is ended in any case
	return errors.Wrapf(end(), "end of %s at %s", step.Fault, step.At)
}

// sleep waits, or gives the error of ctx.
func sleep(ctx context.Context, duration time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(duration):
		return nil
	}
}

// recoveredOpenings in a row show that all is served again.
const recoveredOpenings = 100

// recover checks that all is served again once the faults are over.
func (r *run) recover(ctx context.Context) error {
	if r.Settings.Bounds.Recovery == 0 {
		return nil
	}
	limited, cancel := context.WithTimeout(ctx, r.Settings.Bounds.Recovery)
	defer cancel()
	row := 0
	err := cluster.Until(limited, "all is served again", func() (bool, error) {
		for ; row < recoveredOpenings; row++ {
			flow, err := r.callers[row%len(r.callers)].Open(Fronts[row%len(Fronts)])
			if err != nil {
				row = 0
				return false, err
			}
			flow.Close()
		}
		return true, nil
	})
	if err != nil && ctx.Err() == nil {
		r.Checker.Report(time.Now(), RuleRecover, "%v", err)
	}
	return ctx.Err()
}

// crowdTimes is how many times as many flows callers of a zone have who crowd, each of up
// to so many requests: with the shorter pause they ask seven times as much.
const (
	crowdTimes  = 5
	crowdedFlow = 6
)

// crowd adds load of a zone's callers until ctx ends.
func (r *run) crowd(ctx context.Context, zone int) {
	var load sync.WaitGroup
	count := (crowdTimes - 1) * r.Settings.Size.Flows / len(r.callers)
	for index := range count {
		load.Go(func() { r.load(ctx, r.callers[zone], uint64(1<<20+index), habits{crowdedFlow, crowdPause}) })
	}
	load.Wait()
}

// habits are how long flows are at the most, in requests, and the pause after each of those.
type habits struct {
	longest int
	pause   time.Duration
}

// load opens flows one after the other and uses each for a while.
func (r *run) load(ctx context.Context, caller *platformsim.Caller, stream uint64, as habits) {
	random := rand.New(rand.NewPCG(r.Settings.Seed, 2+stream))
	for ctx.Err() == nil {
		front := Fronts[random.IntN(len(Fronts))]
		if random.IntN(toggledPart) == 0 {
			front = Toggled[random.IntN(len(Toggled))]
		}
		opening := Opening{Front: front, SentAt: time.Now()}
		flow, err := caller.Open(front)
		opening.Node, opening.Copies, opening.Caller = flow.Node, flow.Copies, flow.Address()
		switch {
		case errors.Is(err, platformsim.ErrReset):
			r.counts.Refused.Add(1)
			opening.ByNode = errors.Is(err, platformsim.ErrResetByNode)
			r.Checker.Opened(opening)
			_ = sleep(ctx, refusedPause)
			continue
		case err != nil:
			r.counts.NotOpened.Add(1)
			r.Checker.NotOpened(time.Now(), flow.Node, front)
			continue
		}
		r.counts.Opened.Add(1)
		r.use(ctx, flow, opening, 1+random.IntN(as.longest), as.pause)
		flow.Close()
	}
}

// keep opens a flow and uses it until its host is gone, and then another one.
func (r *run) keep(ctx context.Context, caller *platformsim.Caller, index int) {
	front := Fronts[index%len(Fronts)]
	for ctx.Err() == nil {
		opening := Opening{Front: front, SentAt: time.Now()}
		flow, err := caller.Open(front)
		opening.Node, opening.Copies, opening.Caller = flow.Node, flow.Copies, flow.Address()
		if err != nil {
			_ = sleep(ctx, refusedPause) // openings are judged by load
			continue
		}
		r.counts.Kept.Add(1)
		r.use(ctx, flow, opening, math.MaxInt, keptPause)
		flow.Close()
	}
}

// use sends requests on an open flow, one after the other.
func (r *run) use(ctx context.Context, flow *platformsim.Flow, opening Opening, requests int, pause time.Duration) {
	first := ""
	for range requests {
		id := r.next.Add(1)
		r.Checker.Sends(id, opening.Front)
		host, err := flow.Request(id)
		now := time.Now()
		switch {
		case errors.Is(err, platformsim.ErrMixed):
			r.Checker.Report(now, RuleMixed, "%v, at %s", err, host)
			return
		case err != nil:
			if first != "" { // else the host is not known
				err = errors.Wrapf(err, "opened %s ago at %v, accepted by %v",
					now.Sub(opening.SentAt).Round(time.Millisecond), flow.Opened, r.hostsAt(flow.Accepting))
				r.Checker.FlowEnded(now, first, flow.Node, err)
			}
			return
		case first == "":
			first = host
			opening.Service = r.service(host)
			r.Checker.Opened(opening)
		case host != first:
			r.Checker.FlowEnded(now, first, flow.Node, errors.Newf("answered by %s", host))
			return
		}
		r.counts.Answered.Add(1)
		if sleep(ctx, pause) != nil {
			return
		}
	}
}

// Print writes the report as a table.
func (report *Report) Print(output io.Writer) error {
	counts := report.Counts
	rows := []struct {
		name  string
		value any
	}{
		{"seed", report.Seed},
		{"faults", len(report.Steps)},
		{"of them not injected, since another had the target", report.Skipped},
		{"flows opened", counts.Opened.Load()},
		{"flows kept until their hosts were gone", counts.Kept.Load()},
		{"requests answered", counts.Answered.Load()},
		{"openings refused", counts.Refused.Load()},
		{"never opened", counts.NotOpened.Load()},
		{"of them, " + string(CauseNode), report.Unopened[CauseNode]},
		{"of them, " + string(CauseOther), report.Unopened[CauseOther]},
		{"of them, " + string(CauseHost), report.Unopened[CauseHost]},
		{"of them, " + string(CauseNone), report.Unopened[CauseNone]},
		{"packets at a host that does not hold their flow", report.Unknown},
		{"calls to the store", report.StoreCalls},
		{"openings checked against the routes in force", report.Checked.Routes},
		{"openings checked while hosts had drained for long", report.Checked.Drains},
		{"openings checked while a zone was evacuated for long", report.Checked.Evacuations},
		{"openings at hosts that had just started", report.Checked.Cold},
		{"openings refused by their only node, none of them at a host", report.Checked.Refusals},
		{"of them, while callers crowded or back ends were few", report.Checked.Crowded},
		{"openings checked after a crowd had gone", report.Checked.Settled},
		{"openings refused for load while nobody crowded", report.Checked.Chance},
		{"promises not kept", len(report.Violations)},
	}
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintf(table, "%s\t%v\n", row.name, row.value)
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "print the table")
	}
	for _, violation := range report.Violations {
		fmt.Fprintf(output, "%s  %-8s %s\n", violation.At.UTC().Format(time.RFC3339Nano), violation.Rule, violation.Detail)
	}
	return nil
}
