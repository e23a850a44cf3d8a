// Package check compares what callers and hosts have seen with what the
// balancers promise: no flow broken, no request run twice, no request refused
// as not run that ran, whole answers of the right service.
package check

import (
	"slices"
	"strings"

	"robinpulley.example/robinpulley/internal/lab/clientsim"
	"robinpulley.example/robinpulley/internal/lab/hostsim"
)

// Result is the outcome of one run.
type Result struct {
	Started    int
	Opened     int
	Answered   int
	Retried    int
	Pushes     int
	NotRun     int // openings refused as not run
	MayHaveRun int // openings refused as may have run
	Shed       int // requests refused by hosts

	Broken       []clientsim.Failure // flows that were open
	Unanswered   []clientsim.Failure // requests that never opened
	RunTwice     []string            // requests that ran more than once, over all tries
	OpenedTwice  []string            // openings that reached two hosts
	FalseNotRun  []string            // refused as not run, but ran or opened
	WrongService []string            // answers of another service
	Misdelivered int                 // packets that reached a host of another service
	Mixed        []string            // answers to another request
	Truncated    []string            // uploads that did not land whole

	// Imbalance is that of Imbalance.
	Imbalance map[string]float64
}

// Run checks the reports of all callers and hosts of one run.
func Run(callers []clientsim.Report, hosts []hostsim.Report) Result {
	result := Result{Imbalance: Imbalance(hosts)}
	for i := range callers {
		result.addCaller(&callers[i])
	}
	for i := range hosts {
		result.Misdelivered += hosts[i].WrongService
		result.Shed += hosts[i].Shed
	}
	runs := countRuns(hosts)
	result.RunTwice = overOne(runs.byRequest)
	result.OpenedTwice = overOne(runs.openings)
	for i := range callers {
		result.FalseNotRun = append(result.FalseNotRun, falseNotRun(&callers[i], &runs)...)
	}
	return result
}

// Clean tells whether nothing went wrong apart from broken and unanswered
// flows, which are judged by their time and host.
func (result *Result) Clean() bool {
	return len(result.RunTwice) == 0 && len(result.OpenedTwice) == 0 && len(result.FalseNotRun) == 0 &&
		len(result.WrongService) == 0 && result.Misdelivered == 0 &&
		len(result.Mixed) == 0 && len(result.Truncated) == 0
}

func (result *Result) addCaller(caller *clientsim.Report) {
	result.Started += caller.Started
	result.Opened += caller.Opened
	result.Answered += caller.Answered
	result.Retried += caller.Retried
	result.Pushes += caller.Pushes
	result.NotRun += len(caller.NotRun)
	result.MayHaveRun += len(caller.MayHaveRun)
	result.Broken = append(result.Broken, caller.Broken...)
	result.Unanswered = append(result.Unanswered, caller.Unanswered...)
	result.WrongService = append(result.WrongService, caller.WrongService...)
	result.Mixed = append(result.Mixed, caller.Mixed...)
	result.Truncated = append(result.Truncated, caller.Truncated...)
}

// runCounts counts, over all hosts, runs of tries and of requests, and openings.
type runCounts struct {
	byTry     map[string]int
	byRequest map[string]int
	openings  map[string]int
}

func countRuns(hosts []hostsim.Report) runCounts {
	counts := runCounts{byTry: map[string]int{}, byRequest: map[string]int{}, openings: map[string]int{}}
	for i := range hosts {
		for try, runs := range hosts[i].Runs {
			request, _, _ := strings.Cut(try, "/")
			counts.byTry[try] += runs
			counts.byRequest[request] += runs
		}
		for opening := range hosts[i].Openings {
			counts.openings[opening]++
		}
	}
	return counts
}

func overOne(counts map[string]int) []string {
	var over []string
	for name, count := range counts {
		if count > 1 {
			over = append(over, name)
		}
	}
	slices.Sort(over)
	return over
}

func falseNotRun(caller *clientsim.Report, runs *runCounts) []string {
	found := slices.Clone(caller.FalseNotRun)
	for _, opening := range caller.NotRun {
		if runs.openings[opening] > 0 {
			found = append(found, opening)
		}
	}
	for _, try := range caller.NotRunIDs {
		if runs.byTry[try] > 0 {
			found = append(found, try)
		}
	}
	slices.Sort(found)
	return slices.Compact(found)
}

// Imbalance gives, per service, the highest number of openings at a host over the mean.
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
