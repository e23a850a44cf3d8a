package core

import (
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
	"robinpulley.example/robinpulley/internal/rendezvous"
)

// cleanInterval is the time between two reports of clean buckets.
const cleanInterval = 30 * time.Second

// cleanReporter periodically reports, one service after another, the clean buckets: buckets with
// history for which this node, as head, knows of no flow on another back end than the base.
type cleanReporter struct {
	reportedAt time.Duration
	service    int // index of the next service to report; past the last one, all are reported
}

// run reports at most one service per tick.
func (reporter *cleanReporter) run(core *Core, effects *Effects) {
	if reporter.service >= len(core.servicesByName) {
		if core.now-reporter.reportedAt < cleanInterval {
			return
		}
		reporter.reportedAt = core.now
		reporter.service = 0
	}
	if reporter.service < len(core.servicesByName) {
		core.reportClean(core.servicesByName[reporter.service], effects)
		reporter.service++
	}
}

func (core *Core) reportClean(service *service, effects *Effects) {
	if !core.viewVerified || core.leaving {
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

// isClean reports whether a bucket is clean. This node must have headed the bucket, with its
// present history, for the lifetime of a record, and must know of no flow on another back end than
// the base. A guessed record that no tail has confirmed may be wrong and makes the bucket unclean,
// too.
func (core *Core) isClean(service *service, index uint16) bool {
	group := core.groupOf(service, index)
	if group.chain.head != core.self || !service.table.HasHistory(index) || service.table.InMotion(index) {
		return false
	}
	if core.now-core.completeSince(service, group) < core.recordLifetime() {
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
		guess := !core.isConfirmed(group, entry) && entry.openingID == 0 && !core.disabled.noCleanOnlyConfirmed
		if entry.backend != base || guess {
			return false
		}
	}
	return true
}

// completeSince returns the time since which this node has seen every flow of the bucket that sent
// a packet to another back end than the base.
func (core *Core) completeSince(service *service, group *group) time.Duration {
	since := max(group.memberSince, core.viewVerifiedSince)
	if core.disabled.noCleanWait {
		return since
	}
	return max(since, service.historyChangedAt)
}
