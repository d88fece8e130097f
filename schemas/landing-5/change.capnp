# Rolling changes as routers tell them to each other, and as they stand in the store. See src/change/rollout.h;
# what Cap'n Proto cannot say of the fields stands in schemas/rules.json.
@0xa7c41be2905d3f86;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("walkpaddle::change::schema");

struct Item {
  union {
    document @0 :Document;
    order @1 :Order;
    stop @2 :Stop;
  }
}

struct Document {
  name @0 :Text;
  work @1 :UInt8;         # bits: settings, release
  before @2 :Text;
  after @3 :Text;
  by @4 :Text;
  body @5 :Text;
  stages @6 :List(Float64);   # shares of the fleet; 0: one router
  txns @7 :UInt64;
  leastS @8 :Float64;
  longestS @9 :Float64;
  warmUpS @10 :Float64;
  readyInS @11 :Float64;
  atOnce @12 :Float64;    # share of a site's routers
  harm @13 :Float64;      # share of txns
  ratio @14 :Float64;
}

# How far a change may go, as a majority has agreed.
struct Order {
  change @0 :Text;
  term @1 :UInt64;
  stage @2 :UInt32;       # from 1; 0: none yet
  done @3 :Bool;
}

struct Stop {
  change @0 :Text;
  by @1 :UInt64;          # stable hash of the router's name
  at @2 :Float64;
  why @3 :Text;
}

struct Letter {
  union {
    ask @0 :Ask;
    report @1 :Report;
  }
}

# From a driver, or from one that wants to be.
struct Ask {
  change @0 :UInt64;      # a hash of its name
  term @1 :UInt64;
  vote @2 :Bool;
  stage @3 :UInt32;       # decided
  wanted @4 :UInt32;      # to be agreed to; 0: nothing
  turn @5 :UInt32;        # so many of the order may have moved
}

struct Report {
  change @0 :UInt64;
  term @1 :UInt64;        # promised
  granted @2 :Bool;
  acked @3 :UInt32;
  phase @4 :UInt8;        # old, moving, new, failed, held
  counters @5 :Counters;
  ackedUnder @6 :UInt64;  # the term under which it agreed
  sent @7 :UInt64;        # microseconds of its router's clock, each greater than the last; 0: not told
}

# What one router counted since its epoch began; see src/change/evidence.h.
struct Counters {
  epoch @0 :UInt64;
  txns @1 :UInt64;
  refused @2 :UInt64;
  failed @3 :UInt64;
  late @4 :UInt64;
  hops @5 :UInt64;
  fills @6 :UInt64;
  turnedAway @7 :UInt64;
  breaches @8 :UInt64;
  memoryMb @9 :Float32;
  cpuS @10 :Float64;
  took @11 :List(UInt32);
}
