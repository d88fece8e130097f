#include "routing/warm_start.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace walkpaddle::routing {

namespace {

constexpr Seconds kLimitHalfLife = 60;  // a minute halves what limits count
constexpr Seconds kCountHalfLife = 30;  // as the design halves them
constexpr Seconds kMaxCountAge = 300;
constexpr int kMissSamples = 10;

void restore_service_times(const WarmStartState& state, const WarmStartSnapshot& snapshot) {
  const auto& classes = state.context.classes;
  for (std::size_t n = 0; n < std::min(classes.size(), snapshot.service_times.size()); ++n) {
    const auto& [mean, answers] = snapshot.service_times[n];
    if (answers > 0 && mean > 0 && mean < classes[n].deadline)
      state.service_times.restore(static_cast<int>(n), mean, answers);
  }
}

void restore_counts(const WarmStartState& state, const WarmStartSnapshot& snapshot) {
  for (const auto& [object, count] : snapshot.objects) {
    auto& counter = state.counters.at(object, state.context.now).count;
    if (snapshot.age < kMaxCountAge)
      counter = std::max<float>(counter, count * std::exp2(-snapshot.age / kCountHalfLife));
  }
}

void restore_endpoints(const WarmStartState& state, const WarmStartSnapshot& snapshot, std::mt19937& random) {
  const double kept = std::exp2(-snapshot.age / kLimitHalfLife);
  for (const auto& limits : snapshot.limits) {
    auto& endpoint = state.endpoints.find_or_add(limits.endpoint);
    if (!endpoint.listed || state.slow_start.is_cold(endpoint)) continue;
    endpoint.attempts.raise_to(limits.attempts * kept);
    endpoint.fills.raise_to(limits.fills * kept);
  }
  for (const auto& [index, last_tried] : snapshot.unreachable) {
    auto& endpoint = state.endpoints.find_or_add(index);
    if (!endpoint.listed || endpoint.started >= last_tried || last_tried > state.context.now) continue;
    state.slow_start.restart(endpoint, last_tried, state.service_times.mean_request(), random);
    endpoint.unreachable = true;
  }
}

}  // namespace

WarmStartSnapshot take_snapshot(const WarmStartState& state) {
  WarmStartSnapshot snapshot;
  for (const auto& sending : state.service_times.by_class())
    snapshot.service_times.push_back({sending.mean(), sending.samples()});
  for (const auto& entry : state.counters.all())
    if (entry.count > kForwardingThreshold) snapshot.objects.push_back({entry.object, entry.count});
  const auto& misses = state.fills.cache_misses;
  snapshot.link_limit = state.fills.link.limit();
  snapshot.miss_ratio = misses.unqueued_samples() > 0 ? misses.unqueued_mean() : -1;
  for (int index = 0; index < state.endpoints.size(); ++index) {
    const auto& endpoint = state.endpoints[index];
    if (!endpoint.listed) continue;
    if (endpoint.unreachable)
      snapshot.unreachable.push_back({index, endpoint.started});
    else if (!state.slow_start.is_cold(endpoint))
      snapshot.limits.push_back({index, endpoint.attempts.limit(), endpoint.fills.limit()});
  }
  return snapshot;
}

void restore_snapshot(const WarmStartState& state, const WarmStartSnapshot& snapshot, std::mt19937& random) {
  restore_service_times(state, snapshot);
  state.fills.link.raise_to(snapshot.link_limit * std::exp2(-snapshot.age / kLimitHalfLife));
  restore_counts(state, snapshot);
  if (snapshot.miss_ratio >= 0)
    state.fills.cache_misses = UnqueuedMean::restored(snapshot.miss_ratio, kMissSamples);
  restore_endpoints(state, snapshot, random);
}

}  // namespace walkpaddle::routing
