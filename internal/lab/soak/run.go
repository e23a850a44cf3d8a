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

// Behaviour of the clients.
const (
	flowRequestPause  = 60 * time.Millisecond
	surgeRequestPause = 30 * time.Millisecond // in the additional flows of a surge
	// refusalPause limits the rate of refusals, so that the nodes' rate-limited logs have a line
	// for each refusal.
	refusalPause           = 150 * time.Millisecond
	maxFlowRequests        = 20 // per short flow
	persistentRequestPause = 120 * time.Millisecond
	toggledFlowInterval    = 4 // one flow in toggledFlowInterval goes to one of ToggledFrontends
)

// Counts holds the counters of the clients.
type Counts struct {
	Opened, Unanswered, Refused, Answered atomic.Uint64
	// Persistent counts flows that were used until their hosts stopped or the run ended.
	Persistent atomic.Uint64
}

// Report is the result of a soak.
type Report struct {
	Seed          uint64
	Steps         []Step
	Skipped       int // steps whose target was reserved by another fault
	Counts        *Counts
	StoreRequests int
	// UnknownFlowPackets counts packets after the opening that reached a host that does not hold
	// their flow, for example because they were late and the flow had ended.
	UnknownFlowPackets uint64
	// Checked counts how often each guarantee with a time limit was verified.
	Checked    Checked
	Unanswered map[Cause]int // openings that remained unanswered
	Violations []Violation
}

// UnverifiedRules returns the guarantees with a time limit that the run never verified. The run is
// no evidence for them.
func (report *Report) UnverifiedRules() []Rule {
	var rules []Rule
	if report.Checked.Routes == 0 {
		rules = append(rules, RuleChange)
	}
	if report.Checked.Drains == 0 {
		rules = append(rules, RuleDrain)
	}
	if report.includesFault("crowd") && report.Checked.AfterSurge == 0 {
		rules = append(rules, RuleSurge)
	}
	return rules
}

// UnexercisedRules returns the guarantees that a fault of the run was meant to exercise, but that
// applied to no opening, for example because most nodes were disturbed or had just started during
// the fault.
func (report *Report) UnexercisedRules() []Rule {
	var rules []Rule
	if report.includesFault("evacuate") && report.Checked.Evacuations == 0 {
		rules = append(rules, RuleZone)
	}
	if report.includesFault("cold_most") && report.Checked.ColdOpenings == 0 {
		rules = append(rules, RuleCold)
	}
	return rules
}

// includesFault reports whether the steps include a kind of fault.
func (report *Report) includesFault(kind string) bool {
	return slices.ContainsFunc(report.Steps, func(step Step) bool { return step.Fault == kind })
}

// soakRun is the state of a running soak.
type soakRun struct {
	*Site
	counts        Counts
	lastRequestID atomic.Uint64
	skipped       atomic.Int64
}

