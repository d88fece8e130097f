/// \file
/// Reads the fields of each struct from Cap'n Proto schemas, in the form in which the schema compiler passes
/// them to its code generators. No I/O.
#pragma once

#include <capnp/schema.capnp.h>
#include <capnp/serialize.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "compat/release.h"

namespace walkpaddle::compat {

/// Parsed CodeGeneratorRequest messages of the schema compiler.
class SchemaRequests {
 public:
  /// Parses the requests, one for each schema file. Throws InputError if one is not a valid schema.
  explicit SchemaRequests(const std::vector<std::string>& requests);
  /// The nodes of all requests. They stay valid as long as this object.
  const std::vector<capnp::schema::Node::Reader>& nodes() const { return nodes_; }

 private:
  void read(const std::string& request);

  std::vector<std::vector<capnp::word>> words_;
  std::vector<std::unique_ptr<capnp::FlatArrayMessageReader>> messages_;
  std::vector<capnp::schema::Node::Reader> nodes_;
};

/// Returns the fields of each struct, including those in its groups, by "file.Struct". Throws InputError if a
/// node cannot be read.
std::map<std::string, Fields> read_structs(const std::vector<capnp::schema::Node::Reader>& nodes);

}  // namespace walkpaddle::compat
