/*
 * Ownership of one cold endpoint while the published list changes.
 *
 * Revision 1 names node A the owner, revision 2 names node B. The groups of the
 * two revisions are bit masks chosen by SCENE, so that they may differ by none,
 * one or several members. Property: A and B never both may give work.
 *
 * Abstraction:
 * - One process steps for all nodes; each step is atomic.
 * - A probe and its answer are one step, and a lost one is a step not taken. An
 *   answer that takes longer only shortens the time for which it counts, because
 *   a confirmation runs from the sending of the probe, so immediate answers are the
 *   worst case. LATE adds answers of X to A that arrive up to L ticks late.
 * - Time is a count of ticks. A tick may come between any two steps. Everything
 *   between two ticks happens in any order. A period of n ticks in the model lasts
 *   between n-1 and n ticks, which costs one tick at each bound against real time.
 * - A stale list, a partition and a pause are all steps not taken for any time:
 *   clocks go on, so confirmations run out meanwhile.
 * - A restart forgets everything. The node may come back with revision 1 as long as
 *   it is named in it, any number of times.
 * - A node that learns of a revision by a probe whose answer is lost takes the same
 *   step as one that reads the list. The code may hold the older list meanwhile, and
 *   asks its group as a former one.
 * - The send of a paused process is the pair "look", "send" of node A.
 *
 * Guards, each left out by a macro: see spec/check.
 */

#define A 0
#define X 1
#define Y 2
#define B 3
#define Z 4

#ifndef L
#define L 1             /* ticks for which a confirmation counts */
#endif
#ifndef G
#define G 2             /* ticks of unbroken majority before cold work, the settling time */
#endif
#ifndef W
#define W 3             /* ticks after a start during which a node confirms nobody */
#endif
#ifndef SCENE
#define SCENE 1
#endif
#ifndef RESTARTS
#define RESTARTS 255    /* 255: any number */
#endif
#ifndef FORMER
#define FORMER 0        /* 0: former groups aren't asked, 1: by who confirms, 2: by the owner */
#endif
#ifdef NO_SENDTIME
#define LATEST (L + 1)
#else
#define LATEST 0        /* an answer later than L counts no more */
#endif
#ifndef KEEP
#define KEEP 255        /* a node that never restarts; 255: none */
#endif
#ifndef GAP
#define GAP 0           /* ticks between the last chance of A and the first of B */
#endif


#if SCENE == 0          /* the same three members, another owner */
#define N 4
#define G1 (1<<A | 1<<X | 1<<B)
#define G2 (1<<A | 1<<X | 1<<B)
#define LIVE(n) ((n) != Y)
#elif SCENE == 1        /* one of three replaced */
#define N 4
#define G1 (1<<A | 1<<X | 1<<Y)
#define G2 (1<<B | 1<<X | 1<<Y)
#define LIVE(n) (1)
#elif SCENE == 2        /* two of three replaced */
#define N 5
#define G1 (1<<A | 1<<X | 1<<Y)
#define G2 (1<<B | 1<<Z | 1<<Y)
#define LIVE(n) (1)
#elif SCENE == 3        /* two joined: three become five */
#define N 5
#define G1 (1<<A | 1<<X | 1<<Y)
#define G2 (1<<A | 1<<X | 1<<Y | 1<<B | 1<<Z)
#define LIVE(n) (1)
#elif SCENE == 4        /* all replaced */
#define N 5
#define G1 (1<<A | 1<<X)
#define G2 (1<<B | 1<<Z)
#define LIVE(n) ((n) != Y)
#elif SCENE == 5        /* one joined: three become four */
#define N 4
#define G1 (1<<A | 1<<X | 1<<Y)
#define G2 (1<<A | 1<<X | 1<<Y | 1<<B)
#define LIVE(n) (1)
#elif SCENE == 6        /* the same five members, another owner */
#define N 5
#define G1 (1<<A | 1<<X | 1<<Y | 1<<B | 1<<Z)
#define G2 (1<<A | 1<<X | 1<<Y | 1<<B | 1<<Z)
#define LIVE(n) (1)
#endif

byte rev[N];            /* newest revision seen in this incarnation */
byte quiet[N];          /* ticks left until the node may confirm */
bit  mem[N];            /* revision 1 was seen in this incarnation */
bit  fresh[N];          /* has not heard enough since its start */
byte heard[N];          /* members heard at the present revision while fresh */
byte heardReady[N];     /* of these, members that were ready */
byte seen[N*N];         /* ticks for which row's node counts on column's being at its revision */
byte conf[N*N];         /* ticks for which column's node confirms row's */
byte held[2];           /* ticks of unbroken majority of A and of B, up to G */
byte restarts;
#ifdef HAND
bit  hand;              /* A looked and has not sent yet */
byte stray;             /* sends of A that came too late */
#endif
#ifdef LATE
byte lateAge;         /* 0: no answer of X to A under way, else its age plus one */
#endif
#if GAP > 0
byte since;             /* ticks since A could last give work */
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
#ifdef NO_MAJORITY      /* one confirmation is enough */
#define MAJORITY(t,n,g) (1)
#else
#define MAJORITY(t,n,g) (2*COUNT(t,n,g) > SIZE(g))
#endif

/* A node that knows the former group confirms nobody in the new revision before it
 * counts on a majority of the former group being at the new revision. */
#if FORMER == 1
#define FENCED(n)   (rev[n] == 1 || !mem[n] || MAJORITY(seen,n,G1))
#else
#define FENCED(n)   (1)
#endif
#ifdef NO_HEARFENCED    /* answers of nodes that wait for a former group count as heard */
#define HEARABLE(n) (1)
#else
#define HEARABLE(n) FENCED(n)
#endif
#ifdef HEAR             /* a node that started is not ready before it has heard enough */
#define TOLD(n)     (!fresh[n])
#else
#define TOLD(n)     (1)
#endif
#define READY(n)    (quiet[n] == 0 && TOLD(n) && FENCED(n))

#define OWNS(n)     (((n) == A && rev[A] == 1) || ((n) == B && rev[B] == 2))
#if FORMER == 2     /* only the owner asks, and only for former groups that it knows itself */
#define ASKED(n)    (rev[n] == 1 || !mem[n] || 2*COUNT(conf,n,G1) >= SIZE(G1))
#else
#define ASKED(n)    (1)
#endif
#ifdef NO_CLEAR         /* nodes collect confirmations before they own anything */
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
#ifndef NO_CLEAR        /* confirmations of the former revision still count */
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
#ifndef NO_REVISION     /* answers count whatever revision they name */
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

#ifdef NO_LOOK          /* after a pause A goes on without looking again */
#define AFTERSEND
#else
#define AFTERSEND hand = 0;
#endif
#ifdef HAND             /* A looks; it may be paused for any time before it sends */
#define PAUSED \
	:: d_step { MAY(A) && !hand -> printf("0 looks\n"); hand = 1 } \
	:: d_step { hand -> printf("0 sends\n"); AFTERSEND \
		if :: MAY(B) -> stray++ :: else fi; assert(SAFE && stray <= 1) }
#else
#define PAUSED
#endif

#ifdef NO_SENDTIME      /* a late answer counts from its arrival */
#define LEFT L
#else
#define LEFT (L + 1 - lateAge)
#endif
#ifdef LATE             /* X answers a probe of A, the answer arrives later */
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
		/* The members of the first group run and know each other; the others just start. */
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
