package gossip

import (
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
)

// Bounds of a reporter's memory.
const (
	maxChanges   = 1024
	maxDigests   = 256
	maxRevisions = 256
	// newsInterval is the shortest time between statements: what several nodes
	// report in it makes one statement, which goes to every publisher.
	newsInterval = 150 * time.Millisecond
	// countInterval is the shortest time between statements in which only
	// the count of nodes behind differs.
	countInterval = 2 * time.Second
	// calmReports is how many report intervals pass between statements
	// without news.
	calmReports = 5
	// namedFor is how long a change is named in statements once all nodes
	// have it, and awaitedFor how long that is waited for.
	namedFor   = 10 * time.Second
	awaitedFor = 5 * time.Minute
	// maxReportedVersions bounds the memory of one node's reports.
	maxReportedVersions = 256
)

// reporter keeps what the nodes of one zone have. Its own adoptions are
// numbered by serials; a node's place is the serial up to which it surely has
// everything. Placements never go back, so a place never does.
type reporter struct {
	serial    uint64
	first     uint64 // serial of changes[0]
	changes   []change
	digests   []digestAt
	nodes     map[lb.NodeID]*reported // live nodes of the zone but self
	revisions []revisionAt
	revision  int64 // in force at all live nodes

	trustMost bool // rule off, for tests; see Core

	dirty    bool // something may have changed since last
	repeat   bool // last was news and is to be said again soon
	last     message.InForce
	lastSent time.Duration
}

// change is one adoption of this node.
type change struct {
	message.ServiceVersion
	at time.Duration
	// prepared: in force at a node only when the node has named it in a
	// report; a digest tells that it is adopted, not what was handed over.
	prepared bool
	// everywhere: all nodes have had it since everywhereAt.
	everywhere   bool
	everywhereAt time.Duration
	// handedOver: this node itself has it in force, when prepared.
	handedOver bool
}

type digestAt struct{ digest, serial uint64 }

type revisionAt struct {
	revision int64
	serial   uint64
}

// reported is what is known of one node.
type reported struct {
	matched bool   // a digest of this node was once equal to one of ours
	place   uint64 // serial up to which it has everything, when matched
	digest  uint64 // as reported last
	// versions are those reported lately.
	versions map[lb.ServiceName]lb.Version
}

// newReporter starts from the present placements, as serial zero.
func newReporter(digest uint64) *reporter {
	return &reporter{
		first:   1,
		dirty:   true,
		digests: []digestAt{{digest: digest}},
		nodes:   make(map[lb.NodeID]*reported),
	}
}

// keep forgets nodes that are gone and adds new ones.
func (reporter *reporter) keep(members map[lb.NodeID]lb.Zone, zone lb.Zone, self lb.NodeID) {
	reporter.dirty = true
	for id := range reporter.nodes {
		if members[id] != zone {
			delete(reporter.nodes, id)
		}
	}
	for id, memberZone := range members {
		if memberZone == zone && id != self && reporter.nodes[id] == nil {
			reporter.nodes[id] = &reported{}
		}
	}
}

// addChange notes this node's own adoption and its digest after it.
func (reporter *reporter) addChange(added change, digest uint64) {
	reporter.dirty = true
	reporter.serial++
	reporter.changes = append(reporter.changes, added)
	if len(reporter.changes) > maxChanges {
		reporter.changes = slices.Delete(reporter.changes, 0, 1)
		reporter.first++
	}
	reporter.digests = append(reporter.digests, digestAt{digest: digest, serial: reporter.serial})
	if len(reporter.digests) > maxDigests {
		reporter.digests = slices.Delete(reporter.digests, 0, 1)
	}
	for _, node := range reporter.nodes {
		if node.digest == digest { // it was ahead of this node
			node.matched, node.place = true, reporter.serial
		}
		reporter.advance(node)
	}
}

// handedOver notes that this node has handed over what its placements ask for.
func (reporter *reporter) handedOver() {
	for index := len(reporter.changes) - 1; index >= 0; index-- {
		change := &reporter.changes[index]
		if !change.prepared {
			continue
		}
		if change.handedOver {
			return
		}
		change.handedOver = true
		reporter.dirty = true
	}
}

// addRevision notes that the placements up to now reflect a revision.
func (reporter *reporter) addRevision(revision int64) {
	last := len(reporter.revisions) - 1
	if revision <= reporter.revision || (last >= 0 && reporter.revisions[last].revision >= revision) {
		return
	}
	reporter.dirty = true
	if last >= 0 && reporter.revisions[last].serial == reporter.serial {
		reporter.revisions[last].revision = revision
		return
	}
	reporter.revisions = append(reporter.revisions, revisionAt{revision: revision, serial: reporter.serial})
	if len(reporter.revisions) > maxRevisions {
		reporter.revisions = slices.Delete(reporter.revisions, 0, 1)
	}
}

