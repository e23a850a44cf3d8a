package placement

import (
	"cmp"
	"math"
	"net/netip"
	"slices"

	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/maglev"
)

// Target is one back end of the desired state of a service.
type Target struct {
	Name   lb.BackendName
	Host   netip.AddrPort
	Weight uint16 // 1..MaxWeight
}

// WriteStamp identifies one write of a document.
type WriteStamp struct {
	// WriteID is unique to the write. It shows whether a write without a response succeeded.
	WriteID        string
	ConfigRevision int64 // store revision of the configuration that the document reflects
}

// Change is one transition. It modifies a private copy of the document, whose version is already
// the new one.
type Change func(document *lb.Placement) error

// New returns the first document of a service.
func New(service lb.ServiceName, stamp WriteStamp, changes ...Change) (*lb.Placement, error) {
	empty := &lb.Placement{
		Service:       service,
		Generations:   []lb.Generation{{Version: 1}},
		NextBackendID: 1,
	}
	return Next(empty, stamp, changes...)
}

// Next returns the successor of previous: a copy with the next version, to which the changes are
// applied in order. It does not modify previous.
func Next(previous *lb.Placement, stamp WriteStamp, changes ...Change) (*lb.Placement, error) {
	document := clone(previous)
	document.Version++
	document.WriteID = stamp.WriteID
	document.ConfigRevision = stamp.ConfigRevision
	for _, change := range changes {
		if err := change(document); err != nil {
			return nil, errors.Wrapf(err, "placement of service %q, version %d", document.Service, document.Version)
		}
	}
	if err := Validate(document); err != nil {
		return nil, err
	}
	return document, nil
}

// clone copies the parts of a document that transitions modify. The back ends of a generation are
// replaced, never modified.
func clone(document *lb.Placement) *lb.Placement {
	copied := *document
	copied.Frontends = slices.Clone(document.Frontends)
	copied.Backends = slices.Clone(document.Backends)
	copied.Generations = slices.Clone(document.Generations)
	copied.History = slices.Clone(document.History)
	return &copied
}

// SetFrontends replaces the front ends.
func SetFrontends(frontends []lb.Frontend) Change {
	return func(document *lb.Placement) error {
		document.Frontends = slices.Clone(frontends)
		return nil
	}
}

// SetOpensPerSecond replaces the rate limit of new flows; 0 means unlimited.
func SetOpensPerSecond(limit uint32) Change {
	return func(document *lb.Placement) error {
		document.OpensPerSecond = limit
		return nil
	}
}

// Prepare appends a generation with the targets, replacing any prepared one. A target keeps its ID
// as long as its name and host stay the same; other targets get IDs that were never used before.
// New flows still use the current generation. No generation is appended if the targets equal the
// current one.
func Prepare(targets []Target) Change {
	return func(document *lb.Placement) error {
		dropPrepared(document)
		document.Deleted = false
		backends := make([]lb.WeightedBackend, 0, len(targets))
		for _, target := range targets {
			id, err := activateBackend(document, target)
			if err != nil {
				return err
			}
			backends = append(backends, lb.WeightedBackend{ID: id, Weight: target.Weight})
		}
		slices.SortFunc(backends, func(a, b lb.WeightedBackend) int { return cmp.Compare(a.ID, b.ID) })
		appendGeneration(document, backends)
		return nil
	}
}

// dropPrepared removes the prepared generations: no flow has been placed by them.
func dropPrepared(document *lb.Placement) {
	document.Generations = document.Generations[:document.Current+1]
}

// activateBackend returns the ID of the target's back end, adding it if needed, and makes it
// active.
func activateBackend(document *lb.Placement, target Target) (lb.BackendID, error) {
	for index := len(document.Backends) - 1; index >= 0; index-- {
		backend := &document.Backends[index]
		if backend.Name == target.Name && backend.Host == target.Host {
			backend.State = lb.BackendActive
			return backend.ID, nil
		}
	}
	if document.NextBackendID == math.MaxUint16 {
		return lb.NoBackend, errors.Newf("back end %q: all %d back end IDs of the service are used", target.Name, math.MaxUint16-1)
	}
	id := document.NextBackendID
	document.NextBackendID++
	document.Backends = append(document.Backends, lb.PlacedBackend{
		ID:    id,
		Name:  target.Name,
		Host:  target.Host,
		State: lb.BackendActive,
	})
	return id, nil
}

// appendGeneration appends a generation unless it equals the last one, and collapses the
// generations if there are more than MaxGenerations.
func appendGeneration(document *lb.Placement, backends []lb.WeightedBackend) {
	last := document.Generations[len(document.Generations)-1]
	if slices.Equal(last.Backends, backends) {
		return
	}
	document.Generations = append(document.Generations, lb.Generation{
		Version:  document.Version,
		Backends: backends,
	})
	if len(document.Generations) > MaxGenerations {
		collapse(document)
	}
}

// Commit makes the last generation current, so that new flows use it. Active back ends that are not
// in it begin to drain.
func Commit() Change {
	return func(document *lb.Placement) error {
		document.Current = len(document.Generations) - 1
		drainAbsent(document)
		dropEmptyBase(document)
		return nil
	}
}

// drainAbsent drains the active back ends that are not in the current generation.
func drainAbsent(document *lb.Placement) {
	current := document.Generations[document.Current].Backends
	for index := range document.Backends {
		backend := &document.Backends[index]
		if backend.State == lb.BackendActive && !containsBackend(current, backend.ID) {
			backend.State = lb.BackendDraining
		}
	}
}

