package gossip

import (
	"slices"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
)

// These constants limit one report so that it fits into a datagram.
const (
	maxReported      = 24
	maxReportedBytes = 900
	// serviceVersionBytes is the size of the JSON of a ServiceVersion without the service name.
	serviceVersionBytes = 24
	// reportRepeats is how often a node reports one adoption. Later reports cover it by the digest
	// only.
	reportRepeats = 3
	maxRecent     = 512
)

// adoption is an adopted version that the node still reports.
type adoption struct {
	message.ServiceVersion
	// prepared is set if the placement announces a generation. The node reports it only after it
	// has handed over the records that the new generation requires.
	prepared         bool
	remainingReports int
}

// isPrepared reports whether a placement announces a generation that new flows do not use yet.
func isPrepared(document *lb.Placement) bool {
	return document.Current < len(document.Generations)-1
}

// SetHandoverBusy sets whether records of flows are still to be handed over. Meanwhile the node
// does not report prepared placements as in force (docs/DESIGN.md, "The chain"). The caller sets it
// before each Step.
func (core *Core) SetHandoverBusy(busy bool) {
	if core.handoverBusy && !busy {
		core.reportDue = true
	}
	core.handoverBusy = busy
}

// withheld reports whether an adoption must not be reported yet.
func (core *Core) withheld(recent *adoption) bool { return recent.prepared && core.handoverBusy }

// queueAdoption adds an adoption to the next reports.
func (core *Core) queueAdoption(document *lb.Placement) {
	core.recentAdoptions = slices.DeleteFunc(core.recentAdoptions, func(older adoption) bool { return older.Service == document.Service })
	core.recentAdoptions = slices.Insert(core.recentAdoptions, 0, adoption{
		ServiceVersion:   message.ServiceVersion{Service: document.Service, Version: document.Version},
		prepared:         isPrepared(document),
		remainingReports: reportRepeats,
	})
	core.recentAdoptions = core.recentAdoptions[:min(len(core.recentAdoptions), maxRecent)]
	core.reportDue = true
}

// report sends this node's digest and recent adoptions to the reporters of its zone.
func (core *Core) report(effects *Effects) {
	versions := core.nextReportedVersions()
	core.scheduleReport()
	for _, to := range core.zoneReporters {
		if to != core.settings.Self {
			core.send(effects, to, message.InForce{Zone: core.settings.Zone, Digest: core.digest, Nodes: 1, Versions: versions})
		}
	}
}

// scheduleReport sets the time of the next report: at the next tick if an adoption has not been
// reported yet, after ReportRepeatInterval if one is to be repeated, and after ReportInterval
// otherwise.
func (core *Core) scheduleReport() {
	core.reportDue = false
	core.nextReport = core.now + core.settings.ReportInterval
	for index := range core.recentAdoptions {
		recent := &core.recentAdoptions[index]
		if core.withheld(recent) {
			continue
		}
		core.nextReport = core.now + core.settings.ReportRepeatInterval
		core.reportDue = core.reportDue || recent.remainingReports == reportRepeats
	}
}

// nextReportedVersions returns the adoptions for one report and moves them behind the others.
func (core *Core) nextReportedVersions() []message.ServiceVersion {
	var versions []message.ServiceVersion
	var rest, included []adoption
	bytes := 0
	for _, recent := range core.recentAdoptions {
		size := serviceVersionBytes + len(recent.Service)
		full := len(versions) == maxReported || (len(versions) > 0 && bytes+size > maxReportedBytes)
		if full || core.withheld(&recent) {
			rest = append(rest, recent)
			continue
		}
		bytes += size
		versions = append(versions, recent.ServiceVersion)
		recent.remainingReports--
		if recent.remainingReports > 0 {
			included = append(included, recent)
		}
	}
	core.recentAdoptions = append(rest, included...)
	return versions
}

// setReporters sets the reporters of all zones and the reporters of the local zone. The reporters
// are the nodes that watch the store.
func (core *Core) setReporters(reporters []lb.NodeID, zoneReporters []lb.NodeID) {
	core.reporters, core.zoneReporters = reporters, zoneReporters
	if !slices.Contains(zoneReporters, core.settings.Self) {
		core.reporter = nil
		return
	}
	if core.reporter == nil {
		core.reporter = newReporter(core.digest)
		core.reporter.acceptMajority = core.acceptMajority
		core.reporter.addRevision(core.revision)
	}
	core.reporter.setNodes(core.members, core.settings.Zone, core.settings.Self)
}

// setRevision sets the configuration revision that the placements reflect.
func (core *Core) setRevision(revision int64) {
	core.revision = max(core.revision, revision)
	if core.reporter != nil {
		core.reporter.addRevision(core.revision)
	}
}

// recordChange passes this node's own adoption to its reporter, if it has one.
func (core *Core) recordChange(document *lb.Placement) {
	if core.reporter != nil {
		version := message.ServiceVersion{Service: document.Service, Version: document.Version}
		core.reporter.addChange(change{ServiceVersion: version, at: core.now, prepared: isPrepared(document)}, core.digest)
	}
}

// handleInForce applies the report of a node of the local zone, or the statement of a reporter.
func (core *Core) handleInForce(from lb.NodeID, report *message.InForce, effects *Effects) {
	if zone, member := core.members[from]; !member || zone != report.Zone {
		core.counters.NonMemberReports++
		return
	}
	if !report.Aggregated {
		if core.reporter != nil && report.Zone == core.settings.Zone {
			core.reporter.applyReport(from, report)
		}
		return
	}
	if core.reporter != nil && report.Zone == core.settings.Zone {
		core.reporter.revision = max(core.reporter.revision, report.ConfigRevision)
	}
	effects.InForce = append(effects.InForce, *report)
}

// advanceReporter issues a statement on the local zone when the versions in force have changed, and
// periodically.
func (core *Core) advanceReporter(effects *Effects) {
	if core.reporter == nil {
		return
	}
	if !core.handoverBusy {
		core.reporter.setHandedOver()
	}
	statement, due := core.reporter.nextStatement(core.now, &core.settings)
	if !due {
		return
	}
	effects.InForce = append(effects.InForce, statement)
	if core.zoneReporters[0] != core.settings.Self {
		// Only the first reporter of the zone sends statements. This node takes over if that
		// reporter fails.
		return
	}
	for _, to := range core.reporters {
		if to != core.settings.Self {
			core.send(effects, to, statement)
		}
	}
}
