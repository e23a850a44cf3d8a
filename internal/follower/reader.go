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

// reasonToRead tells why this node is to read by itself, if it is.
func (core *Core) reasonToRead() (reason Reason, due bool) {
	turn := core.turn()
	extra := time.Duration(turn) * core.settings.PatienceStep
	switch {
	case core.acting:
		return ReasonReader, true
	case !core.confirmed:
		return ReasonUnconfirmed, core.now-core.startAt >= core.confirmAfter
	case core.readerGone && core.now-core.readerGoneAt >= time.Duration(turn)*core.settings.LateStep:
		return ReasonReaderGone, true
	case core.age() >= core.patience(turn):
		return ReasonPatience, true
	}
	silence := core.settings.SilenceLimit + extra
	heard := max(core.heardAt, core.startAt+youth)
	return ReasonSilence, core.now-heard >= silence && core.age() >= silence
}

// seedConfirmTime is how long after its start a seed waits for others to confirm
// its first view: what one that starts alone needs to ask the other seeds.
const seedConfirmTime = 300 * time.Millisecond

// confirmTime gives how long a node waits for others to confirm its first view.
// Where all start at once and know nobody yet, the seeds read, and the others ask
// them; should no seed live, the others read spread over some time.
func (core *Core) confirmTime() time.Duration {
	if core.readsFirst() {
		return seedConfirmTime
	}
	return core.settings.SettleTime + time.Duration(core.random.Int64N(int64(core.settings.PatienceLimit)))
}

// listTime gives how long a node waits for the snapshot that the first reader leaves, where
// there is none: a fleet that starts for the first time, or with a form of snapshots that
// the nodes before did not write. A thousand listings of 10,000 entries fill the store's
// link for half a minute. Should no seed live, the others list spread over some time.
func (core *Core) listTime() time.Duration {
	if core.readsFirst() {
		return 0
	}
	return core.settings.SnapshotWait + time.Duration(core.random.Int64N(int64(core.settings.PatienceLimit)))
}

// maxMissedDoublings bounds the time between two questions for a snapshot: two seconds in
// the mean, within which a node is to start once there is one.
const maxMissedDoublings = 2

// noteMissing goes on where there is no snapshot.
func (core *Core) noteMissing() {
	core.noSnapshot = core.now-core.startAt >= core.listAfter
	core.nextRead = core.now
	if !core.noSnapshot {
		retry := core.settings.SnapshotRetry << min(core.missed, maxMissedDoublings)
		core.missed++
		core.nextRead += retry/2 + time.Duration(core.random.Int64N(int64(retry)))
	}
}

// youth is how long after its start a node may not be told yet by others, since
// their memberships lack it; it asks them.
const youth = 5 * time.Second

// youngTurn is the first turn of such a node: four others have theirs before it.
const youngTurn = 4

// readsFirst tells whether this node is one of those who read the store first when a fleet starts: a seed, or one that knows of none.
func (core *Core) readsFirst() bool { return core.settings.IsSeed || len(core.settings.Seeds) == 0 }

// turn is this node's place in the order in which nodes lose patience: the
// first of each zone come before all others of their zones. A node that has just
// started has not yet heard of the others and does not take itself as the first.
func (core *Core) turn() int {
	turn := core.rank + core.zoneRank
	if core.now-core.startAt < youth {
		turn = max(turn, youngTurn)
	}
	return turn
}

// Patience while the reader is heard to list all entries.
const (
	// listQuarters is by how many quarters of PatienceLimit the first in turn waits: another
	// quarter, in which a listing of 10,000 entries over a link of 20 Mbit/s is half done.
	listQuarters = 5
	// listStep is what each further turn adds: a third of such a listing.
	listStep = 800 * time.Millisecond
)

