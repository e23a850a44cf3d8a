package controller

import "time"

// EpochKey is the store key whose change makes every write of a placement that is in flight fail.
// Each write expects the epoch that its writer has seen. So after a change of the epoch, only
// writers whose configuration is at least as new as the epoch can write. The key's value is the
// write ID of its last change.
const EpochKey = "/robinpulley/epoch"

// epoch tracks EpochKey.
//
// A list of the store does not show which documents were deleted before it. Another publisher,
// paused since before such a deletion, may still write a placement derived from the deleted
// document, and its compare-and-swap would succeed. Therefore, after a list, no revision is
// reported as published until the epoch has changed.
type epoch struct {
	modRevision  int64         // mod revision of EpochKey as last seen; 0: the key does not exist
	listRevision int64         // revision of the last list
	retryAt      time.Duration // when to request the change again
}

// isEpochConfirmed reports whether the epoch has changed since the last list.
func (c *Controller) isEpochConfirmed() bool {
	return c.epoch.modRevision > c.epoch.listRevision || c.disabled.noEpoch
}

// applyEpoch applies a change of EpochKey and ignores other documents.
func (c *Controller) applyEpoch(document *Document) {
	if document.Key != EpochKey {
		return
	}
	c.epoch.modRevision = document.ModRevision
	if document.Deleted {
		c.epoch.modRevision = 0
	}
}

// requireEpochChange records the revision of a list, after which the epoch has to change.
func (c *Controller) requireEpochChange(revision int64) {
	c.epoch.listRevision = revision
	c.epoch.retryAt = c.now
}

// requestEpochChange requests a change of the epoch every WriteTimeout until a change is seen. A
// change by another publisher counts too.
func (c *Controller) requestEpochChange() {
	if c.isEpochConfirmed() || c.now < c.epoch.retryAt {
		return
	}
	c.epoch.retryAt = c.now + c.settings.WriteTimeout
	c.effects.Epoch = c.nextWriteID()
}
