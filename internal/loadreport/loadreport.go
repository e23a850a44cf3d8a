// Package loadreport defines the load report of a balancer for operators: the demand of clients and
// the capacity of back ends by service, zone and priority, with the age of the data, and how many
// openings this balancer admits, queues and refuses. It also merges the reports of several
// balancers into one table. It has no I/O and no clock.
package loadreport

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lb"
)

// Report is the load report of one balancer.
type Report struct {
	Node     lb.NodeID `json:"node"`
	Zone     lb.Zone   `json:"zone"`
	Services []Service `json:"services"`
}

// Service is the state of one service at one balancer.
type Service struct {
	Service lb.ServiceName `json:"service"`
	// LoadKnown is set if the fleet's load data for the service is present; it is AgeMillis old.
	// The data is absent while the service is far from its limit, or if no recent reports were
	// received.
	LoadKnown bool  `json:"known"`
	AgeMillis int64 `json:"age_ms,omitempty"`
	// Pressure is the duration of requests relative to their permitted duration, as observed by
	// this balancer.
	Pressure float64 `json:"pressure"`
	// Refused counts the openings that this balancer has refused because of load since its start.
	Refused uint64      `json:"refused_total"`
	Zones   []Zone      `json:"zones"`
	Levels  []Admission `json:"levels"`
}

// Zone is one zone of a service. Amounts of work are in slots: seconds of work a second.
type Zone struct {
	Zone lb.Zone `json:"zone"`
	// Capacity is the number of requests that the zone's ready back ends process concurrently.
	Capacity float64 `json:"capacity"`
	// Weight is the fraction of this balancer's new flows that goes to the zone's back ends.
	Weight float64 `json:"part"`
	// Demand is the work that clients in the zone request, by priority. It is empty unless
	// LoadKnown is set.
	Demand []Demand `json:"demand,omitempty"`
	// Load is the duration of requests at the zone's back ends relative to idle back ends, and
	// Answers the number of answers a second that it is computed from. Rejected is the number of
	// openings a second that the back ends reject.
	Load     float64 `json:"load,omitempty"`
	Answers  float64 `json:"answers,omitempty"`
	Rejected float64 `json:"rejected,omitempty"`
}

// Demand is the work that clients request in openings and requests of one priority.
type Demand struct {
	Priority uint16  `json:"priority"`
	Begun    float64 `json:"begun"`
	Refused  float64 `json:"refused"`
}

// Admission states how this balancer handles openings of one priority.
type Admission struct {
	Priority uint16 `json:"priority"`
	// Rate is the admission rate, from 0 to 1.
	Rate float64 `json:"admitted"`
	// Queued is the number of openings in the admission queue.
	Queued int `json:"waiting"`
}

// Limits of a decoded report, far above the values of the largest fleet that the design targets.
const (
	maxServices = 1 << 14
	maxEntries  = 1 << 10
)

// Validate returns an error that names the first invalid value, or nil.
func (r *Report) Validate() error {
	if r.Node == "" || r.Zone == "" {
		return errors.Newf("node %q or zone %q is missing", r.Node, r.Zone)
	}
	if len(r.Services) > maxServices {
		return errors.Newf("services: %d are too many", len(r.Services))
	}
	for index := range r.Services {
		service := &r.Services[index]
		if service.Service == "" {
			return errors.Newf("services[%d]: service is missing", index)
		}
		if len(service.Zones) > maxEntries || len(service.Levels) > maxEntries {
			return errors.Newf("services[%d]: %d zones or %d levels are too many", index, len(service.Zones), len(service.Levels))
		}
		if service.AgeMillis < 0 {
			return errors.Newf("services[%d]: age_ms %d is negative", index, service.AgeMillis)
		}
		for zoneIndex := range service.Zones {
			zone := &service.Zones[zoneIndex]
			if zone.Zone == "" || zone.Capacity < 0 || len(zone.Demand) > maxEntries {
				return errors.Newf("services[%d]: zones[%d]: zone %q, capacity %v or the number of levels %d is invalid",
					index, zoneIndex, zone.Zone, zone.Capacity, len(zone.Demand))
			}
		}
	}
	return nil
}

// Row is one row of the table over several balancers, for one priority of a service in a zone.
type Row struct {
	Service  lb.ServiceName `json:"service"`
	Zone     lb.Zone        `json:"zone"`
	Priority uint16         `json:"priority"`
	// LoadKnown and AgeMillis describe the newest load data of any balancer.
	LoadKnown bool  `json:"known"`
	AgeMillis int64 `json:"age_ms"`
	// Capacity, SpareCapacity and Load belong to the zone and are the same for all its priorities.
	// SpareCapacity is the spare capacity after the demand of the zone's own clients; it is
	// negative if this demand exceeds the capacity of the back ends.
	Capacity      float64 `json:"capacity"`
	SpareCapacity float64 `json:"room"`
	Load          float64 `json:"load"`
	// Demand is the demand of clients of this priority, and Refused the part of it that is refused,
	// in slots.
	Demand  float64 `json:"asked"`
	Refused float64 `json:"refused"`
	// LocalWeight is the fraction of the new flows of the zone's clients that goes to its own back
	// ends, AdmissionRate the mean admission rate, and Queued the number of queued openings, at the
	// Nodes balancers of the zone that have reported.
	LocalWeight   float64 `json:"home"`
	AdmissionRate float64 `json:"admitted"`
	Queued        int     `json:"waiting"`
	Nodes         int     `json:"nodes"`
}

