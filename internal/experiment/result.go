package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"robinpulley.example/robinpulley/internal/lb"
)

// Cause says why an established flow broke.
type Cause string

// The causes of broken flows.
const (
	// CauseReset: a packet reached a host that does not have the flow.
	CauseReset Cause = "reset"
	// CauseRefused: a balancer refused a packet of the established flow.
	CauseRefused Cause = "refused"
	// CauseSilent: the caller gave up after retransmitting without an answer.
	CauseSilent Cause = "silent"
)

// Result is the outcome of one run.
type Result struct {
	Scenario string `json:"scenario"`
	Balancer string `json:"balancer"`
	Seed     uint64 `json:"seed"`

	Opened      int           `json:"opened"`
	Established int           `json:"established"`
	Completed   int           `json:"completed"`
	Broken      map[Cause]int `json:"broken"`
	// BrokenTotal is the sum over Broken.
	BrokenTotal int `json:"broken_total"`
	// RunTwice counts openings that reached two hosts.
	RunTwice int `json:"run_twice"`
	// FalseNotRun counts openings refused as NotRun of which a host got a copy.
	FalseNotRun int `json:"false_not_run"`
	// WrongService counts packets that reached a host of another service.
	WrongService int `json:"wrong_service"`
	// LateNew counts openings at a leaving back end more than LateLimit after its drain.
	LateNew       int            `json:"late_new"`
	Refused       map[string]int `json:"refused"` // by verdict, openings only
	OpeningFailed int            `json:"opening_failed"`
	FlowsOpenPeak int            `json:"flows_open_peak"`

	// Imbalance is the busiest back end's open flows over the mean of the
	// active ones, per service, at the end of the run.
	Imbalance map[lb.ServiceName]float64 `json:"imbalance"`
	// Samples of the worst service's imbalance over time, one a second.
	Samples []Sample `json:"samples,omitempty"`

	// ControlBytesPerNode is bytes per second sent by one node on the mean and by the busiest one.
	ControlBytesMean float64 `json:"control_bytes_mean"`
	ControlBytesMax  float64 `json:"control_bytes_max"`
	RelayedShare     float64 `json:"relayed_share"` // packets relayed, of all packets handled at their ingress
	// InForce is the time from a change to its commit at all live nodes, in milliseconds.
	InForceMillis []float64 `json:"in_force_ms,omitempty"`

	Latency map[FlowKind]Latency `json:"latency"`
	Events  uint64               `json:"events"`
}

// Sample is one second of a run.
type Sample struct {
	Second    int     `json:"s"`
	Imbalance float64 `json:"i"`
	Open      int     `json:"o"`
	Broken    int     `json:"b"`
}

// Latency sums up one histogram, in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
}

// Range of the latency histograms, in microseconds, and their precision.
const (
	lowestLatency    = 1
	highestLatency   = int64(10 * time.Minute / time.Microsecond)
	latencyPrecision = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatency, highestLatency, latencyPrecision)
}

func summarise(histogram *hdrhistogram.Histogram) Latency {
	return Latency{
		Count: histogram.TotalCount(),
		P50:   milliseconds(histogram.ValueAtQuantile(50)),
		P99:   milliseconds(histogram.ValueAtQuantile(99)),
		P999:  milliseconds(histogram.ValueAtQuantile(99.9)),
		Max:   milliseconds(histogram.Max()),
	}
}

func milliseconds(microseconds int64) float64 { return float64(microseconds) / 1000 }
