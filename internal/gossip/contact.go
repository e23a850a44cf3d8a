package gossip

import "time"

// recentMembersWindow is the maximum time since a node last saw other members for a loss of contact
// to count as a partition. Afterwards the node counts as alone.
const recentMembersWindow = 5 * time.Second

// contact tracks whether this node is in contact with its peers or cut off from them. A node starts
// without contact.
type contact struct {
	connected     bool
	stateSince    time.Duration // start of the current state
	lastMessage   time.Duration // time of the last message from any peer
	lastSawOthers time.Duration // when other members were last considered alive
	everSawOthers bool
}

func (contact *contact) start(now time.Duration) {
	contact.stateSince, contact.lastMessage, contact.lastSawOthers = now, now, now
}

// recordContact records that a peer has sent a message.
func (core *Core) recordContact(effects *Effects) {
	core.contact.lastMessage = core.now
	core.contact.everSawOthers = true
	if core.contact.connected {
		return
	}
	core.contact.connected = true
	core.contact.stateSince = core.now
	effects.Contact = ContactRegained
}

// checkContact detects the loss of contact. A node without other members counts as the only node of
// the fleet, and thereby as in contact: after ContactTimeout if it has never received a message
// from a peer, after AloneTimeout if it has lost all others.
func (core *Core) checkContact(effects *Effects) {
	contact := &core.contact
	alone := len(core.members) <= 1
	if !alone {
		contact.lastSawOthers = core.now
		contact.everSawOthers = true
	}
	noMessages := core.now-contact.lastMessage >= core.settings.ContactTimeout
	switch {
	case contact.connected && contact.everSawOthers && noMessages && core.now-contact.lastSawOthers < recentMembersWindow:
		contact.connected = false
		contact.stateSince = core.now
		effects.Contact = ContactLost
	case !contact.connected && alone && core.aloneTimeoutPassed():
		contact.connected = true
		contact.stateSince = core.now
		effects.Contact = ContactRegained
	}
}

func (core *Core) aloneTimeoutPassed() bool {
	limit := core.settings.ContactTimeout
	if core.contact.everSawOthers {
		limit = core.settings.AloneTimeout
	}
	return core.now-core.contact.stateSince >= limit
}
