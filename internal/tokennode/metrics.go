package tokennode

import (
	"maps"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"robinpulley.example/robinpulley/internal/conntrack"
	"robinpulley.example/robinpulley/internal/core"
	"robinpulley.example/robinpulley/internal/dataplane"
	"robinpulley.example/robinpulley/internal/follower"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/loadreport"
	"robinpulley.example/robinpulley/internal/metrics"
	"robinpulley.example/robinpulley/internal/overload"
	"robinpulley.example/robinpulley/internal/packet"
	"robinpulley.example/robinpulley/internal/reachability"
	"robinpulley.example/robinpulley/internal/transport"
)

// callKey holds the labels by which calls to the store are counted.
type callKey struct {
	kind    follower.ReadKind
	reason  follower.Reason
	failure follower.Failure
	changed bool
}

// callCounts counts calls to the store and the entries that could not be decoded.
type callCounts struct {
	requests map[callKey]uint64
	rejected uint64 // store entries that could not be decoded
	// rejectedLimiter limits the log lines about rejected entries.
	rejectedLimiter lineLimiter
	storeUp         bool // the store answered the last call
}

func newCallCounts() callCounts { return callCounts{requests: make(map[callKey]uint64), storeUp: true} }

// kindPublish and reasonChanged are the kind and the reason under which snapshot writes are
// counted.
const (
	kindPublish   follower.ReadKind = "publish"
	reasonChanged follower.Reason   = "changed"
)

// keyOf returns the key under which a call is counted.
func keyOf(result *follower.ReadResult) callKey {
	return callKey{
		kind: result.Read.Kind, reason: result.Read.Reason, failure: result.Failure,
		changed: result.Changes != nil && len(result.Changes.Changes) > 0,
	}
}

// Metrics of decisions, the store, the membership and the data plane. docs/operations-platform.md
// explains each.
var (
	metricReasons = metrics.New(prometheus.CounterValue, "decision_reasons_total",
		"Packets dropped or refused, by reason.", "reason")
	metricDecisions = metrics.New(prometheus.CounterValue, "decisions_total",
		"Packets decided on, by action.", "action")
	metricCalls = metrics.New(prometheus.CounterValue, "store_calls_total",
		"Requests to the platform's store, by kind (list, watch, snapshot, publish), reason, failure (empty: none) and whether a watch brought changes.",
		"kind", "reason", "failure", "news")
	metricRejected = metrics.New(prometheus.CounterValue, "documents_rejected_total",
		"Entries of the store that could not be read.")
	metricRevision = metrics.New(prometheus.GaugeValue, "view_revision",
		"Store revision of the view.")
	metricAge = metrics.New(prometheus.GaugeValue, "view_age_seconds",
		"Time since the view was last known to be the newest.")
	metricVersion = metrics.New(prometheus.GaugeValue, "configuration_version",
		"Version of the configuration in force.")
	metricEvacuated = metrics.New(prometheus.GaugeValue, "zone_evacuated",
		"1 for each zone whose back ends get no new flows by the operators' word.", "zone")
	metricZoneReachable = metrics.New(prometheus.GaugeValue, "zone_reached",
		"1 for each zone with back ends that this node reaches, 0 for one that it does not.", "zone")
	metricEjected = metrics.New(prometheus.GaugeValue, "backends_avoided",
		"Back ends that this node avoids since the nodes together take them for failing.")
	metricTakeoverRank = metrics.New(prometheus.GaugeValue, "reader_rank",
		"Place of this node among those of its zone, by which they lose patience with an old view.")
	metricWatcher = metrics.New(prometheus.GaugeValue, "reader",
		"1 while this node reads the store for the others.")
	metricMembers = metrics.New(prometheus.GaugeValue, "members_alive",
		"Living balancers known, this one included.")
	metricLeaving = metrics.New(prometheus.GaugeValue, "members_leaving",
		"Living balancers known that are in a planned stop, this one included.")
	metricReady = metrics.New(prometheus.GaugeValue, "ready",
		"1 while this node may be sent packets.")
	metricTracked = metrics.New(prometheus.GaugeValue, "flows_tracked",
		"Flows whose opening more than one back end may answer, and which a late answer must not move.")
	metricUntracked = metrics.New(prometheus.CounterValue, "flows_untracked_total",
		"Such flows that were not tracked, as there were too many.")
	metricUnannounced = metrics.New(prometheus.CounterValue, "flows_unannounced_total",
		"Such flows that were not announced to other balancers, as there were too many.")
	metricCorrected = metrics.New(prometheus.CounterValue, "tokens_corrected_total",
		"Packets that came with the token of a back end at which their flow is not open.")
	metricReceived = metrics.New(prometheus.CounterValue, "received_packets_total",
		"Datagrams received on the data address.")
	metricSent = metrics.New(prometheus.CounterValue, "sent_packets_total",
		"Packets handed to the socket, by action (forward, refuse).", "action")
	metricMalformed = metrics.New(prometheus.CounterValue, "malformed_packets_total",
		"Datagrams dropped because they are malformed, by cause.", "cause")
	metricSocketErrors = metrics.New(prometheus.CounterValue, "socket_errors_total",
		"Errors of the data socket, by direction (read, write).", "direction")
	metricDecisionTime = metrics.New(prometheus.UntypedValue, "decision_seconds",
		"Time from a packet's decoding to the decision on it, as a histogram.")
	metricCallTime = metrics.New(prometheus.UntypedValue, "store_call_seconds",
		"Time that calls to the platform's store took, as a histogram; watches wait for changes.")
)

