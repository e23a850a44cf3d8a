package controller

// rules switches single rules off, so that tests can show that the properties
// do not hold without them. The zero value has all rules on; only tests set any.
// The names are those of docs/proofs-controller.md.
type rules struct {
	// noEpoch: what is said to be in force does not wait for a change of the
	// epoch, and writes do not depend on it.
	noEpoch bool
	// noConfigurationGuard: a publisher writes over a placement that reflects
	// a later configuration than it has seen.
	noConfigurationGuard bool
	// noFencingWrite: a change that makes no difference is not written.
	noFencingWrite bool
	// noReadBack: a write without an answer is taken as done.
	noReadBack bool
	// noSettleWait: a generation becomes the base as soon as it is committed.
	noSettleWait bool
	// noVersionMemory: a lower version in the store is taken for the latest.
	noVersionMemory bool
	// noStaleListCheck: lists and batches from before what was seen are taken in.
	noStaleListCheck bool
}
