#include "compat/schema_reader.h"

#include <capnp/schema-loader.h>
#include <capnp/schema.h>
#include <kj/exception.h>

#include <array>
#include <cstring>
#include <string_view>
#include <utility>

#include "base/error.h"
#include "base/text.h"

namespace walkpaddle::compat {

namespace {

namespace schema = capnp::schema;
using schema::Type, schema::Value;

/// The program's own schemas take about a hundredth of this.
constexpr std::size_t kMaxRequestBytes = 4 << 20;

InputError unreadable(const kj::Exception& error) {
  return InputError(std::string("cannot read a schema: ") + error.getDescription().cStr());
}

/// Shortens a display name: "src/fleet/fleet.capnp:Fact" becomes "fleet.Fact".
std::string short_name(std::string_view display_name) {
  const auto colon = display_name.rfind(':');
  if (colon == std::string_view::npos) return std::string(display_name);
  auto file = display_name.substr(0, colon);
  if (const auto slash = file.rfind('/'); slash != std::string_view::npos) file.remove_prefix(slash + 1);
  if (const auto dot = file.rfind('.'); dot != std::string_view::npos) file = file.substr(0, dot);
  return std::string(file) + "." + std::string(display_name.substr(colon + 1));
}

/// The names of the built-in types.
constexpr std::array<std::pair<Type::Which, const char*>, 14> kBuiltInTypes{{{Type::VOID, "Void"},
                                                                             {Type::BOOL, "Bool"},
                                                                             {Type::INT8, "Int8"},
                                                                             {Type::INT16, "Int16"},
                                                                             {Type::INT32, "Int32"},
                                                                             {Type::INT64, "Int64"},
                                                                             {Type::UINT8, "UInt8"},
                                                                             {Type::UINT16, "UInt16"},
                                                                             {Type::UINT32, "UInt32"},
                                                                             {Type::UINT64, "UInt64"},
                                                                             {Type::FLOAT32, "Float32"},
                                                                             {Type::FLOAT64, "Float64"},
                                                                             {Type::TEXT, "Text"},
                                                                             {Type::DATA, "Data"}}};

std::string value_text(const Value::Reader& value) {
  switch (value.which()) {
    case Value::BOOL:
      return value.getBool() ? "true" : "false";
    case Value::INT8:
      return std::to_string(value.getInt8());
    case Value::INT16:
      return std::to_string(value.getInt16());
    case Value::INT32:
      return std::to_string(value.getInt32());
    case Value::INT64:
      return std::to_string(value.getInt64());
    case Value::UINT8:
      return std::to_string(value.getUint8());
    case Value::UINT16:
      return std::to_string(value.getUint16());
    case Value::UINT32:
      return std::to_string(value.getUint32());
    case Value::UINT64:
      return std::to_string(value.getUint64());
    case Value::FLOAT32:
      return std::to_string(value.getFloat32());
    case Value::FLOAT64:
      return std::to_string(value.getFloat64());
    case Value::TEXT:
      return std::string(value.getText().cStr());
    case Value::ENUM:
      return std::to_string(value.getEnum());
    default:
      return "";
  }
}

/// Reads the structs among nodes that refer to each other by id.
class StructReader {
 public:
  explicit StructReader(const std::vector<schema::Node::Reader>& nodes) : nodes_(nodes) {
    for (const auto& node : nodes) {
      names_[node.getId()] = short_name(node.getDisplayName().cStr());
      by_id_.emplace(node.getId(), node);
    }
  }

  std::map<std::string, Fields> read() const {
    std::map<std::string, Fields> structs;
    for (const auto& node : nodes_)
      if (node.isStruct() && !node.getStruct().getIsGroup())
        add_fields(node, false, structs[names_.at(node.getId())]);
    return structs;
  }

 private:
  /// Adds the fields of a struct and of the groups in it, each by its own number.
  void add_fields(const schema::Node::Reader& node, bool in_union, Fields& fields) const {
    for (const auto field : node.getStruct().getFields()) {
      const bool is_member = in_union || field.getDiscriminantValue() != schema::Field::NO_DISCRIMINANT;
      if (field.isGroup()) {
        const auto group = by_id_.find(field.getGroup().getTypeId());
        if (group != by_id_.end()) add_fields(group->second, is_member, fields);
        continue;
      }
      if (!field.getOrdinal().isExplicit()) continue;
      fields[field.getOrdinal().getExplicit()] = {
          .name = field.getName().cStr(),
          .type = type_name(field.getSlot().getType()),
          .absent_value = value_text(field.getSlot().getDefaultValue()),
          .in_union = is_member};
    }
  }

  std::string type_name(const Type::Reader& type) const {
    for (const auto& [which, name] : kBuiltInTypes)
      if (type.which() == which) return name;
    if (type.isList()) return "List(" + type_name(type.getList().getElementType()) + ")";
    if (type.isEnum()) return "enum " + node_name(type.getEnum().getTypeId());
    if (type.isStruct()) return node_name(type.getStruct().getTypeId());
    return "another type";
  }

  std::string node_name(std::uint64_t id) const {
    const auto name = names_.find(id);
    return name == names_.end() ? "type " + std::to_string(id) : name->second;
  }

  const std::vector<schema::Node::Reader>& nodes_;
  std::map<std::uint64_t, std::string> names_;
  std::map<std::uint64_t, schema::Node::Reader> by_id_;
};

}  // namespace

SchemaRequests::SchemaRequests(const std::vector<std::string>& requests) try {
  for (const auto& request : requests) read(request);
} catch (const kj::Exception& error) {
  throw unreadable(error);
}

void SchemaRequests::read(const std::string& request) {
  if (request.size() > kMaxRequestBytes || request.size() % sizeof(capnp::word) != 0 || request.empty())
    throw_bad_value("schema of length", std::to_string(request.size()));
  // The library reads words in place, so the copy has to be aligned.
  auto& words = words_.emplace_back(request.size() / sizeof(capnp::word));
  std::memcpy(static_cast<void*>(words.data()), request.data(), request.size());
  const kj::ArrayPtr<const capnp::word> view(words.data(), words.size());
  messages_.push_back(std::make_unique<capnp::FlatArrayMessageReader>(view));
  // The loader throws on an invalid schema.
  capnp::SchemaLoader loader;
  for (const auto node : messages_.back()->getRoot<schema::CodeGeneratorRequest>().getNodes()) {
    loader.load(node);
    nodes_.push_back(node);
  }
}

std::map<std::string, Fields> read_structs(const std::vector<schema::Node::Reader>& nodes) try {
  return StructReader(nodes).read();
} catch (const kj::Exception& error) {
  throw unreadable(error);
}

}  // namespace walkpaddle::compat
