// Package crowd plays callers who ask for more than the back ends of a service
// can do, in virtual time, on the decision cores of several balancers with
// affinity token. It counts what is answered in time, with and without
// overload control. All randomness comes from the seed.
package surge

import (
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/admissionqueue"
	"robinpulley.example/robinpulley/internal/core"
)

// Policy says how openings are let in.
type Policy string

// The policies.
const (
	// Adaptive is the product's own.
	Adaptive Policy = "adaptive"
	// None lets in everything; full back ends refuse.
	None Policy = "none"
	// QueueLimit is Adaptive's rival: a balancer refuses an opening when its
	// back end has its part of the slots, and half the queue, under way from here.
	QueueLimit Policy = "queue-limit"
)

// Policies lists all.
var Policies = []Policy{Adaptive, QueueLimit, None}

// Class is a kind of request.
type Class struct {
	Name     string
	Priority uint16
	// Rate is that of all callers together at a load of one, in requests a second.
	Rate float64
	// Work is the mean time at a slot.
	Work time.Duration
	// Target is how long an answer may take to be in time, Deadline when the caller gives up.
	Target, Deadline time.Duration
	// Long classes keep their flows for further requests.
	Long bool
}

// Scenario is one run.
type Scenario struct {
	Seed    uint64
	Policy  Policy
	Zones   int
	Nodes   int // of all zones
	Hosts   int
	Slots   int
	Queue   int
	Callers int // at a load of one
	Classes []Class
	// Load gives how many times the rates are asked for, at a time.
	Load func(at time.Duration) float64
	// Uneven is how many times more the callers of each zone ask for than those of the zone before.
	// 0: the same.
	Uneven float64
	// News is how late the sums of what all nodes see come to each of them; 0: never.
	News time.Duration
	// Restart is when half of the nodes forget all; 0: never.
	Restart time.Duration
	// MostLoad is the largest value of Load.
	MostLoad float64
	Duration time.Duration
	// Adjust changes the settings of the balancers; nil: the defaults.
	Adjust func(settings *core.Settings)
	// Slow says by how much longer a host takes for its work at a time; nil: by nothing.
	Slow func(host int, at time.Duration) float64
	// Waiting is what becomes of openings that are turned away; without a
	// capacity they are refused at once.
	Waiting admissionqueue.Settings
	// NewsDelay is how old what nodes see of open flows is, on top of the way to them.
	NewsDelay time.Duration
}

// Names of the classes of Default.
const (
	Ordinary  = "feed"
	Important = "tap"
)

// Default gives a service with one kind of long flows and one of short, more
// important ones, which at a load of one needs half of what its hosts can do.
func Default(seed uint64, policy Policy, load float64) Scenario {
	return Scenario{
		Seed: seed, Policy: policy, Zones: 3, Nodes: 8, Hosts: 12, Slots: 2, Queue: 8, Callers: 60,
		Classes: []Class{
			{Name: Ordinary, Priority: 2, Rate: 220, Work: 40 * time.Millisecond, Target: 200 * time.Millisecond, Deadline: time.Second, Long: true},
			{Name: Important, Priority: 1, Rate: 60, Work: 50 * time.Millisecond, Target: 250 * time.Millisecond, Deadline: 1500 * time.Millisecond},
		},
		Load:     func(time.Duration) float64 { return load },
		MostLoad: load,
		Duration: 20 * time.Second,
	}
}

// Count is what became of the requests of a class.
type Count struct {
	Asked, InTime, Late, Failed int
}

// add sums two counts.
func (c *Count) add(o Count) {
	c.Asked += o.Asked
	c.InTime += o.InTime
	c.Late += o.Late
	c.Failed += o.Failed
}

// Share is the part that was answered in time.
func (c Count) Share() float64 {
	if c.Asked == 0 {
		return 1
	}
	return float64(c.InTime) / float64(c.Asked)
}

// Result is what one run gave.
type Result struct {
	// Classes are the counts by class and second of the first attempt.
	Classes map[string][]Count
	// Refused counts openings refused by balancers by second, Shed requests by hosts.
	Refused []int
	Shed    int
	// Admitted and Offered are the openings of long flows by node.
	Admitted, Offered []int
	// Zones are the counts of the requests of each zone's callers, by class, but those of the first seconds.
	Zones []map[string]Count
	// Parts are the admitted parts of the least important class by node, at each tick.
	Parts [][]float64
	// HostBusy is the time that slots worked, by host.
	HostBusy []time.Duration
	// Times are how long answered requests took, from their first attempt.
	Times []time.Duration
	// Waits are those of all nodes.
	Waits core.HeldStats
}

// Percentile gives the time that a part of the answered requests took at the most.
func (r *Result) Percentile(part float64) time.Duration {
	if len(r.Times) == 0 {
		return 0
	}
	times := slices.Sorted(slices.Values(r.Times))
	return times[min(int(part*float64(len(times))), len(times)-1)]
}

// Class gives the counts of a class over whole seconds, from and before.
func (r *Result) Class(name string, from, before int) Count {
	sum := Count{}
	counts := r.Classes[name]
	for _, count := range counts[min(from, len(counts)):min(before, len(counts))] {
		sum.add(count)
	}
	return sum
}

// All gives the counts of all classes over the whole run.
func (r *Result) All() Count {
	sum := Count{}
	for name, counts := range r.Classes {
		sum.add(r.Class(name, 0, len(counts)))
	}
	return sum
}
