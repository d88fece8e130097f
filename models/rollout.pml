/* A rollout among three routers, as src/rollout/driver.cpp takes it from stage to stage. A router that wants to drive
 * asks for votes under a term that no other router uses. A router that votes promises this term if it is greater than
 * the one promised before, and reports the last stage that it agreed to. With a majority of votes the candidate
 * drives: it first requests again the stage that a voter agreed to under an earlier term, and then the next ones. A
 * stage begins once a majority agrees. Any router can issue a stop at any time; stops and begun stages spread by
 * gossip. Router 2 is the canary of stage 1, the others move in stage 2; a router that holds a stop rolls back.
 * Answers can be late or lost, and a driver can crash or stall at any time: any step may wait for ever. A stage
 * requested after a majority held a stop must not begin. Of two drivers, the one of the earlier term must begin no
 * stage beyond what the later one has begun or requests again. No stage is skipped. In the end, when no step is
 * possible any more, all routers must run the same generation, unless the rollout has stopped half-way without a
 * driver.
 *
 * MISTAKE 1: a new driver treats a stage that one router agreed to earlier as begun, without requesting it again.
 * MISTAKE 2: a router agrees to a request under an earlier term than it promised.
 * MISTAKE 3: a router agrees although it holds a stop.
 * MISTAKE 4: a router that crashes forgets its promise and votes at once.
 * MISTAKE 5: a router rolls back when it receives a stop, but does not check for it afterwards.
 */
#ifndef MISTAKE
#define MISTAKE 0
#endif
#define ROUTERS 3
#define CANDIDATES 2 /* candidates: routers 0 and 1, with terms 1 and 2 */
#define LAST_STAGE 2

/* begun_stage: the last stage that the router knows to have begun */
byte promised[ROUTERS], agreed_stage[ROUTERS], begun_stage[ROUTERS];
bool stop[ROUTERS], moved[ROUTERS];
/* votes, agreed: a bit for each router; requested: a stage, 0 for none; driver_stage: the last stage begun */
byte votes[CANDIDATES], requested[CANDIDATES], agreed[CANDIDATES], driver_stage[CANDIDATES];
byte adopted[CANDIDATES];
bool drives[CANDIDATES], late[CANDIDATES]; /* late: the stage was requested after a majority held a stop */
byte begun, crashes = 1;

#define BIT(r) (1 << r)
#define MAJORITY(bits) ((bits & 3) == 3 || (bits & 5) == 5 || (bits & 6) == 6)
#define STOPPED ((stop[0] && stop[1]) || (stop[0] && stop[2]) || (stop[1] && stop[2]))
#define STAGE_OF(r) (r == 2 -> 1 : 2)
#define MAX(a, b) (a > b -> a : b)

#if MISTAKE == 2
#define TERM_ALLOWS(k, r) true
#else
#define TERM_ALLOWS(k, r) (k + 1 >= promised[r])
#endif
#if MISTAKE == 3
#define HOLDS_STOP(r) false
#else
#define HOLDS_STOP(r) stop[r]
#endif

#define VOTE(k, r) :: atomic { k + 1 > promised[r] && !stop[r] -> promised[r] = k + 1; \
    if :: votes[k] = votes[k] | BIT(r); adopted[k] = MAX(adopted[k], agreed_stage[r]) :: skip /* lost */ fi }
#if MISTAKE == 1
#define ADOPT(k, own) if :: adopted[k] > begun -> assert(!STOPPED); begun = adopted[k]; begun_stage[own] = begun \
    :: else -> skip fi
#else
#define ADOPT(k, own) skip
#endif
#define DRIVE(k, own) :: atomic { !drives[k] && MAJORITY(votes[k]) && promised[own] == k + 1 -> drives[k] = true; \
    ADOPT(k, own); driver_stage[k] = MAX(begun_stage[own], (adopted[k] > 0 -> adopted[k] - 1 : 0)) }
