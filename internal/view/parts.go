package view

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"robinpulley.example/robinpulley/internal/lb"
)

// What one message cannot tell is told in parts, each asked for by itself, so that a lost
// one is repeated alone and a node that answers many others sends a little to each in
// turn. Each part is as of its own revision.

// buckets is into how many buckets the names of back ends are hashed. A part has one of
// them at least, so that it bounds the back ends of a view to buckets x MaxTold.
const buckets = 256

// bucketOf gives the bucket of a back end, from 0 to below buckets.
func bucketOf(name lb.BackendName) int { return int(xxhash.Sum64String(string(name)) % buckets) }

// MaxTold is how many back ends one message tells of: some 20 KB, which is a hundredth of
// a second of a link of 20 Mbit/s.
const MaxTold = 1000

// Part says of which back ends a delta tells: those in buckets From to below To. The
// first part has the routes, evacuated zones and cold rates, too.
type Part struct {
	From int `json:"from"`
	To   int `json:"to"`
}

// Validate names the first value that cannot be used.
func (p *Part) Validate() error {
	if p.From < 0 || p.From >= p.To || p.To > buckets {
		return errors.Newf("from %d and to %d are not in order from 0 to %d", p.From, p.To, buckets)
	}
	return nil
}

func (p *Part) has(name lb.BackendName) bool {
	bucket := bucketOf(name)
	return p.From <= bucket && bucket < p.To
}

// ValidatePartStart tells why no part can begin at a bucket.
func ValidatePartStart(from int) error {
	if from < 0 || from >= buckets {
		return errors.Newf("%d is not from 0 to below %d", from, buckets)
	}
	return nil
}

// Tell gives Delta, or the part of it that begins at a bucket, as large as one message
// can tell. A delta that one message can tell has no parts.
func (r *Replica) Tell(now time.Duration, after int64, from int) *Delta {
	base, allRoutes := r.baseOf(after)
	counts, sum := r.countAfter(base)
	if from == 0 && sum <= MaxTold {
		return r.Delta(now, after)
	}
	told := &Delta{After: base, Revision: r.revision, Unseen: r.history.unseen(base)}
	if from == 0 {
		told = r.frame(base, allRoutes)
	}
	part := partOf(&counts, from)
	told.Part = &part
	told.Backends = r.backendsAfter(now, base, &part)
	return told
}

// countAfter counts the back ends that changed after a revision, by bucket.
func (r *Replica) countAfter(after int64) (counts [buckets]int, sum int) {
	for name, entry := range r.backends {
		if entry.Revision > after {
			counts[bucketOf(name)]++
			sum++
		}
	}
	return counts, sum
}

// partOf gives the largest part from a bucket on that one message can tell, of one
// bucket at least.
func partOf(counts *[buckets]int, from int) Part {
	count := counts[from]
	end := from + 1
	for ; end < buckets; end++ {
		if count += counts[end]; count > MaxTold {
			break
		}
	}
	return Part{From: from, To: end}
}

// Assembly collects the parts of a delta. The zero value has none.
type Assembly struct {
	told *Delta // of the parts so far, as one part; nil: there are none
}

// Next gives the bucket at which the missing part begins; 0: none has come.
func (a *Assembly) Next() int {
	if a.told == nil {
		return 0
	}
	return a.told.Part.To
}

// Add takes the next part, and gives the delta when it is the last one. The delta is as
// of its oldest part: what has changed since is told from there. A part that is not the
// next one is ignored. One that begins elsewhere, as that of a peer which does not know
// all that the first one knew, cannot follow: all is asked for anew.
func (a *Assembly) Add(part *Delta) *Delta {
	if a.told != nil && part.After != a.told.After {
		*a = Assembly{}
	}
	if part.Part.From != a.Next() {
		return nil
	}
	if a.told == nil {
		first := *part
		a.told = &first
	} else {
		a.told.Revision = min(a.told.Revision, part.Revision)
		a.told.Unseen = hullOf(a.told.Unseen, part.Unseen)
		a.told.Backends = append(a.told.Backends, part.Backends...)
	}
	a.told.Part = &Part{To: part.Part.To}
	if a.Next() < buckets {
		return nil
	}
	told := a.told
	told.Part = nil
	*a = Assembly{}
	return told
}