// Run performs one soak. The report holds the violations by the balancers. The returned error is a
// failure of the soak itself.
func Run(ctx context.Context, settings Settings, kinds []Fault, output io.Writer) (*Report, error) {
	site, end, err := newSite(ctx, settings)
	if err != nil {
		return nil, err
	}
	defer end()
	r := &soakRun{Site: site}
	report := &Report{Seed: settings.Seed, Steps: settings.Steps, Counts: &r.counts}
	if report.Steps == nil {
		report.Steps = Plan(settings.Seed, settings.Duration, kinds, settings.Size)
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	var load sync.WaitGroup
	for index := range settings.Size.ShortFlows {
		client := site.clients[index%len(site.clients)]
		load.Go(func() {
			r.generateFlows(loadCtx, client, uint64(index), flowPattern{maxFlowRequests, flowRequestPause})
		})
	}
	for index := range settings.Size.PersistentFlows {
		load.Go(func() { r.generatePersistentFlows(loadCtx, site.clients[index%len(site.clients)], index) })
	}
	site.generateSurge = r.runSurge
	err = r.injectSteps(ctx, report.Steps, kinds, output)
	if err == nil {
		err = r.checkRecovery(ctx)
	}
	stopLoad()
	load.Wait()
	report.UnknownFlowPackets = site.checkPackets()
	site.classifyRefusals()
	report.Skipped = int(r.skipped.Load())
	report.StoreRequests = site.Store.RequestCount()
	report.Checked = site.Checker.Checked()
	report.Unanswered = site.Checker.Unanswered()
	report.Violations = site.Checker.Violations()
	return report, err
}

// injectSteps injects each step at its time and waits until all faults have ended.
func (r *soakRun) injectSteps(ctx context.Context, steps []Step, kinds []Fault, output io.Writer) error {
	kindByName := make(map[string]Fault)
	for _, kind := range kinds {
		kindByName[kind.Name()] = kind
	}
	start := time.Now()
	results := make(chan error, len(steps))
	var injections sync.WaitGroup
	for _, step := range steps {
		if err := sleep(ctx, step.At-time.Since(start)); err != nil {
			return err
		}
		fmt.Fprintf(output, "%8s  %-16s target %d for %s\n", step.At, step.Fault, step.Target, step.Duration)
		injections.Go(func() { results <- r.inject(ctx, kindByName[step.Fault], step) })
	}
	injections.Wait()
	close(results)
	var combined error
	for err := range results {
		combined = errors.CombineErrors(combined, err)
	}
	return combined
}

// ErrTargetLocked is returned by Fault.Inject if another fault has reserved the target.
var ErrTargetLocked = errors.New("another fault has reserved the target")

// inject performs one step: it starts the fault, waits and ends the fault. A step whose target is
// reserved by another fault is skipped.
func (r *soakRun) inject(ctx context.Context, kind Fault, step Step) error {
	end, err := kind.Inject(ctx, r.Site, step.Target)
	if errors.Is(err, ErrTargetLocked) {
		r.skipped.Add(1)
		return nil
	}
	if err != nil {
		return errors.Wrapf(err, "%s at %s", step.Fault, step.At)
	}
	_ = sleep(ctx, step.Duration) // the fault must be ended even if ctx is done
	return errors.Wrapf(end(), "end of %s at %s", step.Fault, step.At)
}

// sleep waits for the duration. If ctx ends first, sleep returns its error.
func sleep(ctx context.Context, duration time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(duration):
		return nil
	}
}

// recoveryOpenings is the number of consecutive successful openings after which the site counts as
// recovered.
const recoveryOpenings = 100

// checkRecovery verifies that all openings are served again within Bounds.RecoveryLimit after the
// last fault.
func (r *soakRun) checkRecovery(ctx context.Context) error {
	if r.Settings.Bounds.RecoveryLimit == 0 {
		return nil
	}
	recoveryCtx, cancel := context.WithTimeout(ctx, r.Settings.Bounds.RecoveryLimit)
	defer cancel()
	consecutive := 0
	err := cluster.WaitUntil(recoveryCtx, "all openings are served again", func() (bool, error) {
		for ; consecutive < recoveryOpenings; consecutive++ {
			flow, err := r.clients[consecutive%len(r.clients)].Open(StableFrontends[consecutive%len(StableFrontends)])
			if err != nil {
				consecutive = 0
				return false, err
			}
			flow.Close()
		}
		return true, nil
	})
	if err != nil && ctx.Err() == nil {
		r.Checker.AddViolation(time.Now(), RuleRecover, "%v", err)
	}
	return ctx.Err()
}

// Size of a surge: the clients of the zone have surgeFactor times their usual number of flows. As
// the additional flows also have a shorter pause, the zone's request rate is about seven times the
// usual one.
const (
	surgeFactor          = 5
	maxSurgeFlowRequests = 6 // per additional flow
)

// runSurge adds flows from a zone's clients until ctx ends.
func (r *soakRun) runSurge(ctx context.Context, zone int) {
	var load sync.WaitGroup
	count := (surgeFactor - 1) * r.Settings.Size.ShortFlows / len(r.clients)
	for index := range count {
		load.Go(func() {
			r.generateFlows(ctx, r.clients[zone], uint64(1<<20+index), flowPattern{maxSurgeFlowRequests, surgeRequestPause})
		})
	}
	load.Wait()
}

// flowPattern describes the short flows of a client: the maximum number of requests per flow and
// the pause after each request.
type flowPattern struct {
	maxRequests  int
	requestPause time.Duration
}

