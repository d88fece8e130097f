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

/// The validated contents of the file.
struct PlatformConfig {
  std::string name;                  ///< name of this router
  Address listen;                    ///< address for clients
  std::optional<Address> discovery;  ///< key `bus`: address of discovery; nullopt: initial events only
  std::uint64_t seed = 0;            ///< of the random numbers
  int descriptor_limit = 1024;       ///< key `limits.sockets`
  double memory_mb = 192;            ///< key `limits.memory_mb`
  double transfer_rate = 0;     ///< key `flow_bytes_per_s`: bytes per second of one transfer; 0 if unknown
  Settings settings;            ///< key `settings`
  std::string initial_events;   ///< key `known`: JSON for replay_initial_events()
  int inherited_listener = -1;  ///< descriptor of the predecessor's listening socket; -1 for none
};

/// Parses and validates the text of the file. Throws InputError that names what is missing or invalid; for a
/// setting or malformed JSON it is a ConfigError.
PlatformConfig parse_platform_config(const std::string& text);

/// Passes the events that were known at the start to `events`, in order. Returns the offset of the last.
/// Throws InputError if they cannot be parsed.
std::uint64_t replay_initial_events(const std::string& initial_events, const Settings& settings,
                                    net::DiscoveryEvents& events);

/// The name of a request class on the wire, and the properties that change how the router handles it.
struct RequestClassName {
  std::string name;          ///< name that clients send
  bool keyed = false;        ///< its requests carry an idempotency key
  bool uncacheable = false;  ///< its requests bypass the caches
  bool effect = false;       ///< its requests are not idempotent by themselves
};
/// The request classes, by number.
std::vector<RequestClassName> request_class_names(const Settings& settings);

}  // namespace walkpaddle::config
