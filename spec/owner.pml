/*
 * Ownership of one cold endpoint while the published member list changes.
 *
 * Revision 1 of the list makes node A the owner, revision 2 node B. The groups of nodes that confirm
 * the owner under the two revisions are bit masks chosen by SCENE; they differ in no, one or several
 * members. Property: A and B are never both allowed to send requests to the endpoint.
 *
 * Abstraction:
 * - One Promela process takes the steps of all nodes; each step is atomic.
 * - A probe and its answer are one step, and a lost one is a step that is not taken. A delayed answer
 *   only shortens the time for which it counts, since a confirmation is valid from the sending of the
 *   probe, so immediate answers are the worst case. LATE adds answers of X to A that arrive up to L
 *   ticks late.
 * - Time is a count of ticks. A tick may come between any two steps, and the steps between two ticks
 *   happen in any order. A period of n ticks in the model lasts between n-1 and n ticks, so each bound
 *   needs one tick more than in real time.
 * - A stale list, a partition and a pause are modelled as steps that are not taken for any time. The
 *   clocks keep running, so confirmations expire meanwhile.
 * - A node that restarts loses all its state. It may come back with revision 1 as long as that
 *   revision names it, any number of times.
 * - A node that learns of a revision from a probe whose answer is lost takes the same step as one that
 *   reads the list. In the code the node may still hold the older list at that time; it then asks that
 *   list's group as a former group.
 * - A send by a paused process is modelled by the two steps "look" and "send" of node A.
 *
 * Guards, each left out by a macro: see spec/check.
 */

#define A 0
#define X 1
#define Y 2
#define B 3
#define Z 4

#ifndef L
#define L 1             /* ticks for which a confirmation is valid */
#endif
#ifndef G
#define G 2             /* settle time: ticks with a continuous majority before a cold endpoint may be used */
#endif
#ifndef W
#define W 3             /* quiet time: ticks after a start during which a node confirms no other */
#endif
#ifndef SCENE
#define SCENE 1
#endif
#ifndef RESTARTS
#define RESTARTS 255    /* maximum number of restarts; 255: unlimited */
#endif
#ifndef FORMER
#define FORMER 0        /* former groups are asked by 0: no node, 1: the nodes that confirm, 2: the owner */
#endif
#ifdef NO_SENDTIME
#define LATEST (L + 1)
#else
#define LATEST 0        /* an answer later than L no longer counts */
#endif
#ifndef KEEP
#define KEEP 255        /* the node that never restarts; 255: none */
#endif
#ifndef GAP
#define GAP 0           /* minimum ticks between the last time A may send and the first time B may */
#endif


#if SCENE == 0          /* the same three members, a different owner */
#define N 4
#define G1 (1<<A | 1<<X | 1<<B)
#define G2 (1<<A | 1<<X | 1<<B)
#define LIVE(n) ((n) != Y)
#elif SCENE == 1        /* one of three members replaced */
#define N 4
#define G1 (1<<A | 1<<X | 1<<Y)
#define G2 (1<<B | 1<<X | 1<<Y)
#define LIVE(n) (1)
#elif SCENE == 2        /* two of three members replaced */
#define N 5
#define G1 (1<<A | 1<<X | 1<<Y)
#define G2 (1<<B | 1<<Z | 1<<Y)
#define LIVE(n) (1)
#elif SCENE == 3        /* two members added to three */
#define N 5
#define G1 (1<<A | 1<<X | 1<<Y)
#define G2 (1<<A | 1<<X | 1<<Y | 1<<B | 1<<Z)
#define LIVE(n) (1)
#elif SCENE == 4        /* all members replaced */
#define N 5
#define G1 (1<<A | 1<<X)
#define G2 (1<<B | 1<<Z)
#define LIVE(n) ((n) != Y)
#elif SCENE == 5        /* one member added to three */
#define N 4
#define G1 (1<<A | 1<<X | 1<<Y)
#define G2 (1<<A | 1<<X | 1<<Y | 1<<B)
#define LIVE(n) (1)
#elif SCENE == 6        /* the same five members, a different owner */
#define N 5
#define G1 (1<<A | 1<<X | 1<<Y | 1<<B | 1<<Z)
#define G2 (1<<A | 1<<X | 1<<Y | 1<<B | 1<<Z)
#define LIVE(n) (1)
#endif

