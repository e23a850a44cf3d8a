package member

// DisableRefutation disables the rule that a node refutes false updates about itself.
func (core *Core) DisableRefutation() { core.noRefutation = true }

// DisableDeathNotices disables the rule that a returned node is notified that it had been declared
// dead.
func (core *Core) DisableDeathNotices() { core.noDeathNotices = true }
