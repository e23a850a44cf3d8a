package node

import (
	"github.com/prometheus/client_golang/prometheus"

	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/message"
	"robinpulley.example/robinpulley/internal/metrics"
	"robinpulley.example/robinpulley/internal/store"
	"robinpulley.example/robinpulley/internal/transport"
)

// Metrics of the node. docs/operations-node.md explains each.
var (
	metricDecisions = metrics.New(prometheus.CounterValue, "decisions_total",
		"Packets decided on, by action.", "action")
	metricReasons = metrics.New(prometheus.CounterValue, "decision_reasons_total",
		"Packets dropped or refused, by reason.", "reason")
	metricPinned = metrics.New(prometheus.CounterValue, "pinned_packets_total",
		"Packets forwarded by a pin.")
	metricRerouted = metrics.New(prometheus.CounterValue, "rerouted_packets_total",
		"Packets passed on by a node that is not the head in its own view.")
	metricHints = metrics.New(prometheus.CounterValue, "hints_total",
		"Pins and confirmations, by outcome (sent, suppressed).", "outcome")
	metricHandover = metrics.New(prometheus.CounterValue, "handover_records_total",
		"Records handed over to other nodes.")
	metricHandoverResent = metrics.New(prometheus.CounterValue, "handover_messages_resent_total",
		"Messages of records that had to be repeated.")
	metricPauses = metrics.New(prometheus.CounterValue, "pauses_total",
		"Pauses of this process longer than timings.pause_limit.")
	metricVersionConflicts = metrics.New(prometheus.CounterValue, "placement_conflicts_total",
		"Placements of a known version with another write id; always 0 if the store compares and swaps.")
	metricInvalidPlacements = metrics.New(prometheus.CounterValue, "invalid_placements_total",
		"Placements that were not adopted because they are invalid.")
	metricVerified = metrics.New(prometheus.GaugeValue, "sure",
		"1 while this node trusts its view of the placements.")
	metricRecords = metrics.New(prometheus.GaugeValue, "records",
		"Records of flows held, by service.", "service")
	metricPins = metrics.New(prometheus.GaugeValue, "pins",
		"Pins held, by service.", "service")
	metricKnownUDP = metrics.New(prometheus.GaugeValue, "known_udp_flows",
		"UDP flows remembered, by service.", "service")
	metricFlowBytes = metrics.New(prometheus.GaugeValue, "flow_state_bytes",
		"Bytes of records, pins and known UDP flows, by service.", "service")
	metricVersion = metrics.New(prometheus.GaugeValue, "placement_version",
		"Version of the placement, by service.", "service")
	metricMoving = metrics.New(prometheus.GaugeValue, "moving_buckets",
		"Buckets in motion, by service.", "service")
	metricMembers = metrics.New(prometheus.GaugeValue, "members",
		"Members in this node's view, by zone and state (alive, leaving).", "peer_zone", "state")
	metricStoreUp = metrics.New(prometheus.GaugeValue, "store_up",
		"1 while the store answers.")
	metricStoreRequests = metrics.New(prometheus.CounterValue, "store_requests_total",
		"Requests to the store.")
	metricStoreFailures = metrics.New(prometheus.CounterValue, "store_failures_total",
		"Requests to the store without a usable answer.")
	metricStoreThrottled = metrics.New(prometheus.CounterValue, "store_throttled_total",
		"Requests that the store's rate limit refused.")
	metricStoreRetries = metrics.New(prometheus.CounterValue, "store_retries_total",
		"Requests to the store that were repeated.")
	metricStoreLostResponses = metrics.New(prometheus.CounterValue, "store_lost_answers_total",
		"Writes whose answer was lost.")
	metricStoreResolved = metrics.New(prometheus.CounterValue, "store_resolved_answers_total",
		"Writes whose lost answer was resolved.")
	metricWrites = metrics.New(prometheus.CounterValue, "placement_writes_total",
		"Placements this node tried to publish, by kind and outcome (done, conflict, unknown, not_run).", "kind", "outcome")
	metricPublished = metrics.New(prometheus.GaugeValue, "published_revision",
		"Store revision up to which every configuration change is published, as this node has seen it as a watcher.")
	metricInForce = metrics.New(prometheus.GaugeValue, "in_force_revision",
		"Store revision up to which every configuration change is in force at all live nodes of this zone; at watchers only.")
	metricZoneNodes = metrics.New(prometheus.GaugeValue, "zone_nodes",
		"Live nodes of this zone that the last statement speaks of; at watchers only.")
	metricZoneBehind = metrics.New(prometheus.GaugeValue, "zone_nodes_behind",
		"Nodes of this zone not known to have the newest placements; at watchers only.")
	metricWatcher = metrics.New(prometheus.GaugeValue, "watcher",
		"1 while this node watches the store and may publish.")
	metricProbes = metrics.New(prometheus.CounterValue, "probes_total",
		"Probes of back ends, by outcome (begun, failed).", "outcome")
	metricReady = metrics.New(prometheus.GaugeValue, "ready",
		"1 once this node has placements.")
)

// allMetrics lists every metric.
var allMetrics = append([]*metrics.Metric{
	metricDecisions, metricReasons, metricPinned, metricRerouted, metricHints, metricHandover,
	metricHandoverResent, metricPauses, metricVersionConflicts, metricInvalidPlacements, metricVerified,
	metricRecords, metricPins, metricKnownUDP, metricFlowBytes, metricVersion, metricMoving,
	metricMembers, metricStoreUp,
	metricStoreRequests, metricStoreFailures, metricStoreThrottled, metricStoreRetries,
	metricStoreLostResponses, metricStoreResolved, metricWrites, metricPublished, metricInForce,
	metricZoneNodes, metricZoneBehind, metricWatcher, metricProbes, metricReady,
	metricReceived, metricReceivedBytes, metricSent, metricMalformed, metricUnsent, metricSocketErrors,
}, transport.Metrics()...)

