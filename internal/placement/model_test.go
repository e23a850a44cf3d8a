package placement_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/placement"
)

// idleTimeout is the virtual time after which a generation may become the base.
const idleTimeout = 300 * time.Second

// chooser returns a number from 0 to count-1.
type chooser func(count int) int

// mutation replaces or breaks single transitions, to check that the invariants detect it. The zero
// value changes nothing.
type mutation struct {
	settle      func(lb.Version) placement.Change
	collapse    func() placement.Change
	forget      func(*model) []lb.BackendID
	settleEarly bool // settle before idleTimeout
	clear       func(*model) []uint16
}

// model applies random transitions to a document and keeps the state needed to check the
// invariants.
type model struct {
	choose      chooser
	mutation    mutation
	document    *lb.Placement
	now         time.Duration
	committedAt map[lb.Version]time.Duration // when each generation became current
	// placed holds, for each bucket, the back ends that may have flows.
	placed     [lb.BucketCount][]lb.BackendID
	identities map[lb.BackendID]placement.Target
}

func newModel(choose chooser, mutation mutation) (*model, error) {
	m := &model{
		choose:      choose,
		mutation:    mutation,
		committedAt: make(map[lb.Version]time.Duration),
		identities:  make(map[lb.BackendID]placement.Target),
	}
	first, err := placement.New("wallet-core", stamp(1), placement.Prepare(m.drawTargets()), placement.Commit())
	if err != nil {
		return nil, err
	}
	m.document = first
	m.committedAt[first.Generations[0].Version] = 0
	return m, m.apply()
}

// apply produces the next version of the document and checks all invariants.
func (m *model) apply(changes ...placement.Change) error {
	before := m.document
	after, err := placement.Next(before, stamp(int64(before.Version)+1), changes...)
	if err != nil {
		return err
	}
	table, err := placement.Compile(after)
	if err != nil {
		return err
	}
	m.document = after
	if after.Version != before.Version+1 {
		return errors.Newf("version %d after %d", after.Version, before.Version)
	}
	if err := m.checkBase(before); err != nil {
		return err
	}
	current := after.Generations[after.Current].Version
	if _, known := m.committedAt[current]; !known {
		m.committedAt[current] = m.now
	}
	if err := m.checkIdentities(); err != nil {
		return err
	}
	return m.checkBuckets(table)
}

// checkBase checks that the base changes only to a generation that was committed at least
// idleTimeout ago, unless the old base was empty.
func (m *model) checkBase(before *lb.Placement) error {
	base := m.document.Generations[0].Version
	if base == before.Generations[0].Version || len(before.Generations[0].Backends) == 0 {
		return nil
	}
	if at, known := m.committedAt[base]; !known || m.now-at < idleTimeout {
		return errors.Newf("base moved to generation %d, committed %v ago", base, m.now-at)
	}
	return nil
}

// checkIdentities checks that an ID is never reused for another back end.
func (m *model) checkIdentities() error {
	for _, backend := range m.document.Backends {
		identity := placement.Target{Name: backend.Name, Host: backend.Host}
		if known, found := m.identities[backend.ID]; found && known != identity {
			return errors.Newf("back end %d was %v, is %v", backend.ID, known, identity)
		}
		m.identities[backend.ID] = identity
	}
	return nil
}

// checkBuckets checks that every bucket that may have flows on another back end than the base is in
// motion or has history.
func (m *model) checkBuckets(table *placement.Table) error {
	for bucket := range uint16(lb.BucketCount) {
		if current := table.Current(bucket); current != lb.NoBackend && !slices.Contains(m.placed[bucket], current) {
			m.placed[bucket] = append(m.placed[bucket], current)
		}
		for _, id := range m.placed[bucket] {
			if id != table.Base(bucket) && !table.InMotion(bucket) && !table.HasHistory(bucket) {
				return errors.Newf("bucket %d: flows on %d, base %d, neither motion nor history", bucket, id, table.Base(bucket))
			}
			if _, found := table.Backend(id); !found {
				return errors.Newf("bucket %d: flows on %d, which is not in the document", bucket, id)
			}
		}
	}
	return nil
}

// endFlows ends the flows on other back ends than the base in some of the buckets with history, and
// returns those buckets.
func (m *model) endFlows() []uint16 {
	table, _ := placement.Compile(m.document)
	step := uint16(m.choose(3) + 1)
	var buckets []uint16
	for bucket := uint16(0); bucket < lb.BucketCount; bucket += step {
		if table.HasHistory(bucket) {
			base := table.Base(bucket)
			m.placed[bucket] = slices.DeleteFunc(m.placed[bucket], func(id lb.BackendID) bool { return id != base })
			buckets = append(buckets, bucket)
		}
	}
	return buckets
}

// settleable returns the newest generation that may become the base, or zero.
func (m *model) settleable() lb.Version {
	var best lb.Version
	for index := 1; index <= m.document.Current; index++ {
		version := m.document.Generations[index].Version
		if m.now-m.committedAt[version] >= idleTimeout || m.mutation.settleEarly {
			best = version
		}
	}
	return best
}

