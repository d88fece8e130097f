# Encoding of rollouts, as routers exchange them and as they are stored. See src/rollout/items.h and
# src/rollout/messages.h; rules for the fields that Cap'n Proto cannot express are in schemas/rules.json.
@0xa7c41be2905d3f86;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("walkpaddle::change::schema");

# An item of the replicated state.
struct Item {
  union {
    document @0 :Document;
    order @1 :Order;
    stop @2 :Stop;
  }
}

# The plan of a rollout. Times are in seconds.
struct Document {
  name @0 :Text;
  work @1 :UInt8;         # bits: 1 settings, 2 release
  before @2 :Text;        # generation of the fleet before the rollout
  after @3 :Text;         # generation that the fleet is to have
  by @4 :Text;            # who proposes it
  body @5 :Text;          # lines of settings, or the path of a program
  stages @6 :List(Float64);   # shares of the fleet; 0: one router
  txns @7 :UInt64;        # requests of each cohort that a stage needs
  leastS @8 :Float64;
  longestS @9 :Float64;
  warmUpS @10 :Float64;
  readyInS @11 :Float64;
  atOnce @12 :Float64;    # share of a site's routers that may move at a time
  harm @13 :Float64;      # excess events per request below which nothing is stopped
  ratio @14 :Float64;     # tolerated ratio of events to expected events
}

# The latest stage of a rollout that a majority has agreed to.
struct Order {
  change @0 :Text;
  term @1 :UInt64;
  stage @2 :UInt32;       # counts from 1; 0: no stage has begun
  done @3 :Bool;
}

# The stop of a rollout.
struct Stop {
  change @0 :Text;
  by @1 :UInt64;          # stable hash of the name of the router that stopped it
  at @2 :Float64;         # Unix time, seconds
  why @3 :Text;
}

# A message between a driver and the other routers.
struct Letter {
  union {
    ask @0 :Ask;
    report @1 :Report;
  }
}

# A request of a driver or of a candidate.
struct Ask {
  change @0 :UInt64;      # hash of the rollout's name
  term @1 :UInt64;        # the sender's term
  vote @2 :Bool;          # whether it asks for a vote
  stage @3 :UInt32;       # the latest stage decided
  wanted @4 :UInt32;      # the stage to agree to; 0: none
  turn @5 :UInt32;        # number of routers, from the start of the order, with a turn
}

# A router's answer to a driver or a candidate.
struct Report {
  change @0 :UInt64;      # hash of the rollout's name
  term @1 :UInt64;        # the latest term that the router promised
  granted @2 :Bool;       # whether the requested vote is granted
  acked @3 :UInt32;       # the latest stage that the router agreed to
  phase @4 :UInt8;        # old, moving, new, failed, held
  counters @5 :Counters;
  ackedUnder @6 :UInt64;  # the term under which it agreed
  sent @7 :UInt64;        # time of sending in microseconds of the router's clock, increasing; 0: not given
}

# The cumulative counts of one router in one epoch; see src/rollout/metrics.h.
struct Counters {
  epoch @0 :UInt64;
  txns @1 :UInt64;        # requests that ended
  refused @2 :UInt64;     # requests shed before they ran
  failed @3 :UInt64;
  late @4 :UInt64;        # requests served past their latency objective
  hops @5 :UInt64;        # attempts
  fills @6 :UInt64;       # attempts that the cache server had to fetch for
  turnedAway @7 :UInt64;  # attempts that a cache server had no capacity for
  breaches @8 :UInt64;    # violated invariants
  memoryMb @9 :Float32;
  cpuS @10 :Float64;
  took @11 :List(UInt32); # requests served, by bucket of their latency
}
