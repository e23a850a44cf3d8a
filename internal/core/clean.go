package core

import (
	"time"

	"robinpulley.example/robinpulley/internal/message"
	"robinpulley.example/robinpulley/internal/rendezvous"
)

// cleanInterval is the time between two reports of clean buckets.
const cleanInterval = 30 * time.Second

// cleanReporter reports, service by service, the buckets with history in which
// this node, as head, knows of no flow away from the base.
type cleanReporter struct {
	reportedAt time.Duration
	service    int // next to report; all are reported when past the last
}

// run reports at most one service at each tick.
func (reporter *cleanReporter) run(core *Core, effects *Effects) {
	if reporter.service >= len(core.ordered) {
		if core.now-reporter.reportedAt < cleanInterval {
			return
		}
		reporter.reportedAt = core.now
		reporter.service = 0
	}
	if reporter.service < len(core.ordered) {
		core.reportClean(core.ordered[reporter.service], effects)
		reporter.service++
	}
}

func (core *Core) reportClean(service *service, effects *Effects) {
	if !core.sure || core.leaving {
		return
	}
	var buckets []uint16
	for index := range service.buckets {
		if core.isClean(service, uint16(index)) {
			buckets = append(buckets, uint16(index))
		}
	}
	if len(buckets) == 0 {
		return
	}
	report := message.Clean{Service: service.name, Version: service.table.Version(), Buckets: buckets}
	for _, watcher := range rendezvous.Watchers(core.members.candidates) {
		effects.Messages = append(effects.Messages, Outgoing{To: watcher.ID, Message: report})
	}
}

// isClean tells whether this node heads the bucket, has done so for the life of
// a record, and knows of no flow away from the base.
func (core *Core) isClean(service *service, index uint16) bool {
	bucket := &service.buckets[index]
	if bucket.chain.head != core.self || !service.table.HasHistory(index) || service.table.InMotion(index) {
		return false
	}
	if core.now-max(bucket.memberSince, core.sureSince) < core.recordLifetime() {
		return false
	}
	base := service.table.Base(index)
	for slot := range bucket.records.slots {
		entry := &bucket.records.slots[slot]
		if entry.flags != 0 && !entry.refused() && entry.backend != base {
			return false
		}
	}
	return true
}
