/*
 * move.pml: one bucket moves from back end A to back end B.
 *
 * docs/DESIGN.md, "Placement" and "The chain". One flow of the bucket is
 * followed from its first opening on. Refusals are in refusal.pml, the end of
 * the move (settle, clear) in settle.pml.
 *
 * Versions: CALM = base A, no motion; PREPARED = in motion, new flows still go
 * to A; COMMITTED = new flows go to B.
 *
 * Membership. No step remembers a view: each acting node picks, at each step,
 * a view that the changes under way allow. So views differ between nodes and
 * change back and forth at any moment; wrong suspicion is covered too. A node
 * acts as head only in a view in which it is the head. OVERLAP chooses how the
 * chains, written (head,tail), of two views overlap:
 *   SHIFT: (0,1) with node 0, (1,2) without it;
 *   SAME_TAIL: (0,2) with node 0, (1,2) without it; nodes 0 and 1 share a zone;
 *   SAME_HEAD: (0,1) with node 1, (0,2) without it;
 *   JOIN_THEN_DEATH: (1,2), then node 0 joins: (0,1), then node 1 dies: (0,2).
 *     Nodes learn of the join before the death.
 *
 * With ANY_CHOICE a head without a record chooses either back end: this stands
 * for lagging tables, changing weights, and for an older record of the 5-tuple.
 *
 * Network. A packet that was sent stays in the set of sent packets and may be
 * delivered at any later step, again and again, or never: that is loss,
 * duplication, delay and reordering.
 */

#define SHIFT 0
#define SAME_TAIL 1
#define SAME_HEAD 2
#define JOIN_THEN_DEATH 3

#ifndef OVERLAP
#define OVERLAP SHIFT
#endif

#define NODES 3
#define NONE 0
#define A 1
#define B 2

#define CALM 0
#define PREPARED 1
#define COMMITTED 2
#define SEVERAL 4

/* The node that may die. */
#define mortal (OVERLAP == SAME_HEAD || OVERLAP == JOIN_THEN_DEATH -> 1 : 0)
bit dead;

byte published = CALM;
byte version[NODES];

/* The flow's record at each node. */
byte record[NODES];
byte confirmed[NODES]; /* 1 + the tail that confirmed it; 0: unconfirmed */
byte relayed[NODES];   /* 1 + the only tail that it was relayed to; 0: none; SEVERAL */

/* Sent packets and messages, indexed by receiver and content. */
bit openingToHead[NODES];
bit middleToHead[NODES];
/* to the tail: 9 * known + 3 * receiver + proposal */
bit openingToTail[18];
bit middleToTail[18];
/* to the head: (3 * receiver + back end) * 3 + tail */
bit confirmation[27];
bit returned[27];

/* What the outside sees. */
byte flow = NONE;  /* back end that first got the opening */
bit holdOver;      /* OpeningHold has passed: no copy of the opening exists any more */

/* check.sh lets a mutant be judged by one property alone. */
#ifdef ONLY_middle
#define CHECK_OPENING(condition) skip
#else
#define CHECK_OPENING(condition) assert(condition)
#endif
#ifdef ONLY_opening
#define CHECK_MIDDLE(condition) skip
#else
#define CHECK_MIDDLE(condition) assert(condition)
#endif

#ifdef NO_PREPARE_ACK
#define prepareAcknowledged true
#else
#define prepareAcknowledged \
	((version[0] >= PREPARED || (dead && mortal == 0)) && \
	 (version[1] >= PREPARED || (dead && mortal == 1)) && \
	 version[2] >= PREPARED)
#endif

#define runs(n) (!(dead && mortal == n))

/* The table: where the node's version sends new flows. */
#define current(n) (version[n] == COMMITTED -> B : A)
#define base A

/* A head marks a proposal as known when an earlier tail has confirmed its record. */
#define known(n) (confirmed[n] != 0 -> 1 : 0)

/* No opening reaches two back ends. */
inline forwardOpening(backend) {
	if
	:: flow == NONE -> flow = backend
	:: else
	fi;
	CHECK_OPENING(flow == backend)
}

/* No established flow changes its back end. */
inline forwardMiddle(backend) {
	CHECK_MIDDLE(flow == backend)
}

/* The head of the chain, in a view that the acting node picks. */
inline pickHead(h) {
	if
	:: h = 0
	:: OVERLAP != SAME_HEAD -> h = 1
	fi
}

/* The tail for a node that acts as head: the first after itself in the ranking. */
inline pickTail(h, t) {
	if
	:: OVERLAP == SHIFT -> t = h + 1
	:: OVERLAP == JOIN_THEN_DEATH -> t = h + 1
	:: OVERLAP == JOIN_THEN_DEATH && dead && h == 0 -> t = 2
	:: OVERLAP == SAME_TAIL -> t = 2
	:: OVERLAP == SAME_HEAD -> t = 1
	:: OVERLAP == SAME_HEAD -> t = 2
	fi
}

inline ingress(n) {
	if
	:: !holdOver -> /* opening: always to the head */
		pickHead(h);
		openingToHead[h] = 1
	:: flow != NONE && version[n] == CALM -> /* no motion, no history */
		forwardMiddle(base)
	:: flow != NONE && version[n] != CALM ->
		pickHead(h);
		middleToHead[h] = 1
	fi
}

inline noteRelay(n, t) {
	if
	:: relayed[n] == 0 -> relayed[n] = t + 1
	:: relayed[n] != 0 && relayed[n] != t + 1 -> relayed[n] = SEVERAL
	:: else
	fi
}

