package core

// rules switches single rules of the protocol off, so that tests can show that
// the properties do not hold without them. The zero value has all rules on;
// only tests set any. The names are those of docs/PROOFS.md and of spec/.
type rules struct {
	// noTailRecordWins: the tail takes the head's proposal even where it has a record.
	noTailRecordWins bool
	// noRecordBeforeForward: the tail forwards without recording the proposal.
	noRecordBeforeForward bool
	// noReturnToHead: the tail carries its answer out although the head has another record.
	noReturnToHead bool
	// noVouchBeforeNotRun: every refusal is called NotRun.
	noVouchBeforeNotRun bool
	// noRefusalRecord: refusals leave no tombstone.
	noRefusalRecord bool
	// noMonotoneVersion: placements are adopted whatever their version.
	noMonotoneVersion bool
	// noHandoverBeforeLeave: a leaving node hands over nothing.
	noHandoverBeforeLeave bool
	// noHandoverToJoined: a node that enters a chain is given nothing.
	noHandoverToJoined bool
	// noUnsureAfterPause: a node trusts its view after a pause.
	noUnsureAfterPause bool
	// noLastServiceCheck: the back end is not looked up again before the write.
	noLastServiceCheck bool
	// noRecordsInHistory: records in buckets with history end like others.
	noRecordsInHistory bool
	// noOpeningThroughChain: openings in buckets without motion and history
	// are forwarded by the ingress.
	noOpeningThroughChain bool
	// noDropAfterPause: packets that waited in a socket over a pause are handled like others.
	noDropAfterPause bool
	// noDropOfReturn: the head takes any returned answer.
	noDropOfReturn bool
	// noCleanOnlyConfirmed: a guess that no tail has confirmed counts as clean.
	noCleanOnlyConfirmed bool
	// noCleanWait: a bucket may be reported clean as soon as its history is adopted.
	noCleanWait bool
	// noLateOpeningRefused: an opening without an answer goes to a draining back end however late.
	noLateOpeningRefused bool
	// noVouchOnlyComplete: a node vouches while others are missing.
	noVouchOnlyComplete bool
}
