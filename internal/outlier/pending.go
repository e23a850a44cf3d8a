package outlier

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/message"
)

// maxOwnBad bounds the bad outcomes of a back end that one node reports at a time.
const maxOwnBad = 2

// maxPending bounds the back ends of which something waits to be reported.
const maxPending = 1024

// pending is what waits to be reported: what this node has seen itself since its
// last report, and what the nodes below it have reported.
type pending struct {
	own, below map[Identity]*tally
	// counted is when this node last counted as a reporter of a back end.
	counted map[Identity]time.Duration
}

// tally counts outcomes of a back end, and the nodes that have seen bad ones.
type tally struct{ bad, good, reporters int }

func newPending() pending {
	return pending{own: map[Identity]*tally{}, below: map[Identity]*tally{}, counted: map[Identity]time.Duration{}}
}

// tallyOf gives that of a back end; nil: there are too many.
func tallyOf(tallies map[Identity]*tally, identity Identity) *tally {
	known := tallies[identity]
	if known == nil && len(tallies) < maxPending {
		known = &tally{}
		tallies[identity] = known
	}
	return known
}

// note counts what this node has seen. Good outcomes count of back ends that are
// watched, or that have bad ones waiting to be reported.
func (p *pending) note(outcome Outcome, watched bool) {
	known := p.own[outcome.Identity]
	if known == nil && (outcome.Bad || watched) {
		known = tallyOf(p.own, outcome.Identity)
	}
	switch {
	case known == nil:
	case outcome.Bad:
		known.bad++
	default:
		known.good++
	}
}

// add adds what nodes below have reported.
func (p *pending) add(report *message.OutcomeReport) {
	for _, entry := range report.Backends {
		if sum := tallyOf(p.below, Identity(entry.Identity)); sum != nil {
			sum.bad += entry.Bad
			sum.good += entry.Good
			sum.reporters += entry.Reporters
		}
	}
}

// take gives what is to be reported now, the worst back ends first. What exceeds
// most entries is dropped, since newer evidence is worth more.
func (p *pending) take(now, reporterTime time.Duration, most int) []message.BackendOutcomes {
	for identity, seen := range p.own {
		sum := tallyOf(p.below, identity)
		if sum == nil {
			continue
		}
		sum.bad += min(seen.bad, maxOwnBad)
		sum.good += seen.good
		if seen.bad > 0 && p.counts(now, identity, reporterTime) {
			sum.reporters++
		}
	}
	entries := make([]message.BackendOutcomes, 0, len(p.below))
	for identity, sum := range p.below {
		entries = append(entries, message.BackendOutcomes{
			Identity: uint64(identity), Bad: sum.bad, Good: sum.good, Reporters: sum.reporters,
		})
	}
	clear(p.own)
	clear(p.below)
	slices.SortFunc(entries, func(left, right message.BackendOutcomes) int {
		return cmp.Or(cmp.Compare(right.Bad, left.Bad), cmp.Compare(left.Identity, right.Identity))
	})
	return entries[:min(len(entries), most)]
}

// counts tells whether this node counts as a reporter of a back end once more.
func (p *pending) counts(now time.Duration, identity Identity, reporterTime time.Duration) bool {
	if last, before := p.counted[identity]; before && now-last < reporterTime {
		return false
	}
	if len(p.counted) >= maxPending {
		maps.DeleteFunc(p.counted, func(_ Identity, at time.Duration) bool { return now-at >= reporterTime })
	}
	p.counted[identity] = now
	return true
}
