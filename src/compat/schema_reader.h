/// \file
/// Cap'n Proto schemas as fields by struct: what the library's compiler hands to its code generators. No I/O.
#pragma once

#include <capnp/schema.capnp.h>
#include <capnp/serialize.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "compat/release.h"

namespace walkpaddle::compat {

/// The compiler's requests (CodeGeneratorRequest), read.
class SchemaRequests {
 public:
  /// Throws InputError where one is no schema.
  explicit SchemaRequests(const std::vector<std::string>& requests);
  /// The nodes of all; they live as long as this.
  const std::vector<capnp::schema::Node::Reader>& nodes() const { return nodes_; }

 private:
  void read(const std::string& request);

  std::vector<std::vector<capnp::word>> words_;
  std::vector<std::unique_ptr<capnp::FlatArrayMessageReader>> messages_;
  std::vector<capnp::schema::Node::Reader> nodes_;
};

/// The fields of each struct, its groups' among them, by "file.Struct". Throws InputError where a node cannot
/// be read.
std::map<std::string, Fields> read_structs(const std::vector<capnp::schema::Node::Reader>& nodes);

}  // namespace walkpaddle::compat
