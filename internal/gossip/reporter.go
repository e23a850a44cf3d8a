package gossip

import (
	"slices"
	"time"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
)

// These constants limit the memory and the statements of a reporter.
const (
	maxChanges   = 1024
	maxDigests   = 256
	maxRevisions = 256
	// minStatementInterval is the minimum time between statements. It combines the reports of
	// several nodes into one statement, because each statement is sent to every publisher.
	minStatementInterval = 150 * time.Millisecond
	// minCountInterval is the minimum time between statements that differ only in their counts of
	// nodes.
	minCountInterval = 2 * time.Second
	// reportsPerIdleStatement is the number of report intervals between statements without updates.
	reportsPerIdleStatement = 5
	// listedFor is how long statements list a change after all nodes have adopted it.
	// adoptionTimeout is how long the reporter waits until all nodes have adopted it.
	listedFor       = 10 * time.Second
	adoptionTimeout = 5 * time.Minute
	// maxReportedVersions limits the memory for the reports of one node.
	maxReportedVersions = 256
)

// reporter tracks which placement versions the nodes of one zone have. It numbers the adoptions of
// its own node with serials. appliedSerial of another node is the serial up to which that node
// certainly has all changes. It never decreases, because the versions of placements do not.
type reporter struct {
	serial    uint64
	first     uint64 // serial of changes[0]
	changes   []change
	digests   []digestAt
	nodes     map[lb.NodeID]*nodeProgress // live nodes of the zone without this node
	revisions []revisionAt
	revision  int64 // configuration revision in force at all live nodes

	acceptMajority bool // disables a rule in tests; see Core

	dirty      bool // the state may have changed since the last statement
	repeatLast bool // the last statement contained updates and is to be repeated soon
	last       message.InForce
	lastSent   time.Duration
}

// change is one adoption of this node.
type change struct {
	message.ServiceVersion
	at time.Duration
	// prepared is set if the placement announces a generation. It is in force at a node only when
	// the node has listed it in a report: an equal digest shows that the node has adopted it, but
	// not that its records are handed over.
	prepared bool
	// onAllNodes is set if all nodes have the change, since onAllNodesAt.
	onAllNodes   bool
	onAllNodesAt time.Duration
	// handedOver is set if the change is prepared and this node has handed over its records.
	handedOver bool
}

type digestAt struct{ digest, serial uint64 }

type revisionAt struct {
	revision int64
	serial   uint64
}

// nodeProgress is the state of another node as derived from its reports.
type nodeProgress struct {
	matched       bool   // a digest of the node was once equal to a digest of the reporter
	appliedSerial uint64 // serial up to which the node has all changes, if matched
	digest        uint64 // last reported digest
	// versions contains the recently reported versions.
	versions map[lb.ServiceName]lb.Version
}

// newReporter returns a reporter whose serial zero stands for the current placements.
func newReporter(digest uint64) *reporter {
	return &reporter{
		first:   1,
		dirty:   true,
		digests: []digestAt{{digest: digest}},
		nodes:   make(map[lb.NodeID]*nodeProgress),
	}
}

// setNodes removes nodes that are no longer members of the zone and adds new ones.
func (reporter *reporter) setNodes(members map[lb.NodeID]lb.Zone, zone lb.Zone, self lb.NodeID) {
	reporter.dirty = true
	for id := range reporter.nodes {
		if members[id] != zone {
			delete(reporter.nodes, id)
		}
	}
	for id, memberZone := range members {
		if memberZone == zone && id != self && reporter.nodes[id] == nil {
			reporter.nodes[id] = &nodeProgress{}
		}
	}
}

// addChange records an adoption of this node and its digest afterwards.
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
		if node.digest == digest { // the node adopted the change before this node did
			node.matched, node.appliedSerial = true, reporter.serial
		}
		reporter.advanceNode(node)
	}
}

