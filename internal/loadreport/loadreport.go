// Package loadreport is what a balancer tells operators about load: what callers ask
// for and what back ends can do, by service, zone and priority, with the age of what is
// known, and what this balancer lets in, holds and refuses. Reports of several balancers
// are made one table. It has no I/O and no clock.
package loadreport

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lb"
)

// Report is what one balancer tells.
type Report struct {
	Node     lb.NodeID `json:"node"`
	Zone     lb.Zone   `json:"zone"`
	Services []Service `json:"services"`
}

// Service is one service as a balancer knows it.
type Service struct {
	Service lb.ServiceName `json:"service"`
	// Known: the fleet's knowledge of the service is there, AgeMillis old. It is not while
	// the service is far from its limit, or nothing was heard lately.
	Known     bool  `json:"known"`
	AgeMillis int64 `json:"age_ms,omitempty"`
	// Pressure is the time of requests over what they may take, as this balancer sees it.
	Pressure float64 `json:"pressure"`
	// Refused counts the openings that this balancer has refused for load since its start.
	Refused uint64      `json:"refused_total"`
	Zones   []Zone      `json:"zones"`
	Levels  []Admission `json:"levels"`
}

// Zone is one zone of a service. Amounts of work are in slots: seconds of work a second.
type Zone struct {
	Zone lb.Zone `json:"zone"`
	// Capacity is what the zone's ready back ends work on at once.
	Capacity float64 `json:"capacity"`
	// Part is the part of this balancer's new flows that goes to the zone's back ends.
	Part float64 `json:"part"`
	// Demand is what the zone's callers ask for, by priority; nothing unless Known.
	Demand []Demand `json:"demand,omitempty"`
	// Load is the time of requests at the zone's back ends over that at idle ones, from
	// Answers a second; Rejected are the openings that they turn away in a second.
	Load     float64 `json:"load,omitempty"`
	Answers  float64 `json:"answers,omitempty"`
	Rejected float64 `json:"rejected,omitempty"`
}

// Demand is the work that callers ask for in openings and requests of one priority.
type Demand struct {
	Priority uint16  `json:"priority"`
	Begun    float64 `json:"begun"`
	Refused  float64 `json:"refused"`
}

// Admission is what this balancer does with openings of one priority.
type Admission struct {
	Priority uint16 `json:"priority"`
	// Admitted is the part that is let in.
	Admitted float64 `json:"admitted"`
	// Waiting is how many are held until there is room.
	Waiting int `json:"waiting"`
}

// Limits of a report that is read: far above what a fleet of the size that decides
// the design has.
const (
	maxServices = 1 << 14
	maxParts    = 1 << 10
)

// Validate names the first value that cannot be used.
func (r *Report) Validate() error {
	if r.Node == "" || r.Zone == "" {
		return errors.Newf("node %q or zone %q is missing", r.Node, r.Zone)
	}
	if len(r.Services) > maxServices {
		return errors.Newf("services: %d of them are too many", len(r.Services))
	}
	for index := range r.Services {
		service := &r.Services[index]
		if service.Service == "" {
			return errors.Newf("services[%d]: service is missing", index)
		}
		if len(service.Zones) > maxParts || len(service.Levels) > maxParts {
			return errors.Newf("services[%d]: %d zones or %d levels are too many", index, len(service.Zones), len(service.Levels))
		}
		if service.AgeMillis < 0 {
			return errors.Newf("services[%d]: age_ms %d is negative", index, service.AgeMillis)
		}
		for part := range service.Zones {
			zone := &service.Zones[part]
			if zone.Zone == "" || zone.Capacity < 0 || len(zone.Demand) > maxParts {
				return errors.Newf("services[%d]: zones[%d]: zone %q, capacity %v or %d levels cannot be",
					index, part, zone.Zone, zone.Capacity, len(zone.Demand))
			}
		}
	}
	return nil
}

