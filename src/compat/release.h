// What one release of the program publishes and reads, channel by channel: the Cap'n Proto schemas as the
// library reads them (a CodeGeneratorRequest of its compiler), and beside them the rules that a schema cannot
// say. No I/O: bytes and text come in.
//
// The rules, JSON: {"release": NAME, "channels": {NAME: {"version", "root", "largest", "unknown"}},
// "fields": {"FILE.Struct.field": {...}}, "given_up": {RELEASE: REASON}}. Of a field:
//   unit      what a number counts ("s", "ms", "bytes"); a decision reads it so
//   least, most   outside them a reader refuses the message as spoilt
//   values    a number that stands for one of so many words, from 0
//   unknown   what a reader does with a word past `values`: "refused" (also if nothing is said), "passed
//   over" absent    "must": a reader refuses a message without it; else it may be absent retired   nobody
//   writes it any more, its number is not to be taken again was       the name that it had before alters
//   another field whose meaning depends on this one: who does not read this one misreads that one gated it is
//   written only once every live router reads its channel in this version plain     no decision uses it
#pragma once

#include <capnp/schema.capnp.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace walkpaddle::compat {

struct Field {
  std::string name, type,
      absent_value;  // the type's names begin with their file; absent_value: what a reader gets
  bool in_union = false;
  std::string unit{}, was{}, alters{};
  std::optional<double> least{}, most{};
  int values = 0;  // 0: no words
  bool passed_over = false, must = false, retired = false, gated = false, plain = false;
};

struct Channel {
  int version = 1;
  std::string root;          // the struct that its messages are
  std::size_t largest = 0;   // bytes of a message; a reader refuses longer ones
  bool passed_over = false;  // a message of an unknown member of the root's union is
};

struct Release {
  std::string name;
  std::map<std::string, Channel> channels;
  std::map<std::string, std::map<int, Field>> structs;  // by "file.Struct", then by the field's number
  std::map<std::string, std::string> given_up;          // earlier releases with which it need not agree: why

  // The structs that a channel's messages consist of.
  std::vector<std::string> reached(const std::string& root) const;
};

// Both throw InputError with what is wrong; a rule for a field that no schema has is wrong as well.
Release read_release(const std::vector<std::string>& requests, std::string_view rules);
Release read_release(const std::vector<capnp::schema::Node::Reader>& nodes, std::string_view rules);

}  // namespace walkpaddle::compat
