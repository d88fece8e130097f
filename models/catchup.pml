/* Facts of servers between three routers, as src/gossip/exchange.cpp carries them: a router compares its digests with
 * another's; that one sends what it holds where they differ, with its digests; the first takes it and sends back
 * what the other lacked by them. Router r sees fact r on its own list, at any time, and again after a crash, since
 * its list says it still. Fact 0 is past its time at some moment, a different one at each router, whose clocks
 * differ: then it is dropped there. Faults, each at any moment: a message lost (once), a router that crashes
 * and loses all it held (once). A router that is stalled or cut off is one that takes no step: any step may wait.
 * A fact that was dropped never comes back; once nothing can happen any more, after the last fault, every router
 * holds every fact that is not past.
 *
 * MISTAKE 1: a router compares until it has caught up once after its start, and then relies on pushes.
 * MISTAKE 2: a fact past its time here is taken from another whose clock is behind.
 * MISTAKE 3: an answer is counted as taken when it was sent, whether it arrived or not, and so is the catch-up.
 */
#ifndef MISTAKE
#define MISTAKE 0
#endif
#define N 3
#define HERE 8 /* marks a message: its facts may be none */

byte has[N];         /* facts held, one bit each */
byte answer[N];      /* on its way to a, what its peer held when a's digests came; one comparison at a time */
byte back[N];        /* on its way from a to its peer, what that one lacked */
byte peer[N];
bool past[N], caught[N];
byte losses = 1, crashes = 1;

#if MISTAKE == 2
#define TAKE(r, what) has[r] = has[r] | (what & 7); assert(!past[r] || (has[r] & 1) == 0)
#else
#define TAKE(r, what) has[r] = has[r] | (what & (past[r] -> 6 : 7)); assert(!past[r] || (has[r] & 1) == 0)
#endif

#if MISTAKE == 1 || MISTAKE == 3
#define COMPARES(a) !caught[a]
#else
#define COMPARES(a) true
#endif

#if MISTAKE == 3
#define SENT(a) caught[a] = true
#define TAKEN(a) skip
#elif MISTAKE == 1
#define SENT(a) skip
#define TAKEN(a) caught[a] = true
#else
#define SENT(a) skip
#define TAKEN(a) skip
#endif

#define SEE(r) :: atomic { (has[r] & (1 << r)) == 0 && !(r == 0 && past[0]) -> has[r] = has[r] | (1 << r) }
#define PAST(r) :: atomic { !past[r] -> past[r] = true; has[r] = has[r] & 6 }
#define COMPARE(a, b) :: atomic { COMPARES(a) && has[a] != has[b] && answer[a] == 0 && back[a] == 0 -> \
    answer[a] = has[b] | HERE; peer[a] = b; SENT(a) }
#define ANSWERED(a) :: atomic { answer[a] != 0 -> TAKE(a, answer[a]); TAKEN(a); \
    if :: (has[a] & ~answer[a] & 7) != 0 -> back[a] = has[a] | HERE :: else -> peer[a] = 0 fi; answer[a] = 0 }
#define BACK(a) :: atomic { back[a] != 0 -> TAKE(peer[a], back[a]); back[a] = 0; peer[a] = 0 }
#define LOSE(a) :: atomic { losses > 0 && (answer[a] != 0 || back[a] != 0) -> \
    losses--; answer[a] = 0; back[a] = 0; peer[a] = 0 }
#define MESSAGES(a) ANSWERED(a) BACK(a) LOSE(a)
/* It starts again with nothing; what was on its way to it finds another start. */
#define CRASH(r) :: atomic { crashes > 0 -> crashes--; has[r] = 0; caught[r] = false; \
    answer[r] = 0; if :: back[r] == 0 -> peer[r] = 0 :: else fi }

active proctype world() {
  byte r;
  do
  SEE(0) SEE(1) SEE(2)
  PAST(0) PAST(1) PAST(2)
  COMPARE(0, 1) COMPARE(0, 2) COMPARE(1, 0) COMPARE(1, 2) COMPARE(2, 0) COMPARE(2, 1)
  MESSAGES(0) MESSAGES(1) MESSAGES(2)
  CRASH(0) CRASH(1)
  :: timeout -> break
  od;
  for (r : 0 .. N - 1) { assert(has[r] == 6) }
}
