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

// choose gives a number from 0 up to, not including, count.
type choose func(count int) int

// mutation changes what transitions do; the zero value changes nothing.
type mutation struct {
	settle   func(lb.Version) placement.Change
	collapse func() placement.Change
	forget   func(*lineage) []lb.BackendID
	early    bool // settle before IdleTimeout
	clear    func(*lineage) []uint16
}

// lineage is a document under random transitions, with what the rules are judged by.
type lineage struct {
	choose    choose
	mutation  mutation
	document  *lb.Placement
	now       time.Duration
	committed map[lb.Version]time.Duration // when each generation became current
	// placed holds, per bucket, the back ends that flows may be on.
	placed [lb.BucketCount][]lb.BackendID
	names  map[lb.BackendID]placement.Target
}

func newLineage(choose choose, mutation mutation) (*lineage, error) {
	l := &lineage{
		choose:    choose,
		mutation:  mutation,
		committed: make(map[lb.Version]time.Duration),
		names:     make(map[lb.BackendID]placement.Target),
	}
	first, err := placement.New("wallet-core", stamp(1), placement.Prepare(l.drawTargets()), placement.Commit())
	if err != nil {
		return nil, err
	}
	l.document = first
	l.committed[first.Generations[0].Version] = 0
	return l, l.apply()
}

// apply makes the next version and checks every rule.
func (l *lineage) apply(changes ...placement.Change) error {
	before := l.document
	after, err := placement.Next(before, stamp(int64(before.Version)+1), changes...)
	if err != nil {
		return err
	}
	table, err := placement.Compile(after)
	if err != nil {
		return err
	}
	l.document = after
	if after.Version != before.Version+1 {
		return errors.Newf("version %d after %d", after.Version, before.Version)
	}
	if err := l.checkBase(before); err != nil {
		return err
	}
	current := after.Generations[after.Current].Version
	if _, known := l.committed[current]; !known {
		l.committed[current] = l.now
	}
	if err := l.checkIdentities(); err != nil {
		return err
	}
	return l.checkBuckets(table)
}

// checkBase: the base moves only to a generation committed long enough ago, or off an empty one.
func (l *lineage) checkBase(before *lb.Placement) error {
	base := l.document.Generations[0].Version
	if base == before.Generations[0].Version || len(before.Generations[0].Backends) == 0 {
		return nil
	}
	if at, known := l.committed[base]; !known || l.now-at < idleTimeout {
		return errors.Newf("base moved to generation %d, committed %v ago", base, l.now-at)
	}
	return nil
}

// checkIdentities: a number never names another back end.
func (l *lineage) checkIdentities() error {
	for _, backend := range l.document.Backends {
		identity := placement.Target{Name: backend.Name, Host: backend.Host}
		if known, found := l.names[backend.ID]; found && known != identity {
			return errors.Newf("back end %d was %v, is %v", backend.ID, known, identity)
		}
		l.names[backend.ID] = identity
	}
	return nil
}

