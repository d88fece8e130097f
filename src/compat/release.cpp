#include "compat/release.h"

#include <capnp/schema-loader.h>
#include <capnp/schema.h>

#include <nlohmann/json.hpp>
#include <set>

#include "base/text.h"
#include "replica/capnp_message.h"

namespace walkpaddle::compat {

namespace {

using nlohmann::json;
namespace cs = capnp::schema;

// "src/fleet/fleet.capnp:Fact" is fleet.Fact.
std::string short_name(std::string_view display) {
  const auto colon = display.rfind(':');
  if (colon == std::string_view::npos) return std::string(display);
  auto file = display.substr(0, colon);
  if (const auto slash = file.rfind('/'); slash != std::string_view::npos) file.remove_prefix(slash + 1);
  if (const auto dot = file.rfind('.'); dot != std::string_view::npos) file = file.substr(0, dot);
  return std::string(file) + "." + std::string(display.substr(colon + 1));
}

using Names = std::map<std::uint64_t, std::string>;

std::string type_of(const cs::Type::Reader& t, const Names& names) {
  const auto named = [&](std::uint64_t id) {
    const auto it = names.find(id);
    return it == names.end() ? "type " + std::to_string(id) : it->second;
  };
  switch (t.which()) {
    case cs::Type::VOID:
      return "Void";
    case cs::Type::BOOL:
      return "Bool";
    case cs::Type::INT8:
      return "Int8";
    case cs::Type::INT16:
      return "Int16";
    case cs::Type::INT32:
      return "Int32";
    case cs::Type::INT64:
      return "Int64";
    case cs::Type::UINT8:
      return "UInt8";
    case cs::Type::UINT16:
      return "UInt16";
    case cs::Type::UINT32:
      return "UInt32";
    case cs::Type::UINT64:
      return "UInt64";
    case cs::Type::FLOAT32:
      return "Float32";
    case cs::Type::FLOAT64:
      return "Float64";
    case cs::Type::TEXT:
      return "Text";
    case cs::Type::DATA:
      return "Data";
    case cs::Type::LIST:
      return "List(" + type_of(t.getList().getElementType(), names) + ")";
    case cs::Type::ENUM:
      return "enum " + named(t.getEnum().getTypeId());
    case cs::Type::STRUCT:
      return named(t.getStruct().getTypeId());
    default:
      return "another type";
  }
}

std::string value_of(const cs::Value::Reader& v) {
  switch (v.which()) {
    case cs::Value::BOOL:
      return v.getBool() ? "true" : "false";
    case cs::Value::INT8:
      return std::to_string(v.getInt8());
    case cs::Value::INT16:
      return std::to_string(v.getInt16());
    case cs::Value::INT32:
      return std::to_string(v.getInt32());
    case cs::Value::INT64:
      return std::to_string(v.getInt64());
    case cs::Value::UINT8:
      return std::to_string(v.getUint8());
    case cs::Value::UINT16:
      return std::to_string(v.getUint16());
    case cs::Value::UINT32:
      return std::to_string(v.getUint32());
    case cs::Value::UINT64:
      return std::to_string(v.getUint64());
    case cs::Value::FLOAT32:
      return std::to_string(v.getFloat32());
    case cs::Value::FLOAT64:
      return std::to_string(v.getFloat64());
    case cs::Value::TEXT:
      return std::string(v.getText().cStr());
    case cs::Value::ENUM:
      return std::to_string(v.getEnum());
    default:
      return "";
  }
}

// Fields of the struct and of the groups in it, all by their own numbers.
void add_fields(const cs::Node::Reader& node, const std::map<std::uint64_t, cs::Node::Reader>& all,
                const Names& names, bool in_union, std::map<int, Field>& to) {
  for (const auto f : node.getStruct().getFields()) {
    const bool member = in_union || f.getDiscriminantValue() != cs::Field::NO_DISCRIMINANT;
    if (f.isGroup()) {
      if (const auto it = all.find(f.getGroup().getTypeId()); it != all.end())
        add_fields(it->second, all, names, member, to);
      continue;
    }
    if (!f.getOrdinal().isExplicit()) continue;
    to[f.getOrdinal().getExplicit()] = {.name = f.getName().cStr(),
                                        .type = type_of(f.getSlot().getType(), names),
                                        .absent_value = value_of(f.getSlot().getDefaultValue()),
                                        .in_union = member};
  }
}

void read_rules(const json& rules, Release& to) {
  to.name = rules.at("release").get<std::string>();
  for (const auto& [name, c] : rules.at("channels").items()) {
    Channel channel{.version = c.at("version").get<int>(),
                    .root = c.at("root").get<std::string>(),
                    .largest = c.at("largest").get<std::size_t>(),
                    .passed_over = c.value("unknown", std::string()) == "passed over"};
    if (channel.version < 1 || channel.version > 255)
      throw InputError("channel " + name + ": a version past 255");
    if (!to.structs.contains(channel.root))
      throw InputError("channel " + name + ": no schema has its root " + channel.root);
    to.channels[name] = channel;
  }
  const json none = json::object();
  const auto fields = rules.contains("fields") ? rules["fields"] : none;
  for (const auto& [path, r] : fields.items()) {
    const auto dot = path.rfind('.');
    const auto it = dot == std::string::npos ? to.structs.end() : to.structs.find(path.substr(0, dot));
    Field* field = nullptr;
    if (it != to.structs.end())
      for (auto& [number, f] : it->second)
        if (f.name == path.substr(dot + 1)) field = &f;
    if (field == nullptr) throw InputError("rule for " + path + ": no schema has that field");
    static const std::set<std::string> known{"unit",    "least", "most",   "values", "unknown", "absent",
                                             "retired", "was",   "alters", "gated",  "plain"};
    for (const auto& [word, value] : r.items())
      if (!known.contains(word)) throw InputError("rule for " + path + ": unknown word " + word);
    field->unit = r.value("unit", ""), field->was = r.value("was", ""), field->alters = r.value("alters", "");
    if (r.contains("least")) field->least = r["least"].get<double>();
    if (r.contains("most")) field->most = r["most"].get<double>();
    field->values = r.value("values", 0);
    field->passed_over = r.value("unknown", std::string()) == "passed over";
    field->must = r.value("absent", std::string()) == "must";
    field->retired = r.value("retired", false), field->gated = r.value("gated", false);
    field->plain = r.value("plain", false);
  }
  if (rules.contains("given_up"))
    for (const auto& [release, why] : rules["given_up"].items())
      to.given_up[release] = why.get<std::string>();
}

}  // namespace

std::vector<std::string> Release::reached(const std::string& root) const {
  std::vector<std::string> found{root};
  for (std::size_t n = 0; n < found.size(); ++n) {
    const auto it = structs.find(found[n]);
    if (it == structs.end()) continue;
    for (const auto& [number, f] : it->second) {
      auto type = f.type;
      while (type.starts_with("List(")) type = type.substr(5, type.size() - 6);
      if (structs.contains(type) && std::ranges::find(found, type) == found.end()) found.push_back(type);
    }
  }
  return found;
}

Release read_release(const std::vector<cs::Node::Reader>& nodes, std::string_view rules) {
  Release release;
  Names names;
  std::map<std::uint64_t, cs::Node::Reader> all;
  for (const auto& n : nodes)
    names[n.getId()] = short_name(n.getDisplayName().cStr()), all.emplace(n.getId(), n);
  for (const auto& n : nodes)
    if (n.isStruct() && !n.getStruct().getIsGroup())
      add_fields(n, all, names, false, release.structs[names[n.getId()]]);
  try {
    read_rules(json::parse(rules), release);
  } catch (const json::exception& e) {
    throw InputError(std::string("rules that cannot be read: ") + e.what());
  }
  return release;
}

Release read_release(const std::vector<std::string>& requests, std::string_view rules) {
  constexpr std::size_t kMost = 4 << 20;  // a hundred times what our schemas take
  std::vector<std::vector<capnp::word>> held;
  std::vector<std::unique_ptr<capnp::FlatArrayMessageReader>> messages;
  std::vector<cs::Node::Reader> nodes;
  try {
    for (const auto& bytes : requests) {
      if (bytes.size() > kMost || bytes.size() % sizeof(capnp::word) != 0 || bytes.empty())
        throw_bad_value("schema of length", std::to_string(bytes.size()));
      auto& words = held.emplace_back(bytes.size() / sizeof(capnp::word));
      std::memcpy(static_cast<void*>(words.data()), bytes.data(), bytes.size());
      messages.push_back(std::make_unique<capnp::FlatArrayMessageReader>(
          kj::ArrayPtr<const capnp::word>(words.data(), words.size())));
      // The loader refuses what is no schema.
      capnp::SchemaLoader loader;
      for (const auto n : messages.back()->getRoot<cs::CodeGeneratorRequest>().getNodes())
        loader.load(n), nodes.push_back(n);
    }
    return read_release(nodes, rules);
  } catch (const kj::Exception& e) {
    throw InputError(std::string("a schema that cannot be read: ") + e.getDescription().cStr());
  }
}

}  // namespace walkpaddle::compat
