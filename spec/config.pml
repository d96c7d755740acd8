/*
 * The configuration in force on two nodes: never lower within an incarnation, and a
 * node that restarted serves only after it asked.
 *
 * Published are revisions 1 to 3, of which 2 is invalid. The service may answer any
 * reader with any published revision (a stale replica) or not at all. Nodes pass on
 * what they have in force; such a message may arrive late and twice. Either node
 * restarts any number of times with nothing in memory. A partition is a step not
 * taken; while a peer can't be reached, a starting node may give up on it (macro
 * CUT allows that), and only then may it serve something older.
 *
 * Properties, looked at after each step:
 * - the revision in force never goes down in one incarnation;
 * - revision 2 is never in force anywhere;
 * - a node that begins to serve has at least what its peer had in force, and was
 *   serving with, when the node started (not under CUT).
 *
 * Guards, each left out by a macro NO_...: see spec/check.
 */

#define INVALID 2
#define LAST    3

byte published = 1;
byte force[2];          /* revision in force, 0 none */
byte high[2];           /* ghost: highest in force in this incarnation */
byte peerHad[2];        /* ghost: what the peer served with at the start */
bit  serving[2];
bit  askedPeer[2], askedService[2];
byte message[2];        /* revision on its way to the node, 0 none; stays, as it may come twice */
bit  wrong;             /* ghost: a property was broken */

#ifdef NO_VALIDATION    /* one node takes what the other refuses */
#define FITS(n, r) ((n) == 1 || (r) != INVALID)
#else
#define FITS(n, r) ((r) != INVALID)
#endif
#ifdef NO_ORDER         /* what came last is in force */
#define NEWER(n, r) ((r) != force[n])
#else
#define NEWER(n, r) ((r) > force[n])
#endif

inline offer(n, r) {
	if
	:: r > 0 && FITS(n, r) && NEWER(n, r) -> force[n] = r
#ifdef NO_KEEPFORMER    /* an invalid revision puts the one before out of force */
	:: r > force[n] && !FITS(n, r) -> force[n] = 0
#endif
	:: else
	fi;
	if
	:: force[n] < high[n] -> wrong = 1
	:: else -> high[n] = force[n]
	fi;
	if
	:: force[n] == INVALID -> wrong = 1
	:: else
	fi;
	assert(!wrong)
}

#define READ(n, r) \
	:: d_step { published >= r -> printf("%d reads %d\n", n, r); askedService[n] = 1; offer(n, r) }

#ifdef NO_ASKPEER       /* serves with what the service said */
#define HEARD(n) (1)
#else
#define HEARD(n) (askedPeer[n])
#endif
#ifdef NO_ASKSERVICE    /* serves with what the peer said, be it nothing */
#define SERVABLE(n) (HEARD(n))
#else
#define SERVABLE(n) (HEARD(n) && askedService[n] && force[n] > 0)
#endif
#ifdef CUT
#define GIVEUP(n) :: d_step { !askedPeer[n] -> printf("%d gives up on its peer\n", n); askedPeer[n] = 1; peerHad[n] = 0 }
#else
#define GIVEUP(n)
#endif

#define NODE(n) \
	READ(n, 1) READ(n, 2) READ(n, 3) \
	:: d_step { force[1-n] > 0 -> printf("%d passes %d on\n", 1-n, force[1-n]); message[n] = force[1-n] } \
	:: d_step { message[n] > 0 -> printf("%d gets %d\n", n, message[n]); offer(n, message[n]) } \
	:: d_step { !askedPeer[n] -> printf("%d asks its peer\n", n); askedPeer[n] = 1; offer(n, force[1-n]) } \
	GIVEUP(n) \
	:: d_step { !serving[n] && SERVABLE(n) -> printf("%d serves with %d\n", n, force[n]); serving[n] = 1; \
		if :: force[n] < peerHad[n] || force[n] == 0 -> wrong = 1 :: else fi; assert(!wrong) } \
	:: d_step { printf("%d restarts\n", n); force[n] = 0; high[n] = 0; serving[n] = 0; \
		askedPeer[n] = 0; askedService[n] = 0; \
		peerHad[n] = (serving[1-n] -> force[1-n] : 0); \
		if :: !serving[1-n] -> peerHad[1-n] = 0 :: else fi }

init {
	do
	:: d_step { published < LAST -> printf("published\n"); published++ }
	NODE(0)
	NODE(1)
	od
}
