package core

import (
	"time"

	"robinpulley.example/robinpulley/internal/lb"
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
	if len(service.table.Document().History) == 0 {
		return
	}
	var buckets []uint16
	for index := range uint16(lb.BucketCount) {
		if core.isClean(service, index) {
			buckets = append(buckets, index)
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

// isClean tells whether this node heads the bucket, has done so, with the
// history as it is, for the life of a record, and knows of no flow away from
// the base. A guess that no tail has confirmed may be wrong, and counts as one.
func (core *Core) isClean(service *service, index uint16) bool {
	member := core.groupOf(service, index)
	if member.chain.head != core.self || !service.table.HasHistory(index) || service.table.InMotion(index) {
		return false
	}
	if core.now-core.completeSince(service, member) < core.recordLifetime() {
		return false
	}
	bucket := service.buckets[index]
	if bucket == nil {
		return true
	}
	base := service.table.Base(index)
	for slot := range bucket.records.slots {
		entry := &bucket.records.slots[slot]
		if entry.flags == 0 || entry.refused() {
			continue
		}
		guess := !core.confirmed(member, entry) && entry.openingID == 0 && !core.off.noCleanOnlyConfirmed
		if entry.backend != base || guess {
			return false
		}
	}
	return true
}

// completeSince is the time since when every flow of the bucket that sent a
// packet away from the base went by this node.
func (core *Core) completeSince(service *service, member *group) time.Duration {
	since := max(member.memberSince, core.sureSince)
	if core.off.noCleanWait {
		return since
	}
	return max(since, service.historySince)
}
