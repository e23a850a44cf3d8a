package core

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// mutant switches one rule off. The plans of its kind must then breach the property.
type mutant struct {
	name      string
	off       disabledRules
	plan      func(*plan) // where the rule is one of the publisher's, not the core's
	kind      string
	violates  property
	firstSeed int // first schedule tried: the one that was found to catch it
}

var mutants = []mutant{
	{name: "the tail's record wins", off: disabledRules{noTailRecordWins: true}, kind: "uneven", violates: oneBackend, firstSeed: 250},
	{name: "record before forward", off: disabledRules{noRecordBeforeForward: true}, kind: "laggard", violates: oneBackend},
	{name: "openings through the chain", off: disabledRules{noOpeningThroughChain: true}, kind: "laggard", violates: oneBackend, firstSeed: 13},
	{name: "vouch before not run", off: disabledRules{noVouchBeforeNotRun: true}, kind: "two deaths", violates: notRunTrue, firstSeed: 220},
	{name: "refusals are recorded", off: disabledRules{noRefusalRecord: true}, kind: "planned", violates: notRunTrue},
	{name: "versions only grow", off: disabledRules{noMonotoneVersion: true}, kind: "planned", violates: versionGrows},
	{name: "handover before leave", off: disabledRules{noHandoverBeforeLeave: true}, kind: "stop then death", violates: flowStays, firstSeed: 65},
	{name: "handover to who joins", off: disabledRules{noHandoverToJoined: true}, kind: "joins", violates: flowStays, firstSeed: 30},
	{name: "unsure after a pause", off: disabledRules{noUnverifiedAfterPause: true}, kind: "pause", violates: flowStays, firstSeed: 150},
	{name: "last check of the service", off: disabledRules{noLastServiceCheck: true}, kind: "laggard", violates: ownService},
	{name: "records kept in history", off: disabledRules{noRecordsInHistory: true}, kind: "history", violates: flowStays, firstSeed: 70},
	{name: "prepare before commit", plan: func(drawn *plan) { drawn.SkipPrepare = true }, kind: "planned", violates: flowStays, firstSeed: 70},
	{name: "settle only after idle", plan: func(drawn *plan) { drawn.SettleEarly = true }, kind: "planned", violates: flowStays, firstSeed: 100},
}

// maxMutantSchedules is the most schedules in which a mutant must be caught.
const maxMutantSchedules = 200

// TestMutants shows that the properties depend on each rule: with it off, a
// schedule breaches its property, and the same schedule with it on does not.
func TestMutants(t *testing.T) {
	for _, candidate := range mutants {
		t.Run(candidate.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			kind := findKind(candidate.kind)
			is.True(kind != nil) // the mutant's kind of plans exists
			generator := rapid.Custom(kind.draw)
			for seed := candidate.firstSeed; seed < candidate.firstSeed+maxMutantSchedules; seed++ {
				drawn := generator.Example(seed)
				changed := drawn
				if candidate.plan != nil {
					candidate.plan(&changed)
				}
				if detail, caught := findViolation(changed.run(candidate.off), candidate.violates); caught {
					_, also := findViolation(drawn.run(disabledRules{}), candidate.violates)
					is.True(!also) // the rule is what makes the difference
					t.Logf("%s: caught by %s %d: %s: %s", candidate.name, kind.name, seed, candidate.violates, detail)
					return
				}
			}
			t.Fatalf("not caught in %d schedules", maxMutantSchedules)
		})
	}
}

func findKind(name string) *planKind {
	for index := range planKinds {
		if planKinds[index].name == name {
			return &planKinds[index]
		}
	}
	return nil
}

func findViolation(ran *network, breach property) (string, bool) {
	for _, found := range ran.violations {
		if found.property == breach {
			return found.detail, true
		}
	}
	return "", false
}