// drawTargets returns a random selection of six back ends, each with one of two weights.
func (m *model) drawTargets() []placement.Target {
	var list []placement.Target
	for number := 1; number <= 6; number++ {
		if weight := m.choose(3) * 50; weight != 0 {
			list = append(list, target(number, uint16(weight)))
		}
	}
	return list
}

// forgettable returns the back ends that may be forgotten.
func (m *model) forgettable() []lb.BackendID {
	var ids []lb.BackendID
	for _, backend := range m.document.Backends {
		// A failed back end is forgotten together with its flows; the model tracks only flows on
		// back ends that have not failed.
		if backend.State == lb.BackendDraining && placement.CanForget(m.document, backend.ID) {
			ids = append(ids, backend.ID)
		}
	}
	return ids
}

// step makes one random transition.
func (m *model) step() error {
	switch m.choose(10) {
	case 0:
		m.now += time.Duration(m.choose(400)+1) * time.Second
		return nil
	case 1:
		return m.apply(placement.Prepare(m.drawTargets()))
	case 2:
		return m.apply(placement.Commit())
	case 3, 4:
		return m.apply(placement.Prepare(m.drawTargets()), placement.Commit())
	case 5:
		return m.settle()
	case 6:
		return m.clear()
	case 7:
		return m.collapse()
	case 8:
		if m.choose(3) == 0 {
			return m.apply(placement.Delete())
		}
		return m.forget()
	}
	return m.failOne()
}

func (m *model) settle() error {
	version := m.settleable()
	switch {
	case version == 0:
		return nil
	case m.mutation.settle != nil:
		return m.apply(m.mutation.settle(version))
	}
	return m.apply(placement.Settle(version))
}

func (m *model) clear() error {
	if m.mutation.clear != nil {
		return m.apply(placement.Clear(m.mutation.clear(m)))
	}
	return m.apply(placement.Clear(m.endFlows()))
}

func (m *model) collapse() error {
	if m.mutation.collapse != nil {
		return m.apply(m.mutation.collapse())
	}
	return m.apply(placement.Collapse())
}

func (m *model) forget() error {
	if m.mutation.forget == nil {
		return m.apply(placement.Forget(m.forgettable()...))
	}
	ids := m.mutation.forget(m)
	return m.apply(func(document *lb.Placement) error {
		document.Backends = slices.DeleteFunc(document.Backends, func(backend lb.PlacedBackend) bool {
			return slices.Contains(ids, backend.ID)
		})
		return nil
	})
}

func (m *model) failOne() error {
	current := m.document.Generations[m.document.Current].Backends
	if len(current) == 0 {
		return nil
	}
	return m.apply(placement.Fail(current[m.choose(len(current))].ID))
}

// runModel makes the given number of random transitions.
func runModel(choose chooser, mutation mutation, actions int) error {
	m, err := newModel(choose, mutation)
	for range actions {
		if err != nil {
			return err
		}
		err = m.step()
	}
	return err
}

// TestRandomTransitionsKeepInvariants checks the invariants after each of a number of random
// transitions.
func TestRandomTransitionsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(count int) int { return rapid.IntRange(0, count-1).Draw(t, "choice") }
		if err := runModel(draw, mutation{}, rapid.IntRange(5, 40).Draw(t, "actions")); err != nil {
			t.Fatal(err)
		}
	})
}

// TestInvariantsDetectEachBrokenRule breaks one rule at a time and checks that an invariant fails.
func TestInvariantsDetectEachBrokenRule(t *testing.T) {
	const schedules = 200
	keepHistory := func(change placement.Change) placement.Change {
		return func(document *lb.Placement) error {
			history := document.History
			err := change(document)
			document.History = history
			return err
		}
	}
	mutants := []struct {
		name     string
		mutation mutation
	}{
		{"no history at settle", mutation{settle: func(version lb.Version) placement.Change {
			return keepHistory(placement.Settle(version))
		}}},
		{"no history at collapse", mutation{collapse: func() placement.Change { return keepHistory(placement.Collapse()) }}},
		{"settle before IdleTimeout", mutation{settleEarly: true}},
		{"clear with flows", mutation{clear: func(*model) []uint16 {
			all := make([]uint16, lb.BucketCount)
			for bucket := range all {
				all[bucket] = uint16(bucket)
			}
			return all
		}}},
		{"forget with history", mutation{forget: func(m *model) []lb.BackendID {
			var ids []lb.BackendID
			for _, backend := range m.document.Backends {
				inUse := slices.ContainsFunc(m.document.Generations, func(generation lb.Generation) bool {
					return slices.ContainsFunc(generation.Backends, func(w lb.WeightedBackend) bool { return w.ID == backend.ID })
				})
				if backend.State == lb.BackendDraining && !inUse {
					ids = append(ids, backend.ID)
				}
			}
			return ids
		}}},
	}
	for _, mutant := range mutants {
		t.Run(mutant.name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(schedules) {
				random := func() chooser { return rand.New(rand.NewPCG(seed, 1)).IntN }
				if err := runModel(random(), mutant.mutation, 40); err != nil {
					is.NoErr(runModel(random(), mutation{}, 40)) // the same transitions pass without the mutation
					t.Logf("detected by schedule %d: %v", seed, err)
					return
				}
			}
			t.Fatalf("not detected in %d schedules", schedules)
		})
	}
}
