/*
 * echo.pml: a late answer to an opening does not move an open flow.
 *
 * docs/design-platform.md, "Copies of an opening". One opening and its copies come to
 * two nodes, which place them at any of two hosts. Hosts answer at any later time, once or again.
 * The caller opens the flow at the host whose answer comes first, and repeats the last token that it
 * received, also that of an answer which it does not accept. A host repeats the last token
 * that it received on the flow. Later packets come to any node that has had one before or heard of
 * the flow, and to others while the caller repeats the right token.
 */

#define NONE 2 /* neither host */

bool holds[2];         /* the host has the opening */
byte token[2] = NONE;  /* the one that the host received last */
byte echo = NONE;      /* the one that the caller received last */
byte open = NONE;      /* the host that it accepted */
byte pin[2] = NONE;    /* by node: the host at which it knows the flow to be open */
bool seen[2];          /* the node has had a later packet, or heard of the flow */
bool ambiguous[2];     /* the node has placed a copy whose earlier ones may be elsewhere */
byte placed[2] = NONE; /* where the node has placed the opening */
bool copied;           /* a copy was sent before */

/* place sends a copy of the opening by a node to a host. */
inline place(n, h) {
	if
	:: copied && placed[n] != h -> ambiguous[n] = true
	:: else -> skip
	fi;
	copied = true;
	placed[n] = h;
	holds[h] = true;
	token[h] = h
}

/* forward sends a later packet by a node. */
inline forward(n) {
	to = echo;
	seen[n] = true;
	if
	:: pin[n] != NONE -> to = pin[n]
#ifdef REMEMBERS_AMBIGUOUS_ONES_ONLY
	:: pin[n] == NONE && ambiguous[n] -> pin[n] = to
#else
	:: pin[n] == NONE -> pin[n] = to
#endif
	:: else -> skip
	fi;
#ifdef GOES_BY_THE_TOKEN
	to = echo;
#endif
	ambiguous[n] = ambiguous[n] || to != echo;
	assert(to == open);
	token[to] = to
}

active proctype network()
{
	byte to;
	do
	/* The caller sends copies until the flow is open; they may be delayed beyond that. */
	:: atomic { true -> place(0, 0) }
	:: atomic { true -> place(0, 1) }
	:: atomic { true -> place(1, 0) }
	:: atomic { true -> place(1, 1) }
	/* The caller acknowledges the first answer at once. */
	:: atomic { holds[0] && open == NONE -> open = 0; echo = token[0]; forward(0) }
	:: atomic { holds[1] && open == NONE -> open = 1; echo = token[1]; forward(0) }
	/* A further answer, or one to a request. */
	:: atomic { holds[0] && open != NONE -> echo = token[0] }
	:: atomic { holds[1] && open != NONE -> echo = token[1] }
	/* A node announces a flow that it takes for ambiguous. */
	:: atomic { pin[0] != NONE && ambiguous[0] && pin[1] == NONE -> pin[1] = pin[0]; seen[1] = true }
	/* A later packet. */
	:: atomic { open != NONE && (seen[0] || echo == open) -> forward(0) }
#ifdef COMES_BEFORE_IT_IS_HEARD_OF
	:: atomic { open != NONE -> forward(1) }
#else
	:: atomic { open != NONE && (seen[1] || echo == open) -> forward(1) }
#endif
	od
}