// Metrics of overload control.
var (
	metricPressure = metrics.New(prometheus.GaugeValue, "service_pressure",
		"Time that requests of a service take, over what they may; 1: as much as can be done in time.", "service")
	metricAdmissionRate = metrics.New(prometheus.GaugeValue, "service_admitted_ratio",
		"Part of the openings of a service that is let in, by priority.", "service", "priority")
	metricOverloadRefused = metrics.New(prometheus.CounterValue, "overload_refused_total",
		"Openings refused because their service is overloaded.", "service")
)

// Metrics of the fleet's load. Those of a service are exported while the service is near its limit
// and load data on it exists.
var (
	metricDemand = metrics.New(prometheus.GaugeValue, "fleet_asked_slots",
		"Work that a zone's callers ask for, in slots (seconds of work a second), by service, zone and priority.", "service", "zone", "priority")
	metricRefusedDemand = metrics.New(prometheus.GaugeValue, "fleet_refused_slots",
		"The part of it that is refused.", "service", "zone", "priority")
	metricCapacity = metrics.New(prometheus.GaugeValue, "fleet_capacity_slots",
		"What the ready back ends of a zone work on at once.", "service", "zone")
	metricLoad = metrics.New(prometheus.GaugeValue, "fleet_load_ratio",
		"Time of requests at the back ends of a zone, as all nodes see it, over that at idle ones.", "service", "zone")
	metricLoadAge = metrics.New(prometheus.GaugeValue, "fleet_load_age_seconds",
		"Time since the newest part of what is known of a service's load was summed up.", "service")
	metricLocalWeight = metrics.New(prometheus.GaugeValue, "home_ratio",
		"Part of this node's new flows of a service that the back ends of its own zone get.", "service")
)

// Metrics of openings that are held until back ends have free slots.
var (
	metricHeldOpenings = metrics.New(prometheus.GaugeValue, "openings_waiting",
		"Openings that are held until there is room for them.")
	metricOpeningsHeld = metrics.New(prometheus.CounterValue, "openings_held_total",
		"Openings that were held since there was no room for them when they came.")
	metricHeldForwarded = metrics.New(prometheus.CounterValue, "openings_let_go_total",
		"Openings that were held and then forwarded; the other ones were refused, or dropped for a copy.")
	metricToFreedBackends = metrics.New(prometheus.CounterValue, "openings_to_freed_total",
		"Openings that went to a back end which had just become free.")
	metricHeldTime = metrics.New(prometheus.CounterValue, "openings_waited_seconds_total",
		"How long openings that were held have waited, all together.")
)

