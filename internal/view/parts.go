package view

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lb"
)

// A delta that is too large for one message is sent in parts. The receiver requests each part
// separately, so that only a lost part is repeated, and a sender that serves many receivers sends
// each of them a little at a time. Each part represents the state at its own revision.

// bucketCount is the number of buckets into which the names of back ends are hashed. A part
// contains at least one whole bucket, which limits the number of back ends of a view to bucketCount
// x MaxBackendsPerDelta.
const bucketCount = 256

// bucketOf returns the bucket of a back end, from 0 up to bucketCount-1.
func bucketOf(name lb.BackendName) int { return int(xxhash.Sum64String(string(name)) % bucketCount) }

// MaxBackendsPerDelta is the maximum number of back ends in one message: about 20 KB, which
// occupies a link of 20 Mbit/s for a hundredth of a second.
const MaxBackendsPerDelta = 1000

// Part identifies the back ends that a partial delta contains: those in the buckets from From up
// to, but excluding, To. The first part also contains the routes, evacuated zones and cold rates.
type Part struct {
	From int `json:"from"`
	To   int `json:"to"`
}

// Validate returns an error that names the first unusable value.
func (p *Part) Validate() error {
	if p.From < 0 || p.From >= p.To || p.To > bucketCount {
		return errors.Newf("from %d and to %d are not in order from 0 to %d", p.From, p.To, bucketCount)
	}
	return nil
}

// contains reports whether a back end belongs to the part.
func (p *Part) contains(name lb.BackendName) bool {
	bucket := bucketOf(name)
	return p.From <= bucket && bucket < p.To
}

// ValidatePartStart returns an error if no part can start at the bucket.
func ValidatePartStart(from int) error {
	if from < 0 || from >= bucketCount {
		return errors.Newf("%d is not in the range from 0 to below %d", from, bucketCount)
	}
	return nil
}

// DeltaPart returns the result of Delta if it fits into one message, or else the part that starts
// at the given bucket and is as large as one message allows. A delta that fits into one message has
// no parts.
func (r *Replica) DeltaPart(now time.Duration, after int64, from int) *Delta {
	base, allRoutes := r.deltaBase(after)
	counts, sum := r.countBackendsAfter(base)
	if from == 0 && sum <= MaxBackendsPerDelta {
		return r.Delta(now, after)
	}
	partial := &Delta{After: base, Revision: r.revision, Unseen: r.history.unseenAfter(base)}
	if from == 0 {
		partial = r.deltaHeader(base, allRoutes)
	}
	part := largestPart(&counts, from)
	partial.Part = &part
	partial.Backends = r.backendsAfter(now, base, &part)
	return partial
}

// countBackendsAfter counts the back ends that changed after a revision, per bucket and in total.
func (r *Replica) countBackendsAfter(after int64) (counts [bucketCount]int, sum int) {
	for name, entry := range r.backends {
		if entry.Revision > after {
			counts[bucketOf(name)]++
			sum++
		}
	}
	return counts, sum
}

// largestPart returns the largest part that starts at a bucket and fits into one message. It
// contains at least one bucket.
func largestPart(counts *[bucketCount]int, from int) Part {
	count := counts[from]
	end := from + 1
	for ; end < bucketCount; end++ {
		if count += counts[end]; count > MaxBackendsPerDelta {
			break
		}
	}
	return Part{From: from, To: end}
}

// Assembly collects the parts of a delta. The zero value is empty.
type Assembly struct {
	assembled *Delta // all parts received so far, as one part; nil: there are none
}

// NextBucket returns the bucket at which the next missing part starts; 0 means that no part has
// been added.
func (a *Assembly) NextBucket() int {
	if a.assembled == nil {
		return 0
	}
	return a.assembled.Part.To
}

// Add adds the next part and returns the complete delta after the last one, else nil. The delta has
// the revision of its oldest part; later changes must be requested from there on. Its other parts
// have aged meanwhile (Contact.Delayed). Add ignores a
// part that is not the next one. A part with a different After, as from a peer that lacks some
// history of the first sender, cannot be combined with the others, so Add discards all parts.
func (a *Assembly) Add(part *Delta) *Delta {
	if a.assembled != nil && part.After != a.assembled.After {
		*a = Assembly{}
	}
	if part.Part.From != a.NextBucket() {
		return nil
	}
	if a.assembled == nil {
		first := *part
		a.assembled = &first
	} else {
		a.assembled.Revision = min(a.assembled.Revision, part.Revision)
		a.assembled.Unseen = enclosingSpan(a.assembled.Unseen, part.Unseen)
		a.assembled.Backends = append(a.assembled.Backends, part.Backends...)
	}
	a.assembled.Part = &Part{To: part.Part.To}
	if a.NextBucket() < bucketCount {
		return nil
	}
	complete := a.assembled
	complete.Part = nil
	*a = Assembly{}
	return complete
}
