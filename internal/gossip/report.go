package gossip

import (
	"slices"

	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
)

// Bounds of one report, which keep it within a datagram.
const (
	maxReported      = 24
	maxReportedBytes = 900
	// serviceVersionBytes is the JSON of a ServiceVersion without its name.
	serviceVersionBytes = 24
	// reportRepeats is how often one adoption is reported; later reports rest
	// on the digest.
	reportRepeats = 3
	maxRecent     = 512
)

// adopted is an adoption that is still being reported.
type adopted struct {
	message.ServiceVersion
	// prepared: the placement announces a generation, and is reported only
	// when this node has handed over what that asks for.
	prepared  bool
	remaining int
}

// isPrepared tells whether a placement announces a generation that new flows
// do not use yet.
func isPrepared(document *lb.Placement) bool {
	return document.Current < len(document.Generations)-1
}

// SetHandoverBusy tells whether records of flows still wait to be handed over.
// Meanwhile prepared placements are not reported as in force (docs/DESIGN.md,
// "The chain"). It is to be set before each Step.
func (core *Core) SetHandoverBusy(busy bool) {
	if core.handoverBusy && !busy {
		core.reportDue = true
	}
	core.handoverBusy = busy
}

// held tells whether an adoption is not to be reported yet.
func (core *Core) held(recent *adopted) bool { return recent.prepared && core.handoverBusy }

// noteAdopted puts an adoption into the next reports.
func (core *Core) noteAdopted(document *lb.Placement) {
	core.recent = slices.DeleteFunc(core.recent, func(older adopted) bool { return older.Service == document.Service })
	core.recent = slices.Insert(core.recent, 0, adopted{
		ServiceVersion: message.ServiceVersion{Service: document.Service, Version: document.Version},
		prepared:       isPrepared(document),
		remaining:      reportRepeats,
	})
	core.recent = core.recent[:min(len(core.recent), maxRecent)]
	core.reportDue = true
}

// report tells the zone's reporters what this node has.
func (core *Core) report(effects *Effects) {
	versions := core.takeRecent()
	core.scheduleReport()
	for _, to := range core.nearby {
		if to != core.settings.Self {
			core.send(effects, to, message.InForce{Zone: core.settings.Zone, Digest: core.digest, Nodes: 1, Versions: versions})
		}
	}
}

// scheduleReport makes the next report due: with the next tick while there is
// something not told yet, soon while something is to be told again.
func (core *Core) scheduleReport() {
	core.reportDue = false
	core.nextReport = core.now + core.settings.ReportInterval
	for index := range core.recent {
		recent := &core.recent[index]
		if core.held(recent) {
			continue
		}
		core.nextReport = core.now + core.settings.ReportRepeat
		core.reportDue = core.reportDue || recent.remaining == reportRepeats
	}
}

// takeRecent gives the adoptions for one report and puts them behind the others.
func (core *Core) takeRecent() []message.ServiceVersion {
	var versions []message.ServiceVersion
	var rest, taken []adopted
	bytes := 0
	for _, recent := range core.recent {
		size := serviceVersionBytes + len(recent.Service)
		full := len(versions) == maxReported || (len(versions) > 0 && bytes+size > maxReportedBytes)
		if full || core.held(&recent) {
			rest = append(rest, recent)
			continue
		}
		bytes += size
		versions = append(versions, recent.ServiceVersion)
		recent.remaining--
		if recent.remaining > 0 {
			taken = append(taken, recent)
		}
	}
	core.recent = append(rest, taken...)
	return versions
}

// setReporters takes the reporters of all zones: the nodes that watch the store.
func (core *Core) setReporters(reporters []lb.NodeID, nearby []lb.NodeID) {
	core.reporters, core.nearby = reporters, nearby
	if !slices.Contains(nearby, core.settings.Self) {
		core.reporter = nil
		return
	}
	if core.reporter == nil {
		core.reporter = newReporter(core.digest)
		core.reporter.trustMost = core.trustMost
		core.reporter.addRevision(core.revision)
	}
	core.reporter.keep(core.members, core.settings.Zone, core.settings.Self)
}

// setRevision takes the configuration revision that the placements reflect.
func (core *Core) setRevision(revision int64) {
	core.revision = max(core.revision, revision)
	if core.reporter != nil {
		core.reporter.addRevision(core.revision)
	}
}

// noteChange tells the reporter of this node's own adoption.
func (core *Core) noteChange(document *lb.Placement) {
	if core.reporter != nil {
		version := message.ServiceVersion{Service: document.Service, Version: document.Version}
		core.reporter.addChange(change{ServiceVersion: version, at: core.now, prepared: isPrepared(document)}, core.digest)
	}
}

// takeInForce takes the report of a node of the zone, or of a reporter.
func (core *Core) takeInForce(from lb.NodeID, report *message.InForce, effects *Effects) {
	if zone, member := core.members[from]; !member || zone != report.Zone {
		core.counters.Unknown++
		return
	}
	if !report.Aggregated {
		if core.reporter != nil && report.Zone == core.settings.Zone {
			core.reporter.take(from, report)
		}
		return
	}
	if core.reporter != nil && report.Zone == core.settings.Zone {
		core.reporter.revision = max(core.reporter.revision, report.ConfigRevision)
	}
	effects.InForce = append(effects.InForce, *report)
}

// advanceReporter states what is in force in the zone when that has changed, and now and then.
func (core *Core) advanceReporter(effects *Effects) {
	if core.reporter == nil {
		return
	}
	if !core.handoverBusy {
		core.reporter.handedOver()
	}
	statement, due := core.reporter.state(core.now, &core.settings)
	if !due {
		return
	}
	effects.InForce = append(effects.InForce, statement)
	if core.nearby[0] != core.settings.Self {
		return // the zone's first reporter tells the others; this one is there for when it is gone
	}
	for _, to := range core.reporters {
		if to != core.settings.Self {
			core.send(effects, to, statement)
		}
	}
}
