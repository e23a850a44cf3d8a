package core

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// mutant disables one rule. Some plan of its kind must then violate the property.
type mutant struct {
	name      string
	disabled  disabledRules
	plan      func(*plan) // changes the plan, for rules of the publisher
	kind      string
	violates  property
	firstSeed int // first schedule to run; it or one of the next ones detects the mutant
}

var mutants = []mutant{
	{name: "the tail's record wins", disabled: disabledRules{noTailRecordWins: true}, kind: "late placements and joins", violates: oneBackend, firstSeed: 250},
	{name: "record before forward", disabled: disabledRules{noRecordBeforeForward: true}, kind: "late placements", violates: oneBackend},
	{name: "openings through the chain", disabled: disabledRules{noOpeningThroughChain: true}, kind: "late placements", violates: oneBackend, firstSeed: 13},
	{name: "vouch before not run", disabled: disabledRules{noVouchBeforeNotRun: true}, kind: "two deaths", violates: notRunTrue, firstSeed: 220},
	{name: "refusals are recorded", disabled: disabledRules{noRefusalRecord: true}, kind: "planned", violates: notRunTrue},
	{name: "versions only grow", disabled: disabledRules{noMonotoneVersion: true}, kind: "planned", violates: versionGrows},
	{name: "handover before leave", disabled: disabledRules{noHandoverBeforeLeave: true}, kind: "death after stop", violates: flowStays, firstSeed: 65},
	{name: "handover to joined nodes", disabled: disabledRules{noHandoverToJoined: true}, kind: "joins", violates: flowStays, firstSeed: 30},
	{name: "view unverified after a pause", disabled: disabledRules{noUnverifiedAfterPause: true}, kind: "pause", violates: flowStays, firstSeed: 150},
	{name: "final service check", disabled: disabledRules{noLastServiceCheck: true}, kind: "late placements", violates: ownService},
	{name: "records kept in history", disabled: disabledRules{noRecordsInHistory: true}, kind: "history", violates: flowStays, firstSeed: 70},
	{name: "prepare before commit", plan: func(drawn *plan) { drawn.SkipPrepare = true }, kind: "planned", violates: flowStays, firstSeed: 70},
	{name: "settle only after idle", plan: func(drawn *plan) { drawn.SettleEarly = true }, kind: "planned", violates: flowStays, firstSeed: 100},
}

// maxMutantSchedules is the number of schedules within which a mutant must be detected.
const maxMutantSchedules = 200

// TestMutants checks that the properties depend on each rule: without the rule, some schedule
// violates its property, and the same schedule with the rule does not.
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
				if detail, detected := findViolation(changed.run(candidate.disabled), candidate.violates); detected {
					_, violatedAnyway := findViolation(drawn.run(disabledRules{}), candidate.violates)
					is.True(!violatedAnyway) // the violation is due to the missing rule
					t.Logf("%s: detected by %s %d: %s: %s", candidate.name, kind.name, seed, candidate.violates, detail)
					return
				}
			}
			t.Fatalf("not detected in %d schedules", maxMutantSchedules)
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

func findViolation(result *network, violated property) (string, bool) {
	for _, found := range result.violations {
		if found.property == violated {
			return found.detail, true
		}
	}
	return "", false
}
