/*
 * leave.pml: a planned stop hands over every record before the end.
 *
 * docs/DESIGN.md, "Planned stop". The bucket's chain is (0,1). Node 0 leaves by
 * plan, then the chain is (1,2). One of nodes 1 and 2 may die at any time. A
 * forwarded flow that no node of the chain has a record of is lost: its packets
 * would go to the base back end.
 *
 * Flow 0 was opened long before and is idle all the while: none of its packets
 * refreshes a record. Whether tail 1 has its record is open (1 may have joined
 * the chain since). Flow 1 is opened at any time, through nodes that know of the
 * leave or do not.
 *
 * Records messages carry a set of flows (bit f: flow f). They and their
 * acknowledgements may be lost, repeated and reordered: a message that was sent
 * may be delivered at any later step, again and again, or never. To send again
 * until acknowledged is to leave it in the set of sent messages.
 */

#define NODES 3
#define FLOW1 2 /* flow 1 as a set */

byte records[NODES]; /* the set of flows that each node has a record of */
byte confirmed;      /* those of node 0 that its tail has confirmed */
byte forwarded;      /* the set of flows that were forwarded */

bit leaving; /* node 0 has announced its leave */
bit quiet;   /* the fabric and all peers have stopped sending packets to node 0 */
bit ended;   /* node 0 has ended */
byte mortal; /* the node that may die: 1 or 2 */
bit dead;

bit openingToHead[NODES]; /* copies of flow 1's opening, by receiver */
bit openingToTail[NODES];
bit confirmation; /* of flow 1, tail 1 to head 0 */

bit handover[12];     /* index 4 * receiver + set */
bit acknowledged[12];
byte known[NODES]; /* what node 0 takes each receiver to have */

#define alive(n) (!(dead && mortal == n))

/* check.sh lets a mutant be judged by one property alone. */
#ifdef ONLY_no_packet_cut
#define CHECK_NO_RECORD_LOST(condition) skip
#else
#define CHECK_NO_RECORD_LOST(condition) assert(condition)
#endif
#ifdef ONLY_no_record_lost
#define CHECK_NO_PACKET_CUT(condition) skip
#else
#define CHECK_NO_PACKET_CUT(condition) assert(condition)
#endif

/* The records that node 0 hands over: all of them, confirmed or not. */
#ifdef ONLY_CONFIRMED_HANDED_OVER
#define owed (records[0] & confirmed)
#else
#define owed records[0]
#endif

#define has(n) ((owed & known[n]) == owed)

/* Every live node of the present chain has acknowledged every record. */
#ifdef HANDED_TO_HEAD_ONLY
#define allHandedOver (has(1) || !alive(1))
#else
#define allHandedOver ((has(1) || !alive(1)) && (has(2) || !alive(2)))
#endif

#ifdef ENDS_BEFORE_QUIET
#define mayEnd (leaving && allHandedOver)
#else
#define mayEnd (leaving && quiet && allHandedOver)
#endif

proctype Leaver() {
	byte to, set;
end:
	do
	:: atomic { /* an opening as head, while not leaving */
		openingToHead[0] && !ended ->
		if
		:: !leaving ->
			records[0] = records[0] | FLOW1;
			openingToTail[1] = 1
		:: leaving -> openingToHead[1] = 1 /* not the head: passes it on */
		fi
	   }
	:: atomic { confirmation && !ended -> confirmed = confirmed | FLOW1 }
	:: atomic { !leaving -> leaving = 1 }
	:: atomic { /* hands over, to each node of the present chain */
		leaving && !ended ->
		if
		:: to = 1
#ifndef HANDED_TO_HEAD_ONLY
		:: to = 2
#endif
		fi;
		handover[4 * to + owed] = 1;
#ifdef ENDS_BEFORE_ACKNOWLEDGED
		known[to] = known[to] | owed;
#endif
		to = 0
	   }
	:: atomic { /* an acknowledgement */
		leaving && !ended ->
		if
		:: to = 1
		:: to = 2
		fi;
		if
		:: set = 1
		:: set = 2
		:: set = 3
		fi;
		if
		:: acknowledged[4 * to + set] -> known[to] = known[to] | set
		:: else
		fi;
		to = 0;
		set = 0
	   }
	:: atomic { mayEnd && !ended -> ended = 1 }
	od
}

proctype Node(byte n) {
	byte set;
end:
	do
	/* Ingress, by a view that knows of the leave, or by one that doesn't. */
	:: atomic { alive(n) -> openingToHead[1] = 1 }
	:: atomic {
		alive(n) && !quiet ->
		CHECK_NO_PACKET_CUT(!ended);
		openingToHead[0] = 1
	   }
	/* Head, in a view that knows of the leave. */
	:: atomic {
		n == 1 && alive(n) && openingToHead[1] ->
		records[1] = records[1] | FLOW1;
		if
		:: openingToTail[2] = 1
		:: !alive(2) -> forwarded = forwarded | FLOW1 /* no tail alive */
		fi
	   }
	:: atomic { /* a lone head, after node 1 has died */
		n == 2 && !alive(1) ->
		records[2] = records[2] | FLOW1;
		forwarded = forwarded | FLOW1
	   }
	:: atomic { /* tail: records, then forwards */
		alive(n) && openingToTail[n] ->
		records[n] = records[n] | FLOW1;
		forwarded = forwarded | FLOW1;
		if
		:: n == 1 -> confirmation = 1
		:: else
		fi
	   }
	:: atomic {
		alive(n) ->
		if
		:: set = 1
		:: set = 2
		:: set = 3
		fi;
		if
		:: handover[4 * n + set] ->
			records[n] = records[n] | set;
			acknowledged[4 * n + set] = 1
		:: else
		fi;
		set = 0
	   }
	od
}

/* Once node 0 has ended, the rest of the chain has every forwarded flow's
 * record, also when one of the two has died. */
#define inChain \
	((alive(1) -> records[1] : 0) | (alive(2) -> records[2] : 0))

proctype Monitor() {
end:
	atomic { ended && (forwarded & inChain) != forwarded -> CHECK_NO_RECORD_LOST(false) }
}

init {
	atomic {
		records[0] = 1;
		confirmed = 1;
		forwarded = 1;
		if
		:: records[1] = 1
		:: records[1] = 0
		fi;
		if
		:: mortal = 1
		:: mortal = 2
		fi;
		run Leaver();
		run Node(1);
		run Node(2);
		run Monitor()
	};
end:
	do
	:: leaving && !quiet -> quiet = 1
	:: !dead -> dead = 1
	od
}
