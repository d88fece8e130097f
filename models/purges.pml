/* Replication of a purge among three routers: router 0 issues it, it is replicated, a majority accepts it, and a
 * router trusts its log by a lease. A heartbeat carries what its sender held when it was written, and echoes the
 * latest time that the sender received from the heartbeat's recipient. It is received at any later time, or never. A
 * router that is stalled, cut off or restarting (with its store) takes no step: any step may wait for ever. Whether
 * routers 0 and 1 trust their logs affects no purge, so router 2 represents every router that did not issue the
 * purge, by symmetry.
 *
 * MISTAKE 1: the lease counts from the receipt of a heartbeat, not from the time that it echoes.
 * MISTAKE 2: a purge is accepted as soon as its issuer holds it.
 * MISTAKE 3: a heartbeat counts before the purges in its heads are held.
 */
#ifndef MISTAKE
#define MISTAKE 0
#endif
#define LEASE 1
#define END 6

byte now = 1;
bool holds[3];          /* the router's store has the purge */
byte accepted_at = 0;   /* 0: not accepted yet */
/* For routers 0 and 1: the heartbeat in transit to router 2, which a newer one replaces, and the latest time at
 * which router 2 had all that the sender had. */
bool in_transit[2], head[2];
byte echo[2], complete_at[2];

active proctype fleet() {
  byte sender;
  bool trusted;
  do
  :: now < END ->
    atomic {
      if
      :: now++
      :: now >= 2 && !holds[0] -> holds[0] = true
      :: holds[0] && !holds[1] -> holds[1] = true
      :: (holds[0] || holds[1]) && !holds[2] -> holds[2] = true
      /* A heartbeat is written. It echoes a recent time of router 2. */
      :: select(sender : 0 .. 1); in_transit[sender] = true; head[sender] = holds[sender]; 
         if :: echo[sender] = now :: now > 1 -> echo[sender] = now - 1 fi
      /* It is received. It counts once router 2 holds the purges in its heads. */
      :: select(sender : 0 .. 1);
         if
#if MISTAKE == 3
         :: in_transit[sender] ->
#else
         :: in_transit[sender] && (!head[sender] || holds[2]) ->
#endif
            in_transit[sender] = false;
#if MISTAKE == 1
            complete_at[sender] = now
#else
            if :: echo[sender] > complete_at[sender] -> complete_at[sender] = echo[sender] :: else fi
#endif
         :: else
         fi
      fi;
      /* The purge is reported as accepted: a majority holds it. */
#if MISTAKE == 2
      if :: accepted_at == 0 && holds[0] -> accepted_at = now :: else fi;
#else
      if :: accepted_at == 0 && holds[0] + holds[1] + holds[2] >= 2 -> accepted_at = now :: else fi;
#endif
      /* Router 2 trusts its log if, within the last lease, it had all that one other router had, and so all that a
       * majority had. */
      trusted = (complete_at[0] > 0 && complete_at[0] + LEASE >= now) ||
                (complete_at[1] > 0 && complete_at[1] + LEASE >= now);
      /* Later than a lease after the acceptance, no router that trusts its log lacks the purge. */
      assert(!(accepted_at > 0 && now > accepted_at + LEASE && trusted && !holds[2]));
      trusted = false; sender = 0
    }
  :: else -> break
  od
}
