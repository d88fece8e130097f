#include "learning/learnt.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "base/text.h"
#include "config/settings.h"

namespace walkpaddle::learning {

using nlohmann::json;

namespace {

constexpr int kVersion = 1;
constexpr std::size_t kLongestName = 64;

// Over all but itself; keys stand in the order of their names.
std::uint64_t seal_of(json j) {
  j.erase("seal");
  return stable_hash(j.dump());
}

double within(const json& j, const char* key, double least, double most) {
  const auto value = j.at(key).get<double>();
  if (!(value >= least && value <= most)) throw InputError(std::string("nonsense under ") + key);
  return value;
}

std::string name_under(const json& j, const char* key) {
  auto name = j.at(key).get<std::string>();
  if (name.empty() || name.size() > kLongestName) throw InputError(std::string("nonsense under ") + key);
  return name;
}

}  // namespace

std::string text_of(const Kept& kept) {
  json j{{"walkpaddle", "learnt"},
         {"version", kVersion},
         {"family", kept.family},
         {"pace", kept.pace},
         {"written_ms", std::round(kept.written * 1e3)},
         {"rules", json::array()},
         {"unreached", json::array()}};
  for (std::size_t n = 0; n < std::min(kept.rules.size(), kMostRules); ++n) {
    const auto& r = kept.rules[n];
    j["rules"].push_back({{"name", r.name}, {"sending", r.sending}, {"answers", r.answers}});
  }
  for (std::size_t n = 0; n < std::min(kept.unreached.size(), kMostMembers); ++n) {
    const auto& u = kept.unreached[n];
    j["unreached"].push_back({{"member", u.member}, {"at_ms", std::round(u.at * 1e3)}});
  }
  j["seal"] = seal_of(j);
  return j.dump(1) + "\n";
}

Kept kept_of(std::string_view text, std::string_view family, double pace, Seconds now) try {
  // A move takes minutes; what was learnt an hour ago speaks of other objects and other members.
  constexpr Seconds kOldest = 3600, kAhead = 5;
  constexpr double kLongest = 600, kMany = 1e9, kFar = 1e15;
  if (text.size() > kMostBytes) throw InputError("larger than 64 KB");
  const auto j = json::parse(text);
  if (!j.is_object() || j.value("walkpaddle", "") != "learnt") throw InputError("foreign");
  if (j.at("version").get<int>() != kVersion)
    throw InputError("version " + std::to_string(j.at("version").get<int>()) + ", known is 1");
  if (j.at("seal").get<std::uint64_t>() != seal_of(j)) throw InputError("torn or changed");
  Kept k;
  k.family = j.at("family").get<std::string>(), k.pace = within(j, "pace", 0, kMany);
  k.written = within(j, "written_ms", 0, kFar) / 1e3;
  if (k.family != family) throw InputError("foreign: of another kind of service");
  if (std::abs(k.pace - pace) > 1e-9 * std::max(1.0, pace))
    throw InputError("foreign: at another pace to clients");
  if (k.written > now + kAhead) throw InputError("written in the future");
  if (k.written < now - kOldest) throw InputError("older than an hour");
  if (j.at("rules").size() > kMostRules || j.at("unreached").size() > kMostMembers)
    throw InputError("more entries than a router writes");
  for (const auto& r : j.at("rules"))
    k.rules.push_back({name_under(r, "name"), within(r, "sending", 0, kLongest),
                       static_cast<int>(within(r, "answers", 0, kMany))});
  for (const auto& u : j.at("unreached"))
    k.unreached.push_back({name_under(u, "member"), within(u, "at_ms", 0, kFar) / 1e3});
  return k;
} catch (const json::exception&) {
  throw InputError("torn, or not of this form");
}

}  // namespace walkpaddle::learning
