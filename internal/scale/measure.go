package scale

import (
	"runtime"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/catalog"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
)

// Report is what one run measured. Rates are per node.
type Report struct {
	Plan          Plan          `json:"plan"`
	BytesOutMean  float64       `json:"bytes_out_mean"` // bytes a second
	BytesOutMax   float64       `json:"bytes_out_max"`
	BytesInMean   float64       `json:"bytes_in_mean"`
	BytesInMax    float64       `json:"bytes_in_max"`
	MessagesMean  float64       `json:"messages_mean"`  // a second
	ProcessorMean float64       `json:"processor_mean"` // share of one processor, the virtual network's work included
	HeapPerNode   float64       `json:"heap_per_node"`  // bytes, the virtual network's included
	Changes       int           `json:"changes"`
	Pending       int           `json:"pending"` // changes not in force at the end
	InForceP50    time.Duration `json:"in_force_p50"`
	InForceP99    time.Duration `json:"in_force_p99"`
	InForceMax    time.Duration `json:"in_force_max"`
	// Joined is when every node knew every other and all placements.
	Joined  time.Duration            `json:"joined"`
	ByType  map[message.Type]float64 `json:"by_type"` // bytes a second per node
	Elapsed time.Duration            `json:"elapsed"` // real time of the measured part
}

// change is one change of configuration on its way.
type change struct {
	service   lb.ServiceName
	revision  int64
	requested time.Duration
	inForce   time.Duration // zero while pending
}

// pollInterval is how often the run looks whether changes are in force.
const pollInterval = 50 * time.Millisecond

// measure warms the fleet up, then runs and measures the plan.
func (run *run) measure() (*Report, error) {
	joined, err := run.join()
	if err != nil {
		return nil, err
	}
	run.scheduleChanges()
	run.scheduleFailures()
	run.queue.After(pollInterval, run.poll)
	start := run.queue.Now()
	run.measuring = true
	processor, clock := processorTime(), time.Now()
	run.until(start + run.plan.Duration)
	report := run.report(processorTime()-processor, time.Since(clock))
	report.Joined = joined
	return report, run.failure
}

// join runs the warm-up and says after how long all nodes agreed.
func (run *run) join() (time.Duration, error) {
	joined := time.Duration(0)
	for run.queue.Now() < run.plan.Warmup {
		run.until(run.queue.Now() + time.Second)
		if joined == 0 && run.agreed() {
			joined = run.queue.Now()
		}
	}
	if joined == 0 {
		return 0, errors.Newf("after the warm-up of %s, nodes still differ: %s", run.plan.Warmup, run.difference())
	}
	return joined, run.failure
}

// until runs all events up to a time.
func (run *run) until(end time.Duration) {
	done := false
	run.queue.Add(end, func() { done = true })
	for !done {
		next, _ := run.queue.Next()
		next()
	}
}

// agreed says whether every live node knows all others and has all placements.
func (run *run) agreed() bool {
	return run.difference() == ""
}

func (run *run) difference() string {
	live := 0
	for _, node := range run.nodes {
		if node.alive {
			live++
		}
	}
	for _, node := range run.nodes {
		if !node.alive {
			continue
		}
		if known := node.node.Members(); known != live {
			return errors.Newf("%s knows %d of %d nodes", node.machine.ID, known, live).Error()
		}
		for service := range run.plan.Services {
			if node.node.Placement(serviceName(service)) == nil {
				return errors.Newf("%s has no placement of %s", node.machine.ID, serviceName(service)).Error()
			}
		}
	}
	return ""
}

// scheduleChanges spreads the configuration changes evenly over the run.
func (run *run) scheduleChanges() {
	services, backends := run.plan.documents()
	for i := range run.plan.Changes {
		at := run.plan.Duration * time.Duration(i) / time.Duration(run.plan.Changes)
		backend := backends[(i*7)%len(backends)]
		backend.Weight = uint16(50 + i%40)
		backend.WriteID = "change"
		service := services[(i*7)%len(backends)%run.plan.Services].Name
		run.queue.After(at, func() { run.change(service, &backend) })
	}
}

func (run *run) change(service lb.ServiceName, backend *catalog.Backend) {
	if err := run.putDocument(catalog.BackendKey(backend.Name), backend); err != nil {
		run.failure = errors.CombineErrors(run.failure, err)
		return
	}
	run.changes = append(run.changes, &change{service: service, revision: run.store.revision, requested: run.queue.Now()})
	run.wakeWatchers()
}

// poll notes which changes have come into force at every live node.
func (run *run) poll() {
	for _, change := range run.changes {
		if change.inForce == 0 && run.everywhere(change) {
			change.inForce = run.queue.Now() - change.requested
		}
	}
	run.queue.After(pollInterval, run.poll)
}

func (run *run) everywhere(change *change) bool {
	for _, node := range run.nodes {
		if !node.alive || node.cut {
			continue
		}
		placement := node.node.Placement(change.service)
		if placement == nil || placement.ConfigRevision < change.revision || placement.Current != len(placement.Generations)-1 {
			return false
		}
	}
	return true
}

func (run *run) report(processor, elapsed time.Duration) *Report {
	seconds := run.plan.Duration.Seconds()
	nodes := float64(run.plan.Nodes)
	report := &Report{
		Plan: *run.plan, Changes: len(run.changes), Elapsed: elapsed,
		ProcessorMean: processor.Seconds() / seconds / nodes,
		ByType:        make(map[message.Type]float64),
	}
	for _, node := range run.nodes {
		out, in := float64(node.bytesOut)/seconds, float64(node.bytesIn)/seconds
		report.BytesOutMean += out / nodes
		report.BytesInMean += in / nodes
		report.BytesOutMax = max(report.BytesOutMax, out)
		report.BytesInMax = max(report.BytesInMax, in)
		report.MessagesMean += float64(node.messages) / seconds / nodes
	}
	for kind, bytes := range run.byType {
		report.ByType[kind] = float64(bytes) / seconds / nodes
	}
	report.HeapPerNode = heapBytes() / nodes
	run.inForceTimes(report)
	return report
}

func (run *run) inForceTimes(report *Report) {
	var times []time.Duration
	for _, change := range run.changes {
		if change.inForce == 0 {
			report.Pending++
			continue
		}
		times = append(times, change.inForce)
	}
	if len(times) == 0 {
		return
	}
	slices.Sort(times)
	report.InForceP50 = times[len(times)/2]
	report.InForceP99 = times[(len(times)*99-1)/100]
	report.InForceMax = times[len(times)-1]
}

// processorTime is what this process has used of the processors.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapBytes is the live heap after a collection.
func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
