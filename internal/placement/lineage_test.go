package placement_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/placement"
)

// idleTimeout is the virtual time after which a generation may become the base.
const idleTimeout = 300 * time.Second

// lineage is a document under random transitions, with what the rules are judged by.
type lineage struct {
	document  *lb.Placement
	now       time.Duration
	committed map[lb.Version]time.Duration // when each generation became current
	// placed holds, per bucket, the back ends that flows may be on.
	placed [lb.BucketCount][]lb.BackendID
	names  map[lb.BackendID]placement.Target
}

// apply makes the next version and checks every rule.
func (l *lineage) apply(t *rapid.T, changes ...placement.Change) {
	before := l.document
	after, err := placement.Next(before, stamp(int64(before.Version)+1), changes...)
	if err != nil {
		t.Fatalf("transition: %v", err)
	}
	l.document = after
	table, err := placement.Compile(after)
	if err != nil {
		t.Fatalf("compile: %v", err)
	}
	if after.Version != before.Version+1 {
		t.Fatalf("version %d after %d", after.Version, before.Version)
	}
	l.checkBase(t, before)
	if _, known := l.committed[after.Generations[after.Current].Version]; !known {
		l.committed[after.Generations[after.Current].Version] = l.now
	}
	l.checkIdentities(t)
	l.checkBuckets(t, table)
}

// checkBase: the base moves only to a generation committed long enough ago, or off an empty one.
func (l *lineage) checkBase(t *rapid.T, before *lb.Placement) {
	base := l.document.Generations[0].Version
	if base == before.Generations[0].Version || len(before.Generations[0].Backends) == 0 {
		return
	}
	at, known := l.committed[base]
	if !known || l.now-at < idleTimeout {
		t.Fatalf("base moved to generation %d, committed %v ago", base, l.now-at)
	}
}

// checkIdentities: a number never names another back end.
func (l *lineage) checkIdentities(t *rapid.T) {
	for _, backend := range l.document.Backends {
		identity := placement.Target{Name: backend.Name, Host: backend.Host}
		if known, found := l.names[backend.ID]; found && known != identity {
			t.Fatalf("back end %d was %v, is %v", backend.ID, known, identity)
		}
		l.names[backend.ID] = identity
	}
}

// checkBuckets: a bucket that may have flows away from the base is in motion or has history.
func (l *lineage) checkBuckets(t *rapid.T, table *placement.Table) {
	for bucket := range uint16(lb.BucketCount) {
		if current := table.Current(bucket); current != lb.NoBackend && !slices.Contains(l.placed[bucket], current) {
			l.placed[bucket] = append(l.placed[bucket], current)
		}
		for _, id := range l.placed[bucket] {
			if id != table.Base(bucket) && !table.InMotion(bucket) && !table.HasHistory(bucket) {
				t.Fatalf("bucket %d: flows on %d, base %d, neither motion nor history", bucket, id, table.Base(bucket))
			}
			if _, found := table.Backend(id); !found {
				t.Fatalf("bucket %d: flows on %d, which is not in the document", bucket, id)
			}
		}
	}
}

// endFlows ends the flows of some buckets that are away from the base and gives those buckets.
func (l *lineage) endFlows(t *rapid.T) []uint16 {
	table, _ := placement.Compile(l.document)
	step := rapid.IntRange(1, 3).Draw(t, "step")
	var buckets []uint16
	for bucket := 0; bucket < lb.BucketCount; bucket += step {
		at := uint16(bucket)
		if !table.HasHistory(at) {
			continue
		}
		l.placed[at] = slices.DeleteFunc(l.placed[at], func(id lb.BackendID) bool { return id != table.Base(at) })
		buckets = append(buckets, at)
	}
	return buckets
}

// settleable gives the newest generation that may become the base, or zero.
func (l *lineage) settleable() lb.Version {
	var best lb.Version
	for index := 1; index <= l.document.Current; index++ {
		version := l.document.Generations[index].Version
		if at, known := l.committed[version]; known && l.now-at >= idleTimeout {
			best = version
		}
	}
	return best
}

// drawTargets gives some of six back ends with one of two weights.
func drawTargets(t *rapid.T) []placement.Target {
	var list []placement.Target
	for number := 1; number <= 6; number++ {
		if weight := rapid.SampledFrom([]uint16{0, 50, 100}).Draw(t, "weight"); weight != 0 {
			list = append(list, target(number, weight))
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

// TestLineageRules runs random transitions and checks the rules after each.
func TestLineageRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, err := placement.New("wallet-core", stamp(1), placement.Prepare(drawTargets(t)), placement.Commit())
		if err != nil {
			t.Fatal(err)
		}
		l := &lineage{
			document:  first,
			committed: map[lb.Version]time.Duration{first.Generations[0].Version: 0},
			names:     make(map[lb.BackendID]placement.Target),
		}
		l.apply(t, placement.Collapse())
		t.Repeat(map[string]func(*rapid.T){
			"wait":    func(t *rapid.T) { l.now += time.Duration(rapid.IntRange(1, 400).Draw(t, "seconds")) * time.Second },
			"prepare": func(t *rapid.T) { l.apply(t, placement.Prepare(drawTargets(t))) },
			"commit":  func(t *rapid.T) { l.apply(t, placement.Commit()) },
			"change":  func(t *rapid.T) { l.apply(t, placement.Prepare(drawTargets(t)), placement.Commit()) },
			"settle": func(t *rapid.T) {
				if version := l.settleable(); version != 0 {
					l.apply(t, placement.Settle(version))
				}
			},
			"clear":    func(t *rapid.T) { l.apply(t, placement.Clear(l.endFlows(t))) },
			"collapse": func(t *rapid.T) { l.apply(t, placement.Collapse()) },
			"delete":   func(t *rapid.T) { l.apply(t, placement.Delete()) },
			"forget":   func(t *rapid.T) { l.apply(t, placement.Forget(l.forgettable()...)) },
			"fail": func(t *rapid.T) {
				current := l.document.Generations[l.document.Current].Backends
				if len(current) != 0 {
					l.apply(t, placement.Fail(rapid.SampledFrom(current).Draw(t, "failed").ID))
				}
			},
		})
	})
}
