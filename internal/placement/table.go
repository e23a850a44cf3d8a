// Package placement turns placement documents into lookup tables and holds the
// transitions from one version of a document to the next as pure functions.
// See docs/DESIGN.md, "Placement".
package placement

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/maglev"
)

// Table is the compiled form of one placement document. It is immutable and
// safe for concurrent use. Its lookups allocate nothing.
type Table struct {
	document *lb.Placement
	base     *maglev.Table
	current  *maglev.Table // the same as base when no other generation is current
	motion   *Bitmap       // nil when no bucket is in motion
	history  *Bitmap       // nil when no bucket has history
	moving   int
}

// Compile checks the document and builds its table. The error names every
// field that is wrong, with its value. The document must not be changed
// afterwards: the table keeps it.
func Compile(document *lb.Placement) (*Table, error) {
	if err := Validate(document); err != nil {
		return nil, err
	}
	table := &Table{document: document}
	tables := generationTables(document)
	table.base = tables[0]
	table.current = tables[document.Current]
	if motion := disagreement(tables); !motion.IsEmpty() {
		table.motion = &motion
		table.moving = motion.Count()
	}
	if len(document.History) != 0 {
		history, _ := ParseBitmap(document.History) // checked by Validate
		table.history = &history
	}
	return table, nil
}

// generationTables gives the table of each generation. Generations with the
// same back ends share one.
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

// generationTable computes the table of one generation.
func generationTable(document *lb.Placement, backends []lb.WeightedBackend) *maglev.Table {
	entries := make([]maglev.Entry, 0, len(backends))
	for _, weighted := range backends {
		placed, _ := findBackend(document.Backends, weighted.ID) // checked by Validate
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

// permutationKey is stable for the life of a back end in a service.
func permutationKey(service lb.ServiceName, name lb.BackendName, id lb.BackendID) uint64 {
	buffer := make([]byte, 0, len(service)+len(name)+4)
	buffer = append(buffer, service...)
	buffer = append(buffer, 0)
	buffer = append(buffer, name...)
	buffer = append(buffer, 0)
	buffer = binary.BigEndian.AppendUint16(buffer, uint16(id))
	return xxhash.Sum64(buffer)
}

// disagreement marks the buckets on which the tables do not all agree.
func disagreement(tables []*maglev.Table) Bitmap {
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

// findBackend looks up a back end in a list sorted by ID. Without gaps in the
// numbers it is found at once.
func findBackend(backends []lb.PlacedBackend, id lb.BackendID) (lb.PlacedBackend, bool) {
	low, high := 0, min(int(id), len(backends)) // an ID is never below its index plus one
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

// Document gives the document that the table was compiled from. It must not be changed.
func (table *Table) Document() *lb.Placement { return table.document }

// Service names the service of the table.
func (table *Table) Service() lb.ServiceName { return table.document.Service }

// Version gives the version of the document.
func (table *Table) Version() lb.Version { return table.document.Version }

// Deleted tells whether the service no longer exists.
func (table *Table) Deleted() bool { return table.document.Deleted }

// Current gives the back end of new flows of the bucket, or lb.NoBackend.
func (table *Table) Current(bucket uint16) lb.BackendID { return table.current[bucket] }

// Base gives the back end of flows without a record, or lb.NoBackend.
func (table *Table) Base(bucket uint16) lb.BackendID { return table.base[bucket] }

// InMotion tells whether the generations disagree on the bucket.
func (table *Table) InMotion(bucket uint16) bool {
	return table.motion != nil && table.motion.Has(bucket)
}

// HasHistory tells whether heads may hold records of flows of the bucket away from the base.
func (table *Table) HasHistory(bucket uint16) bool {
	return table.history != nil && table.history.Has(bucket)
}

// MovingBuckets counts the buckets in motion.
func (table *Table) MovingBuckets() int { return table.moving }

// Prepared tells whether a generation is announced that new flows do not use yet.
func (table *Table) Prepared() bool {
	return table.document.Current < len(table.document.Generations)-1
}

// Backend looks up a back end of the document.
func (table *Table) Backend(id lb.BackendID) (lb.PlacedBackend, bool) {
	return findBackend(table.document.Backends, id)
}

// HasFrontend tells whether the front end belongs to the service.
func (table *Table) HasFrontend(frontend lb.Frontend) bool {
	return slices.Contains(table.document.Frontends, frontend)
}
