# The calendar of freeze windows as routers tell it to each other, and as it stands in the store. One item is one
# of these. What Cap'n Proto cannot say of the fields stands in schemas/rules.json; see src/freeze/calendar.h.
@0xd3a94f0b6c1e7258;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("walkpaddle::freeze::schema");

struct Item {
  union {
    window @0 :Window;
    withdrawal @1 :Withdrawal;
    exception @2 :Exception;
  }
}

struct Local {
  year @0 :UInt16;     # 0: each year
  month @1 :UInt8;
  day @2 :UInt8;
  hour @3 :UInt8;
  minute @4 :UInt8;
}

struct Window {
  name @0 :Text;
  version @1 :UInt32;
  sites @2 :List(Text);   # in order; none: all
  zone @3 :Text;
  from @4 :Local;
  until @5 :Local;
  blocks @6 :UInt8;       # bits: settings, releases
  leadS @7 :Float64;
  by @8 :Text;
}

struct Withdrawal {
  window @0 :Text;
  version @1 :UInt32;
  holder @2 :UInt64;
}

struct Exception {
  change @0 :Text;
  window @1 :Text;
  reason @2 :Text;
  first @3 :Text;         # who approves
  second @4 :Text;        # another
  version @5 :UInt32;
  untilS @6 :Float64;     # Unix time
}
