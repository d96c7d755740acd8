/*
 * The rate limit for one cold endpoint while two VMs may both coordinate its cell: A, which coordinates
 * it at all times, and B, which takes over when it can't reach A. R stands for all other VMs. Every link
 * may fail and recover at any time; a VM has a majority while it has heard R recently.
 *
 * A step is a quarter of a second. The rate limits are token buckets: the full rate is one request per
 * step with a burst of three, the half rate is one request every two steps with a burst of one. The
 * endpoint tolerates BOUND requests in any second: 1.5 x 4 + 5.
 *
 * Guards, each of which can be left out:
 *   NO_HOLD     B uses the full rate as soon as it coordinates, not only after HOLD steps
 *   NO_CONTEST  B doesn't ask whether other VMs see A running
 *   NO_ALONE    a period in which B hears no other VM counts as one in which it is the sole coordinator
 *   NO_MAJORITY a VM that has lost contact with the others keeps the full rate
 */
#define WINDOW 4
#define BOUND 11
/* For how many steps a VM counts others as running after it last heard them. */
#define LAPSE 3
/* For how many steps R counts A as running after it last heard A. It is less than LAPSE, since a hub of
 * the gossip exchanges with the VMs of its own failure domain often, so that it notices a stopped one
 * sooner than other VMs do (see core/bbgossip/table.go). */
#define SEEN 2
/* For how many steps B must have been the sole coordinator, and for how many of them it may hear no
 * other VM. */
#define HOLD 4
#define BLIND 1
#define MOST 5

bool linkAB = true, linkAR = true, linkBR = true;
byte aHeardR, bHeardR, rHeardA;
bool bWorks;
byte bSole;
byte aBucket = 6, bBucket = 2;       /* tokens, in halves of a request */
byte sent[WINDOW];
byte total;

inline older(age) { if :: age < MOST -> age++ :: else fi }

inline send(bucket) {
  if
  :: bucket >= 2 -> now_sent = now_sent + bucket / 2; bucket = bucket % 2
  :: true
  fi
}

inline refill(bucket, isFull) {
  if
  :: isFull -> bucket = (bucket + 2 > 6 -> 6 : bucket + 2)
  :: else -> bucket = (bucket + 1 > 2 -> 2 : bucket + 1)
  fi
}

active proctype steps() {
  byte now_sent;
  bool aFull, bFull, contested, alone;
  do
  :: d_step { now_sent = 0; older(aHeardR); older(bHeardR); older(rHeardA) }
     /* Any link may fail or recover. */
     if :: linkAB = !linkAB :: true fi;
     if :: linkAR = !linkAR :: true fi;
     if :: linkBR = !linkBR :: true fi;
     d_step {
       if :: linkAR -> aHeardR = 0; rHeardA = 0 :: else fi;
       if :: linkBR -> bHeardR = 0 :: else fi;
       /* R reports A to B while it counts A as running. */
       contested = linkBR && rHeardA <= SEEN;
#ifdef NO_CONTEST
       contested = false;
#endif
       if
       :: linkAB -> bWorks = false; bSole = 0
       :: else ->
          alone = bHeardR > BLIND;
#ifdef NO_ALONE
          alone = false;
#endif
          if :: contested || alone || !bWorks -> bSole = 0 :: else -> older(bSole) fi;
          bWorks = true
       fi;
       aFull = aHeardR <= LAPSE;
       bFull = bHeardR <= LAPSE && bSole >= HOLD;
#ifdef NO_HOLD
       bFull = bHeardR <= LAPSE && !contested;
#endif
#ifdef NO_MAJORITY
       aFull = true;
#endif
       refill(aBucket, aFull);
       refill(bBucket, bFull)
     };
     send(aBucket);
     if :: bWorks -> send(bBucket) :: else fi;
     d_step {
       total = total - sent[0] + now_sent;
       sent[0] = sent[1]; sent[1] = sent[2]; sent[2] = sent[3]; sent[3] = now_sent
     };
     assert(total <= BOUND)
  od
}
