// The settings by path, and the calls of the module that they lead to; one copy for every host.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/hash.h"
#include "routing/policy.h"

namespace walkpaddle {

// What is absent reads as the value given. Lists of plain values are joined by commas; lists of objects have
// their length under .count and their items under .0, .1 and so on.
class Settings {
 public:
  void put(std::string path, std::string value) { values_[std::move(path)] = std::move(value); }
  void put_lines(std::string_view lines);  // "path=value" each
  std::string_view text(const std::string& path, std::string_view absent = "") const;
  double number(const std::string& path, double absent = 0) const;
  Seconds ms(const std::string& path) const { return number(path) / 1e3; }
  int whole(const std::string& path, int absent = 0) const { return static_cast<int>(number(path, absent)); }
  bool flag(const std::string& path, bool absent = false) const;
  std::string_view item(const std::string& path, std::size_t at) const;
  double item_number(const std::string& path, std::size_t at) const;

 private:
  std::unordered_map<std::string, std::string> values_;
};

// Refuses what the module could not use: a value of the wrong kind or out of range, words it does not know,
// and settings that contradict each other. InputError names the key. What is absent keeps its default.
void check(const Settings& settings);

std::vector<RequestClass> request_classes(const Settings& settings);  // by class

// Hands the module its settings, each part its own few.
void apply_settings(const Settings& settings, RoutingPolicy& brain);
// Again, while it serves: only what the module reads anew at each decision. Paths that change so are live;
// the rules' bounds (rules.*, times of classes), places and roles are the platform's and need a restart.
void apply_live_settings(const Settings& settings, RoutingPolicy& brain);
bool is_live_setting(std::string_view path);

}  // namespace walkpaddle
