package tokennode

import (
	"cmp"
	"encoding/json"
	"maps"
	"net/http"
	"slices"

	"robinpulley.example/robinpulley/internal/admissionqueue"
	"robinpulley.example/robinpulley/internal/fleetload"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/loadreport"
	"robinpulley.example/robinpulley/internal/logging"
	"robinpulley.example/robinpulley/internal/overload"
	"robinpulley.example/robinpulley/internal/steering"
	"robinpulley.example/robinpulley/internal/zoneweight"
)

// serveLoad answers GET /load with the node's report.
func (node *Node) serveLoad(response http.ResponseWriter, _ *http.Request) {
	response.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(response).Encode(node.engine.loadReport()); err != nil {
		node.engine.logger.Debug().Err(err).Str(logging.FieldKey, "/load").Msg("writing the load report to the client failed")
	}
}

// loadReport returns the report for operators on the load of all services.
func (engine *engine) loadReport() loadreport.Report {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	report := loadreport.Report{Node: engine.settings.Node, Zone: engine.settings.Zone}
	if engine.table == nil {
		return report
	}
	zoneWeights := engine.core.ZoneWeights()
	heldByLevel := engine.core.HeldByLevel()
	overloadStatus := make(map[lb.ServiceName]overload.Status)
	for _, status := range engine.core.OverloadStatus() {
		overloadStatus[status.Service] = status
	}
	for name, service := range engine.table.Services() {
		reported := loadreport.Service{Service: name, Zones: zonesOf(service, zoneWeights[name])}
		if load, found := engine.load.Services()[name]; found {
			reported.LoadKnown = true
			reported.AgeMillis = max(0, engine.now()-load.SummedAt).Milliseconds()
			addFleetLoad(&reported, &load)
		}
		addOverload(&reported, overloadStatus[name])
		addQueued(&reported, heldByLevel)
		report.Services = append(report.Services, reported)
	}
	slices.SortFunc(report.Services, func(a, b loadreport.Service) int { return cmp.Compare(a.Service, b.Service) })
	return report
}

// zonesOf returns the zones with back ends of a service, and their weights for this node's flows.
func zonesOf(service *steering.Service, weights zoneweight.Weights) []loadreport.Zone {
	var zones []loadreport.Zone
	for _, zone := range slices.Sorted(maps.Keys(service.Capacity())) {
		zones = append(zones, loadreport.Zone{Zone: zone, Capacity: service.Capacity()[zone], Weight: weights[zone]})
	}
	return zones
}

// addFleetLoad adds the fleet's load data on a service. It also adds zones without back ends.
func addFleetLoad(reported *loadreport.Service, load *fleetload.Service) {
	for index := range load.Zones {
		from := &load.Zones[index]
		at := slices.IndexFunc(reported.Zones, func(zone loadreport.Zone) bool { return zone.Zone == from.Zone })
		if at < 0 {
			at = len(reported.Zones)
			reported.Zones = append(reported.Zones, loadreport.Zone{Zone: from.Zone})
		}
		zone := &reported.Zones[at]
		zone.Load, zone.Answers, zone.Rejected = from.Load, from.Answers, from.Rejected
		for _, level := range from.Levels {
			zone.Demand = append(zone.Demand, loadreport.Demand{Priority: level.Priority, Begun: level.Begun, Refused: level.Refused})
		}
	}
}

// addOverload adds this node's pressure, admission rates and refused openings.
func addOverload(reported *loadreport.Service, status overload.Status) {
	reported.Pressure, reported.Refused = status.Pressure, status.Refused
	for _, level := range status.Levels {
		reported.Levels = append(reported.Levels, loadreport.Admission{Priority: level.Priority, Rate: level.AdmissionRate})
	}
}

// addQueued adds the openings that this node holds until back ends have free slots.
func addQueued(reported *loadreport.Service, heldByLevel map[admissionqueue.Level]int) {
	for level, count := range heldByLevel {
		if level.Service != reported.Service {
			continue
		}
		at := slices.IndexFunc(reported.Levels, func(admission loadreport.Admission) bool { return admission.Priority == level.Priority })
		if at < 0 {
			at = len(reported.Levels)
			reported.Levels = append(reported.Levels, loadreport.Admission{Priority: level.Priority, Rate: 1})
		}
		reported.Levels[at].Queued = count
	}
}
