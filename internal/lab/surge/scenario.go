// Package surge simulates, in virtual time, clients whose demand exceeds the capacity of a
// service's back ends. The openings pass through the decision cores of several balancers that
// use affinity tokens. The simulation counts the requests that are answered in time, with and
// without overload control. All randomness derives from the seed.
package surge

import (
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/admissionqueue"
	"robinpulley.example/robinpulley/internal/core"
)

// Policy is the rule by which balancers admit openings.
type Policy string

// The policies.
const (
	// Adaptive is the overload control of the balancer itself.
	Adaptive Policy = "adaptive"
	// None admits every opening; a back end whose queue is full rejects the request.
	None Policy = "none"
	// QueueLimit is the alternative that Adaptive is compared with: a balancer refuses an opening
	// if its own requests in flight at the back end reach its share of that back end's slots and
	// half of its queue.
	QueueLimit Policy = "queue-limit"
)

// Policies lists all policies.
var Policies = []Policy{Adaptive, QueueLimit, None}

// Class is a class of requests with the same priority and cost.
type Class struct {
	Name     string
	Priority uint16
	// Rate is the total request rate of all clients at load 1, in requests per second.
	Rate float64
	// Work is the mean time for which a request occupies a slot.
	Work time.Duration
	// Target is the latency up to which an answer counts as in time. Deadline is the time after
	// which the client gives up the request.
	Target, Deadline time.Duration
	// ReuseFlows is set for classes whose flows stay open for further requests.
	ReuseFlows bool
}

// Scenario describes one simulation run.
type Scenario struct {
	Seed    uint64
	Policy  Policy
	Zones   int
	Nodes   int // in all zones together
	Hosts   int
	Slots   int
	Queue   int
	Clients int // at load 1
	Classes []Class
	// Load returns the factor by which the request rates are multiplied at a time of the run.
	Load func(at time.Duration) float64
	// ZoneDemandRatio is the ratio of each zone's demand to the demand of the zone before it.
	// 0 means equal demand in all zones.
	ZoneDemandRatio float64
	// FleetLoadDelay is the time that the load summed over all nodes takes to reach each node.
	// 0 means that the nodes receive no such sums.
	FleetLoadDelay time.Duration
	// Restart is the time at which half of the nodes restart without their state. 0 means never.
	Restart time.Duration
	// MaxLoad is the largest value that Load returns.
	MaxLoad  float64
	Duration time.Duration
	// Adjust changes the settings of the balancers. nil keeps the defaults.
	Adjust func(settings *core.Settings)
	// Slowdown returns the factor by which a host's work takes longer at a time of the run.
	// nil means no slowdown.
	Slowdown func(host int, at time.Duration) float64
	// AdmissionQueue configures the queue for openings that are not admitted at once. With a
	// capacity of 0 they are refused immediately.
	AdmissionQueue admissionqueue.Settings
	// ObservationDelay is an additional delay, on top of the link delay, until nodes see the packets
	// of open flows.
	ObservationDelay time.Duration
}

// The class names in the scenario that Default returns.
const (
	Ordinary  = "feed"
	Important = "tap"
)

// Default returns a scenario of a service with one class of long-lived flows and one class of
// short, more important flows. At load 1 it uses half of the capacity of its hosts.
func Default(seed uint64, policy Policy, load float64) Scenario {
	return Scenario{
		Seed: seed, Policy: policy, Zones: 3, Nodes: 8, Hosts: 12, Slots: 2, Queue: 8, Clients: 60,
		Classes: []Class{
			{Name: Ordinary, Priority: 2, Rate: 220, Work: 40 * time.Millisecond, Target: 200 * time.Millisecond, Deadline: time.Second, ReuseFlows: true},
			{Name: Important, Priority: 1, Rate: 60, Work: 50 * time.Millisecond, Target: 250 * time.Millisecond, Deadline: 1500 * time.Millisecond},
		},
		Load:     func(time.Duration) float64 { return load },
		MaxLoad:  load,
		Duration: 20 * time.Second,
	}
}

// Count holds the number of requests of a class by outcome.
type Count struct {
	Requests, InTime, Late, Failed int
}

// add adds the numbers of the other count.
func (c *Count) add(other Count) {
	c.Requests += other.Requests
	c.InTime += other.InTime
	c.Late += other.Late
	c.Failed += other.Failed
}

// InTimeShare returns the share of the requests that were answered in time, 1 if there were none.
func (c Count) InTimeShare() float64 {
	if c.Requests == 0 {
		return 1
	}
	return float64(c.InTime) / float64(c.Requests)
}

// Result holds the results of one run.
type Result struct {
	// Classes holds the counts by class and by the second of a request's first attempt.
	Classes map[string][]Count
	// Refused counts the openings that balancers refused, by second. Shed counts the requests that
	// hosts rejected.
	Refused []int
	Shed    int
	// Admitted and Offered count the openings of classes that reuse their flows, by node.
	Admitted, Offered []int
	// Zones holds the counts of the requests of each zone's clients by class, without the requests
	// of the first seconds.
	Zones []map[string]Count
	// AdmissionRates holds the share of the least important class that each node admits, by tick
	// and node.
	AdmissionRates [][]float64
	// HostBusy is the total time for which the slots of a host were busy, by host.
	HostBusy []time.Duration
	// Latencies holds the time from the first attempt to the answer of each answered request.
	Latencies []time.Duration
	// HeldOpenings sums the admission queue statistics of all nodes.
	HeldOpenings core.HeldStats
}

// Percentile returns the latency that the given share of the answered requests did not exceed.
func (r *Result) Percentile(share float64) time.Duration {
	if len(r.Latencies) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(r.Latencies))
	return sorted[min(int(share*float64(len(sorted))), len(sorted)-1)]
}

// ClassCount returns the sum of a class's counts over the seconds [from, before) of the run.
func (r *Result) ClassCount(name string, from, before int) Count {
	sum := Count{}
	counts := r.Classes[name]
	for _, count := range counts[min(from, len(counts)):min(before, len(counts))] {
		sum.add(count)
	}
	return sum
}

// TotalCount returns the sum of the counts of all classes over the whole run.
func (r *Result) TotalCount() Count {
	sum := Count{}
	for name, counts := range r.Classes {
		sum.add(r.ClassCount(name, 0, len(counts)))
	}
	return sum
}
