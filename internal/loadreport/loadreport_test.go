package loadreport

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
)

// overloadedReport returns a report of a node in a zone whose demand exceeds its capacity.
func overloadedReport(node string, age int64) Report {
	return Report{Node: lb.NodeID(node), Zone: "za", Services: []Service{{
		Service: "web", LoadKnown: true, AgeMillis: age, Pressure: 1.1, Refused: 7,
		Zones: []Zone{
			{Zone: "za", Capacity: 10, Weight: 0.6, Load: 1.4, Answers: 90, Demand: []Demand{
				{Priority: 0, Begun: 8, Refused: 2}, {Priority: 1, Begun: 3, Refused: 1},
			}},
			{Zone: "zb", Capacity: 10, Weight: 0.4, Demand: []Demand{{Priority: 0, Begun: 4}}},
		},
		Levels: []Admission{{Priority: 0, Rate: 1, Queued: 2}, {Priority: 1, Rate: 0.5, Queued: 3}},
	}}}
}

// TestRowsUseNewestLoadAndAllNodes checks that the load of a service comes from the newest report,
// and that admission rates and queued openings are aggregated over all nodes of a zone.
func TestRowsUseNewestLoadAndAllNodes(t *testing.T) {
	is := is.New(t)
	old := overloadedReport("n-2", 900)
	old.Services[0].Zones[0].Capacity = 99 // an outdated value
	old.Services[0].Levels = []Admission{{Priority: 0, Rate: 0.5, Queued: 1}}
	rows := Rows([]Report{old, overloadedReport("n-1", 100)})
	is.Equal(len(rows), 4)
	is.Equal(rows[0], Row{
		Service: "web", Zone: "za", Priority: 0, LoadKnown: true, AgeMillis: 100, Capacity: 10, SpareCapacity: -4, Load: 1.4,
		Demand: 10, Refused: 2, LocalWeight: 0.6, AdmissionRate: 0.75, Queued: 3, Nodes: 2,
	})
	is.Equal(rows[1].AdmissionRate, 0.75) // one admits half, the other has no openings of this priority
	is.Equal(rows[1].Demand, 4.0)
	is.Equal(rows[2], Row{Service: "web", Zone: "zb", LoadKnown: true, AgeMillis: 100, Capacity: 10, SpareCapacity: 6, Demand: 4})
	is.Equal(rows[3].Priority, uint16(1))
}

// TestServicesFarFromLimitHaveNoDemand checks the rows of services without load data.
func TestServicesFarFromLimitHaveNoDemand(t *testing.T) {
	is := is.New(t)
	rows := Rows([]Report{{Node: "n", Zone: "za", Services: []Service{
		{Service: "web", Zones: []Zone{{Zone: "za", Capacity: 8, Weight: 0.98}, {Zone: "zb", Capacity: 4, Weight: 0.02}}},
		{Service: "empty"},
	}}})
	is.Equal(len(rows), 3)
	is.Equal(rows[0], Row{Service: "empty", Zone: "za", AdmissionRate: 1, Nodes: 1}) // no back end anywhere
	is.Equal(rows[1], Row{Service: "web", Zone: "za", Capacity: 8, SpareCapacity: 8, LocalWeight: 0.98, AdmissionRate: 1, Nodes: 1})
	is.Equal(rows[2], Row{Service: "web", Zone: "zb", Capacity: 4, SpareCapacity: 4})
}

// TestValidateNamesInvalidField checks that the error for an invalid report names the invalid
// field.
func TestValidateNamesInvalidField(t *testing.T) {
	is := is.New(t)
	good := overloadedReport("n", 1)
	is.NoErr(good.Validate())
	for want, invalidate := range map[string]func(*Report){
		"node":                func(r *Report) { r.Node = "" },
		"services: 16385":     func(r *Report) { r.Services = make([]Service, maxServices+1) },
		"service is missing":  func(r *Report) { r.Services[0].Service = "" },
		"1025 zones":          func(r *Report) { r.Services[0].Zones = make([]Zone, maxEntries+1) },
		"age_ms -1":           func(r *Report) { r.Services[0].AgeMillis = -1 },
		"zones[1]: zone \"\"": func(r *Report) { r.Services[0].Zones[1].Zone = "" },
		"capacity -2":         func(r *Report) { r.Services[0].Zones[0].Capacity = -2 },
	} {
		bad := overloadedReport("n", 1)
		invalidate(&bad)
		err := bad.Validate()
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), want)) // the field is named
	}
}
