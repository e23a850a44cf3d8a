package controller

import (
	"maps"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"robinpulley.example/robinpulley/internal/catalog"
	"robinpulley.example/robinpulley/internal/lb"
)

const racedService = lb.ServiceName("wallet-core")

// choose gives a number from 0 up to, not including, count.
type choose func(count int) int

// race is a world in which publishers act in any order, with the history that
// the rules are judged by.
type race struct {
	*world
	choose  choose
	checked int // entries of the log that were judged
	last    *lb.Placement
	// wanted gives the back ends that operators wanted at each revision.
	wanted     []map[lb.BackendName]bool
	lastChange int64                 // revision of the operators' last change
	written    map[lb.Version]string // write ids
	committed  map[lb.Version]time.Duration
	// claimed is the highest revision that any publisher said is published.
	claimed int64
}

func newRace(choose choose, off rules) *race {
	r := &race{
		world:     newWorld(3, nil),
		choose:    choose,
		wanted:    []map[lb.BackendName]bool{{}},
		written:   make(map[lb.Version]string),
		committed: make(map[lb.Version]time.Duration),
	}
	r.store.ignoreEpoch = off.noEpoch
	r.shuffle = func(list []Document) {
		for index := range list {
			other := choose(index + 1)
			list[index], list[other] = list[other], list[index]
		}
	}
	for _, p := range r.publishers {
		p.controller.off = off
		p.controller.settings.InForce = r.fromPeers
	}
	return r
}

// fromPeers gives what a publisher may have got from another's node by gossip.
func (r *race) fromPeers(name lb.ServiceName) *lb.Placement {
	return r.publishers[r.choose(len(r.publishers))].adopted[name]
}

// judge checks every rule against what is new in the store.
func (r *race) judge() error {
	for ; r.checked < len(r.store.log); r.checked++ {
		document := r.store.log[r.checked]
		r.noteWanted(document)
		if document.Key != catalog.PlacementKey(racedService) {
			continue
		}
		decoded, err := decodePlacement(&document, racedService)
		if err == nil {
			err = r.judgePlacement(decoded)
		}
		if err != nil {
			return err
		}
		r.last = decoded
		r.written[decoded.Version] = decoded.WriteID
	}
	for _, p := range r.publishers {
		r.claimed = max(r.claimed, p.controller.PublishedRevision())
	}
	return r.judgeAdopted()
}

// judgeAdopted: nodes are given only what is in the store.
func (r *race) judgeAdopted() error {
	for _, p := range r.publishers {
		if adopted := p.adopted[racedService]; adopted != nil && r.written[adopted.Version] != adopted.WriteID {
			return errors.Newf("version %d of write %s was given to nodes, the store had %q as that version",
				adopted.Version, adopted.WriteID, r.written[adopted.Version])
		}
	}
	return nil
}

// noteWanted keeps what operators want as of the document's revision.
func (r *race) noteWanted(document Document) {
	next := maps.Clone(r.wanted[len(r.wanted)-1])
	if catalog.IsConfiguration(document.Key) {
		r.lastChange = document.ModRevision
	}
	if name, found := strings.CutPrefix(document.Key, catalog.BackendPrefix); found {
		delete(next, lb.BackendName(name))
		if backend, err := catalog.DecodeBackend(document.Key, document.Value); !document.Deleted && err == nil {
			if backend.Labels["app"] == "wallet" {
				next[backend.Name] = true
			}
		}
	}
	r.wanted = append(r.wanted, next)
}

func (r *race) judgePlacement(document *lb.Placement) error {
	if r.last != nil && document.Version != r.last.Version+1 {
		return errors.Newf("version %d after %d", document.Version, r.last.Version)
	}
	if r.last != nil && document.ConfigRevision < r.last.ConfigRevision {
		return errors.Newf("configuration revision %d after %d", document.ConfigRevision, r.last.ConfigRevision)
	}
	announced := generationNames(document, len(document.Generations)-1)
	if !maps.Equal(announced, r.wanted[document.ConfigRevision]) {
		return errors.Newf("version %d places %v; at revision %d operators wanted %v",
			document.Version, announced, document.ConfigRevision, r.wanted[document.ConfigRevision])
	}
	if err := r.judgeBase(document); err != nil {
		return err
	}
	return r.judgeClaim(document)
}

