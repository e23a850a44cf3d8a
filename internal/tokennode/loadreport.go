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
		node.engine.logger.Debug().Err(err).Str(logging.FieldKey, "/load").Msg("the report was not taken") // by who had asked for it
	}
}

// loadReport gives what operators see of the load of all services.
func (engine *engine) loadReport() loadreport.Report {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	report := loadreport.Report{Node: engine.settings.Node, Zone: engine.settings.Zone}
	if engine.table == nil {
		return report
	}
	shares := engine.core.ZoneWeights()
	held := engine.core.HeldByLevel()
	pressures := make(map[lb.ServiceName]overload.Status)
	for _, status := range engine.core.OverloadStatus() {
		pressures[status.Service] = status
	}
	for name, service := range engine.table.Services() {
		told := loadreport.Service{Service: name, Zones: zonesOf(service, shares[name])}
		if known, found := engine.load.Services()[name]; found {
			told.Known = true
			told.AgeMillis = max(0, engine.now()-known.SummedAt).Milliseconds()
			addKnown(&told, &known)
		}
		addPressure(&told, pressures[name])
		addWaiting(&told, held)
		report.Services = append(report.Services, told)
	}
	slices.SortFunc(report.Services, func(a, b loadreport.Service) int { return cmp.Compare(a.Service, b.Service) })
	return report
}

// zonesOf gives the zones with back ends of a service, and their parts of this node's flows.
func zonesOf(service *steering.Service, parts zoneweight.Weights) []loadreport.Zone {
	var zones []loadreport.Zone
	for _, zone := range slices.Sorted(maps.Keys(service.Capacity())) {
		zones = append(zones, loadreport.Zone{Zone: zone, Capacity: service.Capacity()[zone], Weight: parts[zone]})
	}
	return zones
}

// addKnown adds what the fleet knows of a service, also of zones without back ends.
func addKnown(told *loadreport.Service, known *fleetload.Service) {
	for index := range known.Zones {
		from := &known.Zones[index]
		at := slices.IndexFunc(told.Zones, func(zone loadreport.Zone) bool { return zone.Zone == from.Zone })
		if at < 0 {
			at = len(told.Zones)
			told.Zones = append(told.Zones, loadreport.Zone{Zone: from.Zone})
		}
		zone := &told.Zones[at]
		zone.Load, zone.Answers, zone.Rejected = from.Load, from.Answers, from.Rejected
		for _, level := range from.Levels {
			zone.Demand = append(zone.Demand, loadreport.Demand{Priority: level.Priority, Begun: level.Begun, Refused: level.Refused})
		}
	}
}

// addPressure adds what this node lets in and has refused.
func addPressure(told *loadreport.Service, status overload.Status) {
	told.Pressure, told.Refused = status.Pressure, status.Refused
	for _, level := range status.Levels {
		told.Levels = append(told.Levels, loadreport.Admission{Priority: level.Priority, Rate: level.Admitted})
	}
}

// addWaiting adds the openings that this node holds until there is room.
func addWaiting(told *loadreport.Service, held map[admissionqueue.Level]int) {
	for level, count := range held {
		if level.Service != told.Service {
			continue
		}
		at := slices.IndexFunc(told.Levels, func(known loadreport.Admission) bool { return known.Priority == level.Priority })
		if at < 0 {
			at = len(told.Levels)
			told.Levels = append(told.Levels, loadreport.Admission{Priority: level.Priority, Rate: 1})
		}
		told.Levels[at].Queued = count
	}
}
