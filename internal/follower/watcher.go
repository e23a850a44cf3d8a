package follower

import (
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
)

// The designated watcher is the one node that reads the store for the fleet. A node becomes the
// designated watcher after it has read the store because nobody else did so in time. It remains the
// watcher until it learns of a watcher that precedes it, until its reads fail, or until it leaves.
// Nodes wait for different times, in takeover order, so that usually only one of them reads.

// readReason reports whether this node should read the store, and why.
func (core *Core) readReason() (reason Reason, due bool) {
	position := core.takeoverPosition()
	delay := time.Duration(position) * core.settings.TakeoverStep
	switch {
	case core.active:
		return ReasonWatcher, true
	case !core.verified:
		return ReasonUnverified, core.now-core.startAt >= core.verifyDelay
	case core.watcherLost && core.now-core.watcherLostAt >= time.Duration(position)*core.settings.SlowTakeoverStep:
		return ReasonWatcherLost, true
	case core.age() >= core.takeoverAge(position):
		return ReasonViewAge, true
	}
	noUpdateLimit := core.settings.NoUpdateTimeout + delay
	lastUpdate := max(core.lastUpdateAt, core.startAt+warmUpTime)
	return ReasonNoUpdates, core.now-lastUpdate >= noUpdateLimit && core.age() >= noUpdateLimit
}

// seedVerifyDelay is how long after its start a seed waits for others to verify its first view. It
// is the time that a seed that starts alone needs to send requests to the other seeds.
const seedVerifyDelay = 300 * time.Millisecond

// drawVerifyDelay returns how long a node waits for others to verify its first view. If all nodes
// start together and know no peers yet, the seeds read the store, and the others send requests to
// the seeds. If no seed is alive, the reads of the others are spread over a random time.
func (core *Core) drawVerifyDelay() time.Duration {
	if core.isInitialReader() {
		return seedVerifyDelay
	}
	return core.settings.VerifyWait + time.Duration(core.random.Int64N(int64(core.settings.TakeoverAgeLimit)))
}

// drawListDelay returns how long a node waits, in the absence of a snapshot, for the one that the
// first watcher writes. There is no snapshot when a fleet starts for the first time, or after an
// upgrade to another snapshot format. A thousand listings of 10,000 entries would saturate the
// store's link for half a minute. If no seed is alive, the listings of the nodes are spread over a
// random time.
func (core *Core) drawListDelay() time.Duration {
	if core.isInitialReader() {
		return 0
	}
	return core.settings.SnapshotWait + time.Duration(core.random.Int64N(int64(core.settings.TakeoverAgeLimit)))
}

// maxMissedDoublings bounds the time between two reads of the snapshot, to a mean of two seconds,
// so that a node starts within this time once there is a snapshot.
const maxMissedDoublings = 2

// handleMissingSnapshot schedules the next read if the store has no snapshot: another read of the
// snapshot, or a listing after listDelay.
func (core *Core) handleMissingSnapshot() {
	core.noSnapshot = core.now-core.startAt >= core.listDelay
	core.nextRead = core.now
	if !core.noSnapshot {
		retry := core.settings.SnapshotRetry << min(core.snapshotMisses, maxMissedDoublings)
		core.snapshotMisses++
		core.nextRead += retry/2 + time.Duration(core.random.Int64N(int64(retry)))
	}
}

// warmUpTime is how long after its start a node may receive no updates, because the memberships of
// its peers do not contain it yet. Meanwhile it sends requests to them.
const warmUpTime = 5 * time.Second

// warmUpPosition is the minimum takeover position of a node during its warm-up: four other nodes
// precede it.
const warmUpPosition = 4

// isInitialReader reports whether this node reads the store first when a fleet starts. This holds
// for a seed and for a node without seeds.
func (core *Core) isInitialReader() bool {
	return core.settings.IsSeed || len(core.settings.Seeds) == 0
}

// takeoverPosition returns this node's position in the takeover order, in which the first node of
// each zone precedes all other nodes of its zone. A node that has just started does not know its
// peers yet, and therefore does not act as the first one.
func (core *Core) takeoverPosition() int {
	position := core.rank + core.zoneRank
	if core.now-core.startAt < warmUpTime {
		position = max(position, warmUpPosition)
	}
	return position
}

// Age of the view for a takeover while the designated watcher lists all entries.
const (
	// listingAgeQuarters is the age for the first position, in quarters of TakeoverAgeLimit. It
	// exceeds the usual limit by one quarter, in which a listing of 10,000 entries over a link of
	// 20 Mbit/s is half complete.
	listingAgeQuarters = 5
	// listingTakeoverStep is added for each further position: a third of the duration of such a
	// listing.
	listingTakeoverStep = 800 * time.Millisecond
)

