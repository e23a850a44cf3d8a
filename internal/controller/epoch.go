package controller

import "time"

// EpochKey is the store key whose change ends every write of a placement that
// is under way. Each write expects the epoch that its writer has seen, so that
// after a change of the epoch only writers with a configuration at least as new
// can write. Its value is the write id of its last change.
const EpochKey = "/robinpulley/epoch"

// epoch keeps track of EpochKey.
//
// A list of the store does not show what was deleted before it. Another
// publisher, paused since before the deletion, may still write a placement
// derived from the deleted document, and its compare-and-swap would succeed.
// So, after a list, nothing is said to be in force until the epoch has changed.
type epoch struct {
	revision int64         // mod revision of EpochKey, as seen; 0: no key
	listed   int64         // revision of the last list
	retryAt  time.Duration // when to ask for the change again
}

// isEpochConfirmed tells whether the epoch has changed since the last list.
func (c *Controller) isEpochConfirmed() bool {
	return c.epoch.revision > c.epoch.listed || c.off.noEpoch
}

// takeEpoch takes in a change of EpochKey.
func (c *Controller) takeEpoch(document *Document) {
	if document.Key != EpochKey {
		return
	}
	c.epoch.revision = document.ModRevision
	if document.Deleted {
		c.epoch.revision = 0
	}
}

// startEpoch notes a list, after which the epoch has to change.
func (c *Controller) startEpoch(revision int64) {
	c.epoch.listed = revision
	c.epoch.retryAt = c.now
}

// confirmEpoch asks for a change of the epoch until one is seen, be it another publisher's.
func (c *Controller) confirmEpoch() {
	if c.isEpochConfirmed() || c.now < c.epoch.retryAt {
		return
	}
	c.epoch.retryAt = c.now + c.settings.WriteTimeout
	c.effects.Epoch = c.nextWriteID()
}
