/// \file
/// The platform's configuration: the JSON file that LB_CONFIG names.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "config/settings.h"
#include "io/stream.h"
#include "net/discovery_codec.h"

namespace walkpaddle::config {

/// What the file says, checked.
struct PlatformConfig {
  std::string name;                  ///< this router's
  Address listen;                    ///< for clients
  std::optional<Address> discovery;  ///< key `bus`; nullopt: only what was known at the start
  std::uint64_t seed = 0;            ///< of random draws
  int descriptor_limit = 1024;       ///< key `limits.sockets`
  double memory_mb = 192;            ///< key `limits.memory_mb`
  double transfer_rate = 0;     ///< key `flow_bytes_per_s`: bytes a second of one transfer, 0 if not told
  Settings settings;            ///< key `settings`
  std::string initial_events;   ///< key `known`: JSON for replay_initial_events()
  int inherited_listener = -1;  ///< descriptor of a listener that a predecessor left open, -1 for none
};

/// Reads and checks the file's text. InputError names what is missing or wrong; as ConfigError where it is a
/// setting or no JSON of the right form.
PlatformConfig parse_platform_config(const std::string& text);

/// Reports the events that were known at the start, in order; gives the number of the last. InputError.
std::uint64_t replay_initial_events(const std::string& initial_events, const Settings& settings,
                                    net::DiscoveryEvents& events);

/// What the wire calls a class of requests, and what the router does differently for it.
struct RequestClassName {
  std::string name;          ///< as clients write it
  bool keyed = false;        ///< its requests carry an idempotency key
  bool uncacheable = false;  ///< passed on past the caches
  bool effect = false;       ///< may not simply run again
};
/// By the classes' numbers.
std::vector<RequestClassName> request_class_names(const Settings& settings);

}  // namespace walkpaddle::config
