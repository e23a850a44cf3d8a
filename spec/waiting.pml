/*
 * waiting.pml: an opening that waits at a node for room.
 *
 * docs/design/waiting.md. A caller sends an opening, and copies of it from
 * FIRST_COPY on, through any node. A node may hold the first copy, looks at it
 * now and then, and may pause at any time for any time; it may end as planned.
 * Copies are never held. Time is abstract: IN_TIME until what is held is due,
 * GRACE until it may be refused no more, LATE when the caller may have sent a
 * copy, after which time stands still. Loss and delay of copies are unbounded.
 * The first copy reaches one node, IN_TIME.
 */

#define NODES 2

#define IN_TIME 0
#define GRACE 1
#define LATE 2

byte time = IN_TIME;
bool sent;            /* the first copy is under way, or has arrived */
bool copies;          /* the caller has sent a copy */
bool forwarded;       /* some copy was forwarded */
bool refused;         /* the caller was told that nothing has run */
bool held[NODES];
bool ended[NODES];
byte holder = NODES;  /* the node that the first copy reached */

/* check.sh lets a mutant be judged by one property alone. */
#define CHECK_ALL 1
#ifdef ONLY_past
#undef CHECK_ALL
#define CHECK_past
#endif
#ifdef ONLY_none_lost
#undef CHECK_ALL
#define CHECK_none_lost
#endif

#if defined(CHECK_ALL) || defined(CHECK_past)
#define PAST(condition) assert(condition)
#else
#define PAST(condition) skip
#endif
#if defined(CHECK_ALL) || defined(CHECK_none_lost)
#define NONE_LOST(condition) assert(condition)
#else
#define NONE_LOST(condition) skip
#endif

inline decide(n) {
	held[n] = false
}

inline refuse() {
	PAST(!forwarded && !copies);
	refused = true
}

/* What a node does with what it holds: the same at a look and at its end. */
inline look(n, last) {
	if
	:: time < LATE -> decide(n); forwarded = true
	:: time < LATE -> decide(n); refuse()
	:: time < GRACE && !last -> skip /* waits on */
#ifdef REFUSES_LATE
	:: time == LATE -> decide(n); refuse()
#else
	:: time == LATE -> decide(n) /* dropped */
#endif
	fi
}

proctype Clock() {
end:
	atomic { sent -> time = GRACE }
	time = LATE;
}

proctype Caller() {
	sent = true;
end:
	atomic { time == LATE && !refused -> copies = true }
}

proctype Node(byte n) {
end:
	do
	/* The first copy. */
	:: atomic { sent && time == IN_TIME && holder == NODES && !ended[n] ->
		holder = n;
		if
		:: forwarded = true
		:: refuse()
		:: held[n] = true
		fi
	}
	/* The network repeats it while it waits. */
	:: atomic { held[n] && time == IN_TIME && !ended[n] ->
#ifdef DECIDES_REPEATS
		forwarded = true
#else
		skip /* it waits with the first */
#endif
	}
	:: atomic { held[n] && !ended[n] -> look(n, false) }
	/* A later copy. */
	:: atomic { copies && !ended[n] ->
		if
		:: held[n] -> decide(n) /* the copy is decided in its place */
		:: else -> skip
		fi;
#ifdef REFUSES_COPIES
		refuse()
#else
		forwarded = true
#endif
	}
	/* The planned end. */
	:: atomic { !ended[n] ->
#ifndef ENDS_HOLDING
		if
		:: held[n] -> look(n, true)
		:: else -> skip
		fi;
#endif
		NONE_LOST(!held[n]);
		ended[n] = true
	}
	od
}

init {
	atomic {
		run Clock();
		run Caller();
		run Node(0);
		run Node(1)
	}
}
