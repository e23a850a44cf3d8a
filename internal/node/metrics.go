package node

import (
	"github.com/prometheus/client_golang/prometheus"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/message"
	"robinpulley.example/robinpulley/internal/store"
)

// metricPrefix begins the name of every metric.
const metricPrefix = "robinpulley_"

// metric is one metric: its description and type.
type metric struct {
	description *prometheus.Desc
	kind        prometheus.ValueType
	name        string
}

func newMetric(kind prometheus.ValueType, name, help string, labels ...string) *metric {
	full := metricPrefix + name
	return &metric{
		description: prometheus.NewDesc(full, help, labels, nil),
		kind:        kind,
		name:        full,
	}
}

// The metrics. docs/operations-node.md explains each.
var (
	metricDecisions = newMetric(prometheus.CounterValue, "decisions_total",
		"Packets decided on, by action.", "action")
	metricReasons = newMetric(prometheus.CounterValue, "decision_reasons_total",
		"Packets dropped or refused, by reason.", "reason")
	metricPinned = newMetric(prometheus.CounterValue, "pinned_packets_total",
		"Packets forwarded by a pin.")
	metricRerouted = newMetric(prometheus.CounterValue, "rerouted_packets_total",
		"Packets passed on by a node that is not the head in its own view.")
	metricHints = newMetric(prometheus.CounterValue, "hints_total",
		"Pins and confirmations, by outcome (sent, suppressed).", "outcome")
	metricHandover = newMetric(prometheus.CounterValue, "handover_records_total",
		"Records handed over to other nodes.")
	metricHandoverResent = newMetric(prometheus.CounterValue, "handover_messages_resent_total",
		"Messages of records that had to be repeated.")
	metricPauses = newMetric(prometheus.CounterValue, "pauses_total",
		"Pauses of this process longer than timings.pause_limit.")
	metricVersionConflicts = newMetric(prometheus.CounterValue, "placement_conflicts_total",
		"Placements of a known version with another write id; always 0 if the store compares and swaps.")
	metricInvalidPlacements = newMetric(prometheus.CounterValue, "invalid_placements_total",
		"Placements that were not adopted because they are invalid.")
	metricSure = newMetric(prometheus.GaugeValue, "sure",
		"1 while this node trusts its view of the placements.")
	metricRecords = newMetric(prometheus.GaugeValue, "records",
		"Records of flows held, by service.", "service")
	metricPins = newMetric(prometheus.GaugeValue, "pins",
		"Pins held, by service.", "service")
	metricKnownUDP = newMetric(prometheus.GaugeValue, "known_udp_flows",
		"UDP flows remembered, by service.", "service")
	metricFlowBytes = newMetric(prometheus.GaugeValue, "flow_state_bytes",
		"Bytes of records, pins and known UDP flows, by service.", "service")
	metricVersion = newMetric(prometheus.GaugeValue, "placement_version",
		"Version of the placement, by service.", "service")
	metricMoving = newMetric(prometheus.GaugeValue, "moving_buckets",
		"Buckets in motion, by service.", "service")
	metricMembers = newMetric(prometheus.GaugeValue, "members",
		"Members in this node's view, by zone and state (alive, leaving).", "peer_zone", "state")
	metricControlBytes = newMetric(prometheus.CounterValue, "control_bytes_total",
		"Bytes of control messages, by type and direction (sent, received).", "type", "direction")
	metricControlMessages = newMetric(prometheus.CounterValue, "control_messages_total",
		"Control messages, by type and direction (sent, received).", "type", "direction")
	metricControlFaults = newMetric(prometheus.CounterValue, "control_faults_total",
		"Control messages not sent or not taken, by fault.", "fault")
	metricStoreUp = newMetric(prometheus.GaugeValue, "store_up",
		"1 while the store answers.")
	metricStoreRequests = newMetric(prometheus.CounterValue, "store_requests_total",
		"Requests to the store.")
	metricStoreFailures = newMetric(prometheus.CounterValue, "store_failures_total",
		"Requests to the store without a usable answer.")
	metricStoreThrottled = newMetric(prometheus.CounterValue, "store_throttled_total",
		"Requests that the store's rate limit refused.")
	metricStoreRetries = newMetric(prometheus.CounterValue, "store_retries_total",
		"Requests to the store that were repeated.")
	metricStoreLostAnswers = newMetric(prometheus.CounterValue, "store_lost_answers_total",
		"Writes whose answer was lost.")
	metricStoreResolved = newMetric(prometheus.CounterValue, "store_resolved_answers_total",
		"Writes whose lost answer was resolved.")
	metricWrites = newMetric(prometheus.CounterValue, "placement_writes_total",
		"Placements this node tried to publish, by kind and outcome (done, conflict, unknown, not_run).", "kind", "outcome")
	metricPublished = newMetric(prometheus.GaugeValue, "published_revision",
		"Store revision up to which every configuration change is published, as this node has seen it as a watcher.")
	metricInForce = newMetric(prometheus.GaugeValue, "in_force_revision",
		"Store revision up to which every configuration change is in force at all live nodes of this zone; at watchers only.")
	metricZoneNodes = newMetric(prometheus.GaugeValue, "zone_nodes",
		"Live nodes of this zone that the last statement speaks of; at watchers only.")
	metricZoneBehind = newMetric(prometheus.GaugeValue, "zone_nodes_behind",
		"Nodes of this zone not known to have the newest placements; at watchers only.")
	metricWatcher = newMetric(prometheus.GaugeValue, "watcher",
		"1 while this node watches the store and may publish.")
	metricProbes = newMetric(prometheus.CounterValue, "probes_total",
		"Probes of back ends, by outcome (begun, failed).", "outcome")
	metricReady = newMetric(prometheus.GaugeValue, "ready",
		"1 once this node has placements.")
)

