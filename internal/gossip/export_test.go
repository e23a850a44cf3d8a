package gossip

// AcceptLower disables the rule that a lower version is never adopted.
func (core *Core) AcceptLower() { core.acceptLower = true }

// AcceptMajority disables the rule that a version is in force in a zone only when all live nodes of
// the zone have it.
func (core *Core) AcceptMajority() {
	core.acceptMajority = true
	if core.reporter != nil {
		core.reporter.acceptMajority = true
	}
}
