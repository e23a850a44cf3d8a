package member

// IgnoreRefutes switches off the rule that a node refutes what others wrongly say of it.
func (core *Core) IgnoreRefutes() { core.ignoreRefutes = true }