// setHandedOver records that this node has handed over the records that its placements require.
func (reporter *reporter) setHandedOver() {
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

// addRevision records that the placements up to now reflect a configuration revision.
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

// applyReport records the report of one node.
func (reporter *reporter) applyReport(from lb.NodeID, report *message.InForce) {
	node := reporter.nodes[from]
	if node == nil {
		return
	}
	reporter.dirty = true
	node.digest = report.Digest
	for index := len(reporter.digests) - 1; index >= 0; index-- {
		if reporter.digests[index].digest == report.Digest {
			node.matched = true
			node.appliedSerial = max(node.appliedSerial, reporter.digests[index].serial)
			break
		}
	}
	for _, version := range report.Versions {
		if node.versions == nil {
			node.versions = make(map[lb.ServiceName]lb.Version)
		}
		node.versions[version.Service] = max(node.versions[version.Service], version.Version)
	}
	reporter.advanceNode(node)
}

// advanceNode advances a node's appliedSerial over the changes that the node has reported.
func (reporter *reporter) advanceNode(node *nodeProgress) {
	for node.matched && node.appliedSerial < reporter.serial && node.appliedSerial+1 >= reporter.first {
		next := reporter.changes[node.appliedSerial+1-reporter.first]
		if node.versions[next.Service] < next.Version {
			return
		}
		node.appliedSerial++
	}
	if len(node.versions) > maxReportedVersions {
		reporter.pruneVersions(node)
	}
}

// pruneVersions deletes the reported versions of services without recent changes.
func (reporter *reporter) pruneVersions(node *nodeProgress) {
	recent := make(map[lb.ServiceName]lb.Version)
	for _, change := range reporter.changes[max(0, len(reporter.changes)-maxReportedVersions):] {
		if version, found := node.versions[change.Service]; found {
			recent[change.Service] = version
		}
	}
	node.versions = recent
}

// hasChange reports whether a node has the change with a serial.
func (node *nodeProgress) hasChange(change *change, serial uint64) bool {
	if node.versions[change.Service] >= change.Version {
		return true
	}
	return !change.prepared && node.matched && node.appliedSerial >= serial
}

// nextStatement returns the statement on the zone, and whether it is due to be sent.
func (reporter *reporter) nextStatement(now time.Duration, settings *Settings) (message.InForce, bool) {
	age, interval := now-reporter.lastSent, reportsPerIdleStatement*settings.ReportInterval
	if reporter.repeatLast {
		interval = settings.ReportRepeatInterval
	}
	if age < minStatementInterval || !reporter.dirty && age < interval {
		return message.InForce{}, false
	}
	lowest, behind := reporter.progress()
	reporter.advanceRevision(lowest)
	statement := message.InForce{
		Zone:           settings.Zone,
		Aggregated:     true,
		Digest:         reporter.digests[len(reporter.digests)-1].digest,
		Nodes:          len(reporter.nodes) + 1,
		Behind:         behind,
		ConfigRevision: reporter.revision,
		Versions:       reporter.versionsOnAllNodes(now),
	}
	updated := reporter.hasUpdates(&statement, age)
	if age < interval && !updated {
		return message.InForce{}, false
	}
	reporter.repeatLast = updated
	reporter.dirty = statement.Behind > 0
	reporter.last, reporter.lastSent = statement, now
	return statement, true
}

// hasUpdates reports whether a statement differs from the last one in a way that must be published:
// immediately if another revision or version is in force, after minCountInterval if only the counts
// differ.
func (reporter *reporter) hasUpdates(statement *message.InForce, age time.Duration) bool {
	if statement.ConfigRevision != reporter.last.ConfigRevision {
		return true
	}
	for _, version := range statement.Versions {
		if !slices.Contains(reporter.last.Versions, version) {
			return true
		}
	}
	counts := statement.Behind != reporter.last.Behind || statement.Nodes != reporter.last.Nodes
	return counts && age >= minCountInterval
}

// progress returns the lowest appliedSerial of all nodes, and the number of nodes that lack the
// last change.
func (reporter *reporter) progress() (lowest uint64, behind int) {
	lowest = reporter.serial
	for _, node := range reporter.nodes {
		if !node.matched || node.appliedSerial < reporter.serial {
			behind++
		}
		lowest = min(lowest, node.appliedSerial)
	}
	return lowest, behind
}

// advanceRevision advances the revision in force to the highest one that all nodes have reached.
func (reporter *reporter) advanceRevision(lowest uint64) {
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

// versionsOnAllNodes returns the versions that all nodes have adopted recently, newest first.
func (reporter *reporter) versionsOnAllNodes(now time.Duration) []message.ServiceVersion {
	var versions []message.ServiceVersion
	bytes := 0
	for index := len(reporter.changes) - 1; index >= 0 && len(versions) < maxReported; index-- {
		change := &reporter.changes[index]
		if now-change.at > adoptionTimeout {
			break
		}
		if !change.onAllNodes && reporter.isOnAllNodes(change, reporter.first+uint64(index)) {
			change.onAllNodes, change.onAllNodesAt = true, now
		}
		listed := slices.ContainsFunc(versions, func(version message.ServiceVersion) bool { return version.Service == change.Service })
		if listed || !change.onAllNodes || now-change.onAllNodesAt > listedFor {
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

func (reporter *reporter) isOnAllNodes(change *change, serial uint64) bool {
	if change.prepared && !change.handedOver {
		return false
	}
	lacking := 0
	for _, node := range reporter.nodes {
		if !node.hasChange(change, serial) {
			lacking++
		}
	}
	if reporter.acceptMajority {
		return lacking <= len(reporter.nodes)/2
	}
	return lacking == 0
}
