/*
 * publish.pml: operators' changes, and placements published by compare-and-swap.
 *
 * docs/DESIGN.md, "Placement". Two operators change the configuration, two
 * publishers derive placements from it, a node adopts them. There is no lease
 * in the model: each publisher may act at any time, which is what a paused
 * holder of a lapsed lease does. A request that was sent to the store may take
 * effect at any later time, and its answer may be lost: the sender gives up and
 * reads back the write id.
 *
 * A placement's write id is unique: publisher, version that it replaces and
 * configuration revision that it was derived from; the model reads these from it.
 */

/* LOADS placements are published for load reports, beside those for changes. */
#ifndef LOADS
#define LOADS 1
#endif
/* With ONE_OPERATOR, one operator makes one change. */

#define PUBLISHERS 2
#define OPERATORS 2
#define REVISIONS 3 /* configuration revisions 0..2 */
#define VERSIONS 4  /* placement versions 0..3 */
#define WRITE_IDS (PUBLISHERS * VERSIONS * REVISIONS)

#define writeId(publisher, replaced, revision) (((publisher) * VERSIONS + (replaced)) * REVISIONS + (revision))
#define replacedBy(id) (((id) / REVISIONS) % VERSIONS)
#define revisionOf(id) ((id) % REVISIONS)
#define NO_WRITER 255

/* The store: configuration, and placement. */
byte revision;
byte changes[REVISIONS];       /* the set of changes contained in each revision */
byte configWriter = NO_WRITER; /* write id of the configuration: the operator */
byte version;
byte placementRevision;        /* configuration revision of the placement */
byte writer[VERSIONS];         /* write id of each version, as the store had it */

/* Requests sent to the store and not yet applied. */
bit configRequest[OPERATORS];
byte configExpected[OPERATORS];
byte configChanges[OPERATORS];
bit placementRequest[WRITE_IDS]; /* may be applied repeatedly: duplicates */

bit spread[WRITE_IDS]; /* placements that publishers have given to nodes */
byte accepted;         /* changes that operators were told are accepted */
byte loads = LOADS;        /* placements still to be published for load, not configuration */

/* check.sh lets a mutant be judged by one property alone. */
#define NEVER_BACK 1
#define ONE_DOCUMENT 2
#define NOT_LOST 3
#ifdef ONLY_never_back
#define judged(property) (property == NEVER_BACK)
#else
#ifdef ONLY_one_document
#define judged(property) (property == ONE_DOCUMENT)
#else
#ifdef ONLY_not_lost
#define judged(property) (property == NOT_LOST)
#else
#define judged(property) true
#endif
#endif
#endif
#define check(property, condition) assert(!judged(property) || (condition))

#define EACH_REVISION(option, publisher, replaced) \
	option(writeId(publisher, replaced, 0)) \
	option(writeId(publisher, replaced, 1)) \
	option(writeId(publisher, replaced, 2))
#define EACH_WRITE_ID(option) \
	EACH_REVISION(option, 0, 0) EACH_REVISION(option, 1, 0) \
	EACH_REVISION(option, 0, 1) EACH_REVISION(option, 1, 1) \
	EACH_REVISION(option, 0, 2) EACH_REVISION(option, 1, 2)

#ifdef PUBLISHER_DOES_NOT_COMPARE
#define compare(id) (writer[version] != id)
#else
#define compare(id) (version == replacedBy(id))
#endif

#define APPLY(id) \
	:: atomic { \
		placementRequest[id] && compare(id) -> \
		check(NEVER_BACK, replacedBy(id) + 1 > version); \
		check(NOT_LOST, revisionOf(id) >= placementRevision); \
		version = replacedBy(id) + 1; \
		placementRevision = revisionOf(id); \
		writer[version] = id \
	   }

#ifdef ADOPT_LOWER
#define adopts(id) (replacedBy(id) + 1 != held)
#else
#define adopts(id) (replacedBy(id) + 1 > held)
#endif

/* A node learns a placement from a peer. */
#define LEARN(id) \
	:: atomic { \
		spread[id] && adopts(id) -> \
		check(NEVER_BACK, replacedBy(id) + 1 > held); \
		held = replacedBy(id) + 1; \
		check(ONE_DOCUMENT, held <= version && writer[held] == id) \
	   }

/* The store applies a request when its comparison holds. */
proctype Store() {
	byte id;
end:
	do
	:: atomic {
		if
		:: configRequest[0] -> id = 0
		:: configRequest[1] -> id = 1
		fi;
		configRequest[id] = 0;
		if
#ifdef OPERATOR_DOES_NOT_COMPARE
		:: true ->
#else
		:: revision == configExpected[id] ->
#endif
			revision++;
			changes[revision] = configChanges[id];
			configWriter = id
		:: else /* lost the race */
		fi;
		id = 0
	   }
	EACH_WRITE_ID(APPLY)
	od
}

proctype Operator(byte self) {
	byte change = 1 << self;
	/* Read, then write on top of what was read. */
	atomic {
		configExpected[self] = revision;
		configChanges[self] = changes[revision] | change
	};
	configRequest[self] = 1;
	if
	:: !configRequest[self] && configWriter == self -> accepted = accepted | change /* answer */
	:: !configRequest[self] && configWriter != self /* conflict is reported, or unknown */
#ifdef LOST_ANSWER_IS_SUCCESS
	:: true -> accepted = accepted | change
#else
	:: true -> /* no answer: read back the write id */
		if
		:: atomic { configWriter == self -> accepted = accepted | change }
		:: revision != configExpected[self] && configWriter != self /* reported as unknown */
		fi
#endif
	fi
}

proctype Publisher(byte self) {
	byte readRevision, readVersion, readPlacementRevision, id;
end:
	do
	/* Watches and reads, each at its own time. */
	:: readRevision != revision -> readRevision = revision
	:: atomic {
		readVersion != version ->
		readVersion = version;
		readPlacementRevision = placementRevision
	   }
	:: atomic {
#ifdef STALE_CONFIGURATION
		readRevision != readPlacementRevision || loads > 0 ->
#else
		readRevision > readPlacementRevision || (readRevision == readPlacementRevision && loads > 0) ->
#endif
		if
		:: readRevision == readPlacementRevision -> loads--
		:: else
		fi;
		id = writeId(self, readVersion, readRevision);
		placementRequest[id] = 1
	   };
	   /* Wait for the answer, or read back the write id. */
	   if
#ifdef SPREAD_WITHOUT_ANSWER
	   :: true -> spread[id] = 1
#endif
	   :: atomic { version > replacedBy(id) && writer[replacedBy(id) + 1] == id -> spread[id] = 1 }
	   :: version > replacedBy(id) && writer[replacedBy(id) + 1] != id /* lost the race: start again */
	   fi;
	   id = 0
	od
}

proctype Node() {
	byte held;
end:
	do
	:: atomic { held < version -> held = version; } /* watches the store */
	EACH_WRITE_ID(LEARN)
	od
}

init {
	atomic {
		writer[0] = NO_WRITER;
		run Store();
		run Operator(0);
#ifndef ONE_OPERATOR
		run Operator(1);
#endif
		run Publisher(0);
		run Publisher(1);
		run Node()
	};
	/* When all is quiet, every accepted change is in force. */
	timeout ->
	check(NOT_LOST, (accepted & changes[revision]) == accepted);
	check(NOT_LOST, placementRevision == revision)
}