byte rev[N];            /* newest revision that the node has seen in this incarnation */
byte quiet[N];          /* ticks left of the quiet time */
bit  mem[N];            /* the node has seen revision 1 in this incarnation */
bit  fresh[N];          /* the node has not yet heard enough answers since its start, see hear */
byte heard[N];          /* bit mask of the members that answered at the current revision while fresh */
byte heardReady[N];     /* of these, the members that were ready */
byte seen[N*N];         /* [n*N+q]: ticks for which node n relies on q having n's revision */
byte conf[N*N];         /* [n*N+q]: ticks for which q's confirmation of n is valid */
byte held[2];           /* ticks for which A and B have had a continuous majority, up to G */
byte restarts;
#ifdef HAND
bit  hand;              /* A has checked that it may send and has not sent yet */
byte stray;             /* sends of A while B may send */
#endif
#ifdef LATE
byte lateAge;         /* 0: no answer of X to A in transit, else its age plus one */
#endif
#if GAP > 0
byte since;             /* ticks since A could last send, up to GAP */
#endif

#define IN(n, g)    (((g) >> (n)) & 1)
#define GROUP(n)    (rev[n] == 1 -> G1 : G2)
#if N == 4
#define SIZE(g)     (IN(0,g) + IN(1,g) + IN(2,g) + IN(3,g))
#define ONE(t,n,q,g) (IN(q,g) && ((q) == (n) || t[(n)*N+(q)] > 0))
#define COUNT(t,n,g) (ONE(t,n,0,g) + ONE(t,n,1,g) + ONE(t,n,2,g) + ONE(t,n,3,g))
#else
#define SIZE(g)     (IN(0,g) + IN(1,g) + IN(2,g) + IN(3,g) + IN(4,g))
#define ONE(t,n,q,g) (IN(q,g) && ((q) == (n) || t[(n)*N+(q)] > 0))
#define COUNT(t,n,g) (ONE(t,n,0,g) + ONE(t,n,1,g) + ONE(t,n,2,g) + ONE(t,n,3,g) + ONE(t,n,4,g))
#endif
#ifdef NO_MAJORITY      /* no majority is needed */
#define MAJORITY(t,n,g) (1)
#else
#define MAJORITY(t,n,g) (2*COUNT(t,n,g) > SIZE(g))
#endif

/* A node that knows the former group confirms no node at the new revision until a majority of the
 * former group is known to have the new revision. */
#if FORMER == 1
#define FENCED(n)   (rev[n] == 1 || !mem[n] || MAJORITY(seen,n,G1))
#else
#define FENCED(n)   (1)
#endif
#ifdef NO_HEARFENCED    /* answers of nodes that still wait for a former group count as heard */
#define HEARABLE(n) (1)
#else
#define HEARABLE(n) FENCED(n)
#endif
#ifdef HEAR             /* a node that has started is not ready until it has heard enough answers */
#define TOLD(n)     (!fresh[n])
#else
#define TOLD(n)     (1)
#endif
#define READY(n)    (quiet[n] == 0 && TOLD(n) && FENCED(n))

