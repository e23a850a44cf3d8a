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

// WaitResult is the result of Wait.
type WaitResult struct {
	Revision int64 `json:"revision"`
	// Zones lists the zones in which the revision is in force.
	Zones []lb.Zone `json:"zones"`
	// Stale lists the zones whose last report is too old. Wait does not wait for them.
	Stale []lb.Zone `json:"stale"`
}

// WaitTimeoutError reports the zones in which the revision was not in force when the time ended.
type WaitTimeoutError struct {
	Revision int64
	Missing  []ZoneReport
	Stale    []lb.Zone
	cause    error
}

// Error names these zones with their revisions and numbers of nodes.
func (err *WaitTimeoutError) Error() string {
	if len(err.Missing) == 0 {
		return fmt.Sprintf("revision %d: no zone has given a report lately (stale: %v)", err.Revision, err.Stale)
	}
	zones := make([]string, len(err.Missing))
	for index, zone := range err.Missing {
		zones[index] = fmt.Sprintf("%s is at revision %d with %d of %d nodes behind", zone.Zone, zone.ConfigRevision, zone.NodesBehind, zone.Nodes)
	}
	return fmt.Sprintf("revision %d is not in force in every zone: %s", err.Revision, strings.Join(zones, "; "))
}

// Unwrap returns ErrWaitTimeout.
func (err *WaitTimeoutError) Unwrap() error { return err.cause }

// staleCheckInterval is the interval at which Wait checks whether reports have become stale.
const staleCheckInterval = time.Second

// LastChange returns the store revision of the last change of any configuration document.
func (operator *Operator) LastChange(ctx context.Context) (int64, error) {
	configuration, err := operator.readConfiguration(ctx)
	if err != nil {
		return 0, err
	}
	return configuration.lastChange, nil
}

// LastChangeOf returns the highest store revision of the last changes of the service's document, of
// the back ends that it selects, and of the evacuations of their zones.
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

// Wait waits until the revision is in force in every zone whose report is at most freshFor old, and
// in at least one zone. If ctx ends first, Wait returns a *WaitTimeoutError.
func (operator *Operator) Wait(ctx context.Context, revision int64, freshFor time.Duration) (*WaitResult, error) {
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
				return nil, timeoutError(reports, revision, freshFor)
			}
			listed = true
			if batch.Reset {
				clear(reports)
			}
			for _, event := range batch.Events {
				delete(reports, event.KeyValue.Key)
				status, err := catalog.DecodeZoneStatus(event.KeyValue.Key, event.KeyValue.Value)
				if !event.Deleted && err == nil { // an invalid report counts as missing
					reports[event.KeyValue.Key] = status
				}
			}
		case <-ticker.C:
		case <-ctx.Done():
			return nil, timeoutError(reports, revision, freshFor)
		}
		if result := inForce(reports, revision, freshFor); listed && result != nil {
			return result, nil
		}
	}
}

// inForce returns the result of Wait if the revision is in force in every zone with a fresh report
// and in at least one zone. Otherwise it returns nil.
func inForce(reports map[string]catalog.ZoneStatus, revision int64, freshFor time.Duration) *WaitResult {
	result := &WaitResult{Revision: revision}
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

// timeoutError returns a *WaitTimeoutError for the current reports.
func timeoutError(reports map[string]catalog.ZoneStatus, revision int64, freshFor time.Duration) error {
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
