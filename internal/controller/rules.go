package controller

// disabledRules names rules that are switched off, so that tests can show that the controller's
// properties depend on each rule. The zero value has all rules on; only tests set a field. The
// fields have the same names as in docs/proofs-controller.md.
type disabledRules struct {
	// noEpoch: PublishedRevision does not wait for a change of the epoch, and writes do not depend
	// on the epoch.
	noEpoch bool
	// noConfigurationGuard: a publisher overwrites a placement that reflects a later configuration
	// than the publisher has seen.
	noConfigurationGuard bool
	// noFencingWrite: an operator's change that leaves the placement as it is causes no write.
	noFencingWrite bool
	// noReadBack: a write without a response counts as done.
	noReadBack bool
	// noSettleWait: a generation becomes the base as soon as it is committed.
	noSettleWait bool
	// noVersionMemory: a lower version in the store is accepted as the latest one.
	noVersionMemory bool
	// noStaleListCheck: lists and batches with a lower revision than was already seen are applied.
	noStaleListCheck bool
}
