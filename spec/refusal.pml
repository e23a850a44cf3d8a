/*
 * refusal.pml: an opening that is refused as NotRun never ran and never will.
 *
 * docs/DESIGN.md, "The chain" (admission, refusal, vouch). One opening and its
 * copies. The head without a record admits it or refuses it, as its limiter
 * happens to say. Views, network and OVERLAP are as in move.pml; besides:
 *   GROWTH: node 2 is alone; then nodes 0 and 1 join, and the chain is (0,1).
 *
 * Node n vouches when it has been in its chain for OpeningHold
 * without interruption. A node that joined while copies of the opening may be
 * about does not vouch, nor does one that has entered the chain since.
 *
 * After OpeningHold no copy is about any more: a node that wakes after a pause
 * drops the packets that waited in its queue, as it cannot tell their age.
 */

#define SHIFT 0
#define SAME_TAIL 1
#define SAME_HEAD 2
#define JOIN_THEN_DEATH 3
#define GROWTH 4

#ifndef OVERLAP
#define OVERLAP SHIFT
#endif

#define NODES 3
#define NONE 0
#define RUN 1     /* the back end of the opening */
#define REFUSED 2
#define SEVERAL 4

/* The node that may die. */
#define mortal (OVERLAP == SAME_HEAD || OVERLAP == JOIN_THEN_DEATH -> 1 : 0)
bit dead;
bit joined;   /* GROWTH: nodes 0 and 1 are members */
bit newcomer; /* the node whose membership is uneven joined lately */

byte record[NODES];
byte confirmed[NODES]; /* 1 + the tail that confirmed it; 0: unconfirmed */
byte relayed[NODES];   /* 1 + the only tail that it was relayed to; 0: none; SEVERAL */

bit openingToHead[NODES];
/* index: known, vouched, tail, proposal */
bit openingToTail[36];
/* index: head, record, tail */
bit returned[27];
bit confirmation[27];

bit holdOver; /* OpeningHold has passed since the last copy was sent: records end */

bit forwarded;   /* a copy was forwarded */
bit notRunGiven; /* a copy was refused as NotRun */

#define runs(n) (!(dead && mortal == n) && (OVERLAP != GROWTH || joined || n == 2))

#ifdef VOUCH_ALWAYS
#define always 1
#else
#define always 0
#endif

/* Sets `vouched` when the node, with this head, vouches. */
inline vouch(member, head) {
	if
	:: always -> vouched = 1
	:: OVERLAP == SHIFT && (member == 1 || (member == 0 && !newcomer) || (member == 2 && newcomer)) -> vouched = 1
	:: OVERLAP == SAME_TAIL && (member == 2 || (member == 0 && !newcomer) || (member == 1 && newcomer)) -> vouched = 1
	:: OVERLAP == SAME_HEAD && (member == 0 || (member == 1 && !newcomer) || (member == 2 && newcomer)) -> vouched = 1
	:: OVERLAP == JOIN_THEN_DEATH && (member == 1 || (member == 2 && head == 1)) -> vouched = 1
	:: OVERLAP == GROWTH && member == 2 && !joined -> vouched = 1
	:: else
	fi
}

/* check.sh lets a mutant be judged by one property alone. */
#ifdef ONLY_future
#define CHECK_PAST(condition) skip
#else
#define CHECK_PAST(condition) assert(condition)
#endif
#ifdef ONLY_past
#define CHECK_FUTURE(condition) skip
#else
#define CHECK_FUTURE(condition) assert(condition)
#endif

/* future: no copy is forwarded after a NotRun. */
inline forward() {
	CHECK_FUTURE(!notRunGiven);
	forwarded = 1
}

/* past: no copy was forwarded before a NotRun. */
inline refuse() {
	if
	:: vouched ->
		CHECK_PAST(!forwarded);
		notRunGiven = 1
	:: else /* MayHaveRun */
	fi
}

inline pickHead(h) {
	if
	:: OVERLAP == GROWTH && !joined -> h = 2
	:: OVERLAP != GROWTH || joined -> h = 0
	:: OVERLAP != GROWTH && OVERLAP != SAME_HEAD -> h = 1
	fi
}

inline pickTail(h, t) {
	if
	:: OVERLAP == SHIFT || OVERLAP == GROWTH || OVERLAP == JOIN_THEN_DEATH -> t = h + 1
	:: OVERLAP == JOIN_THEN_DEATH && dead && h == 0 -> t = 2
	:: OVERLAP == SAME_TAIL -> t = 2
	:: OVERLAP == SAME_HEAD -> t = 1
	:: OVERLAP == SAME_HEAD -> t = 2
	fi
}

/* Node 0 may have been paused with a copy in its queue. */
#ifdef KEEPS_QUEUE_OVER_PAUSE
#define copiesAbout(n) (!holdOver || n == 0)
#define KEPT 1
#else
#define copiesAbout(n) (!holdOver)
#define KEPT 0
#endif

#define known(n) (confirmed[n] != 0 -> 1 : 0)

inline noteRelay(n, t) {
	if
	:: relayed[n] == 0 -> relayed[n] = t + 1
	:: relayed[n] != 0 && relayed[n] != t + 1 -> relayed[n] = SEVERAL
	:: else
	fi
}

inline keep(n, value) {
#ifdef NO_TOMBSTONE
	if
	:: value != REFUSED -> record[n] = value
	:: else
	fi
#else
	record[n] = value
#endif
}

