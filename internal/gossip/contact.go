package gossip

import "time"

// memberMemory is how long a node that was alone only lately counts as cut off.
const memberMemory = 5 * time.Second

// contact tells a node that is cut off from one that is well connected. It
// starts without contact.
type contact struct {
	held       bool
	since      time.Duration // of the present state
	heard      time.Duration // last message from any peer
	lastOthers time.Duration // when other members were last believed alive
	hadOthers  bool
}

func (contact *contact) start(now time.Duration) {
	contact.since, contact.heard, contact.lastOthers = now, now, now
}

// touch notes a message from a peer.
func (core *Core) touch(effects *Effects) {
	core.contact.heard = core.now
	core.contact.hadOthers = true
	if core.contact.held {
		return
	}
	core.contact.held = true
	core.contact.since = core.now
	effects.Contact = ContactRegained
}

// checkContact finds that contact was lost. A node that has never heard of
// another is taken as the only one after ContactTimeout; one that has lost all
// others, after AloneTimeout.
func (core *Core) checkContact(effects *Effects) {
	contact := &core.contact
	alone := len(core.members) <= 1
	if !alone {
		contact.lastOthers = core.now
		contact.hadOthers = true
	}
	silent := core.now-contact.heard >= core.settings.ContactTimeout
	switch {
	case contact.held && contact.hadOthers && silent && core.now-contact.lastOthers < memberMemory:
		contact.held = false
		contact.since = core.now
		effects.Contact = ContactLost
	case !contact.held && alone && core.aloneLongEnough():
		contact.held = true
		contact.since = core.now
		effects.Contact = ContactRegained
	}
}

func (core *Core) aloneLongEnough() bool {
	limit := core.settings.ContactTimeout
	if core.contact.hadOthers {
		limit = core.settings.AloneTimeout
	}
	return core.now-core.contact.since >= limit
}