// metrics lists every metric.
var metrics = []*metric{
	metricDecisions, metricReasons, metricPinned, metricRerouted, metricHints, metricHandover,
	metricHandoverResent, metricPauses, metricVersionConflicts, metricInvalidPlacements, metricSure,
	metricRecords, metricPins, metricKnownUDP, metricFlowBytes, metricVersion, metricMoving,
	metricMembers, metricControlBytes, metricControlMessages, metricControlFaults, metricStoreUp,
	metricStoreRequests, metricStoreFailures, metricStoreThrottled, metricStoreRetries,
	metricStoreLostAnswers, metricStoreResolved, metricWrites, metricPublished, metricInForce,
	metricZoneNodes, metricZoneBehind, metricWatcher, metricProbes, metricReady,
	metricReceived, metricReceivedBytes, metricSent, metricMalformed, metricUnsent, metricSocketErrors,
}

// MetricNames lists the names of all metrics of this package.
func MetricNames() []string {
	names := make([]string, len(metrics))
	for index, metric := range metrics {
		names[index] = metric.name
	}
	return names
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
	snapshot := node.engine.snapshot()
	output.core(&snapshot.stats)
	output.state(&snapshot.state)
	output.members(node)
	output.control(node)
	output.store(node.store.Stats())
	output.publisher(node, &snapshot)
	output.add(metricWatcher, flag(snapshot.watcher))
	output.add(metricReady, flag(node.ready.Load()))
	probes := node.prober.Counters()
	output.count(metricProbes, probes.Begun, "begun")
	output.count(metricProbes, probes.Failed, "failed")
	output.plane(node)
}

// snapshot is what the engine tells for metrics.
type snapshot struct {
	stats   core.Stats
	state   core.State
	watcher bool
	// published is the configuration revision that is published.
	published int64
	zone      *message.InForce // nil: none yet
}

func (engine *engine) snapshot() snapshot {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return snapshot{
		stats:     engine.core.Stats(),
		state:     engine.core.State(),
		watcher:   engine.watcher,
		published: engine.published,
		zone:      engine.zoneReport,
	}
}

