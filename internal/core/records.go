package core

import (
	"robinpulley.example/robinpulley/internal/lb"
)

// timestamp is a time in units of timestampUnit since the core's time zero. It wraps around after
// 497 days.
type timestamp uint32

// recordFlags are the flags of a record. A slot without flags is free.
type recordFlags uint8

const (
	recordUsed recordFlags = 1 << iota
	// recordConfirmed is set if a tail answered with this record.
	recordConfirmed
	// recordRefused is set if the opening was refused; the record is then a tombstone.
	recordRefused
)

// record assigns one flow to one back end. Its size is recordBytes.
type record struct {
	flow      lb.FlowID
	openingID uint32
	lastSeen  timestamp
	learnedAt timestamp
	backend   lb.BackendID
	flags     recordFlags
}

func (entry *record) refused() bool { return entry.flags&recordRefused != 0 }

// sameAs reports whether two records contain the same decision. It ignores when the flow was seen.
func (entry *record) sameAs(other *record) bool {
	return entry.backend == other.backend && entry.openingID == other.openingID && entry.flags == other.flags
}

// recordBytes is the size of a record in memory.
const recordBytes = 24

// minTableSlots is the number of slots of a table with one record.
const minTableSlots = 4

// flowTable is a hash table of records with open addressing and linear probing. It contains no
// pointers, so that the garbage collector does not scan it. The zero value is an empty table.
type flowTable struct {
	slots []record
	count int
}

// index returns the first slot to probe. The bucket is the flow ID modulo lb.BucketCount, so all
// flows of a table share their low bits; index therefore mixes all bits again.
func (table *flowTable) index(flow lb.FlowID) int {
	const golden = 0x9e3779b97f4a7c15
	mixed := uint64(flow) * golden
	return int(mixed>>32) & (len(table.slots) - 1)
}

// get returns the record of the flow, or nil. The pointer is valid until the next put or removal.
func (table *flowTable) get(flow lb.FlowID) *record {
	if table == nil || table.count == 0 {
		return nil
	}
	mask := len(table.slots) - 1
	for slot := table.index(flow); ; slot = (slot + 1) & mask {
		entry := &table.slots[slot]
		if entry.flags == 0 {
			return nil
		}
		if entry.flow == flow {
			return entry
		}
	}
}

// put returns the record of the flow and creates it if necessary.
func (table *flowTable) put(flow lb.FlowID) *record {
	if entry := table.get(flow); entry != nil {
		return entry
	}
	if 4*(table.count+1) > 3*len(table.slots) {
		table.resize(max(minTableSlots, 2*len(table.slots)))
	}
	table.count++
	entry := table.freeSlot(flow)
	*entry = record{flow: flow, flags: recordUsed}
	return entry
}

func (table *flowTable) freeSlot(flow lb.FlowID) *record {
	mask := len(table.slots) - 1
	slot := table.index(flow)
	for table.slots[slot].flags != 0 {
		slot = (slot + 1) & mask
	}
	return &table.slots[slot]
}

func (table *flowTable) resize(size int) {
	old := table.slots
	table.slots = make([]record, size)
	for index := range old {
		if old[index].flags != 0 {
			*table.freeSlot(old[index].flow) = old[index]
		}
	}
}

// removeAt frees a slot and moves later records of the same probe sequence forward (Knuth, The Art
// of Computer Programming, volume 3, section 6.4, algorithm R).
func (table *flowTable) removeAt(slot int) {
	mask := len(table.slots) - 1
	table.count--
	for next := (slot + 1) & mask; ; next = (next + 1) & mask {
		entry := &table.slots[next]
		if entry.flags == 0 {
			break
		}
		distance := (next - table.index(entry.flow)) & mask
		if distance >= (next-slot)&mask {
			table.slots[slot] = *entry
			slot = next
		}
	}
	table.slots[slot] = record{}
}

// sweep removes the records for which expired returns true. It shrinks a table that has become
// nearly empty.
func (table *flowTable) sweep(expired func(*record) bool) {
	for slot := 0; slot < len(table.slots); {
		entry := &table.slots[slot]
		if entry.flags != 0 && expired(entry) {
			table.removeAt(slot)
			continue // another record may have moved here
		}
		slot++
	}
	table.shrink()
}

func (table *flowTable) shrink() {
	if table.count == 0 {
		table.slots = nil
		return
	}
	size := len(table.slots)
	for size > minTableSlots && 4*table.count < size {
		size /= 2
	}
	if size < len(table.slots) {
		table.resize(size)
	}
}

// len returns the number of records.
func (table *flowTable) len() int {
	if table == nil {
		return 0
	}
	return table.count
}

// bytes returns the memory used by the slots.
func (table *flowTable) bytes() int {
	if table == nil {
		return 0
	}
	return len(table.slots) * recordBytes
}
