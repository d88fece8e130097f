// The configuration file that LB_CONFIG names.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "config/settings.h"
#include "io/stream.h"
#include "net/discovery_codec.h"

namespace walkpaddle::net {

struct Config {
  std::string name;
  Address listen, bus;
  bool has_bus = false;
  std::uint64_t seed = 0;
  int sockets = 1024;
  double memory_mb = 192, bytes_a_second = 0;  // of one transfer, 0 if not told
  Settings settings;
  std::string known;   // JSON, for hand_known
  int listening = -1;  // a listener that an earlier program left open, -1 for none
};

Config parse_config(const std::string& text);  // InputError names what is missing or wrong

// The events that were known at the start, in order; gives the number of the last.
std::uint64_t hand_known(const std::string& known, const Settings& settings, DiscoveryEvents& events);

struct RequestClassName {
  std::string name;
  bool keyed = false;
  bool uncacheable = false;
  bool effect = false;  // may not simply run again
};
std::vector<RequestClassName> request_class_names(const Settings& settings);

}  // namespace walkpaddle::net