// allMetrics lists every metric.
var allMetrics = append([]*metrics.Metric{
	metricReasons, metricDecisions, metricCalls, metricRejected, metricRevision, metricAge, metricVersion,
	metricEvacuated, metricZoneReachable, metricEjected, metricTakeoverRank, metricWatcher, metricMembers, metricLeaving, metricReady, metricTracked, metricUntracked, metricUnannounced, metricCorrected, metricReceived, metricSent, metricMalformed,
	metricSocketErrors, metricDecisionTime, metricCallTime, metricPressure, metricAdmissionRate, metricOverloadRefused,
	metricDemand, metricRefusedDemand, metricCapacity, metricLoad, metricLoadAge, metricLocalWeight,
	metricHeldOpenings, metricOpeningsHeld, metricHeldForwarded, metricToFreedBackends, metricHeldTime,
}, transport.Metrics()...)

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
	state := node.engine.state()
	output.decisions(&state.stats)
	output.view(&state)
	output.overload(state.overload)
	report := node.engine.loadReport()
	output.fleetLoad(&report)
	output.queue(&state)
	output.trackedFlows(&state.trackedFlows)
	output.Add(metricReady, readyValue(node))
	output.dataPlane(node.endpoints.Plane.Counters())
	control := node.endpoints.Transport.Counters()
	control.Sample(output.Sampler)
}

// sampler writes metric samples.
type sampler struct{ metrics.Sampler }

func (output sampler) decisions(stats *core.Stats) {
	output.Count(metricDecisions, stats.Forwarded, "forward")
	output.Count(metricDecisions, stats.Dropped, "drop")
	output.Count(metricDecisions, stats.Refused, "refuse")
	for index, reason := range core.Reasons {
		if stats.ByReason[index] > 0 {
			output.Count(metricReasons, stats.ByReason[index], string(reason))
		}
	}
}

func (output sampler) view(state *engineState) {
	for key, calls := range state.storeCalls {
		output.Count(metricCalls, calls, string(key.kind), string(key.reason), string(key.failure), strconv.FormatBool(key.changed))
	}
	output.Count(metricRejected, state.rejectedEntries)
	output.Add(metricRevision, float64(state.revision))
	output.Add(metricAge, state.age)
	output.Count(metricVersion, state.version)
	for _, zone := range state.evacuated {
		output.Add(metricEvacuated, 1, string(zone))
	}
	for _, zone := range state.reachability {
		reachable := 0.0
		if zone.Reachable {
			reachable = 1
		}
		output.Add(metricZoneReachable, reachable, string(zone.Zone))
	}
	output.Add(metricEjected, float64(state.ejected))
	output.Add(metricTakeoverRank, float64(state.takeoverRank))
	output.Add(metricWatcher, state.isWatcher)
	output.Add(metricMembers, float64(state.members))
	output.Add(metricLeaving, float64(state.leaving))
	output.histogram(metricDecisionTime, state.decisionTime)
	output.histogram(metricCallTime, state.callTime)
}

func (output sampler) trackedFlows(stats *conntrack.Stats) {
	output.Add(metricTracked, float64(stats.Flows))
	output.Count(metricUntracked, stats.Untracked)
	output.Count(metricUnannounced, stats.Unannounced)
	output.Count(metricCorrected, stats.Corrected)
}

func (output sampler) overload(statuses []overload.Status) {
	for _, status := range statuses {
		output.Add(metricPressure, status.Pressure, string(status.Service))
		output.Count(metricOverloadRefused, status.Refused, string(status.Service))
		for _, level := range status.Levels {
			output.Add(metricAdmissionRate, level.AdmissionRate, string(status.Service), strconv.Itoa(int(level.Priority)))
		}
	}
}