inline headOpening(n) {
	if
#ifdef ANY_CHOICE
	:: record[n] == NONE -> record[n] = A
	:: record[n] == NONE -> record[n] = B
#else
	:: record[n] == NONE -> record[n] = current(n)
#endif
#ifdef HEAD_DECIDES_AGAIN
	:: record[n] != NONE -> record[n] = current(n)
#else
	:: record[n] != NONE /* the same opening: propose it again */
#endif
	fi;
	pickTail(n, t);
	noteRelay(n, t);
	openingToTail[9 * known(n) + 3 * t + record[n]] = 1
}

inline headMiddle(n) {
	pickTail(n, t);
	if
	:: record[n] != NONE && confirmed[n] == t + 1 -> /* seen by the present tail */
		forwardMiddle(record[n])
	:: true ->
		if
		:: record[n] == NONE -> record[n] = base; confirmed[n] = 0
		:: else
		fi;
		noteRelay(n, t);
		middleToTail[9 * known(n) + 3 * t + record[n]] = 1
	fi
}

/* To the head that relayed the packet; with an old view there are two such heads. */
#define TO_HEADS(set, n, answer) \
	if \
	:: n == 1 || (n == 2 && (OVERLAP == SAME_TAIL || OVERLAP == SAME_HEAD || OVERLAP == JOIN_THEN_DEATH)) -> \
		set[answer * 3 + n] = 1 \
	:: else \
	fi; \
	if \
	:: n == 2 && OVERLAP != SAME_HEAD -> set[(3 + answer) * 3 + n] = 1 \
	:: else \
	fi

/* The proposal prevails over a record that is only the node's own proposal
 * when an earlier tail has confirmed it. */
#define prevails(n, isKnown) (isKnown && confirmed[n] == 0)

inline tailOpening(n, proposal, isKnown) {
	if
	:: record[n] == NONE || record[n] == proposal || prevails(n, isKnown) ->
#ifdef TAIL_OVERRIDES
		if
		:: record[n] == NONE && version[n] == COMMITTED -> record[n] = B
		:: else -> record[n] = proposal
		fi;
#else
		record[n] = proposal;
#endif
		confirmed[n] = 1 + n;
		forwardOpening(record[n]);
		TO_HEADS(confirmation, n, record[n])
	:: else ->
#ifdef TAIL_FORWARDS
		confirmed[n] = 1 + n;
		forwardOpening(record[n]);
		TO_HEADS(confirmation, n, record[n])
#else
		TO_HEADS(returned, n, record[n])
#endif
	fi
}

/* No other tail can have forwarded what the head proposed. */
#ifdef HEAD_TAKES_ANY_RETURN
#define takesReturned(n, t) true
#else
#define takesReturned(n, t) \
	(record[n] == NONE || (confirmed[n] == 0 && (relayed[n] == 0 || relayed[n] == t + 1)))
#endif

/* The tail returned an opening with its own record: the head takes that record
 * unless its own may have been forwarded by another tail. */
inline headReturned(n, answer, t) {
	if
	:: record[n] == answer ->
		confirmed[n] = t + 1;
		forwardOpening(answer)
	:: record[n] != answer && takesReturned(n, t) ->
		record[n] = answer;
		confirmed[n] = t + 1;
		forwardOpening(answer)
	:: else /* dropped: it may have run elsewhere */
	fi
}

inline tailMiddle(n, proposal, isKnown) {
	if
	:: record[n] == NONE || prevails(n, isKnown) -> record[n] = proposal
#ifdef PROPOSAL_WINS
	:: else -> record[n] = proposal
#else
	:: else /* the tail's record wins */
#endif
	fi;
	confirmed[n] = 1 + n;
	forwardMiddle(record[n]);
	TO_HEADS(confirmation, n, record[n])
}

/* A record ends after OpeningHold when its bucket needs none. */
inline expire(n) {
	record[n] = NONE;
	confirmed[n] = 0;
	relayed[n] = 0
}

proctype Node(byte n) {
	byte h, t, b, answer;
end:
	do
	:: atomic { runs(n) && version[n] < published -> version[n]++; }
	:: atomic { runs(n) -> ingress(n); h = 0; t = 0 }
	:: atomic { runs(n) && openingToHead[n] && !holdOver -> headOpening(n); t = 0 }
	:: atomic { runs(n) && middleToHead[n] -> headMiddle(n); t = 0 }
	:: atomic {
		runs(n) ->
		if
		:: b = A
		:: b = B
		fi;
		if
		:: !holdOver && openingToTail[3 * n + b] -> tailOpening(n, b, false)
		:: !holdOver && openingToTail[9 + 3 * n + b] -> tailOpening(n, b, true)
		:: middleToTail[3 * n + b] -> tailMiddle(n, b, false)
		:: middleToTail[9 + 3 * n + b] -> tailMiddle(n, b, true)
		:: confirmation[(3 * n + b) * 3 + 1] -> record[n] = b; confirmed[n] = 2
		:: confirmation[(3 * n + b) * 3 + 2] -> record[n] = b; confirmed[n] = 3
		:: !holdOver && returned[(3 * n + b) * 3 + 1] -> headReturned(n, b, 1)
		:: !holdOver && returned[(3 * n + b) * 3 + 2] -> headReturned(n, b, 2)
		:: else
		fi;
		b = 0
	   }
	:: atomic { runs(n) && holdOver && version[n] == CALM && record[n] == base -> expire(n) }
	od
}

init {
	atomic {
		run Node(0);
		run Node(1);
		run Node(2)
	};
end:
	do
	:: published == CALM -> published = PREPARED
	:: published == PREPARED && prepareAcknowledged -> published = COMMITTED
	:: !dead -> dead = 1
	:: !holdOver && flow != NONE -> holdOver = 1
	od
}