// containsBackend reports whether an ID is in a list sorted by ID.
func containsBackend(backends []lb.WeightedBackend, id lb.BackendID) bool {
	_, found := slices.BinarySearchFunc(backends, id, func(weighted lb.WeightedBackend, id lb.BackendID) int {
		return int(weighted.ID) - int(id)
	})
	return found
}

// dropEmptyBase removes a base without back ends once another generation is current. No flow
// without a record can be on an empty base, so there is no need to wait for it to settle.
func dropEmptyBase(document *lb.Placement) {
	if document.Current > 0 && len(document.Generations[0].Backends) == 0 {
		document.Generations = slices.Clone(document.Generations[1:])
		document.Current--
	}
}

// Fail marks back ends as failed and immediately commits a generation that equals the current one
// without them. A prepared generation is dropped. Unknown IDs are an error.
func Fail(ids ...lb.BackendID) Change {
	return func(document *lb.Placement) error {
		for _, id := range ids {
			index := slices.IndexFunc(document.Backends, func(backend lb.PlacedBackend) bool { return backend.ID == id })
			if index < 0 {
				return errors.Newf("failed back end %d is not in the document", id)
			}
			document.Backends[index].State = lb.BackendFailed
		}
		dropPrepared(document)
		current := document.Generations[document.Current].Backends
		rest := slices.DeleteFunc(slices.Clone(current), func(weighted lb.WeightedBackend) bool {
			return slices.Contains(ids, weighted.ID)
		})
		appendGeneration(document, rest)
		return Commit()(document)
	}
}

// Settle makes the generation with the given version the base and drops the older generations.
// Buckets on which these generations disagree get history. The caller must ensure that the
// generation was committed at least IdleTimeout ago.
func Settle(version lb.Version) Change {
	return func(document *lb.Placement) error {
		index := slices.IndexFunc(document.Generations, func(generation lb.Generation) bool {
			return generation.Version == version
		})
		if index < 0 || index > document.Current {
			return errors.Newf("settle: no committed generation has version %d", version)
		}
		tables := generationTables(document)
		if err := addHistory(document, differingBuckets(tables[:index+1])); err != nil {
			return err
		}
		document.Generations = slices.Clone(document.Generations[index:])
		document.Current -= index
		return nil
	}
}

// addHistory adds buckets to the document's history.
func addHistory(document *lb.Placement, marks Bitmap) error {
	history, err := ParseBitmap(document.History)
	if err != nil {
		return errors.Wrap(err, "history")
	}
	history.Union(&marks)
	document.History = history.Bytes()
	return nil
}

// Clear removes buckets from the history. The caller must ensure that their heads hold no record of
// a flow on another back end than the base.
func Clear(buckets []uint16) Change {
	return func(document *lb.Placement) error {
		history, err := ParseBitmap(document.History)
		if err != nil {
			return errors.Wrap(err, "history")
		}
		for _, bucket := range buckets {
			if bucket >= lb.BucketCount {
				return errors.Newf("clear: bucket %d must be below %d", bucket, lb.BucketCount)
			}
			history.Clear(bucket)
		}
		document.History = history.Bytes()
		return nil
	}
}

// Collapse drops every second generation between the first after the base and the current one.
// Buckets on which a dropped generation disagrees with the base get history. The first generation
// after the base is kept, so that a document under constant change can still settle.
func Collapse() Change {
	return func(document *lb.Placement) error {
		collapse(document)
		return nil
	}
}

// collapse implements Collapse. It makes no change if the history is invalid, which Validate
// reports.
func collapse(document *lb.Placement) {
	tables := generationTables(document)
	dropped := []*maglev.Table{tables[0]}
	kept := make([]lb.Generation, 0, len(document.Generations))
	current := document.Current
	for index, generation := range document.Generations {
		if index > 1 && index < document.Current && index%2 == 0 {
			dropped = append(dropped, tables[index])
			current--
			continue
		}
		kept = append(kept, generation)
	}
	if addHistory(document, differingBuckets(dropped)) != nil {
		return
	}
	document.Generations = kept
	document.Current = current
}

// Delete marks the service as deleted: no back end gets new flows, and existing flows stay until
// they end. Purge must follow when no flow is left.
func Delete() Change {
	return func(document *lb.Placement) error {
		dropPrepared(document)
		appendGeneration(document, nil)
		document.Deleted = true
		return Commit()(document)
	}
}

// Purge empties a deleted document. It keeps the version and the next back end ID, so that neither
// is ever reused.
func Purge() Change {
	return func(document *lb.Placement) error {
		if !document.Deleted {
			return errors.New("purge: the service is not deleted")
		}
		document.Frontends = nil
		document.Backends = nil
		document.Generations = []lb.Generation{{Version: document.Version}}
		document.Current = 0
		document.History = nil
		return nil
	}
}

// Forget removes back ends that can have no flows; see CanForget.
func Forget(ids ...lb.BackendID) Change {
	return func(document *lb.Placement) error {
		for _, id := range ids {
			if !CanForget(document, id) {
				return errors.Newf("forget: back end %d may still have flows", id)
			}
		}
		document.Backends = slices.DeleteFunc(document.Backends, func(backend lb.PlacedBackend) bool {
			return slices.Contains(ids, backend.ID)
		})
		return nil
	}
}

// CanForget reports whether the back end can have no flows: it is in no generation, and it has
// failed or no bucket has history.
func CanForget(document *lb.Placement, id lb.BackendID) bool {
	for _, generation := range document.Generations {
		if containsBackend(generation.Backends, id) {
			return false
		}
	}
	backend, found := findBackend(document.Backends, id)
	if !found || backend.State == lb.BackendActive {
		return false
	}
	return backend.State == lb.BackendFailed || len(document.History) == 0
}
