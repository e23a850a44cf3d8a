/*
 * jump.pml: what a node that has listed all entries can tell of what has gone.
 *
 * docs/design-platform.md, "Reading the store". One entry of the store is made and
 * removed, any number of times. Nodes follow its changes by watches, or list, by
 * which they jump over the revisions since their own and never know what was made
 * and removed between; and tell each other what has changed after a revision. A node
 * remembers one span that has all its jumps in it. Deltas are told at once: that
 * late ones do no harm is in view.pml.
 */

#define NODES 3
#define LAST 5 /* revisions */

byte revision = 0;     /* of the store */
byte made[LAST + 1];   /* by revision: at which the entry that is there was made; 0: none is there */

byte known[NODES];     /* the revision of the node's view; 0: it has none */
byte has[NODES];       /* the revision at which the entry that it knows was made; 0: none */
byte gone[NODES];      /* the revision of the last removal that it knows */
byte jumpFrom[NODES];
byte jumpTo[NODES];    /* 0: it has followed every change */

/* check holds after each step of a node: its view is the store's as of its revision. */
#define check(n) assert(has[n] == made[known[n]])

/* jumped notes that a node knows nothing of the revisions between two. */
inline jumped(n, earlier, later) {
	if
	:: later <= earlier + 1 -> skip
	:: else ->
		if
		:: jumpTo[n] == 0 || earlier < jumpFrom[n] -> jumpFrom[n] = earlier
		:: else -> skip
		fi;
		if
		:: later > jumpTo[n] -> jumpTo[n] = later
		:: else -> skip
		fi
	fi
}

/* lacks notes that the entry which the node knows is there no more. */
inline lacks(n, at) {
	has[n] = 0;
	gone[n] = at
}

/* learn takes what another node tells of what has changed after the node's revision. */
inline learn(n, other) {
	base = known[n];
#ifndef TELLS_FROM_WITHIN
	if
	:: jumpFrom[other] < base && base < jumpTo[other] -> base = jumpFrom[other]
	:: else -> skip
	fi;
#endif
	if
	:: has[other] > base -> has[n] = has[other]
	:: has[other] <= base && gone[other] > base -> lacks(n, gone[other])
#ifndef KEEPS_WHAT_IS_NOT_TOLD
	:: has[other] <= base && gone[other] <= base && has[n] > base -> lacks(n, known[other])
#endif
	:: else -> skip
	fi;
#ifndef JUMPS_ARE_NOT_TOLD
	if
	:: jumpTo[other] > base -> jumped(n, jumpFrom[other], jumpTo[other])
	:: else -> skip
	fi;
#endif
	known[n] = known[other];
	check(n);
	base = 0
}

proctype Store() {
end:
	do
	:: atomic { revision < LAST -> revision++;
		if
		:: made[revision] = made[revision - 1] /* it concerns another entry */
		:: made[revision - 1] != 0 -> made[revision] = 0
		:: made[revision - 1] == 0 -> made[revision] = revision
		fi }
	od
}

proctype Node(byte n) {
	byte step;
	byte base;
end:
	do
	/* A watch: each change since its revision. */
	:: atomic { known[n] > 0 && known[n] < revision ->
		step = known[n];
		do
		:: step < revision -> step++;
			if
			:: made[step] == has[n] -> skip
			:: made[step] == 0 -> lacks(n, step)
			:: else -> has[n] = made[step]
			fi
		:: else -> break
		od;
		known[n] = revision;
		check(n); step = 0 }

	/* A listing. */
	:: atomic { known[n] < revision ->
		if
		:: made[revision] == has[n] -> skip
		:: made[revision] == 0 -> lacks(n, revision)
		:: else -> has[n] = made[revision]
		fi;
		jumped(n, known[n], revision);
		known[n] = revision;
		check(n) }

	/* What has changed after its revision, from another node. */
	:: atomic { known[(n + 1) % NODES] > known[n] -> learn(n, (n + 1) % NODES) }
	:: atomic { known[(n + 2) % NODES] > known[n] -> learn(n, (n + 2) % NODES) }
	od
}

init {
	atomic {
		run Store();
		run Node(0);
		run Node(1);
		run Node(2)
	}
}
