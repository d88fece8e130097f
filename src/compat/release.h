/// \file
/// What one release of the program writes and reads, for each channel: its Cap'n Proto schemas, as the
/// library reads them from the CodeGeneratorRequest that its compiler emits, and the rules that a schema
/// cannot express (rules.h). No I/O: the caller passes bytes and text.
#pragma once

#include <capnp/schema.capnp.h>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace walkpaddle::compat {

/// A field of a struct, from its schema and the rules.
struct Field {
  std::string name;             ///< its name in the schema
  std::string type;             ///< structs and enums carry their file's name: "fleet.Fact"
  std::string absent_value;     ///< the value that a reader gets if the field is absent
  bool in_union = false;        ///< whether it is a member of a union
  std::string unit{};           ///< unit of a number, as decisions interpret it
  std::string former_name{};    ///< its name in an earlier release, if it was renamed
  std::string alters{};         ///< a field that is misread by a reader which does not know this one
  std::optional<double> min{};  ///< a reader refuses a message with a lower value
  std::optional<double> max{};  ///< a reader refuses a message with a higher value
  int enum_value_count = 0;     ///< for a number used as an enum: its values are 0 to this - 1; 0: it is none
  bool skips_unknown = false;   ///< a reader ignores an unknown enum value; otherwise it refuses the message
  bool required = false;        ///< a reader refuses a message without it
  bool retired = false;         ///< it is no longer written, and its number must not be reused
  bool gated = false;           ///< written only once every live router reads this version of its channel
  bool informational = false;   ///< no decision uses it
};

/// The fields of a struct by their numbers (Cap'n Proto ordinals).
using Fields = std::map<int, Field>;

/// A channel: one kind of message between routers or in the store, with its own version.
struct Channel {
  int version = 1;             ///< 1 to 255
  std::string root;            ///< the struct that is the root of its messages
  std::size_t max_bytes = 0;   ///< a reader refuses longer messages
  bool skips_unknown = false;  ///< a reader ignores a message with an unknown member of the root's union
};

/// The schemas and rules of a release.
struct Release {
  std::string name;                         ///< its name in the rules
  std::map<std::string, Channel> channels;  ///< by name
  std::map<std::string, Fields> structs;    ///< by "file.Struct"
  /// Earlier releases that it need not be compatible with, and the reason for each.
  std::map<std::string, std::string> unsupported_releases;

  /// Returns `root` and all structs that its fields refer to, directly or through other structs.
  std::vector<std::string> reachable_structs(const std::string& root) const;
};

/// Reads a release from the compiler's requests, one for each schema file, and its rules (JSON). Throws
/// InputError if either is invalid, and if a rule names a field that no schema has.
Release read_release(const std::vector<std::string>& requests, std::string_view rules);
/// Reads a release from parsed schemas and its rules. Throws InputError as above.
Release read_release(const std::vector<capnp::schema::Node::Reader>& nodes, std::string_view rules);

}  // namespace walkpaddle::compat
