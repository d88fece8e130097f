/* Anti-entropy of observations among three routers, as src/gossip/exchange.cpp implements it. A router compares its
 * digests with those of a peer; the peer sends the observations that it holds in ranges that differ, and its digests;
 * the router applies them and sends back what the peer lacks. Router r can observe observation r at any time, and
 * again after a crash, since its discovery still reports it. Observation 0 expires at some time, a different one at
 * each router, as their clocks differ; the router then removes it. Faults, each at any time: one message is lost; one
 * router crashes and loses all observations. A router that is stalled or cut off is one that takes no step: any step
 * may wait. An expired observation must never return at a router. In the end, when no step is possible any more,
 * every router must hold every observation that has not expired.
 *
 * MISTAKE 1: a router compares only until its first catch-up has finished, and then relies on rumours.
 * MISTAKE 2: a router applies an observation that has expired on its own clock, from a peer whose clock is behind.
 * MISTAKE 3: the catch-up is counted as finished when an answer is sent, whether it arrives or not.
 */
#ifndef MISTAKE
#define MISTAKE 0
#endif
#define N 3
#define PRESENT 8 /* marks a message in transit, as it may carry no observations */

byte held[N];        /* observations held, a bit for each */
/* In transit to router a: what its peer held when a's digests arrived; one comparison at a time. */
byte answer[N];
byte reply[N];       /* in transit from router a to its peer: what the peer lacks */
byte peer[N];
bool expired[N], caught_up[N];
byte losses = 1, crashes = 1;

#if MISTAKE == 2
#define APPLY(r, what) held[r] = held[r] | (what & 7); assert(!expired[r] || (held[r] & 1) == 0)
#else
#define APPLY(r, what) held[r] = held[r] | (what & (expired[r] -> 6 : 7)); assert(!expired[r] || (held[r] & 1) == 0)
#endif

#if MISTAKE == 1 || MISTAKE == 3
#define MAY_COMPARE(a) !caught_up[a]
#else
#define MAY_COMPARE(a) true
#endif

#if MISTAKE == 3
#define ON_ANSWER_SENT(a) caught_up[a] = true
#define ON_ANSWER_APPLIED(a) skip
#elif MISTAKE == 1
#define ON_ANSWER_SENT(a) skip
#define ON_ANSWER_APPLIED(a) caught_up[a] = true
#else
#define ON_ANSWER_SENT(a) skip
#define ON_ANSWER_APPLIED(a) skip
#endif

#define OBSERVE(r) :: atomic { (held[r] & (1 << r)) == 0 && !(r == 0 && expired[0]) -> held[r] = held[r] | (1 << r) }
#define EXPIRE(r) :: atomic { !expired[r] -> expired[r] = true; held[r] = held[r] & 6 }
#define COMPARE(a, b) :: atomic { MAY_COMPARE(a) && held[a] != held[b] && answer[a] == 0 && reply[a] == 0 -> \
    answer[a] = held[b] | PRESENT; peer[a] = b; ON_ANSWER_SENT(a) }
#define RECEIVE_ANSWER(a) :: atomic { answer[a] != 0 -> APPLY(a, answer[a]); ON_ANSWER_APPLIED(a); \
    if :: (held[a] & ~answer[a] & 7) != 0 -> reply[a] = held[a] | PRESENT :: else -> peer[a] = 0 fi; answer[a] = 0 }
#define RECEIVE_REPLY(a) :: atomic { reply[a] != 0 -> APPLY(peer[a], reply[a]); reply[a] = 0; peer[a] = 0 }
#define LOSE(a) :: atomic { losses > 0 && (answer[a] != 0 || reply[a] != 0) -> \
    losses--; answer[a] = 0; reply[a] = 0; peer[a] = 0 }
#define MESSAGES(a) RECEIVE_ANSWER(a) RECEIVE_REPLY(a) LOSE(a)
/* The router starts again without observations. An answer in transit to it belongs to the earlier start and is
 * discarded. */
#define CRASH(r) :: atomic { crashes > 0 -> crashes--; held[r] = 0; caught_up[r] = false; \
    answer[r] = 0; if :: reply[r] == 0 -> peer[r] = 0 :: else fi }

active proctype fleet() {
  byte r;
  do
  OBSERVE(0) OBSERVE(1) OBSERVE(2)
  EXPIRE(0) EXPIRE(1) EXPIRE(2)
  COMPARE(0, 1) COMPARE(0, 2) COMPARE(1, 0) COMPARE(1, 2) COMPARE(2, 0) COMPARE(2, 1)
  MESSAGES(0) MESSAGES(1) MESSAGES(2)
  CRASH(0) CRASH(1)
  :: timeout -> break
  od;
  for (r : 0 .. N - 1) { assert(held[r] == 6) }
}
