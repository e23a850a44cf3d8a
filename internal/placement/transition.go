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

// Target is one back end that a service is to have.
type Target struct {
	Name   lb.BackendName
	Host   netip.AddrPort
	Weight uint16 // 1..MaxWeight
}

// Stamp identifies one write of a document.
type Stamp struct {
	WriteID        string // unique to the write, to resolve a lost answer
	ConfigRevision int64  // store revision of the configuration that the document reflects
}

// Change is one transition. It edits a document that is private to it, whose
// version is already the new one.
type Change func(document *lb.Placement) error

// New gives the first document of a service.
func New(service lb.ServiceName, stamp Stamp, changes ...Change) (*lb.Placement, error) {
	empty := &lb.Placement{
		Service:       service,
		Generations:   []lb.Generation{{Version: 1}},
		NextBackendID: 1,
	}
	return Next(empty, stamp, changes...)
}

// Next gives the document that follows previous, with the changes made in
// order, one version higher. previous is left as it is.
func Next(previous *lb.Placement, stamp Stamp, changes ...Change) (*lb.Placement, error) {
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

// clone copies what transitions edit. Lists of generations are replaced, never edited.
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

// SetOpensPerSecond replaces the limit of new flows; 0 is unlimited.
func SetOpensPerSecond(limit uint32) Change {
	return func(document *lb.Placement) error {
		document.OpensPerSecond = limit
		return nil
	}
}

// Prepare announces a generation with the targets, in place of any that is
// announced already. A target keeps its ID as long as its name and host stay;
// others get numbers never given before. New flows still go by the current
// generation. Nothing is announced when the targets are what is current.
func Prepare(targets []Target) Change {
	return func(document *lb.Placement) error {
		abandonPrepared(document)
		document.Deleted = false
		backends := make([]lb.WeightedBackend, 0, len(targets))
		for _, target := range targets {
			id, err := adopt(document, target)
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

// abandonPrepared removes announced generations: no flow was placed by them.
func abandonPrepared(document *lb.Placement) {
	document.Generations = document.Generations[:document.Current+1]
}

// adopt gives the ID of the target and makes it active.
func adopt(document *lb.Placement, target Target) (lb.BackendID, error) {
	for index := len(document.Backends) - 1; index >= 0; index-- {
		backend := &document.Backends[index]
		if backend.Name == target.Name && backend.Host == target.Host {
			backend.State = lb.BackendActive
			return backend.ID, nil
		}
	}
	if document.NextBackendID == math.MaxUint16 {
		return lb.NoBackend, errors.Newf("back end %q: all %d numbers of the service are used", target.Name, math.MaxUint16-1)
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

// appendGeneration adds a generation unless it equals the last one, and
// collapses when there are too many.
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

// Commit makes the last generation current: new flows go by it. Active back
// ends that are not in it begin to drain.
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

// containsBackend looks up an ID in a list sorted by ID.
func containsBackend(backends []lb.WeightedBackend, id lb.BackendID) bool {
	_, found := slices.BinarySearchFunc(backends, id, func(weighted lb.WeightedBackend, id lb.BackendID) int {
		return int(weighted.ID) - int(id)
	})
	return found
}

// dropEmptyBase removes a base without back ends once another generation is
// current. No flow without a record can be on it, so that nothing has to settle.
func dropEmptyBase(document *lb.Placement) {
	if document.Current > 0 && len(document.Generations[0].Backends) == 0 {
		document.Generations = slices.Clone(document.Generations[1:])
		document.Current--
	}
}

// Fail marks back ends as failed and commits, without announcing it, a
// generation like the current one but without them. An announced generation is
// abandoned. Unknown IDs are an error.
func Fail(ids ...lb.BackendID) Change {
	return func(document *lb.Placement) error {
		for _, id := range ids {
			index := slices.IndexFunc(document.Backends, func(backend lb.PlacedBackend) bool { return backend.ID == id })
			if index < 0 {
				return errors.Newf("failed back end %d is not in the document", id)
			}
			document.Backends[index].State = lb.BackendFailed
		}
		abandonPrepared(document)
		current := document.Generations[document.Current].Backends
		rest := slices.DeleteFunc(slices.Clone(current), func(weighted lb.WeightedBackend) bool {
			return slices.Contains(ids, weighted.ID)
		})
		appendGeneration(document, rest)
		return Commit()(document)
	}
}

// Settle makes the generation with the given version the base and drops the
// older ones. Buckets on which it and they disagree get history. The caller
// makes sure that the generation was committed at least IdleTimeout ago.
func Settle(version lb.Version) Change {
	return func(document *lb.Placement) error {
		index := slices.IndexFunc(document.Generations, func(generation lb.Generation) bool {
			return generation.Version == version
		})
		if index < 0 || index > document.Current {
			return errors.Newf("settle: no committed generation has version %d", version)
		}
		tables := generationTables(document)
		if err := addHistory(document, disagreement(tables[:index+1])); err != nil {
			return err
		}
		document.Generations = slices.Clone(document.Generations[index:])
		document.Current -= index
		return nil
	}
}

// addHistory marks buckets in the document's history.
func addHistory(document *lb.Placement, marks Bitmap) error {
	history, err := ParseBitmap(document.History)
	if err != nil {
		return errors.Wrap(err, "history")
	}
	history.Union(&marks)
	document.History = history.Bytes()
	return nil
}

// Clear removes buckets from the history. The caller makes sure that their
// heads know of no flow away from the base.
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

// Collapse drops every second generation between the first after the base and
// the current one. Their motion stays as history. The oldest after the base is
// kept, so that a document under constant change still settles.
func Collapse() Change {
	return func(document *lb.Placement) error {
		collapse(document)
		return nil
	}
}

// collapse does the work of Collapse. An unreadable history is left to Validate.
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
	if addHistory(document, disagreement(dropped)) != nil {
		return
	}
	document.Generations = kept
	document.Current = current
}

// Delete marks the service as gone: no back end takes new flows, and the
// flows there are stay until they end. Purge follows when none is left.
func Delete() Change {
	return func(document *lb.Placement) error {
		abandonPrepared(document)
		appendGeneration(document, nil)
		document.Deleted = true
		return Commit()(document)
	}
}

// Purge empties a deleted document. It keeps the version and the next number
// of a back end, so that neither is ever used again.
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

// Forget removes back ends on which no flow can be left; see Forgettable.
func Forget(ids ...lb.BackendID) Change {
	return func(document *lb.Placement) error {
		for _, id := range ids {
			if !Forgettable(document, id) {
				return errors.Newf("forget: back end %d may still have flows", id)
			}
		}
		document.Backends = slices.DeleteFunc(document.Backends, func(backend lb.PlacedBackend) bool {
			return slices.Contains(ids, backend.ID)
		})
		return nil
	}
}

// Forgettable tells whether no flow can be left on the back end: it is in no
// generation, and either it has failed or no bucket has history.
func Forgettable(document *lb.Placement, id lb.BackendID) bool {
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
