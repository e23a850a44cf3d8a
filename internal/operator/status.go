package operator

import (
	"context"
	"encoding/json"
	"math/bits"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/catalog"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/store"
)

// Phase is the state of a service's placement (docs/DESIGN.md, "Placement").
type Phase string

// Values of Phase.
const (
	PhaseUnplaced Phase = "unplaced" // no placement has been published yet
	PhaseSteady   Phase = "steady"   // no bucket is being moved, and none has a history
	// PhasePreparing means that a change is published and must reach every zone before it takes
	// effect.
	PhasePreparing Phase = "preparing"
	PhaseMoving    Phase = "moving" // flows of earlier generations may still exist
	// PhaseClearing means that some buckets may still have flows at back ends other than their base
	// back end.
	PhaseClearing Phase = "clearing"
	PhaseDeleted  Phase = "deleted"
)

// ZoneReport is the last status report of one zone with its age.
type ZoneReport struct {
	catalog.ZoneStatus
	AgeMillis int64 `json:"age_ms"`
	Fresh     bool  `json:"fresh"`
}

// BackendReport is the state of one back end in a service's placement.
type BackendReport struct {
	Name  lb.BackendName  `json:"name"`
	State lb.BackendState `json:"state"`
}

// ServiceReport is the state of one service's configuration and placement.
type ServiceReport struct {
	Name    lb.ServiceName `json:"name"`
	Version lb.Version     `json:"version"`
	Phase   Phase          `json:"phase"`
	// ConfigRevision is the store revision of the configuration that the placement implements.
	ConfigRevision int64           `json:"config_revision"`
	Backends       []BackendReport `json:"backends"`
	// Selected is the number of back ends that the selector matches at present.
	Selected int `json:"selected"`
	// Generations is the number of generations in addition to the base generation.
	Generations int `json:"generations_in_motion"`
	// HistoryBuckets is the number of buckets that may have flows at back ends other than their
	// base back end.
	HistoryBuckets int `json:"history_buckets"`
}

// ProblemReport is a document that is not in force because it is invalid.
type ProblemReport struct {
	Key   string `json:"key"`
	Cause string `json:"cause"`
}

// Status reports which configuration is in force and which changes are in progress.
type Status struct {
	LastChange int64        `json:"last_change"` // store revision
	Zones      []ZoneReport `json:"zones"`
	// Evacuated lists the zones that are evacuated.
	Evacuated []lb.Zone       `json:"evacuated_zones"`
	Services  []ServiceReport `json:"services"`
	Problems  []ProblemReport `json:"problems"`
}

// configuration is the content of all configuration documents.
type configuration struct {
	index      *catalog.Index
	lastChange int64
	revisions  map[string]int64 // revision of each document's last change, by key
}

// readConfiguration reads all configuration documents.
func (operator *Operator) readConfiguration(ctx context.Context) (*configuration, error) {
	result := &configuration{index: catalog.NewIndex(), revisions: map[string]int64{}}
	last, err := operator.client.Get(ctx, catalog.LastChangeKey)
	if err != nil {
		return nil, err
	}
	result.lastChange = last.ModRevision
	for _, prefix := range []string{catalog.ZonePrefix, catalog.BackendPrefix, catalog.ServicePrefix} {
		listing, err := operator.client.List(ctx, prefix)
		if err != nil {
			return nil, err
		}
		for _, kv := range listing.KeyValues {
			_, _ = result.index.PutDocument(kv.Key, kv.Value) // the index records the error as a problem
			result.revisions[kv.Key] = kv.ModRevision
			result.lastChange = max(result.lastChange, kv.ModRevision)
		}
	}
	return result, nil
}

// Status returns the current status. A zone's report counts as fresh if its age is at most
// freshFor.
func (operator *Operator) Status(ctx context.Context, freshFor time.Duration) (*Status, error) {
	configuration, err := operator.readConfiguration(ctx)
	if err != nil {
		return nil, err
	}
	status := &Status{LastChange: configuration.lastChange, Zones: []ZoneReport{}, Evacuated: configuration.index.EvacuatedZones(), Problems: []ProblemReport{}}
	for _, problem := range configuration.index.Problems() {
		status.addProblem(problem.Key, problem.Cause)
	}
	zones, err := operator.client.List(ctx, catalog.StatusPrefix)
	if err != nil {
		return nil, err
	}
	for _, kv := range zones.KeyValues {
		zone, err := catalog.DecodeZoneStatus(kv.Key, kv.Value)
		if err != nil {
			status.addProblem(kv.Key, err)
			continue
		}
		status.Zones = append(status.Zones, zoneReport(zone, time.Now(), freshFor))
	}
	placements, err := operator.client.List(ctx, catalog.PlacementPrefix)
	if err != nil {
		return nil, err
	}
	status.addServices(configuration.index, placements.KeyValues)
	return status, nil
}

func (status *Status) addProblem(key string, cause error) {
	status.Problems = append(status.Problems, ProblemReport{Key: key, Cause: cause.Error()})
}

// zoneReport returns the zone's status with its age.
func zoneReport(zone catalog.ZoneStatus, now time.Time, freshFor time.Duration) ZoneReport {
	age := now.Sub(time.UnixMilli(zone.UnixMillis))
	return ZoneReport{ZoneStatus: zone, AgeMillis: age.Milliseconds(), Fresh: age <= freshFor}
}

// addServices adds a report for each service that has a valid document or a placement.
func (status *Status) addServices(index *catalog.Index, placements []store.KeyValue) {
	reports := map[lb.ServiceName]ServiceReport{}
	for _, name := range index.ServiceNames() {
		reports[name] = ServiceReport{Name: name, Phase: PhaseUnplaced, Selected: len(index.Desired(name).Backends)}
	}
	for _, kv := range placements {
		var placement lb.Placement
		if err := json.Unmarshal(kv.Value, &placement); err != nil {
			status.addProblem(kv.Key, err)
			continue
		}
		report := placementReport(&placement)
		report.Selected = reports[placement.Service].Selected
		reports[placement.Service] = report
	}
	status.Services = make([]ServiceReport, 0, len(reports))
	for _, report := range reports {
		status.Services = append(status.Services, report)
	}
	slices.SortFunc(status.Services, func(a, b ServiceReport) int {
		return slices.Compare([]lb.ServiceName{a.Name}, []lb.ServiceName{b.Name})
	})
}

// placementReport returns the report of a placement, except for Selected.
func placementReport(placement *lb.Placement) ServiceReport {
	report := ServiceReport{
		Name:           placement.Service,
		Version:        placement.Version,
		ConfigRevision: placement.ConfigRevision,
		Generations:    max(0, len(placement.Generations)-1),
	}
	for _, history := range placement.History {
		report.HistoryBuckets += bits.OnesCount8(history)
	}
	for _, backend := range placement.Backends {
		report.Backends = append(report.Backends, BackendReport{Name: backend.Name, State: backend.State})
	}
	report.Phase = phaseOf(placement, &report)
	return report
}

// phaseOf returns the phase of a placement.
func phaseOf(placement *lb.Placement, report *ServiceReport) Phase {
	switch {
	case placement.Deleted:
		return PhaseDeleted
	case placement.Current < report.Generations:
		return PhasePreparing
	case report.Generations > 0:
		return PhaseMoving
	case report.HistoryBuckets > 0:
		return PhaseClearing
	}
	return PhaseSteady
}
