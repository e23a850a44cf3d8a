/*
 * view.pml: what a node may take for the newest view.
 *
 * docs/design-platform.md, "Reading the store". The store's revision rises with
 * each change of one of two entries, and with writes that concern no view. Nodes
 * start from a listing of two pages, each of any age, or from a snapshot that a
 * node has left; go on by watches, as long as the store has the history, or by
 * another listing; and tell each other: digests and deltas of any age, any
 * number of times. A node's view is what it knows of both entries, the revision up to
 * which it claims to know everything, and the revision at which that was known
 * to be the newest.
 */

#define NODES 2
#define LAST 3       /* revisions */
#define STARTS 3     /* of all nodes */
#define UNKNOWN 255

byte revision = 0;   /* of the store */
byte history = 0;    /* the store has the changes after this revision */
byte entry[2];       /* the revision of the last change of each entry */

/* lastChange(e, r): the last change of entry e up to revision r. */
byte changed[LAST + 1]; /* which entry: 0, 1, or 2 for neither */

byte starts;
bit started[NODES];
byte knows0[NODES];  /* the change of entry 0 that the node knows */
byte knows1[NODES];
byte known[NODES];   /* the revision that the node claims */
byte vouched[NODES]; /* the revision at which its view was the newest; UNKNOWN: nobody has said */
byte news[NODES];    /* a digest holds for views from this revision on */

/* The snapshot that was left in the store; UNKNOWN: none. */
byte left = UNKNOWN;
byte left0;
byte left1;

#define CHECK_ALL 1
#ifdef ONLY_complete
#undef CHECK_ALL
#define CHECK_complete
#endif
#ifdef ONLY_newest
#undef CHECK_ALL
#define CHECK_newest
#endif
#ifdef ONLY_no_return
#undef CHECK_ALL
#define CHECK_no_return
#endif

#if defined(CHECK_ALL) || defined(CHECK_complete)
#define COMPLETE(condition) assert(condition)
#else
#define COMPLETE(condition) skip
#endif
#if defined(CHECK_ALL) || defined(CHECK_newest)
#define NEWEST(condition) assert(condition)
#else
#define NEWEST(condition) skip
#endif
#if defined(CHECK_ALL) || defined(CHECK_no_return)
#define NO_RETURN(condition) assert(condition)
#else
#define NO_RETURN(condition) skip
#endif

/* raise raises a value to another one. */
inline raise(value, to) {
	if
	:: to > value -> value = to
	:: else -> skip
	fi
}

/* lastChange finds the last change of an entry up to a revision. */
inline lastChange(e, upTo, result) {
	result = 0;
	step = 1;
	do
	:: step <= upTo ->
		if
		:: changed[step] == e -> result = step
		:: else -> skip
		fi;
		step++
	:: else -> break
	od
}

/* check holds after each step of a node. */
inline check(n) {
	lastChange(0, known[n], found);
	COMPLETE(knows0[n] >= found);
	lastChange(1, known[n], found);
	COMPLETE(knows1[n] >= found);
	if
	:: vouched[n] != UNKNOWN ->
		lastChange(0, vouched[n], found);
		NEWEST(knows0[n] >= found);
		lastChange(1, vouched[n], found);
		NEWEST(knows1[n] >= found)
	:: else -> skip
	fi;
	found = 0
}

/* adopt takes a view that is newer than the node's own. */
inline adopt(n, entry0, entry1, upTo) {
	NO_RETURN(entry0 >= knows0[n] && entry1 >= knows1[n]);
	knows0[n] = entry0;
	knows1[n] = entry1;
	known[n] = upTo
}

inline vouch(n, at) {
	if
	:: vouched[n] == UNKNOWN || at > vouched[n] -> vouched[n] = at
	:: else -> skip
	fi
}

proctype Store() {
end:
	do
	:: atomic { revision < LAST -> revision++;
		if
		:: changed[revision] = 0
		:: changed[revision] = 1
		:: changed[revision] = 2
		fi }
	:: atomic { history < revision -> history = revision }
	od
}

