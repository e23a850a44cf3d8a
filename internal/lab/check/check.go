// Package check verifies the guarantees of the balancers against the reports of clients and hosts:
// no flow is broken, no request runs twice, no request that was refused as not run has run, and
// answers are complete and from the right service.
package check

import (
	"slices"
	"strings"

	"robinpulley.example/robinpulley/internal/lab/clientsim"
	"robinpulley.example/robinpulley/internal/lab/hostsim"
)

// Result holds the counts and violations of one run.
type Result struct {
	Started    int
	Opened     int
	Answered   int
	Retried    int
	Pushes     int
	NotRun     int // openings that were refused as not run
	MayHaveRun int // openings that were refused as possibly run
	Shed       int // requests that hosts refused

	BrokenFlows         []clientsim.Failure // established flows that were broken
	NeverOpened         []clientsim.Failure // requests whose flow was never established
	DuplicateRuns       []string            // requests that ran more than once, over all attempts
	DuplicateOpenings   []string            // openings that reached more than one host
	FalseNotRun         []string            // refused as not run, but the attempt ran or the opening reached a host
	WrongServiceAnswers []string            // answers from another service
	MisdeliveredPackets int                 // packets that reached a host of another service
	MixedAnswers        []string            // answers that belong to another request
	TruncatedUploads    []string            // uploads that arrived incomplete

	// Imbalance is the result of the function Imbalance.
	Imbalance map[string]float64
}

// Verify evaluates the reports of all clients and hosts of one run.
func Verify(clients []clientsim.Report, hosts []hostsim.Report) Result {
	result := Result{Imbalance: Imbalance(hosts)}
	for i := range clients {
		result.addClient(&clients[i])
	}
	for i := range hosts {
		result.MisdeliveredPackets += hosts[i].WrongService
		result.Shed += hosts[i].Shed
	}
	runs := countRuns(hosts)
	result.DuplicateRuns = repeatedNames(runs.byRequest)
	result.DuplicateOpenings = repeatedNames(runs.openings)
	for i := range clients {
		result.FalseNotRun = append(result.FalseNotRun, findFalseNotRun(&clients[i], &runs)...)
	}
	return result
}

// Clean reports whether the result has no violations except broken and never opened flows. The
// caller must evaluate these itself, as some faults allow them.
func (result *Result) Clean() bool {
	return len(result.DuplicateRuns) == 0 && len(result.DuplicateOpenings) == 0 && len(result.FalseNotRun) == 0 &&
		len(result.WrongServiceAnswers) == 0 && result.MisdeliveredPackets == 0 &&
		len(result.MixedAnswers) == 0 && len(result.TruncatedUploads) == 0
}

func (result *Result) addClient(client *clientsim.Report) {
	result.Started += client.Started
	result.Opened += client.Opened
	result.Answered += client.Answered
	result.Retried += client.Retried
	result.Pushes += client.Pushes
	result.NotRun += len(client.NotRun)
	result.MayHaveRun += len(client.MayHaveRun)
	result.BrokenFlows = append(result.BrokenFlows, client.Broken...)
	result.NeverOpened = append(result.NeverOpened, client.Unanswered...)
	result.WrongServiceAnswers = append(result.WrongServiceAnswers, client.WrongService...)
	result.MixedAnswers = append(result.MixedAnswers, client.Mixed...)
	result.TruncatedUploads = append(result.TruncatedUploads, client.Truncated...)
}

// runCounts holds, over all hosts, the number of runs of each attempt and each request, and the
// number of hosts that each opening reached.
type runCounts struct {
	byAttempt map[string]int
	byRequest map[string]int
	openings  map[string]int
}

func countRuns(hosts []hostsim.Report) runCounts {
	counts := runCounts{byAttempt: map[string]int{}, byRequest: map[string]int{}, openings: map[string]int{}}
	for i := range hosts {
		for attempt, runs := range hosts[i].Runs {
			request, _, _ := strings.Cut(attempt, "/")
			counts.byAttempt[attempt] += runs
			counts.byRequest[request] += runs
		}
		for opening := range hosts[i].Openings {
			counts.openings[opening]++
		}
	}
	return counts
}

// repeatedNames returns the names with a count above one, in order.
func repeatedNames(counts map[string]int) []string {
	var repeated []string
	for name, count := range counts {
		if count > 1 {
			repeated = append(repeated, name)
		}
	}
	slices.Sort(repeated)
	return repeated
}

// findFalseNotRun returns the attempts and openings of a client that were refused as not run,
// although they ran or reached a host.
func findFalseNotRun(client *clientsim.Report, runs *runCounts) []string {
	found := slices.Clone(client.FalseNotRun)
	for _, opening := range client.NotRun {
		if runs.openings[opening] > 0 {
			found = append(found, opening)
		}
	}
	for _, attempt := range client.NotRunIDs {
		if runs.byAttempt[attempt] > 0 {
			found = append(found, attempt)
		}
	}
	slices.Sort(found)
	return slices.Compact(found)
}

// Imbalance returns, for each service, the highest number of openings at one host divided by the
// mean of its hosts.
func Imbalance(hosts []hostsim.Report) map[string]float64 {
	openings := map[string][]int{}
	for i := range hosts {
		openings[hosts[i].Service] = append(openings[hosts[i].Service], len(hosts[i].Openings))
	}
	result := map[string]float64{}
	for service, counts := range openings {
		total := 0
		for _, count := range counts {
			total += count
		}
		if total > 0 {
			result[service] = float64(slices.Max(counts)) * float64(len(counts)) / float64(total)
		}
	}
	return result
}
