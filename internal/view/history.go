package view

import "slices"

// Span is the range of revisions between From and To, both exclusive.
type Span struct {
	From int64 `json:"from"`
	To   int64 `json:"to"`
}

// contains reports whether a revision lies in the span.
func (s Span) contains(revision int64) bool { return s.From < revision && revision < s.To }

// enclosingSpan returns the smallest span that contains both spans; nil stands for an empty span.
func enclosingSpan(left, right *Span) *Span {
	switch {
	case left == nil:
		return right
	case right == nil:
		return left
	}
	return &Span{From: min(left.From, right.From), To: max(left.To, right.To)}
}

// history describes how a replica reached its revision. Usually it received each change. A listing
// or a whole view, however, only shows the difference between the states before and after it: items
// that were created and deleted in between are unknown to the replica. The revisions in between
// form a gap.
type history struct {
	// compactedRevision is the revision up to which the replica may have dropped tombstones.
	compactedRevision int64
	// gaps are in order and do not overlap.
	gaps []Span
}

// maxGaps bounds the gaps that are remembered. Beyond it, the two oldest gaps are merged, so that
// replicas at a revision between them receive slightly more than they lack.
const maxGaps = 32

// recordGap records that the replica did not observe the changes between two revisions.
func (h *history) recordGap(from, to int64) {
	added := Span{From: from, To: to}
	if to-from < 2 {
		return
	}
	separate := h.gaps[:0]
	for _, gap := range h.gaps {
		if gap.To <= added.From || added.To <= gap.From {
			separate = append(separate, gap)
			continue
		}
		added = Span{From: min(added.From, gap.From), To: max(added.To, gap.To)}
	}
	index, _ := slices.BinarySearchFunc(separate, added.From, func(gap Span, from int64) int { return int(gap.From - from) })
	h.gaps = slices.Insert(separate, index, added)
	if len(h.gaps) > maxGaps {
		h.gaps[1].From = h.gaps[0].From
		h.gaps = slices.Delete(h.gaps, 0, 1)
	}
}

// baseRevision returns the revision from which a delta must start to contain everything that a
// replica at the given revision lacks. This is the given revision, or the start of the gap that
// contains it. It returns 0 if only the whole view is sufficient.
func (h *history) baseRevision(revision int64) int64 {
	for _, gap := range h.gaps {
		if gap.contains(revision) {
			revision = gap.From
		}
	}
	if revision < h.compactedRevision {
		return 0
	}
	return revision
}

// unseenAfter returns a span that contains all gaps beyond a revision; nil means that there are
// none.
func (h *history) unseenAfter(after int64) *Span {
	for _, gap := range h.gaps {
		if gap.To > after {
			return &Span{From: gap.From, To: h.gaps[len(h.gaps)-1].To}
		}
	}
	return nil
}

// lastGapEnd returns the revision at which the last gap ends; 0 means that there was none.
func (h *history) lastGapEnd() int64 {
	if len(h.gaps) == 0 {
		return 0
	}
	return h.gaps[len(h.gaps)-1].To
}
