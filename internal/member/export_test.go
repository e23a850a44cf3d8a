package member

// IgnoreRefutes switches off the rule that a node refutes what others wrongly say of it.
func (core *Core) IgnoreRefutes() { core.ignoreRefutes = true }

// HideDeaths switches off the rule that a node that came back is told that it had been dead.
func (core *Core) HideDeaths() { core.hideDeaths = true }
