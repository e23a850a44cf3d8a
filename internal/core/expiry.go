package core

import (
	"time"
)

// sweepShare is the part of OpeningHold in which all records are looked at once.
const sweepShare = 4

// sweeper ends records, some buckets at each tick.
type sweeper struct {
	service int      // index in Core.ordered
	indexes []uint16 // of its buckets that are still to be looked at
	sweptAt time.Duration
}

// run looks at the next buckets: as many as make a round in the time of a round.
func (sweeper *sweeper) run(core *Core) {
	total := core.bucketCount
	period := core.settings.OpeningHold / sweepShare
	elapsed := min(core.now-sweeper.sweptAt, period)
	due := total * int(elapsed/time.Millisecond) / int(period/time.Millisecond)
	if due == 0 {
		return
	}
	sweeper.sweptAt = core.now
	for range due {
		sweeper.next(core)
	}
}

// next looks at one bucket.
func (sweeper *sweeper) next(core *Core) {
	for range core.ordered {
		if len(sweeper.indexes) > 0 {
			break
		}
		sweeper.service = (sweeper.service + 1) % len(core.ordered)
		sweeper.indexes = core.ordered[sweeper.service].indexes()
	}
	if len(sweeper.indexes) == 0 {
		return
	}
	core.sweepBucket(core.ordered[sweeper.service], sweeper.indexes[0])
	sweeper.indexes = sweeper.indexes[1:]
}

func (core *Core) sweepBucket(service *service, index uint16) {
	bucket := service.buckets[index]
	if bucket == nil {
		return
	}
	if bucket.records.count > 0 {
		bucket.records.sweep(func(entry *record) bool { return core.recordOver(service, index, entry) })
	}
	if bucket.pins != nil {
		bucket.pins.sweep(func(entry *record) bool { return core.age(entry) > core.settings.PinLifetime })
		if bucket.pins.count == 0 {
			bucket.pins = nil
		}
	}
	if bucket.known != nil {
		bucket.known.sweep(func(entry *record) bool { return core.age(entry) > core.settings.IdleTimeout })
		if bucket.known.count == 0 {
			bucket.known = nil
		}
	}
	core.forgetEmpty(service, index)
}

// recordOver tells whether a record has ended. Tombstones, and records of flows
// that go by the base anyway, are only there for retransmitted openings.
func (core *Core) recordOver(service *service, index uint16, entry *record) bool {
	age := core.age(entry)
	if age > core.recordLifetime() {
		return true
	}
	if age <= core.settings.OpeningHold {
		return false
	}
	if entry.refused() {
		return true
	}
	free := stateless(service.table, index) || core.off.noRecordsInHistory && !service.table.InMotion(index)
	return free && (entry.backend == service.table.Base(index) || core.off.noRecordsInHistory)
}

// recordLifetime is how long a record outlives the last packet that its node
// saw: a pinned ingress and a confirmed head each may forward for PinLifetime
// without the tail seeing the flow.
func (core *Core) recordLifetime() time.Duration {
	return core.settings.IdleTimeout + 2*core.settings.PinLifetime
}
