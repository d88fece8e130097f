/* A rolling change among three routers, as src/rollout/driver.cpp takes it from stage to stage: who wants to drive
 * asks for votes under a term that nobody else uses; a router promises the greater term, and tells the stage that it
 * agreed to last. With a majority's promises it drives: what one of them agreed to under an earlier term it asks for
 * again, then for the next; a majority's agreement decides. Any router may hold a stop at any moment; stops and what
 * is decided spread as news. Router 2 is the canary of stage 1, the others move at stage 2; who holds a stop goes
 * back. Answers may be lost, late or never come, a driver may crash or stall at any moment: a step may wait for ever.
 * A decision that was asked for after a majority held a stop does not happen; of two drivers the one of the earlier
 * term decides nothing past what the later one decided or asks for again; no stage is skipped. Once nothing can happen any more, all are on
 * one generation, unless the change stands still without a driver.
 *
 * MISTAKE 1: a new driver takes what one agreed to earlier for decided, without asking for it again.
 * MISTAKE 2: a router agrees to what is asked under a term that it has left.
 * MISTAKE 3: a router agrees though it holds a stop.
 * MISTAKE 4: a router that crashed has forgotten its promise, and votes at once.
 * MISTAKE 5: a router goes back when it hears of a stop, and does not look again once it holds it.
 */
#ifndef MISTAKE
#define MISTAKE 0
#endif
#define N 3
#define K 2 /* who wants to drive: routers 0 and 1, with terms 1 and 2 */
#define LAST 2

byte promised[N], acked[N], knows[N]; /* knows: the stage that it takes for decided */
bool stop[N], anew[N];
byte votes[K], asks[K], agreed[K], decided_by[K]; /* bits of routers; the stage that is asked for, 0: none */
byte adopts[K];
bool drives[K], late[K]; /* late: asked for after a majority held the stop */
byte decided, crashes = 1;

#define BIT(r) (1 << r)
#define MANY(bits) ((bits & 3) == 3 || (bits & 5) == 5 || (bits & 6) == 6)
#define STOPPED ((stop[0] && stop[1]) || (stop[0] && stop[2]) || (stop[1] && stop[2]))
#define AT(r) (r == 2 -> 1 : 2)
#define MAX(a, b) (a > b -> a : b)

#if MISTAKE == 2
#define FENCED(k, r) true
#else
#define FENCED(k, r) (k + 1 >= promised[r])
#endif
#if MISTAKE == 3
#define STOPS(r) false
#else
#define STOPS(r) stop[r]
#endif

#define VOTE(k, r) :: atomic { k + 1 > promised[r] && !stop[r] -> promised[r] = k + 1; \
    if :: votes[k] = votes[k] | BIT(r); adopts[k] = MAX(adopts[k], acked[r]) :: skip /* lost */ fi }
#if MISTAKE == 1
#define TAKES(k, own) if :: adopts[k] > decided -> assert(!STOPPED); decided = adopts[k]; knows[own] = decided \
    :: else -> skip fi
#else
#define TAKES(k, own) skip
#endif
#define DRIVE(k, own) :: atomic { !drives[k] && MANY(votes[k]) && promised[own] == k + 1 -> drives[k] = true; \
    TAKES(k, own); decided_by[k] = MAX(knows[own], (adopts[k] > 0 -> adopts[k] - 1 : 0)) }
#define ASK(k, own) :: atomic { drives[k] && asks[k] == 0 && decided_by[k] < LAST && !STOPS(own) -> \
    asks[k] = decided_by[k] + 1; agreed[k] = 0; late[k] = STOPPED }
#define AGREE(k, r) :: atomic { drives[k] && asks[k] > acked[r] && FENCED(k, r) && !STOPS(r) -> \
    promised[r] = MAX(promised[r], k + 1); acked[r] = asks[k]; \
    if :: agreed[k] = agreed[k] | BIT(r) :: skip /* lost */ fi } \
  :: atomic { drives[k] && asks[k] > 0 && asks[k] <= acked[r] && (agreed[k] & BIT(r)) == 0 && FENCED(k, r) && !STOPS(r) -> \
    promised[r] = MAX(promised[r], k + 1); agreed[k] = agreed[k] | BIT(r) }
#define DECIDE(k, own) :: atomic { asks[k] > 0 && MANY(agreed[k]) -> \
    assert(!late[k]); assert(asks[k] <= decided + 1); \
    assert(k >= 1 || decided_by[1] == 0 || !drives[1] || asks[k] <= MAX(decided_by[1], adopts[1])); \
    decided_by[k] = asks[k]; decided = MAX(decided, asks[k]); knows[own] = MAX(knows[own], asks[k]); asks[k] = 0 }
#define STOP(r) :: atomic { !stop[r] && decided < LAST -> HEARS(r) }
#define NEWS(a, b) :: atomic { stop[a] && !stop[b] -> HEARS(b) } \
  :: atomic { knows[a] > knows[b] -> knows[b] = knows[a] }
#if MISTAKE == 5
#define MOVE(r) :: atomic { !anew[r] && knows[r] >= AT(r) -> anew[r] = true }
#define BACK(r)
#define HEARS(r) stop[r] = true; anew[r] = false
#else
#define BACK(r) :: atomic { anew[r] && stop[r] -> anew[r] = false }
#define HEARS(r) stop[r] = true
#define MOVE(r) :: atomic { !anew[r] && !stop[r] && knows[r] >= AT(r) -> anew[r] = true }
#endif
#if MISTAKE == 4
#define CRASH(r) :: atomic { crashes > 0 -> crashes--; promised[r] = 0; acked[r] = 0; stop[r] = false; knows[r] = 0 }
#else
/* Its store keeps what it promised and holds; its process starts as its machine has it. */
#define CRASH(r) :: atomic { crashes > 0 -> crashes--; anew[r] = false }
#endif
#define ALL(r) STOP(r) MOVE(r) BACK(r) CRASH(r) VOTE(0, r) VOTE(1, r) AGREE(0, r) AGREE(1, r)

active proctype fleet() {
end:
  do
  ALL(0) ALL(1) ALL(2)
  NEWS(0, 1) NEWS(0, 2) NEWS(1, 0) NEWS(1, 2) NEWS(2, 0) NEWS(2, 1)
  DRIVE(0, 0) DRIVE(1, 1)
  ASK(0, 0) ASK(1, 1)
  DECIDE(0, 0) DECIDE(1, 1)
  :: timeout -> break
  od;
  if
  :: stop[0] || stop[1] || stop[2] -> assert(!anew[0] && !anew[1] && !anew[2])
  :: else -> if :: decided == LAST -> assert(anew[0] && anew[1] && anew[2]) :: else -> skip fi
  fi
}
