# What routers say to each other, and how a purge stands in the store. Fields are added at the end, never changed:
# an older router passes over what it does not know.
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
