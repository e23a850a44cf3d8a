package follower

import (
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
)

// One node reads the store for the fleet: who has read because nobody else did
// in time, until it hears of one that comes before it, fails, or leaves. Nodes
// lose patience in turn, so that mostly one of them reads.

// readReason tells why this node is to read by itself, if it is.
func (core *Core) readReason() (reason Reason, due bool) {
	turn := core.takeoverPosition()
	extra := time.Duration(turn) * core.settings.TakeoverStep
	switch {
	case core.active:
		return ReasonReader, true
	case !core.verified:
		return ReasonUnverified, core.now-core.startAt >= core.verifyDelay
	case core.watcherLost && core.now-core.watcherLostAt >= time.Duration(turn)*core.settings.SlowTakeoverStep:
		return ReasonWatcherLost, true
	case core.age() >= core.takeoverAge(turn):
		return ReasonPatience, true
	}
	silence := core.settings.SilenceTimeout + extra
	heard := max(core.lastUpdateAt, core.startAt+warmUpTime)
	return ReasonSilence, core.now-heard >= silence && core.age() >= silence
}

// seedVerifyDelay is how long after its start a seed waits for others to confirm
// its first view: what one that starts alone needs to ask the other seeds.
const seedVerifyDelay = 300 * time.Millisecond

// drawVerifyDelay gives how long a node waits for others to confirm its first view.
// Where all start at once and know nobody yet, the seeds read, and the others ask
// them; should no seed live, the others read spread over some time.
func (core *Core) drawVerifyDelay() time.Duration {
	if core.isInitialReader() {
		return seedVerifyDelay
	}
	return core.settings.VerifyWait + time.Duration(core.random.Int64N(int64(core.settings.TakeoverAgeLimit)))
}

// drawListDelay gives how long a node waits for the snapshot that the first reader leaves, where
// there is none: a fleet that starts for the first time, or with a form of snapshots that
// the nodes before did not write. A thousand listings of 10,000 entries fill the store's
// link for half a minute. Should no seed live, the others list spread over some time.
func (core *Core) drawListDelay() time.Duration {
	if core.isInitialReader() {
		return 0
	}
	return core.settings.SnapshotWait + time.Duration(core.random.Int64N(int64(core.settings.TakeoverAgeLimit)))
}

// maxMissedDoublings bounds the time between two questions for a snapshot: two seconds in
// the mean, within which a node is to start once there is one.
const maxMissedDoublings = 2

// handleMissingSnapshot goes on where there is no snapshot.
func (core *Core) handleMissingSnapshot() {
	core.noSnapshot = core.now-core.startAt >= core.listDelay
	core.nextRead = core.now
	if !core.noSnapshot {
		retry := core.settings.SnapshotRetry << min(core.snapshotMisses, maxMissedDoublings)
		core.snapshotMisses++
		core.nextRead += retry/2 + time.Duration(core.random.Int64N(int64(retry)))
	}
}

// warmUpTime is how long after its start a node may not be told yet by others, since
// their memberships lack it; it asks them.
const warmUpTime = 5 * time.Second

// warmUpPosition is the first turn of such a node: four others have theirs before it.
const warmUpPosition = 4

// isInitialReader tells whether this node is one of those who read the store first when a fleet starts: a seed, or one that knows of none.
func (core *Core) isInitialReader() bool { return core.settings.IsSeed || len(core.settings.Seeds) == 0 }

// takeoverPosition is this node's place in the order in which nodes lose patience: the
// first of each zone come before all others of their zones. A node that has just
// started has not yet heard of the others and does not take itself as the first.
func (core *Core) takeoverPosition() int {
	turn := core.rank + core.zoneRank
	if core.now-core.startAt < warmUpTime {
		turn = max(turn, warmUpPosition)
	}
	return turn
}

// Patience while the reader is heard to list all entries.
const (
	// listingAgeQuarters is by how many quarters of PatienceLimit the first in turn waits: another
	// quarter, in which a listing of 10,000 entries over a link of 20 Mbit/s is half done.
	listingAgeQuarters = 5
	// listingTakeoverStep is what each further turn adds: a third of such a listing.
	listingTakeoverStep = 800 * time.Millisecond
)

