// Package placement compiles placement documents into lookup tables and implements the transitions
// from one version of a document to the next as pure functions. See docs/DESIGN.md, "Placement".
//
// A document holds several generations of a service's back ends. The base generation applies to
// flows without a record, the current generation to new flows, and a later one is prepared: it is
// published, but not used for new flows yet. A bucket is in motion while the generations disagree
// on its back end. A bucket has history if it was in motion and may still have flows on another
// back end than the base.
package placement

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/maglev"
)

// Table is the compiled form of one placement document. It is immutable and safe for concurrent
// use. Its lookups do not allocate.
type Table struct {
	document *lb.Placement
	base     *maglev.Table
	current  *maglev.Table // same table as base if the base is the current generation
	motion   *Bitmap       // nil if no bucket is in motion
	history  *Bitmap       // nil if no bucket has history
	moving   int
}

// Compile validates the document and builds its table. The error names every invalid field with its
// value. The table keeps the document, which must not be changed afterwards.
func Compile(document *lb.Placement) (*Table, error) {
	if err := Validate(document); err != nil {
		return nil, err
	}
	table := &Table{document: document}
	tables := generationTables(document)
	table.base = tables[0]
	table.current = tables[document.Current]
	if motion := differingBuckets(tables); !motion.IsEmpty() {
		table.motion = &motion
		table.moving = motion.Count()
	}
	if len(document.History) != 0 {
		history, _ := ParseBitmap(document.History) // validated by Validate
		table.history = &history
	}
	return table, nil
}

// generationTables returns the table of each generation. Consecutive generations with the same back
// ends share a table.
func generationTables(document *lb.Placement) []*maglev.Table {
	tables := make([]*maglev.Table, len(document.Generations))
	for index, generation := range document.Generations {
		if index > 0 && slices.Equal(generation.Backends, document.Generations[index-1].Backends) {
			tables[index] = tables[index-1]
			continue
		}
		tables[index] = generationTable(document, generation.Backends)
	}
	return tables
}

// generationTable builds the table of one generation.
func generationTable(document *lb.Placement, backends []lb.WeightedBackend) *maglev.Table {
	entries := make([]maglev.Entry, 0, len(backends))
	for _, weighted := range backends {
		placed, _ := findBackend(document.Backends, weighted.ID) // validated by Validate
		entries = append(entries, maglev.Entry{
			ID:     weighted.ID,
			Key:    permutationKey(document.Service, placed.Name, placed.ID),
			Weight: weighted.Weight,
		})
	}
	table := new(maglev.Table)
	maglev.Fill(table, entries)
	return table
}

// permutationKey returns the key of a back end's permutation. It stays the same for as long as the
// back end is in the service.
func permutationKey(service lb.ServiceName, name lb.BackendName, id lb.BackendID) uint64 {
	buffer := make([]byte, 0, len(service)+len(name)+4)
	buffer = append(buffer, service...)
	buffer = append(buffer, 0)
	buffer = append(buffer, name...)
	buffer = append(buffer, 0)
	buffer = binary.BigEndian.AppendUint16(buffer, uint16(id))
	return xxhash.Sum64(buffer)
}

// differingBuckets returns the buckets on whose back end the tables do not all agree.
func differingBuckets(tables []*maglev.Table) Bitmap {
	var marks Bitmap
	first := tables[0]
	for _, table := range tables[1:] {
		if table == first {
			continue
		}
		for bucket := range table {
			if table[bucket] != first[bucket] {
				marks.Set(uint16(bucket))
			}
		}
	}
	return marks
}

// findBackend returns the back end with the given ID from a list sorted by ID. If the IDs have no
// gaps, the first probe finds it.
func findBackend(backends []lb.PlacedBackend, id lb.BackendID) (lb.PlacedBackend, bool) {
	low, high := 0, min(int(id), len(backends)) // an ID is at least its index plus one
	for middle := high - 1; low < high; middle = (low + high) / 2 {
		switch found := backends[middle].ID; {
		case found == id:
			return backends[middle], true
		case found < id:
			low = middle + 1
		default:
			high = middle
		}
	}
	return lb.PlacedBackend{}, false
}

// Document returns the document from which the table was compiled. It must not be changed.
func (table *Table) Document() *lb.Placement { return table.document }

// Service returns the name of the table's service.
func (table *Table) Service() lb.ServiceName { return table.document.Service }

// Version returns the version of the document.
func (table *Table) Version() lb.Version { return table.document.Version }

// Deleted reports whether the service has been deleted.
func (table *Table) Deleted() bool { return table.document.Deleted }

// Current returns the back end for new flows of the bucket, or lb.NoBackend.
func (table *Table) Current(bucket uint16) lb.BackendID { return table.current[bucket] }

// Base returns the back end of flows without a record, or lb.NoBackend.
func (table *Table) Base(bucket uint16) lb.BackendID { return table.base[bucket] }

// InMotion reports whether the generations disagree on the back end of the bucket.
func (table *Table) InMotion(bucket uint16) bool {
	return table.motion != nil && table.motion.Has(bucket)
}

// HasHistory reports whether heads may hold records of flows of the bucket on another back end than
// the base.
func (table *Table) HasHistory(bucket uint16) bool {
	return table.history != nil && table.history.Has(bucket)
}

// MovingBuckets returns the number of buckets in motion.
func (table *Table) MovingBuckets() int { return table.moving }

// Prepared reports whether the document has a prepared generation, which new flows do not use yet.
func (table *Table) Prepared() bool {
	return table.document.Current < len(table.document.Generations)-1
}

// Backend returns the back end of the document with the given ID.
func (table *Table) Backend(id lb.BackendID) (lb.PlacedBackend, bool) {
	return findBackend(table.document.Backends, id)
}

// HasFrontend reports whether the front end belongs to the service.
func (table *Table) HasFrontend(frontend lb.Frontend) bool {
	return slices.Contains(table.document.Frontends, frontend)
}
