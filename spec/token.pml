/*
 * token.pml: a flow keeps to its back end by the token that its packets carry.
 *
 * docs/design-platform.md, "Affinity: a token in the packet". Service W has
 * back ends A and, later, B. A drains, its entry goes, it ends, and back end C of
 * service D starts at its address. Nodes have views of different ages, from the
 * store or from each other, and may restart without any. Copies of one opening
 * go through any node at any time; later packets, and packets with a token
 * carried to another front end, too. Nothing that was sent is ever used up:
 * loss, delay, repetition and reordering are unbounded.
 */

#define NODES 2
#define NONE 0
#define A 1
#define B 2
#define C 3

/* The steps of the store. */
#define ONLY_A 1     /* A is ready */
#define B_ADDED 2    /* A and B are ready */
#define A_DRAINS 3   /* A is draining */
#define A_GONE 4     /* A has no entry; it serves on */
#define C_AT_A 5     /* A has ended; C is at its address */

byte step = ONLY_A;
byte view[NODES];    /* the step that each node knows; NONE: no view */
bit knewA[NODES];    /* has known A since it started */
bit sawDrain[NODES]; /* has had a view in which A takes nothing new, since it started */
byte restarts;

bit answeredA; /* A has answered the opening */
bit answeredB;
byte opened;   /* the back end whose answer the caller has acknowledged */

/* check.sh lets a mutant be judged by one property alone. */
#define CHECK_ALL 1
#ifdef ONLY_stays
#undef CHECK_ALL
#define CHECK_stays
#endif
#ifdef ONLY_service
#undef CHECK_ALL
#define CHECK_service
#endif
#ifdef ONLY_no_reset
#undef CHECK_ALL
#define CHECK_no_reset
#endif
#ifdef ONLY_kept
#undef CHECK_ALL
#define CHECK_kept
#endif
#ifdef ONLY_no_late_opening
#undef CHECK_ALL
#define CHECK_no_late_opening
#endif

#if defined(CHECK_ALL) || defined(CHECK_stays)
#define STAYS(condition) assert(condition)
#else
#define STAYS(condition) skip
#endif
#if defined(CHECK_ALL) || defined(CHECK_service)
#define SERVICE(condition) assert(condition)
#else
#define SERVICE(condition) skip
#endif
#if defined(CHECK_ALL) || defined(CHECK_no_reset)
#define NO_RESET(condition) assert(condition)
#else
#define NO_RESET(condition) skip
#endif
#if defined(CHECK_ALL) || defined(CHECK_kept)
#define KEPT(condition) assert(condition)
#else
#define KEPT(condition) skip
#endif
#if defined(CHECK_ALL) || defined(CHECK_no_late_opening)
#define NO_LATE_OPENING(condition) assert(condition)
#else
#define NO_LATE_OPENING(condition) skip
#endif

#define aliveA (step < C_AT_A)
#define readyA(v) (v == ONLY_A || v == B_ADDED)
#define readyB(v) (v >= B_ADDED)

/* What a node knows of A: as long as the entry is there, and, if it has known
 * it, a while longer. Time is abstract: the while lasts until A has ended. */
#ifdef FORGETS_GONE
#define knowsA(n) (view[n] != NONE && view[n] <= A_DRAINS)
#else
#define knowsA(n) (view[n] != NONE && (view[n] <= A_DRAINS || knewA[n]))
#endif
#define knowsB(n) (view[n] >= B_ADDED)

inline adopt(n, seen) {
	view[n] = seen;
	if
	:: seen <= A_DRAINS -> knewA[n] = 1
	:: else -> skip
	fi;
	if
	:: seen >= A_DRAINS -> sawDrain[n] = 1
	:: else -> skip
	fi
}

/* A packet for front end W that names A arrives at A's address. */
inline arriveAtA() {
	if
	:: aliveA -> skip
	:: else ->
#ifdef NO_IDENTITY
		SERVICE(false) /* C takes it */
#else
		skip /* C is not meant and stays silent */
#endif
	fi
}

proctype Store() {
end:
	do
	:: step < C_AT_A -> step++
	od
}

proctype Node(byte n) {
	byte other = 1 - n;
end:
	do
	/* Views: from the store, or from the other node. */
	:: atomic { step > view[n] -> adopt(n, step) }
#ifdef VIEW_GOES_BACK
	:: atomic { view[other] != NONE -> adopt(n, view[other]) }
#else
	:: atomic { view[other] > view[n] -> adopt(n, view[other]); knewA[n] = knewA[n] || knewA[other] }
#endif
	:: atomic { restarts < 2 -> restarts++; view[n] = NONE; knewA[n] = 0; sawDrain[n] = 0 }

	/* A copy of the opening. Any ready back end may be chosen. */
	:: atomic { readyA(view[n]) ->
		NO_LATE_OPENING(!sawDrain[n]);
		arriveAtA();
		if
		:: aliveA -> answeredA = 1
		:: else -> skip
		fi
	}
	:: atomic { view[n] != NONE && readyB(view[n]) -> answeredB = 1 }

	/* A later packet: it carries the token of the flow's back end. */
	:: atomic { opened == A && view[n] != NONE ->
		if
#ifdef TOKEN_IGNORED
		:: readyB(view[n]) -> STAYS(false)
#endif
		:: knowsA(n) -> arriveAtA()
		:: !knowsA(n) ->
			KEPT(!(aliveA && knewA[n]));
#ifdef RESETS_UNKNOWN
			NO_RESET(!aliveA)
#else
			skip /* dropped: the caller sends it again */
#endif
		fi
	}
	:: atomic { opened == B && view[n] != NONE ->
		if
		:: knowsB(n) -> skip
		:: !knowsB(n) ->
#ifdef RESETS_UNKNOWN
			NO_RESET(false)
#else
			skip
#endif
		fi
	}

	/* A packet for front end D with a token given for front end W. */
	:: atomic { answeredA && knowsA(n) ->
#ifdef TOKEN_OF_ANY_FRONTEND
		SERVICE(false) /* A, of service W, gets it */
#else
		skip /* the token names nothing there */
#endif
	}
	od
}

/* The caller acknowledges one answer, and with it opens the flow there. */
proctype Caller() {
	if
	:: atomic { answeredA -> opened = A }
	:: atomic { answeredB -> opened = B }
	fi
}

init {
	atomic {
		run Store();
		run Node(0);
		run Node(1);
		run Caller()
	}
}
