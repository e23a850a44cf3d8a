package tokennode

import (
	"github.com/prometheus/client_golang/prometheus"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/dataplane"
	"robinpulley.example/robinpulley/internal/follower"
	"robinpulley.example/robinpulley/internal/packet"
)

// callKey tells apart the calls to the store.
type callKey struct {
	kind    follower.ReadKind
	failure follower.Failure
}

// callCounts counts calls to the store.
type callCounts struct {
	calls    map[callKey]uint64
	rejected uint64 // entries that could not be read
	up       bool   // the last call succeeded
}

func newCallCounts() callCounts { return callCounts{calls: make(map[callKey]uint64), up: true} }

func (counts *callCounts) count(result *follower.ReadResult) {
	counts.calls[callKey{result.Read.Kind, result.Failure}]++
}

// metricPrefix begins the name of every metric.
const metricPrefix = "robinpulley_"

// metric is one metric: its description and type.
type metric struct {
	name        string
	description *prometheus.Desc
	kind        prometheus.ValueType
}

func newMetric(kind prometheus.ValueType, name, help string, labels ...string) *metric {
	full := metricPrefix + name
	return &metric{name: full, description: prometheus.NewDesc(full, help, labels, nil), kind: kind}
}

// The metrics. docs/operations-platform.md explains each.
var (
	metricReasons = newMetric(prometheus.CounterValue, "decision_reasons_total",
		"Packets dropped or refused, by reason.", "reason")
	metricDecisions = newMetric(prometheus.CounterValue, "decisions_total",
		"Packets decided on, by action.", "action")
	metricCalls = newMetric(prometheus.CounterValue, "store_calls_total",
		"Calls to the platform's store, by kind (list, watch) and failure (empty: none).", "kind", "failure")
	metricRejected = newMetric(prometheus.CounterValue, "documents_rejected_total",
		"Entries of the store that could not be read.")
	metricRevision = newMetric(prometheus.GaugeValue, "view_revision",
		"Store revision of the view.")
	metricAge = newMetric(prometheus.GaugeValue, "view_age_seconds",
		"Time since the view was last known to be the newest.")
	metricVersion = newMetric(prometheus.GaugeValue, "configuration_version",
		"Version of the configuration in force.")
	metricRank = newMetric(prometheus.GaugeValue, "reader_rank",
		"Place of this node among those of its zone that may read the store; 0 reads.")
	metricMembers = newMetric(prometheus.GaugeValue, "members_alive",
		"Living balancers known, this one included.")
	metricReady = newMetric(prometheus.GaugeValue, "ready",
		"1 while this node may be sent packets.")
	metricReceived = newMetric(prometheus.CounterValue, "received_packets_total",
		"Datagrams received on the data address.")
	metricSent = newMetric(prometheus.CounterValue, "sent_packets_total",
		"Packets handed to the socket, by action (forward, refuse).", "action")
	metricMalformed = newMetric(prometheus.CounterValue, "malformed_packets_total",
		"Datagrams dropped because they are malformed, by cause.", "cause")
	metricSocketErrors = newMetric(prometheus.CounterValue, "socket_errors_total",
		"Errors of the data socket, by direction (read, write).", "direction")
	metricDecisionTime = newMetric(prometheus.UntypedValue, "decision_seconds",
		"Time from a packet's decoding to the decision on it, as a histogram.")
	metricCallTime = newMetric(prometheus.UntypedValue, "store_call_seconds",
		"Time that calls to the platform's store took, as a histogram; watches wait for changes.")
)

// metrics lists every metric.
var metrics = []*metric{
	metricReasons, metricDecisions, metricCalls, metricRejected, metricRevision, metricAge, metricVersion,
	metricRank, metricMembers, metricReady, metricReceived, metricSent, metricMalformed,
	metricSocketErrors, metricDecisionTime, metricCallTime,
}

// collector reads the counters of a node when metrics are asked for, so that
// the packet path keeps none of its own.
type collector struct{ node *Node }

// Describe gives the descriptions of all metrics.
func (collector collector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, metric := range metrics {
		descriptions <- metric.description
	}
}

// Collect gives the present values of all metrics.
func (collector collector) Collect(samples chan<- prometheus.Metric) {
	node := collector.node
	output := sampler{samples: samples}
	state := node.engine.state()
	output.decisions(&state.stats)
	output.view(&state)
	output.add(metricReady, readyValue(node))
	output.plane(node.plane.Counters())
}

// sampler writes samples of metrics.
type sampler struct{ samples chan<- prometheus.Metric }

func (output sampler) add(metric *metric, value float64, labels ...string) {
	output.samples <- prometheus.MustNewConstMetric(metric.description, metric.kind, value, labels...)
}

func (output sampler) count(metric *metric, value uint64, labels ...string) {
	output.add(metric, float64(value), labels...)
}

func (output sampler) decisions(stats *core.Stats) {
	output.count(metricDecisions, stats.Forwarded, "forward")
	output.count(metricDecisions, stats.Dropped, "drop")
	output.count(metricDecisions, stats.Refused, "refuse")
	for index, reason := range core.Reasons {
		if stats.ByReason[index] > 0 {
			output.count(metricReasons, stats.ByReason[index], string(reason))
		}
	}
}

func (output sampler) view(state *engineState) {
	for key, calls := range state.calls {
		output.count(metricCalls, calls, string(key.kind), string(key.failure))
	}
	output.count(metricRejected, state.rejected)
	output.add(metricRevision, float64(state.revision))
	output.add(metricAge, state.age)
	output.count(metricVersion, state.version)
	output.add(metricRank, float64(state.rank))
	output.add(metricMembers, float64(state.members))
	output.histogram(metricDecisionTime, state.decisionTime)
	output.histogram(metricCallTime, state.callTime)
}

func (output sampler) histogram(metric *metric, times times) {
	output.samples <- prometheus.MustNewConstHistogram(metric.description, times.count, times.sum.Seconds(), times.buckets())
}

func (output sampler) plane(counters dataplane.Counters) {
	output.count(metricReceived, counters.Received)
	output.count(metricSent, counters.Forwarded, "forward")
	output.count(metricSent, counters.Refused, "refuse")
	for cause, count := range counters.Malformed {
		if count > 0 {
			output.count(metricMalformed, count, packet.Cause(cause).String())
		}
	}
	output.count(metricSocketErrors, counters.ReadErrors, "read")
	output.count(metricSocketErrors, counters.WriteErrors, "write")
}

func readyValue(node *Node) float64 {
	if ready, _ := node.engine.readiness(); ready && !node.isStopping() {
		return 1
	}
	return 0
}

// engineState is what the engine tells for metrics.
type engineState struct {
	stats    core.Stats
	calls    map[callKey]uint64
	rejected uint64
	revision int64
	version  uint64
	age      float64 // seconds
	rank     int
	members  int

	decisionTime times
	callTime     times
}

func (engine *engine) state() engineState {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	state := engineState{
		stats:    engine.core.Stats(),
		calls:    make(map[callKey]uint64, len(engine.calls.calls)),
		rejected: engine.calls.rejected,
		revision: engine.follower.Replica().Revision(),
		version:  engine.follower.Replica().Version(),
		rank:     engine.follower.Rank(),
		members:  engine.others + 1,

		decisionTime: engine.decisionTime,
		callTime:     engine.callTime,
	}
	for key, value := range engine.calls.calls {
		state.calls[key] = value
	}
	if age, known := engine.follower.Age(engine.now()); known {
		state.age = age.Seconds()
	}
	return state
}
