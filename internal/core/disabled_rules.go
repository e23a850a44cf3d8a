package core

// disabledRules disables individual rules of the protocol, so that tests can show that the
// properties depend on each rule. The zero value enables all rules; only tests disable any. The
// rules are described in docs/PROOFS.md and spec/.
type disabledRules struct {
	// noTailRecordWins: the tail accepts the head's proposal even if it has a record of its own.
	noTailRecordWins bool
	// noRecordBeforeForward: the tail forwards without recording the decision.
	noRecordBeforeForward bool
	// noReturnToHead: the tail carries out its answer although the head has a different record.
	noReturnToHead bool
	// noVouchBeforeNotRun: every refusal claims that the request has not run.
	noVouchBeforeNotRun bool
	// noRefusalRecord: refusals leave no tombstone.
	noRefusalRecord bool
	// noMonotoneVersion: placements are applied whatever their version.
	noMonotoneVersion bool
	// noHandoverBeforeLeave: a leaving node hands over nothing.
	noHandoverBeforeLeave bool
	// noHandoverToJoined: a node that enters a chain receives no records.
	noHandoverToJoined bool
	// noUnverifiedAfterPause: a node still considers its view verified after a pause.
	noUnverifiedAfterPause bool
	// noLastServiceCheck: the service of the back end is not checked again before forwarding.
	noLastServiceCheck bool
	// noRecordsInHistory: records in buckets with history expire like other records.
	noRecordsInHistory bool
	// noOpeningThroughChain: the ingress itself forwards openings in buckets without motion and
	// history.
	noOpeningThroughChain bool
	// noDropAfterPause: packets that waited in a socket during a pause are handled like other
	// packets.
	noDropAfterPause bool
	// noDropOfReturn: the head accepts any returned answer.
	noDropOfReturn bool
	// noCleanOnlyConfirmed: a guessed record that no tail has confirmed leaves its bucket clean.
	noCleanOnlyConfirmed bool
	// noCleanWait: a bucket may be reported clean as soon as its history has been applied.
	noCleanWait bool
	// noLateOpeningRefused: an unanswered opening goes to a draining back end however late it is.
	noLateOpeningRefused bool
	// noVouchOnlyComplete: a node vouches for its knowledge of openings while other nodes are
	// missing.
	noVouchOnlyComplete bool
}
