// A release from the text of its schema, for tests: the library's own parser, in memory.
#pragma once

#include <capnp/schema-parser.h>
#include <kj/filesystem.h>

#include <memory>
#include <string>
#include <vector>

#include "compat/release.h"

namespace walkpaddle {

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
  capnp::StructSchema of(const char* name) { return file.getNested(name).asStruct(); }

  kj::Own<kj::Directory> directory;
  capnp::SchemaParser parser;
  capnp::ParsedSchema file;
};

}  // namespace walkpaddle
