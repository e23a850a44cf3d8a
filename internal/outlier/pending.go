package outlier

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/message"
)

// maxOwnBadOutcomes bounds the bad outcomes of one back end in a node's report.
const maxOwnBadOutcomes = 2

// maxPendingBackends bounds the back ends with outcomes waiting to be reported.
const maxPendingBackends = 1024

// pending holds the outcomes waiting to be reported: the own outcomes of this node since its last
// report, and the outcomes that its children reported.
type pending struct {
	own, below map[Identity]*tally
	// lastCounted holds when this node last counted as a reporter of each back end.
	lastCounted map[Identity]time.Duration
}

// tally counts the outcomes of a back end and the nodes that reported bad ones.
type tally struct{ bad, good, reporters int }

func newPending() pending {
	return pending{own: map[Identity]*tally{}, below: map[Identity]*tally{}, lastCounted: map[Identity]time.Duration{}}
}

// tallyOf returns the tally of a back end, creating it if needed. It returns nil when there are too
// many.
func tallyOf(tallies map[Identity]*tally, identity Identity) *tally {
	counts := tallies[identity]
	if counts == nil && len(tallies) < maxPendingBackends {
		counts = &tally{}
		tallies[identity] = counts
	}
	return counts
}

// record counts an outcome that this node observed. Good outcomes count only for back ends that are
// watched or that have bad outcomes waiting to be reported.
func (p *pending) record(outcome Outcome, watched bool) {
	counts := p.own[outcome.Identity]
	if counts == nil && (outcome.Bad || watched) {
		counts = tallyOf(p.own, outcome.Identity)
	}
	switch {
	case counts == nil:
	case outcome.Bad:
		counts.bad++
	default:
		counts.good++
	}
}

// add adds the report of a child node.
func (p *pending) add(report *message.OutcomeReport) {
	for _, entry := range report.Backends {
		if sum := tallyOf(p.below, Identity(entry.Identity)); sum != nil {
			sum.bad += entry.Bad
			sum.good += entry.Good
			sum.reporters += entry.NewReporters
		}
	}
}

// drain removes and returns the outcomes to be reported now, the back ends with the most bad
// outcomes first. Entries beyond maxEntries are dropped, since newer outcomes are worth more.
func (p *pending) drain(now, reporterInterval time.Duration, maxEntries int) []message.BackendOutcomes {
	for identity, seen := range p.own {
		sum := tallyOf(p.below, identity)
		if sum == nil {
			continue
		}
		sum.bad += min(seen.bad, maxOwnBadOutcomes)
		sum.good += seen.good
		if seen.bad > 0 && p.countReporter(now, identity, reporterInterval) {
			sum.reporters++
		}
	}
	entries := make([]message.BackendOutcomes, 0, len(p.below))
	for identity, sum := range p.below {
		entries = append(entries, message.BackendOutcomes{
			Identity: uint64(identity), Bad: sum.bad, Good: sum.good, NewReporters: sum.reporters,
		})
	}
	clear(p.own)
	clear(p.below)
	slices.SortFunc(entries, func(left, right message.BackendOutcomes) int {
		return cmp.Or(cmp.Compare(right.Bad, left.Bad), cmp.Compare(left.Identity, right.Identity))
	})
	return entries[:min(len(entries), maxEntries)]
}

// countReporter reports whether this node counts as a reporter of the back end again, and if so
// records the time.
func (p *pending) countReporter(now time.Duration, identity Identity, reporterInterval time.Duration) bool {
	if last, before := p.lastCounted[identity]; before && now-last < reporterInterval {
		return false
	}
	if len(p.lastCounted) >= maxPendingBackends {
		maps.DeleteFunc(p.lastCounted, func(_ Identity, at time.Duration) bool { return now-at >= reporterInterval })
	}
	p.lastCounted[identity] = now
	return true
}