// checkBuckets: a bucket that may have flows away from the base is in motion or has history.
func (l *lineage) checkBuckets(table *placement.Table) error {
	for bucket := range uint16(lb.BucketCount) {
		if current := table.Current(bucket); current != lb.NoBackend && !slices.Contains(l.placed[bucket], current) {
			l.placed[bucket] = append(l.placed[bucket], current)
		}
		for _, id := range l.placed[bucket] {
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

// endFlows ends the flows of some buckets that are away from the base and gives those buckets.
func (l *lineage) endFlows() []uint16 {
	table, _ := placement.Compile(l.document)
	step := uint16(l.choose(3) + 1)
	var buckets []uint16
	for bucket := uint16(0); bucket < lb.BucketCount; bucket += step {
		if table.HasHistory(bucket) {
			base := table.Base(bucket)
			l.placed[bucket] = slices.DeleteFunc(l.placed[bucket], func(id lb.BackendID) bool { return id != base })
			buckets = append(buckets, bucket)
		}
	}
	return buckets
}

// settleable gives the newest generation that may become the base, or zero.
func (l *lineage) settleable() lb.Version {
	var best lb.Version
	for index := 1; index <= l.document.Current; index++ {
		version := l.document.Generations[index].Version
		if l.now-l.committed[version] >= idleTimeout || l.mutation.early {
			best = version
		}
	}
	return best
}

// drawTargets gives some of six back ends with one of two weights.
func (l *lineage) drawTargets() []placement.Target {
	var list []placement.Target
	for number := 1; number <= 6; number++ {
		if weight := l.choose(3) * 50; weight != 0 {
			list = append(list, target(number, uint16(weight)))
		}
	}
	return list
}

// forgettable gives the back ends that may be forgotten.
func (l *lineage) forgettable() []lb.BackendID {
	var ids []lb.BackendID
	for _, backend := range l.document.Backends {
		// A failed back end is forgotten with its flows; this test judges live ones.
		if backend.State == lb.BackendDraining && placement.Forgettable(l.document, backend.ID) {
			ids = append(ids, backend.ID)
		}
	}
	return ids
}

// act makes one transition that may happen at any time.
func (l *lineage) act() error {
	switch l.choose(10) {
	case 0:
		l.now += time.Duration(l.choose(400)+1) * time.Second
		return nil
	case 1:
		return l.apply(placement.Prepare(l.drawTargets()))
	case 2:
		return l.apply(placement.Commit())
	case 3, 4:
		return l.apply(placement.Prepare(l.drawTargets()), placement.Commit())
	case 5:
		return l.settle()
	case 6:
		return l.clear()
	case 7:
		return l.collapse()
	case 8:
		if l.choose(3) == 0 {
			return l.apply(placement.Delete())
		}
		return l.forget()
	}
	return l.failOne()
}

func (l *lineage) settle() error {
	version := l.settleable()
	switch {
	case version == 0:
		return nil
	case l.mutation.settle != nil:
		return l.apply(l.mutation.settle(version))
	}
	return l.apply(placement.Settle(version))
}

func (l *lineage) clear() error {
	if l.mutation.clear != nil {
		return l.apply(placement.Clear(l.mutation.clear(l)))
	}
	return l.apply(placement.Clear(l.endFlows()))
}

func (l *lineage) collapse() error {
	if l.mutation.collapse != nil {
		return l.apply(l.mutation.collapse())
	}
	return l.apply(placement.Collapse())
}

func (l *lineage) forget() error {
	if l.mutation.forget == nil {
		return l.apply(placement.Forget(l.forgettable()...))
	}
	ids := l.mutation.forget(l)
	return l.apply(func(document *lb.Placement) error {
		document.Backends = slices.DeleteFunc(document.Backends, func(backend lb.PlacedBackend) bool {
			return slices.Contains(ids, backend.ID)
		})
		return nil
	})
}

func (l *lineage) failOne() error {
	current := l.document.Generations[l.document.Current].Backends
	if len(current) == 0 {
		return nil
	}
	return l.apply(placement.Fail(current[l.choose(len(current))].ID))
}

// runLineage makes a number of transitions.
func runLineage(choose choose, mutation mutation, actions int) error {
	l, err := newLineage(choose, mutation)
	for range actions {
		if err != nil {
			return err
		}
		err = l.act()
	}
	return err
}

// TestLineageRules runs random transitions and checks the rules after each.
func TestLineageRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(count int) int { return rapid.IntRange(0, count-1).Draw(t, "choice") }
		if err := runLineage(draw, mutation{}, rapid.IntRange(5, 40).Draw(t, "actions")); err != nil {
			t.Fatal(err)
		}
	})
}

// TestLineageMutants shows that the properties depend on each rule.
func TestLineageMutants(t *testing.T) {
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
		{"history at settle", mutation{settle: func(version lb.Version) placement.Change {
			return keepHistory(placement.Settle(version))
		}}},
		{"history at collapse", mutation{collapse: func() placement.Change { return keepHistory(placement.Collapse()) }}},
		{"settle only after IdleTimeout", mutation{early: true}},
		{"clear only without flows", mutation{clear: func(*lineage) []uint16 {
			all := make([]uint16, lb.BucketCount)
			for bucket := range all {
				all[bucket] = uint16(bucket)
			}
			return all
		}}},
		{"forget only without history", mutation{forget: func(l *lineage) []lb.BackendID {
			var ids []lb.BackendID
			for _, backend := range l.document.Backends {
				inUse := slices.ContainsFunc(l.document.Generations, func(generation lb.Generation) bool {
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
				random := func() choose { return rand.New(rand.NewPCG(seed, 1)).IntN }
				if err := runLineage(random(), mutant.mutation, 40); err != nil {
					is.NoErr(runLineage(random(), mutation{}, 40)) // the rule is what makes the difference
					t.Logf("caught by schedule %d: %v", seed, err)
					return
				}
			}
			t.Fatalf("not caught in %d schedules", schedules)
		})
	}
}