// patience is the age of the view at which a node reads itself. Where others
// are heard but cannot confirm the view, those before this one try already: the
// further turns follow slowly, so that an outage does not cost a call a node. Likewise
// where the reader is heard to list all entries: who reads meanwhile lists them, too, in
// as many calls, of which some fifty nodes would make twenty each before 10,000 back ends.
func (core *Core) patience(turn int) time.Duration {
	if core.readerLists && core.hears() {
		return core.settings.PatienceLimit*listQuarters/4 + time.Duration(turn)*listStep
	}
	patience := core.settings.Patience + time.Duration(turn)*core.settings.PatienceStep
	if patience <= core.settings.PatienceLimit {
		return patience
	}
	if !core.hears() {
		return core.settings.PatienceLimit
	}
	last := int((core.settings.PatienceLimit - core.settings.Patience) / core.settings.PatienceStep)
	return core.settings.PatienceLimit + time.Duration(turn-last)*core.settings.LateStep
}

// hears tells whether other nodes tell this one of the view.
func (core *Core) hears() bool { return core.now-core.heardAt < core.settings.SilenceLimit }

// readingNow says who reads for the others, as far as this node knows.
func (core *Core) readingNow() message.Reading {
	switch {
	case core.acting:
		return message.Reading{Reader: core.settings.Self, Listing: core.relist}
	case core.readerGone || core.reader == "":
		return message.Reading{}
	}
	age := core.now - core.readerHeardAt
	return message.Reading{Reader: core.reader, ReaderAgeMillis: age.Milliseconds(), Listing: core.readerLists}
}

// takeOver makes this node the reader after a successful read that nobody else
// made in time. One that leaves does not begin with it.
// Where somebody has named a reader within a time, this node was not told, which is no
// reason to read for others; nor is that nobody has confirmed its first view, if
// there are seeds, which read then.
func (core *Core) takeOver(reason Reason, within time.Duration) {
	if core.acting || reason == ReasonHistoryGone || core.leaves {
		return
	}
	if reason == ReasonUnconfirmed && !core.readsFirst() {
		return
	}
	named := core.reader != "" && !core.readerGone && core.readerHeardAt > 0
	if named && core.now-core.readerHeardAt < within {
		return
	}
	core.acting = true
	core.readerGone = false
}

// patientFailures is how many calls in a row may fail until the reader leaves
// reading to others: a single one may be lost.
const patientFailures = 2

// stepDown leaves reading to others when the store fails this node.
func (core *Core) stepDown(effects *Effects) {
	if core.acting && core.failures >= patientFailures {
		core.acting = false
		core.reader = ""
		core.sendDigest(effects)
	}
}

// noteReader takes what a telling says of who reads. One that answers a
// question says what its sender knows, which may have just started.
func (core *Core) noteReader(told message.Reading, route message.Route) {
	reader := told.Reader
	if reader != "" {
		if at := core.now - time.Duration(told.ReaderAgeMillis)*time.Millisecond; at >= core.readerHeardAt {
			core.readerHeardAt = at
			core.readerLists = told.Listing
		}
	}
	switch {
	case reader == "":
		if route != (message.Route{}) {
			core.noteReaderGone()
		}
	case reader == core.settings.Self:
	case core.acting && !core.yieldsTo(reader):
	case !core.stays(reader):
		if !core.readerStays {
			core.reader = reader
		}
	default:
		core.acting = false
		core.reader = reader
		core.readerStays = true
		core.readerGone = false
	}
}

// yieldsTo tells whether this node, which reads, leaves it to another that does, too.
func (core *Core) yieldsTo(reader lb.NodeID) bool {
	if !core.stays(reader) {
		return false
	}
	if core.failures > 0 || core.leaves {
		return true
	}
	return compareRank(Peer{ID: reader}, Peer{ID: core.settings.Self}) < 0
}

// checkReader notices that the reader is not among those who stay any more. Of
// one that was never among them this node has not heard yet.
func (core *Core) checkReader() {
	stays := core.stays(core.reader)
	if core.readerStays && !stays {
		core.noteReaderGone()
	}
	core.readerStays = stays
}

func (core *Core) noteReaderGone() {
	if core.readerGone || core.acting {
		return
	}
	core.readerGone = true
	core.readerGoneAt = core.now
}

// stays tells whether a node is a living one that does not leave.
func (core *Core) stays(id lb.NodeID) bool {
	return slices.ContainsFunc(core.peers, func(peer Peer) bool { return peer.ID == id && !peer.Leaving })
}