// sampler writes samples of metrics.
type sampler struct{ samples chan<- prometheus.Metric }

func (output sampler) add(metric *metric, value float64, labels ...string) {
	output.samples <- prometheus.MustNewConstMetric(metric.description, metric.kind, value, labels...)
}

func (output sampler) count(metric *metric, value uint64, labels ...string) {
	output.add(metric, float64(value), labels...)
}

func (output sampler) core(stats *core.Stats) {
	output.count(metricDecisions, stats.Forwarded, "forward")
	output.count(metricDecisions, stats.Relayed, "relay")
	output.count(metricDecisions, stats.Dropped, "drop")
	output.count(metricDecisions, stats.Refused, "refuse")
	for index, reason := range core.Reasons {
		output.count(metricReasons, stats.ByReason[index], string(reason))
	}
	output.count(metricPinned, stats.PinnedPackets)
	output.count(metricRerouted, stats.Rerouted)
	output.count(metricHints, stats.HintsSent, "sent")
	output.count(metricHints, stats.HintsSuppressed, "suppressed")
	output.count(metricHandover, stats.HandoverSent)
	output.count(metricHandoverResent, stats.HandoverResent)
	output.count(metricPauses, stats.Pauses)
	output.count(metricVersionConflicts, stats.VersionConflicts)
	output.count(metricInvalidPlacements, stats.InvalidPlacements)
}

func (output sampler) state(state *core.State) {
	output.add(metricSure, flag(state.Sure))
	for index := range state.Services {
		service := &state.Services[index]
		name := string(service.Service)
		output.add(metricRecords, float64(service.Records), name)
		output.add(metricPins, float64(service.Pins), name)
		output.add(metricKnownUDP, float64(service.KnownUDP), name)
		output.add(metricFlowBytes, float64(service.Bytes), name)
		output.add(metricVersion, float64(service.Version), name)
		output.add(metricMoving, float64(service.MovingBuckets), name)
	}
}

func (output sampler) members(node *Node) {
	type group struct{ zone, state string }
	counts := map[group]int{}
	for _, entry := range node.directory.list() {
		counts[group{string(entry.Zone), stateOf(&entry)}]++
	}
	for group, count := range counts {
		output.add(metricMembers, float64(count), group.zone, group.state)
	}
}

func (output sampler) publisher(node *Node, snapshot *snapshot) {
	node.writes.each(func(kind, outcome string, count uint64) {
		output.count(metricWrites, count, kind, outcome)
	})
	output.add(metricPublished, float64(snapshot.published))
	if snapshot.zone == nil || !snapshot.watcher {
		return
	}
	output.add(metricInForce, float64(snapshot.zone.ConfigRevision))
	output.add(metricZoneNodes, float64(snapshot.zone.Nodes))
	output.add(metricZoneBehind, float64(snapshot.zone.Behind))
}

func (output sampler) control(node *Node) {
	counters := node.transport.Counters()
	for _, traffic := range counters.Traffic {
		output.count(metricControlBytes, traffic.Bytes, string(traffic.Type), string(traffic.Direction))
		output.count(metricControlMessages, traffic.Messages, string(traffic.Type), string(traffic.Direction))
	}
	for _, fault := range counters.Faults {
		output.count(metricControlFaults, fault.Count, string(fault.Fault))
	}
}

func (output sampler) store(stats store.Stats) {
	output.add(metricStoreUp, flag(stats.Circuit == store.CircuitClosed))
	output.count(metricStoreRequests, stats.Requests)
	output.count(metricStoreFailures, stats.Failures)
	output.count(metricStoreThrottled, stats.Throttled)
	output.count(metricStoreRetries, stats.Retries)
	output.count(metricStoreLostAnswers, stats.LostAnswers)
	output.count(metricStoreResolved, stats.Resolved)
}

func flag(set bool) float64 {
	if set {
		return 1
	}
	return 0
}
