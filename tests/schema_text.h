// Builds a release from the text of a schema, for tests. Cap'n Proto's own parser reads it, without files on
// disk.
#pragma once

#include <capnp/schema-parser.h>
#include <kj/filesystem.h>

#include <memory>
#include <string>
#include <vector>

#include "compat/release.h"

namespace walkpaddle {

// A parsed schema file, msg.capnp.
struct SchemaText {
  explicit SchemaText(const std::string& text) : directory(kj::newInMemoryDirectory(kj::nullClock())) {
    directory->openFile(kj::Path("msg.capnp"), kj::WriteMode::CREATE)->writeAll(text.c_str());
    file = parser.parseFromDirectory(*directory, kj::Path("msg.capnp"), nullptr);
  }
  compat::Release release(const std::string& rules) {
    std::vector<capnp::schema::Node::Reader> nodes;
    for (const auto nested : file.getAllNested()) nodes.push_back(nested.getProto());
    return compat::read_release(nodes, rules);
  }
  capnp::StructSchema struct_schema(const char* name) { return file.getNested(name).asStruct(); }

  kj::Own<kj::Directory> directory;
  capnp::SchemaParser parser;
  capnp::ParsedSchema file;
};

}  // namespace walkpaddle
