package core

import (
	"time"
)

// sweepsPerOpeningHold is the number of times that all records are checked for expiry during
// OpeningHold.
const sweepsPerOpeningHold = 4

// sweeper removes expired records from a few buckets per tick.
type sweeper struct {
	service int      // index in Core.servicesByName
	indexes []uint16 // buckets of the service that are still to be swept
	sweptAt time.Duration
}

// run sweeps the next buckets, as many as are needed to complete a round in time.
func (sweeper *sweeper) run(core *Core) {
	total := core.bucketCount
	period := core.settings.OpeningHold / sweepsPerOpeningHold
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

// next sweeps one bucket.
func (sweeper *sweeper) next(core *Core) {
	for range core.servicesByName {
		if len(sweeper.indexes) > 0 {
			break
		}
		sweeper.service = (sweeper.service + 1) % len(core.servicesByName)
		sweeper.indexes = core.servicesByName[sweeper.service].bucketIndexes()
	}
	if len(sweeper.indexes) == 0 {
		return
	}
	core.sweepBucket(core.servicesByName[sweeper.service], sweeper.indexes[0])
	sweeper.indexes = sweeper.indexes[1:]
}

func (core *Core) sweepBucket(service *service, index uint16) {
	bucket := service.buckets[index]
	if bucket == nil {
		return
	}
	if bucket.records.count > 0 {
		bucket.records.sweep(func(entry *record) bool { return core.recordExpired(service, index, entry) })
	}
	if bucket.pins != nil {
		bucket.pins.sweep(func(entry *record) bool { return core.age(entry) > core.settings.PinLifetime })
		if bucket.pins.count == 0 {
			bucket.pins = nil
		}
	}
	if bucket.knownUDP != nil {
		bucket.knownUDP.sweep(func(entry *record) bool { return core.age(entry) > core.settings.IdleTimeout })
		if bucket.knownUDP.count == 0 {
			bucket.knownUDP = nil
		}
	}
	core.forgetEmpty(service, index)
}

// recordExpired reports whether a record has expired. Tombstones, and records of flows that the
// placement table sends to the base anyway, serve only retransmitted openings and expire earlier.
func (core *Core) recordExpired(service *service, index uint16, entry *record) bool {
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
	free := needsNoRecords(service.table, index) || core.disabled.noRecordsInHistory && !service.table.InMotion(index)
	return free && (entry.backend == service.table.Base(index) || core.disabled.noRecordsInHistory)
}

// recordLifetime is how long a record is kept after the last packet that its node saw. It includes
// PinLifetime twice, because a pinned ingress and a confirmed head may each forward for PinLifetime
// without the tail seeing the flow.
func (core *Core) recordLifetime() time.Duration {
	return core.settings.IdleTimeout + 2*core.settings.PinLifetime
}