proctype Node(byte n) {
	byte other = 1 - n;
	byte step;
	byte found;
	byte page0;
	byte page1;
	byte first;
	byte second;
end:
	do
	/* The node starts, or starts again, from a listing whose pages are of any age. */
	:: atomic { starts < STARTS -> starts++;
		select(page0 : 0 .. LAST); page0 <= revision ->
		select(page1 : 0 .. LAST); page1 <= revision ->
		lastChange(0, page0, first);
		lastChange(1, page1, second);
		started[n] = 1;
		knows0[n] = first;
		knows1[n] = second;
#ifdef FIRST_PAGE_COUNTS
		known[n] = page0;
#else
		if
		:: page0 < page1 -> known[n] = page0
		:: else -> known[n] = page1
		fi;
#endif
		news[n] = known[n];
#ifdef STALE_VOUCHES
		vouched[n] = revision;
#else
		vouched[n] = UNKNOWN;
#endif
		check(n); page0 = 0; page1 = 0; first = 0; second = 0; step = 0 }

	/* It starts from a snapshot. */
	:: atomic { left != UNKNOWN && starts < STARTS -> starts++; started[n] = 1;
		knows0[n] = left0; knows1[n] = left1; known[n] = left; news[n] = left;
#ifdef SNAPSHOT_VOUCHES
		vouched[n] = revision;
#else
		vouched[n] = UNKNOWN;
#endif
		check(n); step = 0 }

	/* It leaves one. */
	:: atomic { started[n] && vouched[n] != UNKNOWN && (left == UNKNOWN || left < known[n]) ->
		left = known[n]; left0 = knows0[n]; left1 = knows1[n] }

	/* A watch from its revision. */
#ifdef WATCHES_PAST_HISTORY
	:: atomic { started[n] && known[n] < history ->
		/* What changed up to the end of the history is not told. */
		lastChange(0, revision, first);
		lastChange(1, revision, second);
		if
		:: first <= history -> first = knows0[n]
		:: else -> skip
		fi;
		if
		:: second <= history -> second = knows1[n]
		:: else -> skip
		fi;
		adopt(n, first, second, revision);
		check(n); first = 0; second = 0; step = 0 }
#endif
	:: atomic { started[n] && known[n] >= history ->
		lastChange(0, revision, first);
		lastChange(1, revision, second);
		raise(news[n], first);
		raise(news[n], second);
		raise(first, knows0[n]);
		raise(second, knows1[n]);
		adopt(n, first, second, revision);
		vouch(n, revision); check(n); first = 0; second = 0; step = 0 }

	/* The history is gone: a listing of newest pages, read one after the other. */
	:: atomic { started[n] && known[n] < history -> page0 = revision; lastChange(0, revision, first); step = 0 };
		atomic { lastChange(1, revision, second);
		if
		:: page0 >= known[n] ->
			raise(first, knows0[n]);
			raise(second, knows1[n]);
			adopt(n, first, second, page0);
			news[n] = page0;
#ifdef LISTING_VOUCHES_AT_ITS_END
			vouch(n, revision);
#else
			vouch(n, page0);
#endif
			check(n)
		:: else -> skip
		fi;
		page0 = 0; first = 0; second = 0; step = 0 }

	/* A digest of the other node: it has nothing that this view lacks. */
#ifdef DIGEST_WITHOUT_NEWS
	:: atomic { started[n] && started[other] && known[other] >= known[n] ->
#else
	:: atomic { started[n] && started[other] && known[other] >= known[n] && news[other] <= known[n] ->
#endif
		known[n] = known[other];
#ifdef ALL_VOUCH
		vouch(n, revision);
#else
		if
		:: vouched[other] != UNKNOWN -> vouch(n, vouched[other])
		:: else -> skip
		fi;
#endif
		check(n); step = 0 }

	/* The whole view, or what changed, from the other node. */
	:: atomic { started[n] && started[other] && known[other] > known[n] ->
		first = knows0[other];
		second = knows1[other];
		raise(first, knows0[n]);
		raise(second, knows1[n]);
		adopt(n, first, second, known[other]);
		raise(news[n], news[other]);
		if
		:: vouched[other] != UNKNOWN -> vouch(n, vouched[other])
		:: else -> skip
		fi;
		check(n); first = 0; second = 0; step = 0 }
	od
}

init {
	atomic {
		vouched[0] = UNKNOWN;
		vouched[1] = UNKNOWN;
		changed[0] = 2;
		run Store();
		run Node(0);
		run Node(1)
	}
}
