package controller

import (
	"time"

	"robinpulley.example/robinpulley/internal/catalog"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
	"robinpulley.example/robinpulley/internal/placement"
	"robinpulley.example/robinpulley/internal/rendezvous"
)

// statusHeartbeat is the maximum time between two reports of the zone's state.
const statusHeartbeat = 10 * time.Second

// statusReport holds the last report of the zone's state and its time.
type statusReport struct {
	at   time.Duration
	last catalog.ZoneStatus
	sent bool
}

// PublishedRevision returns the configuration revision up to which every change is reflected by
// committed placements that this node has seen in the store and returned in Effects. The result
// never decreases. It is 0 before the first list, and does not change while the epoch is not
// confirmed.
func (c *Controller) PublishedRevision() int64 {
	if !c.hasCompleteList || !c.isEpochConfirmed() {
		return c.lastPublished
	}
	published := c.seenRevision
	for _, first := range c.unreflected {
		published = min(published, first-1)
	}
	c.lastPublished = max(published, c.lastPublished)
	return c.lastPublished
}

// IsPublisher reports whether this node has to watch the store and may publish.
func (c *Controller) IsPublisher() bool { return c.view.publisher }

// applyInForce applies the report of one zone: its versions are in force at every live node of the
// zone.
func (c *Controller) applyInForce(report *message.InForce) {
	for _, version := range report.Versions {
		c.applyAcknowledgement(report.Zone, version)
	}
	if report.Zone == c.settings.Zone && c.view.reporter {
		c.reportStatus(report)
	}
}

// applyAcknowledgement records that a version is in force in a zone.
func (c *Controller) applyAcknowledgement(zone lb.Zone, version message.ServiceVersion) {
	s := c.services[version.Service]
	if s == nil || s.preparedVersion == 0 || s.acknowledged[zone] >= version.Version {
		return
	}
	s.acknowledged[zone] = version.Version
	if c.isAcknowledged(s) {
		c.scheduleNow(s)
	}
}

// reportStatus adds the zone's state to the effects if it has changed, at most once per
// StatusInterval, and otherwise every statusHeartbeat.
func (c *Controller) reportStatus(report *message.InForce) {
	status := catalog.ZoneStatus{
		Zone:           report.Zone,
		Writer:         c.settings.Self,
		ConfigRevision: report.ConfigRevision,
		Nodes:          report.Nodes,
		NodesBehind:    report.Behind,
	}
	wait := c.settings.StatusInterval
	if status == c.status.last {
		wait = statusHeartbeat
	}
	if c.status.sent && c.now-c.status.at < wait {
		return
	}
	c.status = statusReport{at: c.now, last: status, sent: true}
	c.effects.Status = &status
}

// applyClean applies a head's report of clean buckets, which have no flows away from the base. The
// report is accepted only for the stored version, and for a bucket only if its sender is the head
// of the bucket's chain in this node's view.
func (c *Controller) applyClean(report *CleanReport) {
	s := c.services[report.Service]
	if s == nil || s.stored == nil || report.Version != s.stored.Version {
		return
	}
	history, err := placement.ParseBitmap(s.stored.History)
	if err != nil {
		return
	}
	for _, bucket := range report.Buckets {
		if bucket >= lb.BucketCount || !history.Has(bucket) || !c.isHead(s, bucket, report.From) {
			continue
		}
		if s.clean == nil {
			s.clean = new(placement.Bitmap)
			s.cleanSince = c.now
			c.background.schedule(s, c.takeoverTime(s, c.now+c.settings.ClearInterval))
		}
		s.clean.Set(bucket)
	}
}

// isHead reports whether the node is the head of the bucket's chain.
func (c *Controller) isHead(s *service, bucket uint16, node lb.NodeID) bool {
	head, _ := rendezvous.Chain(s.key.BucketKey(bucket), c.view.chain)
	return head >= 0 && c.view.chain[head].ID == node
}
