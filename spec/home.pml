/*
 * At-most-once execution across homes, for one request that must not run twice.
 *
 * The caller sends the same id any number of times, through any receiver. The home that the id names
 * records it and dispatches attempts to owners, one after another. A home that shuts down gracefully
 * hands its records over to a successor. Properties: the endpoint runs the request at most once, and
 * once any node has answered notRun it never runs.
 *
 * Abstraction:
 * - One Promela process takes the steps of all nodes; each step is atomic, like a tick of a node.
 * - The network is a set: a message may arrive at any time, never, any number of times and in any
 *   order. A paused process and a partition are modelled as steps that are not taken.
 * - The home's clock has three values: ticket valid, ticket expired, past the retention of records.
 *   No clocks are compared.
 * - Each of the two attempts goes to a different owner. Each owner may restart once and lose its
 *   memory. A home may still know the previous incarnation of an owner.
 * - The handover is sent in two parts, the first of which has the record.
 * - The step "send" of an owner includes the run on the endpoint. The choice that a table is full
 *   may be made at any time.
 *
 * Guards, each left out by a macro NO_...: see spec/check.
 */

#define NONE     0
#define RUNNING  1
#define ANSWERED 2
#define UNKNOWN  3
#define NOTRUN   4      /* tombstone: recorded that it will never run */

#define VALID    0
#define EXPIRED  1
#define PAST     2

#define QUEUED   1      /* states of an attempt at its owner */
#define SENT     2
#define DONE     3
#define BURIED   4      /* tombstone: recorded that it will never be sent */

bit  homeUp = 1;        /* the incarnation that the ticket names */
byte clock = VALID;
byte record = NONE;
byte attempt = 0;       /* current attempt, 1 or 2 */
bit  handed;            /* the home has handed its records over */
byte handRecord, handClock;
byte parts;             /* bit mask of the handover parts that the successor has received */
byte state[3];          /* state of attempts 1 and 2 at their owners */
byte owner[3];          /* incarnation of the owner of each attempt */
bit  dispatch[3];       /* dispatch messages on the network */
byte dispatchTo[3];     /* incarnation of the owner that the dispatch and the cancel are addressed to */
bit  cancel[3], neverSent[3], maybeSent[3], result[3];
byte runs;              /* ghost variable: number of runs at the endpoint */
bit  said;              /* ghost variable: some node has answered notRun */

#define CHECK assert(runs <= 1 && !(said && runs > 0))

inline start(k, inc) {
	attempt = k;
	dispatch[k] = 1;
	dispatchTo[k] = inc
}

/* The steps of the home for attempt k. */
#define HOME(k) \
	:: d_step { homeUp && record == RUNNING && attempt == k && !cancel[k] -> \
		printf("home cancels %d\n", k); cancel[k] = 1 } \
	:: d_step { homeUp && record == RUNNING && attempt == k && result[k] -> \
		printf("home has the result of %d\n", k); record = ANSWERED } \
	:: d_step { homeUp && record == RUNNING && attempt == k && (maybeSent[k] || cancel[k]) -> \
		printf("home gives up on %d\n", k); record = UNKNOWN } \
	:: d_step { homeUp && record == RUNNING && attempt == k && neverSent[k] -> \
		printf("home refuses after %d was never sent\n", k); record = NOTRUN; said = 1; CHECK }

/* The steps of the owner of attempt k. */
#define OWNER(k) \
	:: d_step { dispatch[k] && MAYTAKE(k) -> printf("owner takes %d\n", k); state[k] = QUEUED } \
	:: d_step { dispatch[k] && dispatchTo[k] != owner[k] -> printf("another process gets %d\n", k); OTHER(k) } \
	:: d_step { state[k] == QUEUED -> printf("owner sends %d\n", k); state[k] = SENT; runs++; CHECK } \
	:: d_step { state[k] == SENT -> printf("%d ends\n", k); state[k] = DONE; result[k] = 1 } \
	:: d_step { owner[k] == 1 -> printf("owner of %d restarts\n", k); owner[k] = 2; state[k] = NONE } \
	:: d_step { cancel[k] && ASKED(k) && (state[k] == NONE || state[k] == QUEUED) -> \
		printf("owner buries %d\n", k); BURY(k); neverSent[k] = 1 } \
	:: d_step { cancel[k] && ASKED(k) && state[k] == NONE -> \
		printf("owner has no room to bury %d\n", k); FULL(k) } \
	:: d_step { cancel[k] && (dispatchTo[k] != owner[k] || state[k] == SENT || state[k] == DONE) -> \
		printf("owner can't tell of %d\n", k); maybeSent[k] = 1 } \
	FORGET(k)

#ifdef NO_OWNERINCARNATION      /* any incarnation of the owner accepts the dispatch */
#define SAMEOWNER(k) (1)
#else
#define SAMEOWNER(k) (dispatchTo[k] == owner[k])
#endif
#ifdef NO_DEDUPLICATION         /* a duplicate dispatch is sent to the endpoint again */
#define MAYTAKE(k) (SAMEOWNER(k) && state[k] != QUEUED && state[k] != BURIED)
#else
#define MAYTAKE(k) (SAMEOWNER(k) && state[k] == NONE)
#endif
#ifdef NO_CANCELINCARNATION     /* an incarnation that never had the attempt answers "never sent" to the cancel */
#define ASKED(k) (1)
#else
#define ASKED(k) (dispatchTo[k] == owner[k])
#endif
#ifdef NO_REFUSALINCARNATION    /* a refusal by another incarnation counts as "never sent" */
#define OTHER(k) neverSent[k] = 1
#else
#define OTHER(k) maybeSent[k] = 1
#endif
#ifdef NO_OWNERTOMBSTONE        /* answers "never sent" without recording a tombstone */
#define BURY(k) skip
#else
#define BURY(k) state[k] = BURIED
#endif
#ifdef NO_OWNERFULL             /* answers "never sent" even if the table of tombstones is full */
#define FULL(k) neverSent[k] = 1
#else
#define FULL(k) maybeSent[k] = 1
#endif
#ifdef NO_OWNERKEEP             /* tombstones are dropped while the dispatch may still arrive */
#define FORGET(k) :: d_step { state[k] == BURIED || state[k] == DONE -> printf("owner forgets %d\n", k); state[k] = NONE }
#else
#define FORGET(k)
#endif