// fleetLoad writes the fleet's load and the resulting weight of the local zone, for each service.
func (output sampler) fleetLoad(report *loadreport.Report) {
	for index := range report.Services {
		service := &report.Services[index]
		name := string(service.Service)
		for at := range service.Zones {
			zone := &service.Zones[at]
			if zone.Zone == report.Zone {
				output.Add(metricLocalWeight, zone.Weight, name)
			}
			if service.LoadKnown {
				output.zoneLoad(name, zone)
			}
		}
		if service.LoadKnown {
			output.Add(metricLoadAge, float64(service.AgeMillis)/1000, name)
		}
	}
}

// zoneLoad writes a zone's capacity, load and demand for a service.
func (output sampler) zoneLoad(service string, zone *loadreport.Zone) {
	output.Add(metricCapacity, zone.Capacity, service, string(zone.Zone))
	if zone.Answers > 0 {
		output.Add(metricLoad, zone.Load, service, string(zone.Zone))
	}
	for _, demand := range zone.Demand {
		priority := strconv.Itoa(int(demand.Priority))
		output.Add(metricDemand, demand.Begun+demand.Refused, service, string(zone.Zone), priority)
		output.Add(metricRefusedDemand, demand.Refused, service, string(zone.Zone), priority)
	}
}

func (output sampler) histogram(metric *metrics.Metric, durations durationHistogram) {
	output.Samples <- prometheus.MustNewConstHistogram(metric.Description, durations.count, durations.sum.Seconds(), durations.buckets())
}

func (output sampler) dataPlane(counters dataplane.Counters) {
	output.Count(metricReceived, counters.Received)
	output.Count(metricSent, counters.Forwarded, "forward")
	output.Count(metricSent, counters.Refused, "refuse")
	for cause, count := range counters.Malformed {
		if count > 0 {
			output.Count(metricMalformed, count, packet.Cause(cause).String())
		}
	}
	output.Count(metricSocketErrors, counters.ReadErrors, "read")
	output.Count(metricSocketErrors, counters.WriteErrors, "write")
}

func readyValue(node *Node) float64 {
	if ready, _ := node.isReady(); ready {
		return 1
	}
	return 0
}

// engineState holds the engine's values that are exported as metrics.
type engineState struct {
	stats           core.Stats
	storeCalls      map[callKey]uint64
	rejectedEntries uint64
	revision        int64
	version         uint64
	evacuated       []lb.Zone
	ejected         int
	reachability    []reachability.Status
	age             float64 // seconds
	takeoverRank    int
	isWatcher       float64 // 1 while this node is the designated watcher of the store, else 0
	members         int
	leaving         int

	heldOpenings int
	trackedFlows conntrack.Stats
	overload     []overload.Status
	decisionTime durationHistogram
	callTime     durationHistogram
}

// state returns a consistent copy of the engine's values for metrics.
func (engine *engine) state() engineState {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	state := engineState{
		stats:           engine.core.Stats(),
		storeCalls:      maps.Clone(engine.calls.requests),
		rejectedEntries: engine.calls.rejected,
		revision:        engine.follower.Replica().Revision(),
		version:         engine.follower.Replica().Version(),
		evacuated:       engine.follower.Replica().Evacuated(),
		ejected:         engine.outliers.EjectedCount(),
		reachability:    engine.core.ZoneReachability(),
		takeoverRank:    engine.follower.Rank(),
		members:         engine.otherMembers + 1,
		leaving:         engine.leavingMembers,

		heldOpenings: engine.core.HeldOpenings(),
		trackedFlows: engine.core.TrackedFlowStats(),
		overload:     engine.core.OverloadStatus(),
		decisionTime: engine.decisionTime,
		callTime:     engine.callTime,
	}
	if engine.follower.IsWatcher() {
		state.isWatcher = 1
	}
	if age, known := engine.follower.Age(engine.now()); known {
		state.age = age.Seconds()
	}
	return state
}
