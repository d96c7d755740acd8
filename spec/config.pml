/*
 * The configuration in force on two nodes: its revision never decreases within an incarnation, and a
 * node that restarted serves only after it has asked its peer and the configuration service.
 *
 * Revisions 1 to 3 are published, of which 2 is invalid. The service may answer any reader with any
 * published revision (a stale replica) or not at all. Nodes forward the revision that they have in
 * force to their peer; such a message may arrive late and more than once. Either node restarts any
 * number of times and loses its memory. A partition is modelled as steps that are not taken. A
 * starting node may stop waiting for a peer that it can't reach (macro CUT allows that), and only then
 * may it serve with an older revision.
 *
 * Properties, checked after each step:
 * - the revision in force never decreases within one incarnation;
 * - revision 2 is never in force on any node;
 * - a node that starts to serve has at least the revision that its peer had in force, and was
 *   serving with, when the node started (not under CUT).
 *
 * Guards, each left out by a macro NO_...: see spec/check.
 */

#define INVALID 2
#define LAST    3

byte published = 1;
byte force[2];          /* revision in force, 0 none */
byte high[2];           /* ghost variable: highest revision in force in this incarnation */
byte peerHad[2];        /* ghost variable: revision that the peer served with at this node's start, 0 none */
bit  serving[2];
bit  askedPeer[2], askedService[2];
byte message[2];        /* revision in transit to the node, 0 none; stays after arrival, as a duplicate */
bit  wrong;             /* ghost variable: a property was violated */

#ifdef NO_VALIDATION    /* node 1 accepts the invalid revision, which node 0 rejects */
#define FITS(n, r) ((n) == 1 || (r) != INVALID)
#else
#define FITS(n, r) ((r) != INVALID)
#endif
#ifdef NO_ORDER         /* the revision received last is in force, even if it is older */
#define NEWER(n, r) ((r) != force[n])
#else
#define NEWER(n, r) ((r) > force[n])
#endif

inline offer(n, r) {
	if
	:: r > 0 && FITS(n, r) && NEWER(n, r) -> force[n] = r
#ifdef NO_KEEPFORMER    /* an invalid revision leaves no revision in force */
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

#ifdef NO_ASKPEER       /* serves without having asked its peer */
#define HEARD(n) (1)
#else
#define HEARD(n) (askedPeer[n])
#endif
#ifdef NO_ASKSERVICE    /* serves without an answer of the service, even with no revision in force */
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
