#include "config/platform_config.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/text.h"

namespace walkpaddle::net {

using nlohmann::json;

namespace {

std::string plain(const json& value) {
  if (!value.is_string()) return value.is_null() ? "-" : value.dump();
  return value.get<std::string>();
}

// As it stands in a list, whose parts commas divide.
std::string in_list(std::string text) {
  std::ranges::replace(text, ',', '_');
  return text;
}

// Nested JSON by path, in the form that Settings reads.
void flatten(const json& value, const std::string& path, Settings& into) {
  const auto below = [&](const std::string& key) { return path.empty() ? key : path + "." + key; };
  if (value.is_object()) {
    for (const auto& [key, item] : value.items()) flatten(item, below(key), into);
  } else if (value.is_array() && !value.empty() && value.front().is_object()) {
    into.put(below("count"), std::to_string(value.size()));
    for (std::size_t n = 0; n < value.size(); ++n) flatten(value[n], below(std::to_string(n)), into);
  } else if (value.is_array()) {
    std::string joined;
    for (const auto& item : value) {
      if (!joined.empty()) joined += ',';
      joined += in_list(plain(item));
    }
    into.put(path, joined);
  } else {
    into.put(path, plain(value));
  }
}

int place_of(std::string_view name, const Settings& settings, const std::string& list) {
  auto rest = settings.text(list);
  for (int n = 0; !rest.empty(); ++n)
    if (take_field(rest, ',') == in_list(std::string(name))) return n;
  throw InputError("'" + std::string(name) + "' is not in the settings' " + list);
}

template <class F>
auto reading(F&& read) {
  try {
    return read();
  } catch (const json::exception& e) {
    throw InputError(std::string("configuration: ") + e.what());
  }
}

void hand_member(const json& m, const Settings& settings, DiscoveryEvents& events) {
  const auto word = m.at("phase").get<std::string>();
  const auto state = value_of_name<int>(word, {{"ready", 0}, {"draining", 1}, {"gone", 2}}, 3);
  if (state > 2) throw_bad_value("phase", word);
  constexpr EndpointState kStates[] = {EndpointState::ready, EndpointState::draining, EndpointState::gone};
  events.update_endpoint(m.at("id").get<std::string>(), parse_address(m.at("host_port").get<std::string>()),
                         place_of(m.at("locality").get<std::string>(), settings, "failure_domains"),
                         place_of(m.at("flavor").get<std::string>(), settings, "models"), m.value("cell", 0),
                         kStates[state], m.value("size", 1.0), m.value("up_since_ms", 0.0) / 1e3);
}

// The newest stamp of discovery among the events, 0 for none.
Seconds newest_stamp(const json& batch) {
  double newest = 0;
  for (const auto& e : batch) {
    if (e.contains("ban")) newest = std::max(newest, e["ban"].at("ts").get<double>());
    if (!e.contains("topology")) continue;
    for (const auto& m : e["topology"].at("members")) newest = std::max(newest, m.value("up_since_ms", 0.0));
  }
  return newest / 1e3;
}

}  // namespace

Config parse_config(const std::string& text) {
  return reading([&] {
    const auto j = json::parse(text);
    Config c;
    c.name = j.at("name").get<std::string>();
    c.listen = parse_address(j.at("listen").get<std::string>());
    c.seed = parse<std::uint64_t>(j.at("seed").get<std::string>(), "seed", 16);
    if (const auto bus = j.value("bus", ""); !bus.empty()) c.bus = parse_address(bus), c.has_bus = true;
    c.bytes_a_second = j.value("flow_bytes_per_s", 0.0);
    if (j.contains("limits")) {
      c.sockets = j["limits"].value("sockets", c.sockets);
      c.memory_mb = j["limits"].value("memory_mb", c.memory_mb);
    }
    flatten(j.at("settings"), "", c.settings);
    if (c.settings.whole("categories.count") <= 0)
      throw InputError("configuration: settings without categories");
    check(c.settings);
    c.known = j.at("known").dump();
    return c;
  });
}

std::uint64_t hand_known(const std::string& known, const Settings& settings, DiscoveryEvents& events) {
  return reading([&] {
    const auto j = json::parse(known);
    events.known_begin(newest_stamp(j.at("batch")));
    for (const auto& e : j.at("batch")) {
      if (e.contains("topology")) {
        const auto& list = e["topology"];
        events.begin_endpoint_list(list.at("complete").get<bool>());
        for (const auto& m : list.at("members")) hand_member(m, settings, events);
        events.end_endpoint_list();
      } else if (e.contains("ban")) {
        const auto& purge = e["ban"];
        const Seconds at = purge.at("ts").get<double>() / 1e3;
        if (purge.contains("url"))
          events.purged(purge["url"].get<std::string>(), at);
        else
          events.purged_group(purge.at("tag").get<std::uint32_t>(), at);
      }
    }
    events.known_end();
    return j.at("offset").get<std::uint64_t>();
  });
}

std::vector<RequestClassName> request_class_names(const Settings& settings) {
  std::vector<RequestClassName> names;
  for (int n = 0; n < settings.whole("categories.count"); ++n) {
    const auto at = "categories." + std::to_string(n) + ".";
    names.push_back({std::string(settings.text(at + "name")), settings.text(at + "effect") == "guarded",
                     settings.item("specifics.pass_on", static_cast<std::size_t>(n)) == "true",
                     settings.text(at + "effect") != "free"});
  }
  return names;
}

}  // namespace walkpaddle::net
