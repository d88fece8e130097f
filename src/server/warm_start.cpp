#include "server/warm_start.h"

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <fstream>
#include <map>
#include <string>
#include <system_error>

#include "config/platform_config.h"

namespace walkpaddle::server {

namespace {

constexpr const char* kTransferRateKey = "specifics.client_kb_per_s";

// Reads up to one byte more than the bound, so that the parser notices a file that exceeds it.
std::string read_bounded(std::ifstream& in) {
  std::string text(warm_start::kMaxSnapshotBytes + 1, '\0');
  in.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(in.gcount()));
  return text;
}

}  // namespace

void WarmStart::restore_from_file() {
  if (file_.empty()) return;
  const Seconds now = scheduler_.now();
  try {
    std::ifstream in(file_, std::ios::binary);
    if (!in) return log_("learnt", "no snapshot file {}, starting without one", file_);
    const auto file_snapshot = warm_start::parse_snapshot(read_bounded(in), settings_.text("family"),
                                                          settings_.number(kTransferRateKey), now);
    WarmStartSnapshot snapshot;
    const int service_times = restore_service_times(file_snapshot, snapshot);
    const int unreachable = restore_unreachable_endpoints(file_snapshot, snapshot);
    dispatcher_.input().restore_snapshot(snapshot);
    log_("learnt", "restored from {}, {:.0f} s old: {} service times, {} unreachable endpoints", file_,
         now - file_snapshot.written_at, service_times, unreachable);
  } catch (const std::exception& e) {
    log_("learnt", "{} refused: {}; starting without a snapshot", file_, e.what());
  }
}

// Matches the file's service times to the current classes by name. Returns the number of matches.
int WarmStart::restore_service_times(const warm_start::SnapshotFile& file_snapshot,
                                     WarmStartSnapshot& snapshot) const {
  int known = 0;
  for (const auto& request_class : config::request_class_names(settings_)) {
    const auto at = std::ranges::find(file_snapshot.service_times, request_class.name,
                                      &warm_start::SnapshotFile::ServiceTime::request_class);
    WarmStartSnapshot::ServiceTime time;
    if (at != file_snapshot.service_times.end()) time = {at->mean, at->answers};
    if (time.answers > 0) ++known;
    snapshot.service_times.push_back(time);
  }
  return known;
}

// Passes on only endpoints in the current list. The policy ignores the record of one that has started since.
int WarmStart::restore_unreachable_endpoints(const warm_start::SnapshotFile& file_snapshot,
                                             WarmStartSnapshot& snapshot) const {
  int restored = 0;
  for (const auto& unreached : file_snapshot.unreachable) {
    for (int endpoint = 0; endpoint < upstream_.endpoint_count(); ++endpoint) {
      if (upstream_.id(endpoint) != unreached.id) continue;
      snapshot.unreachable.push_back({endpoint, unreached.failed_at});
      ++restored;
    }
  }
  return restored;
}

warm_start::SnapshotFile WarmStart::make_snapshot_file() {
  const auto snapshot = dispatcher_.input().snapshot();
  warm_start::SnapshotFile file_snapshot{.family = std::string(settings_.text("family")),
                                         .client_kb_per_s = settings_.number(kTransferRateKey),
                                         .written_at = scheduler_.now()};
  const auto names = config::request_class_names(settings_);
  const auto classes = std::min(names.size(), snapshot.service_times.size());
  for (std::size_t n = 0; n < classes; ++n) {
    const auto& time = snapshot.service_times[n];
    if (time.answers > 0) file_snapshot.service_times.push_back({names[n].name, time.mean, time.answers});
  }
  for (const auto& unreachable : snapshot.unreachable)
    file_snapshot.unreachable.push_back({std::string(upstream_.id(unreachable.endpoint)), unreachable.at});
  return file_snapshot;
}

void WarmStart::write_file() {
  if (file_.empty()) return;
  const auto file_snapshot = make_snapshot_file();
  // Renamed when complete, so that a start that reads meanwhile finds the previous file.
  const auto temporary = file_ + ".new";
  std::ofstream out(temporary, std::ios::binary | std::ios::trunc);
  out << warm_start::serialize(file_snapshot) << std::flush;
  out.close();
  if (!out || std::rename(temporary.c_str(), file_.c_str()) != 0)
    return log_("learnt", "cannot write {}: {}", file_, std::system_category().message(errno));
  log_("learnt", "wrote {}: {} service times, {} unreachable endpoints", file_,
       file_snapshot.service_times.size(), file_snapshot.unreachable.size());
}

gossip::ReplicatedSnapshot WarmStart::replicated_snapshot() const {
  const auto snapshot = dispatcher_.policy().snapshot();
  gossip::ReplicatedSnapshot replicated{.link_limit = snapshot.link_limit, .miss_ratio = snapshot.miss_ratio};
  for (const auto& limit : snapshot.limits)
    replicated.limits.push_back({stable_hash(upstream_.id(limit.endpoint)), limit.attempts, limit.fills});
  for (const auto& count : snapshot.objects) replicated.objects.push_back({count.object, count.count});
  for (const auto& time : snapshot.service_times)
    replicated.service_times.push_back({time.mean, time.answers});
  return replicated;
}

void WarmStart::restore_replicated(const gossip::ReplicatedSnapshot& replicated) {
  WarmStartSnapshot snapshot{.link_limit = replicated.link_limit,
                             .miss_ratio = replicated.miss_ratio,
                             .age = std::max(0.0, scheduler_.now() - replicated.taken_at)};
  for (const auto& count : replicated.objects) snapshot.objects.push_back({count.object, count.count});
  for (const auto& time : replicated.service_times)
    snapshot.service_times.push_back({time.mean, time.answers});
  std::map<std::uint64_t, int> endpoints;
  for (int endpoint = 0; endpoint < upstream_.endpoint_count(); ++endpoint)
    endpoints[stable_hash(upstream_.id(endpoint))] = endpoint;
  for (const auto& limit : replicated.limits) {
    const auto it = endpoints.find(limit.endpoint);
    if (it != endpoints.end()) snapshot.limits.push_back({it->second, limit.attempts, limit.fills});
  }
  dispatcher_.input().restore_snapshot(snapshot);
}

}  // namespace walkpaddle::server