// judgeBase: a generation becomes the base no sooner than IdleTimeout after its commit.
func (r *race) judgeBase(document *lb.Placement) error {
	current := document.Generations[document.Current].Version
	if _, known := r.committed[current]; !known {
		r.committed[current] = r.now
	}
	base := document.Generations[0].Version
	if r.last == nil || base == r.last.Generations[0].Version || len(r.last.Generations[0].Backends) == 0 {
		return nil
	}
	if age := r.now - r.committed[base]; age < 300*time.Second {
		return errors.Newf("generation %d became the base %v after its commit", base, age)
	}
	return nil
}

// judgeClaim: what a publisher said is in force is not taken back.
func (r *race) judgeClaim(document *lb.Placement) error {
	current := generationNames(document, document.Current)
	for revision := r.claimed; revision < int64(len(r.wanted)); revision++ {
		if maps.Equal(current, r.wanted[revision]) {
			return nil
		}
	}
	return errors.Newf("version %d has %v in force, from before revision %d, which was said to be published",
		document.Version, current, r.claimed)
}

func generationNames(document *lb.Placement, generation int) map[lb.BackendName]bool {
	names := make(map[lb.BackendName]bool)
	for _, weighted := range document.Generations[generation].Backends {
		for _, backend := range document.Backends {
			if backend.ID == weighted.ID {
				names[backend.Name] = true
			}
		}
	}
	return names
}

// act does one thing that may happen at any time.
func (r *race) act() {
	p := r.publishers[r.choose(len(r.publishers))]
	backend := r.choose(3) + 1
	switch r.choose(14) {
	case 0:
		r.putBackend(backend, "wallet")
	case 1:
		r.putBackend(backend, "other")
	case 2:
		r.store.remove(catalog.BackendKey(backendName(backend)))
	case 3, 4:
		p.watch(r.choose(4) + 1)
	case 5:
		p.list()
	case 6:
		r.now += time.Duration(r.choose(3000)+1) * time.Millisecond
		p.step(&Event{Tick: true})
	case 7, 8:
		r.oneWrite(p, true, true)
	case 9:
		r.oneWrite(p, true, false)
	case 10:
		r.oneWrite(p, false, false)
	case 11:
		r.oneRead(p)
	case 12:
		p.changeEpoch()
	case 13:
		r.rare(p)
	}
}

// rare does what is to happen less often.
func (r *race) rare(p *publisher) {
	switch r.choose(3) {
	case 0:
		r.now += 150 * time.Second
	case 1: // a list from a store member that lags
		p.step(&Event{Documents: &Documents{Complete: true, Revision: 0}})
	case 2:
		p.step(&Event{Store: StoreDown})
		p.step(&Event{Store: StoreUp})
	}
}

// oneWrite takes the publisher's oldest write under way, however old. Without
// an answer the outcome is unknown to its writer.
func (r *race) oneWrite(p *publisher, apply, answer bool) {
	if len(p.writes) == 0 {
		return
	}
	write := p.writes[0]
	p.writes = p.writes[1:]
	result := &WriteResult{Service: racedService, WriteID: write.Placement.WriteID, Outcome: WriteUnknown}
	if apply {
		if outcome := p.apply(write); answer {
			result = outcome
		}
	}
	p.step(&Event{Result: result})
}

func (r *race) oneRead(p *publisher) {
	if len(p.reads) == 0 {
		return
	}
	name := p.reads[0]
	p.reads = p.reads[1:]
	if r.choose(2) == 0 {
		p.step(&Event{ReadBack: &ReadBack{Service: name, Failed: true}})
		return
	}
	p.readBack(name)
}

// run acts a number of times, then lets everything finish. That must end with
// the last change in force.
func (r *race) run(actions int) error {
	r.putService(racedService, "app=wallet")
	r.putBackend(1, "wallet")
	for range actions {
		if err := r.judge(); err != nil {
			return err
		}
		r.act()
	}
	for _, p := range r.publishers {
		p.list()
	}
	const most, after = 300, 30 // rounds until the end is reached, and how long it must last
	for left := most; left > 0; left-- {
		r.world.run(100 * time.Millisecond)
		if err := r.judge(); err != nil {
			return err
		}
		if left > after && r.judgeEnd() == nil {
			left = after
		}
	}
	return r.judgeEnd()
}