// takeoverAge returns the age of the view at which a node reads the store itself. If updates arrive
// but do not verify the view, the preceding nodes are already trying to read. The further positions
// then follow slowly, so that an outage does not cost one request per node. The same holds while
// the designated watcher lists all entries: every node that reads meanwhile also has to list, in as
// many requests. With 10,000 back ends, about fifty nodes would make twenty requests each.
func (core *Core) takeoverAge(position int) time.Duration {
	if core.watcherListing && core.receivesUpdates() {
		return core.settings.TakeoverAgeLimit*listingAgeQuarters/4 + time.Duration(position)*listingTakeoverStep
	}
	age := core.settings.TakeoverAge + time.Duration(position)*core.settings.TakeoverStep
	if age <= core.settings.TakeoverAgeLimit {
		return age
	}
	if !core.receivesUpdates() {
		return core.settings.TakeoverAgeLimit
	}
	lastFastPosition := int((core.settings.TakeoverAgeLimit - core.settings.TakeoverAge) / core.settings.TakeoverStep)
	return core.settings.TakeoverAgeLimit + time.Duration(position-lastFastPosition)*core.settings.SlowTakeoverStep
}

// receivesUpdates reports whether peers have sent messages about the view recently.
func (core *Core) receivesUpdates() bool {
	return core.now-core.lastUpdateAt < core.settings.NoUpdateTimeout
}

// watcherStatus returns which node reads the store for the others, as far as this node knows.
func (core *Core) watcherStatus() message.WatcherStatus {
	switch {
	case core.active:
		return message.WatcherStatus{Watcher: core.settings.Self, Listing: core.listingReason != ""}
	case core.watcherLost || core.watcher == "":
		return message.WatcherStatus{}
	}
	age := core.now - core.watcherReportedAt
	return message.WatcherStatus{Watcher: core.watcher, WatcherAgeMillis: age.Milliseconds(), Listing: core.watcherListing}
}

// takeOver makes this node the designated watcher after the store has answered a read that no other
// node made in time. A leaving node does not take over. Neither does this node if a watcher was
// reported within the given time, because then updates have merely failed to reach this node. A
// read to verify the first view is no reason either, unless this node is an initial reader, because
// otherwise the seeds read.
func (core *Core) takeOver(reason Reason, within time.Duration) {
	if core.active || reason == ReasonCompacted || reason == ReasonTooLarge || core.leaving {
		return
	}
	if reason == ReasonUnverified && !core.isInitialReader() {
		return
	}
	reported := core.watcher != "" && !core.watcherLost && core.watcherReportedAt > 0
	if reported && core.now-core.watcherReportedAt < within {
		return
	}
	core.active = true
	core.watcherLost = false
}

// maxWatcherFailures is the number of consecutive failed reads after which the designated watcher
// resigns. A single read may be lost.
const maxWatcherFailures = 2

// stepDown ends this node's role as the designated watcher if its reads fail.
func (core *Core) stepDown(effects *Effects) {
	if core.active && core.failures >= maxWatcherFailures {
		core.active = false
		core.watcher = ""
		core.sendDigest(effects)
	}
}

// updateWatcher applies a message's information on the designated watcher. An answer to a request,
// which has no route, is ignored if it names no watcher, because its sender may have just started.
func (core *Core) updateWatcher(received message.WatcherStatus, route message.Route) {
	reported := received.Watcher
	if reported != "" {
		if at := core.timeBefore(received.WatcherAgeMillis); at >= core.watcherReportedAt {
			core.watcherReportedAt = at
			core.watcherListing = received.Listing
		}
	}
	switch {
	case reported == "":
		if route != (message.Route{}) {
			core.markWatcherLost()
		}
	case reported == core.settings.Self:
	case core.active && !core.yieldsTo(reported):
	case !core.isAvailable(reported):
		if !core.watcherAvailable {
			core.watcher = reported
		}
	default:
		core.active = false
		core.watcher = reported
		core.watcherAvailable = true
		core.watcherLost = false
	}
}

// yieldsTo reports whether this node yields the role of the designated watcher to another node that
// also has it.
func (core *Core) yieldsTo(other lb.NodeID) bool {
	if !core.isAvailable(other) {
		return false
	}
	if core.failures > 0 || core.leaving {
		return true
	}
	return compareRank(Peer{ID: other}, Peer{ID: core.settings.Self}) < 0
}

// checkWatcher marks the designated watcher as lost if it has left the available nodes. A watcher
// that has never been among them is not lost: this node's membership just does not contain it yet.
func (core *Core) checkWatcher() {
	available := core.isAvailable(core.watcher)
	if core.watcherAvailable && !available {
		core.markWatcherLost()
	}
	core.watcherAvailable = available
}

// markWatcherLost records that the designated watcher is leaving or has failed.
func (core *Core) markWatcherLost() {
	if core.watcherLost || core.active {
		return
	}
	core.watcherLost = true
	core.watcherLostAt = core.now
}

// isAvailable reports whether a peer is alive and not leaving.
func (core *Core) isAvailable(id lb.NodeID) bool {
	return slices.ContainsFunc(core.peers, func(peer Peer) bool { return peer.ID == id && !peer.Leaving })
}