#define REQUEST(k, own) :: atomic { drives[k] && requested[k] == 0 && driver_stage[k] < LAST_STAGE && \
    !HOLDS_STOP(own) -> \
    requested[k] = driver_stage[k] + 1; agreed[k] = 0; late[k] = STOPPED }
#define AGREE(k, r) :: atomic { drives[k] && requested[k] > agreed_stage[r] && TERM_ALLOWS(k, r) && !HOLDS_STOP(r) -> \
    promised[r] = MAX(promised[r], k + 1); agreed_stage[r] = requested[k]; \
    if :: agreed[k] = agreed[k] | BIT(r) :: skip /* lost */ fi } \
  :: atomic { drives[k] && requested[k] > 0 && requested[k] <= agreed_stage[r] && (agreed[k] & BIT(r)) == 0 && \
    TERM_ALLOWS(k, r) && !HOLDS_STOP(r) -> \
    promised[r] = MAX(promised[r], k + 1); agreed[k] = agreed[k] | BIT(r) }
#define BEGIN(k, own) :: atomic { requested[k] > 0 && MAJORITY(agreed[k]) -> \
    assert(!late[k]); assert(requested[k] <= begun + 1); \
    assert(k >= 1 || driver_stage[1] == 0 || !drives[1] || requested[k] <= MAX(driver_stage[1], adopted[1])); \
    driver_stage[k] = requested[k]; begun = MAX(begun, requested[k]); \
    begun_stage[own] = MAX(begun_stage[own], requested[k]); requested[k] = 0 }
#define STOP(r) :: atomic { !stop[r] && begun < LAST_STAGE -> RECEIVE_STOP(r) }
#define GOSSIP(a, b) :: atomic { stop[a] && !stop[b] -> RECEIVE_STOP(b) } \
  :: atomic { begun_stage[a] > begun_stage[b] -> begun_stage[b] = begun_stage[a] }
#if MISTAKE == 5
#define MOVE(r) :: atomic { !moved[r] && begun_stage[r] >= STAGE_OF(r) -> moved[r] = true }
#define ROLL_BACK(r)
#define RECEIVE_STOP(r) stop[r] = true; moved[r] = false
#else
#define ROLL_BACK(r) :: atomic { moved[r] && stop[r] -> moved[r] = false }
#define RECEIVE_STOP(r) stop[r] = true
#define MOVE(r) :: atomic { !moved[r] && !stop[r] && begun_stage[r] >= STAGE_OF(r) -> moved[r] = true }
#endif
#if MISTAKE == 4
#define CRASH(r) :: atomic { crashes > 0 -> crashes--; promised[r] = 0; agreed_stage[r] = 0; \
    stop[r] = false; begun_stage[r] = 0 }
#else
/* The store keeps the promise and the stop; the process starts with the old generation. */
#define CRASH(r) :: atomic { crashes > 0 -> crashes--; moved[r] = false }
#endif
#define ROUTER(r) STOP(r) MOVE(r) ROLL_BACK(r) CRASH(r) VOTE(0, r) VOTE(1, r) AGREE(0, r) AGREE(1, r)

active proctype fleet() {
end:
  do
  ROUTER(0) ROUTER(1) ROUTER(2)
  GOSSIP(0, 1) GOSSIP(0, 2) GOSSIP(1, 0) GOSSIP(1, 2) GOSSIP(2, 0) GOSSIP(2, 1)
  DRIVE(0, 0) DRIVE(1, 1)
  REQUEST(0, 0) REQUEST(1, 1)
  BEGIN(0, 0) BEGIN(1, 1)
  :: timeout -> break
  od;
  if
  :: stop[0] || stop[1] || stop[2] -> assert(!moved[0] && !moved[1] && !moved[2])
  :: else -> if :: begun == LAST_STAGE -> assert(moved[0] && moved[1] && moved[2]) :: else -> skip fi
  fi
}
