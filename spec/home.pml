/*
 * At most once over homes: one request that may not be repeated.
 *
 * The caller sends the same id any number of times, through any receiver. The home
 * that the id names records it and has it run by owners, attempt by attempt; a home
 * that stops as planned hands its records to a successor. Properties: the endpoint
 * runs the request at most once, and once anybody has said notRun it never runs.
 *
 * Abstraction:
 * - One process steps for all; each step is atomic, as a tick of a node is.
 * - The network is a set: what was sent may arrive at any time, never, any number of
 *   times and in any order. A paused process and a partition are steps not taken.
 * - The home's clock has three values: ticket valid, ticket expired, past the
 *   retention of records. No clocks are compared.
 * - Each of the two attempts goes to an owner of its own; each owner may restart once
 *   with lost memory. A home may know an old incarnation of an owner.
 * - The handover has two parts, of which the first has the record.
 * - Running on the endpoint is the step "send" of an owner. A full table is a choice
 *   that may be made at any time.
 *
 * Guards, each left out by a macro NO_...: see spec/check.
 */

#define NONE     0
#define RUNNING  1
#define ANSWERED 2
#define UNKNOWN  3
#define NOTRUN   4      /* recorded that it never will run */

#define VALID    0
#define EXPIRED  1
#define PAST     2

#define QUEUED   1      /* states of an attempt at its owner */
#define SENT     2
#define DONE     3
#define BURIED   4      /* recorded that it never will be sent */

bit  homeUp = 1;        /* the incarnation that the ticket names */
byte clock = VALID;
byte record = NONE;
byte attempt = 0;       /* attempt under way, 1 or 2 */
bit  handed;            /* the home handed its records over */
byte handRecord, handClock;
byte parts;             /* parts of the handover that the successor has */
byte state[3];          /* of attempt 1 and 2 at their owners */
byte owner[3];          /* incarnation of the owners */
bit  dispatch[3];       /* messages on the network */
byte dispatchTo[3];     /* incarnation that dispatch and cancel name */
bit  cancel[3], neverSent[3], maybeSent[3], result[3];
byte runs;              /* ghost: runs at the endpoint */
bit  said;              /* ghost: somebody said notRun */

#define CHECK assert(runs <= 1 && !(said && runs > 0))

inline start(k, inc) {
	attempt = k;
	dispatch[k] = 1;
	dispatchTo[k] = inc
}

/* The home takes a step with attempt k. */
#define HOME(k) \
	:: d_step { homeUp && record == RUNNING && attempt == k && !cancel[k] -> \
		printf("home cancels %d\n", k); cancel[k] = 1 } \
	:: d_step { homeUp && record == RUNNING && attempt == k && result[k] -> \
		printf("home has the result of %d\n", k); record = ANSWERED } \
	:: d_step { homeUp && record == RUNNING && attempt == k && (maybeSent[k] || cancel[k]) -> \
		printf("home gives up on %d\n", k); record = UNKNOWN } \
	:: d_step { homeUp && record == RUNNING && attempt == k && neverSent[k] -> \
		printf("home refuses after %d was never sent\n", k); record = NOTRUN; said = 1; CHECK }

/* The owner of attempt k takes a step. */
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

#ifdef NO_OWNERINCARNATION      /* any process of the owner takes the dispatch */
#define SAMEOWNER(k) (1)
#else
#define SAMEOWNER(k) (dispatchTo[k] == owner[k])
#endif
#ifdef NO_DEDUPLICATION         /* a dispatch that comes twice is sent twice */
#define MAYTAKE(k) (SAMEOWNER(k) && state[k] != QUEUED && state[k] != BURIED)
#else
#define MAYTAKE(k) (SAMEOWNER(k) && state[k] == NONE)
#endif
#ifdef NO_CANCELINCARNATION     /* a process that has no memory of it says never sent */
#define ASKED(k) (1)
#else
#define ASKED(k) (dispatchTo[k] == owner[k])
#endif
#ifdef NO_REFUSALINCARNATION    /* a refusal by another process counts as never sent */
#define OTHER(k) neverSent[k] = 1
#else
#define OTHER(k) maybeSent[k] = 1
#endif
#ifdef NO_OWNERTOMBSTONE        /* never sent is said without recording it */
#define BURY(k) skip
#else
#define BURY(k) state[k] = BURIED
#endif
#ifdef NO_OWNERFULL             /* a full table of tombstones still says never sent */
#define FULL(k) neverSent[k] = 1
#else
#define FULL(k) maybeSent[k] = 1
#endif
#ifdef NO_OWNERKEEP             /* tombstones are dropped while the dispatch may still come */
#define FORGET(k) :: d_step { state[k] == BURIED || state[k] == DONE -> printf("owner forgets %d\n", k); state[k] = NONE }
#else
#define FORGET(k)
#endif

