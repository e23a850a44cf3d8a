package gossip

// AcceptLower switches off the rule that a lower version is never adopted.
func (core *Core) AcceptLower() { core.acceptLower = true }

// TrustMost switches off the rule that a version is in force in a zone only
// when all its live nodes have it.
func (core *Core) TrustMost() {
	core.trustMost = true
	if core.reporter != nil {
		core.reporter.trustMost = true
	}
}