// MetricNames returns the names of all metrics of this package.
func MetricNames() []string {
	names := make([]string, len(allMetrics))
	for index, metric := range allMetrics {
		names[index] = metric.Name
	}
	return names
}

// collector reads a node's counters at each scrape, so that the packet path updates no Prometheus
// metrics.
type collector struct{ node *Node }

// Describe sends the descriptions of all metrics.
func (collector collector) Describe(descriptions chan<- *prometheus.Desc) {
	metrics.Describe(allMetrics, descriptions)
}

// Collect sends the current values of all metrics.
func (collector collector) Collect(samples chan<- prometheus.Metric) {
	node := collector.node
	output := sampler{metrics.Sampler{Samples: samples}}
	snapshot := node.engine.snapshot()
	output.core(&snapshot.stats)
	output.state(&snapshot.state)
	output.members(node)
	control := node.endpoints.Transport.Counters()
	control.Sample(output.Sampler)
	output.store(node.store.Stats())
	output.publisher(node, &snapshot)
	output.Add(metricWatcher, boolValue(snapshot.watcher))
	output.Add(metricReady, boolValue(node.ready.Load()))
	probes := node.prober.Counters()
	output.Count(metricProbes, probes.Begun, "begun")
	output.Count(metricProbes, probes.Failed, "failed")
	output.dataPlane(node)
}

// snapshot holds the engine's values that are exported as metrics.
type snapshot struct {
	stats   core.Stats
	state   core.State
	watcher bool
	// publishedRevision is the configuration revision that the published placements reflect.
	publishedRevision int64
	zoneReport        *message.InForce // nil if there is none yet
}

// snapshot returns a consistent copy of the engine's values for metrics.
func (engine *engine) snapshot() snapshot {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return snapshot{
		stats:             engine.core.Stats(),
		state:             engine.core.State(),
		watcher:           engine.watcher,
		publishedRevision: engine.publishedRevision,
		zoneReport:        engine.zoneReport,
	}
}

// sampler writes metric samples.
type sampler struct{ metrics.Sampler }

func (output sampler) core(stats *core.Stats) {
	output.Count(metricDecisions, stats.Forwarded, "forward")
	output.Count(metricDecisions, stats.Relayed, "relay")
	output.Count(metricDecisions, stats.Dropped, "drop")
	output.Count(metricDecisions, stats.Refused, "refuse")
	for index, reason := range core.Reasons {
		output.Count(metricReasons, stats.ByReason[index], string(reason))
	}
	output.Count(metricPinned, stats.PinnedPackets)
	output.Count(metricRerouted, stats.Rerouted)
	output.Count(metricHints, stats.HintsSent, "sent")
	output.Count(metricHints, stats.HintsSuppressed, "suppressed")
	output.Count(metricHandover, stats.HandoverSent)
	output.Count(metricHandoverResent, stats.HandoverResent)
	output.Count(metricPauses, stats.Pauses)
	output.Count(metricVersionConflicts, stats.VersionConflicts)
	output.Count(metricInvalidPlacements, stats.InvalidPlacements)
}

func (output sampler) state(state *core.State) {
	output.Add(metricVerified, boolValue(state.Verified))
	for index := range state.Services {
		service := &state.Services[index]
		name := string(service.Service)
		output.Add(metricRecords, float64(service.Records), name)
		output.Add(metricPins, float64(service.Pins), name)
		output.Add(metricKnownUDP, float64(service.KnownUDP), name)
		output.Add(metricFlowBytes, float64(service.Bytes), name)
		output.Add(metricVersion, float64(service.Version), name)
		output.Add(metricMoving, float64(service.MovingBuckets), name)
	}
}

func (output sampler) members(node *Node) {
	type group struct{ zone, state string }
	counts := map[group]int{}
	for _, entry := range node.directory.list() {
		counts[group{string(entry.Zone), stateOf(&entry)}]++
	}
	for group, count := range counts {
		output.Add(metricMembers, float64(count), group.zone, group.state)
	}
}

func (output sampler) publisher(node *Node, snapshot *snapshot) {
	node.writes.each(func(kind, outcome string, count uint64) {
		output.Count(metricWrites, count, kind, outcome)
	})
	output.Add(metricPublished, float64(snapshot.publishedRevision))
	if snapshot.zoneReport == nil || !snapshot.watcher {
		return
	}
	output.Add(metricInForce, float64(snapshot.zoneReport.ConfigRevision))
	output.Add(metricZoneNodes, float64(snapshot.zoneReport.Nodes))
	output.Add(metricZoneBehind, float64(snapshot.zoneReport.Behind))
}

func (output sampler) store(stats store.Stats) {
	output.Add(metricStoreUp, boolValue(stats.Circuit == store.CircuitClosed))
	output.Count(metricStoreRequests, stats.Requests)
	output.Count(metricStoreFailures, stats.Failures)
	output.Count(metricStoreThrottled, stats.Throttled)
	output.Count(metricStoreRetries, stats.Retries)
	output.Count(metricStoreLostResponses, stats.LostResponses)
	output.Count(metricStoreResolved, stats.ResolvedOutcomes)
}

// boolValue returns 1 for true and 0 for false.
func boolValue(set bool) float64 {
	if set {
		return 1
	}
	return 0
}
