/// \file
/// The platform's settings by path, their validation, and their application to the routing policy. Shared by
/// all programs that run the policy.
#pragma once

#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/hash.h"  // part of this header's interface: including files rely on it
#include "base/time.h"
#include "routing/policy.h"

namespace walkpaddle::config {

/// Values by path, such as "rules.cold_from". A list of plain values is one value, joined by commas. A list
/// of objects has its length under `.count` and its items under `.0`, `.1` and so on. Readers return `absent`
/// for a path without a value. Those of numbers throw InputError if the text is not a number.
class Settings {
 public:
  /// Sets or replaces one value.
  void put(std::string path, std::string value) { values_[std::move(path)] = std::move(value); }
  /// Sets or replaces the values of lines "path=value".
  void put_lines(std::string_view lines);

  std::string_view text(const std::string& path, std::string_view absent = "") const;  ///< the text itself
  double number(const std::string& path, double absent = 0) const;                     ///< a number
  /// A duration, whose text is a number of milliseconds.
  Seconds duration(const std::string& path) const { return number(path) / 1e3; }
  /// A number truncated to an integer.
  int integer(const std::string& path, int absent = 0) const {
    return static_cast<int>(number(path, absent));
  }
  bool flag(const std::string& path, bool absent = false) const;         ///< whether it is "true" or "1"
  std::string_view item(const std::string& path, std::size_t at) const;  ///< empty past the end of a list
  double item_number(const std::string& path, std::size_t at) const;     ///< 0 past the end of a list

 private:
  std::unordered_map<std::string, std::string> values_;
};

/// Validates settings for the policy. Throws ConfigError with the key for a value of the wrong type or out of
/// range, for an unknown word, and for settings that contradict each other. Absent settings keep their
/// defaults.
void check_settings(const Settings& settings);

/// The request classes, by number.
std::vector<RequestClass> request_classes(const Settings& settings);

/// Applies all settings to the policy, at the start.
void apply_settings(const Settings& settings, RoutingPolicy& policy);
/// Applies those settings that may change while the policy serves: it reads them at each decision.
void apply_live_settings(const Settings& settings, RoutingPolicy& policy);
/// Whether apply_live_settings() applies the setting. Slow-start bounds (rules.*), times of request classes,
/// placement and roles are the platform's and need a restart.
bool is_live_setting(std::string_view path);

}  // namespace walkpaddle::config