// generateFlows opens flows one after the other and sends a random number of requests on each.
func (r *soakRun) generateFlows(ctx context.Context, client *platformsim.Client, stream uint64, pattern flowPattern) {
	random := rand.New(rand.NewPCG(r.Settings.Seed, 2+stream))
	for ctx.Err() == nil {
		frontend := StableFrontends[random.IntN(len(StableFrontends))]
		if random.IntN(toggledFlowInterval) == 0 {
			frontend = ToggledFrontends[random.IntN(len(ToggledFrontends))]
		}
		opening := Opening{Frontend: frontend, SentAt: time.Now()}
		flow, err := client.Open(frontend)
		opening.Node, opening.ExtraCopies, opening.Client = flow.Node, flow.Copies, flow.Address()
		switch {
		case errors.Is(err, platformsim.ErrReset):
			r.counts.Refused.Add(1)
			opening.RefusedByNode = errors.Is(err, platformsim.ErrResetByNode)
			r.Checker.RecordOpening(opening)
			_ = sleep(ctx, refusalPause)
			continue
		case err != nil:
			r.counts.Unanswered.Add(1)
			r.Checker.RecordUnanswered(time.Now(), flow.Node, frontend)
			continue
		}
		r.counts.Opened.Add(1)
		r.sendRequests(ctx, flow, opening, 1+random.IntN(pattern.maxRequests), pattern.requestPause)
		flow.Close()
	}
}

// generatePersistentFlows opens a flow and uses it until its host stops, and then opens the next.
func (r *soakRun) generatePersistentFlows(ctx context.Context, client *platformsim.Client, index int) {
	frontend := StableFrontends[index%len(StableFrontends)]
	for ctx.Err() == nil {
		opening := Opening{Frontend: frontend, SentAt: time.Now()}
		flow, err := client.Open(frontend)
		opening.Node, opening.ExtraCopies, opening.Client = flow.Node, flow.Copies, flow.Address()
		if err != nil {
			_ = sleep(ctx, refusalPause) // generateFlows verifies the outcomes of openings
			continue
		}
		r.counts.Persistent.Add(1)
		r.sendRequests(ctx, flow, opening, math.MaxInt, persistentRequestPause)
		flow.Close()
	}
}

// sendRequests sends requests on an open flow one after the other, and records failures and
// answers from the wrong host.
func (r *soakRun) sendRequests(ctx context.Context, flow *platformsim.Flow, opening Opening, requests int, pause time.Duration) {
	flowHost := ""
	for range requests {
		id := r.lastRequestID.Add(1)
		r.Checker.RecordRequest(id, opening.Frontend)
		host, err := flow.Request(id)
		now := time.Now()
		switch {
		case errors.Is(err, platformsim.ErrWrongAnswer):
			r.Checker.AddViolation(now, RuleMixedAnswers, "%v, at %s", err, host)
			return
		case err != nil:
			if flowHost != "" { // otherwise the host is unknown
				err = errors.Wrapf(err, "opened %s ago at %v, accepted by %v",
					now.Sub(opening.SentAt).Round(time.Millisecond), flow.OpeningNodes, r.hostsAt(flow.AcceptingHosts))
				r.Checker.RecordFlowFailure(now, flowHost, flow.Node, err)
			}
			return
		case flowHost == "":
			flowHost = host
			opening.Service = r.serviceOf(host)
			r.Checker.RecordOpening(opening)
		case host != flowHost:
			r.Checker.RecordFlowFailure(now, flowHost, flow.Node, errors.Newf("answered by %s", host))
			return
		}
		r.counts.Answered.Add(1)
		if sleep(ctx, pause) != nil {
			return
		}
	}
}

// Print writes the report as a table, followed by the violations.
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
		{"flows kept until their hosts were gone", counts.Persistent.Load()},
		{"requests answered", counts.Answered.Load()},
		{"openings refused", counts.Refused.Load()},
		{"never opened", counts.Unanswered.Load()},
		{"of them, " + string(CauseNode), report.Unanswered[CauseNode]},
		{"of them, " + string(CauseOther), report.Unanswered[CauseOther]},
		{"of them, " + string(CauseHost), report.Unanswered[CauseHost]},
		{"of them, " + string(CauseNone), report.Unanswered[CauseNone]},
		{"packets at a host that does not hold their flow", report.UnknownFlowPackets},
		{"calls to the store", report.StoreRequests},
		{"openings checked against the routes in force", report.Checked.Routes},
		{"openings checked while hosts had drained for long", report.Checked.Drains},
		{"openings checked while a zone was evacuated for long", report.Checked.Evacuations},
		{"openings at hosts that had just started", report.Checked.ColdOpenings},
		{"openings refused by their only node, none of them at a host", report.Checked.Refusals},
		{"of them, while callers crowded or back ends were few", report.Checked.DuringSurge},
		{"openings checked after a crowd had gone", report.Checked.AfterSurge},
		{"openings refused for load while nobody crowded", report.Checked.QuietLoadRefusals},
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
