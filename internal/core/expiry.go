package core

import "time"

// sweepPeriod is the time in which all records are looked at once.
const sweepPeriod = 15 * time.Second

// sweepMinimum is the least number of slots that are looked at in one tick.
const sweepMinimum = 1024

// bucketsPerSweep bounds the buckets visited in one tick.
const bucketsPerSweep = 4096

// sweeper ends records, a few buckets at each tick.
type sweeper struct {
	service  int // index in Core.ordered
	bucket   int
	estimate int // slots counted in the present round
	slots    int // slots counted in the last round
}

// run looks at the next buckets.
func (sweeper *sweeper) run(core *Core) {
	if len(core.ordered) == 0 {
		return
	}
	work := max(sweepMinimum, sweeper.slots*int(TickInterval)/int(sweepPeriod))
	for visited := 0; work > 0 && visited < bucketsPerSweep; visited++ {
		looked := sweeper.next(core)
		sweeper.estimate += looked
		work -= max(looked, 1)
	}
}

// next looks at one bucket and gives the number of its slots.
func (sweeper *sweeper) next(core *Core) int {
	if sweeper.service >= len(core.ordered) {
		sweeper.service = 0
		sweeper.slots, sweeper.estimate = sweeper.estimate, 0
	}
	service := core.ordered[sweeper.service]
	looked := core.sweepBucket(service, uint16(sweeper.bucket))
	sweeper.bucket++
	if sweeper.bucket == len(service.buckets) {
		sweeper.bucket = 0
		sweeper.service++
	}
	return looked
}

func (core *Core) sweepBucket(service *service, index uint16) int {
	bucket := &service.buckets[index]
	looked := 0
	if bucket.records.count > 0 {
		looked = bucket.records.sweep(func(entry *record) bool { return core.recordOver(service, index, entry) })
	}
	if bucket.pins != nil {
		looked += bucket.pins.sweep(func(entry *record) bool { return core.age(entry) > core.settings.PinLifetime })
		if bucket.pins.count == 0 {
			bucket.pins = nil
		}
	}
	if bucket.known != nil {
		looked += bucket.known.sweep(func(entry *record) bool { return core.age(entry) > core.settings.IdleTimeout })
		if bucket.known.count == 0 {
			bucket.known = nil
		}
	}
	return looked
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
