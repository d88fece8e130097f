# The items of the calendar of freeze windows, as routers send them to each other and store them. The rules of
# the fields that Cap'n Proto cannot express are in schemas/rules.json; see src/freeze/calendar.h.
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
  sites @2 :List(Text);   # sorted; empty: all
  zone @3 :Text;
  from @4 :Local;
  until @5 :Local;
  blocks @6 :UInt8;       # kinds of change, as bits: 1 settings, 2 releases
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
  first @3 :Text;         # name of one approver
  second @4 :Text;        # name of the other approver
  version @5 :UInt32;
  untilS @6 :Float64;     # Unix time
}