// take notes the report of one node.
func (reporter *reporter) take(from lb.NodeID, report *message.InForce) {
	node := reporter.nodes[from]
	if node == nil {
		return
	}
	reporter.dirty = true
	node.digest = report.Digest
	for index := len(reporter.digests) - 1; index >= 0; index-- {
		if reporter.digests[index].digest == report.Digest {
			node.matched = true
			node.place = max(node.place, reporter.digests[index].serial)
			break
		}
	}
	for _, version := range report.Versions {
		if node.versions == nil {
			node.versions = make(map[lb.ServiceName]lb.Version)
		}
		node.versions[version.Service] = max(node.versions[version.Service], version.Version)
	}
	reporter.advance(node)
}

// advance moves a node's place over the changes that it has reported.
func (reporter *reporter) advance(node *reported) {
	for node.matched && node.place < reporter.serial && node.place+1 >= reporter.first {
		next := reporter.changes[node.place+1-reporter.first]
		if node.versions[next.Service] < next.Version {
			return
		}
		node.place++
	}
	if len(node.versions) > maxReportedVersions {
		reporter.pruneVersions(node)
	}
}

// pruneVersions forgets reported versions of services that have not changed lately.
func (reporter *reporter) pruneVersions(node *reported) {
	recent := make(map[lb.ServiceName]lb.Version)
	for _, change := range reporter.changes[max(0, len(reporter.changes)-maxReportedVersions):] {
		if version, found := node.versions[change.Service]; found {
			recent[change.Service] = version
		}
	}
	node.versions = recent
}

// has tells whether a node has the change of a serial.
func (node *reported) has(change *change, serial uint64) bool {
	if node.versions[change.Service] >= change.Version {
		return true
	}
	return !change.prepared && node.matched && node.place >= serial
}

// state gives the statement on the zone, and whether it is due to be sent.
func (reporter *reporter) state(now time.Duration, settings *Settings) (message.InForce, bool) {
	age, interval := now-reporter.lastSent, calmReports*settings.ReportInterval
	if reporter.repeat {
		interval = settings.ReportRepeat
	}
	if age < newsInterval || !reporter.dirty && age < interval {
		return message.InForce{}, false
	}
	lowest, behind := reporter.places()
	reporter.reach(lowest)
	statement := message.InForce{
		Zone:           settings.Zone,
		Aggregated:     true,
		Digest:         reporter.digests[len(reporter.digests)-1].digest,
		Nodes:          len(reporter.nodes) + 1,
		Behind:         behind,
		ConfigRevision: reporter.revision,
		Versions:       reporter.everywhere(now),
	}
	news := reporter.isNews(&statement, age)
	if age < interval && !news {
		return message.InForce{}, false
	}
	reporter.repeat = news
	reporter.dirty = statement.Behind > 0
	reporter.last, reporter.lastSent = statement, now
	return statement, true
}

// isNews tells whether a statement says more than the last one: at once when
// more is in force, after countInterval when only counts differ.
func (reporter *reporter) isNews(statement *message.InForce, age time.Duration) bool {
	if statement.ConfigRevision != reporter.last.ConfigRevision {
		return true
	}
	for _, version := range statement.Versions {
		if !slices.Contains(reporter.last.Versions, version) {
			return true
		}
	}
	counts := statement.Behind != reporter.last.Behind || statement.Nodes != reporter.last.Nodes
	return counts && age >= countInterval
}

// places gives the lowest place of all nodes, and how many are not at the last serial.
func (reporter *reporter) places() (lowest uint64, behind int) {
	lowest = reporter.serial
	for _, node := range reporter.nodes {
		if !node.matched || node.place < reporter.serial {
			behind++
		}
		lowest = min(lowest, node.place)
	}
	return lowest, behind
}

// reach takes the revisions that all nodes have got to.
func (reporter *reporter) reach(lowest uint64) {
	for _, node := range reporter.nodes {
		if !node.matched {
			return
		}
	}
	for len(reporter.revisions) > 0 && reporter.revisions[0].serial <= lowest {
		reporter.revision = max(reporter.revision, reporter.revisions[0].revision)
		reporter.revisions = reporter.revisions[1:]
	}
}

// everywhere lists the versions that all nodes have lately got, newest first.
func (reporter *reporter) everywhere(now time.Duration) []message.ServiceVersion {
	var versions []message.ServiceVersion
	bytes := 0
	for index := len(reporter.changes) - 1; index >= 0 && len(versions) < maxReported; index-- {
		change := &reporter.changes[index]
		if now-change.at > awaitedFor {
			break
		}
		if !change.everywhere && reporter.allHave(change, reporter.first+uint64(index)) {
			change.everywhere, change.everywhereAt = true, now
		}
		named := slices.ContainsFunc(versions, func(version message.ServiceVersion) bool { return version.Service == change.Service })
		if named || !change.everywhere || now-change.everywhereAt > namedFor {
			continue
		}
		bytes += serviceVersionBytes + len(change.Service)
		if len(versions) > 0 && bytes > maxReportedBytes {
			break
		}
		versions = append(versions, change.ServiceVersion)
	}
	return versions
}

func (reporter *reporter) allHave(change *change, serial uint64) bool {
	if change.prepared && !change.handedOver {
		return false
	}
	lacking := 0
	for _, node := range reporter.nodes {
		if !node.has(change, serial) {
			lacking++
		}
	}
	if reporter.trustMost {
		return lacking <= len(reporter.nodes)/2
	}
	return lacking == 0
}