// Row is one line of the table over several balancers: a priority of a service in a zone.
type Row struct {
	Service  lb.ServiceName `json:"service"`
	Zone     lb.Zone        `json:"zone"`
	Priority uint16         `json:"priority"`
	// Known and AgeMillis are of the newest knowledge that any balancer has.
	Known     bool  `json:"known"`
	AgeMillis int64 `json:"age_ms"`
	// Capacity, Room and Load are the zone's, and the same for all its priorities. Room is
	// what is left of the capacity after what the zone's own callers ask for; below zero,
	// they ask for more than its back ends can do.
	Capacity float64 `json:"capacity"`
	Room     float64 `json:"room"`
	Load     float64 `json:"load"`
	// Asked and Refused are what callers of this priority ask for, and the part of it that
	// is refused, in slots.
	Asked   float64 `json:"asked"`
	Refused float64 `json:"refused"`
	// Home is the part of the new flows of the zone's callers that its own back ends get,
	// Admitted the part of openings that is let in (the mean), and Waiting how many are
	// held, at the Nodes of the zone that have told.
	Home     float64 `json:"home"`
	Admitted float64 `json:"admitted"`
	Waiting  int     `json:"waiting"`
	Nodes    int     `json:"nodes"`
}

// rowKey tells rows apart.
type rowKey struct {
	service  lb.ServiceName
	zone     lb.Zone
	priority uint16
}

// table is rows under way.
type table struct {
	rows       map[rowKey]*Row
	newest     map[lb.ServiceName]*Service
	priorities map[lb.ServiceName][]uint16 // that anything is known of, in order
}

// Rows makes one table of what balancers tell, sorted by service, zone and priority. What
// the fleet knows is taken from the balancer whose knowledge is newest, and what
// balancers do is summed over those of each zone.
func Rows(reports []Report) []Row {
	t := table{
		rows: make(map[rowKey]*Row), newest: make(map[lb.ServiceName]*Service),
		priorities: make(map[lb.ServiceName][]uint16),
	}
	for index := range reports {
		for part := range reports[index].Services {
			t.note(&reports[index].Services[part])
		}
	}
	for _, service := range t.newest {
		t.addKnown(service)
	}
	for index := range reports {
		for part := range reports[index].Services {
			t.addNode(reports[index].Zone, &reports[index].Services[part])
		}
	}
	return t.sorted()
}

// note keeps the newest knowledge of a service, and the priorities that anybody knows.
func (t *table) note(service *Service) {
	known := t.newest[service.Service]
	newer := known == nil || service.Known && (!known.Known || service.AgeMillis < known.AgeMillis)
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

// rowsOf gives the rows of a service in a zone; one of priority 0 if none is known.
func (t *table) rowsOf(service lb.ServiceName, zone lb.Zone) []*Row {
	priorities := t.priorities[service]
	if len(priorities) == 0 {
		priorities = []uint16{0}
	}
	rows := make([]*Row, 0, len(priorities))
	for _, priority := range priorities {
		key := rowKey{service, zone, priority}
		if t.rows[key] == nil {
			t.rows[key] = &Row{Service: service, Zone: zone, Priority: priority}
		}
		rows = append(rows, t.rows[key])
	}
	return rows
}

// addKnown adds what the fleet knows of a service.
func (t *table) addKnown(service *Service) {
	for index := range service.Zones {
		zone := &service.Zones[index]
		room := zone.Capacity
		for _, demand := range zone.Demand {
			room -= demand.Begun + demand.Refused
		}
		for _, row := range t.rowsOf(service.Service, zone.Zone) {
			row.Known, row.AgeMillis = service.Known, service.AgeMillis
			row.Capacity, row.Room, row.Load = zone.Capacity, room, zone.Load
			for _, demand := range zone.Demand {
				if demand.Priority == row.Priority {
					row.Asked, row.Refused = demand.Begun+demand.Refused, demand.Refused
				}
			}
		}
	}
}

// addNode adds what a balancer does, to the rows of its zone.
func (t *table) addNode(zone lb.Zone, service *Service) {
	home := 0.0
	for index := range service.Zones {
		if service.Zones[index].Zone == zone {
			home = service.Zones[index].Part
		}
	}
	for _, row := range t.rowsOf(service.Service, zone) {
		row.Nodes++
		row.Home += home
		admitted := 1.0 // it had none of this priority lately, and would let it in
		for _, level := range service.Levels {
			if level.Priority == row.Priority {
				admitted = level.Admitted
				row.Waiting += level.Waiting
			}
		}
		row.Admitted += admitted
	}
}

// sorted gives the rows with the means of what balancers do.
func (t *table) sorted() []Row {
	rows := make([]Row, 0, len(t.rows))
	for _, row := range t.rows {
		if row.Nodes > 0 {
			row.Admitted /= float64(row.Nodes)
			row.Home /= float64(row.Nodes)
		}
		rows = append(rows, *row)
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Priority, b.Priority))
	})
	return rows
}