init {
	owner[1] = 1;
	owner[2] = 1;
	do
	/* The request, or a retry of it under the same id, arrives at the home. */
	:: d_step { homeUp && record == NONE && clock == VALID -> printf("home accepts\n");
		record = RUNNING; start(1, 1) }
	:: d_step { homeUp && record == NONE && clock == VALID && owner[1] == 2 -> printf("home accepts, new owner\n");
		record = RUNNING; start(1, 2) }
	:: d_step { homeUp && record == NONE && clock == VALID -> printf("home full, refuses\n");
#ifndef NO_HOMETOMBSTONE        /* answers notRun without recording a tombstone */
		record = NOTRUN;
#endif
		said = 1; CHECK }
#ifdef NO_HOMEFULL              /* answers notRun even if the table of tombstones is full */
	:: d_step { homeUp && record == NONE && clock == VALID -> printf("home has no room to record, refuses\n");
		said = 1; CHECK }
#endif
	:: d_step { homeUp && record == NONE && clock == EXPIRED -> printf("home refuses, expired\n");
		said = 1; CHECK }
#ifdef NO_RETENTION             /* an id past the retention is refused like one with an expired ticket */
	:: d_step { homeUp && record == NONE && clock == PAST -> printf("home refuses, past retention\n");
		said = 1; CHECK }
#endif
#ifdef NO_JOIN                  /* a retry under the same id starts another attempt, doesn't join the first */
	:: d_step { homeUp && record == RUNNING && attempt == 1 -> printf("home runs the repeat\n"); start(2, owner[2]) }
#endif
	/* The home starts a second attempt. */
#ifdef NO_CANCEL                /* starts it without knowing that the first was never sent */
	:: d_step { homeUp && record == RUNNING && attempt == 1 -> printf("home retries\n"); start(2, owner[2]) }
#else
	:: d_step { homeUp && record == RUNNING && attempt == 1 && neverSent[1] -> printf("home retries\n"); start(2, owner[2]) }
#endif
	HOME(1)
	HOME(2)
	OWNER(1)
	OWNER(2)
	/* The home's clock, the expiry of its records, its crash. */
	:: d_step { homeUp && clock < PAST -> printf("clock\n"); clock++ }
#ifdef NO_KEEP                  /* records are dropped after the run, even while the ticket is valid */
	:: d_step { homeUp && record > RUNNING -> printf("home drops the record\n"); record = NONE }
#else
	:: d_step { homeUp && record > RUNNING && clock == PAST -> printf("home drops the record\n"); record = NONE }
#endif
	:: d_step { homeUp -> printf("home crashes\n"); homeUp = 0; record = NONE }
#ifdef NO_INCARNATION           /* a restarted home accepts ids of its previous incarnation */
	:: d_step { !homeUp && !handed -> printf("home is back\n"); homeUp = 1; clock = VALID }
#endif
	/* Graceful shutdown. */
#ifdef NO_WAITEXPIRY            /* hands over while tickets are valid, and keeps accepting requests */
	:: d_step { homeUp && !handed && record != RUNNING -> printf("home hands over\n");
		handed = 1; handRecord = record; handClock = clock }
#elif defined(NO_WAITRUN)       /* hands over while a request is running */
	:: d_step { homeUp && !handed && clock != VALID -> printf("home hands over\n");
		handed = 1; handRecord = (record == RUNNING -> NONE : record); handClock = clock; homeUp = 0 }
#else
	:: d_step { homeUp && !handed && clock != VALID && record != RUNNING -> printf("home hands over\n");
		handed = 1; handRecord = record; handClock = clock; homeUp = 0 }
#endif
	:: d_step { handed && !(parts & 1) -> printf("part 1 arrives\n"); parts = parts | 1 }
	:: d_step { handed && !(parts & 2) -> printf("part 2 arrives\n"); parts = parts | 2 }
	/* A retry arrives at the successor, which answers unknown in all other cases. */
	:: d_step { (parts & 1) && handRecord == NOTRUN -> printf("successor repeats notRun\n"); said = 1; CHECK }
#ifdef NO_COMPLETE              /* an id absent from the only part received counts as never run */
	:: d_step { parts == 2 && handClock != PAST -> printf("successor refuses\n"); said = 1; CHECK }
#endif
#ifdef NO_HANDOVERCLOCK         /* an id whose record the home may have dropped counts as never run */
	:: d_step { parts == 3 && handRecord == NONE -> printf("successor refuses\n"); said = 1; CHECK }
#else
	:: d_step { parts == 3 && handRecord == NONE && handClock != PAST -> printf("successor refuses\n"); said = 1; CHECK }
#endif
#ifdef NO_HANDOVER              /* any other node answers notRun for a home that is down */
	:: d_step { !homeUp && !handed -> printf("another node refuses\n"); said = 1; CHECK }
#endif
	od
}