#define OWNS(n)     (((n) == A && rev[A] == 1) || ((n) == B && rev[B] == 2))
#if FORMER == 2     /* only the owner asks former groups, and only those that it knows itself */
#define ASKED(n)    (rev[n] == 1 || !mem[n] || 2*COUNT(conf,n,G1) >= SIZE(G1))
#else
#define ASKED(n)    (1)
#endif
#ifdef NO_CLEAR         /* nodes also collect confirmations while they are not the owner */
#define COLLECTS(n) (1)
#else
#define COLLECTS(n) OWNS(n)
#endif
#define COVERED(n)  (READY(n) && MAJORITY(conf,n,GROUP(n)) && ASKED(n))
#define HOLDS(n)    (OWNS(n) && COVERED(n))
#define MAY(n)      (HOLDS(n) && held[(n)/B] >= G)

inline clear(n) {
	i = 0;
	do
	:: i < N -> seen[n*N+i] = 0; conf[n*N+i] = 0; i++
	:: else -> break
	od;
	if
	:: n == A -> held[0] = 0
	:: n == B -> held[1] = 0
	:: else
	fi;
	heard[n] = 0;
	heardReady[n] = 0;
	i = 0
}

inline adopt(n) {
	rev[n] = 2;
#ifndef NO_CLEAR        /* with NO_CLEAR, confirmations of the former revision still count */
	clear(n)
#endif
}

inline restart(n, r) {
#ifdef LATE
	if :: n == A -> lateAge = 0 :: else fi;
#endif
#ifdef HAND
	if :: n == A -> hand = 0 :: else fi;
#endif
	rev[n] = r;
	mem[n] = (r == 1);
	fresh[n] = 1;
	quiet[n] = W;
	clear(n)
}

inline hear(o, p) {
	if
	:: fresh[o] && quiet[o] == 0 && IN(p, GROUP(o)) && IN(o, GROUP(o)) ->
		if
		:: HEARABLE(p) -> heard[o] = heard[o] | (1 << p)
		:: else
		fi;
		if
		:: READY(p) -> heardReady[o] = heardReady[o] | (1 << p)
		:: else
		fi;
		if
		:: (heard[o] | (1 << o)) == GROUP(o) || 2*SIZE(heardReady[o]) > SIZE(GROUP(o)) - 1 ->
			fresh[o] = 0; heard[o] = 0; heardReady[o] = 0
		:: else
		fi
	:: else
	fi
}

inline probe(o, p) {
#ifndef NO_REVISION     /* with NO_REVISION, answers count whatever revision they name */
	if
	:: rev[o] > rev[p] -> adopt(p)
	:: rev[p] > rev[o] -> adopt(o)
	:: else
	fi;
#endif
#ifdef HEAR
	hear(o, p);
#endif
#if FORMER == 1
	if
	:: rev[o] == 2 && mem[o] && IN(p, G1) -> seen[o*N+p] = L
	:: else
	fi;
#endif
	if
	:: COLLECTS(o) && (IN(p, GROUP(o)) || (FORMER == 2 && mem[o] && IN(p, G1))) && READY(p) -> conf[o*N+p] = L
	:: else
	fi
}

inline tick() {
#ifdef LATE
	if
	:: lateAge > 0 -> lateAge++;
		if
		:: lateAge > L -> lateAge = LATEST
		:: else
		fi
	:: else
	fi;
#endif
#if GAP > 0
	if
	:: MAY(A) -> since = 0
	:: else -> if :: since < GAP -> since++ :: else fi
	fi;
#endif
	if
	:: COLLECTS(A) && COVERED(A) -> if :: held[0] < G -> held[0]++ :: else fi
	:: else -> held[0] = 0
	fi;
	if
	:: COLLECTS(B) && COVERED(B) -> if :: held[1] < G -> held[1]++ :: else fi
	:: else -> held[1] = 0
	fi;
	i = 0;
	do
	:: i < N*N ->
		if :: seen[i] > 0 -> seen[i]-- :: else fi;
		if :: conf[i] > 0 -> conf[i]-- :: else fi;
		i++
	:: else -> break
	od;
	i = 0;
	do
	:: i < N -> if :: quiet[i] > 0 -> quiet[i]-- :: else fi; i++
	:: else -> break
	od;
	i = 0
}

