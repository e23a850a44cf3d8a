package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/catalog"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/store"
)

// Store client settings of an operator. They allow more frequent requests and retries than the
// settings of a balancer, as runs need their changes accepted soon.
const (
	operatorRequests = 1000
	operatorBackoff  = 20 * time.Millisecond
)

// Operator changes the configuration in the store in the same way as robinctl.
type Operator struct {
	client *store.Client
	index  int64
	writes atomic.Int64
}

// operatorCount is the number of operators in this process. It makes the write IDs unique.
var operatorCount atomic.Int64

// NewOperator returns an additional operator for the cluster's store.
func (cluster *Cluster) NewOperator() (*Operator, error) { return newOperator(cluster.StoreURL) }

func newOperator(storeURL string) (*Operator, error) {
	settings := store.DefaultSettings([]string{storeURL}, uint64(operatorCount.Load()))
	settings.RequestsPerSecond = operatorRequests
	settings.Burst = operatorRequests
	settings.RetryRatio = 1
	settings.RetryBurst = operatorRequests
	settings.BackoffBase = operatorBackoff
	settings.BackoffMax = operatorBackoff
	client, err := store.New(settings)
	return &Operator{client: client, index: operatorCount.Add(1)}, err
}

func (operator *Operator) writeID() string {
	return fmt.Sprintf("lab-%d-%d-%d", time.Now().UnixNano(), operator.index, operator.writes.Add(1))
}

// PutBackend creates or replaces a back end and returns the revision of the change.
func (operator *Operator) PutBackend(ctx context.Context, backend catalog.Backend) (int64, error) {
	backend.WriteID = operator.writeID()
	document, err := catalog.EncodeBackend(&backend)
	if err != nil {
		return 0, err
	}
	return operator.put(ctx, catalog.BackendKey(backend.Name), document, backend.WriteID)
}

// PutService creates a service and its front ends and returns the revision of the change.
func (operator *Operator) PutService(ctx context.Context, service catalog.Service) (int64, error) {
	service.WriteID = operator.writeID()
	document, err := catalog.EncodeService(&service)
	if err != nil {
		return 0, err
	}
	key := catalog.ServiceKey(service.Name)
	txn := store.Transaction{
		WriteID:    service.WriteID,
		Conditions: []store.Condition{{Key: key}},
		Puts:       []store.Put{{Key: key, Value: document}},
	}
	for _, frontend := range service.Frontends {
		name := []byte(service.Name)
		txn.Puts = append(txn.Puts, store.Put{Key: catalog.FrontendKey(frontend), Value: name})
	}
	return operator.client.Commit(ctx, txn)
}

// Outcome is the outcome of a change that may compete with other changes.
type Outcome string

// The outcomes.
const (
	OutcomeAccepted Outcome = "accepted"
	OutcomeConflict Outcome = "conflict"
	OutcomeUnknown  Outcome = "unknown"
)

// Change records one change of a back end by compare-and-swap.
type Change struct {
	PreviousWriteID string // write ID of the document that the change is based on
	WriteID         string // write ID of the change
	Revision        int64  // set if the change was accepted
	Outcome         Outcome
	StartedAt       time.Time
	AnsweredAt      time.Time
}

// ChangeBackend reads a back end, changes it, and writes it back unless another operator has
// changed it in between. Such a conflict, and an unknown result of the write, are outcomes and not
// errors.
func (operator *Operator) ChangeBackend(ctx context.Context, name lb.BackendName, change func(*catalog.Backend)) (Change, error) {
	key := catalog.BackendKey(name)
	read, err := operator.client.Get(ctx, key)
	if err != nil {
		return Change{}, err
	}
	backend, err := catalog.DecodeBackend(key, read.Value)
	if err != nil {
		return Change{}, err
	}
	result := Change{PreviousWriteID: backend.WriteID, WriteID: operator.writeID(), StartedAt: time.Now()}
	change(&backend)
	backend.WriteID = result.WriteID
	document, err := catalog.EncodeBackend(&backend)
	if err != nil {
		return Change{}, err
	}
	result.Revision, err = operator.client.CompareAndSwap(ctx, &read, document, result.WriteID, 0)
	result.AnsweredAt = time.Now()
	switch {
	case err == nil:
		result.Outcome = OutcomeAccepted
	case errors.Is(err, store.ErrConflict):
		result.Outcome = OutcomeConflict
	case errors.Is(err, store.ErrUnknownOutcome):
		result.Outcome = OutcomeUnknown
	default:
		return Change{}, err
	}
	return result, nil
}

// Backend reads a back end from the store.
func (operator *Operator) Backend(ctx context.Context, name lb.BackendName) (catalog.Backend, error) {
	key := catalog.BackendKey(name)
	read, err := operator.client.Get(ctx, key)
	if err != nil {
		return catalog.Backend{}, err
	}
	return catalog.DecodeBackend(key, read.Value)
}

// Placement reads the placement of a service from the store.
func (operator *Operator) Placement(ctx context.Context, name lb.ServiceName) (lb.Placement, error) {
	var placement lb.Placement
	read, err := operator.client.Get(ctx, catalog.PlacementKey(name))
	if err != nil {
		return placement, err
	}
	return placement, errors.Wrapf(json.Unmarshal(read.Value, &placement), "decode placement of %s", name)
}

func (operator *Operator) put(ctx context.Context, key string, document []byte, writeID string) (int64, error) {
	read, err := operator.client.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	return operator.client.CompareAndSwap(ctx, &read, document, writeID, 0)
}

// SetLabel sets a label of a back end by running robinctl and returns the revision of the change.
func (cluster *Cluster) SetLabel(ctx context.Context, backend lb.BackendName, label string) (int64, error) {
	program := filepath.Join(cluster.options.Binaries, "robinctl")
	output, err := runProgram(ctx, program, "--store", cluster.StoreURL, "--output", "json", "label", string(backend), label)
	if err != nil {
		return 0, err
	}
	var changes []struct {
		Revision int64 `json:"revision"`
	}
	if err := json.Unmarshal(output, &changes); err != nil || len(changes) != 1 {
		return 0, errors.Newf("robinctl label printed %q, not one change", output)
	}
	return changes[0].Revision, nil
}

// AwaitInForce waits until every zone reports that the revision is in force. It returns the time
// from since to the report, by zone.
func (operator *Operator) AwaitInForce(ctx context.Context, revision int64, zones []lb.Zone, since time.Time) (map[lb.Zone]time.Duration, error) {
	elapsed := map[lb.Zone]time.Duration{}
	description := fmt.Sprintf("revision %d is in force in zones %v", revision, zones)
	err := WaitUntil(ctx, description, func() (bool, error) {
		listing, err := operator.client.List(ctx, catalog.StatusPrefix)
		if err != nil {
			return false, err
		}
		for i := range listing.KeyValues {
			var status catalog.ZoneStatus
			if err := json.Unmarshal(listing.KeyValues[i].Value, &status); err != nil {
				return false, errors.Wrapf(err, "status %q", listing.KeyValues[i].Key)
			}
			zone := lb.Zone(strings.TrimPrefix(listing.KeyValues[i].Key, catalog.StatusPrefix))
			if _, known := elapsed[zone]; !known && status.ConfigRevision >= revision {
				elapsed[zone] = time.Since(since)
			}
		}
		for _, zone := range zones {
			if _, known := elapsed[zone]; !known {
				return false, nil
			}
		}
		return true, nil
	})
	return elapsed, err
}
