#include "warm_start/snapshot_file.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "base/error.h"
#include "base/hash.h"

namespace walkpaddle::warm_start {

using nlohmann::json;

namespace {

constexpr int kVersion = 1;
constexpr std::size_t kMaxNameBytes = 64;
constexpr Seconds kMaxServiceTime = 600;
constexpr double kMaxCount = 1e9;    // number of answers, and bandwidth in KB/s
constexpr double kMaxTimeMs = 1e15;  // Unix time

// The checksum of a document without its "seal". The keys are serialised in alphabetical order.
std::uint64_t checksum_of(json document) {
  document.erase("seal");
  return stable_hash(document.dump());
}

double number_in_range(const json& object, const char* key, double min, double max) {
  const auto value = object.at(key).get<double>();
  if (!(value >= min && value <= max)) throw InputError(std::string("value out of range: ") + key);
  return value;
}

std::string name_at(const json& object, const char* key) {
  auto name = object.at(key).get<std::string>();
  if (name.empty() || name.size() > kMaxNameBytes)
    throw InputError(std::string("value out of range: ") + key);
  return name;
}

// Parses the text and checks its format, version and checksum.
json parse_document(std::string_view text) {
  if (text.size() > kMaxSnapshotBytes) throw InputError("larger than 64 KB");
  auto document = json::parse(text);
  if (!document.is_object() || document.value("walkpaddle", "") != "learnt") throw InputError("foreign");
  const auto version = document.at("version").get<int>();
  if (version != kVersion) throw InputError("version " + std::to_string(version) + ", supported is 1");
  if (document.at("seal").get<std::uint64_t>() != checksum_of(document))
    throw InputError("checksum mismatch");
  return document;
}

void check_applies(const SnapshotFile& snapshot, std::string_view family, double client_kb_per_s,
                   Seconds now) {
  // The next start follows within minutes; estimates from an hour ago are of other objects and endpoints.
  constexpr Seconds kMaxAge = 3600;
  constexpr Seconds kMaxClockAhead = 5;
  constexpr double kRounding = 1e-9;  // relative
  if (snapshot.family != family) throw InputError("foreign: written for another kind of service");
  if (std::abs(snapshot.client_kb_per_s - client_kb_per_s) > kRounding * std::max(1.0, client_kb_per_s))
    throw InputError("foreign: written for another client bandwidth");
  if (snapshot.written_at > now + kMaxClockAhead) throw InputError("written in the future");
  if (snapshot.written_at < now - kMaxAge) throw InputError("older than an hour");
}

}  // namespace

std::string serialize(const SnapshotFile& snapshot) {
  json document{{"walkpaddle", "learnt"},
                {"version", kVersion},
                {"family", snapshot.family},
                {"pace", snapshot.client_kb_per_s},
                {"written_ms", std::round(snapshot.written_at * 1e3)},
                {"rules", json::array()},
                {"unreached", json::array()}};
  for (std::size_t n = 0; n < std::min(snapshot.service_times.size(), kMaxServiceTimes); ++n) {
    const auto& time = snapshot.service_times[n];
    document["rules"].push_back(
        {{"name", time.request_class}, {"sending", time.mean}, {"answers", time.answers}});
  }
  for (std::size_t n = 0; n < std::min(snapshot.unreachable.size(), kMaxUnreachable); ++n) {
    const auto& endpoint = snapshot.unreachable[n];
    document["unreached"].push_back(
        {{"member", endpoint.id}, {"at_ms", std::round(endpoint.failed_at * 1e3)}});
  }
  document["seal"] = checksum_of(document);
  return document.dump(1) + "\n";
}

SnapshotFile parse_snapshot(std::string_view text, std::string_view family, double client_kb_per_s,
                            Seconds now) try {
  const auto document = parse_document(text);
  SnapshotFile snapshot;
  snapshot.family = document.at("family").get<std::string>();
  snapshot.client_kb_per_s = number_in_range(document, "pace", 0, kMaxCount);
  snapshot.written_at = number_in_range(document, "written_ms", 0, kMaxTimeMs) / 1e3;
  check_applies(snapshot, family, client_kb_per_s, now);
  if (document.at("rules").size() > kMaxServiceTimes || document.at("unreached").size() > kMaxUnreachable)
    throw InputError("more entries than a router writes");
  for (const auto& rule : document.at("rules"))
    snapshot.service_times.push_back({name_at(rule, "name"),
                                      number_in_range(rule, "sending", 0, kMaxServiceTime),
                                      static_cast<int>(number_in_range(rule, "answers", 0, kMaxCount))});
  for (const auto& endpoint : document.at("unreached"))
    snapshot.unreachable.push_back(
        {name_at(endpoint, "member"), number_in_range(endpoint, "at_ms", 0, kMaxTimeMs) / 1e3});
  return snapshot;
} catch (const json::exception&) {
  throw InputError("truncated or not a snapshot");
}

}  // namespace walkpaddle::warm_start
