/// \file
/// The platform's settings by path, and the calls of the routing policy that they lead to; the same for each
/// host of the policy.
#pragma once

#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/hash.h"  // for those who include this header for it
#include "base/time.h"
#include "routing/policy.h"

namespace walkpaddle::config {

/// Values by path, "rules.cold_from". Lists of plain values are joined by commas; lists of objects have their
/// length under `.count` and their items under `.0`, `.1` and so on. What is absent reads as the value given.
/// Readers of numbers throw InputError for text that is none.
class Settings {
 public:
  /// Sets or replaces one value.
  void put(std::string path, std::string value) { values_[std::move(path)] = std::move(value); }
  /// Lines "path=value" each.
  void put_lines(std::string_view lines);

  std::string_view text(const std::string& path, std::string_view absent = "") const;  ///< as it stands
  double number(const std::string& path, double absent = 0) const;                     ///< any number
  Seconds duration(const std::string& path) const { return number(path) / 1e3; }  ///< seconds of milliseconds
  /// A number cut to an integer.
  int integer(const std::string& path, int absent = 0) const {
    return static_cast<int>(number(path, absent));
  }
  bool flag(const std::string& path, bool absent = false) const;         ///< "true" and "1" are set
  std::string_view item(const std::string& path, std::size_t at) const;  ///< of a list; empty past its end
  double item_number(const std::string& path, std::size_t at) const;     ///< of a list; 0 past its end

 private:
  std::unordered_map<std::string, std::string> values_;
};

/// Refuses what the policy could not use: a value of the wrong kind or out of range, words it does not know,
/// and settings that contradict each other. ConfigError names the key. What is absent keeps its default.
void check_settings(const Settings& settings);

/// The classes of requests, by number.
std::vector<RequestClass> request_classes(const Settings& settings);

/// Hands the policy its settings, each part its own few.
void apply_settings(const Settings& settings, RoutingPolicy& policy);
/// Again, while it serves: only what the policy reads anew at each decision.
void apply_live_settings(const Settings& settings, RoutingPolicy& policy);
/// Whether apply_live_settings() reads the path. The rules' bounds (rules.*, times of classes), places and
/// roles are the platform's and need a restart.
bool is_live_setting(std::string_view path);

}  // namespace walkpaddle::config
