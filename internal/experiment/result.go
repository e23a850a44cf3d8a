package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"robinpulley.example/robinpulley/internal/lb"
)

// Cause is the reason why an established flow broke.
type Cause string

// The causes of broken flows.
const (
	// CauseReset means that a packet reached a host that does not have the flow.
	CauseReset Cause = "reset"
	// CauseRefused means that a balancer refused a packet of the flow.
	CauseRefused Cause = "refused"
	// CauseUnanswered means that the client gave up because none of its retransmissions was
	// answered.
	CauseUnanswered Cause = "silent"
)

// Result is the outcome of one run.
type Result struct {
	Scenario string `json:"scenario"`
	Balancer string `json:"balancer"`
	Seed     uint64 `json:"seed"`

	// Opened, Established and Completed count flows.
	Opened      int           `json:"opened"`
	Established int           `json:"established"`
	Completed   int           `json:"completed"`
	Broken      map[Cause]int `json:"broken"`
	// BrokenTotal is the sum over Broken.
	BrokenTotal int `json:"broken_total"`
	// RunTwice counts flows whose opening reached more than one host.
	RunTwice int `json:"run_twice"`
	// FalseNotRun counts flows whose opening was refused as NotRun although a host received a copy.
	FalseNotRun int `json:"false_not_run"`
	// WrongService counts packets that reached a host of another service.
	WrongService int `json:"wrong_service"`
	// LateNew counts new flows at a leaving back end more than DrainDeadline after the request for
	// its drain.
	LateNew       int            `json:"late_new"`
	Refused       map[string]int `json:"refused"`         // openings, by verdict
	OpeningFailed int            `json:"opening_failed"`  // openings without an answer or reset by a host
	FlowsOpenPeak int            `json:"flows_open_peak"` // maximum number of open flows

	// Imbalance is the ratio, for each service at the end of the run, of the maximum number of open
	// flows on an active back end to the mean over its active back ends.
	Imbalance map[lb.ServiceName]float64 `json:"imbalance"`
	// Samples holds one sample for each second of the run.
	Samples []Sample `json:"samples,omitempty"`

	// ControlBytesMean and ControlBytesMax are the mean and the maximum over nodes of the control
	// bytes that a node sent per second.
	ControlBytesMean float64 `json:"control_bytes_mean"`
	ControlBytesMax  float64 `json:"control_bytes_max"`
	RelayedShare     float64 `json:"relayed_share"` // share of client packets that their ingress balancer relayed
	// InForceMillis holds, for each placement change, the milliseconds from its request until all
	// live nodes adopted its commit.
	InForceMillis []float64 `json:"in_force_ms,omitempty"`

	Latency map[FlowKind]Latency `json:"latency"`
	Events  uint64               `json:"events"` // number of simulated events
}

// Sample is the state of a run at the end of one second: the highest imbalance of a service, the
// open flows, and the flows broken so far.
type Sample struct {
	Second    int     `json:"s"`
	Imbalance float64 `json:"i"`
	Open      int     `json:"o"`
	Broken    int     `json:"b"`
}

// Latency holds quantiles of a latency histogram, in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
}

// Range of the latency histograms in microseconds, and their precision in significant decimal
// digits.
const (
	minLatencyMicros = 1
	maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)
	latencyDigits    = 3
)

// newHistogram returns an empty latency histogram.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)
}

// summarize returns the quantiles of a latency histogram.
func summarize(histogram *hdrhistogram.Histogram) Latency {
	return Latency{
		Count: histogram.TotalCount(),
		P50:   milliseconds(histogram.ValueAtQuantile(50)),
		P99:   milliseconds(histogram.ValueAtQuantile(99)),
		P999:  milliseconds(histogram.ValueAtQuantile(99.9)),
		Max:   milliseconds(histogram.Max()),
	}
}

// milliseconds converts microseconds to milliseconds.
func milliseconds(microseconds int64) float64 { return float64(microseconds) / 1000 }