// takeoverAge is the age of the view at which a node reads itself. Where others
// are heard but cannot confirm the view, those before this one try already: the
// further turns follow slowly, so that an outage does not cost a call a node. Likewise
// where the reader is heard to list all entries: who reads meanwhile lists them, too, in
// as many calls, of which some fifty nodes would make twenty each before 10,000 back ends.
func (core *Core) takeoverAge(turn int) time.Duration {
	if core.watcherListing && core.receivesUpdates() {
		return core.settings.TakeoverAgeLimit*listingAgeQuarters/4 + time.Duration(turn)*listingTakeoverStep
	}
	patience := core.settings.TakeoverAge + time.Duration(turn)*core.settings.TakeoverStep
	if patience <= core.settings.TakeoverAgeLimit {
		return patience
	}
	if !core.receivesUpdates() {
		return core.settings.TakeoverAgeLimit
	}
	last := int((core.settings.TakeoverAgeLimit - core.settings.TakeoverAge) / core.settings.TakeoverStep)
	return core.settings.TakeoverAgeLimit + time.Duration(turn-last)*core.settings.SlowTakeoverStep
}

// receivesUpdates tells whether other nodes tell this one of the view.
func (core *Core) receivesUpdates() bool { return core.now-core.lastUpdateAt < core.settings.SilenceTimeout }

// watcherStatus says who reads for the others, as far as this node knows.
func (core *Core) watcherStatus() message.Reading {
	switch {
	case core.active:
		return message.Reading{Reader: core.settings.Self, Listing: core.needsListing}
	case core.watcherLost || core.watcher == "":
		return message.Reading{}
	}
	age := core.now - core.watcherReportedAt
	return message.Reading{Reader: core.watcher, ReaderAgeMillis: age.Milliseconds(), Listing: core.watcherListing}
}

// takeOver makes this node the reader after a successful read that nobody else
// made in time. One that leaves does not begin with it.
// Where somebody has named a reader within a time, this node was not told, which is no
// reason to read for others; nor is that nobody has confirmed its first view, if
// there are seeds, which read then.
func (core *Core) takeOver(reason Reason, within time.Duration) {
	if core.active || reason == ReasonHistoryGone || core.leaving {
		return
	}
	if reason == ReasonUnverified && !core.isInitialReader() {
		return
	}
	named := core.watcher != "" && !core.watcherLost && core.watcherReportedAt > 0
	if named && core.now-core.watcherReportedAt < within {
		return
	}
	core.active = true
	core.watcherLost = false
}

// maxWatcherFailures is how many calls in a row may fail until the reader leaves
// reading to others: a single one may be lost.
const maxWatcherFailures = 2

// stepDown leaves reading to others when the store fails this node.
func (core *Core) stepDown(effects *Effects) {
	if core.active && core.failures >= maxWatcherFailures {
		core.active = false
		core.watcher = ""
		core.sendDigest(effects)
	}
}

// updateWatcher takes what a telling says of who reads. One that answers a
// question says what its sender knows, which may have just started.
func (core *Core) updateWatcher(told message.Reading, route message.Route) {
	reader := told.Reader
	if reader != "" {
		if at := core.now - time.Duration(told.ReaderAgeMillis)*time.Millisecond; at >= core.watcherReportedAt {
			core.watcherReportedAt = at
			core.watcherListing = told.Listing
		}
	}
	switch {
	case reader == "":
		if route != (message.Route{}) {
			core.markWatcherLost()
		}
	case reader == core.settings.Self:
	case core.active && !core.yieldsTo(reader):
	case !core.isAvailable(reader):
		if !core.watcherAvailable {
			core.watcher = reader
		}
	default:
		core.active = false
		core.watcher = reader
		core.watcherAvailable = true
		core.watcherLost = false
	}
}

// yieldsTo tells whether this node, which reads, leaves it to another that does, too.
func (core *Core) yieldsTo(reader lb.NodeID) bool {
	if !core.isAvailable(reader) {
		return false
	}
	if core.failures > 0 || core.leaving {
		return true
	}
	return compareRank(Peer{ID: reader}, Peer{ID: core.settings.Self}) < 0
}

// checkWatcher notices that the reader is not among those who stay any more. Of
// one that was never among them this node has not heard yet.
func (core *Core) checkWatcher() {
	stays := core.isAvailable(core.watcher)
	if core.watcherAvailable && !stays {
		core.markWatcherLost()
	}
	core.watcherAvailable = stays
}

func (core *Core) markWatcherLost() {
	if core.watcherLost || core.active {
		return
	}
	core.watcherLost = true
	core.watcherLostAt = core.now
}

// isAvailable tells whether a node is a living one that does not leave.
func (core *Core) isAvailable(id lb.NodeID) bool {
	return slices.ContainsFunc(core.peers, func(peer Peer) bool { return peer.ID == id && !peer.Leaving })
}