// judgeEnd: the last change is in force, and every publisher says so.
func (r *race) judgeEnd() error {
	if r.last == nil {
		return errors.New("nothing is placed")
	}
	final := r.wanted[len(r.wanted)-1]
	if !maps.Equal(generationNames(r.last, r.last.Current), final) {
		return errors.Newf("in the end %v are in force; operators want %v", generationNames(r.last, r.last.Current), final)
	}
	for index, p := range r.publishers {
		// Weight steps may still be under way: only the operators' changes count.
		if p.controller.PublishedRevision() < r.lastChange {
			return errors.Newf("publisher %d says %d is published, the operators' last change is %d",
				index, p.controller.PublishedRevision(), r.lastChange)
		}
	}
	return nil
}

// TestRacingPublishers: with any order of publishers, lost answers, pauses and
// late lists, versions never go back and no accepted change is lost or taken back.
func TestRacingPublishers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(count int) int { return rapid.IntRange(0, count-1).Draw(t, "choice") }
		if err := newRace(draw, rules{}).run(rapid.IntRange(10, 80).Draw(t, "actions")); err != nil {
			t.Fatal(err)
		}
	})
}

// seededRace runs one race whose choices come from the seed.
func seededRace(seed uint64, off rules, adjust func(*race)) error {
	r := newRace(rand.New(rand.NewPCG(seed, 1)).IntN, off)
	if adjust != nil {
		adjust(r)
	}
	return r.run(80)
}

// TestMutants shows that the properties depend on each rule: with it off, a
// schedule breaches one, and the same schedule with it on does not.
func TestMutants(t *testing.T) {
	const schedules = 2000
	mutants := []struct {
		name   string
		off    rules
		adjust func(*race)
		first  uint64 // schedule to begin with, where a breach is rare
	}{
		{name: "epoch", off: rules{noEpoch: true}},
		{name: "configuration guard", off: rules{noConfigurationGuard: true}, first: 1300},
		{name: "fencing write", off: rules{noFencingWrite: true}},
		{name: "read back", off: rules{noReadBack: true}},
		{name: "settle wait", off: rules{noSettleWait: true}},
		{name: "stale lists", off: rules{noStaleListCheck: true}},
		{name: "compare and swap", adjust: func(r *race) { r.store.ignoreRevision = true }},
	}
	for _, mutant := range mutants {
		t.Run(mutant.name, func(t *testing.T) {
			is := is.New(t)
			for seed := mutant.first; seed < mutant.first+schedules; seed++ {
				if err := seededRace(seed, mutant.off, mutant.adjust); err != nil {
					is.NoErr(seededRace(seed, rules{}, nil)) // the rule is what makes the difference
					t.Logf("caught by schedule %d: %v", seed, err)
					return
				}
			}
			t.Fatalf("not caught in %d schedules", schedules)
		})
	}
}

// TestClaimWaitsForAnOlderPlacement is a schedule found by seeded races: a
// placement derived from an older configuration reaches the store after the
// list and before the epoch changes, while the claim already waits for a later change.
func TestClaimWaitsForAnOlderPlacement(t *testing.T) {
	is := is.New(t)
	w := newWorld(2, nil)
	writer, claimer := w.publishers[0], w.publishers[1]
	w.putService(racedService, "app=wallet")
	w.putBackend(1, "wallet")
	w.run(10 * time.Second)
	w.putBackend(3, "wallet")
	joined := w.store.revision
	writer.watch(1)
	w.now += time.Second
	writer.step(&Event{Tick: true})
	is.Equal(len(writer.writes), 1) // under way: back end 3 joins
	w.putBackend(3, "other")
	claimer.list()
	w.putBackend(3, "wallet")
	claimer.watch(1)
	is.Equal(writer.apply(writer.writes[0]).Outcome, WriteDone)
	claimer.changeEpoch()
	claimer.watch(2)
	is.True(claimer.controller.isEpochConfirmed())
	is.True(claimer.controller.PublishedRevision() <= joined)
}

// TestSameEventsGiveSameWrites: the controller is deterministic.
func TestSameEventsGiveSameWrites(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		var logs [2][]Document
		for index := range logs {
			is.NoErr(seededRace(seed, rules{}, func(r *race) { r.store.keep = &logs[index] }))
		}
		is.Equal(logs[0], logs[1])
	}
}
