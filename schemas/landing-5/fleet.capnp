# What routers say to each other, and how a purge stands in the store. Fields are added at the end, never changed:
# an older router passes over what it does not know. The test compat_kept holds this to what earlier landings read
# (schemas/); what Cap'n Proto cannot say of the fields stands in schemas/rules.json.
@0xb7d3a1c94e5f2a68;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("walkpaddle::fleet::schema");

struct Entry {
  at @0 :Float64;      # stamp: seconds on the issuer's clock
  issuer @1 :UInt64;
  number @2 :UInt64;   # from 1, without a gap
  kind @3 :UInt8;      # object, group, tag, pattern, all
  what @4 :Text;
  from @5 :Float64;    # store only: copies made before are old, on the clock of the router that wrote it
  place @6 :UInt64;    # store only: its order of hearing
}

struct Head {
  issuer @0 :UInt64;
  number @1 :UInt64;      # held for good up to here
  base @2 :UInt64;        # dropped up to here
  givenUpAgo @3 :Float64; # how old the newest is that was dropped for want of room; 0: none
}

struct Message {
  union {
    hello @0 :Hello;
    beat @1 :Beat;
    entry @2 :Entry;
    want @3 :Want;
    retiredFacts @4 :Facts;   # facts go in packets since; passed over
    retiredHeld @5 :UInt64;
  }
}

struct Hello {
  version @0 :UInt16;
  name @1 :Text;
}

struct Beat {
  time @0 :Float64;   # the sender's clock
  echo @1 :Float64;   # the latest time it had from the receiver
  whole @2 :Bool;     # it holds all that was accepted before its start
  heads @3 :List(Head);
}

struct Want {
  issuer @0 :UInt64;
  from @1 :UInt64;
}

# What one router saw of one cache server in one of its starts; see src/replica/facts.h.
struct Fact {
  server @0 :UInt64;
  started @1 :Float64;   # on the list's clock; 0: long ago
  observer @2 :UInt64;
  micros @3 :Int64;      # when it was seen, on the fleet's hybrid clock
  count @4 :UInt32;
  health @5 :UInt8;      # ready, slow, cold, draining, down
  limit @6 :Float64;     # 0: not known
}

struct Facts {
  facts @0 :List(Fact);
  through @1 :UInt64;    # with these the receiver holds all of the sender's up to here
}

# What one router believes of another; see src/fleet/members.h.
struct Record {
  who @0 :UInt64;
  incarnation @1 :UInt64;
  by @2 :UInt64;         # of a suspicion
  state @3 :UInt8;       # alive, suspect, dead
  reads @4 :UInt64;      # versions of the channels that it reads, a byte each; 0: it did not say
}

# One datagram between routers; see src/fleet/gossip.h.
struct Packet {
  version @0 :UInt16;
  kind @1 :UInt8;
  more @2 :Bool;
  fills @3 :UInt32;
  from @4 :UInt64;        # the sender, a hash of its name
  incarnation @5 :UInt64;
  number @6 :UInt64;
  about @7 :UInt64;
  records @8 :List(Record);
  facts @9 :List(Fact);
  digests @10 :List(UInt64);
  belief @11 :Belief;     # with kinds that carry one
  items @12 :List(Item);  # of kinds of state that this file does not know; a letter has one
  at @13 :Float64;        # the sender's clock; 0: of a router that did not tell it
  reads @14 :UInt64;      # as in its record
}

# One item of a kind of replicated state; see src/replica/kind.h.
struct Item {
  kind @0 :UInt8;
  bytes @1 :Data;
}

# A part of what a router's module has learnt, kept for it by others; see src/fleet/keepers.h.
struct Belief {
  router @0 :UInt64;
  at @1 :Float64;         # when it was so, on that router's clock
  part @2 :UInt16;
  parts @3 :UInt16;
  link @4 :Float32;
  rooms @5 :List(Room);
  rules @6 :List(Rule);
  misses @7 :Float32 = -1;   # under 0: not known
  objects @8 :List(Heat);
}

struct Room {
  server @0 :UInt64;
  hops @1 :Float32;
  fills @2 :Float32;
}

struct Heat {
  object @0 :UInt64;
  count @1 :Float32;
}

struct Rule {
  sending @0 :Float32;
  answers @1 :UInt32;
}