/* Carries out what both head and tail have recorded. */
inline carryOut(value) {
	if
	:: value == RUN -> forward()
	:: value == REFUSED -> refuse()
	fi
}

inline headOpening(n) {
	choice = record[n];
	if
	:: choice == NONE -> choice = RUN
	:: choice == NONE -> choice = REFUSED
	:: choice != NONE
	fi;
	keep(n, choice);
	if
	:: OVERLAP == GROWTH && n == 2 -> /* no tail alive: the head decides alone */
		vouch(n, n);
		carryOut(choice)
#ifdef HEAD_REFUSES_ALONE
	:: choice == REFUSED ->
		vouch(n, n);
		refuse()
#endif
	:: !(OVERLAP == GROWTH && n == 2) ->
		pickTail(n, t);
		noteRelay(n, t);
		vouch(n, n);
		openingToTail[((known(n) * 2 + vouched) * 3 + t) * 3 + choice] = 1
	fi
}

#define TO_HEADS(set, n, answer) \
	if \
	:: n == 1 || (n == 2 && (OVERLAP == SAME_TAIL || OVERLAP == SAME_HEAD || OVERLAP == JOIN_THEN_DEATH)) -> \
		set[answer * 3 + n] = 1 \
	:: else \
	fi; \
	if \
	:: n == 2 && OVERLAP != SAME_HEAD && OVERLAP != GROWTH -> set[(3 + answer) * 3 + n] = 1 \
	:: else \
	fi

/* The head of a tail, as far as vouching needs it. */
#define headOf(n) (OVERLAP == JOIN_THEN_DEATH && n == 2 && !dead -> 1 : 0)

inline tailOpening(n, proposal, isKnown) {
	vouch(n, headOf(n));
	if
	:: record[n] == NONE || record[n] == proposal || (isKnown && confirmed[n] == 0) ->
		keep(n, proposal);
		confirmed[n] = 1 + n;
		carryOut(proposal);
		TO_HEADS(confirmation, n, proposal)
	:: else ->
#ifdef TAIL_ANSWERS_BY_RECORD
		confirmed[n] = 1 + n;
		carryOut(record[n]);
		TO_HEADS(confirmation, n, record[n])
#else
		TO_HEADS(returned, n, record[n])
#endif
	fi
}

inline headReturned(n, answer, t) {
	if
	:: record[n] == NONE || record[n] == answer ||
	   (confirmed[n] == 0 && (relayed[n] == 0 || relayed[n] == t + 1)) ->
		keep(n, answer);
		confirmed[n] = t + 1;
		vouched = 1; /* as far as the tail vouches; taken to be always */
		carryOut(answer)
	:: else /* dropped: it may have run elsewhere */
	fi
}

proctype Node(byte n) {
	byte h, t, v, choice;
	bit vouched;
end:
	do
	:: atomic { runs(n) && !holdOver -> pickHead(h); openingToHead[h] = 1; h = 0 }
	:: atomic {
		runs(n) && openingToHead[n] && copiesAbout(n) ->
		if
		:: OVERLAP == GROWTH && n == 2 && joined -> openingToHead[0] = 1 /* not the head: passes it on */
		:: else -> headOpening(n)
		fi;
		t = 0;
		choice = 0;
		vouched = 0
	   }
	:: atomic {
		runs(n) && (!holdOver || KEPT) ->
		if
		:: v = RUN
		:: v = REFUSED
		fi;
		if
		:: openingToTail[(0 + n) * 3 + v] -> tailOpening(n, v, false)
		:: openingToTail[(3 + n) * 3 + v] -> vouched = 1; tailOpening(n, v, false)
		:: openingToTail[(6 + n) * 3 + v] -> tailOpening(n, v, true)
		:: openingToTail[(9 + n) * 3 + v] -> vouched = 1; tailOpening(n, v, true)
		:: confirmation[(3 * n + v) * 3 + 1] -> keep(n, v); confirmed[n] = 2
		:: confirmation[(3 * n + v) * 3 + 2] -> keep(n, v); confirmed[n] = 3
		:: returned[(3 * n + v) * 3 + 1] -> headReturned(n, v, 1)
		:: returned[(3 * n + v) * 3 + 2] -> headReturned(n, v, 2)
		:: else
		fi;
		v = 0;
		vouched = 0
	   }
	od
}

/* The copies relayed to tails are gone as well. */
#define FORGET(group) \
	openingToTail[(group) * 3 + 1] = 0; openingToTail[(group) * 3 + 2] = 0; \
	openingToTail[(group) * 3 + 4] = 0; openingToTail[(group) * 3 + 5] = 0; \
	openingToTail[(group) * 3 + 7] = 0; openingToTail[(group) * 3 + 8] = 0

init {
	atomic {
		if
		:: newcomer = 1
		:: newcomer = 0
		fi;
		run Node(0);
		run Node(1);
		run Node(2)
	};
end:
	do
	:: !dead && OVERLAP != GROWTH -> dead = 1
	:: d_step {
		!holdOver -> holdOver = 1;
		record[0] = NONE; record[1] = NONE; record[2] = NONE;
		confirmed[0] = 0; confirmed[1] = 0; confirmed[2] = 0;
		relayed[0] = 0; relayed[1] = 0; relayed[2] = 0;
		FORGET(0); FORGET(3); FORGET(6); FORGET(9)
	   }
	:: atomic {
		OVERLAP == GROWTH && !joined -> joined = 1;
#ifndef ONLY_past
		/* the records of the old chain are handed over before the new one acts */
		record[0] = record[2];
#endif
	   }
	od
}
