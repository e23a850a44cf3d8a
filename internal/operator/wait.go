package operator

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"robinpulley.example/robinpulley/internal/catalog"
	"robinpulley.example/robinpulley/internal/lb"
)

// InForce is the result of a wait.
type InForce struct {
	Revision int64 `json:"revision"`
	// Zones in which the revision is in force.
	Zones []lb.Zone `json:"zones"`
	// Stale zones have given no report for some time and were not waited for.
	Stale []lb.Zone `json:"stale"`
}

// WaitTimeoutError says which zones were still missing when the time was over.
type WaitTimeoutError struct {
	Revision int64
	Missing  []ZoneReport
	Stale    []lb.Zone
	cause    error
}

// Error names the missing zones and how far they are.
func (err *WaitTimeoutError) Error() string {
	if len(err.Missing) == 0 {
		return fmt.Sprintf("revision %d: no zone has given a report lately (stale: %v)", err.Revision, err.Stale)
	}
	zones := make([]string, len(err.Missing))
	for index, zone := range err.Missing {
		zones[index] = fmt.Sprintf("%s is at revision %d with %d of %d nodes behind", zone.Zone, zone.ConfigRevision, zone.Behind, zone.Nodes)
	}
	return fmt.Sprintf("revision %d is not in force in every zone: %s", err.Revision, strings.Join(zones, "; "))
}

// Unwrap gives ErrWaitTimeout.
func (err *WaitTimeoutError) Unwrap() error { return err.cause }

// staleCheckInterval is how often reports are looked at for their age.
const staleCheckInterval = time.Second

// LastChange gives the store revision of the last change of any document.
func (operator *Operator) LastChange(ctx context.Context) (int64, error) {
	configuration, err := operator.readConfiguration(ctx)
	if err != nil {
		return 0, err
	}
	return configuration.lastChange, nil
}

// LastChangeOf gives the store revision of the last change of the service's
// document, of a back end that it selects, or of the evacuation of its zone.
func (operator *Operator) LastChangeOf(ctx context.Context, name lb.ServiceName) (int64, error) {
	if _, err := operator.Service(ctx, name); err != nil {
		return 0, err
	}
	configuration, err := operator.readConfiguration(ctx)
	if err != nil {
		return 0, err
	}
	revision := configuration.revisions[catalog.ServiceKey(name)]
	for _, backend := range configuration.index.Desired(name).Backends {
		revision = max(revision, configuration.revisions[catalog.BackendKey(backend.Backend.Name)],
			configuration.revisions[catalog.ZoneKey(backend.Backend.Zone)])
	}
	return revision, nil
}

// Wait waits until the revision is in force in every zone whose report is
// younger than freshFor, and in at least one. The end of ctx gives a
// *WaitTimeoutError.
func (operator *Operator) Wait(ctx context.Context, revision int64, freshFor time.Duration) (*InForce, error) {
	watchContext, cancel := context.WithCancel(ctx)
	defer cancel()
	batches := operator.client.Watch(watchContext, catalog.StatusPrefix, 0)
	ticker := time.NewTicker(staleCheckInterval)
	defer ticker.Stop()
	reports := map[string]catalog.ZoneStatus{}
	listed := false
	for {
		select {
		case batch, open := <-batches:
			if !open {
				return nil, missing(reports, revision, freshFor)
			}
			listed = true
			if batch.Reset {
				clear(reports)
			}
			for _, event := range batch.Events {
				delete(reports, event.KeyValue.Key)
				status, err := catalog.DecodeZoneStatus(event.KeyValue.Key, event.KeyValue.Value)
				if !event.Deleted && err == nil { // an invalid report is none
					reports[event.KeyValue.Key] = status
				}
			}
		case <-ticker.C:
		case <-ctx.Done():
			return nil, missing(reports, revision, freshFor)
		}
		if result := inForce(reports, revision, freshFor); listed && result != nil {
			return result, nil
		}
	}
}

// inForce gives the result if the revision is in force, or nil.
func inForce(reports map[string]catalog.ZoneStatus, revision int64, freshFor time.Duration) *InForce {
	result := &InForce{Revision: revision}
	for _, status := range reports {
		report := zoneReport(status, time.Now(), freshFor)
		switch {
		case !report.Fresh:
			result.Stale = append(result.Stale, status.Zone)
		case status.ConfigRevision < revision:
			return nil
		default:
			result.Zones = append(result.Zones, status.Zone)
		}
	}
	if len(result.Zones) == 0 {
		return nil
	}
	slices.Sort(result.Zones)
	slices.Sort(result.Stale)
	return result
}

func missing(reports map[string]catalog.ZoneStatus, revision int64, freshFor time.Duration) error {
	err := &WaitTimeoutError{Revision: revision, cause: ErrWaitTimeout}
	for _, status := range reports {
		report := zoneReport(status, time.Now(), freshFor)
		switch {
		case !report.Fresh:
			err.Stale = append(err.Stale, status.Zone)
		case status.ConfigRevision < revision:
			err.Missing = append(err.Missing, report)
		}
	}
	slices.Sort(err.Stale)
	slices.SortFunc(err.Missing, func(a, b ZoneReport) int { return strings.Compare(string(a.Zone), string(b.Zone)) })
	return err
}
