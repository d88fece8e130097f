#include "config/platform_config.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string_view>

#include "base/error.h"
#include "base/text.h"

namespace walkpaddle::config {

using nlohmann::json;

namespace {

constexpr const char* kDocument = "configuration";  // its name in errors

std::string plain_text(const json& value) {
  if (!value.is_string()) return value.is_null() ? "-" : value.dump();
  return value.get<std::string>();
}

// An item of a comma-separated list; commas within it become underscores.
std::string list_item(std::string text) {
  std::ranges::replace(text, ',', '_');
  return text;
}

std::string list_text(const json& list) {
  std::string joined;
  for (const auto& item : list) {
    if (!joined.empty()) joined += ',';
    joined += list_item(plain_text(item));
  }
  return joined;
}

// Stores nested JSON values under their paths, in the form that Settings reads.
void flatten(const json& value, const std::string& path, Settings& settings) {
  const auto child_path = [&](const std::string& key) { return path.empty() ? key : path + "." + key; };
  if (value.is_object()) {
    for (const auto& [key, item] : value.items()) flatten(item, child_path(key), settings);
  } else if (value.is_array() && !value.empty() && value.front().is_object()) {
    settings.put(child_path("count"), std::to_string(value.size()));
    for (std::size_t n = 0; n < value.size(); ++n) flatten(value[n], child_path(std::to_string(n)), settings);
  } else if (value.is_array()) {
    settings.put(path, list_text(value));
  } else {
    settings.put(path, plain_text(value));
  }
}

int index_in(const std::string& list, const std::string& name, const Settings& settings) {
  auto rest = settings.text(list);
  for (int n = 0; !rest.empty(); ++n)
    if (take_field(rest, ',') == list_item(name)) return n;
  throw ConfigError({.key = list}, "'" + name + "' is not listed in settings." + list, name, "");
}

template <class Read>
auto with_config_errors(Read&& read) {
  try {
    return read();
  } catch (const json::exception& e) {
    throw ConfigError({.file = kDocument}, e.what());
  }
}

EndpointState parse_state(const std::string& phase) {
  if (phase == "ready") return EndpointState::ready;
  if (phase == "draining") return EndpointState::draining;
  if (phase == "gone") return EndpointState::gone;
  throw_bad_value("phase", phase);
}

void replay_endpoint(const json& member, const Settings& settings, net::DiscoveryEvents& events) {
  const auto state = parse_state(member.at("phase").get<std::string>());
  const int kind = index_in("models", member.at("flavor").get<std::string>(), settings);
  const int location = index_in("failure_domains", member.at("locality").get<std::string>(), settings);
  const auto address = parse_address(member.at("host_port").get<std::string>());
  const auto id = member.at("id").get<std::string>();
  events.update_endpoint(id, address, location, kind, member.value("cell", 0), state,
                         member.value("size", 1.0), member.value("up_since_ms", 0.0) / 1e3);
}

void replay_event(const json& event, const Settings& settings, net::DiscoveryEvents& events) {
  if (event.contains("topology")) {
    const auto& list = event["topology"];
    events.begin_endpoint_list(list.at("complete").get<bool>());
    for (const auto& member : list.at("members")) replay_endpoint(member, settings, events);
    events.end_endpoint_list();
  } else if (event.contains("ban")) {
    const auto& purge = event["ban"];
    const Seconds at = purge.at("ts").get<double>() / 1e3;
    if (purge.contains("url"))
      events.purged(purge["url"].get<std::string>(), at);
    else
      events.purged_group(purge.at("tag").get<std::uint32_t>(), at);
  }
}

// The latest of discovery's timestamps in the events, in seconds; 0 for none.
Seconds newest_timestamp(const json& batch) {
  double newest_ms = 0;
  for (const auto& event : batch) {
    if (event.contains("ban")) newest_ms = std::max(newest_ms, event["ban"].at("ts").get<double>());
    if (!event.contains("topology")) continue;
    for (const auto& member : event["topology"].at("members"))
      newest_ms = std::max(newest_ms, member.value("up_since_ms", 0.0));
  }
  return newest_ms / 1e3;
}

PlatformConfig read_config(const json& file) {
  PlatformConfig config;
  config.name = file.at("name").get<std::string>();
  config.listen = parse_address(file.at("listen").get<std::string>());
  config.seed = parse<std::uint64_t>(file.at("seed").get<std::string>(), "seed", 16);
  if (const auto bus = file.value("bus", ""); !bus.empty()) config.discovery = parse_address(bus);
  config.transfer_rate = file.value("flow_bytes_per_s", 0.0);
  if (file.contains("limits")) {
    const auto& limits = file["limits"];
    config.descriptor_limit = limits.value("sockets", config.descriptor_limit);
    config.memory_mb = limits.value("memory_mb", config.memory_mb);
  }
  flatten(file.at("settings"), "", config.settings);
  if (config.settings.integer("categories.count") <= 0)
    throw ConfigError({.file = kDocument, .key = "settings.categories"},
                      "settings.categories is missing or empty");
  check_settings(config.settings);
  config.initial_events = file.at("known").dump();
  return config;
}

}  // namespace

PlatformConfig parse_platform_config(const std::string& text) {
  return with_config_errors([&] { return read_config(json::parse(text)); });
}

std::uint64_t replay_initial_events(const std::string& initial_events, const Settings& settings,
                                    net::DiscoveryEvents& events) {
  return with_config_errors([&] {
    const auto known = json::parse(initial_events);
    events.begin_initial_events(newest_timestamp(known.at("batch")));
    for (const auto& event : known.at("batch")) replay_event(event, settings, events);
    events.end_initial_events();
    return known.at("offset").get<std::uint64_t>();
  });
}

std::vector<RequestClassName> request_class_names(const Settings& settings) {
  std::vector<RequestClassName> names;
  for (int n = 0; n < settings.integer("categories.count"); ++n) {
    const auto path = "categories." + std::to_string(n) + ".";
    const auto effect = settings.text(path + "effect");
    const auto uncacheable = settings.item("specifics.pass_on", static_cast<std::size_t>(n));
    names.push_back({.name = std::string(settings.text(path + "name")),
                     .keyed = effect == "guarded",
                     .uncacheable = uncacheable == "true",
                     .effect = effect != "free"});
  }
  return names;
}

}  // namespace walkpaddle::config
