package gossip

// AcceptLower switches off the rule that a lower version is never adopted.
func (core *Core) AcceptLower() { core.acceptLower = true }
