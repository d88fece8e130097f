#include "compat/rules.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <string>

#include "base/error.h"

namespace walkpaddle::compat {

namespace {

using nlohmann::json;

constexpr int kMaxChannelVersion = 255;
constexpr std::array<std::string_view, 11> kFieldKeys{
    "unit", "least", "most", "values", "unknown", "absent", "retired", "was", "alters", "gated", "plain"};

bool skips_unknown(const json& rule) { return rule.value("unknown", std::string()) == "passed over"; }

Channel read_channel(const std::string& name, const json& rule, const Release& release) {
  Channel channel{.version = rule.at("version").get<int>(),
                  .root = rule.at("root").get<std::string>(),
                  .max_bytes = rule.at("largest").get<std::size_t>(),
                  .skips_unknown = skips_unknown(rule)};
  if (channel.version < 1 || channel.version > kMaxChannelVersion)
    throw InputError("channel " + name + ": version is out of range, 1 to 255");
  if (!release.structs.contains(channel.root))
    throw InputError("channel " + name + ": no schema defines its root " + channel.root);
  return channel;
}

/// Finds the field at "FILE.Struct.field". If a group repeats the name, the field with the greatest number is
/// meant.
Field& find_field(const std::string& path, Release& release) {
  const auto dot = path.rfind('.');
  const auto fields =
      dot == std::string::npos ? release.structs.end() : release.structs.find(path.substr(0, dot));
  Field* found = nullptr;
  if (fields != release.structs.end())
    for (auto& [number, field] : fields->second)
      if (field.name == path.substr(dot + 1)) found = &field;
  if (found == nullptr) throw InputError("rule for " + path + ": no schema defines this field");
  return *found;
}

void read_field(const std::string& path, const json& rule, Field& field) {
  for (const auto& [key, value] : rule.items()) {
    if (std::ranges::find(kFieldKeys, key) != kFieldKeys.end()) continue;
    std::string message = "rule for " + path;
    message += ": unknown key " + key;
    throw InputError(message);
  }
  field.unit = rule.value("unit", "");
  field.former_name = rule.value("was", "");
  field.alters = rule.value("alters", "");
  if (rule.contains("least")) field.min = rule["least"].get<double>();
  if (rule.contains("most")) field.max = rule["most"].get<double>();
  field.enum_value_count = rule.value("values", 0);
  field.skips_unknown = skips_unknown(rule);
  field.required = rule.value("absent", std::string()) == "must";
  field.retired = rule.value("retired", false);
  field.gated = rule.value("gated", false);
  field.informational = rule.value("plain", false);
}

void read_all(const json& rules, Release& release) {
  release.name = rules.at("release").get<std::string>();
  for (const auto& [name, rule] : rules.at("channels").items())
    release.channels[name] = read_channel(name, rule, release);
  if (rules.contains("fields"))
    for (const auto& [path, rule] : rules["fields"].items())
      read_field(path, rule, find_field(path, release));
  if (rules.contains("given_up"))
    for (const auto& [earlier, why] : rules["given_up"].items())
      release.unsupported_releases[earlier] = why.get<std::string>();
}

}  // namespace

void read_rules(std::string_view text, Release& release) try {
  read_all(json::parse(text), release);
} catch (const json::exception& error) {
  throw InputError(std::string("cannot parse the rules: ") + error.what());
}

}  // namespace walkpaddle::compat
