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

// callKey tells apart the calls to the store.
type callKey struct {
	kind    follower.ReadKind
	reason  follower.Reason
	failure follower.Failure
	news    bool
}

// callCounts counts calls to the store.
type callCounts struct {
	requests map[callKey]uint64
	rejected uint64 // entries that could not be read
	// rejectedLines bounds the lines about them.
	rejectedLines quota
	up            bool // the last call succeeded
}

func newCallCounts() callCounts { return callCounts{requests: make(map[callKey]uint64), up: true} }

// kindPublish is the kind under which the writing of a snapshot is counted, reasonChanged its reason.
const (
	kindPublish   follower.ReadKind = "publish"
	reasonChanged follower.Reason   = "changed"
)

// keyOf tells what a call is counted under.
func keyOf(result *follower.ReadResult) callKey {
	return callKey{
		kind: result.Read.Kind, reason: result.Read.Reason, failure: result.Failure,
		news: result.Changes != nil && len(result.Changes.Changes) > 0,
	}
}

// The metrics. docs/operations-platform.md explains each.
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
	metricReached = metrics.New(prometheus.GaugeValue, "zone_reached",
		"1 for each zone with back ends that this node reaches, 0 for one that it does not.", "zone")
	metricAvoided = metrics.New(prometheus.GaugeValue, "backends_avoided",
		"Back ends that this node avoids since the nodes together take them for failing.")
	metricRank = metrics.New(prometheus.GaugeValue, "reader_rank",
		"Place of this node among those of its zone, by which they lose patience with an old view.")
	metricReads = metrics.New(prometheus.GaugeValue, "reader",
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

// The metrics of overload control.
var (
	metricPressure = metrics.New(prometheus.GaugeValue, "service_pressure",
		"Time that requests of a service take, over what they may; 1: as much as can be done in time.", "service")
	metricAdmitted = metrics.New(prometheus.GaugeValue, "service_admitted_ratio",
		"Part of the openings of a service that is let in, by priority.", "service", "priority")
	metricOverloadRefused = metrics.New(prometheus.CounterValue, "overload_refused_total",
		"Openings refused because their service is overloaded.", "service")
)

// The metrics of what the fleet knows of load. Those of a service are there while it is near
// its limit, and known.
var (
	metricAsked = metrics.New(prometheus.GaugeValue, "fleet_asked_slots",
		"Work that a zone's callers ask for, in slots (seconds of work a second), by service, zone and priority.", "service", "zone", "priority")
	metricAskedRefused = metrics.New(prometheus.GaugeValue, "fleet_refused_slots",
		"The part of it that is refused.", "service", "zone", "priority")
	metricCapacity = metrics.New(prometheus.GaugeValue, "fleet_capacity_slots",
		"What the ready back ends of a zone work on at once.", "service", "zone")
	metricLoad = metrics.New(prometheus.GaugeValue, "fleet_load_ratio",
		"Time of requests at the back ends of a zone, as all nodes see it, over that at idle ones.", "service", "zone")
	metricLoadAge = metrics.New(prometheus.GaugeValue, "fleet_load_age_seconds",
		"Time since the newest part of what is known of a service's load was summed up.", "service")
	metricHome = metrics.New(prometheus.GaugeValue, "home_ratio",
		"Part of this node's new flows of a service that the back ends of its own zone get.", "service")
)

// The metrics of openings that wait for room.
var (
	metricWaiting = metrics.New(prometheus.GaugeValue, "openings_waiting",
		"Openings that are held until there is room for them.")
	metricHeld = metrics.New(prometheus.CounterValue, "openings_held_total",
		"Openings that were held since there was no room for them when they came.")
	metricWent = metrics.New(prometheus.CounterValue, "openings_let_go_total",
		"Openings that were held and then forwarded; the other ones were refused, or dropped for a copy.")
	metricFreed = metrics.New(prometheus.CounterValue, "openings_to_freed_total",
		"Openings that went to a back end which had just become free.")
	metricWaitTime = metrics.New(prometheus.CounterValue, "openings_waited_seconds_total",
		"How long openings that were held have waited, all together.")
)

// allMetrics lists every metric.
var allMetrics = append([]*metrics.Metric{
	metricReasons, metricDecisions, metricCalls, metricRejected, metricRevision, metricAge, metricVersion,
	metricEvacuated, metricReached, metricAvoided, metricRank, metricReads, metricMembers, metricLeaving, metricReady, metricTracked, metricUntracked, metricUnannounced, metricCorrected, metricReceived, metricSent, metricMalformed,
	metricSocketErrors, metricDecisionTime, metricCallTime, metricPressure, metricAdmitted, metricOverloadRefused,
	metricAsked, metricAskedRefused, metricCapacity, metricLoad, metricLoadAge, metricHome,
	metricWaiting, metricHeld, metricWent, metricFreed, metricWaitTime,
}, transport.Metrics()...)

// collector reads the counters of a node when metrics are asked for, so that
// the packet path keeps none of its own.
type collector struct{ node *Node }

// Describe gives the descriptions of all metrics.
func (collector collector) Describe(descriptions chan<- *prometheus.Desc) {
	metrics.Describe(allMetrics, descriptions)
}

// Collect gives the present values of all metrics.
func (collector collector) Collect(samples chan<- prometheus.Metric) {
	node := collector.node
	output := sampler{metrics.Sampler{Samples: samples}}
	state := node.engine.state()
	output.decisions(&state.stats)
	output.view(&state)
	output.pressures(state.pressures)
	report := node.engine.loadReport()
	output.loads(&report)
	output.waits(&state)
	output.tracked(&state.tracked)
	output.Add(metricReady, readyValue(node))
	output.plane(node.endpoints.Plane.Counters())
	control := node.endpoints.Transport.Counters()
	control.Sample(output.Sampler)
}

// sampler writes samples of metrics.
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
	for key, calls := range state.calls {
		output.Count(metricCalls, calls, string(key.kind), string(key.reason), string(key.failure), strconv.FormatBool(key.news))
	}
	output.Count(metricRejected, state.rejected)
	output.Add(metricRevision, float64(state.revision))
	output.Add(metricAge, state.age)
	output.Count(metricVersion, state.version)
	for _, zone := range state.evacuated {
		output.Add(metricEvacuated, 1, string(zone))
	}
	for _, zone := range state.reached {
		reached := 0.0
		if zone.Reachable {
			reached = 1
		}
		output.Add(metricReached, reached, string(zone.Zone))
	}
	output.Add(metricAvoided, float64(state.avoided))
	output.Add(metricRank, float64(state.rank))
	output.Add(metricReads, state.reads)
	output.Add(metricMembers, float64(state.members))
	output.Add(metricLeaving, float64(state.leaving))
	output.histogram(metricDecisionTime, state.decisionTime)
	output.histogram(metricCallTime, state.callTime)
}