byte i;

#define PROBE(o, p) \
	:: d_step { LIVE(o) && LIVE(p) -> printf("%d probes %d\n", o, p); probe(o, p); assert(SAFE) }
#define ADOPT(n) \
	:: d_step { LIVE(n) && rev[n] == 1 -> printf("%d reads list 2\n", n); adopt(n); assert(SAFE) }
#define RESTART(n) \
	:: d_step { LIVE(n) && (n) != KEEP && restarts < RESTARTS && IN(n, (G1)) -> printf("%d restarts with list 1\n", n); restart(n, 1); spend(); assert(SAFE) } \
	:: d_step { LIVE(n) && (n) != KEEP && restarts < RESTARTS -> printf("%d restarts with list 2\n", n); restart(n, 2); spend(); assert(SAFE) }
#define NODE(n) ADOPT(n) RESTART(n)

#ifdef NO_LOOK          /* A sends any number of times after one check, without checking again */
#define AFTERSEND
#else
#define AFTERSEND hand = 0;
#endif
#ifdef HAND             /* A checks that it may send, and may be paused for any time before it sends */
#define PAUSED \
	:: d_step { MAY(A) && !hand -> printf("0 looks\n"); hand = 1 } \
	:: d_step { hand -> printf("0 sends\n"); AFTERSEND \
		if :: MAY(B) -> stray++ :: else fi; assert(SAFE && stray <= 1) }
#else
#define PAUSED
#endif

#ifdef NO_SENDTIME      /* a delayed answer counts from its arrival, not from the sending of the probe */
#define LEFT L
#else
#define LEFT (L + 1 - lateAge)
#endif
#ifdef LATE             /* X answers a probe of A, and the answer arrives later */
#define DELAYED \
	:: d_step { lateAge == 0 && rev[A] == 1 && rev[X] == 1 && READY(X) -> printf("1 answers 0\n"); lateAge = 1 } \
	:: d_step { lateAge > 0 -> printf("0 gets the answer of 1\n"); \
		if :: rev[A] == 1 && LEFT > conf[A*N+X] -> conf[A*N+X] = LEFT :: else fi; lateAge = 0; assert(SAFE) }
#else
#define DELAYED
#endif

inline spend() {
	if
	:: RESTARTS < 255 -> restarts++
	:: else
	fi
}

#if GAP > 0
#define SAFE (!(MAY(A) && MAY(B)) && !(MAY(B) && since < GAP))
#else
#define SAFE (!(MAY(A) && MAY(B)))
#endif

init {
	d_step {
		/* The members of the first group run at revision 1; the other nodes have just started. */
		i = 0;
		do
		:: i < N ->
			if
			:: IN(i, (G1)) -> rev[i] = 1; mem[i] = 1
			:: else -> rev[i] = 2; quiet[i] = W; fresh[i] = 1
			fi;
			i++
		:: else -> break
		od;
		i = 0;
		held[0] = G;
		conf[A*N+X] = L;
#if SCENE != 0 && SCENE != 4
		conf[A*N+Y] = L
#endif
	}
	do
	PROBE(A, X) PROBE(A, Y) PROBE(A, B)
	PROBE(X, A) PROBE(X, Y) PROBE(X, B)
	PROBE(Y, A) PROBE(Y, X) PROBE(Y, B)
	PROBE(B, A) PROBE(B, X) PROBE(B, Y)
	NODE(A) NODE(X) NODE(Y) NODE(B)
#if N == 5
	PROBE(A, Z) PROBE(X, Z) PROBE(Y, Z) PROBE(B, Z)
	PROBE(Z, A) PROBE(Z, X) PROBE(Z, Y) PROBE(Z, B)
	NODE(Z)
#endif
	PAUSED
	DELAYED
	:: d_step { printf("tick\n"); tick(); assert(SAFE) }
	od
}
