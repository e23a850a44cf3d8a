package controller

import (
	"time"

	"robinpulley.example/robinpulley/internal/catalog"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/message"
	"robinpulley.example/robinpulley/internal/placement"
	"robinpulley.example/robinpulley/internal/rendezvous"
)

// statusHeartbeat is the longest time between two reports of the zone's state.
const statusHeartbeat = 10 * time.Second

// statusReport is the last report of the zone's state.
type statusReport struct {
	at   time.Duration
	last catalog.ZoneStatus
	sent bool
}

// PublishedRevision gives the configuration revision up to which every change
// is reflected by the committed placements that this node has seen in the
// store, and has given as effects. It never goes back; it is 0 when nothing is
// known, and stays what it was while the epoch is not confirmed.
func (c *Controller) PublishedRevision() int64 {
	if !c.listed || !c.isEpochConfirmed() {
		return c.published
	}
	published := c.seen
	for _, first := range c.unreflected {
		published = min(published, first-1)
	}
	c.published = max(published, c.published)
	return c.published
}

// IsPublisher tells whether this node is to watch the store and may publish.
func (c *Controller) IsPublisher() bool { return c.view.publisher }

// takeInForce takes in the report of one zone: the versions in it are in force
// at every live node of the zone.
func (c *Controller) takeInForce(report *message.InForce) {
	for _, version := range report.Versions {
		c.takeAcknowledgement(report.Zone, version)
	}
	if report.Zone == c.settings.Zone && c.view.reporter {
		c.reportStatus(report)
	}
}

// takeAcknowledgement notes that a zone has a version in force.
func (c *Controller) takeAcknowledgement(zone lb.Zone, version message.ServiceVersion) {
	s := c.services[version.Service]
	if s == nil || s.prepared == 0 || s.acknowledged[zone] >= version.Version {
		return
	}
	s.acknowledged[zone] = version.Version
	if c.acknowledged(s) {
		c.reconsider(s)
	}
}

// reportStatus gives the zone's state when it has changed, and once in a while.
func (c *Controller) reportStatus(report *message.InForce) {
	status := catalog.ZoneStatus{
		Zone:           report.Zone,
		Writer:         c.settings.Self,
		ConfigRevision: report.ConfigRevision,
		Nodes:          report.Nodes,
		Behind:         report.Behind,
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

// takeClean takes in a head's report of buckets without flows away from the
// base. It counts only for the stored version, and from the node that this
// node's view has as the head of the bucket.
func (c *Controller) takeClean(report *CleanReport) {
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
			c.background.put(s, c.turn(s, c.now+c.settings.ClearInterval))
		}
		s.clean.Set(bucket)
	}
}

// isHead tells whether the node is the head of the bucket's chain.
func (c *Controller) isHead(s *service, bucket uint16, node lb.NodeID) bool {
	head, _ := rendezvous.Chain(s.key.BucketKey(bucket), c.view.chain)
	return head >= 0 && c.view.chain[head].ID == node
}
