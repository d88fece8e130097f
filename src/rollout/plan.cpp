#include "rollout/plan.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>
#include <utility>

namespace walkpaddle::rollout {

namespace {

constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kMaxBodyBytes = 512;
constexpr std::size_t kMaxStages = 12;
constexpr std::uint64_t kMaxRequests = 1'000'000'000;
constexpr Seconds kHour = 3600;
constexpr Seconds kDay = 86400;

/// Settings are rolled back within one turn of the scheduler.
constexpr Seconds kSettingsRollbackInterval = 0.2;
/// Upper bound of the interval for releases. A router is unavailable while its program starts, so the
/// interval is the time that the program may take to become ready, but no longer than this.
constexpr Seconds kMaxReleaseRollbackInterval = 2.0;

using Refusal = std::optional<std::string>;

bool is_named(const std::string& name) { return !name.empty() && name.size() <= kMaxNameBytes; }

bool within(double value, double least, double most) { return value >= least && value <= most; }

Refusal refusal_of_names(const RolloutPlan& plan) {
  if (!is_named(plan.name)) return "a name of 1 to 64 bytes is needed";
  if (!is_named(plan.before)) return "before is missing: the generation that the fleet has";
  if (!is_named(plan.after)) return "after is missing: the generation that the fleet is to have";
  if (plan.before == plan.after) return "before and after are the same generation";
  if (!is_named(plan.author)) return "by is missing: who proposes the change";
  return std::nullopt;
}

Refusal refusal_of_content(const RolloutPlan& plan) {
  if (plan.work != freeze::kSettings && plan.work != freeze::kRelease)
    return "work is neither settings nor release";
  if (plan.body.empty() || plan.body.size() > kMaxBodyBytes)
    return "settings or program has to be 1 to 512 bytes long";
  return std::nullopt;
}

Refusal refusal_of_stages(const RolloutPlan& plan) {
  if (plan.stages.empty() || plan.stages.size() > kMaxStages) return "1 to 12 stages are needed";
  double last = -1;
  for (const double share : plan.stages) {
    if (!within(share, 0, 1) || share <= last)
      return "stages have to be shares of the fleet from 0 to 1, each larger than the one before";
    last = share;
  }
  if (plan.stages.back() != 1) return "the last stage has to be the whole fleet";
  return std::nullopt;
}

Refusal refusal_of_pace(const RolloutPlan& plan) {
  if (plan.min_requests < 1 || plan.min_requests > kMaxRequests)
    return "txns is out of range, 1 to 1000000000";
  if (!within(plan.min_stage_time, 0, kDay)) return "least is out of range, 0 to 86400 s";
  if (!within(plan.max_stage_time, 1, 7 * kDay) || plan.max_stage_time <= plan.min_stage_time)
    return "longest is out of range, more than least and up to 7 days";
  if (!within(plan.warm_up, 0, kHour)) return "warm_up is out of range, 0 to 3600 s";
  if (plan.max_stage_time <= plan.min_stage_time + plan.warm_up)
    return "longest has to be more than least and warm_up together";
  if (!within(plan.ready_within, 0.1, kHour)) return "ready_in is out of range, 0.1 to 3600 s";
  if (!within(plan.max_moving_share, 0.001, 0.5)) return "at_once is out of range, 0.001 to 0.5 of a site";
  return std::nullopt;
}

Refusal refusal_of_tolerance(const RolloutPlan& plan) {
  if (!within(plan.harm_threshold, 0, 0.5)) return "harm is out of range, 0 to 0.5 of the requests";
  if (!within(plan.tolerated_ratio, 1, 10)) return "ratio is out of range, 1 to 10";
  return std::nullopt;
}

}  // namespace

std::optional<std::string> refusal(const RolloutPlan& plan) {
  for (const auto check :
       {refusal_of_names, refusal_of_content, refusal_of_stages, refusal_of_pace, refusal_of_tolerance})
    if (auto why = check(plan)) return why;
  return std::nullopt;
}

std::vector<std::size_t> rollout_order(const RolloutPlan& plan, const std::vector<PlacedRouter>& fleet) {
  using HashedRouter = std::pair<std::uint64_t, std::size_t>;  // hash, index
  std::map<std::string_view, std::vector<HashedRouter>> sites;
  for (std::size_t index = 0; index < fleet.size(); ++index) {
    const auto hash = XXH3_64bits_withSeed(plan.name.data(), plan.name.size(), fleet[index].router);
    sites[fleet[index].site].emplace_back(hash, index);
  }
  // The position (place + 0.5) / size interleaves the sites in proportion to their sizes.
  std::vector<std::tuple<double, std::uint64_t, std::size_t>> order;
  for (auto& [site, routers] : sites) {
    std::ranges::sort(routers);
    for (std::size_t place = 0; place < routers.size(); ++place)
      order.emplace_back((static_cast<double>(place) + 0.5) / static_cast<double>(routers.size()),
                         routers[place].first, routers[place].second);
  }
  std::ranges::sort(order);
  std::vector<std::size_t> indices;
  indices.reserve(order.size());
  for (const auto& [position, hash, index] : order) indices.push_back(index);
  return indices;
}

std::vector<std::size_t> stage_sizes(const RolloutPlan& plan, std::size_t fleet) {
  constexpr double kRoundingError = 1e-9;
  std::vector<std::size_t> sizes;
  for (const double share : plan.stages) {
    const auto exact = std::ceil(share * static_cast<double>(fleet) - kRoundingError);
    const auto size = std::clamp<std::size_t>(static_cast<std::size_t>(exact), 1, fleet);
    if (sizes.empty() || size > sizes.back()) sizes.push_back(size);
  }
  return sizes;
}

std::size_t max_moving(const RolloutPlan& plan, std::size_t routers) {
  const auto share = static_cast<std::size_t>(plan.max_moving_share * static_cast<double>(routers));
  return std::max<std::size_t>(1, share);
}

Seconds rollback_interval(const RolloutPlan& plan) {
  if (plan.work == freeze::kSettings) return kSettingsRollbackInterval;
  return std::min(plan.ready_within, kMaxReleaseRollbackInterval);
}

Seconds max_rollback_duration(const RolloutPlan& plan, std::size_t fleet) {
  const auto group = max_moving(plan, fleet);
  const auto groups = (fleet + group - 1) / group;
  return static_cast<Seconds>(groups) * rollback_interval(plan) + plan.ready_within;
}

Seconds max_rollout_duration(const RolloutPlan& plan, std::size_t fleet) {
  const auto stages = stage_sizes(plan, fleet).size();
  return static_cast<Seconds>(stages) * plan.max_stage_time + max_rollback_duration(plan, fleet);
}

}  // namespace walkpaddle::rollout
