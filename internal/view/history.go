package view

import "slices"

// Span is the revisions between two, without both.
type Span struct {
	From int64 `json:"from"`
	To   int64 `json:"to"`
}

// contains tells whether a revision lies in the span.
func (s Span) contains(revision int64) bool { return s.From < revision && revision < s.To }

// hullOf gives the span that has both in it; nil is none.
func hullOf(left, right *Span) *Span {
	switch {
	case left == nil:
		return right
	case right == nil:
		return left
	}
	return &Span{From: min(left.From, right.From), To: max(left.To, right.To)}
}

// history says how a replica has come to its revision. Mostly it was told each change.
// After a listing, or a whole view, it knows what differs between the view before and
// the one after, and has jumped over the revisions between: what was made and removed
// there it has never known.
type history struct {
	// floor is the revision up to which removals may be forgotten.
	floor int64
	// jumps are in order and do not overlap.
	jumps []Span
}

// maxJumps bounds the jumps that are remembered. The two oldest become one, so that
// views from between them are told a little more than they lack.
const maxJumps = 32

// jump notes that the replica knows nothing of the revisions between two.
func (h *history) jump(from, to int64) {
	added := Span{From: from, To: to}
	if to-from < 2 {
		return
	}
	kept := h.jumps[:0]
	for _, known := range h.jumps {
		if known.To <= added.From || added.To <= known.From {
			kept = append(kept, known)
			continue
		}
		added = Span{From: min(added.From, known.From), To: max(added.To, known.To)}
	}
	place, _ := slices.BinarySearchFunc(kept, added.From, func(known Span, from int64) int { return int(known.From - from) })
	h.jumps = slices.Insert(kept, place, added)
	if len(h.jumps) > maxJumps {
		h.jumps[1].From = h.jumps[0].From
		h.jumps = slices.Delete(h.jumps, 0, 1)
	}
}

// base gives the revision after which all that a view at a revision lacks can be told:
// that revision, or one before a jump over it; 0: only the whole view will do.
func (h *history) base(revision int64) int64 {
	for _, jump := range h.jumps {
		if jump.contains(revision) {
			revision = jump.From
		}
	}
	if revision < h.floor {
		return 0
	}
	return revision
}

// unseen gives a span that has all jumps beyond a revision in it; nil: there are none.
func (h *history) unseen(after int64) *Span {
	for _, jump := range h.jumps {
		if jump.To > after {
			return &Span{From: jump.From, To: h.jumps[len(h.jumps)-1].To}
		}
	}
	return nil
}

// lastJump is where the last jump has led; 0: there was none.
func (h *history) lastJump() int64 {
	if len(h.jumps) == 0 {
		return 0
	}
	return h.jumps[len(h.jumps)-1].To
}
