# Messages between routers, and the stored form of purges, observations and snapshots. Fields are added at the end
# and never changed, as older routers ignore fields that they do not know. The test compat_kept checks that earlier
# releases (schemas/) can read this schema; rules that Cap'n Proto cannot express are in schemas/rules.json.
@0xb7d3a1c94e5f2a68;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("walkpaddle::fleet::schema");

# One purge; see src/purge/entry.h.
struct Entry {
  at @0 :Float64;      # time of issue in seconds on the issuer's clock; part of the stamp
  issuer @1 :UInt64;
  number @2 :UInt64;   # number among the issuer's purges, from 1 without gaps
  kind @3 :UInt8;      # 0 to 4: object, group, tag, pattern, all
  what @4 :Text;
  from @5 :Float64;    # store only: copies made before this are stale, on the clock of the router that wrote it
  place @6 :UInt64;    # store only: position in the order of arrival at that router
}

# How far a router's purge log has come for one issuer.
struct Head {
  issuer @0 :UInt64;
  number @1 :UInt64;      # the log has all up to this number, on disk if the router has a store
  base @2 :UInt64;        # all up to this number were dropped from the log
  givenUpAgo @3 :Float64; # age in seconds of the newest purge that was dropped for want of room; 0: none
}

# One message on a link between two routers.
struct Message {
  union {
    hello @0 :Hello;
    beat @1 :Beat;
    entry @2 :Entry;
    want @3 :Want;
    retiredFacts @4 :Facts;   # replaced by Packet.facts; ignored
    retiredHeld @5 :UInt64;
  }
}

# The first message on a link.
struct Hello {
  version @0 :UInt16;
  name @1 :Text;
}

# A heartbeat.
struct Beat {
  time @0 :Float64;   # in seconds on the sender's clock
  echo @1 :Float64;   # the latest time received from the receiver of this heartbeat
  whole @2 :Bool;     # the sender's log has all that was accepted before its start
  heads @3 :List(Head);
}

# Requests an issuer's purges from a number on.
struct Want {
  issuer @0 :UInt64;
  from @1 :UInt64;
}

# What one router saw of one endpoint during one of its runs; see src/replica/endpoint_observation.h.
struct Fact {
  server @0 :UInt64;
  started @1 :Float64;   # the endpoint's start on discovery's clock; 0: long ago
  observer @2 :UInt64;
  micros @3 :Int64;      # physical part of the hybrid timestamp of the observation
  count @4 :UInt32;      # logical part of that timestamp
  health @5 :UInt8;      # 0 to 4: ready, slow, cold, draining, down
  limit @6 :Float64;     # concurrency limit; 0: not known
}

# Part of Message.retiredFacts, which is ignored.
struct Facts {
  facts @0 :List(Fact);
  through @1 :UInt64;    # with these the receiver has all of the sender's facts up to this number
}

# A router's record of a member of the fleet; see src/membership/member.h.
struct Record {
  who @0 :UInt64;        # the member
  incarnation @1 :UInt64;
  by @2 :UInt64;         # for a suspicion: the member that raised it
  state @3 :UInt8;       # 0 to 2: alive, suspect, dead
  reads @4 :UInt64;      # the version that the member reads of each channel, a byte each; 0: not announced
}

# One gossip datagram; see src/gossip/packet.h.
struct Packet {
  version @0 :UInt16;
  kind @1 :UInt8;         # see PacketKind
  more @2 :Bool;          # digest reply: some ranges that differ were left out
  fills @3 :UInt32;       # digest reply: how many deltas were sent before it
  from @4 :UInt64;        # the sender, as a hash of its name
  incarnation @5 :UInt64; # the sender's
  number @6 :UInt64;      # of the probe or comparison
  about @7 :UInt64;       # ping request: the target
  records @8 :List(Record);
  facts @9 :List(Fact);
  digests @10 :List(UInt64);
  belief @11 :Belief;     # with kind snapshot
  items @12 :List(Item);  # of kinds of state that have their own schemas; kind message has one
  at @13 :Float64;        # the send time on the sender's clock; 0: not given
  reads @14 :UInt64;      # as in the sender's Record
}

# One item of a kind of replicated state; see src/replica/replicated_state.h.
struct Item {
  kind @0 :UInt8;
  bytes @1 :Data;
}

# A part of a router's snapshot that other routers store for it; see src/gossip/replicated_snapshot.h.
struct Belief {
  router @0 :UInt64;
  at @1 :Float64;         # when the snapshot was taken, on that router's clock
  part @2 :UInt16;        # index of this part
  parts @3 :UInt16;       # number of parts
  link @4 :Float32;       # concurrency limit of fills over the location's link; 0: not known
  rooms @5 :List(Room);
  rules @6 :List(Rule);   # by request class, with part 0 only
  misses @7 :Float32 = -1;   # miss ratio, 0 to 1; under 0: not known
  objects @8 :List(Heat);
}

# The concurrency limits of one endpoint.
struct Room {
  server @0 :UInt64;
  hops @1 :Float32;       # attempts in flight
  fills @2 :Float32;      # fills in flight
}

# The reference counter of one object.
struct Heat {
  object @0 :UInt64;
  count @1 :Float32;
}

# The mean service time of one class of requests.
struct Rule {
  sending @0 :Float32;    # seconds
  answers @1 :UInt32;     # number of answers in the mean
}
