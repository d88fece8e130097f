/// \file
/// What one release of the program publishes and reads, channel by channel: the Cap'n Proto schemas as the
/// library reads them (a CodeGeneratorRequest of its compiler), and beside them the rules that a schema
/// cannot say (rules.h). No I/O: bytes and text come in.
#pragma once

#include <capnp/schema.capnp.h>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace walkpaddle::compat {

/// A field of a struct: what its schema says, and what the rules add.
struct Field {
  std::string name;             ///< as the schema has it
  std::string type;             ///< structs and enums with their file: "fleet.Fact"
  std::string absent_value;     ///< what a reader gets where the field is absent
  bool in_union = false;        ///< it is a member of a union
  std::string unit{};           ///< what a number counts; a decision reads it so
  std::string former_name{};    ///< the name that it had before
  std::string alters{};         ///< another field that who does not read this one misreads
  std::optional<double> min{};  ///< under it a reader refuses the message
  std::optional<double> max{};  ///< over it a reader refuses the message
  int enum_value_count = 0;     ///< the number stands for one of so many words; 0: it does not
  bool skips_unknown = false;   ///< a reader passes over a word that it does not know; else it refuses it
  bool required = false;        ///< a reader refuses a message without it
  bool retired = false;         ///< nobody writes it any more; its number is not taken again
  bool gated = false;           ///< written only once every live router reads its channel in this version
  bool informational = false;   ///< no decision uses it
};

/// The fields of a struct, by number.
using Fields = std::map<int, Field>;

/// A kind of messages, with a version of its own.
struct Channel {
  int version = 1;             ///< 1 to 255
  std::string root;            ///< the struct that its messages are
  std::size_t max_bytes = 0;   ///< of a message; a reader refuses longer ones
  bool skips_unknown = false;  ///< a reader passes over a message of an unknown member of the root's union
};

/// A release.
struct Release {
  std::string name;                         ///< as its rules say
  std::map<std::string, Channel> channels;  ///< by name
  std::map<std::string, Fields> structs;    ///< by "file.Struct"
  std::map<std::string, std::string>
      unsupported_releases;  ///< earlier releases with which it need not agree: why

  /// The structs that a channel's messages consist of.
  std::vector<std::string> reachable_structs(const std::string& root) const;
};

/// Reads a release from the compiler's requests, one a schema file, and its rules. Throws InputError with
/// what is wrong; a rule for a field that no schema has is wrong as well.
Release read_release(const std::vector<std::string>& requests, std::string_view rules);
/// The same of schemas that are read already.
Release read_release(const std::vector<capnp::schema::Node::Reader>& nodes, std::string_view rules);

}  // namespace walkpaddle::compat
