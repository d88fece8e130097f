/* Facts of servers between three routers, as src/replica/watch.cpp sends them: each router numbers the facts it
 * takes in its order of taking; a peer is sent those after the last number it acknowledged, and again when the
 * batch or its acknowledgement is lost; a router that connects anew is sent all again. Router r sees fact r on its
 * own list, at any time, and again after a crash, since its list says it still. Faults, each at any moment: a batch
 * or an acknowledgement lost (two at most), a router that crashes and loses all it held (once). A router that is
 * stalled or cut off is one that takes no step: any step may wait. Once nothing can happen any more, after the
 * last fault, every router holds every fact.
 *
 * MISTAKE 1: a router that connects anew is sent only what came after its last acknowledgement before the crash.
 * MISTAKE 2: a batch that is lost is taken as held by its sender.
 */
#ifndef MISTAKE
#define MISTAKE 0
#endif
#define N 3

byte has[N];        /* facts held, one bit each */
byte log[N * N];    /* router r's facts in its order of taking: log[r * N + k] */
byte size[N];
byte acked[N * N];  /* [from * N + to]: to holds from's log up to here */
byte flight[N * N]; /* a batch on its way up to here; 0: none */
byte losses = 2, crashes = 1;

inline take(who, what) {
  if
  :: (has[who] & (1 << what)) == 0 -> has[who] = has[who] | (1 << what); log[who * N + size[who]] = what; size[who]++
  :: else
  fi
}

#define SEE(r) :: atomic { (has[r] & (1 << r)) == 0 -> take(r, r) }
/* A batch of what the peer lacks goes out. */
#define SEND(a, b) :: atomic { flight[a * N + b] == 0 && acked[a * N + b] < size[a] -> flight[a * N + b] = size[a] }
/* It arrives; its acknowledgement may be lost. */
#define ARRIVE(a, b) :: atomic { flight[a * N + b] > 0 -> \
    k = acked[a * N + b]; \
    do :: k < flight[a * N + b] -> take(b, log[a * N + k]); k++ :: else -> break od; \
    if :: acked[a * N + b] = flight[a * N + b] :: losses > 0 -> losses-- fi; \
    flight[a * N + b] = 0; k = 0 }
#define PAIR(a, b) SEND(a, b) ARRIVE(a, b) LOSE(a, b)
#if MISTAKE == 2
#define LOSE(a, b) :: atomic { flight[a * N + b] > 0 && losses > 0 -> losses--; acked[a * N + b] = flight[a * N + b]; flight[a * N + b] = 0 }
#else
#define LOSE(a, b) :: atomic { flight[a * N + b] > 0 && losses > 0 -> losses--; flight[a * N + b] = 0 }
#endif
/* A router crashes and starts again with nothing; its links are new. */
#if MISTAKE == 1
#define FORGET(r, t) acked[r * N + t] = 0
#else
#define FORGET(r, t) acked[t * N + r] = 0; acked[r * N + t] = 0
#endif
#define CRASH(r) :: atomic { crashes > 0 -> crashes--; has[r] = 0; size[r] = 0; \
    for (t : 0 .. N - 1) { FORGET(r, t); flight[t * N + r] = 0; flight[r * N + t] = 0 }; t = 0 }

active proctype world() {
  byte r, t, k;
  do
  SEE(0) SEE(1) SEE(2)
  PAIR(0, 1) PAIR(0, 2) PAIR(1, 0) PAIR(1, 2) PAIR(2, 0) PAIR(2, 1)
  CRASH(0) CRASH(1) CRASH(2)
  :: timeout -> break
  od;
  for (r : 0 .. N - 1) { assert(has[r] == (1 << N) - 1) }
}