func (output sampler) tracked(stats *conntrack.Stats) {
	output.Add(metricTracked, float64(stats.Flows))
	output.Count(metricUntracked, stats.Untracked)
	output.Count(metricUnannounced, stats.Unannounced)
	output.Count(metricCorrected, stats.Corrected)
}

func (output sampler) pressures(statuses []overload.Status) {
	for _, status := range statuses {
		output.Add(metricPressure, status.Pressure, string(status.Service))
		output.Count(metricOverloadRefused, status.Refused, string(status.Service))
		for _, level := range status.Levels {
			output.Add(metricAdmitted, level.Admitted, string(status.Service), strconv.Itoa(int(level.Priority)))
		}
	}
}

// loads writes what the fleet knows of load, and where new flows go by it.
func (output sampler) loads(report *loadreport.Report) {
	for index := range report.Services {
		service := &report.Services[index]
		name := string(service.Service)
		for part := range service.Zones {
			zone := &service.Zones[part]
			if zone.Zone == report.Zone {
				output.Add(metricHome, zone.Weight, name)
			}
			if service.Known {
				output.knownZone(name, zone)
			}
		}
		if service.Known {
			output.Add(metricLoadAge, float64(service.AgeMillis)/1000, name)
		}
	}
}

func (output sampler) knownZone(service string, zone *loadreport.Zone) {
	output.Add(metricCapacity, zone.Capacity, service, string(zone.Zone))
	if zone.Answers > 0 {
		output.Add(metricLoad, zone.Load, service, string(zone.Zone))
	}
	for _, demand := range zone.Demand {
		priority := strconv.Itoa(int(demand.Priority))
		output.Add(metricAsked, demand.Begun+demand.Refused, service, string(zone.Zone), priority)
		output.Add(metricAskedRefused, demand.Refused, service, string(zone.Zone), priority)
	}
}

func (output sampler) histogram(metric *metrics.Metric, times times) {
	output.Samples <- prometheus.MustNewConstHistogram(metric.Description, times.count, times.sum.Seconds(), times.buckets())
}

func (output sampler) plane(counters dataplane.Counters) {
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

// engineState is what the engine tells for metrics.
type engineState struct {
	stats     core.Stats
	calls     map[callKey]uint64
	rejected  uint64
	revision  int64
	version   uint64
	evacuated []lb.Zone
	avoided   int
	reached   []reachability.Status
	age       float64 // seconds
	rank      int
	reads     float64 // 1: this node reads for the others
	members   int
	leaving   int

	waiting      int
	tracked      conntrack.Stats
	pressures    []overload.Status
	decisionTime times
	callTime     times
}

func (engine *engine) state() engineState {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	state := engineState{
		stats:     engine.core.Stats(),
		calls:     maps.Clone(engine.calls.requests),
		rejected:  engine.calls.rejected,
		revision:  engine.follower.Replica().Revision(),
		version:   engine.follower.Replica().Version(),
		evacuated: engine.follower.Replica().Evacuated(),
		avoided:   engine.evidence.EjectedCount(),
		reached:   engine.core.ZoneReachability(),
		rank:      engine.follower.Rank(),
		members:   engine.others + 1,
		leaving:   engine.leaving,

		waiting:      engine.core.HeldOpenings(),
		tracked:      engine.core.TrackedFlowStats(),
		pressures:    engine.core.OverloadStatus(),
		decisionTime: engine.decisionTime,
		callTime:     engine.callTime,
	}
	if engine.follower.IsWatcher() {
		state.reads = 1
	}
	if age, known := engine.follower.Age(engine.now()); known {
		state.age = age.Seconds()
	}
	return state
}
