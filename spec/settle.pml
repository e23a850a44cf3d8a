/*
 * settle.pml: the end of a move of one bucket from A to B.
 *
 * docs/DESIGN.md, "Placement" (settle, clear) and "The chain". One flow is
 * followed that was opened on A before the move; it has no record at first.
 * Versions: COMMITTED (base A, in motion), SETTLED (base B, the bucket has its
 * History bit), CLEARED (base B, no history: an ingress forwards to the base).
 *
 * Time is abstract. A flow that lives has a packet forwarded within every
 * IdleTimeout; what may happen only after IdleTimeout is guarded by just that:
 *   settle: the flow has ended, or has passed its chain since the commit;
 *   clean:  the head has held the settled version, as head in its own view, so
 *           long that the flow has ended or passed it, and that it has learned
 *           of every node that joined before.
 *
 * Node 0 joins at any time: first some views have it (UNEVEN), in the end all
 * (EVEN). Chains and network are as in move.pml: SHIFT and SAME_TAIL have
 * (1,2) and then (0,1) or (0,2); with SAME_HEAD the head 0 stays and node 1 joins
 * as tail, the chain (0,2) becomes (0,1).
 */

#define SHIFT 0
#define SAME_TAIL 1
#define SAME_HEAD 2

#ifndef OVERLAP
#define OVERLAP SHIFT
#endif

#define NODES 3
#define NONE 0
#define A 1
#define B 2

#define COMMITTED 0
#define SETTLED 1
#define CLEARED 2

mtype = { BEFORE, UNEVEN, EVEN };
mtype views = BEFORE;

byte published = COMMITTED;
byte version[NODES];
byte record[NODES];
bit confirmed[NODES]; /* a tail has confirmed the record */
bit held[NODES];     /* head in its own view, with the settled version, long enough */

bit alive = 1;  /* the flow */
bit passed;     /* one of its packets has passed the chain since the commit */

bit toHead[NODES];
bit toTail[9];  /* index 3 * tail + proposal */
bit confirmation[9]; /* index 3 * head + record */
bit clean[3];   /* Clean reports, by the version that they name */

#define base(n) (version[n] == COMMITTED -> A : B)
#define joiner (OVERLAP == SAME_HEAD -> 1 : 0)
#define member(n) (n != joiner || views != BEFORE)

/* Node n is head in a view that is about. */
#define heads(n) ( \
	(n == 0 && (OVERLAP == SAME_HEAD || views != BEFORE)) || \
	(n == 1 && OVERLAP != SAME_HEAD && views != EVEN))

/* No flow on A is sent to B. */
inline forward(backend) {
	assert(!alive || backend == A);
	passed = 1
}

inline pickHead(h) {
	if
	:: heads(0) -> h = 0
	:: heads(1) -> h = 1
	fi
}

inline pickTail(h, t) {
	if
	:: OVERLAP == SHIFT -> t = h + 1
	:: OVERLAP == SAME_TAIL -> t = 2
	:: OVERLAP == SAME_HEAD && views != BEFORE -> t = 1
	:: OVERLAP == SAME_HEAD && views != EVEN -> t = 2
	fi
}

/* When a head may report the bucket clean, if it knows of no flow away from the base. */
#ifdef CLEAN_WITHOUT_WAIT
#define mayReport(n) (n != joiner)
#else
#ifdef CLEAN_WHEN_JOINED
#define mayReport(n) (held[n] || n == joiner)
#else
#define mayReport(n) held[n]
#endif
#endif

/* The head knows of no flow away from the base. A record of its own making does not count. */
#ifdef CLEAN_WITH_UNCONFIRMED
#define noneAway(n) (record[n] == NONE || record[n] == base(n))
#else
#define noneAway(n) (record[n] == NONE || (record[n] == base(n) && confirmed[n]))
#endif

#ifdef SETTLE_AT_ONCE
#define maySettle true
#else
#define maySettle (!alive || passed)
#endif

proctype Node(byte n) {
	byte h, t, b;
end:
	do
	:: atomic { member(n) && version[n] < published -> version[n]++ }
	:: atomic { /* ingress */
		member(n) && alive ->
		if
		:: version[n] == CLEARED -> forward(base(n))
		:: version[n] != CLEARED -> pickHead(h); toHead[h] = 1
		fi;
		h = 0
	   }
	:: atomic { /* head */
		alive && toHead[n] && heads(n) ->
		if
		:: record[n] == NONE -> record[n] = base(n)
		:: else
		fi;
		pickTail(n, t);
		toTail[3 * t + record[n]] = 1;
		t = 0
	   }
	:: atomic { /* tail, and a confirmation at the head */
		alive ->
		if
		:: b = A
		:: b = B
		fi;
		if
		:: toTail[3 * n + b] ->
			if
			:: record[n] == NONE -> record[n] = b
			:: else /* the tail's record wins */
			fi;
			confirmed[n] = 1;
			forward(record[n]);
			confirmation[record[n]] = 1;
			confirmation[3 + record[n]] = 1
		:: confirmation[3 * n + b] && member(n) -> record[n] = b; confirmed[n] = 1
		:: else
		fi;
		b = 0
	   }
	:: atomic { /* IdleTimeout has passed with this node as head at the settled version */
		version[n] == SETTLED && heads(n) && views != UNEVEN && (!alive || record[n] != NONE) ->
		held[n] = 1
	   }
	:: atomic {
		heads(n) && mayReport(n) && noneAway(n) ->
		clean[version[n]] = 1
	   }
	/* A record ends only when its flow has. */
	:: atomic { !alive && record[n] != NONE -> record[n] = NONE; confirmed[n] = 0 }
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
	:: alive -> alive = 0
	:: views == BEFORE -> views = UNEVEN
	:: views == UNEVEN -> views = EVEN
	:: atomic { published == COMMITTED && maySettle -> published = SETTLED }
	:: atomic { published == SETTLED && clean[SETTLED] -> published = CLEARED }
	od
}
