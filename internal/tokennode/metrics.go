package tokennode

import (
	"github.com/prometheus/client_golang/prometheus"

	"robinpulley.example/robinpulley/internal/core"
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

func describe(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(metricPrefix+name, help, labels, nil)
}

// collector reads the counters of a node when metrics are asked for, so that
// the packet path keeps none of its own.
type collector struct{ node *Node }

// Describe gives no descriptions: the collector is unchecked.
func (collector) Describe(chan<- *prometheus.Desc) {}

// Collect gives the present values of all metrics.
func (collector collector) Collect(samples chan<- prometheus.Metric) {
	node := collector.node
	count := func(name, help string, value float64, labels ...string) {
		sample(samples, prometheus.CounterValue, name, help, value, labels)
	}
	gauge := func(name, help string, value float64, labels ...string) {
		sample(samples, prometheus.GaugeValue, name, help, value, labels)
	}
	state := node.engine.state()
	for index, reason := range core.Reasons {
		if state.stats.ByReason[index] > 0 {
			count("decision_reasons_total", "Packets dropped or refused, by reason.",
				float64(state.stats.ByReason[index]), "reason", string(reason))
		}
	}
	for key, value := range state.calls {
		count("store_calls_total", "Calls to the platform's store, by kind and failure (none: empty).",
			float64(value), "kind", string(key.kind), "failure", string(key.failure))
	}
	count("documents_rejected_total", "Entries of the store that could not be read.", float64(state.rejected))
	gauge("view_revision", "Store revision of the view.", float64(state.revision))
	gauge("view_age_seconds", "Time since the view was last known to be the newest.", state.age)
	gauge("configuration_version", "Version of the configuration in force.", float64(state.version))
	gauge("reader_rank", "Place of this node among those of its zone that may read the store; 0 reads.", float64(state.rank))
	gauge("members_alive", "Living balancers known, this one included.", float64(state.members))
	gauge("ready", "1 while this node may be sent packets.", readyValue(node))
	plane := node.plane.Counters()
	count("received_packets_total", "Datagrams received on the data address.", float64(plane.Received), "source", "fabric")
	count("sent_packets_total", "Packets handed to the socket, by action.", float64(plane.Forwarded), "action", "forward")
	count("sent_packets_total", "Packets handed to the socket, by action.", float64(plane.Refused), "action", "refuse")
	for cause, value := range plane.Malformed {
		if value > 0 {
			count("malformed_packets_total", "Datagrams dropped because they are malformed, by cause.",
				float64(value), "cause", packet.Cause(cause).String())
		}
	}
	count("socket_errors_total", "Errors of the data socket, by direction.", float64(plane.ReadErrors), "direction", "read")
	count("socket_errors_total", "Errors of the data socket, by direction.", float64(plane.WriteErrors), "direction", "write")
}

// sample gives one sample; labels are names and values in turn.
func sample(samples chan<- prometheus.Metric, kind prometheus.ValueType, name, help string, value float64, labels []string) {
	var names, values []string
	for index := 0; index+1 < len(labels); index += 2 {
		names = append(names, labels[index])
		values = append(values, labels[index+1])
	}
	samples <- prometheus.MustNewConstMetric(describe(name, help, names...), kind, value, values...)
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
	}
	for key, value := range engine.calls.calls {
		state.calls[key] = value
	}
	if age, known := engine.follower.Age(engine.now()); known {
		state.age = age.Seconds()
	}
	return state
}