init {
	owner[1] = 1;
	owner[2] = 1;
	do
	/* The request, or a repeat of it, arrives at the home. */
	:: d_step { homeUp && record == NONE && clock == VALID -> printf("home accepts\n");
		record = RUNNING; start(1, 1) }
	:: d_step { homeUp && record == NONE && clock == VALID && owner[1] == 2 -> printf("home accepts, new owner\n");
		record = RUNNING; start(1, 2) }
	:: d_step { homeUp && record == NONE && clock == VALID -> printf("home full, refuses\n");
#ifndef NO_HOMETOMBSTONE        /* notRun is said without recording it */
		record = NOTRUN;
#endif
		said = 1; CHECK }
#ifdef NO_HOMEFULL              /* without room for a tombstone notRun is said all the same */
	:: d_step { homeUp && record == NONE && clock == VALID -> printf("home has no room to record, refuses\n");
		said = 1; CHECK }
#endif
	:: d_step { homeUp && record == NONE && clock == EXPIRED -> printf("home refuses, expired\n");
		said = 1; CHECK }
#ifdef NO_RETENTION             /* an id past the retention is refused like an expired one */
	:: d_step { homeUp && record == NONE && clock == PAST -> printf("home refuses, past retention\n");
		said = 1; CHECK }
#endif
#ifdef NO_JOIN                  /* a repeat starts another attempt */
	:: d_step { homeUp && record == RUNNING && attempt == 1 -> printf("home runs the repeat\n"); start(2, owner[2]) }
#endif
	/* A second attempt. */
#ifdef NO_CANCEL                /* retries without knowing that the first was never sent */
	:: d_step { homeUp && record == RUNNING && attempt == 1 -> printf("home retries\n"); start(2, owner[2]) }
#else
	:: d_step { homeUp && record == RUNNING && attempt == 1 && neverSent[1] -> printf("home retries\n"); start(2, owner[2]) }
#endif
	HOME(1)
	HOME(2)
	OWNER(1)
	OWNER(2)
	/* The home's clock, the end of its records, its crash. */
	:: d_step { homeUp && clock < PAST -> printf("clock\n"); clock++ }
#ifdef NO_KEEP                  /* records are dropped before the ticket has expired */
	:: d_step { homeUp && record > RUNNING -> printf("home drops the record\n"); record = NONE }
#else
	:: d_step { homeUp && record > RUNNING && clock == PAST -> printf("home drops the record\n"); record = NONE }
#endif
	:: d_step { homeUp -> printf("home crashes\n"); homeUp = 0; record = NONE }
#ifdef NO_INCARNATION           /* a home that came back takes ids of its former incarnation */
	:: d_step { !homeUp && !handed -> printf("home is back\n"); homeUp = 1; clock = VALID }
#endif
	/* Planned stop. */
#ifdef NO_WAITEXPIRY            /* hands over while tickets are valid, and still accepts */
	:: d_step { homeUp && !handed && record != RUNNING -> printf("home hands over\n");
		handed = 1; handRecord = record; handClock = clock }
#elif defined(NO_WAITRUN)       /* hands over while requests run */
	:: d_step { homeUp && !handed && clock != VALID -> printf("home hands over\n");
		handed = 1; handRecord = (record == RUNNING -> NONE : record); handClock = clock; homeUp = 0 }
#else
	:: d_step { homeUp && !handed && clock != VALID && record != RUNNING -> printf("home hands over\n");
		handed = 1; handRecord = record; handClock = clock; homeUp = 0 }
#endif
	:: d_step { handed && !(parts & 1) -> printf("part 1 arrives\n"); parts = parts | 1 }
	:: d_step { handed && !(parts & 2) -> printf("part 2 arrives\n"); parts = parts | 2 }
	/* A repeat arrives at the successor. All else is answered unknown. */
	:: d_step { (parts & 1) && handRecord == NOTRUN -> printf("successor repeats notRun\n"); said = 1; CHECK }
#ifdef NO_COMPLETE              /* an id that is absent from a part counts as never run */
	:: d_step { parts == 2 && handClock != PAST -> printf("successor refuses\n"); said = 1; CHECK }
#endif
#ifdef NO_HANDOVERCLOCK         /* an id that the home had dropped counts as never run */
	:: d_step { parts == 3 && handRecord == NONE -> printf("successor refuses\n"); said = 1; CHECK }
#else
	:: d_step { parts == 3 && handRecord == NONE && handClock != PAST -> printf("successor refuses\n"); said = 1; CHECK }
#endif
#ifdef NO_HANDOVER              /* any other node refuses for a home that is gone */
	:: d_step { !homeUp && !handed -> printf("another node refuses\n"); said = 1; CHECK }
#endif
	od
}
