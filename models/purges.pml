/* Purges between three routers: issuing at router 0, spreading, acceptance by a majority, trust by a lease.
 * A beat is what a router held when it was written, with the latest time of its reader's that it had had; it is read
 * at any later time, or never. A router that is frozen, cut off or restarting (with its store) is one that does
 * nothing: any step may wait for ever. What routers 0 and 1 trust moves no purge, so router 2 stands for all that
 * did not issue; by symmetry it is any of them.
 *
 * MISTAKE 1: trust counts from the receipt of a beat, not from the time that it echoes.
 * MISTAKE 2: a purge is accepted as soon as its issuer holds it.
 * MISTAKE 3: a beat counts before what it tells of is held.
 */
#ifndef MISTAKE
#define MISTAKE 0
#endif
#define LEASE 1
#define END 6

byte now = 1;
bool holds[3];          /* the purge is in its store */
byte accepted_at = 0;   /* 0: not yet */
/* For routers 0 and 1: their beat on its way to router 2 (a newer one overtakes it), and what 2 makes of them. */
bool there[2], says[2];
byte echo[2], complete[2];

active proctype world() {
  byte j;
  bool ok;
  do
  :: now < END ->
    atomic {
      if
      :: now++
      :: now >= 2 && !holds[0] -> holds[0] = true
      :: holds[0] && !holds[1] -> holds[1] = true
      :: (holds[0] || holds[1]) && !holds[2] -> holds[2] = true
      /* A beat is written; it brings back some time of router 2's from up to now. */
      :: select(j : 0 .. 1); there[j] = true; says[j] = holds[j]; 
         if :: echo[j] = now :: now > 1 -> echo[j] = now - 1 fi
      /* It is read; it counts once router 2 holds what it tells of. */
      :: select(j : 0 .. 1);
         if
#if MISTAKE == 3
         :: there[j] ->
#else
         :: there[j] && (!says[j] || holds[2]) ->
#endif
            there[j] = false;
#if MISTAKE == 1
            complete[j] = now
#else
            if :: echo[j] > complete[j] -> complete[j] = echo[j] :: else fi
#endif
         :: else
         fi
      fi;
      /* The operator hears that a majority holds it. */
#if MISTAKE == 2
      if :: accepted_at == 0 && holds[0] -> accepted_at = now :: else fi;
#else
      if :: accepted_at == 0 && holds[0] + holds[1] + holds[2] >= 2 -> accepted_at = now :: else fi;
#endif
      /* Router 2 trusts its book if it was complete with one other, and so with a majority, a lease ago at most. */
      ok = (complete[0] > 0 && complete[0] + LEASE >= now) || (complete[1] > 0 && complete[1] + LEASE >= now);
      /* Later than a lease after the acceptance nobody who trusts its book lacks the purge. */
      assert(!(accepted_at > 0 && now > accepted_at + LEASE && ok && !holds[2]));
      ok = false; j = 0
    }
  :: else -> break
  od
}