// rowID identifies a row.
type rowID struct {
	service  lb.ServiceName
	zone     lb.Zone
	priority uint16
}

// tableBuilder collects the rows of a table.
type tableBuilder struct {
	rows       map[rowID]*Row
	newest     map[lb.ServiceName]*Service
	priorities map[lb.ServiceName][]uint16 // priorities with any data, sorted
}

// Rows merges the reports of several balancers into one table, sorted by service, zone and
// priority. The fleet's load data comes from the balancer with the newest data; the state of the
// balancers is aggregated over each zone.
func Rows(reports []Report) []Row {
	t := tableBuilder{
		rows: make(map[rowID]*Row), newest: make(map[lb.ServiceName]*Service),
		priorities: make(map[lb.ServiceName][]uint16),
	}
	for index := range reports {
		for entry := range reports[index].Services {
			t.recordNewest(&reports[index].Services[entry])
		}
	}
	for _, service := range t.newest {
		t.addFleetLoad(service)
	}
	for index := range reports {
		for entry := range reports[index].Services {
			t.addBalancer(reports[index].Zone, &reports[index].Services[entry])
		}
	}
	return t.sorted()
}

// recordNewest keeps the newest load data of a service, and collects the priorities that occur in
// any report.
func (t *tableBuilder) recordNewest(service *Service) {
	known := t.newest[service.Service]
	newer := known == nil || service.LoadKnown && (!known.LoadKnown || service.AgeMillis < known.AgeMillis)
	if newer {
		t.newest[service.Service] = service
	}
	priorities := t.priorities[service.Service]
	for _, level := range service.Levels {
		priorities = append(priorities, level.Priority)
	}
	for index := range service.Zones {
		for _, demand := range service.Zones[index].Demand {
			priorities = append(priorities, demand.Priority)
		}
	}
	slices.Sort(priorities)
	t.priorities[service.Service] = slices.Compact(priorities)
}

// zoneRows returns the rows of a service in a zone, or one row of priority 0 if no priority is
// known.
func (t *tableBuilder) zoneRows(service lb.ServiceName, zone lb.Zone) []*Row {
	priorities := t.priorities[service]
	if len(priorities) == 0 {
		priorities = []uint16{0}
	}
	rows := make([]*Row, 0, len(priorities))
	for _, priority := range priorities {
		key := rowID{service, zone, priority}
		if t.rows[key] == nil {
			t.rows[key] = &Row{Service: service, Zone: zone, Priority: priority}
		}
		rows = append(rows, t.rows[key])
	}
	return rows
}

// addFleetLoad adds the fleet's load data of a service to its rows.
func (t *tableBuilder) addFleetLoad(service *Service) {
	for index := range service.Zones {
		zone := &service.Zones[index]
		spare := zone.Capacity
		for _, demand := range zone.Demand {
			spare -= demand.Begun + demand.Refused
		}
		for _, row := range t.zoneRows(service.Service, zone.Zone) {
			row.LoadKnown, row.AgeMillis = service.LoadKnown, service.AgeMillis
			row.Capacity, row.SpareCapacity, row.Load = zone.Capacity, spare, zone.Load
			for _, demand := range zone.Demand {
				if demand.Priority == row.Priority {
					row.Demand, row.Refused = demand.Begun+demand.Refused, demand.Refused
				}
			}
		}
	}
}

// addBalancer adds the state of a balancer to the rows of its zone.
func (t *tableBuilder) addBalancer(zone lb.Zone, service *Service) {
	local := 0.0
	for index := range service.Zones {
		if service.Zones[index].Zone == zone {
			local = service.Zones[index].Weight
		}
	}
	for _, row := range t.zoneRows(service.Service, zone) {
		row.Nodes++
		row.LocalWeight += local
		admitted := 1.0 // without recent openings of this priority, the balancer would admit all
		for _, level := range service.Levels {
			if level.Priority == row.Priority {
				admitted = level.Rate
				row.Queued += level.Queued
			}
		}
		row.AdmissionRate += admitted
	}
}

// sorted returns the sorted rows, with sums over balancers replaced by means.
func (t *tableBuilder) sorted() []Row {
	rows := make([]Row, 0, len(t.rows))
	for _, row := range t.rows {
		if row.Nodes > 0 {
			row.AdmissionRate /= float64(row.Nodes)
			row.LocalWeight /= float64(row.Nodes)
		}
		rows = append(rows, *row)
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Priority, b.Priority))
	})
	return rows
}
