package core

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/steering"
	"robinpulley.example/robinpulley/internal/view"
)

// TestRepeatedOpeningFollowsTheTable checks that copies of an opening do not go back to a back end that
// was chosen before it left: not while others are ready, and not after its time as a last resort.
func TestRepeatedOpeningFollowsTheTable(t *testing.T) {
	is := is.New(t)
	const flows = 40
	core := newTokenCore()
	core.applyListing(0, tokenListing(9, tokenBackend("i-1", "web", 1, lb.BackendActive), tokenBackend("i-2", "web", 2, lb.BackendActive)))
	first := make(map[uint64]int)
	for number := range uint16(flows) {
		first[core.send(0, tokenOpening(number, 443)).Identity]++
	}
	is.True(first[1] > 0 && first[2] > 0)
	remove := func(now time.Duration, revision int64, name lb.BackendName) *steering.Table {
		core.replica.SetContact(view.Contact{CurrentAt: now})
		core.replica.ApplyChanges(now, &view.Changes{Revision: revision, Changes: []view.Change{{Revision: revision, Deleted: name}}})
		table := steering.Compile(core.replica, "za", now)
		core.Step(now, &Event{Table: table}, &core.effects)
		return table
	}
	repeat := func(now time.Duration, number uint16) Decision {
		opening := tokenOpening(number, 443)
		opening.Copies = 1
		return core.send(now, opening)
	}
	// The copies come before the first ones count as unanswered.
	const oneLeft, noneLeft, betweenCopies = 50 * time.Millisecond, 100 * time.Millisecond, 50 * time.Millisecond
	remove(oneLeft, 10, "i-1")
	for number := range uint16(flows) {
		is.Equal(repeat(oneLeft, number).Identity, uint64(2))
	}
	last := remove(noneLeft, 11, "i-2").Expires()
	for now := noneLeft; now < last-betweenCopies; now += TickInterval {
		core.Step(now, &Event{Tick: true}, &core.effects)
	}
	for number := range uint16(flows) { // to a last resort
		is.Equal(repeat(last-betweenCopies, number).Action, ActionForward)
	}
	for expires := last; expires > 0; { // the two back ends leave the table one after the other
		table := steering.Compile(core.replica, "za", expires)
		core.Step(expires, &Event{Table: table}, &core.effects)
		last, expires = expires, table.Expires()
	}
	for number := range uint16(flows) {
		decision := repeat(last, number)
		is.Equal(decision.Action, ActionRefuse)
		is.Equal(decision.Reason, ReasonNoBackend)
		is.Equal(decision.Refusal.Verdict, lb.MayHaveRun)
	}
}
